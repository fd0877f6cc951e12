// Command stoneford is the operators' command line.
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
	"text/tabwriter"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"stoneford/internal/control"
	"stoneford/internal/operators"
	"stoneford/internal/replay"
	"stoneford/language"
	"stoneford/result"
)

// Exit codes beside 0.
const (
	exitFailed    = 1 // not done: nothing was reached, or it was returned with a code
	exitUncertain = 3 // a change may or may not come into force
)

func main() {
	c := &cli.Command{
		Name: "stoneford", Usage: "ask and change a stoneford fleet",
		Description: "Exit codes: 0 done, 1 not done, 3 a change may or may not come into force.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "control", Usage: "operators' addresses of the control processes, separated by commas", Sources: cli.EnvVars("STONEFORD_CONTROL")},
			&cli.StringFlag{Name: "token", Usage: "the partner's token", Sources: cli.EnvVars("STONEFORD_TOKEN")},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Commands: []*cli.Command{
			{Name: "status", Usage: "nodes, groups and who holds which duty", Action: status},
			fleetCommand(), dataCommand(),
			{Name: "say", HideHelpCommand: true, Usage: "type a question or a command, such as: what is booked tomorrow", ArgsUsage: "WORDS...",
				Description: language.Help, Action: runSentence},
			{Name: "replay", Usage: "send what a HAR file recorded of callers to a pool node again", ArgsUsage: "FILE",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "node", Usage: "callers' address of the node", Required: true},
					&cli.FloatFlag{Name: "speed", Usage: "1 as recorded, 2 twice as fast, 0 without any pause"},
				}, Action: replayFile},
			{Name: "configuration", Usage: "read or change the partner's configuration", Commands: []*cli.Command{
				{Name: "get", Usage: "print the configuration and its revision, read through a majority",
					Flags:  []cli.Flag{&cli.BoolFlag{Name: "applied", Usage: "and which revision each process works by"}},
					Action: getConfiguration},
				{Name: "put", Usage: "replace the whole configuration", ArgsUsage: "FILE (- for standard input)", Flags: changeFlags(), Action: changeConfiguration(false)},
				{Name: "patch", Usage: "change part of it (JSON merge patch)", ArgsUsage: "JSON, or @FILE", Flags: changeFlags(), Action: changeConfiguration(true)},
			}},
		},
	}
	if err := c.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "stoneford:", err)
		var e codedError
		if errors.As(err, &e) && e.code == result.ChangeUncertain {
			os.Exit(exitUncertain)
		}
		os.Exit(exitFailed)
	}
}

// codedError is a return that is not done.
type codedError struct {
	code result.Code
	text string
}

func (c codedError) Error() string { return fmt.Sprintf("%d %s", c.code, c.text) }

func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Int64Flag{Name: "based-on", Value: -1, Usage: "revision the change is based on (default: the newest now)"},
		&cli.BoolFlag{Name: "dry-run", Usage: "check it, change nothing"},
	}
}

func client(c *cli.Command) operators.Client {
	return operators.Client{Token: c.String("token"), Addresses: lo.Compact(strings.Split(c.String("control"), ","))}
}

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func getConfiguration(ctx context.Context, c *cli.Command) error {
	r, err := client(c).Configuration(ctx, c.Bool("applied"))
	if err != nil {
		return err
	}
	return showConfiguration(c, r, true)
}

func showConfiguration(c *cli.Command, r control.Reply, withConfiguration bool) error {
	if c.Bool("json") {
		if err := printJSON(r); err != nil {
			return err
		}
	} else {
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
		for _, n := range slices.Sorted(maps.Keys(r.Applied)) {
			fmt.Printf("%s works by revision %d\n", n, r.Applied[n])
		}
	}
	if r.Code != result.OK {
		t := r.Text
		if r.Detail != "" {
			t += ": " + r.Detail
		}
		if r.Code == result.LosingRevision {
			t += fmt.Sprintf(" (it is %d)", r.Revision)
		}
		return codedError{code: r.Code, text: t}
	}
	return nil
}

func changeConfiguration(patch bool) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		b, err := configurationText(c.Args().First(), patch)
		if err != nil {
			return err
		}
		if !json.Valid(b) {
			return errors.New("the configuration is not JSON")
		}
		cl := client(c)
		base := c.Int64("based-on")
		if base < 0 {
			r, err := cl.Configuration(ctx, false)
			if err != nil {
				return err
			}
			if r.Code != result.OK {
				return showConfiguration(c, r, false)
			}
			base = int64(r.Revision)
		}
		r, err := cl.Change(ctx, uint64(base), b, patch, c.Bool("dry-run"))
		if err != nil {
			return codedError{code: result.ChangeUncertain, text: err.Error()}
		}
		return showConfiguration(c, r, c.Bool("dry-run"))
	}
}

func configurationText(arg string, patch bool) ([]byte, error) {
	f, isFile := strings.CutPrefix(arg, "@")
	switch {
	case arg == "":
		return nil, errors.New("nothing to send is named")
	case patch && !isFile && arg != "-":
		return []byte(arg), nil
	case arg == "-":
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(f)
}

func runSentence(ctx context.Context, c *cli.Command) error {
	t := strings.Join(c.Args().Slice(), " ")
	if t == "" {
		t = "help"
	}
	r, err := client(c).Run(ctx, t)
	if err != nil {
		return codedError{code: result.ChangeUncertain, text: err.Error()}
	}
	if c.Bool("json") {
		if err := printJSON(r); err != nil {
			return err
		}
	} else if r.Code == result.OK {
		fmt.Println(r.Return)
	}
	if r.Code != result.OK {
		m := r.Text
		if r.Return != "" {
			m += "\n  " + r.Return
		}
		var e *language.Error
		if _, err := language.Parse(t, time.Now()); r.Code == result.NotUnderstood && errors.As(err, &e) {
			m += fmt.Sprintf("\n  %s\n  %*s", t, e.Column, "^")
		}
		return codedError{code: r.Code, text: m}
	}
	return nil
}

func replayFile(ctx context.Context, c *cli.Command) error {
	entries, err := replay.Read(c.Args().First())
	if err != nil {
		return err
	}
	outcomes := replay.Send(ctx, clockwork.NewRealClock(), c.String("node"), entries, c.Float("speed"))
	if c.Bool("json") {
		return printJSON(outcomes)
	}
	done := lo.CountBy(outcomes, func(o replay.Outcome) bool { return o.Outcome == result.Done })
	for _, o := range outcomes {
		if o.Outcome != result.Done {
			fmt.Printf("entry %d: recorded %d, now %d, code %d %s %s\n", o.Entry, o.RecordedStatus, o.Status, o.Code, o.Outcome, o.Error)
		}
	}
	fmt.Printf("%d of %d entries done\n", done, len(entries))
	return nil
}

func status(ctx context.Context, c *cli.Command) error {
	s, err := client(c).Status(ctx)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(s)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "GROUP\tEPOCH\tPHASE\tPRIMARY\tDUTY HOLDER\tCAUSE")
	for _, g := range s.Groups {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\n", g.Name, g.Epoch, g.Phase, g.Primary, g.Leader, g.Cause)
	}
	fmt.Fprintln(w, "\nNODE\tKIND\tZONE\tADDRESS\tHTTP\tSTANDING")
	for _, n := range s.Nodes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", n.Name, n.Kind, n.Zone, n.Address, n.HTTP, lo.Ternary(n.Draining, "leaving", lo.Ternary(n.Alive, "alive", "silent")))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if !s.Voting {
		fmt.Println("\nthis control process does not vote yet")
	}
	if !s.Majority {
		fmt.Println("\nthis control process reaches no majority of the others: what it shows may be old")
	}
	return nil
}
