package main

import (
	"context"
	"errors"
	"io"
	"os"

	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"stoneford/internal/fleetstate"
)

// view is the output of a fleet command: data is printed as JSON, write prints the same as
// text.
type view struct {
	data  any
	write func() error
}

// showFunc returns a view of the states of the processes.
type showFunc func(context.Context, []fleetstate.FetchResult) (view, error)

// fleetCommand returns the command that reads the states of processes on a platform whose
// databases announce themselves (design 14).
func fleetCommand() *cli.Command {
	commands := []*cli.Command{
		fleetSubcommand("status", "each process asked: voters, registers, routing table, sessions", false, showStates(fleetstate.WriteStatus)),
		fleetSubcommand("voters", "who votes, under which membership, how far each is, and who asks to vote", false, showStates(fleetstate.WriteVoters)),
		fleetSubcommand("databases", "databases known, and how pool nodes asked use them", false, showStates(fleetstate.WriteDatabases)),
		fleetSubcommand("leaders", "each group's term, primary, phase, cause, holder and members", false, showStates(fleetstate.WriteLeaders)),
		fleetSubcommand("nodes", "processes that looked lately; each is asked for itself", false, showNodes),
		fleetSubcommand("table", "the routing table in force, and what changed it lately", true, showTable),
	}
	return &cli.Command{
		Name:     "fleet",
		Usage:    "ask processes on a platform of databases that announce themselves (docs/platform.md)",
		Commands: append(commands, moveCommands()...),
	}
}

// atFlags returns the flag for the addresses of the processes to call.
func atFlags() []cli.Flag {
	return []cli.Flag{&cli.StringFlag{
		Name:     "at",
		Usage:    "addresses at which processes tell their state, separated by commas",
		Sources:  cli.EnvVars("STONEFORD_AT"),
		Required: true,
	}}
}

// fleetSubcommand returns a command that fetches the states of the processes given by the
// flag at and shows them. If withTable is set, the states include the routing table.
func fleetSubcommand(name, usage string, withTable bool, show showFunc) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: atFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return showFleet(ctx, c, withTable, show)
		},
	}
}

// showFleet fetches the states and shows those of the processes that replied. It also
// returns the errors of the processes that did not.
func showFleet(ctx context.Context, c *cli.Command, withTable bool, show showFunc) error {
	results := fleetstate.FetchAll(ctx, splitAddresses(c.String("at")), withTable)
	failures := lo.FilterMap(results, func(r fleetstate.FetchResult, _ int) (error, bool) { return r.Err, r.Err != nil })
	if len(failures) == len(results) {
		return errors.Join(append(failures, errors.New("none of the processes named replied"))...)
	}
	v, err := show(ctx, results)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		err = printJSON(v.data)
	} else {
		err = v.write()
	}
	return errors.Join(append(failures, err)...)
}

// showStates returns a function that shows the states of all processes that replied.
func showStates(write func(io.Writer, []fleetstate.FetchResult) error) showFunc {
	return func(_ context.Context, results []fleetstate.FetchResult) (view, error) {
		states := lo.FilterMap(results, func(r fleetstate.FetchResult, _ int) (fleetstate.ProcessState, bool) { return r.State, r.Err == nil })
		return view{states, func() error { return write(os.Stdout, results) }}, nil
	}
}

// showTable shows the routing table of the first control process that replied. If none
// replied, it shows the routing table of a pool node.
func showTable(_ context.Context, results []fleetstate.FetchResult) (view, error) {
	s, err := fleetstate.FirstControl(results)
	for _, r := range results {
		if err != nil && r.Err == nil {
			s, err = r.State, nil
		}
	}
	return view{s.Table, func() error { return fleetstate.WriteTable(os.Stdout, s) }}, err
}

// showNodes shows the pool nodes that the first control process knows. It fetches the
// state of each pool node from the node itself.
func showNodes(ctx context.Context, results []fleetstate.FetchResult) (view, error) {
	s, err := fleetstate.FirstControl(results)
	if err != nil {
		return view{}, err
	}
	var addresses []string
	for _, n := range s.Control.Nodes {
		if address, err := fleetstate.StateAddress(n.NodeAddress); err == nil {
			addresses = append(addresses, address)
		}
	}
	ownStates := map[string]fleetstate.ProcessState{}
	for _, r := range fleetstate.FetchAll(ctx, addresses, false) {
		if r.Err == nil {
			ownStates[r.State.NodeAddress] = r.State
		}
	}
	data := struct {
		Seen []fleetstate.Node                  `json:"seen"`
		Own  map[string]fleetstate.ProcessState `json:"own"`
	}{s.Control.Nodes, ownStates}
	return view{data, func() error { return fleetstate.WriteNodes(os.Stdout, s, ownStates) }}, nil
}
