// Command check-names searches for words that docs/glossary.md withdraws: in the
// identifiers that Go sources and schemas declare, in doc comments, and in the texts of
// log entries and errors. It exits with 1 if the numbers of its findings differ from those
// in remaining.txt, the list of findings that are still allowed.
//
//	go run ./tools/check-names [-shrink | -begin]
//
// With -shrink it first lowers the list to the numbers found; with -begin it creates the
// list, if no commit has it yet. The words and their standard uses are in words.go.
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
	listFile = "tools/check-names/remaining.txt"
	heading  = "Names and texts that still hold a withdrawn word (go run ./tools/check-names -shrink)."
)

// checker collects the findings of a run.
type checker struct {
	nameCount int                        // number of identifiers checked
	found     map[shrinking.Key]int      // number of findings
	messages  map[shrinking.Key][]string // one line to print for each finding
}

func newChecker() *checker {
	return &checker{found: map[shrinking.Key]int{}, messages: map[shrinking.Key][]string{}}
}

// add records a finding.
func (c *checker) add(rule, file string, line int, text string) {
	key := shrinking.Key{Rule: rule, File: file}
	c.found[key]++
	c.messages[key] = append(c.messages[key], fmt.Sprintf("%s:%d: %s", file, line, text))
}

// checkName checks an identifier at its declaration.
func (c *checker) checkName(file string, line int, name string) {
	c.nameCount++
	for _, w := range withdrawnInName(file, name) {
		c.add(w.word, file, line, fmt.Sprintf("%s: use %s instead of %s", name, w.replacement, w.word))
	}
}

// checkText checks a doc comment or the text of a log entry or an error.
func (c *checker) checkText(file string, line int, text string) {
	for _, w := range withdrawnInText(file, text) {
		c.add(w.word+"-text", file, line, fmt.Sprintf("use %s instead of %s in a text", w.replacement, w.word))
	}
}

// checkSource checks a Go file: the name of its package, the identifiers that it declares,
// its doc comments and, except in tests, the texts of log entries and errors.
func (c *checker) checkSource(file string) error {
	set := token.NewFileSet()
	f, err := parser.ParseFile(set, file, nil, parser.SkipObjectResolution|parser.ParseComments)
	if err != nil {
		return err
	}
	line := func(n ast.Node) int { return set.Position(n.Pos()).Line }
	c.checkName(file, 1, f.Name.Name)
	ast.Inspect(f, func(n ast.Node) bool {
		for _, i := range declaredNames(n) {
			c.checkName(file, line(i), i.Name)
		}
		for _, doc := range docComments(n) {
			if doc != nil {
				c.checkText(file, line(doc), doc.Text())
			}
		}
		if strings.HasSuffix(file, "_test.go") {
			return true
		}
		for _, literal := range logAndErrorTexts(n) {
			c.checkText(file, line(literal), literal.Value)
		}
		return true
	})
	return nil
}

// docComments returns the comments that document a node: the comment above it and the
// comment at the end of its line. Each may be nil.
func docComments(n ast.Node) []*ast.CommentGroup {
	switch n := n.(type) {
	case *ast.File:
		return []*ast.CommentGroup{n.Doc}
	case *ast.FuncDecl:
		return []*ast.CommentGroup{n.Doc}
	case *ast.GenDecl:
		return []*ast.CommentGroup{n.Doc}
	case *ast.TypeSpec:
		return []*ast.CommentGroup{n.Doc, n.Comment}
	case *ast.ValueSpec:
		return []*ast.CommentGroup{n.Doc, n.Comment}
	case *ast.Field:
		return []*ast.CommentGroup{n.Doc, n.Comment}
	}
	return nil
}

// logFunctions matches the names, without package or receiver, of functions whose
// arguments are the texts of log entries and errors.
var logFunctions = regexp.MustCompile(`^(Debug|Info|Warn|Error|Fatal)f?$|^[lL]ogf?$|^Errorf$|^New$|^say$`)

// logAndErrorTexts returns the string literals that a node, if it is a call, passes to a
// log or an error.
func logAndErrorTexts(n ast.Node) []*ast.BasicLit {
	call, ok := n.(*ast.CallExpr)
	if !ok || !logFunctions.MatchString(calledName(call)) {
		return nil
	}
	var out []*ast.BasicLit
	for _, argument := range call.Args {
		if literal, ok := argument.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			out = append(out, literal)
		}
	}
	return out
}

// calledName returns the name of the function or method that is called, without its
// package or receiver.
func calledName(call *ast.CallExpr) string {
	switch f := call.Fun.(type) {
	case *ast.Ident:
		return f.Name
	case *ast.SelectorExpr:
		return f.Sel.Name
	}
	return ""
}

// declaredNames returns the identifiers that a node declares, without those of its child
// nodes.
func declaredNames(n ast.Node) []*ast.Ident {
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

// identifiers returns the expressions that are identifiers.
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
	schemaCommentOrString = regexp.MustCompile(`//.*|"[^"]*"`)
	schemaName            = regexp.MustCompile(`[A-Za-z_]\w*`)
)

// checkSchema checks every name in a schema file, except in comments and strings.
func (c *checker) checkSchema(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	for n, line := range strings.Split(string(text), "\n") {
		for _, name := range schemaName.FindAllString(schemaCommentOrString.ReplaceAllString(line, ""), -1) {
			c.checkName(file, n+1, name)
		}
	}
	return nil
}

// checkAll checks all Go sources and schemas below the working folder. It skips hidden
// folders, folders named target and generated files.
func (c *checker) checkAll() error {
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && strings.HasPrefix(entry.Name(), ".") && path != ".", entry.IsDir() && path == "target":
			return fs.SkipDir
		case entry.IsDir() || strings.HasSuffix(path, ".pb.go"):
			return nil
		case strings.HasSuffix(path, ".go"):
			return c.checkSource(filepath.ToSlash(path))
		case strings.HasSuffix(path, ".proto"):
			return c.checkSchema(filepath.ToSlash(path))
		}
		return nil
	})
	if c.nameCount == 0 {
		err = errors.Join(err, errors.New("no names found: run check-names from the project's root"))
	}
	return err
}

// run checks all files, compares the findings with the list and prints the result.
func run(mode shrinking.Mode, out io.Writer) error {
	c := newChecker()
	if err := c.checkAll(); err != nil {
		return err
	}
	if err := shrinking.Check(listFile, heading, c.found, mode); err != nil {
		list, listErr := shrinking.Read(listFile)
		for key, lines := range c.messages {
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
	fmt.Fprintf(out, "check-names: %d names, no withdrawn word but for %d remaining in %d files\n", c.nameCount, left, files)
	return nil
}

func main() {
	mode, err := shrinking.ParseFlags(os.Args[1:])
	if err == nil {
		err = run(mode, os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "check-names:", err)
		os.Exit(1)
	}
}
