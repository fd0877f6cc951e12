package main

import (
	"context"
	"errors"
	"os"
	"strings"

	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"stoneford/fleetstate"
)

// fleetCommand asks processes whose databases announce themselves (design 14).
func fleetCommand() *cli.Command {
	at := func() []cli.Flag {
		return []cli.Flag{&cli.StringFlag{Name: "at", Usage: "addresses at which processes tell their state, separated by commas", Sources: cli.EnvVars("STONEFORD_AT"), Required: true}}
	}
	one := func(name, usage string, whole bool, show func(context.Context, []fleetstate.Reply) (any, func() error, error)) *cli.Command {
		return &cli.Command{Name: name, Usage: usage, Flags: at(), Action: func(ctx context.Context, c *cli.Command) error {
			return fleet(ctx, c, whole, show)
		}}
	}
	states := func(rs []fleetstate.Reply) any {
		return lo.FilterMap(rs, func(r fleetstate.Reply, _ int) (fleetstate.State, bool) { return r.State, r.Err == nil })
	}
	return &cli.Command{Name: "fleet", Usage: "ask processes on a platform of databases that announce themselves (docs/platform.md)", Commands: append([]*cli.Command{
		one("status", "each process asked: voters, registers, routing table, sessions", false, func(_ context.Context, rs []fleetstate.Reply) (any, func() error, error) {
			return states(rs), func() error { return fleetstate.WriteStatus(os.Stdout, rs) }, nil
		}),
		one("voters", "who votes, under which membership, how far each is, and who asks to vote", false, func(_ context.Context, rs []fleetstate.Reply) (any, func() error, error) {
			return states(rs), func() error { return fleetstate.WriteVoters(os.Stdout, rs) }, nil
		}),
		one("databases", "databases known, and how pool nodes asked use them", false, func(_ context.Context, rs []fleetstate.Reply) (any, func() error, error) {
			return states(rs), func() error { return fleetstate.WriteDatabases(os.Stdout, rs) }, nil
		}),
		one("leaders", "each group's term, primary, phase, cause, holder and members", false, func(_ context.Context, rs []fleetstate.Reply) (any, func() error, error) {
			return states(rs), func() error { return fleetstate.WriteLeaders(os.Stdout, rs) }, nil
		}),
		one("nodes", "processes that looked lately; each is asked for itself", false, nodes),
		one("table", "the routing table in force, and what changed it lately", true, func(_ context.Context, rs []fleetstate.Reply) (any, func() error, error) {
			s, err := fleetstate.FirstControl(rs)
			for _, r := range rs {
				if err != nil && r.Err == nil {
					s, err = r.State, nil // a pool node's own
				}
			}
			return s.Table, func() error { return fleetstate.WriteTable(os.Stdout, s) }, err
		}),
	}, moveCommands(at)...)}
}

// nodes asks those that the first control process named heard of.
func nodes(ctx context.Context, rs []fleetstate.Reply) (any, func() error, error) {
	s, err := fleetstate.FirstControl(rs)
	if err != nil {
		return nil, nil, err
	}
	var as []string
	for _, n := range s.Control.Nodes {
		if a, err := fleetstate.At(n.Node); err == nil {
			as = append(as, a)
		}
	}
	own := map[string]fleetstate.State{}
	for _, r := range fleetstate.AskAll(ctx, as, false) {
		if r.Err == nil {
			own[r.State.Node] = r.State
		}
	}
	return struct {
		Seen []fleetstate.Node           `json:"seen"`
		Own  map[string]fleetstate.State `json:"own"`
	}{s.Control.Nodes, own}, func() error { return fleetstate.WriteNodes(os.Stdout, s, own) }, nil
}

func fleet(ctx context.Context, c *cli.Command, whole bool, show func(context.Context, []fleetstate.Reply) (any, func() error, error)) error {
	as := lo.Compact(strings.Split(c.String("at"), ","))
	rs := fleetstate.AskAll(ctx, as, whole)
	failed := lo.FilterMap(rs, func(r fleetstate.Reply, _ int) (error, bool) { return r.Err, r.Err != nil })
	if len(failed) == len(rs) {
		return errors.Join(append(failed, errors.New("none of the processes named replied"))...)
	}
	v, tables, err := show(ctx, rs)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		err = printJSON(v)
	} else {
		err = tables()
	}
	return errors.Join(append(failed, err)...)
}
