// Package typeswitch lets a test check that a type switch over a sealed interface has a
// case for every type that implements the interface. The compiler does not check that, and
// an event without a case would be silently ignored.
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

// ExpectComplete fails a test if a type with the marker method, in the package in
// typesFolder, has no case in the type switches of a function or method of the package in
// functionFolder.
func ExpectComplete(t testing.TB, typesFolder, marker, functionFolder, function string) {
	t.Helper()
	missing, err := missingCases(typesFolder, marker, functionFolder, function)
	if err != nil || len(missing) > 0 {
		t.Errorf("type switches of %s in %s: got no case for the types %v (error: %v), want a case for each", function, functionFolder, missing, err)
	}
}

// missingCases returns the marked types without a case. If the function is in another
// package, its cases qualify the types with their package's name, which must be the name
// of the folder.
func missingCases(typesFolder, marker, functionFolder, function string) ([]string, error) {
	marked, err := markedTypes(typesFolder, marker)
	if err != nil {
		return nil, err
	}
	handled, err := handledTypes(functionFolder, function)
	if err != nil {
		return nil, err
	}
	qualifier := ""
	if typesFolder != functionFolder {
		absolute, err := filepath.Abs(typesFolder)
		if err != nil {
			return nil, err
		}
		qualifier = filepath.Base(absolute) + "."
	}
	unhandled := slices.DeleteFunc(marked, func(name string) bool { return slices.Contains(handled, qualifier+name) })
	slices.Sort(unhandled)
	return unhandled, nil
}

// markedTypes returns the names of the types in a folder that have the marker method.
func markedTypes(folder, marker string) ([]string, error) {
	methods, err := functionsNamed(folder, marker)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, fn := range methods {
		if fn.Recv != nil {
			names = append(names, typeName(fn.Recv.List[0].Type))
		}
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("typeswitch: no type in %s has the method %s", folder, marker)
	}
	return names, nil
}

// handledTypes returns the names of the types in the type switches of all functions and
// methods with a name.
func handledTypes(folder, function string) ([]string, error) {
	functions, err := functionsNamed(folder, function)
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

// functionsNamed returns the functions and methods with a name in the package in a folder,
// test files excluded.
func functionsNamed(folder, name string) ([]*ast.FuncDecl, error) {
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

// cases returns the names of the types in the type switches of a function.
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
