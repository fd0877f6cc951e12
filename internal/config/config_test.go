package config

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/urfave/cli/v3"

	"stoneford/schema"
)

const good = `{"name":"pool-1","zone":"cluj","listen":"10.0.0.1:1","http":"10.0.0.1:2","seeds":["10.0.0.1:3","10.0.0.2:3","10.0.0.3:3"],"log_level":"warn"}`

// command is the daemons' command line over a boot file.
func command(t *testing.T, file string, do func(context.Context, *cli.Command) error, args ...string) {
	t.Helper()
	c := &cli.Command{Name: "x", Flags: Flags(), Action: do}
	if err := c.Run(context.Background(), append([]string{"x", "--boot", file}, args...)); err != nil {
		t.Fatal(err)
	}
}

// TestWatchReportsChanges: a file that is rewritten in place without a signal — valid,
// truncated, with an invalid value and valid again — is read each time. An invalid one
// is reported, and the next valid one still comes.
func TestWatchReportsChanges(t *testing.T) {
	file := filepath.Join(t.TempDir(), "boot.json")
	write := func(s string) {
		t.Helper()
		if err := os.WriteFile(file, []byte(s), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write(good)
	command(t, file, func(ctx context.Context, c *cli.Command) error {
		ctx, stop := context.WithCancel(ctx)
		defer stop()
		type seen struct {
			b   *schema.Boot
			err error
		}
		ch := make(chan seen)
		known, err := Read(c)
		if err != nil {
			return err
		}
		go Watch(ctx, c, known, func(b *schema.Boot, err error) { ch <- seen{b, err} })
		for _, s := range []struct{ text, level, errorText string }{
			{strings.Replace(good, "warn", "debug", 1), "debug", ""},
			{good[:len(good)/2], "", "boot.json"},
			{strings.Replace(good, "warn", "loud", 1), "", "log_level"},
			{strings.Replace(good, "warn", "error", 1), "error", ""},
		} {
			write(s.text)
			select {
			case v := <-ch:
				switch {
				case s.errorText == "" && (v.err != nil || v.b.LogLevel != s.level):
					t.Errorf("%s: %v %v", s.level, v.b, v.err)
				case s.errorText != "" && (v.err == nil || !strings.Contains(v.err.Error(), s.errorText)):
					t.Errorf("an error that names %s: %v", s.errorText, v.err)
				}
			case <-time.After(time.Minute):
				t.Fatalf("%.40s was not noticed", s.text)
			}
		}
		return nil
	})
}

// TestFlagsOverrideFile: a flag overrides the file, also for a list, and the result is checked.
func TestFlagsOverrideFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "boot.json")
	if err := os.WriteFile(file, []byte(good), 0o644); err != nil {
		t.Fatal(err)
	}
	command(t, file, func(_ context.Context, c *cli.Command) error {
		b, err := Read(c)
		if err != nil || b.Zone != "iasi" || len(b.Seeds) != 3 || b.Seeds[0] != "10.0.0.4:3" || b.Name != "pool-1" {
			t.Errorf("%v %v", b, err)
		}
		return nil
	}, "--zone", "iasi", "--seeds", "10.0.0.4:3,10.0.0.2:3,10.0.0.3:3")
	command(t, file, func(_ context.Context, c *cli.Command) error {
		if _, err := Read(c); err == nil || !strings.Contains(err.Error(), "seeds") {
			t.Errorf("two seeds: %v", err)
		}
		return nil
	}, "--seeds", "10.0.0.4:3,10.0.0.2:3")
}

// FuzzCheck: no text ends the process; what passes has the required settings.
func FuzzCheck(f *testing.F) {
	for _, s := range []string{good, "", "null", "[]", `{"name":3}`, good[:40], `{"tokens":{"a":1},"seeds":"x"}`, `{"nobody":"knows"}`, strings.Repeat("[", 10000)} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Check(b)
		if err == nil && (s.Name == "" || len(s.Seeds) != 3 || !json.Valid(b)) {
			t.Errorf("%q passes as %v", b, s)
		}
	})
}

// TestFlagNames: the daemons' flags, which are made of the schema's field names, are
// those that scripts give.
func TestFlagNames(t *testing.T) {
	var got []string
	for _, f := range Flags() {
		got = append(got, f.Names()...)
	}
	want := []string{"boot", "name", "zone", "partner", "listen", "http", "seeds", "data-folder", "platform", "bind", "bind-http", "log-level"}
	if !slices.Equal(got, want) {
		t.Errorf("they are %v, not %v", got, want)
	}
}
