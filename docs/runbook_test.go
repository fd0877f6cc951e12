package docs_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"testing"

	"stoneford/result"
)

// TestRunbookIsComplete holds that an alarm can be looked up: the runbook has every log
// code, invariant and metric.
func TestRunbookIsComplete(t *testing.T) {
	text, err := os.ReadFile("runbook.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, alarm := range alarms(t) {
		if !regexp.MustCompile(alarm).Match(text) {
			t.Errorf("docs/runbook.md does not have %s", alarm)
		}
	}
	for _, absent := range []string{logCode(599), regexp.QuoteMeta("`stoneford_pool_planted")} {
		if regexp.MustCompile(absent).Match(text) {
			t.Errorf("%s is found, which no alarm has", absent)
		}
	}
}

// logCode matches the first column of a code's row.
func logCode(code int) string { return fmt.Sprintf(`(?m)^\| [\d, ]*\b%d\b[\d, ]* \|`, code) }

// alarms are the expressions that find each log code, invariant and metric in the
// runbook.
func alarms(t *testing.T) []string {
	t.Helper()
	var found []string
	for _, row := range result.Table {
		if row.HTTP == 0 {
			found = append(found, logCode(int(row.Code)))
		}
	}
	rules := stringsOf(t, "internal/invariant", func(n ast.Node) ast.Expr {
		if spec, ok := n.(*ast.ValueSpec); ok && len(spec.Values) == 1 && fmt.Sprint(spec.Type) == "Rule" {
			return spec.Values[0]
		}
		return nil
	})
	for _, rule := range rules {
		found = append(found, regexp.QuoteMeta("| `"+rule+"` |"))
	}
	for _, program := range []string{"control", "pool"} {
		names := stringsOf(t, "internal/"+program, func(n ast.Node) ast.Expr {
			if call, ok := n.(*ast.CallExpr); ok && fmt.Sprint(call.Fun) == "metricDescription" {
				return call.Args[0]
			}
			return nil
		})
		for _, name := range names {
			found = append(found, regexp.QuoteMeta("`stoneford_"+program+"_"+name))
		}
	}
	return found
}

// stringsOf are the string literals that pick finds in the files of a folder; there has
// to be one.
func stringsOf(t *testing.T, folder string, pick func(ast.Node) ast.Expr) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(moduleRoot, folder, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(parsed, func(n ast.Node) bool {
			if literal, ok := pick(n).(*ast.BasicLit); ok {
				text, err := strconv.Unquote(literal.Value)
				if err != nil {
					t.Fatal(err)
				}
				found = append(found, text)
			}
			return true
		})
	}
	if len(found) == 0 {
		t.Errorf("%s: nothing was found", folder)
	}
	return found
}
