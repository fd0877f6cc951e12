package sessiontable

import (
	"maps"
	"slices"

	"stoneford/internal/ports"
)

// dispatch starts what it can of an instance's line.
func (t *Table) dispatch(db *database) {
	if t.drained(db) {
		t.requeue(db, func(req *request) bool { return !req.hasConnection() })
	}
	for db.queue.len() > 0 && !db.removed {
		if db.failingSince > 0 {
			t.moveReads(db)
			t.checkHealth(db)
			return
		}
		if db.running-db.stuck >= max(1, int(db.slots)) {
			return
		}
		if t.now < db.busyUntil {
			t.wakeAt(db, db.busyUntil)
			return
		}
		req := db.queue.top()
		var conn *connection
		if req.hasConnection() {
			conn = req.tx.connection
		} else if conn = t.takeIdle(db, req); conn == nil {
			t.openConnections(db, req)
			return
		}
		t.dequeue(req)
		t.send(req, conn)
	}
}

func (t *Table) wakeAt(db *database, at int64) {
	if db.wakeTimer.index == 0 || db.wakeTimer.at > at {
		t.arm(&db.wakeTimer, at)
	}
}

// send sends a request over a connection, with what has to stand there first, in
// one write.
func (t *Table) send(req *request, conn *connection) {
	session, tx, db := req.session, req.tx, conn.database
	begun := tx != nil && tx.begun
	ops := make([]ports.Op, 0, 4)
	own := func(statement ports.Statement) {
		ops = append(ops, ports.Op{Internal: true, Statement: statement})
		conn.pending = append(conn.pending, pendingOp{kind: nodeOp})
	}
	if !begun && (conn.stale || !conn.values.reachable(session.values) || req.shape != nil && len(conn.prepared) >= t.options.MaxPrepared && !conn.prepared[req.shape]) {
		own(ports.Statement{Kind: ports.Reset})
		conn.values, conn.stale = noValues, false
		clear(conn.prepared)
		t.counts.Resets++
	}
	if conn.values != session.values {
		if conn.values.key != session.values.key {
			for _, n := range slices.Sorted(maps.Keys(session.values.byName)) {
				if v, ok := conn.values.byName[n]; !ok || v != session.values.byName[n] {
					own(ports.Statement{Kind: ports.SetValue, Name: n, Text: session.values.byName[n]})
					conn.stale = conn.stale || begun
				}
			}
		}
		conn.values = session.values
	}
	if shape := req.shape; shape != nil && !conn.prepared[shape] {
		own(ports.Statement{Kind: ports.Prepare, Name: shape.name, Text: shape.text, Writes: shape.writes})
		if conn.prepared == nil {
			conn.prepared = map[*preparedShape]bool{}
		}
		conn.prepared[shape] = true
		conn.stale = conn.stale || begun
	}
	alone := false
	op := ports.Op{Statement: req.statement}
	if tx != nil && !begun {
		tx.connection, tx.begun, conn.tx = conn, true, tx
		db.openTransactions++
		b := ports.Op{Statement: tx.begin}
		if tx.readOnly {
			b.After = req.needPosition
		}
		ops = append(ops, b)
		conn.pending = append(conn.pending, pendingOp{beginOp, req})
		alone = t.options.SeparateBegin
	} else if tx == nil && !req.writes {
		op.After = req.needPosition
	}
	if req.shape != nil {
		op.Name = req.shape.name
	}
	req.statementSent = !alone
	if !alone {
		ops = append(ops, op)
		conn.pending = append(conn.pending, pendingOp{statementOp, req})
	}
	conn.request, conn.usesSlot, conn.sentUs, conn.beginFailure = req, true, t.now, nil
	conn.primaryTerm = 0
	if db.group.state.Primary == db.ID {
		conn.primaryTerm = db.group.state.Term
	}
	req.connection, req.database, req.sentUs, req.term = conn, db, t.now, db.group.state.Term
	if req.attempts++; req.attempts > 1 {
		t.counts.Retries++
	}
	if !begun {
		if conn.primaryTerm != 0 {
			t.counts.AtPrimary++
		} else {
			t.counts.AtReplica++
		}
	}
	db.running++
	t.running++
	t.recordUse(db)
	t.arm(&req.timer, min(req.deadline, t.now+t.unresponsiveAfter(db, req)))
	t.emit(Send{Conn: conn.id, Ops: ops})
	t.touch(conn)
}

// sendStatement sends the statement whose kept beginning went alone.
func (t *Table) sendStatement(conn *connection, req *request) {
	op := ports.Op{Statement: req.statement}
	if req.shape != nil {
		op.Name = req.shape.name
	}
	req.statementSent = true
	conn.pending = append(conn.pending, pendingOp{statementOp, req})
	t.emit(Send{Conn: conn.id, Ops: []ports.Op{op}})
}

// unresponsiveAfter is how long a statement may run before its database is suspect.
func (t *Table) unresponsiveAfter(db *database, req *request) int64 {
	return max(t.options.UnresponsiveUs, 8*t.runTime(db, req.runIndex()))
}
