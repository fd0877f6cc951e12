package main

import (
	"context"
	"fmt"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"stoneford/internal/replay"
	"stoneford/result"
)

// replayCommand returns the command that sends recorded calls to a pool node.
func replayCommand() *cli.Command {
	return &cli.Command{
		Name:      "replay",
		Usage:     "send what a HAR file recorded of callers to a pool node again",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "node", Usage: "callers' address of the node", Required: true},
			&cli.FloatFlag{Name: "speed", Usage: "1 as recorded, 2 twice as fast, 0 without any pause"},
		},
		Action: replayFile,
	}
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
