package sessiontable

import (
	"math"
	"slices"
	"time"

	"stoneford/internal/ports"
)

// opKind is the kind of an operation sent over a connection; it selects how the answer
// is processed.
type opKind int

const (
	internalOp       opKind = iota // a reset, a set value, or a prepare
	internalRollback               // the rollback of an abandoned transaction
	beginOp                        // a transaction's begin
	statementOp
)

// pendingOp is an operation that was sent and not answered yet.
type pendingOp struct {
	kind    opKind
	request *request // set for beginOp and statementOp
}

// connection is one connection to a database, open or being opened. It runs one request,
// belongs to one open transaction, or is idle.
type connection struct {
	id      uint64
	db      *database
	open    bool
	request *request     // running on the connection, or nil
	tx      *transaction // open on the connection, or nil
	pending []pendingOp  // oldest first
	state   ports.TransactionState
	timer   timer // closes the connection after a long idle time or a missing answer
	touched bool  // in Table.touchedConnections

	values    *sessionValues
	prepared  map[*preparedStatement]bool
	mustReset bool // its values or prepared statements are uncertain: reset before use

	closeWhenIdle       bool // its answers are no longer trusted
	closeAfterStatement bool // its database is being replaced as the primary

	statementInFlight bool   // a statement was sent and not answered yet
	overdue           bool   // the statement in flight runs for too long
	sentUs            int64  // when the last statement was sent
	primaryTerm       uint64 // term of the primary when that statement was sent, 0 for a replica
	beginFailure      *ports.Response
}

// Constants for oversubscribed databases: there are more nodes than connections, so a
// node's quota is below 1 and the nodes take turns.
const (
	// oversubscribedUtilization is the fraction of the connection limit that all nodes
	// together should use. A greater fraction has more connects rejected, a smaller one
	// wastes connections.
	oversubscribedUtilization = 0.6
	// useRateWindow is the time constant of the average use rate.
	useRateWindow = 10 * time.Second
	// initialUseRate is assumed at the first use; minUseRate is the least rate that the
	// idle time-out is computed from. Both are uses per second.
	initialUseRate = 0.4
	minUseRate     = 0.05
	// minIdleTimeout is the minimum time for which an idle connection is kept.
	minIdleTimeout = 20 * time.Millisecond
	// oversubscribedRetryDelay is the minimum time to the next connect after the database
	// rejected one; the delay is random, up to twice as long.
	oversubscribedRetryDelay = 25 * time.Millisecond
)

// maxConnectsAtOnce bounds the connects that one dispatch of a queue starts.
const maxConnectsAtOnce = 4

// touch adds the connection to those that are checked at the end of the step.
func (t *Table) touch(conn *connection) {
	if !conn.touched {
		conn.touched = true
		t.touchedConnections = append(t.touchedConnections, conn)
	}
}

// connectionQuota returns this node's part of a database's connection limit (design
// 14.11). It is below 1 if there are more nodes than connections.
func (t *Table) connectionQuota(db *database) float64 {
	return float64(db.group.config.ConnectionLimit-t.options.ReservedConnections) / float64(max(t.nodes, 1))
}

// connectionLimit returns how many connections to a database this node may have.
func (t *Table) connectionLimit(db *database) int {
	if db.group.config.ConnectionLimit == 0 {
		return 1
	}
	return max(1, int(t.connectionQuota(db)))
}

// idleTimeoutUs returns how long an idle connection is kept, in µs. If a database is
// oversubscribed, the time-out is so short that all nodes together, each at its average
// rate of use, keep at most oversubscribedUtilization of the limit (design 14.11).
func (t *Table) idleTimeoutUs(db *database) int64 {
	longest := t.options.IdleConnectionTimeout.Microseconds()
	quota := t.connectionQuota(db)
	if quota >= 1 || db.group.config.ConnectionLimit == 0 {
		return longest
	}
	timeout := quota * oversubscribedUtilization / max(db.useRate, minUseRate) * 1e6
	return int64(min(max(timeout, float64(minIdleTimeout.Microseconds())), float64(longest)))
}

// recordUse adds one use to the average rate at which a database's connections are used.
func (t *Table) recordUse(db *database) {
	window := float64(useRateWindow.Microseconds())
	elapsed := float64(t.now-db.lastUseUs) / window
	if db.lastUseUs == 0 {
		db.useRate = initialUseRate
	} else {
		db.useRate = db.useRate*math.Exp(-elapsed) + 1e6/window
	}
	db.lastUseUs = t.now
}

// openConnections opens connections for the queue of a database; req is the first request
// in it. While a connection in use may soon become idle, it waits for OpenDelay first. It
// opens no more connections than statements may run at once.
func (t *Table) openConnections(db *database, req *request) {
	shared := len(db.connections) - db.openTransactions
	wanted := min(db.queue.len()-db.openingConnections, max(1, int(db.concurrencyLimit))-shared, t.connectionLimit(db)-len(db.connections))
	if wanted <= 0 || db.wrongIdentity {
		return
	}
	if t.now < db.backoffUntilUs {
		t.wakeAt(db, db.backoffUntilUs)
		return
	}
	openAt := req.arrivedUs + t.options.OpenDelay.Microseconds()
	if shared > 0 && db.openingConnections == 0 && t.now < openAt {
		t.wakeAt(db, openAt)
		return
	}
	for range min(wanted, maxConnectsAtOnce) {
		t.connect(db)
	}
}

// connect requests a new connection to a database.
func (t *Table) connect(db *database) {
	t.lastConnection++
	conn := &connection{id: t.lastConnection, db: db, values: noValues}
	conn.timer.owner = conn
	t.connections[conn.id] = conn
	db.connections = append(db.connections, conn)
	db.openingConnections++
	t.counts.Connects++
	t.emit(Connect{Conn: conn.id, Address: db.Address, Group: db.Group, ID: db.ID, TimeoutUs: t.options.ConnectTimeout.Microseconds()})
}

// How well an idle connection fits a request, by the operations that have to be sent
// before the request. Greater is better.
const (
	fitReset            = iota // a reset, then the values and the prepare of the request
	fitValuesAndPrepare        // values and, if the request has one, a prepare
	fitValues                  // values; the statement is already prepared
	fitPrepare                 // a prepare; the values are already set
	fitPerfect                 // no operations
)

// fitness returns how well the idle connection fits a request.
func (c *connection) fitness(req *request) int {
	isPrepared := req.prepared != nil && c.prepared[req.prepared]
	switch wanted := req.session.values; {
	case c.mustReset:
		return fitReset
	case c.values.equal(wanted) && (req.prepared == nil || isPrepared):
		return fitPerfect
	case c.values.equal(wanted):
		return fitPrepare
	case c.values.canBecome(wanted) && isPrepared:
		return fitValues
	case c.values.canBecome(wanted):
		return fitValuesAndPrepare
	}
	return fitReset
}

// takeIdle removes the idle connection that fits a request best from the idle list and
// returns it, or nil if none is idle. Among equal ones it prefers the most recently used,
// so that surplus connections reach their idle time-out and are closed.
func (t *Table) takeIdle(db *database, req *request) *connection {
	best, fitness := -1, -1
	for i := len(db.idle) - 1; i >= 0 && fitness < fitPerfect; i-- {
		if f := db.idle[i].fitness(req); f > fitness {
			best, fitness = i, f
		}
	}
	if best < 0 {
		return nil
	}
	conn := db.idle[best]
	db.idle = slices.Delete(db.idle, best, best+1)
	t.timers.disarm(&conn.timer)
	return conn
}

// releaseConnection detaches a transaction from its connection, if it has one. It sends
// the database a rollback unless the database has already ended the transaction.
func (t *Table) releaseConnection(tx *transaction) {
	conn := tx.conn
	if conn == nil {
		return
	}
	tx.conn, conn.tx = nil, nil
	conn.db.openTransactions--
	t.reportIfQuiescent(conn.db)
	switch {
	case len(conn.pending) > 0, conn.closeWhenIdle, conn.closeAfterStatement:
		t.closeConnection(conn)
	case conn.state == ports.Idle:
		t.recycle(conn)
	default:
		conn.pending = append(conn.pending, pendingOp{kind: internalRollback})
		t.emit(Send{Conn: conn.id, Ops: []ports.Op{{Internal: true, Statement: ports.Statement{Kind: ports.Rollback}}}})
		t.timers.arm(&conn.timer, t.now+t.options.AbandonedTimeout.Microseconds())
		t.touch(conn)
	}
}

// recycle makes a connection idle, or closes it if it cannot be reused.
func (t *Table) recycle(conn *connection) {
	t.touch(conn)
	if !t.reusable(conn) {
		t.closeConnection(conn)
		return
	}
	db := conn.db
	db.idle = append(db.idle, conn)
	t.timers.arm(&conn.timer, t.now+t.idleTimeoutUs(db))
	t.scheduleDispatch(db)
}

// reusable reports whether a connection without a request may run another.
func (t *Table) reusable(conn *connection) bool {
	db := conn.db
	clean := conn.state == ports.Idle && len(conn.pending) == 0
	if conn.closeWhenIdle || conn.closeAfterStatement || !clean || db.removed || len(db.connections) > t.connectionLimit(db) {
		return false
	}
	return !db.Draining || t.primary(db.group) == db || db.queue.len() > 0
}

// removeConnection deletes a connection and returns the request that ran on it, or nil.
// The connection's transaction is aborted, since it can no longer commit, and a statement
// of it that waits in a queue is replied to.
func (t *Table) removeConnection(conn *connection) *request {
	db := conn.db
	waiting := conn.waitingStatement()
	if waiting != nil {
		t.dequeue(waiting)
	}
	delete(t.connections, conn.id)
	if i := slices.Index(db.connections, conn); i >= 0 {
		db.connections = slices.Delete(db.connections, i, i+1)
	}
	if i := slices.Index(db.idle, conn); i >= 0 {
		db.idle = slices.Delete(db.idle, i, i+1)
	}
	if !conn.open {
		db.openingConnections--
	}
	t.timers.disarm(&conn.timer)
	t.recordStatementEnd(conn)
	if tx := conn.tx; tx != nil {
		tx.conn, conn.tx = nil, nil
		tx.aborted = true
		db.openTransactions--
	}
	req := conn.request
	if req != nil {
		conn.request, req.conn, req.db = nil, nil, nil
	}
	t.reportIfQuiescent(db)
	t.scheduleDispatch(db)
	if waiting != nil {
		t.finish(waiting, ports.Reply{Code: ports.RolledBack, Text: "the transaction was ended"})
	}
	return req
}

// waitingStatement returns the statement of the connection's transaction that waits in a
// queue, or nil if there is none.
func (c *connection) waitingStatement() *request {
	if c.tx == nil || c.tx.session.request == nil || c.tx.session.request.queueIndex == 0 {
		return nil
	}
	return c.tx.session.request
}

// recordStatementEnd updates the counts of running statements when the connection's
// statement was answered or its connection removed.
func (t *Table) recordStatementEnd(conn *connection) {
	if !conn.statementInFlight {
		return
	}
	conn.statementInFlight = false
	conn.db.running--
	t.running--
	if conn.overdue {
		conn.overdue = false
		conn.db.overdue--
	}
}

// setOverdue stops counting a statement that runs for too long against the database's
// concurrency limit. The statement itself goes on.
func (t *Table) setOverdue(conn *connection) {
	if !conn.overdue {
		conn.overdue = true
		conn.db.overdue++
	}
}

// closeConnection closes a connection. A request that runs on it ends as interrupted.
func (t *Table) closeConnection(conn *connection) {
	if t.connections[conn.id] != conn {
		return
	}
	t.emit(CloseConnection{Conn: conn.id})
	t.requestInterrupted(conn, t.removeConnection(conn))
}

// closeDetached closes a connection from which the request was already detached.
func (t *Table) closeDetached(conn *connection) {
	if t.connections[conn.id] == conn {
		t.emit(CloseConnection{Conn: conn.id})
		t.removeConnection(conn)
	}
}

// timerFired closes a connection that was idle for too long or got no answer in time.
func (c *connection) timerFired(t *Table) { t.closeConnection(c) }
