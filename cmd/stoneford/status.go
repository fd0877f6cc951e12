package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"stoneford/internal/control"
)

// statusCommand returns the command that prints the state of the fleet as one control
// process knows it.
func statusCommand() *cli.Command {
	return &cli.Command{Name: "status", Usage: "nodes, groups and who holds which duty", Action: status}
}

func status(ctx context.Context, c *cli.Command) error {
	s, err := client(c).Status(ctx)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(s)
	}
	if err := writeStatus(s); err != nil {
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

func writeStatus(s control.Status) error {
	w := newTable(os.Stdout)
	fmt.Fprintln(w, "GROUP\tEPOCH\tPHASE\tPRIMARY\tDUTY HOLDER\tCAUSE")
	for _, g := range s.Groups {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\n", g.Name, g.Epoch, g.Phase, g.Primary, g.Leader, g.Cause)
	}
	fmt.Fprintln(w, "\nNODE\tKIND\tZONE\tADDRESS\tHTTP\tSTANDING")
	for _, n := range s.Nodes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", n.Name, n.Kind, n.Zone, n.Address, n.HTTP, nodeStanding(n))
	}
	return w.Flush()
}

// nodeStanding returns the text of the column STANDING for a node.
func nodeStanding(n control.NodeStatus) string {
	switch {
	case n.Draining:
		return "leaving"
	case n.Alive:
		return "alive"
	}
	return "silent"
}

// newTable returns a writer that aligns tab-separated cells in columns.
func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 4, 2, ' ', 0) }
