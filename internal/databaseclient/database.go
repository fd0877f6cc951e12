package databaseclient

import (
	"context"
	"fmt"
	"net/http"
)

// Status is the status that a database reports.
type Status struct {
	Database  string `json:"database"`
	Identity  string `json:"identity"`  // of its data; a database that lost its data gets a new one
	Role      string `json:"role"`      // primary, replica or sealed
	Epoch     uint64 `json:"epoch"`     // epoch of its role
	LogEpoch  uint64 `json:"log_epoch"` // epoch of the newest commit in its log
	Received  int64  `json:"received"`  // newest position in its log
	Applied   int64  `json:"applied"`   // newest position that its reads show
	Following string `json:"following"` // address of the primary that it follows
	Draining  bool   `json:"leaving"`
	Health    string `json:"health"`
}

// Op is one operation of a run, such as a statement or a commit.
type Op struct {
	Op       string            `json:"op"`
	Text     string            `json:"text,omitempty"`
	Prepared string            `json:"prepared,omitempty"` // name of a prepared statement
	Params   []string          `json:"params,omitempty"`
	Values   map[string]string `json:"values,omitempty"`
}

// Result is the result of an Op.
type Result struct {
	Rows      [][]string `json:"rows"`
	Position  int64      `json:"position"`  // of the commit, 0 if there was none
	Tuples    int64      `json:"tuples"`    // number of tuples that the commit changed
	Relations []string   `json:"relations"` // names of the relations that the commit changed
	Error     string     `json:"error"`     // "" if the op succeeded
}

// RunReply is the reply to a run.
type RunReply struct {
	Rejected string   `json:"refused"` // why the database executed none of the ops, "" if it did
	Results  []Result `json:"results"` // of the ops, up to the first that failed
	Epoch    uint64   `json:"epoch"`
	Applied  int64    `json:"applied"`
}

// matches reports whether the reply fits the ops: it is a rejection, or has a result for
// each op up to the first that failed.
func (r RunReply) matches(ops []Op) bool {
	n := len(r.Results)
	failed := n > 0 && r.Results[n-1].Error != ""
	return r.Rejected != "" || n == len(ops) || failed && n < len(ops)
}

func connectionURL(address string, id int64) string {
	return fmt.Sprintf("http://%s/v1/connections/%d", address, id)
}

// Open opens a connection and returns its ID. owner is the name of a pool node, and
// incarnation identifies the run of its process. When a run with a higher incarnation opens
// a connection, the database closes those of the same node's lower incarnations.
func (c *Client) Open(ctx context.Context, address, owner string, incarnation uint64) (int64, error) {
	var reply struct {
		Connection int64 `json:"connection"`
	}
	body := map[string]any{"owner": owner, "run": incarnation}
	err := c.call(ctx, http.MethodPost, "http://"+address+"/v1/connections", body, &reply)
	return reply.Connection, err
}

// Close closes a connection; the database rolls back its open transaction.
func (c *Client) Close(ctx context.Context, address string, id int64) error {
	return c.call(ctx, http.MethodDelete, connectionURL(address, id), nil, &struct{}{})
}

// Run executes ops over a connection in an epoch. After an error that does not wrap
// ErrNotSent, the database may have executed them. A reply that does not have a result for
// each op, up to the first that failed, is an error.
func (c *Client) Run(ctx context.Context, address string, id int64, epoch uint64, readOnly bool, ops []Op) (RunReply, error) {
	var reply RunReply
	body := map[string]any{"epoch": epoch, "read_only": readOnly, "ops": ops}
	err := c.call(ctx, http.MethodPost, connectionURL(address, id), body, &reply)
	if err == nil && !reply.matches(ops) {
		err = fmt.Errorf("%w: %d results for %d ops", errWrongReply, len(reply.Results), len(ops))
	}
	return reply, err
}

// Poll returns the status. If waitUs is positive, the database replies once its log has
// reached the positions received and applied, or after that time in microseconds.
func (c *Client) Poll(ctx context.Context, address string, received, applied, waitUs int64) (Status, error) {
	url := "http://" + address + "/v1/status"
	if waitUs > 0 {
		url += fmt.Sprintf("?received=%d&applied=%d&wait_us=%d", received, applied, waitUs)
	}
	var s Status
	err := c.call(ctx, http.MethodGet, url, nil, &s)
	return s, err
}

// Seal makes a database reject the log and the statements of lower epochs from now on, and
// returns its status. A database that rejects the seal returns its status as well.
func (c *Client) Seal(ctx context.Context, address string, epoch uint64) (Status, error) {
	var s Status
	err := c.call(ctx, http.MethodPost, "http://"+address+"/v1/seal", map[string]uint64{"epoch": epoch}, &s)
	return s, err
}
