// Package typeswitch lets a test check that the type switches over a sealed interface
// name every type that implements it. The compiler doesn't, and an event
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
	"testing"
)

// ExpectComplete fails a test if a type of the package in the folder types has the
// marker method and no case in the type switches of a function, or method, of the
// package in the folder functions.
func ExpectComplete(t testing.TB, types, marker, functions, function string) {
	t.Helper()
	missing, err := missing(types, marker, functions, function)
	if err != nil || len(missing) > 0 {
		t.Errorf("%s of %s has no case for %v, %v", function, functions, missing, err)
	}
}

// missing returns the types without a case. In the cases of another package their names
// have the package's, which must be that of its folder.
func missing(types, marker, functions, function string) ([]string, error) {
	marked, err := markedTypes(types, marker)
	if err != nil {
		return nil, err
	}
	handled, err := handledTypes(functions, function)
	if err != nil {
		return nil, err
	}
	qualifier := ""
	if types != functions {
		absolute, err := filepath.Abs(types)
		if err != nil {
			return nil, err
		}
		qualifier = filepath.Base(absolute) + "."
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
