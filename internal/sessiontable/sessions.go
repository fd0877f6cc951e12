package sessiontable

import (
	"maps"
	"slices"
	"strings"

	"stoneford/internal/ports"
)

// values are a session's values; they never change, a new set takes their place.
// So a connection can hold on to the very set it was given.
type values struct {
	key    string // names and texts in order
	byName map[string]string
}

var noValues = &values{}

func (v *values) with(name, text string) *values {
	if old, ok := v.byName[name]; ok && old == text {
		return v
	}
	m := maps.Clone(v.byName)
	if m == nil {
		m = map[string]string{}
	}
	m[name] = text
	var b strings.Builder
	for _, n := range slices.Sorted(maps.Keys(m)) {
		b.WriteString(n)
		b.WriteByte(0)
		b.WriteString(m[n])
		b.WriteByte(0)
	}
	return &values{key: b.String(), byName: m}
}

// reachable says that every name of v stands in w, so that w can be reached by
// setting values.
func (v *values) reachable(w *values) bool {
	for n := range v.byName {
		if _, ok := w.byName[n]; !ok {
			return false
		}
	}
	return true
}

type shapeKey struct {
	writes bool
	text   string
}

// preparedShape is what a prepared name stands for; all sessions of the node share one
// name for it on connections (design 14.8).
type preparedShape struct {
	shapeKey
	name string
}

func (t *Table) shapeFor(k shapeKey) *preparedShape {
	shape := t.shapes[k]
	if shape == nil {
		if len(t.shapes) >= 4096 {
			// Those in use live on in their sessions and on their connections; a
			// name is never given out twice.
			clear(t.shapes)
		}
		t.preparedNames++
		shape = &preparedShape{shapeKey: k, name: "p" + decimal(t.preparedNames)}
		t.shapes[k] = shape
	}
	return shape
}

func decimal(n uint64) string {
	var b [20]byte
	i := len(b)
	for {
		i--
		b[i] = byte('0' + n%10)
		if n /= 10; n == 0 {
			return string(b[i:])
		}
	}
}

// session is one caller's.
type session struct {
	id              uint64
	host            string
	values          *values
	prepared        map[string]*preparedShape
	state           ports.TransactionState
	tx              *transaction
	request         *request       // under way
	lastCommit      ports.Position // of its newest acknowledged commit
	lastCommitGroup *databaseGroup
	closed          bool // nobody waits for replies
	idleTimer       timer
}

// transaction is a session's transaction from its beginning to its end.
type transaction struct {
	session    *session
	begin      ports.Statement
	readOnly   bool
	route      *ports.Route
	group      *databaseGroup
	arrivedUs  int64 // arrival of its beginning
	spentUs    int64 // by its statements so far
	connection *connection
	begun      bool // its beginning was sent
	ran        bool // a statement of it ran
	wrote      bool
	ended      bool // it can never commit; the next statement is told so
}

// request is a statement on its way.
type request struct {
	session   *session
	statement ports.Statement
	tx        *transaction
	route     *ports.Route
	group     *databaseGroup
	shape     *preparedShape
	writes    bool // a write outside or inside a transaction
	commit    bool

	seq              uint64
	arrivedUs        int64
	deadline         int64
	latencyTargetUs  int64
	latencyTarget    int64
	queueIndex       int         // in the line of in, or of its group where in is nil
	database         *database   // whose line it waits in, or that runs it
	connection       *connection // that runs it
	sentUs           int64
	term             uint64 // of the view it was sent under
	needPosition     ports.Position
	waitsForReplica  bool // waits for its copy to catch up
	attempts         int
	requeuedAttempts int   // the try that it was last placed anew after
	requeuedUs       int64 // and when
	triedDatabases   []string
	rejection        *ports.Response // the newest that says it was not run
	retryAfterUs     int64           // when to come back, of the newest estimate
	timer            timer
	unconfirmed      *unconfirmedCommit
	statementSent    bool // the statement itself was sent, not only its beginning
}

// hasConnection says that the request's transaction holds a connection.
func (r *request) hasConnection() bool { return r.tx != nil && r.tx.connection != nil }

// needsPrimary says that only the primary will do.
func (r *request) needsPrimary() bool {
	if r.tx != nil {
		return !r.tx.readOnly || r.route.Class == ports.CurrentRead
	}
	return r.writes || r.route.Class == ports.CurrentRead
}

// arrival is the moment a read's freshness counts from: its transaction's, if
// there is one.
func (r *request) arrival() int64 {
	if r.tx != nil {
		return r.tx.arrivedUs
	}
	return r.arrivedUs
}

// lastCommit is the newest commit that the session must see on its route.
func (r *request) lastCommit() ports.Position {
	if r.route.Class != ports.ReadYourWrites || r.session.lastCommitGroup != r.group {
		return ports.Position{}
	}
	return r.session.lastCommit
}

// mustSeeUs is the moment whose acknowledged commits the request has to see, all of them.
func (r *request) mustSeeUs(margin int64) int64 {
	at := r.arrival()
	if r.route.Class != ports.CurrentRead {
		at -= max(r.route.MaxStalenessUs-margin, 0)
	}
	return at
}

// needsLease says that it, or its transaction, may read, so that it needs a lease.
func (r *request) needsLease() bool { return r.tx != nil || !r.writes }

// mayCommit says that after sending it something may be kept.
func (r *request) mayCommit() bool { return r.commit && r.tx.wrote || r.tx == nil && r.writes }

func (t *Table) openSession(e SessionOpened) {
	reply := ports.Reply{State: ports.Idle}
	switch {
	case t.draining:
		reply.Code, reply.Text = ports.Busy, "this node stops; another takes the session at once"
	case t.routingTable == nil:
		reply.Code, reply.Text = ports.Busy, "no routing table yet; retry after 500 ms"
	case t.routes[e.Host] == nil:
		reply.Code, reply.Text = t.unknownName()
	case !t.mayRoute():
		reply.Code, reply.Text = t.unconfirmedTable()
	}
	if reply.Code != ports.Done {
		t.emit(Reply{Session: e.Session, Reply: reply, Close: true})
		return
	}
	session := &session{id: e.Session, host: e.Host, values: noValues}
	session.idleTimer.owner = session
	t.sessions[e.Session] = session
	t.emit(Reply{Session: e.Session, Reply: reply})
}

func (t *Table) forget(session *session) {
	session.closed = true
	t.disarm(&session.idleTimer)
	delete(t.sessions, session.id)
	if session.tx != nil && session.request == nil {
		t.endTransaction(session)
	}
}

func (t *Table) endSession(e SessionClosed) {
	session := t.sessions[e.Session]
	if session == nil {
		return
	}
	if req := session.request; req != nil && req.connection == nil {
		session.closed = true // nobody hears it
		t.finish(req, ports.Reply{Code: ports.Busy})
	}
	t.forget(session)
}

// reply sends a reply and notes the state it leaves the session in.
func (t *Table) reply(session *session, reply ports.Reply, shut bool) {
	session.state = reply.State
	if session.closed {
		return
	}
	t.counts.Results[reply.Code]++
	shut = shut || t.draining && reply.State == ports.Idle
	t.emit(Reply{Session: session.id, Reply: reply, Close: shut})
	if shut {
		t.forget(session)
		return
	}
	if limit := t.limits().TransactionIdleTimeoutUs; session.tx != nil && !session.tx.ended && limit > 0 {
		t.arm(&session.idleTimer, t.now+limit+t.options.IdleTransactionMarginUs)
	}
}

func (t *Table) limits() ports.Limits {
	if t.routingTable == nil {
		return ports.Limits{}
	}
	return t.routingTable.Limits
}

// answerLocally ends a statement that this node answers itself. An error inside a
// transaction breaks it.
func (t *Table) answerLocally(session *session, c ports.Code, text string) {
	t.counts.AnsweredLocally++
	reply := ports.Reply{Code: c, Text: text, State: session.state}
	if c != ports.Done && session.tx != nil {
		t.release(session.tx)
		session.tx.ended = true
		reply.State = ports.TransactionFailed
	}
	t.reply(session, reply, false)
}

func (t *Table) endTransaction(session *session) {
	if session.tx == nil {
		return
	}
	t.release(session.tx)
	session.tx = nil
	t.openTransactions--
	t.disarm(&session.idleTimer)
}

// transactionIdle ends a transaction that rested for too long.
func (t *Table) transactionIdle(session *session) {
	if session.tx == nil || session.request != nil || session.tx.ended {
		return
	}
	t.release(session.tx)
	session.tx.ended = true
}

// routeOf is the route of a session's next statement, or nil if it was refused. One
// inside a transaction goes by the route that the transaction began with.
func (t *Table) routeOf(session *session, kind ports.StatementKind) *ports.Route {
	if session.tx != nil {
		return session.tx.route
	}
	route := t.routes[session.host]
	switch {
	case route == nil:
		code, text := t.unknownName()
		t.reply(session, ports.Reply{Code: code, Text: text, State: ports.Idle}, true)
		return nil
	case t.draining:
		t.reply(session, ports.Reply{Code: ports.Busy, Text: "this node stops; another takes the session at once", State: ports.Idle}, true)
		return nil
	case needsRoute(kind) && !t.mayRoute():
		code, text := t.unconfirmedTable()
		t.answerLocally(session, code, text)
		return nil
	}
	if needsRoute(kind) {
		t.checkRouted()
	}
	return route
}

func (t *Table) receiveStatement(e StatementReceived) {
	session := t.sessions[e.Session]
	if session == nil || session.request != nil {
		return
	}
	t.disarm(&session.idleTimer)
	statement := e.Statement
	if session.state == ports.TransactionFailed {
		t.answerInFailedTransaction(session, statement)
		return
	}
	route := t.routeOf(session, statement.Kind)
	if route == nil {
		return // it was refused
	}
	switch statement.Kind {
	case ports.SetValue:
		session.values = session.values.with(statement.Name, statement.Text)
		t.answerLocally(session, ports.Done, "")
	case ports.Prepare:
		if session.prepared == nil {
			session.prepared = map[string]*preparedShape{}
		}
		session.prepared[statement.Name] = t.shapeFor(shapeKey{statement.Writes, statement.Text})
		t.answerLocally(session, ports.Done, "")
	case ports.Deallocate:
		if session.prepared[statement.Name] == nil {
			t.answerLocally(session, ports.UnknownPreparedStatement, "no such prepared name")
			return
		}
		delete(session.prepared, statement.Name)
		t.answerLocally(session, ports.Done, "")
	case ports.Begin, ports.BeginRead:
		if session.tx != nil {
			t.answerLocally(session, ports.Malformed, "already inside a transaction")
			return
		}
		session.tx = &transaction{session: session, begin: statement, readOnly: statement.Kind == ports.BeginRead, route: route, group: t.group(route.Group), arrivedUs: t.now}
		t.openTransactions++
		t.counts.AnsweredLocally++
		t.reply(session, ports.Reply{State: ports.InTransaction}, false)
	case ports.Rollback:
		if session.tx == nil {
			t.answerLocally(session, ports.Malformed, "no transaction is open")
			return
		}
		t.endTransaction(session)
		t.counts.AnsweredLocally++
		t.reply(session, ports.Reply{State: ports.Idle}, false)
	case ports.Commit:
		if session.tx == nil {
			t.answerLocally(session, ports.Malformed, "no transaction is open")
			return
		}
		t.startRequest(session, &request{statement: statement, commit: true}, route)
	case ports.Read:
		t.startRequest(session, &request{statement: statement}, route)
	case ports.Write:
		t.startRequest(session, &request{statement: statement, writes: true}, route)
	case ports.Execute:
		shape := session.prepared[statement.Name]
		if shape == nil {
			t.answerLocally(session, ports.UnknownPreparedStatement, "no such prepared name")
			return
		}
		t.startRequest(session, &request{statement: statement, shape: shape, writes: shape.writes}, route)
	case ports.BadStatement:
		t.answerLocally(session, ports.Malformed, statement.Text)
	default:
		t.answerLocally(session, ports.Malformed, "not a caller's statement")
	}
}

// answerInFailedTransaction takes a statement in a transaction that failed: only its end is taken.
func (t *Table) answerInFailedTransaction(session *session, statement ports.Statement) {
	reply := ports.Reply{State: ports.Idle}
	switch statement.Kind {
	case ports.Rollback:
	case ports.Commit:
		reply.Code, reply.Text = ports.RolledBack, "the transaction had failed"
	default:
		t.counts.AnsweredLocally++
		t.reply(session, ports.Reply{Code: ports.Malformed, Text: "the transaction failed; only its end is taken", State: ports.TransactionFailed}, false)
		return
	}
	t.endTransaction(session)
	t.counts.AnsweredLocally++
	t.reply(session, reply, false)
}

// startRequest sets a statement on its way to a database.
func (t *Table) startRequest(session *session, req *request, route *ports.Route) {
	t.seq++
	req.session, req.tx, req.route, req.seq, req.arrivedUs = session, session.tx, route, t.seq, t.now
	req.latencyTargetUs = route.LatencyTargetUs
	if req.latencyTargetUs <= 0 {
		req.latencyTargetUs = route.TimeoutUs / 4
	}
	req.deadline, req.latencyTarget = t.now+route.TimeoutUs, t.now+req.latencyTargetUs
	req.timer.owner = req
	session.request = req
	if tx := session.tx; tx != nil {
		req.group = tx.group
		req.latencyTarget -= min(tx.spentUs, req.latencyTargetUs)
		if tx.ended {
			t.finish(req, ports.Reply{Code: ports.RolledBack, Text: "the transaction was ended"})
			return
		}
		if req.writes {
			tx.wrote = true
		}
	} else {
		req.group = t.group(route.Group)
	}
	t.assign(req)
}

// finish replies to a request and settles its session and transaction. The request runs
// nowhere any more, or its connection was dropped.
func (t *Table) finish(req *request, reply ports.Reply) {
	req.unconfirmed = nil
	t.dequeue(req)
	t.disarm(&req.timer)
	session, tx := req.session, req.tx
	session.request = nil
	switch {
	case tx == nil:
		reply.State = ports.Idle
	case req.commit:
		t.endTransaction(session)
		reply.State = ports.Idle
	case reply.Code == ports.Done:
		tx.ran = true
		tx.spentUs += t.now - req.arrivedUs
		reply.State = ports.InTransaction
	default:
		t.release(tx)
		tx.ended = true
		reply.State = ports.TransactionFailed
	}
	if session.closed && session.tx != nil {
		t.endTransaction(session)
	}
	t.reply(session, reply, false)
}
