package sessiontable

import "stoneford/internal/ports"

// dispatchChanged dispatches the queues that changed in this step, including those that a
// dispatch changes.
func (t *Table) dispatchChanged() {
	for i := 0; i < len(t.changedQueues); i++ {
		db := t.changedQueues[i]
		db.queueChanged = false
		t.dispatch(db)
	}
	t.changedQueues = t.changedQueues[:0]
}

// dispatch sends queued requests to a database until its limit or its connections are
// used up.
func (t *Table) dispatch(db *database) {
	if t.drainTimedOut(db) {
		t.reassignQueued(db, func(req *request) bool { return !req.hasConnection() })
	}
	for db.queue.len() > 0 && t.mayDispatch(db) {
		req := db.queue.top()
		conn := t.connectionFor(db, req)
		if conn == nil {
			t.openConnections(db, req)
			return
		}
		t.dequeue(req)
		t.send(req, conn)
	}
}

// mayDispatch reports whether a database may be sent a statement now.
func (t *Table) mayDispatch(db *database) bool {
	switch {
	case db.removed:
		return false
	case db.failingSinceUs > 0:
		t.reassignReads(db)
		t.checkHealth(db)
		return false
	case db.running-db.overdue >= max(1, int(db.concurrencyLimit)):
		return false
	case t.now < db.busyUntilUs:
		t.wakeAt(db, db.busyUntilUs)
		return false
	}
	return true
}

// connectionFor returns the connection for a request: its transaction's, or else an idle
// one. It returns nil if there is none.
func (t *Table) connectionFor(db *database, req *request) *connection {
	if req.hasConnection() {
		return req.tx.conn
	}
	return t.takeIdle(db, req)
}

// batch collects the operations that are sent over a connection in one write.
type batch struct {
	conn *connection
	ops  []ports.Op
}

// addInternal adds an operation that this node issues itself.
func (b *batch) addInternal(statement ports.Statement) {
	b.ops = append(b.ops, ports.Op{Internal: true, Statement: statement})
	b.conn.pending = append(b.conn.pending, pendingOp{kind: internalOp})
}

// add adds an operation of a request.
func (b *batch) add(kind opKind, req *request, op ports.Op) {
	b.ops = append(b.ops, op)
	b.conn.pending = append(b.conn.pending, pendingOp{kind, req})
}

// send sends a request over a connection in one write, preceded by the operations that
// prepare the connection for it and, if necessary, by the begin of its transaction.
func (t *Table) send(req *request, conn *connection) {
	tx := req.tx
	begun := tx != nil && tx.beginSent
	b := &batch{conn: conn, ops: make([]ports.Op, 0, 4)}
	if !begun && t.needsReset(conn, req) {
		t.addReset(b)
	}
	b.addValues(req.session.values, begun)
	b.addPrepare(req.prepared, begun)
	beginsAlone := false
	if tx != nil && !begun {
		t.addBegin(b, req)
		beginsAlone = t.options.SeparateBegin
	}
	req.statementSent = !beginsAlone
	if !beginsAlone {
		op := req.op()
		if tx == nil && !req.writes {
			op.MinPosition = req.requiredPosition
		}
		b.add(statementOp, req, op)
	}
	t.recordSent(req, conn, begun)
	t.emit(Send{Conn: conn.id, Ops: b.ops})
	t.touch(conn)
}

// op returns the operation that runs the request's statement.
func (r *request) op() ports.Op {
	op := ports.Op{Statement: r.statement}
	if r.prepared != nil {
		op.PreparedName = r.prepared.name
	}
	return op
}

// needsReset reports whether a connection has to be reset before a request: its session
// state is uncertain, a value set on it has to be unset, or it has too many prepared
// statements.
func (t *Table) needsReset(conn *connection, req *request) bool {
	tooManyPrepared := req.prepared != nil && len(conn.prepared) >= t.options.MaxPrepared && !conn.prepared[req.prepared]
	return conn.mustReset || !conn.values.canBecome(req.session.values) || tooManyPrepared
}

// addReset adds a reset of the connection, which unsets its values and prepared statements.
func (t *Table) addReset(b *batch) {
	b.addInternal(ports.Statement{Kind: ports.Reset})
	b.conn.values, b.conn.mustReset = noValues, false
	clear(b.conn.prepared)
	t.counts.Resets++
}

// addValues sets the values in which the session differs from the connection. A rollback
// may undo values set inside a transaction, so the connection has to be reset unless the
// transaction commits.
func (b *batch) addValues(wanted *sessionValues, inTransaction bool) {
	conn := b.conn
	if conn.values == wanted {
		return
	}
	for _, name := range conn.values.differences(wanted) {
		b.addInternal(ports.Statement{Kind: ports.SetValue, Name: name, Text: wanted.byName[name]})
		conn.mustReset = conn.mustReset || inTransaction
	}
	conn.values = wanted
}

// addPrepare prepares a statement unless it is already prepared on the connection.
func (b *batch) addPrepare(prepared *preparedStatement, inTransaction bool) {
	conn := b.conn
	if prepared == nil || conn.prepared[prepared] {
		return
	}
	b.addInternal(ports.Statement{Kind: ports.Prepare, Name: prepared.name, Text: prepared.text, Writes: prepared.writes})
	if conn.prepared == nil {
		conn.prepared = map[*preparedStatement]bool{}
	}
	conn.prepared[prepared] = true
	conn.mustReset = conn.mustReset || inTransaction
}

// addBegin adds the begin of the request's transaction, and attaches the connection to
// the transaction.
func (t *Table) addBegin(b *batch, req *request) {
	tx, conn := req.tx, b.conn
	tx.conn, tx.beginSent, conn.tx = conn, true, tx
	conn.db.openTransactions++
	begin := ports.Op{Statement: tx.begin}
	if tx.readOnly {
		begin.MinPosition = req.requiredPosition
	}
	b.add(beginOp, req, begin)
}

// sendStatement sends the statement of a transaction whose begin was sent alone.
func (t *Table) sendStatement(conn *connection, req *request) {
	b := &batch{conn: conn}
	b.add(statementOp, req, req.op())
	req.statementSent = true
	t.emit(Send{Conn: conn.id, Ops: b.ops})
}

// recordSent records that a request runs on a connection, and arms its timer. begun
// reports that the transaction's begin was sent with an earlier statement; such
// statements are not counted as placed again.
func (t *Table) recordSent(req *request, conn *connection, begun bool) {
	db := conn.db
	conn.request, conn.statementInFlight, conn.sentUs, conn.beginFailure = req, true, t.now, nil
	conn.primaryTerm = 0
	if db.group.state.Primary == db.ID {
		conn.primaryTerm = db.group.state.Term
	}
	req.conn, req.db, req.sentUs = conn, db, t.now
	if req.attempts++; req.attempts > 1 {
		t.counts.Retries++
	}
	switch {
	case begun:
	case conn.primaryTerm != 0:
		t.counts.AtPrimary++
	default:
		t.counts.AtReplica++
	}
	db.running++
	t.running++
	t.recordUse(db)
	t.timers.arm(&req.timer, min(req.deadlineUs, t.now+t.unresponsiveAfterUs(db, req)))
}
