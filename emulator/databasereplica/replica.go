package databasereplica

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Write is one change of a row.
type Write struct {
	Relation string `json:"relation"`
	Key      string `json:"key"`
	Add      int64  `json:"add,omitempty"`
	Put      *int64 `json:"put,omitempty"`
}

// LogEntry is one commit; position is its index in the log, from 1.
type LogEntry struct {
	Epoch  uint64  `json:"epoch"`
	Writes []Write `json:"writes,omitempty"`
	AtUs   int64   `json:"at_us"` // by the emulated database's own clock, for the checker
}

// PersistentState is what a replica keeps on disk beside its log.
type PersistentState struct {
	Identity  string `json:"identity"`
	Epoch     uint64 `json:"epoch"`
	Primary   bool   `json:"primary"`
	Following string `json:"following"`
}

// Status is both READY and STATUS.
type Status struct {
	Database  string `json:"database"`
	Identity  string `json:"identity"`
	Role      string `json:"role"` // primary, replica or sealed
	Epoch     uint64 `json:"epoch"`
	LogEpoch  uint64 `json:"log_epoch"`
	Received  int64  `json:"received"`
	Applied   int64  `json:"applied"`
	Following string `json:"following,omitempty"`
	Draining  bool   `json:"leaving"`
	Health    string `json:"health"`
}

// Operation is one step of a run.
type Operation struct {
	Op       string            `json:"op"` // reset, set, prepare, begin, statement, commit, rollback
	Text     string            `json:"text,omitempty"`
	Prepared string            `json:"prepared,omitempty"`
	Params   []string          `json:"params,omitempty"`
	Values   map[string]string `json:"values,omitempty"`
}

// Result is the result of one operation.
type Result struct {
	Rows      [][]string `json:"rows,omitempty"`
	Position  int64      `json:"position,omitempty"` // of a commit
	Tuples    int64      `json:"tuples,omitempty"`
	Relations []string   `json:"relations,omitempty"`
	Error     string     `json:"error,omitempty"`
}

// connection is an open connection with its session state and its transaction.
type connection struct {
	owner         string
	usedUs        int64
	values        map[string]string
	prepared      map[string]string
	inTransaction bool
	pending       []Write
}

// Replica is the state of one database. Its methods return what happened and do nothing
// else; it is not safe for concurrent use.
type Replica struct {
	PersistentState
	Name            string
	ConnectionLimit int
	Draining        bool
	log             []LogEntry
	applied         int64
	rows            map[string]map[string]int64
	connections     map[int64]*connection
	newestRuns      map[string]uint64 // newest run of each owner
	lastConnection  int64
}

// New makes an empty, sealed replica. Connections are numbered from firstConn: no run of
// the process may use a number that an earlier run used, or a pool's old connection would
// be another's.
func New(name, identity string, limit int, firstConn int64) *Replica {
	return &Replica{Name: name, ConnectionLimit: limit, lastConnection: firstConn, PersistentState: PersistentState{Identity: identity}, rows: map[string]map[string]int64{}, connections: map[int64]*connection{}, newestRuns: map[string]uint64{}}
}

// Restore takes the state and the log from disk and applies all of it.
func (c *Replica) Restore(k PersistentState, log []LogEntry) {
	c.PersistentState, c.log = k, slices.Clone(log)
	c.rows, c.applied = map[string]map[string]int64{}, 0
	c.Apply(int64(len(c.log)))
}

// role is primary, replica or sealed.
func (c *Replica) role() string {
	switch {
	case c.Primary:
		return "primary"
	case c.Following != "":
		return "replica"
	}
	return "sealed"
}

// Received is the position of the newest commit in the log.
func (c *Replica) Received() int64 { return int64(len(c.log)) }

// Applied is the position up to which rows show the log.
func (c *Replica) Applied() int64 { return c.applied }

// LogEpoch is the epoch of the newest commit in the log.
func (c *Replica) LogEpoch() uint64 { return c.epochAt(c.Received()) }

func (c *Replica) epochAt(p int64) uint64 {
	if p < 1 || p > int64(len(c.log)) {
		return 0
	}
	return c.log[p-1].Epoch
}

// Log is the part of the log behind a position.
func (c *Replica) Log(after int64) []LogEntry { return slices.Clone(c.log[min(after, c.Received()):]) }

// Status is the replica's status, as the interface returns it.
func (c *Replica) Status() Status {
	return Status{Database: c.Name, Identity: c.Identity, Role: c.role(), Epoch: c.Epoch, LogEpoch: c.LogEpoch(),
		Received: c.Received(), Applied: c.applied, Following: c.Following, Draining: c.Draining, Health: "ok"}
}

// Seal makes the replica reject the log and the statements of lower epochs. It returns
// false if the replica has a role in that epoch or a higher one.
func (c *Replica) Seal(e uint64) bool {
	if e < c.Epoch || e == c.Epoch && (c.Primary || c.Following != "") {
		return false
	}
	if e > c.Epoch {
		c.Epoch, c.Primary, c.Following = e, false, ""
		c.dropConnections()
	}
	return true
}

// Promote makes the replica the primary of an epoch, if it has the identity, which may be
// empty for any. The first commit of an epoch is an empty one.
func (c *Replica) Promote(e uint64, identity string, atUs int64) bool {
	if identity != "" && identity != c.Identity {
		return false
	}
	if e == c.Epoch && c.Primary {
		return true
	}
	if e < c.Epoch || e == c.Epoch && c.Following != "" {
		return false
	}
	c.Epoch, c.Primary, c.Following = e, true, ""
	c.dropConnections()
	c.Apply(c.Received())
	c.log = append(c.log, LogEntry{Epoch: e, AtUs: atUs})
	c.Apply(c.Received())
	return true
}

// Follow makes the replica follow an epoch's primary, which is named by its address.
func (c *Replica) Follow(e uint64, primary string) bool {
	if e < c.Epoch || e == c.Epoch && (c.Primary || c.Following != "" && c.Following != primary) {
		return false
	}
	if e > c.Epoch {
		c.dropConnections()
	}
	c.Epoch, c.Primary, c.Following = e, false, primary
	return true
}

func (c *Replica) dropConnections() { c.connections = map[int64]*connection{} }

// LogFor is the log behind a position for a replica whose entry there has afterEpoch. Where
// the two logs diverge before that, back is the position to fetch from instead; else it is
// -1. ok is false if this is not the primary of the epoch.
func (c *Replica) LogFor(epoch uint64, after int64, afterEpoch uint64, limit int) (es []LogEntry, back int64, ok bool) {
	if !c.Primary || epoch != c.Epoch {
		return nil, -1, false
	}
	if after > c.Received() || c.epochAt(after) != afterEpoch {
		b := min(after, c.Received()+1) - 1
		for b > 0 && c.epochAt(b) > afterEpoch {
			b--
		}
		return nil, max(b, 0), true
	}
	es = c.log[after:]
	return slices.Clone(es[:min(len(es), limit)]), -1, true
}

// EpochAt is the epoch of the commit at a position, 0 if there is none.
func (c *Replica) EpochAt(p int64) uint64 { return c.epochAt(p) }

// AppendLog appends entries of an epoch's primary behind a position, after truncating what
// the primary does not have.
func (c *Replica) AppendLog(epoch uint64, after int64, es []LogEntry) (truncated, ok bool) {
	if c.Primary || c.Following == "" || epoch != c.Epoch || after > c.Received() {
		return false, false
	}
	for i, e := range es {
		p := after + int64(i) + 1
		if p <= c.Received() && c.epochAt(p) == e.Epoch {
			continue
		}
		if p <= c.Received() {
			c.log = slices.Clone(c.log[:p-1])
			truncated = true
			if c.applied >= p {
				c.rows, c.applied = map[string]map[string]int64{}, 0
				c.Apply(p - 1)
			}
		}
		c.log = append(c.log, e)
	}
	return truncated, true
}

// Apply shows the log up to a position in the rows.
func (c *Replica) Apply(until int64) {
	for c.applied < min(until, c.Received()) {
		for _, w := range c.log[c.applied].Writes {
			applyWrite(c.rows, w)
		}
		c.applied++
	}
}

func applyWrite(rows map[string]map[string]int64, w Write) {
	r := rows[w.Relation]
	if r == nil {
		r = map[string]int64{}
		rows[w.Relation] = r
	}
	if w.Put != nil {
		r[w.Key] = *w.Put
	}
	r[w.Key] += w.Add
}

// idleCloseUs is how long an unused connection stays open while others want one.
const idleCloseUs = 12_000_000

// Open opens a connection, within the limit. A new run of an owner closes the connections
// of its earlier runs, and earlier runs open none any more.
func (c *Replica) Open(owner string, run uint64, atUs int64) (int64, bool) {
	if run < c.newestRuns[owner] {
		return 0, false
	}
	if run > c.newestRuns[owner] {
		c.newestRuns[owner] = run
		maps.DeleteFunc(c.connections, func(_ int64, n *connection) bool { return n.owner == owner })
	}
	if len(c.connections) >= c.ConnectionLimit {
		maps.DeleteFunc(c.connections, func(_ int64, n *connection) bool { return atUs-n.usedUs > idleCloseUs })
	}
	if len(c.connections) >= c.ConnectionLimit {
		return 0, false
	}
	c.lastConnection++
	c.connections[c.lastConnection] = &connection{owner: owner, usedUs: atUs, values: map[string]string{}, prepared: map[string]string{}}
	return c.lastConnection, true
}

// Close ends a connection; an open transaction is rolled back.
func (c *Replica) Close(id int64) { delete(c.connections, id) }

// Connections is the number of open connections.
func (c *Replica) Connections() int { return len(c.connections) }

// Reasons to reject a run before anything of it is executed.
const (
	RejectedConnection = "connection"
	RejectedEpoch      = "epoch"
	RejectedRole       = "role"
)

// Run executes operations on a connection, in order, up to the first that fails. refused is
// the reason where it rejects all of them.
func (c *Replica) Run(id int64, epoch uint64, ops []Operation, readOnly bool, atUs int64) (rs []Result, refused string) {
	n := c.connections[id]
	if n == nil {
		return nil, RejectedConnection
	}
	n.usedUs = atUs
	if epoch != c.Epoch {
		return nil, RejectedEpoch
	}
	if c.role() == "sealed" {
		return nil, RejectedRole
	}
	for _, o := range ops {
		r := c.runOperation(n, o, readOnly, atUs)
		rs = append(rs, r)
		if r.Error != "" {
			break
		}
	}
	return rs, ""
}

// runOperation executes one operation.
func (c *Replica) runOperation(n *connection, o Operation, readOnly bool, atUs int64) Result {
	switch o.Op {
	case "reset":
		*n = connection{owner: n.owner, usedUs: n.usedUs, values: map[string]string{}, prepared: map[string]string{}}
	case "set":
		maps.Copy(n.values, o.Values)
	case "prepare":
		n.prepared[o.Prepared] = o.Text
	case "begin":
		if n.inTransaction {
			return Result{Error: "a transaction is open"}
		}
		n.inTransaction = true
	case "rollback":
		if !n.inTransaction {
			return Result{Error: "no transaction is open"}
		}
		n.inTransaction, n.pending = false, nil
	case "commit":
		if !n.inTransaction {
			return Result{Error: "no transaction is open"}
		}
		ws := n.pending
		n.inTransaction, n.pending = false, nil
		return c.commit(ws, atUs)
	case "statement":
		t := o.Text
		if o.Prepared != "" {
			var ok bool
			if t, ok = n.prepared[o.Prepared]; !ok {
				return Result{Error: "no such prepared name: " + o.Prepared}
			}
		}
		r, ws := c.statement(n, t, o.Params)
		if r.Error != "" || len(ws) == 0 {
			return r
		}
		if readOnly || !c.Primary {
			return Result{Error: "a write in a read-only run"}
		}
		if n.inTransaction {
			n.pending = append(n.pending, ws...)
			return r
		}
		k := c.commit(ws, atUs)
		k.Rows = r.Rows
		return k
	default:
		return Result{Error: "unknown op " + strconv.Quote(o.Op)}
	}
	return Result{}
}

// commit appends writes to the log and applies them.
func (c *Replica) commit(ws []Write, atUs int64) Result {
	if len(ws) == 0 {
		return Result{}
	}
	if !c.Primary {
		return Result{Error: "not the primary"}
	}
	c.log = append(c.log, LogEntry{Epoch: c.Epoch, Writes: ws, AtUs: atUs})
	c.Apply(c.Received())
	rs := map[string]bool{}
	for _, w := range ws {
		rs[w.Relation] = true
	}
	return Result{Position: c.Received(), Tuples: int64(len(ws)), Relations: slices.Sorted(maps.Keys(rs))}
}

// statement executes one of a few statements: read RELATION KEY [RELATION KEY ...], add
// RELATION KEY N, put RELATION KEY N and value NAME, in which a ? is the next parameter. It
// returns the writes that a commit makes.
func (c *Replica) statement(n *connection, text string, ps []string) (Result, []Write) {
	fs := strings.Fields(text)
	for i, f := range fs {
		if f == "?" {
			if len(ps) == 0 {
				return Result{Error: "too few parameters"}, nil
			}
			fs[i], ps = ps[0], ps[1:]
		}
	}
	switch {
	case len(ps) > 0:
		return Result{Error: "too many parameters"}, nil
	case len(fs) == 2 && fs[0] == "value":
		return Result{Rows: [][]string{{n.values[fs[1]]}}}, nil
	case len(fs) >= 3 && len(fs)%2 == 1 && fs[0] == "read":
		var r Result
		for i := 1; i < len(fs); i += 2 {
			r.Rows = append(r.Rows, []string{strconv.FormatInt(c.row(n, fs[i], fs[i+1]), 10)})
		}
		return r, nil
	case len(fs) == 4 && (fs[0] == "add" || fs[0] == "put"):
		v, err := strconv.ParseInt(fs[3], 10, 64)
		if err != nil {
			return Result{Error: "not a number: " + fs[3]}, nil
		}
		w := Write{Relation: fs[1], Key: fs[2], Add: v}
		now := c.row(n, fs[1], fs[2]) + v
		if fs[0] == "put" {
			w.Add, w.Put, now = 0, &v, v
		}
		return Result{Rows: [][]string{{strconv.FormatInt(now, 10)}}}, []Write{w}
	}
	return Result{Error: fmt.Sprintf("cannot run %q", text)}, nil
}

// row is a row's value as a transaction sees it, with its own writes.
func (c *Replica) row(n *connection, rel, key string) int64 {
	v := c.rows[rel][key]
	for _, w := range n.pending {
		if w.Relation == rel && w.Key == key {
			if w.Put != nil {
				v = *w.Put
			}
			v += w.Add
		}
	}
	return v
}
