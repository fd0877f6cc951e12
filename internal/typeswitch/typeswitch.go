// Package typeswitch checks, for tests, that the type switches over a sealed
// interface name every type that implements it. The compiler doesn't, and an event
// that no case handles would be ignored without a trace.
package typeswitch

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strings"
)

// Missing returns the types of the package in a folder that have the marker method
// but no case in the type switches of the function or method of the name given. It
// fails if the package has no type with the marker, or no such function.
func Missing(folder, marker, function string) ([]string, error) {
	return missing(folder, marker, folder, function, "")
}

// MissingAbroad is Missing for a function of the package in another folder.
func MissingAbroad(folder, marker, functionFolder, function string) ([]string, error) {
	absolute, err := filepath.Abs(folder)
	if err != nil {
		return nil, err
	}
	return missing(folder, marker, functionFolder, function, filepath.Base(absolute)+".")
}

// missing finds the types without a case; in the cases their names have a qualifier.
func missing(folder, marker, functionFolder, function, qualifier string) ([]string, error) {
	marked, err := markedTypes(folder, marker)
	if err != nil {
		return nil, err
	}
	handled, err := handledTypes(functionFolder, function)
	if err != nil {
		return nil, err
	}
	unhandled := slices.DeleteFunc(marked, func(name string) bool { return slices.Contains(handled, qualifier+name) })
	slices.Sort(unhandled)
	return unhandled, nil
}

// markedTypes returns the names of the types with a marker method.
func markedTypes(folder, marker string) ([]string, error) {
	functions, err := functions(folder, marker)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, fn := range functions {
		if fn.Recv != nil {
			names = append(names, typeName(fn.Recv.List[0].Type))
		}
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("typeswitch: no type in %s has the method %s", folder, marker)
	}
	return names, nil
}

// handledTypes returns the names of the types in the type switches of a function.
func handledTypes(folder, function string) ([]string, error) {
	functions, err := functions(folder, function)
	if err != nil {
		return nil, err
	}
	if len(functions) == 0 {
		return nil, fmt.Errorf("typeswitch: %s has no function %s", folder, function)
	}
	var names []string
	for _, fn := range functions {
		names = append(names, cases(fn)...)
	}
	return names, nil
}

// functions returns the functions and methods of a name.
func functions(folder, name string) ([]*ast.FuncDecl, error) {
	files, err := parse(folder)
	if err != nil {
		return nil, err
	}
	var found []*ast.FuncDecl
	for _, f := range files {
		for _, d := range f.Decls {
			if fn, ok := d.(*ast.FuncDecl); ok && fn.Name.Name == name {
				found = append(found, fn)
			}
		}
	}
	return found, nil
}

func parse(folder string) ([]*ast.File, error) {
	names, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil {
		return nil, err
	}
	var files []*ast.File
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			return nil, err
		}
		files = append(files, f)
	}
	return files, nil
}

// cases returns the names of the types in all type switches of a function.
func cases(fn *ast.FuncDecl) []string {
	var names []string
	ast.Inspect(fn, func(n ast.Node) bool {
		if s, ok := n.(*ast.TypeSwitchStmt); ok {
			for _, clause := range s.Body.List {
				for _, e := range clause.(*ast.CaseClause).List {
					names = append(names, typeName(e))
				}
			}
		}
		return true
	})
	return names
}

func typeName(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.StarExpr:
		return typeName(e.X)
	case *ast.SelectorExpr:
		return typeName(e.X) + "." + e.Sel.Name
	}
	return ""
}
