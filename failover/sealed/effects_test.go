package sealed

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestEveryEffectIsCarriedOut: the control process has a case for each type that
// implements Effect.
func TestEveryEffectIsCarriedOut(t *testing.T) {
	handled := readPackage(t, "../../internal/control")
	effects := regexp.MustCompile(`func \((\w+)\) effect\(\)`).FindAllStringSubmatch(readPackage(t, "."), -1)
	if len(effects) == 0 {
		t.Fatal("no type implements Effect")
	}
	for _, effect := range effects {
		if !strings.Contains(handled, "case sealed."+effect[1]+":") {
			t.Errorf("no case for %s", effect[1])
		}
	}
}

// readPackage is the text of a package without its tests.
func readPackage(t *testing.T, folder string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		content, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		text.Write(content)
	}
	return text.String()
}
