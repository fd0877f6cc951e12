package sessiontable

import (
	"stoneford/internal/ports"
)

// retry has a request run once more, here or elsewhere, if it still may.
func (t *Table) retry(req *request, answer *ports.Response) {
	if answer != nil {
		req.rejection = answer
	}
	if req.session.closed || t.now >= req.deadline {
		t.reject(req)
		return
	}
	t.assign(req)
}

func (t *Table) failedSingle(db *database, req *request, answer ports.Response) {
	reply := ports.Reply{Code: answer.Code, Text: answer.Text, Body: answer.Body}
	if answer.Code == ports.UnknownPreparedStatement {
		reply = ports.Reply{Code: ports.Busy, Text: "the database lost a prepared name; retry at once"}
	}
	if t.mayRetry(db, req, answer) {
		t.retry(req, &answer)
		return
	}
	t.finish(req, reply)
}

// mayRetry says that what a database did not run, or a read, goes on elsewhere
// or again, and notes what that says of the database.
func (t *Table) mayRetry(db *database, req *request, answer ports.Response) bool {
	switch answer.Code {
	case ports.Busy:
		return req.attempts < 8
	case ports.Lagging:
		if req.needPosition.Known() && db.group.state.Primary == db.ID {
			return false
		}
		req.triedDatabases = append(req.triedDatabases, db.ID)
		return true
	case ports.ReadOnly:
		group := db.group
		if group.state.Primary == db.ID {
			group.deniedUs, group.deniedRevision = max(t.now, 1), group.state.Revision
			if group.failoverSince == 0 {
				group.failoverSince = t.now
			}
			t.requestLease()
			return req.attempts < 4
		}
		return false
	case ports.WrongInstance:
		db.wrongIdentity = true
		t.markFailing(db, t.now, true)
		return req.attempts < 4
	case ports.TooManyConnections, ports.UnknownPreparedStatement:
		return req.attempts < 4
	case ports.Failed:
		if req.tx == nil && !req.writes && req.attempts < t.options.MaxAttempts {
			req.triedDatabases = append(req.triedDatabases, db.ID)
			return true
		}
	}
	return false
}

func (t *Table) failedInTx(conn *connection, req *request, answer ports.Response) {
	tx := req.tx
	if !tx.ran && answer.Code.NotRun() && answer.Code != ports.UnknownPreparedStatement {
		t.rewind(tx)
		if t.mayRetry(conn.database, req, answer) {
			t.retry(req, &answer)
			return
		}
	} else if answer.Code == ports.Busy && answer.State == ports.InTransaction && !conn.closeAfterStatement && req.attempts < 8 {
		t.retry(req, &answer)
		return
	} else if answer.Code == ports.ReadOnly {
		t.mayRetry(conn.database, req, answer)
	} else if answer.Code == ports.UnknownPreparedStatement {
		t.finish(req, ports.Reply{Code: ports.RolledBack, Text: "the database lost a prepared name"})
		return
	}
	t.finish(req, ports.Reply{Code: answer.Code, Text: answer.Text, Body: answer.Body})
}

// rewind brings a transaction of which nothing ran back to before its
// beginning was sent.
func (t *Table) rewind(tx *transaction) {
	t.release(tx)
	tx.begun, tx.ended = false, false
}

// beginFailed ends a statement whose kept beginning, sent along with it, was
// not taken.
func (t *Table) beginFailed(conn *connection, req *request, beginAnswer, answer ports.Response) {
	tx := req.tx
	if answer.Code == ports.Done || !answer.Code.NotRun() && answer.Code != ports.Malformed && answer.Code != ports.RolledBack || answer.State == ports.InTransaction {
		// The statement ran all the same, outside its transaction.
		conn.closeWhenIdle = true
		db := conn.database
		t.closeDetached(conn)
		tx.begun, tx.ended = false, false
		if req.writes {
			t.finish(req, ports.Reply{Code: ports.InDoubt, Text: "the database ran it outside the transaction"})
			return
		}
		if t.mayRetry(db, req, beginAnswer) {
			t.retry(req, &beginAnswer)
			return
		}
		t.finish(req, ports.Reply{Code: ports.RolledBack, Text: "the transaction did not begin"})
		return
	}
	t.rewind(tx)
	if beginAnswer.Code.NotRun() && t.mayRetry(conn.database, req, beginAnswer) {
		t.retry(req, &beginAnswer)
		return
	}
	t.finish(req, ports.Reply{Code: beginAnswer.Code, Text: beginAnswer.Text, Body: beginAnswer.Body})
}

func (t *Table) failedCommit(conn *connection, req *request, answer ports.Response) {
	if answer.Code == ports.Busy && answer.State == ports.InTransaction && !conn.closeAfterStatement && req.attempts < 8 {
		t.retry(req, &answer)
		return
	}
	if answer.Code == ports.ReadOnly {
		t.mayRetry(conn.database, req, answer)
	}
	t.finish(req, ports.Reply{Code: answer.Code, Text: answer.Text, Body: answer.Body})
}

// connectionLost takes a connection that broke.
func (t *Table) connectionLost(e ConnectionLost) {
	conn := t.connections[e.Conn]
	if conn == nil {
		return
	}
	db := conn.database
	req := t.remove(conn)
	if e.Disconnected && !db.Draining {
		t.markFailing(db, t.now, true)
	}
	t.requestInterrupted(conn, req)
}

// requestInterrupted ends the request of a connection that is gone (design 14.9): what may
// be kept is in doubt, what cannot be is not, and a read goes elsewhere.
func (t *Table) requestInterrupted(conn *connection, req *request) {
	if req == nil {
		return
	}
	t.disarm(&req.timer)
	tx := req.tx
	switch {
	case req.mayCommit() && req.statementSent:
		t.finish(req, ports.Reply{Code: ports.InDoubt, Text: "the connection broke before its end was known"})
	case tx != nil:
		// A first statement that left may have run there; one whose beginning alone
		// left did not.
		if !tx.ran && !req.statementSent && req.attempts < t.options.MaxAttempts && t.now < req.deadline && !req.session.closed {
			tx.begun, tx.ended = false, false
			req.triedDatabases = append(req.triedDatabases, conn.database.ID)
			t.assign(req)
			return
		}
		tx.ended = true
		t.finish(req, ports.Reply{Code: ports.RolledBack, Text: "the connection broke; the transaction is ended"})
	case req.attempts < t.options.MaxAttempts && t.now < req.deadline && !req.session.closed:
		req.triedDatabases = append(req.triedDatabases, conn.database.ID)
		t.assign(req)
	case t.now >= req.deadline:
		t.finish(req, ports.Reply{Code: ports.Timeout, Text: "no end within its time"})
	default:
		t.finish(req, ports.Reply{Code: ports.RolledBack, Text: "the connection broke"})
	}
}

// statementOverdue is called when a running statement's database is silent, and at its
// deadline.
func (t *Table) statementOverdue(req *request) {
	conn := req.connection
	db := conn.database
	if t.now >= req.deadline {
		t.markFailing(db, req.sentUs, false)
		t.closeConnection(conn)
		return
	}
	t.markFailing(db, req.sentUs, false)
	alreadyOverdue := conn.stuck
	if !conn.stuck {
		conn.stuck = true
		db.stuck++
	}
	switch {
	case req.tx == nil && !req.writes && req.attempts < t.options.MaxAttempts && !req.session.closed:
		// The read goes elsewhere, or is given up where there is no other place; the
		// connection waits for its end, which nobody hears.
		conn.request, req.connection, req.database = nil, nil, nil
		t.arm(&conn.timer, t.now+t.options.AbandonedTimeoutUs)
		req.triedDatabases = append(req.triedDatabases, db.ID)
		t.assign(req)
		return
	case req.tx != nil && !req.mayCommit() && alreadyOverdue:
		// It never commits once its connection is closed, so it is given up for
		// certain and long before its deadline.
		t.closeConnection(conn)
		return
	case req.tx != nil && !req.mayCommit():
		t.arm(&req.timer, min(req.deadline, t.now+t.unresponsiveAfter(db, req)))
		return
	}
	t.arm(&req.timer, req.deadline)
}
