package sessiontable

import (
	"maps"
	"slices"
	"strings"

	"stoneford/ports"
)

// values are a session's values; they never change, a new set takes their place.
// So a connection can hold on to the very set it was given.
type values struct {
	key string // names and texts in order
	m   map[string]string
}

var noValues = &values{}

func (v *values) with(name, text string) *values {
	if old, ok := v.m[name]; ok && old == text {
		return v
	}
	m := maps.Clone(v.m)
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
	return &values{key: b.String(), m: m}
}

// within says that every name of v stands in w, so that w can be reached by
// setting values.
func (v *values) within(w *values) bool {
	for n := range v.m {
		if _, ok := w.m[n]; !ok {
			return false
		}
	}
	return true
}

type shapeKey struct {
	writes bool
	text   string
}

// shape is what a prepared name stands for; all sessions of the node share one
// name for it on connections (design 14.8).
type shape struct {
	shapeKey
	name string
}

func (t *Table) shape(k shapeKey) *shape {
	p := t.shapes[k]
	if p == nil {
		if len(t.shapes) >= 4096 {
			// Those in use live on in their sessions and on their connections; a
			// name is never given out twice.
			clear(t.shapes)
		}
		t.names++
		p = &shape{shapeKey: k, name: "p" + decimal(t.names)}
		t.shapes[k] = p
	}
	return p
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
	id       uint64
	host     string
	vals     *values
	prepared map[string]*shape
	state    ports.State
	tx       *tx
	request  *request       // under way
	floor    ports.Position // of its newest acknowledged commit
	floorOf  *group
	gone     bool // nobody waits for replies
	rest     timer
}

// tx is a session's transaction from its beginning to its end.
type tx struct {
	s        *session
	begin    ports.Statement
	readOnly bool
	route    *ports.Route
	g        *group
	atUs     int64 // arrival of its beginning
	spent    int64 // by its statements so far
	conn     *conn
	begun    bool // its beginning was sent
	ran      bool // a statement of it ran
	wrote    bool
	over     bool // it can never commit; the next statement is told so
}

// request is a statement on its way.
type request struct {
	s      *session
	st     ports.Statement
	tx     *tx
	route  *ports.Route
	g      *group
	shape  *shape
	write  bool // a write outside or inside a transaction
	commit bool

	seq      uint64
	atUs     int64
	deadline int64
	aimUs    int64
	aim      int64
	place    int       // in the line of in, or of its group where in is nil
	in       *instance // whose line it waits in, or that runs it
	conn     *conn     // that runs it
	sentUs   int64
	term     uint64 // of the view it was sent under
	need     ports.Position
	later    bool // waits for its copy to catch up
	tries    int
	backTry  int   // the try that it was last placed anew after
	backUs   int64 // and when
	tried    []string
	refused  *ports.Answer // the newest that says it was not run
	hint     int64         // when to come back, of the newest estimate
	due      timer
	unsure   *unsure
	left     bool // the statement itself was sent, not only its beginning
}

// goesOn says that the request's transaction holds a connection.
func (a *request) goesOn() bool { return a.tx != nil && a.tx.conn != nil }

// atPrimary says that only the primary will do.
func (a *request) atPrimary() bool {
	if a.tx != nil {
		return !a.tx.readOnly || a.route.Kind == ports.Current
	}
	return a.write || a.route.Kind == ports.Current
}

// arrival is the moment a read's freshness counts from: its transaction's, if
// there is one.
func (a *request) arrival() int64 {
	if a.tx != nil {
		return a.tx.atUs
	}
	return a.atUs
}

// floor is the newest commit that the session must see on its route.
func (a *request) floor() ports.Position {
	if a.route.Kind != ports.Pinned || a.s.floorOf != a.g {
		return ports.Position{}
	}
	return a.s.floor
}

// from is the moment whose acknowledged commits the request has to see, all of them.
func (a *request) from(margin int64) int64 {
	at := a.arrival()
	if a.route.Kind != ports.Current {
		at -= max(a.route.StaleUs-margin, 0)
	}
	return at
}

// reads says that it, or its transaction, may read, so that it needs a lease.
func (a *request) reads() bool { return a.tx != nil || !a.write }

// mayKeep says that after sending it something may be kept.
func (a *request) mayKeep() bool { return a.commit && a.tx.wrote || a.tx == nil && a.write }

func (t *Table) opened(e Opened) {
	r := ports.Reply{State: ports.Idle}
	switch {
	case t.stopping:
		r.Code, r.Text = ports.Busy, "this node stops; another takes the session at once"
	case t.table == nil:
		r.Code, r.Text = ports.Busy, "no routing table yet; retry after 500 ms"
	case t.routes[e.Host] == nil:
		r.Code, r.Text = t.noRoute()
	case !t.mayRoute():
		r.Code, r.Text = t.noTable()
	}
	if r.Code != ports.Done {
		t.emit(Reply{Session: e.Session, Reply: r, Close: true})
		return
	}
	s := &session{id: e.Session, host: e.Host, vals: noValues}
	s.rest.owner = s
	t.sess[e.Session] = s
	t.emit(Reply{Session: e.Session, Reply: r})
}

func (t *Table) forget(s *session) {
	s.gone = true
	t.disarm(&s.rest)
	delete(t.sess, s.id)
	if s.tx != nil && s.request == nil {
		t.endTx(s)
	}
}

func (t *Table) left(e Left) {
	s := t.sess[e.Session]
	if s == nil {
		return
	}
	if a := s.request; a != nil && a.conn == nil {
		s.gone = true // nobody hears it
		t.end(a, ports.Reply{Code: ports.Busy})
	}
	t.forget(s)
}

// say sends a reply and notes the state it leaves the session in.
func (t *Table) say(s *session, r ports.Reply, shut bool) {
	s.state = r.State
	if s.gone {
		return
	}
	t.counts.Ended[r.Code]++
	shut = shut || t.stopping && r.State == ports.Idle
	t.emit(Reply{Session: s.id, Reply: r, Close: shut})
	if shut {
		t.forget(s)
		return
	}
	if l := t.limits().TxIdleUs; s.tx != nil && !s.tx.over && l > 0 {
		t.arm(&s.rest, t.now+l+t.o.RestUs)
	}
}

func (t *Table) limits() ports.Limits {
	if t.table == nil {
		return ports.Limits{}
	}
	return t.table.Limits
}

// local ends a statement that this node answers itself. An error inside a
// transaction breaks it.
func (t *Table) local(s *session, c ports.Code, text string) {
	t.counts.Local++
	r := ports.Reply{Code: c, Text: text, State: s.state}
	if c != ports.Done && s.tx != nil {
		t.release(s.tx)
		s.tx.over = true
		r.State = ports.Broken
	}
	t.say(s, r, false)
}

func (t *Table) endTx(s *session) {
	if s.tx == nil {
		return
	}
	t.release(s.tx)
	s.tx = nil
	t.open--
	t.disarm(&s.rest)
}

// rested ends a transaction that rested for too long.
func (t *Table) rested(s *session) {
	if s.tx == nil || s.request != nil || s.tx.over {
		return
	}
	t.release(s.tx)
	s.tx.over = true
}

// routeOf is the route of a session's next statement, or nil if it was refused. One
// inside a transaction goes by the route that the transaction began with.
func (t *Table) routeOf(s *session, kind ports.Kind) *ports.Route {
	if s.tx != nil {
		return s.tx.route
	}
	rt := t.routes[s.host]
	switch {
	case rt == nil:
		code, text := t.noRoute()
		t.say(s, ports.Reply{Code: code, Text: text, State: ports.Idle}, true)
		return nil
	case t.stopping:
		t.say(s, ports.Reply{Code: ports.Busy, Text: "this node stops; another takes the session at once", State: ports.Idle}, true)
		return nil
	case needsRoute(kind) && !t.mayRoute():
		code, text := t.noTable()
		t.local(s, code, text)
		return nil
	}
	if needsRoute(kind) {
		t.routed()
	}
	return rt
}

func (t *Table) asked(e Asked) {
	s := t.sess[e.Session]
	if s == nil || s.request != nil {
		return
	}
	t.disarm(&s.rest)
	st := e.St
	if s.state == ports.Broken {
		t.broken(s, st)
		return
	}
	rt := t.routeOf(s, st.Kind)
	if rt == nil {
		return // it was refused
	}
	switch st.Kind {
	case ports.SetValue:
		s.vals = s.vals.with(st.Name, st.Text)
		t.local(s, ports.Done, "")
	case ports.Prepare:
		if s.prepared == nil {
			s.prepared = map[string]*shape{}
		}
		s.prepared[st.Name] = t.shape(shapeKey{st.Writes, st.Text})
		t.local(s, ports.Done, "")
	case ports.Drop:
		if s.prepared[st.Name] == nil {
			t.local(s, ports.NoStatement, "no such prepared name")
			return
		}
		delete(s.prepared, st.Name)
		t.local(s, ports.Done, "")
	case ports.Begin, ports.BeginRead:
		if s.tx != nil {
			t.local(s, ports.Malformed, "already inside a transaction")
			return
		}
		s.tx = &tx{s: s, begin: st, readOnly: st.Kind == ports.BeginRead, route: rt, g: t.group(rt.Group), atUs: t.now}
		t.open++
		t.counts.Local++
		t.say(s, ports.Reply{State: ports.Open}, false)
	case ports.Rollback:
		if s.tx == nil {
			t.local(s, ports.Malformed, "no transaction is open")
			return
		}
		t.endTx(s)
		t.counts.Local++
		t.say(s, ports.Reply{State: ports.Idle}, false)
	case ports.Commit:
		if s.tx == nil {
			t.local(s, ports.Malformed, "no transaction is open")
			return
		}
		t.run(s, &request{st: st, commit: true}, rt)
	case ports.Read:
		t.run(s, &request{st: st}, rt)
	case ports.Write:
		t.run(s, &request{st: st, write: true}, rt)
	case ports.Run:
		p := s.prepared[st.Name]
		if p == nil {
			t.local(s, ports.NoStatement, "no such prepared name")
			return
		}
		t.run(s, &request{st: st, shape: p, write: p.writes}, rt)
	case ports.Bad:
		t.local(s, ports.Malformed, st.Text)
	default:
		t.local(s, ports.Malformed, "not a caller's statement")
	}
}

// broken takes a statement in a transaction that failed: only its end is taken.
func (t *Table) broken(s *session, st ports.Statement) {
	r := ports.Reply{State: ports.Idle}
	switch st.Kind {
	case ports.Rollback:
	case ports.Commit:
		r.Code, r.Text = ports.RolledBack, "the transaction had failed"
	default:
		t.counts.Local++
		t.say(s, ports.Reply{Code: ports.Malformed, Text: "the transaction failed; only its end is taken", State: ports.Broken}, false)
		return
	}
	t.endTx(s)
	t.counts.Local++
	t.say(s, r, false)
}

// run sets a statement on its way to a database.
func (t *Table) run(s *session, a *request, rt *ports.Route) {
	t.seq++
	a.s, a.tx, a.route, a.seq, a.atUs = s, s.tx, rt, t.seq, t.now
	a.aimUs = rt.AimUs
	if a.aimUs <= 0 {
		a.aimUs = rt.ExpiryUs / 4
	}
	a.deadline, a.aim = t.now+rt.ExpiryUs, t.now+a.aimUs
	a.due.owner = a
	s.request = a
	if x := s.tx; x != nil {
		a.g = x.g
		a.aim -= min(x.spent, a.aimUs)
		if x.over {
			t.end(a, ports.Reply{Code: ports.RolledBack, Text: "the transaction was ended"})
			return
		}
		if a.write {
			x.wrote = true
		}
	} else {
		a.g = t.group(rt.Group)
	}
	t.place(a)
}

// end replies to a request and settles its session and transaction. The request runs
// nowhere any more, or its connection was dropped.
func (t *Table) end(a *request, r ports.Reply) {
	a.unsure = nil
	t.unplace(a)
	t.disarm(&a.due)
	s, x := a.s, a.tx
	s.request = nil
	switch {
	case x == nil:
		r.State = ports.Idle
	case a.commit:
		t.endTx(s)
		r.State = ports.Idle
	case r.Code == ports.Done:
		x.ran = true
		x.spent += t.now - a.atUs
		r.State = ports.Open
	default:
		t.release(x)
		x.over = true
		r.State = ports.Broken
	}
	if s.gone && s.tx != nil {
		t.endTx(s)
	}
	t.say(s, r, false)
}
