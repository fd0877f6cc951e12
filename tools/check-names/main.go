// Command check-names looks through the identifiers that our sources and schemas
// declare for words of the earlier house style that the users have withdrawn
// (docs/needs.md), and exits with 1 if it finds more than left.txt still allows,
// or less than it says.
//
//	go run ./tools/check-names [-shrink | -begin]
//
// With -shrink it first lowers left.txt to what was found; -begin writes it, if no
// commit has it yet. Only words that hardly
// occur otherwise are looked for: allow, pass, revision, query, line, return and
// boot were withdrawn too, but are good names for other things.
package main

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"stoneford/tools/shrinking"
)

const (
	listFile = "tools/check-names/left.txt"
	heading  = "Identifiers that still hold a withdrawn word (go run ./tools/check-names -shrink)."
)

// withdrawn is each word by its stems, and the standard term.
var withdrawn = []struct {
	stems    []string
	standard string
}{
	{[]string{"bounce", "bouncing"}, "refuse"},
	{[]string{"burden"}, "load"},
	{[]string{"permit"}, "lease"},
	{[]string{"neighbour", "neighbor"}, "peer"},
	{[]string{"expiry", "expirie"}, "deadline"},
	{[]string{"bootfile"}, "settings"},
}

var part = regexp.MustCompile(`[A-Z]+(?:[a-z]+|\b|$)|[A-Z]?[a-z]+|[A-Z]+`)

// stem is the withdrawn word in one part of a name, and its standard term.
func stem(part string) (word, standard string) {
	part = strings.ToLower(part)
	for _, w := range withdrawn {
		for _, s := range w.stems {
			if strings.HasPrefix(part, s) {
				return w.stems[0], w.standard
			}
		}
	}
	return "", ""
}

type checker struct {
	names int // identifiers looked at
	found map[shrinking.Key]int
	lines map[shrinking.Key][]string
}

func newChecker() *checker {
	return &checker{found: map[shrinking.Key]int{}, lines: map[shrinking.Key][]string{}}
}

// name looks at one identifier where it is declared.
func (c *checker) name(file string, line int, name string) {
	c.names++
	for _, p := range part.FindAllString(name, -1) {
		word, standard := stem(p)
		if word == "" {
			continue
		}
		key := shrinking.Key{Rule: word, File: file}
		c.found[key]++
		c.lines[key] = append(c.lines[key], fmt.Sprintf("%s:%d: %s: say %s for %s", file, line, name, standard, word))
	}
}

// source goes over what a Go file declares, its package's name with it.
func (c *checker) source(file string) error {
	set := token.NewFileSet()
	f, err := parser.ParseFile(set, file, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	c.name(file, 1, f.Name.Name)
	ast.Inspect(f, func(n ast.Node) bool {
		for _, i := range declared(n) {
			c.name(file, set.Position(i.Pos()).Line, i.Name)
		}
		return true
	})
	return nil
}

// declared is the names that one node declares by itself.
func declared(n ast.Node) []*ast.Ident {
	switch n := n.(type) {
	case *ast.ImportSpec:
		if n.Name != nil {
			return []*ast.Ident{n.Name}
		}
	case *ast.FuncDecl:
		return []*ast.Ident{n.Name}
	case *ast.TypeSpec:
		return []*ast.Ident{n.Name}
	case *ast.LabeledStmt:
		return []*ast.Ident{n.Label}
	case *ast.Field:
		return n.Names
	case *ast.ValueSpec:
		return n.Names
	case *ast.AssignStmt:
		if n.Tok == token.DEFINE {
			return identifiers(n.Lhs...)
		}
	case *ast.RangeStmt:
		if n.Tok == token.DEFINE {
			return identifiers(n.Key, n.Value)
		}
	}
	return nil
}

// identifiers is those among some expressions.
func identifiers(expressions ...ast.Expr) []*ast.Ident {
	var out []*ast.Ident
	for _, e := range expressions {
		if i, ok := e.(*ast.Ident); ok {
			out = append(out, i)
		}
	}
	return out
}

var (
	schemaComment = regexp.MustCompile(`//.*|"[^"]*"`)
	schemaName    = regexp.MustCompile(`[A-Za-z_]\w*`)
)

// schema goes over every name in a schema, comments and texts left out.
func (c *checker) schema(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	for n, line := range strings.Split(string(text), "\n") {
		for _, name := range schemaName.FindAllString(schemaComment.ReplaceAllString(line, ""), -1) {
			c.name(file, n+1, name)
		}
	}
	return nil
}

// look goes over all sources and schemas below the working folder.
func (c *checker) look() error {
	err := filepath.WalkDir(".", func(p string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && strings.HasPrefix(d.Name(), ".") && p != ".", d.IsDir() && p == "target":
			return fs.SkipDir
		case d.IsDir() || strings.HasSuffix(p, ".pb.go"):
			return nil
		case strings.HasSuffix(p, ".go"):
			return c.source(filepath.ToSlash(p))
		case strings.HasSuffix(p, ".proto"):
			return c.schema(filepath.ToSlash(p))
		}
		return nil
	})
	if c.names == 0 {
		err = errors.Join(err, errors.New("nothing was looked at: run it from the project's root"))
	}
	return err
}

func run(mode shrinking.Mode, out io.Writer) error {
	c := newChecker()
	if err := c.look(); err != nil {
		return err
	}
	if err := shrinking.Check(listFile, heading, c.found, mode); err != nil {
		list, listErr := shrinking.Read(listFile)
		for key, lines := range c.lines {
			if listErr == nil && c.found[key] > list[key].Count {
				fmt.Fprintln(out, strings.Join(lines, "\n"))
			}
		}
		return err
	}
	list, err := shrinking.Read(listFile)
	if err != nil {
		return err
	}
	left, files := shrinking.Total(list)
	fmt.Fprintf(out, "check-names: %d names, no withdrawn word but for %d left in %d files\n", c.names, left, files)
	return nil
}

func main() {
	mode, err := shrinking.Flags(os.Args[1:])
	if err == nil {
		err = run(mode, os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "check-names:", err)
		os.Exit(1)
	}
}
