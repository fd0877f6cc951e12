package sessiontable

import (
	"math"
	"slices"

	"stoneford/internal/ports"
)

// What an op in a connection's list of those without an end is.
const (
	nodeOp       = iota
	nodeRollback // the node's own rollback
	beginOp
	statementOp
)

// pendingOp is one op that was sent and has no end yet.
type pendingOp struct {
	kind    int
	request *request // of beginOp and statementOp
}

// connection is one connection to a database.
type connection struct {
	id                  uint64
	database            *database
	up                  bool
	values              *values
	prepared            map[*preparedShape]bool
	stale               bool         // what stands on it is not known for sure: reset it first
	closeWhenIdle       bool         // to be closed as soon as nothing runs on it
	closeAfterStatement bool         // its instance leads no more: closed after what runs
	request             *request     // that runs on it
	usesSlot            bool         // a statement on it has no end yet
	stuck               bool         // and has taken too long
	tx                  *transaction // it belongs to
	pending             []pendingOp
	state               ports.TransactionState
	sentUs              int64
	primaryTerm         uint64 // the view's term it was sent under, 0 at a follower
	beginFailure        *ports.Response
	timer               timer
	touched             bool // in Table.touched
}

func (t *Table) touch(conn *connection) {
	if !conn.touched {
		conn.touched = true
		t.touchedConnections = append(t.touchedConnections, conn)
	}
}

// connectionLimit is the number of connections to an instance that this node may hold
// (design 14.11).
func (t *Table) connectionLimit(db *database) int {
	if db.group.config.ConnectionLimit == 0 {
		return 1
	}
	return max(1, int(t.connectionQuota(db)))
}

// connectionQuota is this node's part of an instance's limit of connections, which is
// below 1 where there are more nodes than connections.
func (t *Table) connectionQuota(db *database) float64 {
	return float64(db.group.config.ConnectionLimit-t.options.ReservedConnections) / float64(max(t.nodes, 1))
}

// idleTimeout is how long an idle connection is kept. Where there is less than one
// for each node, so short that all nodes together, each at its usual rate of
// use, hold no more than most of the limit (design 14.11).
func (t *Table) idleTimeout(db *database) int64 {
	s := t.connectionQuota(db)
	if s >= 1 || db.group.config.ConnectionLimit == 0 {
		return t.options.IdleConnectionUs
	}
	us := s * crowdedQuota / max(db.useRate, minUseRate) * 1e6
	return int64(min(max(us, 20_000), float64(t.options.IdleConnectionUs)))
}

// recordUse feeds an instance's rate of use.
func (t *Table) recordUse(db *database) {
	dt := float64(t.now-db.lastUseUs) / useRateWindowUs
	if db.lastUseUs == 0 {
		db.useRate = initialUseRate
	} else {
		db.useRate = db.useRate*math.Exp(-dt) + 1e6/useRateWindowUs
	}
	db.lastUseUs = t.now
}

// What a node whose share is below one connection reckons with.
const (
	crowdedQuota    = 0.6
	useRateWindowUs = 10e6 // the rate of use is an average over this
	initialUseRate  = 0.4  // uses a second before any is known
	minUseRate      = 0.05
	crowdedRetryUs  = 25_000 // and it tries again after about this
)

// openConnections opens connections for a line, unless one in use will surely do.
func (t *Table) openConnections(db *database, req *request) {
	// More than the statements that may run at once are of no use.
	n := len(db.connections) - db.openTransactions
	want := min(db.queue.len()-db.opening, max(1, int(db.slots))-n, t.connectionLimit(db)-len(db.connections))
	if want <= 0 || db.wrongIdentity {
		return
	}
	if t.now < db.backoffUntil {
		t.wakeAt(db, db.backoffUntil)
		return
	}
	if n > 0 && db.opening == 0 && t.now < req.arrivedUs+t.options.OpenDelayUs {
		t.wakeAt(db, req.arrivedUs+t.options.OpenDelayUs)
		return
	}
	for range min(want, 4) {
		t.connect(db)
	}
}

func (t *Table) connect(db *database) {
	t.lastConnection++
	conn := &connection{id: t.lastConnection, database: db, values: noValues}
	conn.timer.owner = conn
	t.connections[conn.id] = conn
	db.connections = append(db.connections, conn)
	db.opening++
	t.counts.Connects++
	t.emit(Connect{Conn: conn.id, Address: db.Address, Group: db.Group, ID: db.ID, WaitUs: t.options.ConnectTimeoutUs})
}

func (t *Table) connectEnded(e ConnectEnded) {
	conn := t.connections[e.Conn]
	if conn == nil || conn.up {
		return
	}
	db := conn.database
	if e.Err == "" && e.Code == ports.Done {
		db.opening--
		conn.up = true
		db.backUs, db.backoffUntil = 0, 0
		t.markWorking(db)
		t.recordPosition(db, e.Position)
		t.recycle(conn)
		return
	}
	t.remove(conn)
	if crowded := t.connectionQuota(db) < 1; crowded && (e.Code == ports.TooManyConnections || e.Disconnected && !e.ConnectionRefused) {
		// Its turn comes once another node has closed one.
		db.backoffUntil = t.now + crowdedRetryUs + t.rand.Int64N(crowdedRetryUs)
		t.wakeAt(db, db.backoffUntil)
		return
	} else if e.Code == ports.TooManyConnections {
		db.backoffUntil = t.now + 300_000
	} else {
		db.backUs = min(max(db.backUs*2, 50_000), 1_000_000)
		db.backoffUntil = t.now + db.backUs
	}
	switch {
	case e.Code == ports.WrongInstance:
		db.wrongIdentity = true
		t.markFailing(db, t.now, true)
	case e.Code == ports.Done || e.ConnectionRefused:
		t.markFailing(db, t.now, e.ConnectionRefused)
	}
	if db.failingSince > 0 || db.queue.len() > 0 {
		t.wakeAt(db, db.backoffUntil)
	}
}

// takeIdle takes the idle connection that needs the least to be set: the one used
// last among equals, so that the others can grow old and be closed.
func (t *Table) takeIdle(db *database, req *request) *connection {
	best, score := -1, -1
	for i := len(db.idle) - 1; i >= 0; i-- {
		conn, n := db.idle[i], 0
		switch {
		case conn.stale:
		case conn.values == req.session.values || conn.values.key == req.session.values.key:
			n = 4
			if req.shape == nil || conn.prepared[req.shape] {
				n = 6
			}
		case conn.values.reachable(req.session.values):
			n = 2
			if req.shape != nil && conn.prepared[req.shape] {
				n = 3
			}
		}
		if n > score {
			best, score = i, n
		}
		if n == 6 {
			break
		}
	}
	if best < 0 {
		return nil
	}
	conn := db.idle[best]
	db.idle = slices.Delete(db.idle, best, best+1)
	t.disarm(&conn.timer)
	return conn
}

// release parts a transaction from its connection; the database is told to roll
// back unless it is known to have ended it.
func (t *Table) release(tx *transaction) {
	conn := tx.connection
	if conn == nil {
		return
	}
	tx.connection, conn.tx = nil, nil
	conn.database.openTransactions--
	t.reportIfQuiescent(conn.database)
	switch {
	case len(conn.pending) > 0, conn.closeWhenIdle, conn.closeAfterStatement:
		t.closeConnection(conn)
	case conn.state == ports.Idle:
		t.recycle(conn)
	default:
		conn.pending = append(conn.pending, pendingOp{kind: nodeRollback})
		t.emit(Send{Conn: conn.id, Ops: []ports.Op{{Internal: true, Statement: ports.Statement{Kind: ports.Rollback}}}})
		t.arm(&conn.timer, t.now+t.options.AbandonedTimeoutUs)
		t.touch(conn)
	}
}

// recycle makes a connection ready for the next, or closes it.
func (t *Table) recycle(conn *connection) {
	db := conn.database
	t.touch(conn)
	if conn.closeWhenIdle || conn.closeAfterStatement || conn.state != ports.Idle || len(conn.pending) > 0 || db.removed || len(db.connections) > t.connectionLimit(db) ||
		db.Draining && t.primary(db.group) != db && db.queue.len() == 0 {
		t.closeConnection(conn)
		return
	}
	db.idle = append(db.idle, conn)
	t.arm(&conn.timer, t.now+t.idleTimeout(db))
	db.markChanged(t)
}

// remove forgets a connection and hands back the request that ran on it; its
// transaction can never commit.
func (t *Table) remove(conn *connection) *request {
	db := conn.database
	var waiting *request // of its transaction, still waiting for its turn
	if tx := conn.tx; tx != nil && tx.session.request != nil && tx.session.request.queueIndex != 0 {
		waiting = tx.session.request
		t.dequeue(waiting)
	}
	delete(t.connections, conn.id)
	if i := slices.Index(db.connections, conn); i >= 0 {
		db.connections = slices.Delete(db.connections, i, i+1)
	}
	if i := slices.Index(db.idle, conn); i >= 0 {
		db.idle = slices.Delete(db.idle, i, i+1)
	}
	if !conn.up {
		db.opening--
	}
	t.disarm(&conn.timer)
	t.releaseSlot(conn)
	if tx := conn.tx; tx != nil {
		tx.connection, conn.tx = nil, nil
		tx.ended = true
		db.openTransactions--
	}
	req := conn.request
	if req != nil {
		conn.request, req.connection, req.database = nil, nil, nil
	}
	t.reportIfQuiescent(db)
	db.markChanged(t)
	if waiting != nil {
		t.finish(waiting, ports.Reply{Code: ports.RolledBack, Text: "the transaction was ended"})
	}
	return req
}

func (t *Table) releaseSlot(conn *connection) {
	if conn.usesSlot {
		conn.usesSlot = false
		conn.database.running--
		if conn.stuck {
			conn.stuck = false
			conn.database.stuck--
		}
		t.running--
	}
}

// closeConnection closes a connection; what ran on it ends as broken off.
func (t *Table) closeConnection(conn *connection) {
	if t.connections[conn.id] != conn {
		return
	}
	t.emit(CloseConnection{Conn: conn.id})
	t.requestInterrupted(conn, t.remove(conn))
}
