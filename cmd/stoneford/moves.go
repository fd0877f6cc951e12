package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"stoneford/internal/coordinator"
	"stoneford/internal/operators"
	"stoneford/result"
)

const movesTimeout = 8 * time.Second

// moveCommands move groups between sites (docs/moves.md).
func moveCommands(at func() []cli.Flag) []*cli.Command {
	return []*cli.Command{
		{Name: "move", Usage: "have a group's primary serve at a site, a zone or a region", ArgsUsage: "GROUP SITE", Flags: at(),
			Action: func(ctx context.Context, c *cli.Command) error {
				if c.Args().Len() != 2 {
					return errors.New("a group and a site are to be named")
				}
				r, err := callMoves(ctx, c, http.MethodPost, "", coordinator.MoveRequest{Group: c.Args().Get(0), Site: c.Args().Get(1)})
				return showMove(c, r, err, "staged")
			}},
		{Name: "moves", Usage: "where groups are placed, and how far their moves have come", Flags: at(), Action: moves},
		{Name: "cancel-move", Usage: "take a move back that is staged", ArgsUsage: "GROUP", Flags: at(),
			Action: func(ctx context.Context, c *cli.Command) error {
				if c.Args().Len() != 1 {
					return errors.New("a group is to be named")
				}
				r, err := callMoves(ctx, c, http.MethodDelete, "/"+url.PathEscape(c.Args().First()), nil)
				return showMove(c, r, err, "taken back")
			}},
	}
}

// callMoves asks the processes named in turn until one replies. A change goes to
// the next only where the one before was never reached, or is no control process.
func callMoves(ctx context.Context, c *cli.Command, method, path string, in any) (coordinator.MoveReply, error) {
	var all []error
	for _, a := range lo.Compact(strings.Split(c.String("at"), ",")) {
		r, retry, err := callMovesAt(ctx, a, method, path, in)
		if err == nil {
			return r, nil
		}
		all = append(all, fmt.Errorf("%s: %w", a, err))
		if !retry {
			return r, codedError{code: result.ChangeUncertain, text: errors.Join(all...).Error()}
		}
	}
	return coordinator.MoveReply{}, errors.Join(append(all, errors.New("no control process named replied"))...)
}

func callMovesAt(ctx context.Context, at, method, path string, in any) (r coordinator.MoveReply, retry bool, err error) {
	ctx, stop := context.WithTimeout(ctx, movesTimeout)
	defer stop()
	var body io.Reader = http.NoBody
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return r, false, err
		}
		body = bytes.NewReader(b)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+at+coordinator.MovesPath+path, body)
	if err != nil {
		return r, false, err
	}
	response, err := operators.HTTP.Do(request)
	if err != nil {
		var op *net.OpError
		return r, method == http.MethodGet || errors.As(err, &op) && op.Op == "dial", err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound && response.Header.Get("Content-Type") != "application/json" {
		return r, true, errors.New("this is no control process")
	}
	return r, method == http.MethodGet, operators.ReadReply(response, &r)
}

func showMove(c *cli.Command, r coordinator.MoveReply, err error, done string) error {
	if err != nil {
		return err
	}
	if c.Bool("json") {
		if err := printJSON(r); err != nil {
			return err
		}
	} else if r.Code == result.OK {
		fmt.Printf("%s; table %d\n", done, r.Table)
	}
	if r.Code != result.OK {
		return codedError{code: r.Code, text: r.Text + ": " + r.Problem}
	}
	return nil
}

func moves(ctx context.Context, c *cli.Command) error {
	r, err := callMoves(ctx, c, http.MethodGet, "", nil)
	if err != nil {
		return err
	}
	if r.Code != result.OK {
		return codedError{code: r.Code, text: r.Text}
	}
	if c.Bool("json") {
		return printJSON(r.Moves)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "GROUP\tSITE\tPRIMARY\tAT\tMOVE\tFROM\tTO\tTABLE\tCAUSE OR WHAT IT WAITS FOR\tBEHIND")
	for _, m := range r.Moves {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", m.Group, m.Site, m.Primary, m.Zone, m.Phase, m.From, m.To, m.Table,
			m.Cause+m.WaitingFor, strings.Join(m.Lagging, ", "))
	}
	return w.Flush()
}
