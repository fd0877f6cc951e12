// Package databaseclient speaks the interfaces of databases and of the platform
// (docs/database-interface.md).
package databaseclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Status is a database's READY or STATUS.
type Status struct {
	Database  string `json:"database"`
	Identity  string `json:"identity"`
	Role      string `json:"role"`
	Epoch     uint64 `json:"epoch"`
	LogEpoch  uint64 `json:"log_epoch"`
	Received  int64  `json:"received"`
	Applied   int64  `json:"applied"`
	Following string `json:"following"`
	Draining  bool   `json:"leaving"`
	Health    string `json:"health"`
}

// Op is one step of a run.
type Op struct {
	Op       string            `json:"op"`
	Text     string            `json:"text,omitempty"`
	Prepared string            `json:"prepared,omitempty"`
	Params   []string          `json:"params,omitempty"`
	Values   map[string]string `json:"values,omitempty"`
}

// Result is one op's return.
type Result struct {
	Rows      [][]string `json:"rows"`
	Position  int64      `json:"position"`
	Tuples    int64      `json:"tuples"`
	Relations []string   `json:"relations"`
	Error     string     `json:"error"`
}

// Run is what a run returns.
type Run struct {
	Rejected string   `json:"refused"`
	Results  []Result `json:"results"`
	Epoch    uint64   `json:"epoch"`
	Applied  int64    `json:"applied"`
}

// Member is one database's place, as the platform is told of it.
type Member struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Client is safe for use by many goroutines. It sends a call once: a redirection
// is not followed, and net/http sends a POST or DELETE again only where none of
// its bytes left.
type Client struct{ http *http.Client }

// New makes a client whose connections come from a local address, or from any.
func New(from net.Addr) *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 700 * time.Millisecond, KeepAlive: 5 * time.Second, LocalAddr: from}).DialContext,
		MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// ErrNotSent marks a call of which no byte reached the other side.
var ErrNotSent = errors.New("never left")

var errWrongReply = errors.New("not an answer to this call")

func (c *Client) call(ctx context.Context, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		body = bytes.NewReader(b)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusConflict {
		t, _ := io.ReadAll(io.LimitReader(response.Body, 200))
		return fmt.Errorf("status %d: %s", response.StatusCode, bytes.TrimSpace(t))
	}
	b, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, out) // one value: more than one is an error
}

// Open opens a connection in the name of one run of a pool node: a later run
// of the same node voids those of the earlier.
func (c *Client) Open(ctx context.Context, address, owner string, run uint64) (int64, error) {
	var o struct {
		Connection int64 `json:"connection"`
	}
	in := map[string]any{"owner": owner, "run": run}
	err := c.call(ctx, http.MethodPost, "http://"+address+"/v1/connections", in, &o)
	return o.Connection, err
}

// Close closes a connection.
func (c *Client) Close(ctx context.Context, address string, id int64) error {
	var o struct{}
	return c.call(ctx, http.MethodDelete, fmt.Sprintf("http://%s/v1/connections/%d", address, id), nil, &o)
}

// Run runs ops over a connection. What does not hold a result for each op, up to
// the first that failed, is no answer to it.
func (c *Client) Run(ctx context.Context, address string, id int64, epoch uint64, readOnly bool, ops []Op) (Run, error) {
	var o Run
	in := map[string]any{"epoch": epoch, "read_only": readOnly, "ops": ops}
	err := c.call(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/connections/%d", address, id), in, &o)
	if err == nil && !o.matches(ops) {
		err = fmt.Errorf("%w: %d results for %d ops", errWrongReply, len(o.Results), len(ops))
	}
	return o, err
}

func (r Run) matches(ops []Op) bool {
	n := len(r.Results)
	failed := n > 0 && r.Results[n-1].Error != ""
	return r.Rejected != "" || n == len(ops) || failed && n < len(ops)
}

// Poll asks for the status, waiting until the positions are reached or the
// time is over.
func (c *Client) Poll(ctx context.Context, address string, received, applied, waitUs int64) (Status, error) {
	var s Status
	u := "http://" + address + "/v1/status"
	if waitUs > 0 {
		u += fmt.Sprintf("?received=%d&applied=%d&wait_us=%d", received, applied, waitUs)
	}
	return s, c.call(ctx, http.MethodGet, u, nil, &s)
}

// Seal has a database take no log and no statement below an epoch. One that
// bounces tells its status all the same.
func (c *Client) Seal(ctx context.Context, address string, epoch uint64) (Status, error) {
	var s Status
	return s, c.call(ctx, http.MethodPost, "http://"+address+"/v1/seal", map[string]uint64{"epoch": epoch}, &s)
}

// Takeover asks the platform to make the target the group's primary in an
// epoch and the others its followers.
func (c *Client) Takeover(ctx context.Context, platform, group, target, identity string, epoch uint64, ms []Member) error {
	return c.callPlatform(ctx, platform, "takeover", map[string]any{"group": group, "target": target, "identity": identity, "epoch": epoch, "members": ms})
}

// Replace asks the platform to put a new, empty database in the place of the
// copy of that identity.
func (c *Client) Replace(ctx context.Context, platform, database, address, identity string) error {
	return c.callPlatform(ctx, platform, "replace", map[string]any{"database": database, "address": address, "identity": identity})
}

// StopMachine asks the platform to stop a machine's pool node with its grace.
func (c *Client) StopMachine(ctx context.Context, platform, machine string) error {
	return c.callPlatform(ctx, platform, "stop", map[string]any{"machine": machine})
}

func (c *Client) callPlatform(ctx context.Context, platform, what string, in any) error {
	var o struct {
		Error string `json:"error"`
	}
	if err := c.call(ctx, http.MethodPost, "http://"+platform+"/v1/"+what, in, &o); err != nil {
		return err
	}
	if o.Error != "" {
		return errors.New(o.Error)
	}
	return nil
}
