package sessiontable

import "stoneford/internal/ports"

// textShutdown is the reply to sessions and statements rejected during shutdown.
const textShutdown = "this node stops; another takes the session at once"

// session is one caller's session.
type session struct {
	id        uint64
	host      string
	values    *sessionValues
	prepared  map[string]*preparedStatement // by the caller's name
	state     ports.TransactionState        // as of the last reply
	tx        *transaction
	request   *request // in flight, nil if there is none
	commits   sessionCommits
	closed    bool  // replies are dropped
	idleTimer timer // bounds the idle time inside a transaction
}

// transaction is a session's transaction. The node answers the begin itself, and sends it
// to a database only with the first statement.
type transaction struct {
	session    *session
	begin      ports.Statement
	readOnly   bool
	route      *ports.Route
	group      *databaseGroup
	arrivedUs  int64       // when its begin arrived
	spentUs    int64       // total run time of its statements so far
	conn       *connection // nil before the begin is sent, and after its end
	beginSent  bool        // the begin was sent
	hasRun     bool        // a statement in it succeeded
	hasWritten bool        // a statement in it writes
	aborted    bool        // it can never commit; its next statement is replied RolledBack
}

// openSession opens a session or rejects it.
func (t *Table) openSession(e SessionOpened) {
	reply := ports.Reply{State: ports.Idle}
	switch {
	case t.shutdown.active:
		reply.Code, reply.Text = ports.Busy, textShutdown
	case t.routing.table == nil:
		reply.Code, reply.Text = ports.Busy, "no routing table yet; retry after 500 ms"
	case t.routing.byHost[e.Host] == nil:
		reply.Code, reply.Text = t.rejectUnknownHost()
	case !t.mayRoute():
		reply.Code, reply.Text = t.rejectUnconfirmedTable()
	}
	if reply.Code != ports.Done {
		t.emit(Reply{Session: e.Session, Reply: reply, Close: true})
		return
	}
	s := &session{id: e.Session, host: e.Host, values: noValues}
	s.idleTimer.owner = s
	t.sessions[e.Session] = s
	t.emit(Reply{Session: e.Session, Reply: reply})
}

// endSession ends a session that its caller closed. A queued statement is dropped; the
// result of a running one is discarded.
func (t *Table) endSession(e SessionClosed) {
	session := t.sessions[e.Session]
	if session == nil {
		return
	}
	if req := session.request; req != nil && req.conn == nil {
		session.closed = true
		t.finish(req, ports.Reply{Code: ports.Busy})
	}
	t.removeSession(session)
}

// removeSession deletes a session. Its transaction ends at once or, if a statement is in
// flight, with that statement.
func (t *Table) removeSession(session *session) {
	session.closed = true
	t.timers.disarm(&session.idleTimer)
	delete(t.sessions, session.id)
	if session.tx != nil && session.request == nil {
		t.endTransaction(session)
	}
}

// reply sends a reply. It then closes the session if closeSession is set, or if the node
// is shutting down and no transaction is open.
func (t *Table) reply(session *session, reply ports.Reply, closeSession bool) {
	session.state = reply.State
	if session.closed {
		return
	}
	t.counts.Results[reply.Code]++
	closeSession = closeSession || t.shutdown.active && reply.State == ports.Idle
	t.emit(Reply{Session: session.id, Reply: reply, Close: closeSession})
	if closeSession {
		t.removeSession(session)
		return
	}
	limit := t.routing.limits().TransactionIdleTimeoutUs
	if session.tx != nil && !session.tx.aborted && limit > 0 {
		t.timers.arm(&session.idleTimer, t.now+limit+t.options.IdleTransactionMargin.Microseconds())
	}
}

// abort releases the connection of a transaction that can never commit. The session stays
// inside the transaction until the caller ends it.
func (t *Table) abort(tx *transaction) {
	t.releaseConnection(tx)
	tx.aborted = true
}

// endTransaction ends a session's transaction, if it has one.
func (t *Table) endTransaction(session *session) {
	if session.tx == nil {
		return
	}
	t.releaseConnection(session.tx)
	session.tx = nil
	t.openTransactions--
	t.timers.disarm(&session.idleTimer)
}

// timerFired aborts a transaction that was idle for too long.
func (s *session) timerFired(t *Table) {
	if s.tx == nil || s.request != nil || s.tx.aborted {
		return
	}
	t.abort(s.tx)
}
