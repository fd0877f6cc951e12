package databasereplica

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Write is a change of one row: it sets the row to Put, if that is given, and then adds Add.
type Write struct {
	Relation string `json:"relation"`
	Key      string `json:"key"`
	Add      int64  `json:"add,omitempty"`
	Put      *int64 `json:"put,omitempty"`
}

// LogEntry is one commit. Its position is its index in the log, from 1.
type LogEntry struct {
	Epoch  uint64  `json:"epoch"`
	Writes []Write `json:"writes,omitempty"`
	AtUs   int64   `json:"at_us"` // time of the commit on the database's clock, for the checker
}

// PersistentState is the state that a replica stores on disk in addition to its log.
type PersistentState struct {
	Identity  string `json:"identity"`
	Epoch     uint64 `json:"epoch"`
	Primary   bool   `json:"primary"`
	Following string `json:"following"` // address of the primary that it follows, or empty
}

// Status is the response to status, seal, promote, follow and leave requests.
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

// Operation is one operation of a run.
type Operation struct {
	Op       string            `json:"op"` // reset, set, prepare, begin, statement, commit, rollback
	Text     string            `json:"text,omitempty"`
	Prepared string            `json:"prepared,omitempty"`
	Params   []string          `json:"params,omitempty"`
	Values   map[string]string `json:"values,omitempty"`
}

// Result is the result of an Operation.
type Result struct {
	Rows      [][]string `json:"rows,omitempty"`
	Position  int64      `json:"position,omitempty"` // of the commit, 0 if there was none
	Tuples    int64      `json:"tuples,omitempty"`
	Relations []string   `json:"relations,omitempty"`
	Error     string     `json:"error,omitempty"`
}

// connection is an open connection with its session state and its transaction.
type connection struct {
	owner         string // pool node that opened it
	usedUs        int64  // when it was last used
	values        map[string]string
	prepared      map[string]string // text by name
	inTransaction bool
	pending       []Write // of the open transaction
}

// Replica is the state of one database. Its methods do no I/O and read no clock. It is not
// safe for concurrent use.
type Replica struct {
	PersistentState
	Name               string
	ConnectionLimit    int
	Draining           bool
	log                []LogEntry
	applied            int64                       // position up to which rows reflect the log
	rows               map[string]map[string]int64 // by relation and key
	connections        map[int64]*connection
	newestIncarnations map[string]uint64 // by owner
	lastConnectionID   int64
}

// New returns an empty, sealed replica. The IDs of its connections start after idBase. The
// process must not use an ID that it used before a restart: a pool node's old connection
// would refer to another node's.
func New(name, identity string, limit int, idBase int64) *Replica {
	return &Replica{Name: name, ConnectionLimit: limit, lastConnectionID: idBase, PersistentState: PersistentState{Identity: identity}, rows: map[string]map[string]int64{}, connections: map[int64]*connection{}, newestIncarnations: map[string]uint64{}}
}

// Restore sets the state and the log that were read from disk, and applies the complete
// log.
func (db *Replica) Restore(state PersistentState, log []LogEntry) {
	db.PersistentState, db.log = state, slices.Clone(log)
	db.rows, db.applied = map[string]map[string]int64{}, 0
	db.Apply(int64(len(db.log)))
}

// role returns primary, replica or sealed.
func (db *Replica) role() string {
	switch {
	case db.Primary:
		return "primary"
	case db.Following != "":
		return "replica"
	}
	return "sealed"
}

// Received returns the position of the newest commit in the log.
func (db *Replica) Received() int64 { return int64(len(db.log)) }

// Applied returns the position up to which the rows reflect the log.
func (db *Replica) Applied() int64 { return db.applied }

// LogEpoch returns the epoch of the newest commit in the log, 0 if the log is empty.
func (db *Replica) LogEpoch() uint64 { return db.epochAt(db.Received()) }

func (db *Replica) epochAt(p int64) uint64 {
	if p < 1 || p > int64(len(db.log)) {
		return 0
	}
	return db.log[p-1].Epoch
}

// LogAfter returns the entries of the log after a position.
func (db *Replica) LogAfter(after int64) []LogEntry {
	return slices.Clone(db.log[min(after, db.Received()):])
}

// Status returns the replica's status.
func (db *Replica) Status() Status {
	return Status{Database: db.Name, Identity: db.Identity, Role: db.role(), Epoch: db.Epoch, LogEpoch: db.LogEpoch(),
		Received: db.Received(), Applied: db.applied, Following: db.Following, Draining: db.Draining, Health: "ok"}
}

// Seal makes the replica reject the log and the statements of epochs below e. It returns
// false, without effect, if the replica has a role in that epoch or is in a higher one.
func (db *Replica) Seal(e uint64) bool {
	if e < db.Epoch || e == db.Epoch && (db.Primary || db.Following != "") {
		return false
	}
	if e > db.Epoch {
		db.Epoch, db.Primary, db.Following = e, false, ""
		db.dropConnections()
	}
	return true
}

// Promote makes the replica the primary of an epoch and appends an empty commit as the
// epoch's first; if it is the primary of that epoch already, nothing changes. Promote
// returns false, without effect, if the replica's identity differs from the given one,
// unless that is empty, or if the epoch is too low or the replica follows a primary in it.
func (db *Replica) Promote(e uint64, identity string, atUs int64) bool {
	if identity != "" && identity != db.Identity {
		return false
	}
	if e == db.Epoch && db.Primary {
		return true
	}
	if e < db.Epoch || e == db.Epoch && db.Following != "" {
		return false
	}
	db.Epoch, db.Primary, db.Following = e, true, ""
	db.dropConnections()
	db.Apply(db.Received())
	db.log = append(db.log, LogEntry{Epoch: e, AtUs: atUs})
	db.Apply(db.Received())
	return true
}

// Follow makes the replica follow an epoch's primary, given by its address. It returns
// false, without effect, if the epoch is too low or the replica has another role in it.
func (db *Replica) Follow(e uint64, primary string) bool {
	if e < db.Epoch || e == db.Epoch && (db.Primary || db.Following != "" && db.Following != primary) {
		return false
	}
	if e > db.Epoch {
		db.dropConnections()
	}
	db.Epoch, db.Primary, db.Following = e, false, primary
	return true
}

func (db *Replica) dropConnections() { db.connections = map[int64]*connection{} }

// FetchLog returns up to limit entries of the log after a position, for a replica whose
// entry at that position has the epoch afterEpoch. If the two logs diverge at or before the
// position, rewindTo is the position after which the replica has to fetch instead;
// otherwise it is -1. ok is false if this replica is not the primary of the epoch.
func (db *Replica) FetchLog(epoch uint64, after int64, afterEpoch uint64, limit int) (entries []LogEntry, rewindTo int64, ok bool) {
	if !db.Primary || epoch != db.Epoch {
		return nil, -1, false
	}
	if after > db.Received() || db.epochAt(after) != afterEpoch {
		b := min(after, db.Received()+1) - 1
		for b > 0 && db.epochAt(b) > afterEpoch {
			b--
		}
		return nil, max(b, 0), true
	}
	entries = db.log[after:]
	return slices.Clone(entries[:min(len(entries), limit)]), -1, true
}

// EpochAt returns the epoch of the commit at a position, 0 if there is none.
func (db *Replica) EpochAt(p int64) uint64 { return db.epochAt(p) }

// AppendLog appends the entries that an epoch's primary has after a position. If the
// replica's own entries there differ, it truncates its log first and reports that. ok is
// false, without effect, if the replica does not follow that epoch's primary or its log
// ends before the position.
func (db *Replica) AppendLog(epoch uint64, after int64, entries []LogEntry) (truncated, ok bool) {
	if db.Primary || db.Following == "" || epoch != db.Epoch || after > db.Received() {
		return false, false
	}
	for i, e := range entries {
		p := after + int64(i) + 1
		if p <= db.Received() && db.epochAt(p) == e.Epoch {
			continue
		}
		if p <= db.Received() {
			db.log = slices.Clone(db.log[:p-1])
			truncated = true
			if db.applied >= p {
				db.rows, db.applied = map[string]map[string]int64{}, 0
				db.Apply(p - 1)
			}
		}
		db.log = append(db.log, e)
	}
	return truncated, true
}

// Apply applies the log to the rows, up to a position.
func (db *Replica) Apply(until int64) {
	for db.applied < min(until, db.Received()) {
		for _, w := range db.log[db.applied].Writes {
			applyWrite(db.rows, w)
		}
		db.applied++
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

// idleCloseUs is the time in microseconds after which an unused connection is closed when
// the connection limit is reached.
const idleCloseUs = 12_000_000

// Open opens a connection and returns its ID. It returns false if the limit is reached. A
// new incarnation of an owner closes the connections of earlier ones, which cannot open any
// from then on.
func (db *Replica) Open(owner string, incarnation uint64, atUs int64) (int64, bool) {
	if incarnation < db.newestIncarnations[owner] {
		return 0, false
	}
	if incarnation > db.newestIncarnations[owner] {
		db.newestIncarnations[owner] = incarnation
		maps.DeleteFunc(db.connections, func(_ int64, n *connection) bool { return n.owner == owner })
	}
	if len(db.connections) >= db.ConnectionLimit {
		maps.DeleteFunc(db.connections, func(_ int64, n *connection) bool { return atUs-n.usedUs > idleCloseUs })
	}
	if len(db.connections) >= db.ConnectionLimit {
		return 0, false
	}
	db.lastConnectionID++
	db.connections[db.lastConnectionID] = &connection{owner: owner, usedUs: atUs, values: map[string]string{}, prepared: map[string]string{}}
	return db.lastConnectionID, true
}

// Close closes a connection and rolls back its open transaction.
func (db *Replica) Close(id int64) { delete(db.connections, id) }

// Connections returns the number of open connections.
func (db *Replica) Connections() int { return len(db.connections) }

// Reasons to reject a run before any of its operations is executed.
const (
	RejectedConnection = "connection"
	RejectedEpoch      = "epoch"
	RejectedRole       = "role"
)

// Run executes operations on a connection in order, up to the first that fails. If it
// rejects all of them, rejected is the reason.
func (db *Replica) Run(id int64, epoch uint64, ops []Operation, readOnly bool, atUs int64) (results []Result, rejected string) {
	n := db.connections[id]
	if n == nil {
		return nil, RejectedConnection
	}
	n.usedUs = atUs
	if epoch != db.Epoch {
		return nil, RejectedEpoch
	}
	if db.role() == "sealed" {
		return nil, RejectedRole
	}
	for _, o := range ops {
		r := db.runOperation(n, o, readOnly, atUs)
		results = append(results, r)
		if r.Error != "" {
			break
		}
	}
	return results, ""
}

func (db *Replica) runOperation(n *connection, o Operation, readOnly bool, atUs int64) Result {
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
		writes := n.pending
		n.inTransaction, n.pending = false, nil
		return db.commit(writes, atUs)
	case "statement":
		t := o.Text
		if o.Prepared != "" {
			var ok bool
			if t, ok = n.prepared[o.Prepared]; !ok {
				return Result{Error: "no such prepared name: " + o.Prepared}
			}
		}
		r, writes := db.statement(n, t, o.Params)
		if r.Error != "" || len(writes) == 0 {
			return r
		}
		if readOnly || !db.Primary {
			return Result{Error: "a write in a read-only run"}
		}
		if n.inTransaction {
			n.pending = append(n.pending, writes...)
			return r
		}
		k := db.commit(writes, atUs)
		k.Rows = r.Rows
		return k
	default:
		return Result{Error: "unknown op " + strconv.Quote(o.Op)}
	}
	return Result{}
}

// commit appends writes to the log as one commit and applies it.
func (db *Replica) commit(writes []Write, atUs int64) Result {
	if len(writes) == 0 {
		return Result{}
	}
	if !db.Primary {
		return Result{Error: "not the primary"}
	}
	db.log = append(db.log, LogEntry{Epoch: db.Epoch, Writes: writes, AtUs: atUs})
	db.Apply(db.Received())
	relations := map[string]bool{}
	for _, w := range writes {
		relations[w.Relation] = true
	}
	return Result{Position: db.Received(), Tuples: int64(len(writes)), Relations: slices.Sorted(maps.Keys(relations))}
}

// statement executes a statement and returns its result and its writes, which the caller
// commits. The statements are read RELATION KEY [RELATION KEY ...], add RELATION KEY N, put
// RELATION KEY N and value NAME; a ? stands for the next parameter.
func (db *Replica) statement(n *connection, text string, parameters []string) (Result, []Write) {
	words := strings.Fields(text)
	for i, f := range words {
		if f == "?" {
			if len(parameters) == 0 {
				return Result{Error: "too few parameters"}, nil
			}
			words[i], parameters = parameters[0], parameters[1:]
		}
	}
	switch {
	case len(parameters) > 0:
		return Result{Error: "too many parameters"}, nil
	case len(words) == 2 && words[0] == "value":
		return Result{Rows: [][]string{{n.values[words[1]]}}}, nil
	case len(words) >= 3 && len(words)%2 == 1 && words[0] == "read":
		var r Result
		for i := 1; i < len(words); i += 2 {
			r.Rows = append(r.Rows, []string{strconv.FormatInt(db.row(n, words[i], words[i+1]), 10)})
		}
		return r, nil
	case len(words) == 4 && (words[0] == "add" || words[0] == "put"):
		v, err := strconv.ParseInt(words[3], 10, 64)
		if err != nil {
			return Result{Error: "not a number: " + words[3]}, nil
		}
		w := Write{Relation: words[1], Key: words[2], Add: v}
		now := db.row(n, words[1], words[2]) + v
		if words[0] == "put" {
			w.Add, w.Put, now = 0, &v, v
		}
		return Result{Rows: [][]string{{strconv.FormatInt(now, 10)}}}, []Write{w}
	}
	return Result{Error: fmt.Sprintf("cannot run %q", text)}, nil
}

// row returns the value of a row as the connection's transaction sees it, including its own
// uncommitted writes.
func (db *Replica) row(n *connection, rel, key string) int64 {
	v := db.rows[rel][key]
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
