package main

import (
	"os"
	"path/filepath"
	"testing"
)

func TestPlantedWordsAreFound(t *testing.T) {
	for _, c := range []struct {
		file, text string
		found      int
	}{
		{"pool/a.go", "package pool\n\nvar lease int\n", 1},
		{"pool/a.go", "package pool\n\nfunc f() { peers := \"a deadline\"; _ = peers }\n", 2},
		{"pool/a.go", "package pool\n\n// Its answer is forwarded.\n", 2},
		{"ballots/a.go", "package ballots\n\ntype Peer struct{ Version int }\n", 2},
		{"pool/a.go", "package pool\n\n// A neighbour returns.\nvar burden int\n", 0},
		{"docs/operating.md", "## 14. Refused requests\n", 2},
		{"docs/design.md", "# Design\n\n3.4 A lease is asked for.\n", 1},
		{"schema/messages.proto", "// the peer's answer\n", 2},
		// Covered, each with its reason:
		{"docs/design.md", "## 14. A lease\n\n14.4 A lease is a lease.\n", 0},
		{"ports/a.go", "package ports\n\ntype Answer struct{}\n", 0},
		{"coordinator/a.go", "package coordinator\n\nvar lease, deadline int\n", 0},
		{"docs/platform.md", "a lease\n", 0},
		{"docs/incidents/a.md", "an answer\n", 0},
	} {
		t.Chdir(t.TempDir())
		if err := os.MkdirAll(filepath.Dir(c.file), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(c.file, []byte(c.text), 0o644); err != nil {
			t.Fatal(err)
		}
		k := &checker{}
		if err := k.look(); err != nil || k.found != c.found {
			t.Errorf("%s, %q: %d found, not %d: %v", c.file, c.text, k.found, c.found, err)
		}
	}
}

func TestNothingToLookAtIsSaid(t *testing.T) {
	t.Chdir(t.TempDir())
	if (&checker{}).look() == nil {
		t.Error("an empty folder passed")
	}
}
