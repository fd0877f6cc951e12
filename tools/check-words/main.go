// Command check-words looks through our identifiers, comments, texts, schemas
// and pages for words that the users replaced by their own (docs/needs.md), and
// exits with 1 where it finds one that no exception covers.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

// replaced is each word that is not ours, by its stem, and what stands for it.
var replaced = map[string]string{
	"deadline": "expiry", "peer": "neighbour", "lease": "permit", "admit": "allow", "admission": "allow", "load": "burden", "forward": "pass",
	"version": "revision", "request": "query", "queue": "line", "answer": "return", "refuse": "bounce", "refusal": "bounce", "settings": "boot or configuration",
}

var endings = []string{"", "s", "d", "ed", "ing", "ted", "ting", "ers", "er"}

// exceptions cover a word in the places given, for the reason given.
var exceptions = []struct {
	word, file, text, why string
}{
	{"queue", `^(freshness/|docs/refresco\.md|docs/design\.md|querytable/|docs/measurements\.md)`, ``, "the paper's term for its list of pending commits, and the type of that name"},
	{"settings", ``, `(table|tables) of settings|stoneford/settings|settings\.(md|proto|Read|Meta|Problem|Write)|package settings|Package settings|settings: |"settings"|for settings`, "the users' own phrase: a table of settings with type, default and check"},
	{"settings", `^(settings/|schema/settings\.proto|tools/|docs/settings\.md)`, ``, "the same: the table's own package, schema, generators and page"},
	{"refuse", `^(databaseclient/|standin/databasecopy/)`, `json:"refused`, "a field of the database interface, which databases speak"},
	{"refuse", `^docs/database-interface\.md`, "is `refused`", "the same"},
	{"request", `^replay/`, ``, "a field of HAR files"},
	{"version", `^replay/`, ``, "a field of HAR files"},
	{"load", ``, `reload|upload|download|atomic`, "library words"},
	// What stands on the users' platform came with their later pages, which put
	// the field's standard terms first (lease, answer, deadline, peer, queue and
	// the like); ours stay where they hide nothing.
	{"", `^(ports|platform)/`, ``, "the platform's edge: its pages' own terms, and the field's"},
	{"", `^(sessiontable|sessionpool|voterview|coordinator|switchover|routingtable|fleetstate)/`, ``, "the cores on the platform: standard terms go first"},
	{"", `^(fleetsimulation|standin/scale-run)/`, ``, "their simulator and scale run: the same"},
	{"", `^(voterlog/|cmd/stoneford/(fleet|data)(_test)?\.go|tools/run-tests/)`, ``, "files begun after those pages: the same"},
	{"", `^docs/(platform|questions|CAPACITY|own-state)\.md|^docs/incidents/|^journal/`, ``, "pages of the platform: the same"},
	{"", `^docs/design\.md`, `^(## )?1[45]\.`, "design 14 is the platform's, 15 rests on it"},
	{"lease", `^docs/design\.md`, ``, "the standard term, of design 14.4"},
	{"", `^docs/moves\.md`, ``, "the page of design 15"},
	{"lease", `^(docs/measurements\.md|docs/never-happens\.md|schema/messages\.proto)`, ``, "the standard term, of design 14.4"},
	{"queue", `^standin/site-move/`, `Queue`, "the edge's own name, of sessionpool"},
	{"settings", ``, `STONEFORD_SETTINGS|platform/settings`, "the platform's variable and what reads it"},
	{"answer", `^docs/needs\.md`, `FuzzAnswers`, "a test's name"},
	{"refuse", `^(result/result\.go|docs/result-codes\.md)`, `the disk refused`, "a disk's refusal is no bounce"},
	{"", `^schema/messages\.proto`, `^// --- looks`, "messages of design 14"},
	{"", `^tools/check-words/`, ``, "this list itself"},
	{"", `^docs/needs\.md`, `our words`, "the row about these words"},
}

var (
	part = regexp.MustCompile(`[A-Z]+(?:[a-z]+|\b|$)|[A-Z]?[a-z]+|[A-Z]+`)
)

// stem is the replaced word that one word is a form of, "" for none.
func stem(w string) string {
	w = strings.ToLower(w)
	for s := range replaced {
		for _, e := range endings {
			if w == s+e || strings.HasSuffix(s, "e") && w == s[:len(s)-1]+e {
				return s
			}
		}
	}
	return ""
}

type checker struct {
	found  int
	looked int
}

func (c *checker) text(file string, line int, t string) {
	for _, w := range part.FindAllString(t, -1) {
		c.looked++
		s := stem(w)
		if s == "" || covered(s, file, t) {
			continue
		}
		c.found++
		fmt.Printf("%s:%d: %q: we say %s\n", file, line, w, replaced[s])
	}
}

func covered(word, file, text string) bool {
	for _, e := range exceptions {
		if (e.word == "" || e.word == word) && (e.file == "" || regexp.MustCompile(e.file).MatchString(file)) && (e.text == "" || regexp.MustCompile(e.text).MatchString(text)) {
			return true
		}
	}
	return false
}

// source goes over what a Go file declares, says in comments and puts out.
func (c *checker) source(file string) error {
	set := token.NewFileSet()
	f, err := parser.ParseFile(set, file, nil, parser.ParseComments)
	if err != nil {
		return err
	}
	name := func(i *ast.Ident) { c.text(file, set.Position(i.Pos()).Line, i.Name) }
	for _, g := range f.Comments {
		for _, l := range g.List {
			c.text(file, set.Position(l.Pos()).Line, l.Text)
		}
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.FuncDecl:
			name(n.Name)
		case *ast.TypeSpec:
			name(n.Name)
		case *ast.Field:
			for _, i := range n.Names {
				name(i)
			}
		case *ast.ValueSpec:
			for _, i := range n.Names {
				name(i)
			}
		case *ast.AssignStmt:
			for _, e := range n.Lhs {
				if i, ok := e.(*ast.Ident); ok && n.Tok == token.DEFINE {
					name(i)
				}
			}
		case *ast.BasicLit:
			if n.Kind == token.STRING {
				c.text(file, set.Position(n.Pos()).Line, n.Value)
			}
		}
		return true
	})
	return nil
}

// page goes over a page or schema line by line.
func (c *checker) page(file string) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	sc := bufio.NewScanner(f)
	sc.Buffer(nil, 1<<20)
	for n := 1; sc.Scan(); n++ {
		c.text(file, n, sc.Text())
	}
	return sc.Err()
}

// look goes over all sources and pages below the working folder.
func (c *checker) look() error {
	err := filepath.WalkDir(".", func(p string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && strings.HasPrefix(d.Name(), ".") && p != ".", d.IsDir() && p == "target":
			return fs.SkipDir
		case strings.HasSuffix(p, ".pb.go") || d.IsDir():
			return nil
		case strings.HasSuffix(p, ".go"):
			return c.source(p)
		case strings.HasSuffix(p, ".md"), strings.HasSuffix(p, ".proto"):
			return c.page(p)
		}
		return nil
	})
	if c.looked == 0 {
		err = errors.Join(err, errors.New("nothing was looked at: run it from the project's root"))
	}
	return err
}

func main() {
	c := &checker{}
	if err := c.look(); err != nil {
		fmt.Fprintln(os.Stderr, "check-words:", err)
		os.Exit(1)
	}
	fmt.Printf("check-words: %d words, %d that the users replaced\n", c.looked, c.found)
	if c.found > 0 {
		os.Exit(1)
	}
}
