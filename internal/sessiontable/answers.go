package sessiontable

import (
	"stoneford/internal/ports"
)

// receiveAnswer takes the end of the oldest op of a connection.
func (t *Table) receiveAnswer(e AnswerReceived) {
	conn := t.connections[e.Conn]
	if conn == nil {
		return
	}
	t.touch(conn)
	if len(conn.pending) == 0 {
		conn.closeWhenIdle = true
		t.closeConnection(conn)
		return
	}
	db, answer := conn.database, e.Answer
	p := conn.pending[0]
	conn.pending = conn.pending[:copy(conn.pending, conn.pending[1:])]
	conn.state = answer.State
	t.markWorking(db)
	switch p.kind {
	case nodeOp:
		if answer.Code != ports.Done {
			conn.closeWhenIdle = true
		}
		return
	case nodeRollback:
		t.disarm(&conn.timer)
		if answer.Code != ports.Done {
			conn.closeWhenIdle = true
		}
		t.recycle(conn)
		return
	case beginOp:
		if answer.Code != ports.Done {
			conn.beginFailure = &answer
		}
		if len(conn.pending) > 0 {
			return
		}
		// It went alone (Options.SeparateBegin).
		if answer.Code == ports.Done && answer.State == ports.InTransaction && conn.request != nil {
			t.sendStatement(conn, conn.request)
			return
		}
		answer.Stamped = false
		t.statementEnded(conn, p.request, answer, false)
		return
	}
	t.statementEnded(conn, p.request, answer, true)
}

// statementEnded takes the end of a statement on a connection: what is known of it decides
// what its caller is told (design 14.9).
func (t *Table) statementEnded(conn *connection, req *request, answer ports.Response, main bool) {
	db := conn.database
	sent := conn.sentUs
	t.releaseSlot(conn)
	t.recordRunTime(db, req, answer, sent)
	// Inside a transaction the position may be that of its beginning.
	if conn.primaryTerm != 0 && (req == nil || req.tx == nil || !req.tx.ran || req.commit && answer.Code == ports.Done) {
		t.recordEvidence(conn, sent, answer.Position, answer.Code == ports.Done && req != nil && req.mayCommit())
	}
	t.recordPosition(db, answer.Position)
	if conn.request == nil {
		// Nobody waits: its reader was given up or went elsewhere.
		t.recycle(conn)
		return
	}
	conn.request, req.connection, req.database = nil, nil, nil
	t.disarm(&req.timer)
	defer func() {
		t.reportIfQuiescent(db)
		db.markChanged(t)
	}()
	beginAnswer := conn.beginFailure
	if beginAnswer != nil && main {
		t.beginFailed(conn, req, *beginAnswer, answer)
		return
	}
	if answer.Code == ports.Done && (!answer.Stamped || !main) {
		// Not what was asked for: nothing can rest on it.
		conn.closeWhenIdle = true
		t.closeDetached(conn)
		t.requestInterrupted(conn, req)
		return
	}
	if answer.Code == ports.UnknownPreparedStatement {
		conn.stale = true // it does not hold what it was given
	}
	tx := req.tx
	if answer.Code == ports.Done {
		t.statementDone(conn, req, answer)
		return
	}
	switch {
	case tx == nil:
		t.recycle(conn)
		t.failedSingle(db, req, answer)
	case req.commit:
		t.failedCommit(conn, req, answer)
	default:
		t.failedInTx(conn, req, answer)
	}
}

func (t *Table) statementDone(conn *connection, req *request, answer ports.Response) {
	tx := req.tx
	reply := ports.Reply{Body: answer.Body}
	kept := req.mayCommit()
	switch {
	case tx == nil, req.commit:
		if tx != nil {
			tx.connection, conn.tx = nil, nil
			conn.database.openTransactions--
			conn.stale = false // what was set inside it stays
		}
		t.recycle(conn)
	case answer.State != ports.InTransaction:
		// It ran outside its transaction: whether it is kept is not known.
		conn.closeWhenIdle = true
		t.closeDetached(conn)
		if req.writes {
			reply = ports.Reply{Code: ports.InDoubt, Text: "the database ran it outside the transaction"}
		} else {
			reply = ports.Reply{Code: ports.RolledBack, Text: "the transaction was lost"}
		}
	case conn.closeAfterStatement:
		// The primary was replaced: the next statement is told.
		tx.ended = true
		t.finish(req, reply)
		t.release(tx)
		return
	}
	if kept {
		t.confirmCommit(req, &unconfirmedCommit{primaryTerm: conn.primaryTerm, primary: conn.database.ID, position: answer.Position, reply: reply, untilUs: min(req.deadline, t.now+t.options.CommitConfirmationUs)})
		return
	}
	t.finish(req, reply)
}

// recordRunTime takes run times and how many statements the database bears.
func (t *Table) recordRunTime(db *database, req *request, answer ports.Response, sent int64) {
	if answer.Code == ports.Busy {
		db.slots = max(1, db.slots/2)
		run := t.runTime(db, 0)
		if req != nil {
			run = t.runTime(db, req.runIndex())
		}
		db.busyUntil = t.now + run/2 + t.rand.Int64N(run+1)
		return
	}
	if answer.Code != ports.Done {
		return
	}
	if req != nil {
		i := req.runIndex()
		durationUs := max(t.now-sent, 1)
		db.runUpdatedUs[i] = t.now
		if db.runUs[i] == 0 {
			db.runUs[i] = durationUs
		} else {
			db.runUs[i] += (durationUs - db.runUs[i]) / 8
			db.runUs[i] = max(db.runUs[i], 1)
		}
	}
	n := db.Capacity
	if n <= 0 {
		n = t.options.DefaultCapacity
	}
	if db.running+1 >= int(db.slots) {
		db.slots = min(db.slots+0.25/max(db.slots, 1), float64(max(2, n)))
	}
}

// closeDetached drops a connection whose request was taken off it already.
func (t *Table) closeDetached(conn *connection) {
	if t.connections[conn.id] == conn {
		t.emit(CloseConnection{Conn: conn.id})
		t.remove(conn)
	}
}
