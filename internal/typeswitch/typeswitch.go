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
	files, err := parse(folder)
	if err != nil {
		return nil, err
	}
	var marked, handled []string
	found := false
	for _, f := range files {
		for _, d := range f.Decls {
			fn, ok := d.(*ast.FuncDecl)
			if !ok {
				continue
			}
			if fn.Name.Name == marker && fn.Recv != nil {
				marked = append(marked, typeName(fn.Recv.List[0].Type))
			}
			if fn.Name.Name == function {
				found = true
				handled = append(handled, cases(fn)...)
			}
		}
	}
	if len(marked) == 0 || !found {
		return nil, fmt.Errorf("typeswitch: %s has %d types with %s, and a function %s: %t", folder, len(marked), marker, function, found)
	}
	missing := slices.DeleteFunc(marked, func(name string) bool { return slices.Contains(handled, name) })
	slices.Sort(missing)
	return missing, nil
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
