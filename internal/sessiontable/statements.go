package sessiontable

import "stoneford/internal/ports"

// Replies to statements that are invalid in the session's state.
const (
	textUnknownPrepared      = "no such prepared name"
	textAlreadyInTx          = "already inside a transaction"
	textNoTransaction        = "no transaction is open"
	textTransactionFailed    = "the transaction failed; only its end is taken"
	textNotACallersStatement = "not a caller's statement"
)

// receiveStatement processes a session's next statement: this node answers it, or starts a
// request for a database.
func (t *Table) receiveStatement(e StatementReceived) {
	session := t.sessions[e.Session]
	if session == nil || session.request != nil {
		return
	}
	t.timers.disarm(&session.idleTimer)
	if session.state == ports.TransactionFailed {
		t.answerInFailedTransaction(session, e.Statement)
		return
	}
	route := t.routeOf(session, e.Statement.Kind)
	if route == nil {
		return // routeOf sent the rejection
	}
	switch e.Statement.Kind {
	case ports.SetValue, ports.Prepare, ports.Deallocate:
		t.configureSession(session, e.Statement)
	case ports.Begin, ports.BeginRead, ports.Rollback:
		t.beginOrRollback(session, e.Statement, route)
	case ports.Commit, ports.Read, ports.Write, ports.Execute:
		t.runStatement(session, e.Statement, route)
	case ports.BadStatement:
		t.answerLocally(session, ports.Malformed, e.Statement.Text)
	default:
		t.answerLocally(session, ports.Malformed, textNotACallersStatement)
	}
}

// configureSession runs a statement that changes only the session. The change is applied
// to a connection before the session's next statement on it.
func (t *Table) configureSession(session *session, statement ports.Statement) {
	switch statement.Kind {
	case ports.SetValue:
		session.values = session.values.with(statement.Name, statement.Text)
	case ports.Prepare:
		if session.prepared == nil {
			session.prepared = map[string]*preparedStatement{}
		}
		session.prepared[statement.Name] = t.prepared.get(preparedKey{statement.Writes, statement.Text})
	case ports.Deallocate:
		if session.prepared[statement.Name] == nil {
			t.answerLocally(session, ports.UnknownPreparedStatement, textUnknownPrepared)
			return
		}
		delete(session.prepared, statement.Name)
	}
	t.answerLocally(session, ports.Done, "")
}

// beginOrRollback runs a begin or a rollback. A begin is sent to a database only with the
// transaction's first statement.
func (t *Table) beginOrRollback(session *session, statement ports.Statement, route *ports.Route) {
	isRollback := statement.Kind == ports.Rollback
	switch {
	case isRollback && session.tx == nil:
		t.answerLocally(session, ports.Malformed, textNoTransaction)
	case isRollback:
		t.endTransaction(session)
		t.counts.AnsweredLocally++
		t.reply(session, ports.Reply{State: ports.Idle}, false)
	case session.tx != nil:
		t.answerLocally(session, ports.Malformed, textAlreadyInTx)
	default:
		session.tx = &transaction{session: session, begin: statement, readOnly: statement.Kind == ports.BeginRead, route: route, group: t.group(route.Group), arrivedUs: t.now}
		t.openTransactions++
		t.counts.AnsweredLocally++
		t.reply(session, ports.Reply{State: ports.InTransaction}, false)
	}
}

// runStatement starts a request for a statement that a database has to run.
func (t *Table) runStatement(session *session, statement ports.Statement, route *ports.Route) {
	req := &request{statement: statement}
	switch statement.Kind {
	case ports.Commit:
		if session.tx == nil {
			t.answerLocally(session, ports.Malformed, textNoTransaction)
			return
		}
		req.commit = true
	case ports.Write:
		req.writes = true
	case ports.Execute:
		prepared := session.prepared[statement.Name]
		if prepared == nil {
			t.answerLocally(session, ports.UnknownPreparedStatement, textUnknownPrepared)
			return
		}
		req.prepared, req.writes = prepared, prepared.writes
	}
	t.startRequest(session, req, route)
}

// answerLocally replies to a statement that no database has to run. An error aborts the
// session's transaction.
func (t *Table) answerLocally(session *session, code ports.Code, text string) {
	t.counts.AnsweredLocally++
	reply := ports.Reply{Code: code, Text: text, State: session.state}
	if code != ports.Done && session.tx != nil {
		t.abort(session.tx)
		reply.State = ports.TransactionFailed
	}
	t.reply(session, reply, false)
}

// answerInFailedTransaction replies to a statement in a failed transaction, in which only
// a commit or a rollback is accepted.
func (t *Table) answerInFailedTransaction(session *session, statement ports.Statement) {
	reply := ports.Reply{State: ports.Idle}
	switch statement.Kind {
	case ports.Rollback:
	case ports.Commit:
		reply.Code, reply.Text = ports.RolledBack, "the transaction had failed"
	default:
		t.counts.AnsweredLocally++
		t.reply(session, ports.Reply{Code: ports.Malformed, Text: textTransactionFailed, State: ports.TransactionFailed}, false)
		return
	}
	t.endTransaction(session)
	t.counts.AnsweredLocally++
	t.reply(session, reply, false)
}
