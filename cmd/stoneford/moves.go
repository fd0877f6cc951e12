package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"stoneford/internal/coordinator"
	"stoneford/internal/operators"
	"stoneford/result"
)

// movesTimeout bounds a call to one control process. It is longer than a control process
// needs to commit a change or to give up on it.
const movesTimeout = 8 * time.Second

// moveCommands returns the commands that move groups between sites (docs/moves.md).
func moveCommands() []*cli.Command {
	return []*cli.Command{
		{
			Name:      "move",
			Usage:     "have a group's primary serve at a site, a zone or a region",
			ArgsUsage: "GROUP SITE",
			Flags:     atFlags(),
			Action:    move,
		},
		{
			Name:   "moves",
			Usage:  "where groups are placed, and how far their moves have come",
			Flags:  atFlags(),
			Action: moves,
		},
		{
			Name:      "cancel-move",
			Usage:     "take a move back that is staged",
			ArgsUsage: "GROUP",
			Flags:     atFlags(),
			Action:    cancelMove,
		},
	}
}

func move(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return errors.New("a group and a site are to be named")
	}
	r, err := callMoves(ctx, c, http.MethodPost, "", coordinator.MoveRequest{Group: c.Args().Get(0), Site: c.Args().Get(1)})
	if err != nil {
		return err
	}
	return showMove(c, r, "staged")
}

func cancelMove(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("a group is to be named")
	}
	r, err := callMoves(ctx, c, http.MethodDelete, "/"+url.PathEscape(c.Args().First()), nil)
	if err != nil {
		return err
	}
	return showMove(c, r, "taken back")
}

// callMoves calls the processes given by the flag at, one after the other, until one
// replies. It sends a change to another process only if the previous process could not be
// reached or is not a control process. After any other failure the previous process may
// have received the change, so that the error is uncertain.
func callMoves(ctx context.Context, c *cli.Command, method, path string, body any) (coordinator.MoveReply, error) {
	var failures []error
	for _, address := range splitAddresses(c.String("at")) {
		reply, retry, err := callMovesAt(ctx, address, method, path, body)
		if err == nil {
			return reply, nil
		}
		failures = append(failures, fmt.Errorf("%s: %w", address, err))
		if !retry {
			return reply, uncertainError(errors.Join(failures...))
		}
	}
	return coordinator.MoveReply{}, errors.Join(append(failures, errors.New("no control process named replied"))...)
}

// callMovesAt calls one process. After an error, retry reports whether the caller may try
// another process.
func callMovesAt(ctx context.Context, address, method, path string, body any) (reply coordinator.MoveReply, retry bool, err error) {
	ctx, stop := context.WithTimeout(ctx, movesTimeout)
	defer stop()
	request, err := newMovesRequest(ctx, address, method, path, body)
	if err != nil {
		return reply, false, err
	}
	readOnly := method == http.MethodGet
	response, err := operators.HTTPClient.Do(request)
	if err != nil {
		return reply, readOnly || operators.IsDialError(err), err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound && response.Header.Get("Content-Type") != "application/json" {
		return reply, true, errors.New("this is no control process")
	}
	err = operators.ReadReply(response, &reply)
	return reply, readOnly, err
}

func newMovesRequest(ctx context.Context, address, method, path string, body any) (*http.Request, error) {
	var content io.Reader = http.NoBody
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		content = bytes.NewReader(text)
	}
	return http.NewRequestWithContext(ctx, method, "http://"+address+coordinator.MovesPath+path, content)
}

// showMove prints the reply to a change. success is the text for a reply with code OK; for
// any other code showMove returns an error.
func showMove(c *cli.Command, r coordinator.MoveReply, success string) error {
	if c.Bool("json") {
		if err := printJSON(r); err != nil {
			return err
		}
	} else if r.Code == result.OK {
		fmt.Printf("%s; table %d\n", success, r.TableRevision)
	}
	if r.Code != result.OK {
		return replyError{code: r.Code, text: r.Text + ": " + r.Problem}
	}
	return nil
}

func moves(ctx context.Context, c *cli.Command) error {
	r, err := callMoves(ctx, c, http.MethodGet, "", nil)
	if err != nil {
		return err
	}
	if r.Code != result.OK {
		return replyError{code: r.Code, text: r.Text}
	}
	if c.Bool("json") {
		return printJSON(r.Moves)
	}
	w := newTable(os.Stdout)
	fmt.Fprintln(w, "GROUP\tSITE\tPRIMARY\tAT\tMOVE\tFROM\tTO\tTABLE\tCAUSE OR WHAT IT WAITS FOR\tBEHIND")
	for _, m := range r.Moves {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", m.Group, m.Site, m.Primary, m.Zone, m.Phase, m.FromSite, m.ToSite, m.TableRevision,
			m.Cause+m.WaitingFor, strings.Join(m.Lagging, ", "))
	}
	return w.Flush()
}
