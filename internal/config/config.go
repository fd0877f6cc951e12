// Package config reads a process's boot from a file and flags, and
// notices a changed file without a signal (design 10.2).
package config

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"stoneford/internal/settings"
	"stoneford/schema"
)

// Flags are the command-line flags every daemon has: one for each single
// setting, over whatever the file says.
func Flags() []cli.Flag {
	flags := []cli.Flag{&cli.StringFlag{Name: "boot", Usage: "boot `FILE` in JSON"}}
	fields := (&schema.Boot{}).ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		u := settings.FieldSetting(f).GetDoc()
		switch {
		case f.IsMap():
		case f.IsList():
			flags = append(flags, &cli.StringFlag{Name: flagName(string(f.Name())), Usage: u + ", separated by commas"})
		default:
			flags = append(flags, &cli.StringFlag{Name: flagName(string(f.Name())), Usage: u})
		}
	}
	return flags
}

func flagName(n string) string { return strings.ReplaceAll(n, "_", "-") }

// Read reads the file, puts the flags over it and checks the whole.
func Read(c *cli.Command) (*schema.Boot, error) {
	m := map[string]any{}
	if p := c.String("boot"); p != "" {
		b, err := os.ReadFile(p)
		if err != nil {
			return nil, err
		}
		if err := json.Unmarshal(b, &m); err != nil {
			return nil, errs.New("%s: %v", p, err)
		}
	}
	fields := (&schema.Boot{}).ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		n := string(fields.Get(i).Name())
		if v := c.String(flagName(n)); v != "" && c.IsSet(flagName(n)) {
			m[n] = v
			if fields.Get(i).IsList() {
				m[n] = strings.Split(v, ",")
			}
		}
	}
	b, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	return Check(b)
}

// Listen opens the two listeners of a process.
func Listen(b *schema.Boot) (nodes, http net.Listener, err error) {
	if nodes, err = net.Listen("tcp", cmp.Or(b.Bind, b.Listen)); err != nil {
		return nil, nil, err
	}
	if http, err = net.Listen("tcp", cmp.Or(b.BindHttp, b.Http)); err != nil {
		return nil, nil, errs.Combine(err, nodes.Close())
	}
	return nodes, http, nil
}

// Check reads a boot from JSON text.
func Check(b []byte) (*schema.Boot, error) {
	s := &schema.Boot{}
	var problems errs.Group
	for _, p := range settings.Read(b, s) {
		problems.Add(fmt.Errorf("boot: %s", p))
	}
	return s, problems.Err()
}

// Watch calls changed with each new reading of the file that differs from the
// one before, the first of which is known, until the context ends. It looks once
// a second at the file's text itself: times and sizes can stay the same over a
// change.
func Watch(ctx context.Context, c *cli.Command, known *schema.Boot, changed func(*schema.Boot, error)) {
	p := c.String("boot")
	if p == "" {
		return
	}
	var old []byte
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		text, err := os.ReadFile(p)
		if err != nil || slices.Equal(text, old) {
			continue
		}
		old = text
		b, err := Read(c)
		if err == nil && proto.Equal(b, known) {
			continue
		}
		if err == nil {
			known = b
		}
		changed(b, err)
	}
}
