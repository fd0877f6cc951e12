package settings

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"google.golang.org/protobuf/proto"
)

// TestAllErrorsAreReported: one reading lists all errors, by field.
func TestAllErrorsAreReported(t *testing.T) {
	_, problems := ReadConfiguration([]byte(`{
		"databases": {"a": {"address": "10.0.0.1:1", "zone": "cluj", "connections": 0}, "b": {"address": "10.0.0.1:1", "zone": "Cluj!"}, "C?": {}},
		"groups": {"stock": {"members": ["a", "b", "nope"], "primary": "z"}, "two": {"members": ["a"], "primary": "a"}},
		"classes": {"x": {"kind": "fresh", "stale_us": "1s"}, "y": {"kind": "stale", "stale_us": 1000, "margin_us": 1000}},
		"routes": {"r": {"group": "none", "classes": ["y", "zz"], "line": 1.5, "colour": "red"}},
		"time_zone": "Mars/Olympus", "extra": 1}`))
	b, err := json.MarshalIndent(problems, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "problems", b)
}

// TestDefaults: what is left out has its default.
func TestDefaults(t *testing.T) {
	c, problems := ReadConfiguration([]byte(`{"classes": {"lookup": {"kind": "stale"}}}`))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	if k := c.Classes["lookup"]; k.StaleUs != 1_500_000 || k.ExpiryUs != 5_000_000 || c.TimeZone != "UTC" {
		t.Fatalf("%v", c)
	}
	for _, bad := range []string{"", "{", "[]", `{} {}`, `{"classes": 3}`} {
		if _, problems := ReadConfiguration([]byte(bad)); len(problems) == 0 {
			t.Errorf("%q is taken", bad)
		}
	}
}

// FuzzReadConfiguration: no text ends the process; what passes says the same when
// it is written out and read again.
func FuzzReadConfiguration(f *testing.F) {
	for _, s := range []string{`{}`, `null`, `{"classes":{"lookup":{"kind":"stale","stale_us":1e3}}}`, `{"databases":{"a":{"address":"10.0.0.1:1","zone":"c","connections":99999999999999999999}}}`,
		`{"routes":{"r":{"group":null,"classes":[null,{}]}}}`, `{"time_zone":"../../etc/passwd"}`, `{"classes":{"":{"kind":"pinned"}}}`, `{"classes":{"x":{"kind":"stale"},"x":{"kind":"pinned"}}}`, strings.Repeat(`{"a":`, 5000)} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		c, problems := ReadConfiguration(b)
		if len(problems) > 0 {
			for _, p := range problems {
				if p.Text == "" {
					t.Errorf("%q: a problem without a text at %q", b, p.Field)
				}
			}
			return
		}
		w, err := Write(c)
		if err != nil {
			t.Fatal(err)
		}
		if reread, problems := ReadConfiguration(w); len(problems) > 0 || !proto.Equal(reread, c) {
			t.Errorf("%q reads back as %v %v", b, reread, problems)
		}
	})
}
