package sessiontable

import "stoneford/internal/ports"

// request is a statement that a database has to run, from its arrival to its reply. It is
// in exactly one of these states: waiting in a queue (queueIndex), running on a connection
// (conn), or completed as a commit and waiting for confirmation (unconfirmed). Its timer
// is armed in each state.
type request struct {
	session   *session
	statement ports.Statement
	tx        *transaction // nil outside a transaction
	route     *ports.Route
	group     *databaseGroup
	prepared  *preparedStatement // set for an execute
	writes    bool
	commit    bool

	sequence          uint64 // orders requests by arrival
	arrivedUs         int64
	deadlineUs        int64 // end of the route's time-out; the statement fails then
	latencyTargetUs   int64 // duration, counted from arrivedUs
	latencyDeadlineUs int64 // moment; earlier by the time that the transaction has used
	timer             timer

	// State while waiting, in the queue of db or, if db is nil, in that of the group.
	queueIndex       int
	db               *database
	waitsForReplica  bool
	assignedAttempts int   // value of attempts at assignedUs
	assignedUs       int64 // when it was first assigned after its last attempt

	// State while running.
	conn             *connection
	sentUs           int64
	requiredPosition ports.Position // position that the database must have applied
	statementSent    bool           // the statement was sent, not only the begin

	// Results of its attempts.
	attempts       int
	triedDatabases []string
	rejection      *ports.Response // the last answer that rejected it
	retryAfterUs   int64           // expected queue delay when it was rejected
	unconfirmed    *unconfirmedCommit
}

// hasConnection reports whether the request's transaction has a connection.
func (r *request) hasConnection() bool { return r.tx != nil && r.tx.conn != nil }

// needsPrimary reports whether only the primary can run the request.
func (r *request) needsPrimary() bool {
	if r.route.Class == ports.CurrentRead {
		return true
	}
	if r.tx != nil {
		return !r.tx.readOnly
	}
	return r.writes
}

// readArrivedUs returns the moment from which a read's freshness is counted: the arrival
// of its transaction's begin, or its own outside a transaction.
func (r *request) readArrivedUs() int64 {
	if r.tx != nil {
		return r.tx.arrivedUs
	}
	return r.arrivedUs
}

// ownCommit returns the position of the session's newest commit in the group, if the route
// guarantees that a session reads its own writes. ok is false if that position is not
// known; only the primary certainly has the commit then.
func (r *request) ownCommit() (position ports.Position, ok bool) {
	if r.route.Class != ports.ReadYourWrites {
		return ports.Position{}, true
	}
	return r.session.commits.in(r.group)
}

// freshnessBoundUs returns the moment before which every acknowledged commit must be
// visible to the request. margin is subtracted from the staleness that the route allows.
func (r *request) freshnessBoundUs(margin int64) int64 {
	at := r.readArrivedUs()
	if r.route.Class != ports.CurrentRead {
		at -= max(r.route.MaxStalenessUs-margin, 0)
	}
	return at
}

// mayRead reports whether the request, or its transaction, may read.
func (r *request) mayRead() bool { return r.tx != nil || !r.writes }

// mayCommit reports whether sending the request may commit writes.
func (r *request) mayCommit() bool {
	if r.tx == nil {
		return r.writes
	}
	return r.commit && r.tx.hasWritten
}

// mayRetryRead reports whether the request is a read outside a transaction that may be
// tried at another database.
func (t *Table) mayRetryRead(req *request) bool {
	return req.tx == nil && !req.writes && req.attempts < t.options.MaxAttempts
}

// startRequest sets the deadlines of a request for a database and assigns it.
func (t *Table) startRequest(session *session, req *request, route *ports.Route) {
	req.session, req.tx, req.route, req.sequence, req.arrivedUs = session, session.tx, route, t.nextSequence(), t.now
	req.latencyTargetUs = route.LatencyTargetUs
	if req.latencyTargetUs <= 0 {
		req.latencyTargetUs = route.TimeoutUs / 4
	}
	req.deadlineUs, req.latencyDeadlineUs = t.now+route.TimeoutUs, t.now+req.latencyTargetUs
	req.timer.owner = req
	session.request = req
	tx := session.tx
	if tx == nil {
		req.group = t.group(route.Group)
		t.assign(req)
		return
	}
	req.group = tx.group
	req.latencyDeadlineUs -= min(tx.spentUs, req.latencyTargetUs)
	if tx.aborted {
		t.finish(req, ports.Reply{Code: ports.RolledBack, Text: "the transaction was ended"})
		return
	}
	tx.hasWritten = tx.hasWritten || req.writes
	t.assign(req)
}

// finish replies to a request and updates its session and transaction. The request must
// have been detached from its connection.
func (t *Table) finish(req *request, reply ports.Reply) {
	req.unconfirmed = nil
	t.dequeue(req)
	t.timers.disarm(&req.timer)
	session, tx := req.session, req.tx
	session.request = nil
	switch {
	case tx == nil:
		reply.State = ports.Idle
	case req.commit:
		t.endTransaction(session)
		reply.State = ports.Idle
	case reply.Code == ports.Done:
		tx.hasRun = true
		tx.spentUs += t.now - req.arrivedUs
		reply.State = ports.InTransaction
	default:
		t.abort(tx)
		reply.State = ports.TransactionFailed
	}
	if session.closed && session.tx != nil {
		t.endTransaction(session)
	}
	t.reply(session, reply, false)
}

// timerFired handles the time-out of the request's current state: a running statement is
// overdue, a commit was not confirmed in time, the chosen replica should have caught up,
// or the request may wait no longer.
func (r *request) timerFired(t *Table) {
	switch {
	case r.conn != nil:
		t.statementOverdue(r)
	case r.unconfirmed != nil:
		t.finish(r, ports.Reply{Code: ports.InDoubt, Text: "whether its primary still led is not known"})
	case r.waitsForReplica:
		t.dequeue(r)
		t.assign(r) // again, with the positions reported since
	default:
		if limit := t.waitLimitUs(r); limit > t.now {
			t.timers.arm(&r.timer, limit)
			return
		}
		t.reject(r)
	}
}
