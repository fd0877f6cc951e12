package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"stoneford/internal/control"
	"stoneford/result"
)

// configurationCommand returns the command that reads or changes the partner's
// configuration.
func configurationCommand() *cli.Command {
	return &cli.Command{
		Name:  "configuration",
		Usage: "read or change the partner's configuration",
		Commands: []*cli.Command{
			{
				Name:   "get",
				Usage:  "print the configuration and its revision, read through a majority",
				Flags:  []cli.Flag{&cli.BoolFlag{Name: "applied", Usage: "and which revision each process works by"}},
				Action: getConfiguration,
			},
			{
				Name:      "put",
				Usage:     "replace the whole configuration",
				ArgsUsage: "FILE (- for standard input)",
				Flags:     changeFlags(),
				Action: func(ctx context.Context, c *cli.Command) error {
					return changeConfiguration(ctx, c, false)
				},
			},
			{
				Name:      "patch",
				Usage:     "change part of it (JSON merge patch)",
				ArgsUsage: "JSON, or @FILE",
				Flags:     changeFlags(),
				Action: func(ctx context.Context, c *cli.Command) error {
					return changeConfiguration(ctx, c, true)
				},
			},
		},
	}
}

// changeFlags returns the flags of the commands that change the configuration.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Int64Flag{Name: "based-on", Value: -1, Usage: "revision the change is based on (default: the newest now)"},
		&cli.BoolFlag{Name: "dry-run", Usage: "check it, change nothing"},
	}
}

func getConfiguration(ctx context.Context, c *cli.Command) error {
	r, err := client(c).Configuration(ctx, c.Bool("applied"))
	if err != nil {
		return err
	}
	return showConfiguration(c, r, true)
}

// changeConfiguration sends a change. It is based on the newest revision unless the flag
// based-on gives another revision.
func changeConfiguration(ctx context.Context, c *cli.Command, patch bool) error {
	text, err := configurationText(c.Args().First(), patch)
	if err != nil {
		return err
	}
	if !json.Valid(text) {
		return errors.New("the configuration is not JSON")
	}
	base := c.Int64("based-on")
	if base < 0 {
		r, err := client(c).Configuration(ctx, false)
		if err != nil {
			return err
		}
		if r.Code != result.OK {
			return showConfiguration(c, r, false)
		}
		base = int64(r.Revision)
	}
	dryRun := c.Bool("dry-run")
	r, err := client(c).Change(ctx, uint64(base), text, patch, dryRun)
	if err != nil {
		return uncertainError(err)
	}
	return showConfiguration(c, r, dryRun)
}

// configurationText returns the text to send. The argument is "-" for standard input or
// the path of a file, which may follow an "@". For a patch, an argument without "@" is the
// text itself.
func configurationText(arg string, patch bool) ([]byte, error) {
	path, isFile := strings.CutPrefix(arg, "@")
	switch {
	case arg == "":
		return nil, errors.New("nothing to send is named")
	case patch && !isFile && arg != "-":
		return []byte(arg), nil
	case arg == "-":
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

// showConfiguration prints a reply and returns an error unless its code is OK. If
// withConfiguration is set, the output includes the configuration; the JSON output always
// does.
func showConfiguration(c *cli.Command, r control.Reply, withConfiguration bool) error {
	if c.Bool("json") {
		if err := printJSON(r); err != nil {
			return err
		}
	} else if err := printConfiguration(r, withConfiguration); err != nil {
		return err
	}
	if r.Code == result.OK {
		return nil
	}
	text := r.Text
	if r.Detail != "" {
		text += ": " + r.Detail
	}
	if r.Code == result.RevisionConflict {
		text += fmt.Sprintf(" (it is %d)", r.Revision)
	}
	return replyError{code: r.Code, text: text}
}

// printConfiguration prints a reply as text.
func printConfiguration(r control.Reply, withConfiguration bool) error {
	for _, p := range r.Problems {
		fmt.Fprintln(os.Stderr, " ", p)
	}
	if r.Code == result.OK {
		fmt.Printf("%s, revision %d\n", r.Partner, r.Revision)
	}
	if withConfiguration && len(r.Configuration) > 0 {
		if err := printJSON(r.Configuration); err != nil {
			return err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.Applied)) {
		fmt.Printf("%s works by revision %d\n", name, r.Applied[name])
	}
	return nil
}
