package sessiontable

import "stoneford/internal/ports"

const (
	// maxBusyAttempts bounds the attempts of a statement that databases answer with Busy.
	maxBusyAttempts = 8
	// maxRejectedAttempts bounds the attempts of a statement that databases reject for
	// other reasons.
	maxRejectedAttempts = 4
)

const (
	textRanOutside   = "the database ran it outside the transaction"
	textLostPrepared = "the database lost a prepared name"
)

// replyWith returns the reply that passes a database's answer on to the caller.
func replyWith(answer ports.Response) ports.Reply {
	return ports.Reply{Code: answer.Code, Text: answer.Text, Body: answer.Body}
}

// retry assigns a request again, to the same database or another one, or rejects it if
// its time is over. answer is the database's reason for not running the statement.
func (t *Table) retry(req *request, answer ports.Response) {
	req.rejection = &answer
	if req.session.closed || t.now >= req.deadlineUs {
		t.reject(req)
		return
	}
	t.assign(req)
}

// mayRetryElsewhere reports whether a request whose database failed has attempts and time
// left.
func (t *Table) mayRetryElsewhere(req *request) bool {
	return req.attempts < t.options.MaxAttempts && t.now < req.deadlineUs && !req.session.closed
}

// retryElsewhere assigns a request again and excludes the database that failed from its
// reads.
func (t *Table) retryElsewhere(req *request, failed *database) {
	req.triedDatabases = append(req.triedDatabases, failed.ID)
	t.assign(req)
}

// singleStatementFailed retries a statement outside a transaction that a database answered
// with an error, or replies with the error.
func (t *Table) singleStatementFailed(db *database, req *request, answer ports.Response) {
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

// mayRetry reports whether a failed statement may be retried: the database did not run
// it, or it is a read. It also updates the state of the database and its group according
// to the answer.
func (t *Table) mayRetry(db *database, req *request, answer ports.Response) bool {
	isPrimary := db.group.state.Primary == db.ID
	switch answer.Code {
	case ports.Busy:
		return req.attempts < maxBusyAttempts
	case ports.Lagging:
		if req.requiredPosition.Known() && isPrimary {
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

// mayResend reports whether a statement inside a transaction may be sent again on the
// same connection: the database was busy and the transaction is still open.
func mayResend(conn *connection, req *request, answer ports.Response) bool {
	return answer.Code == ports.Busy && answer.State == ports.InTransaction && !conn.closeAfterStatement && req.attempts < maxBusyAttempts
}

// txStatementFailed retries a statement inside a transaction, other than its commit, that
// a database answered with an error, or replies with the error.
func (t *Table) txStatementFailed(conn *connection, req *request, answer ports.Response) {
	isFirst := !req.tx.hasRun
	switch {
	case isFirst && answer.Code.NotRun() && answer.Code != ports.UnknownPreparedStatement:
		t.resetTransaction(req.tx)
		if t.mayRetry(conn.db, req, answer) {
			t.retry(req, answer)
			return
		}
	case mayResend(conn, req, answer):
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

// commitFailed retries a commit that a database answered with an error, or replies with
// the error.
func (t *Table) commitFailed(conn *connection, req *request, answer ports.Response) {
	if mayResend(conn, req, answer) {
		t.retry(req, answer)
		return
	}
	if answer.Code == ports.ReadOnly {
		t.mayRetry(conn.db, req, answer)
	}
	t.finish(req, replyWith(answer))
}

// resetTransaction returns a transaction in which no statement ran to the state before
// its begin was sent.
func (t *Table) resetTransaction(tx *transaction) {
	t.releaseConnection(tx)
	tx.beginSent, tx.aborted = false, false
}

// beginFailed retries a transaction's first statement after the begin sent with it failed,
// or replies with the error of the begin.
func (t *Table) beginFailed(conn *connection, req *request, beginAnswer, answer ports.Response) {
	if mayHaveRunOutsideTx(answer) {
		t.endStatementOutsideTx(conn, req, beginAnswer)
		return
	}
	t.resetTransaction(req.tx)
	if beginAnswer.Code.NotRun() && t.mayRetry(conn.db, req, beginAnswer) {
		t.retry(req, beginAnswer)
		return
	}
	t.finish(req, replyWith(beginAnswer))
}

// mayHaveRunOutsideTx reports whether a statement may have run although the begin sent
// with it failed.
func mayHaveRunOutsideTx(answer ports.Response) bool {
	switch {
	case answer.Code == ports.Done, answer.State == ports.InTransaction:
		return true
	case answer.Code == ports.Malformed, answer.Code == ports.RolledBack:
		return false
	}
	return !answer.Code.NotRun()
}

// endStatementOutsideTx handles a transaction's first statement that may have run without
// its begin: a write ends in doubt, a read is retried.
func (t *Table) endStatementOutsideTx(conn *connection, req *request, beginAnswer ports.Response) {
	conn.closeWhenIdle = true
	t.closeDetached(conn)
	req.tx.beginSent, req.tx.aborted = false, false
	switch {
	case req.writes:
		t.finish(req, ports.Reply{Code: ports.InDoubt, Text: textRanOutside})
	case t.mayRetry(conn.db, req, beginAnswer):
		t.retry(req, beginAnswer)
	default:
		t.finish(req, ports.Reply{Code: ports.RolledBack, Text: "the transaction did not begin"})
	}
}

// connectionLost removes a connection that was lost. A disconnect by a database that is
// not draining counts as its failure.
func (t *Table) connectionLost(e ConnectionLost) {
	conn := t.connections[e.Conn]
	if conn == nil {
		return
	}
	req := t.removeConnection(conn)
	if e.Disconnected && !conn.db.Draining {
		t.setFailing(conn.db, t.now, true)
	}
	t.requestInterrupted(conn, req)
}

// requestInterrupted handles the request of a closed connection (design 14.9): a
// statement that may have committed ends in doubt, one that cannot have committed ends as
// rolled back, and a read is retried elsewhere. req is nil if no request ran.
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
		t.txStatementInterrupted(conn, req)
	case t.mayRetryElsewhere(req):
		t.retryElsewhere(req, conn.db)
	case t.now >= req.deadlineUs:
		t.finish(req, ports.Reply{Code: ports.Timeout, Text: "no end within its time"})
	default:
		t.finish(req, ports.Reply{Code: ports.RolledBack, Text: "the connection broke"})
	}
}

// txStatementInterrupted handles a statement inside a transaction whose connection was
// closed. If only the begin was sent, the transaction is retried elsewhere. Otherwise a
// statement may have run, and the transaction is aborted.
func (t *Table) txStatementInterrupted(conn *connection, req *request) {
	tx := req.tx
	if !tx.hasRun && !req.statementSent && t.mayRetryElsewhere(req) {
		tx.beginSent, tx.aborted = false, false
		t.retryElsewhere(req, conn.db)
		return
	}
	tx.aborted = true
	t.finish(req, ports.Reply{Code: ports.RolledBack, Text: "the connection broke; the transaction is ended"})
}

// statementOverdue handles a statement whose database has not answered for so long that
// it counts as failing, or until the statement's deadline.
func (t *Table) statementOverdue(req *request) {
	conn := req.conn
	t.setFailing(conn.db, req.sentUs, false)
	if t.now >= req.deadlineUs {
		t.closeConnection(conn)
		return
	}
	overdueBefore := conn.overdue
	t.setOverdue(conn)
	mustNotCommit := req.tx != nil && !req.mayCommit()
	switch {
	case t.mayRetryRead(req) && !req.session.closed:
		t.abandonRead(conn, req)
	case mustNotCommit && overdueBefore:
		// Closing the connection rules out a commit, so the caller gets a definite
		// result long before the deadline.
		t.closeConnection(conn)
	case mustNotCommit:
		t.timers.arm(&req.timer, min(req.deadlineUs, t.now+t.unresponsiveAfterUs(conn.db, req)))
	default:
		t.timers.arm(&req.timer, req.deadlineUs)
	}
}

// abandonRead retries a read elsewhere. Its connection waits for the first attempt's
// answer, which is discarded.
func (t *Table) abandonRead(conn *connection, req *request) {
	conn.request, req.conn, req.db = nil, nil, nil
	t.timers.arm(&conn.timer, t.now+t.options.AbandonedTimeout.Microseconds())
	t.retryElsewhere(req, conn.db)
}
