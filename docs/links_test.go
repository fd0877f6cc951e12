// Package docs_test keeps the links of the documentation true.
//
// A link to a Go file names a declaration of that file, in the form
//
//	[internal/coordinator.(*Core).Step](../internal/coordinator/core.go)
//
// that is: the package's folder from the root of the module, a dot, and the name of a
// function, type, constant or variable, or a method as (*T).Name or T.Name. The text
// may stand in backquotes. CONTRIBUTING.md describes the form.
//
// Where declarations moved to other files of their packages,
//
//	go test ./docs -run TestLinksAreTrue -repoint
//
// has the links follow them.
package docs_test

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"unicode"
)

const moduleRoot = ".."

var repoint = flag.Bool("repoint", false, "have links follow declarations that moved within their packages")

// requiredPages must exist and hold links; all other pages are checked as well.
var requiredPages = []string{"README.md", "CONTRIBUTING.md", "docs/architecture.md", "docs/runbook.md", "docs/glossary.md"}

var (
	linkPattern    = regexp.MustCompile(`\[([^\]\n]+)\]\(([^)\s]+)\)`)
	headingPattern = regexp.MustCompile(`(?m)^#+ +(.+)$`)
	fencePattern   = regexp.MustCompile("(?ms)^ *```.*?^ *```")
)

func TestLinksAreTrue(t *testing.T) {
	for _, page := range pages(t) {
		t.Run(page, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join(moduleRoot, page))
			if err != nil {
				t.Fatal(err)
			}
			if *repoint {
				text = []byte(repointed(moduleRoot, page, string(text)))
				if err := os.WriteFile(filepath.Join(moduleRoot, page), text, 0o644); err != nil {
					t.Fatal(err)
				}
			}
			links, problems := checkPage(moduleRoot, page, string(text))
			if links == 0 && slices.Contains(requiredPages, page) {
				t.Error("the page holds no relative link")
			}
			for _, problem := range problems {
				t.Error(problem)
			}
		})
	}
}

// TestBrokenLinksAreReported shows that the check sees each kind of broken link.
func TestBrokenLinksAreReported(t *testing.T) {
	root := t.TempDir()
	write(t, root, "store/store.go", `package store

// Limit is a constant.
const Limit = 1

// Store is a type.
type Store[T any] struct{}

// Open is a function.
func Open() {}

// Get is a method of the pointer.
func (s *Store[T]) Get() {}

// Len is a method of the value.
func (s Store[T]) Len() int { return 0 }
`)
	write(t, root, "store/other.go", "package store\n\nfunc elsewhere() {}\n")
	write(t, root, "docs/other.md", "# The other page\n\n## What to do\n\n## What to do\n")
	for _, test := range []struct{ name, text, problem string }{
		{"file", "[other](other.md)", ""},
		{"folder", "[store](../store/)", ""},
		{"anchor", "[other](other.md#what-to-do)", ""},
		{"second heading of a name", "[other](other.md#what-to-do-1)", ""},
		{"elsewhere", "[site](https://example.org/nothing.go)", ""},
		{"function", "[store.Open](../store/store.go)", ""},
		{"constant", "[store.Limit](../store/store.go)", ""},
		{"type in backquotes", "[`store.Store`](../store/store.go)", ""},
		{"method of a pointer", "[store.(*Store).Get](../store/store.go)", ""},
		{"method of a value", "[store.Store.Len](../store/store.go)", ""},
		{"code block", "```\n[other](missing.md)\n```\n", ""},
		{"missing file", "[other](missing.md)", "no such file"},
		{"missing anchor", "[other](other.md#nothing)", "no heading"},
		{"missing Go file", "[store.Open](../store/missing.go)", "no such file"},
		{"missing function", "[store.Close](../store/store.go)", "not declared"},
		{"function of another file", "[store.elsewhere](../store/store.go)", "not declared"},
		{"wrong receiver", "[store.Store.Get](../store/store.go)", "not declared"},
		{"missing method", "[store.(*Store).Put](../store/store.go)", "not declared"},
		{"wrong package", "[shop.Open](../store/store.go)", "does not begin with"},
		{"no declaration named", "[the store](../store/store.go)", "does not begin with"},
		{"path as text", "[store/store.go](../store/store.go)", "does not begin with"},
		{"outside of the module", "[other](../../other.md)", "leaves the module"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, problems := checkPage(root, "docs/page.md", test.text)
			switch {
			case test.problem == "" && len(problems) > 0:
				t.Errorf("a true link is reported: %v", problems)
			case test.problem != "" && (len(problems) != 1 || !strings.Contains(problems[0], test.problem)):
				t.Errorf("got %v, want one problem with %q", problems, test.problem)
			}
		})
	}
}

func TestLinksFollowDeclarations(t *testing.T) {
	root := t.TempDir()
	write(t, root, "store/old.go", "package store\n\nfunc stays() {}\n")
	write(t, root, "store/new.go", "package store\n\nfunc moved() {}\n")
	for _, test := range []struct{ name, text, want string }{
		{"moved", "[store.moved](../store/old.go)", "[store.moved](../store/new.go)"},
		{"its file is gone", "[`store.moved`](../store/gone.go)", "[`store.moved`](../store/new.go)"},
		{"stays", "[store.stays](../store/old.go)", "[store.stays](../store/old.go)"},
		{"unknown", "[store.gone](../store/old.go)", "[store.gone](../store/old.go)"},
		{"another package", "[shop.moved](../store/old.go)", "[shop.moved](../store/old.go)"},
		{"no declaration", "[other](other.md)", "[other](other.md)"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := repointed(root, "docs/page.md", test.text); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

func write(t *testing.T, root, name, text string) {
	t.Helper()
	file := filepath.Join(root, name)
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

// pages are the required pages and every other page at the root and under docs.
func pages(t *testing.T) []string {
	t.Helper()
	found := slices.Clone(requiredPages)
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/incidents/*.md"} {
		files, err := filepath.Glob(filepath.Join(moduleRoot, pattern))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			page, err := filepath.Rel(moduleRoot, file)
			if err != nil {
				t.Fatal(err)
			}
			found = append(found, filepath.ToSlash(page))
		}
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// checkPage counts the relative links of a page and says which are broken.
func checkPage(root, page, text string) (links int, problems []string) {
	for _, link := range linkPattern.FindAllStringSubmatch(fencePattern.ReplaceAllString(text, ""), -1) {
		label, target := strings.Trim(link[1], "`"), link[2]
		if strings.Contains(target, "://") || strings.HasPrefix(target, "mailto:") {
			continue
		}
		links++
		if problem := checkLink(root, page, label, target); problem != "" {
			problems = append(problems, fmt.Sprintf("[%s](%s): %s", label, target, problem))
		}
	}
	return links, problems
}

func checkLink(root, page, label, target string) string {
	target, anchor, _ := strings.Cut(target, "#")
	file := page
	if target != "" {
		file = path.Join(path.Dir(page), target)
	}
	if strings.HasPrefix(file, "../") {
		return "the link leaves the module"
	}
	name := filepath.Join(root, filepath.FromSlash(file))
	if _, err := os.Stat(name); err != nil {
		return "no such file"
	}
	switch {
	case strings.HasSuffix(file, ".go"):
		return checkDeclaration(name, path.Dir(file), label)
	case anchor != "" && strings.HasSuffix(file, ".md"):
		return checkAnchor(name, anchor)
	}
	return ""
}

func checkDeclaration(file, folder, label string) string {
	declaration, ok := strings.CutPrefix(label, folder+".")
	if !ok {
		return fmt.Sprintf("the text does not begin with %q, the package's folder", folder+".")
	}
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
	if err != nil {
		return err.Error()
	}
	if !slices.Contains(declarations(parsed), declaration) {
		return declaration + " is not declared in that file"
	}
	return ""
}

// repointed is a page with each link to a declaration that moved to another file of its
// package pointing there.
func repointed(root, page, text string) string {
	return linkPattern.ReplaceAllStringFunc(text, func(link string) string {
		parts := linkPattern.FindStringSubmatch(link)
		label, target := strings.Trim(parts[1], "`"), parts[2]
		if !strings.HasSuffix(target, ".go") || strings.Contains(target, "://") || checkLink(root, page, label, target) == "" {
			return link
		}
		folder := path.Dir(path.Join(path.Dir(page), target))
		files, err := filepath.Glob(filepath.Join(root, filepath.FromSlash(folder), "*.go"))
		if err != nil {
			return link
		}
		for _, file := range files {
			if checkDeclaration(file, folder, label) == "" {
				return fmt.Sprintf("[%s](%s)", parts[1], path.Join(path.Dir(target), filepath.Base(file)))
			}
		}
		return link
	})
}

// declarations are the names that a file declares, as links give them.
func declarations(file *ast.File) []string {
	var names []string
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			names = append(names, receiver(declaration)+declaration.Name.Name)
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				switch spec := spec.(type) {
				case *ast.TypeSpec:
					names = append(names, spec.Name.Name)
				case *ast.ValueSpec:
					for _, name := range spec.Names {
						names = append(names, name.Name)
					}
				}
			}
		}
	}
	return names
}

// receiver is "(*T)." or "T." for a method, and nothing for a function.
func receiver(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	of, form := function.Recv.List[0].Type, "%s."
	if pointer, ok := of.(*ast.StarExpr); ok {
		of, form = pointer.X, "(*%s)."
	}
	switch generic := of.(type) {
	case *ast.IndexExpr:
		of = generic.X
	case *ast.IndexListExpr:
		of = generic.X
	}
	return fmt.Sprintf(form, of.(*ast.Ident).Name)
}

func checkAnchor(file, anchor string) string {
	text, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	seen := map[string]int{}
	for _, heading := range headingPattern.FindAllStringSubmatch(fencePattern.ReplaceAllString(string(text), ""), -1) {
		slug := headingAnchor(heading[1])
		if n := seen[slug]; n > 0 && anchor == fmt.Sprintf("%s-%d", slug, n) {
			return ""
		}
		if seen[slug] == 0 && slug == anchor {
			return ""
		}
		seen[slug]++
	}
	return fmt.Sprintf("no heading gives the anchor %q", anchor)
}

// headingAnchor is the anchor that a heading gets where the pages are shown.
func headingAnchor(heading string) string {
	return strings.Map(func(r rune) rune {
		switch {
		case r == ' ' || r == '-':
			return '-'
		case unicode.IsLetter(r), unicode.IsDigit(r), r == '_':
			return unicode.ToLower(r)
		}
		return -1
	}, strings.TrimSpace(heading))
}
