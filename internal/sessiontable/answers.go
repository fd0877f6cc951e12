package sessiontable

import "stoneford/internal/ports"

// receiveAnswer processes a database's answer to the oldest pending operation of a
// connection. An answer without a pending operation is a protocol error: the answer is
// dropped and the connection is closed.
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
	answer := e.Answer
	op := conn.pending[0]
	conn.pending = conn.pending[:copy(conn.pending, conn.pending[1:])]
	conn.state = answer.State
	t.setWorking(conn.db)
	failed := answer.Code != ports.Done
	switch op.kind {
	case internalOp:
		conn.closeWhenIdle = conn.closeWhenIdle || failed
	case internalRollback:
		t.timers.disarm(&conn.timer)
		conn.closeWhenIdle = conn.closeWhenIdle || failed
		t.recycle(conn)
	case beginOp:
		if failed {
			conn.beginFailure = &answer
		}
		if len(conn.pending) == 0 {
			t.beginAnswered(conn, op.request, answer)
		}
	case statementOp:
		t.statementAnswered(conn, op.request, answer)
	}
}

// beginAnswered processes the answer to a begin that was sent alone
// (Options.SeparateBegin). If the transaction is open, its first statement is sent.
func (t *Table) beginAnswered(conn *connection, req *request, answer ports.Response) {
	if answer.Code == ports.Done && answer.State == ports.InTransaction && conn.request != nil {
		t.sendStatement(conn, conn.request)
		return
	}
	if !t.detachRequest(conn, req, answer) {
		return
	}
	defer t.afterAnswer(conn.db)
	if answer.Code == ports.Done {
		t.closeUntrusted(conn, req)
		return
	}
	t.statementFailed(conn, req, answer)
}

// statementAnswered processes the answer to a statement: it replies to the caller,
// retries the statement, or waits until the commit is confirmed (design 14.9).
func (t *Table) statementAnswered(conn *connection, req *request, answer ports.Response) {
	if !t.detachRequest(conn, req, answer) {
		return
	}
	defer t.afterAnswer(conn.db)
	switch {
	case conn.beginFailure != nil:
		t.beginFailed(conn, req, *conn.beginFailure, answer)
	case answer.Code == ports.Done && !answer.Stamped:
		t.closeUntrusted(conn, req)
	case answer.Code == ports.Done:
		t.statementDone(conn, req, answer)
	default:
		t.statementFailed(conn, req, answer)
	}
}

// detachRequest updates the database's statistics from an answer and detaches the request
// from its connection. It returns false if the answer belongs to an abandoned read, for
// which no request waits.
func (t *Table) detachRequest(conn *connection, req *request, answer ports.Response) bool {
	t.recordStatementEnd(conn)
	t.recordAnswer(conn.db, req, answer.Code, conn.sentUs)
	done := answer.Code == ports.Done
	// An answer inside a transaction may carry the position of the transaction's begin
	// instead of the newest one.
	isOwnPosition := req == nil || req.tx == nil || !req.tx.hasRun || req.commit && done
	if conn.primaryTerm != 0 && isOwnPosition {
		t.recordPrimaryPosition(conn, conn.sentUs, answer.Position, done && req != nil && req.mayCommit())
	}
	t.recordPosition(conn.db, answer.Position)
	if conn.request == nil {
		t.recycle(conn)
		return false
	}
	conn.request, req.conn, req.db = nil, nil, nil
	t.timers.disarm(&req.timer)
	return true
}

// afterAnswer schedules the database's next statements and reports a primary that became
// quiescent.
func (t *Table) afterAnswer(db *database) {
	t.reportIfQuiescent(db)
	t.scheduleDispatch(db)
}

// closeUntrusted closes a connection that reported a success without a stamp, or a begin
// without an open transaction. The request ends as interrupted, because such an answer
// proves neither that the statement ran nor that it did not.
func (t *Table) closeUntrusted(conn *connection, req *request) {
	conn.closeWhenIdle = true
	t.closeDetached(conn)
	t.requestInterrupted(conn, req)
}

// statementDone replies to a statement that succeeded. If the statement committed writes,
// the reply is sent only once the primary is confirmed.
func (t *Table) statementDone(conn *connection, req *request, answer ports.Response) {
	tx := req.tx
	reply := ports.Reply{Body: answer.Body}
	switch {
	case tx == nil:
		t.recycle(conn)
	case req.commit:
		tx.conn, conn.tx = nil, nil
		conn.db.openTransactions--
		conn.mustReset = false // the commit made the values set inside the transaction permanent
		t.recycle(conn)
	case answer.State != ports.InTransaction:
		// The statement ran outside its transaction, so a write may have been committed.
		conn.closeWhenIdle = true
		t.closeDetached(conn)
		reply = ports.Reply{Code: ports.RolledBack, Text: "the transaction was lost"}
		if req.writes {
			reply = ports.Reply{Code: ports.InDoubt, Text: textRanOutside}
		}
	case conn.closeAfterStatement:
		// The primary was replaced, so the transaction's next statement fails.
		tx.aborted = true
		t.finish(req, reply)
		t.releaseConnection(tx)
		return
	}
	if !req.mayCommit() {
		t.finish(req, reply)
		return
	}
	t.confirmCommit(req, &unconfirmedCommit{primaryTerm: conn.primaryTerm, primary: conn.db.ID, position: answer.Position, reply: reply,
		deadlineUs: min(req.deadlineUs, t.now+t.options.ConfirmationTimeout.Microseconds())})
}

// statementFailed retries a statement that a database answered with an error, or replies
// with the error.
func (t *Table) statementFailed(conn *connection, req *request, answer ports.Response) {
	if answer.Code == ports.UnknownPreparedStatement {
		conn.mustReset = true // its prepared statements are not those recorded here
	}
	switch {
	case req.tx == nil:
		t.recycle(conn)
		t.singleStatementFailed(conn.db, req, answer)
	case req.commit:
		t.commitFailed(conn, req, answer)
	default:
		t.txStatementFailed(conn, req, answer)
	}
}
