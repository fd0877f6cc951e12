package sessiontable

import "stoneford/internal/ports"

const (
	// maxBusyAttempts bounds the attempts of a statement at databases that are busy.
	maxBusyAttempts = 8
	// maxRejectedAttempts bounds those of a statement that databases reject for other
	// reasons than being busy.
	maxRejectedAttempts = 4
)

const (
	textRanOutside   = "the database ran it outside the transaction"
	textLostPrepared = "the database lost a prepared name"
)

// replyWith passes a database's answer on to the caller.
func replyWith(answer ports.Response) ports.Reply {
	return ports.Reply{Code: answer.Code, Text: answer.Text, Body: answer.Body}
}

// retry has a request run once more, here or elsewhere, if there is time left. The
// answer is why it did not run.
func (t *Table) retry(req *request, answer ports.Response) {
	req.rejection = &answer
	if req.session.closed || t.now >= req.deadline {
		t.reject(req)
		return
	}
	t.assign(req)
}

// mayRetryElsewhere reports whether there are attempts and time left for a request whose
// database failed.
func (t *Table) mayRetryElsewhere(req *request) bool {
	return req.attempts < t.options.MaxAttempts && t.now < req.deadline && !req.session.closed
}

// retryElsewhere has a request run once more, but not at the database that failed.
func (t *Table) retryElsewhere(req *request, failed *database) {
	req.triedDatabases = append(req.triedDatabases, failed.ID)
	t.assign(req)
}

// failedSingle ends or retries a statement outside a transaction that a database
// answered with an error.
func (t *Table) failedSingle(db *database, req *request, answer ports.Response) {
	if t.mayRetry(db, req, answer) {
		t.retry(req, answer)
		return
	}
	reply := replyWith(answer)
	if answer.Code == ports.UnknownPreparedStatement {
		reply = ports.Reply{Code: ports.Busy, Text: textLostPrepared + "; retry at once"}
	}
	t.finish(req, reply)
}

// mayRetry reports whether a statement that failed may be retried: one that the database
// did not run, or a read. It also notes what the answer says of the database.
func (t *Table) mayRetry(db *database, req *request, answer ports.Response) bool {
	isPrimary := db.group.state.Primary == db.ID
	switch answer.Code {
	case ports.Busy:
		return req.attempts < maxBusyAttempts
	case ports.Lagging:
		if req.needPosition.Known() && isPrimary {
			return false
		}
		req.triedDatabases = append(req.triedDatabases, db.ID)
		return true
	case ports.ReadOnly:
		if !isPrimary {
			return false
		}
		t.recordDenial(db.group)
		return req.attempts < maxRejectedAttempts
	case ports.WrongInstance:
		t.setWrongIdentity(db)
		return req.attempts < maxRejectedAttempts
	case ports.TooManyConnections, ports.UnknownPreparedStatement:
		return req.attempts < maxRejectedAttempts
	case ports.Failed:
		if t.mayRetryRead(req) {
			req.triedDatabases = append(req.triedDatabases, db.ID)
			return true
		}
	}
	return false
}

// mayRepeat reports whether a statement inside a transaction may be sent once more on
// its connection: the database was busy and the transaction is still open.
func mayRepeat(conn *connection, req *request, answer ports.Response) bool {
	return answer.Code == ports.Busy && answer.State == ports.InTransaction && !conn.closeAfterStatement && req.attempts < maxBusyAttempts
}

// failedInTx ends or retries a statement inside a transaction, other than its commit,
// that a database answered with an error.
func (t *Table) failedInTx(conn *connection, req *request, answer ports.Response) {
	isFirst := !req.tx.hasRun
	switch {
	case isFirst && answer.Code.NotRun() && answer.Code != ports.UnknownPreparedStatement:
		t.rewind(req.tx)
		if t.mayRetry(conn.db, req, answer) {
			t.retry(req, answer)
			return
		}
	case mayRepeat(conn, req, answer):
		t.retry(req, answer)
		return
	case answer.Code == ports.ReadOnly:
		t.mayRetry(conn.db, req, answer)
	case answer.Code == ports.UnknownPreparedStatement:
		t.finish(req, ports.Reply{Code: ports.RolledBack, Text: textLostPrepared})
		return
	}
	t.finish(req, replyWith(answer))
}

// failedCommit ends or retries a commit that a database answered with an error.
func (t *Table) failedCommit(conn *connection, req *request, answer ports.Response) {
	if mayRepeat(conn, req, answer) {
		t.retry(req, answer)
		return
	}
	if answer.Code == ports.ReadOnly {
		t.mayRetry(conn.db, req, answer)
	}
	t.finish(req, replyWith(answer))
}

// rewind resets a transaction of which nothing ran to before its begin was sent.
func (t *Table) rewind(tx *transaction) {
	t.release(tx)
	tx.begun, tx.ended = false, false
}

// beginFailed ends or retries a transaction's first statement whose begin, sent along
// with it, failed.
func (t *Table) beginFailed(conn *connection, req *request, beginAnswer, answer ports.Response) {
	if ranOutside(answer) {
		t.ranOutsideTransaction(conn, req, beginAnswer)
		return
	}
	t.rewind(req.tx)
	if beginAnswer.Code.NotRun() && t.mayRetry(conn.db, req, beginAnswer) {
		t.retry(req, beginAnswer)
		return
	}
	t.finish(req, replyWith(beginAnswer))
}

// ranOutside reports whether a statement may have run although its begin failed.
func ranOutside(answer ports.Response) bool {
	switch {
	case answer.Code == ports.Done, answer.State == ports.InTransaction:
		return true
	case answer.Code == ports.Malformed, answer.Code == ports.RolledBack:
		return false
	}
	return !answer.Code.NotRun()
}

// ranOutsideTransaction ends a first statement that may have run on its own: a write is
// in doubt, a read is retried.
func (t *Table) ranOutsideTransaction(conn *connection, req *request, beginAnswer ports.Response) {
	conn.closeWhenIdle = true
	t.closeDetached(conn)
	req.tx.begun, req.tx.ended = false, false
	switch {
	case req.writes:
		t.finish(req, ports.Reply{Code: ports.InDoubt, Text: textRanOutside})
	case t.mayRetry(conn.db, req, beginAnswer):
		t.retry(req, beginAnswer)
	default:
		t.finish(req, ports.Reply{Code: ports.RolledBack, Text: "the transaction did not begin"})
	}
}

// connectionLost takes the loss of a connection.
func (t *Table) connectionLost(e ConnectionLost) {
	conn := t.connections[e.Conn]
	if conn == nil {
		return
	}
	req := t.remove(conn)
	if e.Disconnected && !conn.db.Draining {
		t.setFailing(conn.db, t.now, true)
	}
	t.requestInterrupted(conn, req)
}

// requestInterrupted ends the request of a connection that is closed (design 14.9): what
// may have committed is in doubt, what cannot have is rolled back, and a read is retried
// elsewhere. The request is nil if none ran.
func (t *Table) requestInterrupted(conn *connection, req *request) {
	if req == nil {
		return
	}
	t.timers.disarm(&req.timer)
	tx := req.tx
	switch {
	case req.mayCommit() && req.statementSent:
		t.finish(req, ports.Reply{Code: ports.InDoubt, Text: "the connection broke before its end was known"})
	case tx != nil:
		t.interruptedInTx(conn, req)
	case t.mayRetryElsewhere(req):
		t.retryElsewhere(req, conn.db)
	case t.now >= req.deadline:
		t.finish(req, ports.Reply{Code: ports.Timeout, Text: "no end within its time"})
	default:
		t.finish(req, ports.Reply{Code: ports.RolledBack, Text: "the connection broke"})
	}
}

// interruptedInTx ends a statement inside a transaction whose connection is closed. If
// only the begin was sent, the transaction is retried elsewhere; a first statement that
// was sent may have run.
func (t *Table) interruptedInTx(conn *connection, req *request) {
	tx := req.tx
	if !tx.hasRun && !req.statementSent && t.mayRetryElsewhere(req) {
		tx.begun, tx.ended = false, false
		t.retryElsewhere(req, conn.db)
		return
	}
	tx.ended = true
	t.finish(req, ports.Reply{Code: ports.RolledBack, Text: "the connection broke; the transaction is ended"})
}

// statementOverdue is called when a statement runs for so long that its database counts
// as failing, and at its deadline.
func (t *Table) statementOverdue(req *request) {
	conn := req.conn
	t.setFailing(conn.db, req.sentUs, false)
	if t.now >= req.deadline {
		t.closeConnection(conn)
		return
	}
	overdueBefore := conn.overdue
	t.setOverdue(conn)
	mustNotCommit := req.tx != nil && !req.mayCommit()
	switch {
	case t.mayRetryRead(req) && !req.session.closed:
		t.abandon(conn, req)
	case mustNotCommit && overdueBefore:
		// It cannot commit once its connection is closed, so it ends for certain, and
		// long before its deadline.
		t.closeConnection(conn)
	case mustNotCommit:
		t.timers.arm(&req.timer, min(req.deadline, t.now+t.unresponsiveAfter(conn.db, req)))
	default:
		t.timers.arm(&req.timer, req.deadline)
	}
}

// abandon leaves a read on its connection, whose answer goes to nobody, and has it run
// elsewhere.
func (t *Table) abandon(conn *connection, req *request) {
	conn.request, req.conn, req.db = nil, nil, nil
	t.timers.arm(&conn.timer, t.now+t.options.AbandonedTimeout.Microseconds())
	t.retryElsewhere(req, conn.db)
}
