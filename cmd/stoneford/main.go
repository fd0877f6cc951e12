// Command stoneford is the command line for operators (docs/operating.md). Its commands
// call the HTTP interfaces of control processes or pool nodes, except for the data command,
// which reads a folder on the same machine.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"stoneford/internal/operators"
	"stoneford/result"
)

// Exit codes other than 0.
const (
	exitFailed    = 1 // not done: no process was reached, or the reply was an error
	exitUncertain = 3 // it is unknown whether a change takes effect
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "stoneford:", err)
		os.Exit(exitCode(err))
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:        "stoneford",
		Usage:       "ask and change a stoneford fleet",
		Description: "Exit codes: 0 done, 1 not done, 3 a change may or may not come into force.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "control", Usage: "operators' addresses of the control processes, separated by commas", Sources: cli.EnvVars("STONEFORD_CONTROL")},
			&cli.StringFlag{Name: "token", Usage: "the partner's token", Sources: cli.EnvVars("STONEFORD_TOKEN")},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Commands: []*cli.Command{
			statusCommand(),
			fleetCommand(),
			dataCommand(),
			sentenceCommand(),
			replayCommand(),
			configurationCommand(),
		},
	}
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var replyErr replyError
	if errors.As(err, &replyErr) && replyErr.code == result.ChangeUncertain {
		return exitUncertain
	}
	return exitFailed
}

// replyError is an error with a result code, as a process replied or as uncertainError
// assigned it.
type replyError struct {
	code result.Code
	text string
}

// Error returns the code and the text of the error.
func (c replyError) Error() string { return fmt.Sprintf("%d %s", c.code, c.text) }

// uncertainError returns the error of a change that failed after a process may have
// received it.
func uncertainError(err error) error {
	return replyError{code: result.ChangeUncertain, text: err.Error()}
}

func client(c *cli.Command) operators.Client {
	return operators.Client{Token: c.String("token"), Addresses: splitAddresses(c.String("control"))}
}

func splitAddresses(list string) []string { return lo.Compact(strings.Split(list, ",")) }

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
