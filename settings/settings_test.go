package settings

import (
	"encoding/json"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestEveryErrorIsTold: one reading lists all errors, by field.
func TestEveryErrorIsTold(t *testing.T) {
	_, ps := ReadConfiguration([]byte(`{
		"databases": {"a": {"address": "10.0.0.1:1", "zone": "cluj", "connections": 0}, "b": {"address": "10.0.0.1:1", "zone": "Cluj!"}, "C?": {}},
		"groups": {"stock": {"members": ["a", "b", "nope"], "primary": "z"}, "two": {"members": ["a"], "primary": "a"}},
		"classes": {"x": {"kind": "fresh", "stale_us": "1s"}, "y": {"kind": "stale", "stale_us": 1000, "margin_us": 1000}},
		"routes": {"r": {"group": "none", "classes": ["y", "zz"], "line": 1.5, "colour": "red"}},
		"time_zone": "Mars/Olympus", "extra": 1}`))
	b, err := json.MarshalIndent(ps, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "problems", b)
}

// TestDefaults: what is left out has its default.
func TestDefaults(t *testing.T) {
	c, ps := ReadConfiguration([]byte(`{"classes": {"lookup": {"kind": "stale"}}}`))
	if len(ps) > 0 {
		t.Fatal(ps)
	}
	if k := c.Classes["lookup"]; k.StaleUs != 1_500_000 || k.ExpiryUs != 5_000_000 || c.TimeZone != "UTC" {
		t.Fatalf("%v", c)
	}
	for _, bad := range []string{"", "{", "[]", `{} {}`, `{"classes": 3}`} {
		if _, ps := ReadConfiguration([]byte(bad)); len(ps) == 0 {
			t.Errorf("%q is taken", bad)
		}
	}
}
