package main

import (
	"context"
	"errors"
	"os"
	"strings"

	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"stoneford/internal/fleetstate"
)

// fleetCommand asks processes whose databases announce themselves (design 14).
func fleetCommand() *cli.Command {
	at := func() []cli.Flag {
		return []cli.Flag{&cli.StringFlag{Name: "at", Usage: "addresses at which processes tell their state, separated by commas", Sources: cli.EnvVars("STONEFORD_AT"), Required: true}}
	}
	subcommand := func(name, usage string, withTable bool, show func(context.Context, []fleetstate.FetchResult) (any, func() error, error)) *cli.Command {
		return &cli.Command{Name: name, Usage: usage, Flags: at(), Action: func(ctx context.Context, c *cli.Command) error {
			return runFleetCommand(ctx, c, withTable, show)
		}}
	}
	states := func(rs []fleetstate.FetchResult) any {
		return lo.FilterMap(rs, func(r fleetstate.FetchResult, _ int) (fleetstate.ProcessState, bool) { return r.State, r.Err == nil })
	}
	return &cli.Command{Name: "fleet", Usage: "ask processes on a platform of databases that announce themselves (docs/platform.md)", Commands: append([]*cli.Command{
		subcommand("status", "each process asked: voters, registers, routing table, sessions", false, func(_ context.Context, rs []fleetstate.FetchResult) (any, func() error, error) {
			return states(rs), func() error { return fleetstate.WriteStatus(os.Stdout, rs) }, nil
		}),
		subcommand("voters", "who votes, under which membership, how far each is, and who asks to vote", false, func(_ context.Context, rs []fleetstate.FetchResult) (any, func() error, error) {
			return states(rs), func() error { return fleetstate.WriteVoters(os.Stdout, rs) }, nil
		}),
		subcommand("databases", "databases known, and how pool nodes asked use them", false, func(_ context.Context, rs []fleetstate.FetchResult) (any, func() error, error) {
			return states(rs), func() error { return fleetstate.WriteDatabases(os.Stdout, rs) }, nil
		}),
		subcommand("leaders", "each group's term, primary, phase, cause, holder and members", false, func(_ context.Context, rs []fleetstate.FetchResult) (any, func() error, error) {
			return states(rs), func() error { return fleetstate.WriteLeaders(os.Stdout, rs) }, nil
		}),
		subcommand("nodes", "processes that looked lately; each is asked for itself", false, nodes),
		subcommand("table", "the routing table in force, and what changed it lately", true, func(_ context.Context, rs []fleetstate.FetchResult) (any, func() error, error) {
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
func nodes(ctx context.Context, replies []fleetstate.FetchResult) (any, func() error, error) {
	s, err := fleetstate.FirstControl(replies)
	if err != nil {
		return nil, nil, err
	}
	var addresses []string
	for _, n := range s.Control.Nodes {
		if a, err := fleetstate.StateAddress(n.Node); err == nil {
			addresses = append(addresses, a)
		}
	}
	own := map[string]fleetstate.ProcessState{}
	for _, r := range fleetstate.FetchAll(ctx, addresses, false) {
		if r.Err == nil {
			own[r.State.Node] = r.State
		}
	}
	return struct {
		Seen []fleetstate.Node                  `json:"seen"`
		Own  map[string]fleetstate.ProcessState `json:"own"`
	}{s.Control.Nodes, own}, func() error { return fleetstate.WriteNodes(os.Stdout, s, own) }, nil
}

func runFleetCommand(ctx context.Context, c *cli.Command, withTable bool, show func(context.Context, []fleetstate.FetchResult) (any, func() error, error)) error {
	addresses := lo.Compact(strings.Split(c.String("at"), ","))
	replies := fleetstate.FetchAll(ctx, addresses, withTable)
	failed := lo.FilterMap(replies, func(r fleetstate.FetchResult, _ int) (error, bool) { return r.Err, r.Err != nil })
	if len(failed) == len(replies) {
		return errors.Join(append(failed, errors.New("none of the processes named replied"))...)
	}
	v, tables, err := show(ctx, replies)
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
