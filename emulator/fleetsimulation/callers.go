package fleetsimulation

import (
	"fmt"
	"maps"
	"slices"

	"stoneford/internal/ports"
	"stoneford/internal/sessiontable"
)

// callerRoute is one route as callers know it.
type callerRoute struct {
	name                   string
	host                   string
	group                  string
	kind                   ports.ReadClass
	deadlineUs             int64
	latencyTargetUs        int64
	stalenessUs            int64
	patienceUs             int64 // how long a caller goes on with one operation
	writeProbability       float64
	transactionProbability float64
}

// Session is one caller's session, at its caller's side.
type Session struct {
	fleet       *Fleet
	caller      *caller
	node        *Node
	generation  int
	id          uint64
	open        bool // nothing ended it yet
	ready       bool
	state       ports.TransactionState
	values      map[string]string
	prepared    map[string]shape
	request     *pendingRequest
	minPosition *entry
}

type pendingRequest struct {
	statement *Statement // nil while it opens
	atUs      int64      // it arrived at the node
	end       func(r ports.Reply, lost bool)
}

// caller is one client.
type caller struct {
	fleet      *Fleet
	name       string
	zone       string
	route      *callerRoute
	longLived  bool
	setsValues bool
	session    *Session
	nextID     int
	steps      int
	done       bool
}

// attempt is one try of an operation.
type attempt struct {
	op         *operation
	statements []*Statement
	promised   string
	sent       bool // its commit or its single write was sent
}

// wrote says whether a transaction of it asked for a write that was taken.
func (t *attempt) wrote(x *transaction) bool {
	return slices.ContainsFunc(t.statements, func(s *Statement) bool { return s.transaction == x && s.writes && len(s.results) > 0 })
}

type operation struct {
	caller     *caller
	atUs       int64
	attempts   int
	triedNodes []*Node
	plan       []plannedStatement
	readOnly   bool // it only reads
	counted    bool
	finished   bool
	session    *Session
}

type plannedStatement struct {
	kind       ports.StatementKind
	text       string
	writes     bool // of a prepared name
	restUs     int64
	endSession bool
}

func (f *Fleet) startCallers() {
	for i := range f.Plan.Callers {
		g := f.groups[i%len(f.groups)]
		c := &caller{fleet: f, name: fmt.Sprintf("caller-%d", i), zone: zoneNames[f.Random.IntN(len(zoneNames))], longLived: f.Chance(0.7), setsValues: f.Chance(0.5)}
		var rs []*callerRoute
		for _, r := range f.routes {
			if r.group == g.name {
				rs = append(rs, r)
			}
		}
		// 55, 25 and 20 of a hundred.
		switch x := f.Random.Float64(); {
		case x < 0.55:
			c.route = rs[0]
		case x < 0.8:
			c.route = rs[1]
		default:
			c.route = rs[2]
		}
		f.callers = append(f.callers, c)
		f.After(f.Between(0, 300_000), c.next)
	}
}

// next begins the caller's next operation after a while.
func (c *caller) next() {
	f := c.fleet
	if c.done || f.Now >= f.lastOperationUs {
		c.done = true
		return
	}
	every := int64(float64(f.Plan.CallerIntervalUs) / f.loadFactor)
	f.After(f.Between(every/2, every*3/2), func() {
		if c.done || f.Now >= f.lastOperationUs {
			c.done = true
			return
		}
		o := c.plan()
		f.After(c.route.patienceUs, func() {
			if !o.finished {
				o.end(false)
			}
		})
		o.attempt()
	})
}

func (c *caller) text() string { c.steps++; return fmt.Sprintf("thing-%d", c.fleet.Random.IntN(2000)) }

func (c *caller) plan() *operation {
	f := c.fleet
	o := &operation{caller: c, atUs: f.Now, counted: true, readOnly: true}
	read := func() plannedStatement {
		if c.setsValues && f.Chance(0.3) {
			return plannedStatement{kind: ports.Execute, text: c.text()}
		}
		return plannedStatement{kind: ports.Read, text: c.text()}
	}
	write := func() plannedStatement {
		o.readOnly = false
		if c.setsValues && f.Chance(0.3) {
			return plannedStatement{kind: ports.Execute, text: c.text() + " new", writes: true}
		}
		return plannedStatement{kind: ports.Write, text: c.text() + " new", writes: true}
	}
	if !f.Chance(c.route.transactionProbability) {
		p := read()
		if f.Chance(c.route.writeProbability) {
			p = write()
		}
		o.plan = []plannedStatement{p}
		return o
	}
	b := plannedStatement{kind: ports.Begin}
	pw := 0.5
	if c.route.kind == ports.BoundedStaleness || f.Chance(0.15) {
		b.kind, pw = ports.BeginRead, 0
	}
	o.plan = append(o.plan, b)
	for range f.Between(1, 4) {
		p := read()
		if f.Chance(pw) {
			p = write()
		}
		p.restUs = f.Between(0, 50_000)
		o.plan = append(o.plan, p)
	}
	if c.setsValues && f.Chance(0.1) { // inside, too
		o.plan = slices.Insert(o.plan, 1+f.Random.IntN(len(o.plan)), plannedStatement{kind: ports.SetValue})
	}
	switch {
	case f.Chance(0.03):
		o.counted = false
		o.plan = append(o.plan, plannedStatement{endSession: true})
	case f.Chance(0.02):
		o.counted = false
		o.plan = append(o.plan, plannedStatement{kind: ports.Commit, restUs: 3_500_000})
	case f.Chance(0.1):
		o.plan = append(o.plan, plannedStatement{kind: ports.Rollback})
	default:
		o.plan = append(o.plan, plannedStatement{kind: ports.Commit, restUs: f.Between(0, 50_000)})
	}
	return o
}

// end ends an operation, well or not.
func (o *operation) end(ok bool) {
	if o.finished {
		return
	}
	o.finished = true
	c, f := o.caller, o.caller.fleet
	if s := o.session; s != nil && (s.request != nil || s.state != ports.Idle || !s.ready || !c.longLived || !ok && f.Chance(0.5)) {
		s.close()
	}
	if o.counted {
		f.count(o, ok)
	}
	c.next()
}

// attempt tries the operation once more, whole.
func (o *operation) attempt() {
	if o.finished {
		return
	}
	c, f := o.caller, o.caller.fleet
	o.attempts++
	t := &attempt{op: o}
	s := c.session
	if s == nil || !s.open || !s.ready || s.state != ports.Idle || s.request != nil || o.attempts > 1 {
		if s != nil && s.open {
			s.close()
		}
		n := f.pickNode(c.zone, o.triedNodes)
		if n == nil {
			o.failed(true)
			return
		}
		s = c.connect(n)
		c.session = s
	}
	o.session = s
	o.triedNodes = append(o.triedNodes, s.node)
	if !s.ready {
		s.request = &pendingRequest{end: func(r ports.Reply, lost bool) {
			if lost || r.Code != ports.Done {
				s.close()
				o.failed(true)
				return
			}
			s.ready = true
			o.prepare(t, s)
		}}
		f.After(2_000_000, func() {
			if !s.ready && s.open && s.request != nil {
				f.oracle.RejectedTooLate++
				s.connectionBroke()
			}
		})
		return
	}
	o.prepare(t, s)
}

// prepare sets the session's values and prepared names now and then.
func (o *operation) prepare(t *attempt, s *Session) {
	f, c := o.caller.fleet, o.caller
	var pre []plannedStatement
	if c.setsValues && len(s.values) == 0 {
		pre = append(pre, plannedStatement{kind: ports.SetValue}, plannedStatement{kind: ports.SetValue})
	} else if c.setsValues && f.Chance(0.1) {
		pre = append(pre, plannedStatement{kind: ports.SetValue})
	}
	if c.setsValues {
		for _, w := range []bool{false, true} {
			n := preparedName(w)
			_, has := s.prepared[n]
			if has && f.Chance(0.05) {
				pre = append(pre, plannedStatement{kind: ports.Deallocate, writes: w})
				has = false
			}
			if !has || f.Chance(0.05) {
				pre = append(pre, plannedStatement{kind: ports.Prepare, writes: w})
			}
		}
	}
	o.run(t, s, append(pre, o.plan...), nil)
}

func preparedName(writes bool) string {
	if writes {
		return "put"
	}
	return "get"
}

// run asks one planned statement after the other.
func (o *operation) run(t *attempt, s *Session, ps []plannedStatement, x *transaction) {
	f, c := o.caller.fleet, o.caller
	if o.finished {
		return
	}
	if len(ps) == 0 {
		o.end(true)
		return
	}
	p := ps[0]
	if p.restUs > 0 {
		f.After(p.restUs, func() {
			p.restUs = 0
			if !o.finished {
				o.run(t, s, append([]plannedStatement{p}, ps[1:]...), x)
			}
		})
		return
	}
	if p.endSession {
		s.close()
		o.end(false)
		return
	}
	if !s.open {
		o.failed(!t.sent)
		return
	}
	c.nextID++
	statement := &Statement{id: fmt.Sprintf("%s.%d", c.name, c.nextID), kind: p.kind, text: p.text, writes: p.kind == ports.Write, session: s, attempt: t, route: c.route, sentUs: f.Now}
	switch p.kind {
	case ports.SetValue:
		statement.name, statement.text = fmt.Sprintf("v%d", f.Random.IntN(3)), fmt.Sprint(f.Random.IntN(5))
	case ports.Prepare:
		statement.name, statement.text = preparedName(p.writes), fmt.Sprintf("shape-%d", f.Random.IntN(6))
		statement.shape = shape{statement.text, p.writes}
	case ports.Deallocate, ports.Execute:
		statement.name = preparedName(p.writes)
		statement.shape = s.prepared[statement.name]
		statement.writes = p.kind == ports.Execute && p.writes
	case ports.Begin, ports.BeginRead:
		x = &transaction{required: f.oracle.requiredEntries(c.route, s)}
	}
	statement.raw = fmt.Sprintf("%s %d %s %s", statement.id, statement.kind, statement.name, statement.text)
	statement.transaction, statement.values = x, s.values
	if x == nil {
		statement.required = f.oracle.requiredEntries(c.route, s)
	} else if statement.kind == ports.Read || statement.kind == ports.Write || statement.kind == ports.Execute || statement.kind == ports.Commit {
		if x.first == nil {
			x.first = statement
		}
	}
	statement.workUs = f.Between(1_000, 6_000)
	if c.route.kind == ports.BoundedStaleness {
		statement.workUs = f.Between(5_000, 30_000)
	}
	if statement.kind == ports.Commit || x == nil && statement.writes {
		t.sent = true
	}
	t.statements = append(t.statements, statement)
	f.oracle.statements[statement.id] = statement
	s.send(statement, func(r ports.Reply, lost bool) {
		if !lost {
			f.oracle.statementEnded(statement, r)
		}
		if o.finished {
			return
		}
		if lost || r.Code != ports.Done {
			if !lost && (r.Code == ports.Malformed || r.Code == ports.DatabaseUnavailable || r.Code == ports.UnknownPreparedStatement || r.Code == ports.Denied) {
				f.oracle.violation("%q was answered %d %s", statement.raw, r.Code, r.Text)
			}
			o.ends(t, s, r, lost)
			return
		}
		switch statement.kind {
		case ports.SetValue:
			s.values = maps.Clone(s.values)
			s.values[statement.name] = statement.text
		case ports.Prepare:
			s.prepared[statement.name] = statement.shape
		case ports.Deallocate:
			delete(s.prepared, statement.name)
		}
		y := x
		want := ports.InTransaction
		if statement.kind == ports.Commit || statement.kind == ports.Rollback || x == nil {
			y, want = nil, ports.Idle
		}
		if r.State != want {
			f.oracle.violation("%q was answered in state %d", statement.raw, r.State)
		}
		o.run(t, s, ps[1:], y)
	})
}

// ends says what follows from a try that failed.
func (o *operation) ends(t *attempt, s *Session, r ports.Reply, lost bool) {
	if s.open {
		if r.State != ports.Idle || lost {
			s.close()
		}
	}
	retry := !t.sent
	if !lost && r.Code.NoEffect() || !lost && r.Code == ports.Failed && o.readOnly {
		retry = true
	}
	o.failed(retry)
}

// failed tries again where that may be done, after a while.
func (o *operation) failed(retry bool) {
	f := o.caller.fleet
	if o.finished {
		return
	}
	if !retry || o.attempts >= 3 {
		o.end(false)
		return
	}
	f.After(f.Between(5_000, 30_000)<<o.attempts, o.attempt)
}

// connect opens a session at a node.
func (c *caller) connect(n *Node) *Session {
	f := c.fleet
	s := &Session{fleet: f, caller: c, node: n, generation: n.generation, open: true, values: map[string]string{}, prepared: map[string]shape{}}
	f.sessionIDs++
	s.id = f.sessionIDs
	f.After(toCallerDelayUs, func() {
		if !s.open {
			return
		}
		if !n.up || n.generation != s.generation {
			f.After(toCallerDelayUs, s.connectionBroke)
			return
		}
		n.sessions[s.id] = s
		n.enter(s.source(), func() {
			if n.generation == s.generation && n.sessions[s.id] == s {
				if s.request != nil {
					s.request.atUs = f.Now
				}
				n.step(sessiontable.SessionOpened{Session: s.id, Host: c.route.host})
			}
		})
	})
	return s
}

func (s *Session) source() string { return fmt.Sprint("session", s.id) }

func (s *Session) send(statement *Statement, end func(ports.Reply, bool)) {
	f, n := s.fleet, s.node
	a := &pendingRequest{statement: statement, end: end}
	s.request = a
	f.After(toCallerDelayUs, func() {
		n.enter(s.source(), func() {
			if n.generation != s.generation || n.sessions[s.id] != s {
				return
			}
			a.atUs = f.Now
			n.step(sessiontable.StatementReceived{Session: s.id, Statement: ports.Statement{ID: statement.id, Kind: statement.kind, Name: statement.name, Text: statement.text, Writes: statement.writes || statement.shape.writes, Raw: []byte(statement.raw)}})
		})
	})
}

// replied brings a reply of the node's to the caller.
func (s *Session) replied(r ports.Reply, closed bool) {
	f := s.fleet
	if a := s.request; a != nil && a.atUs > 0 && len(r.Body) == 0 && r.Code.NoEffect() {
		pending := f.Now - a.atUs
		f.oracle.RejectionDelays = append(f.oracle.RejectionDelays, pending)
		if pending > rejectTimeoutUs && (a.statement == nil || !a.statement.forwarded) && s.node.lastFaultUs < a.atUs && s.node.healthy() {
			f.oracle.violation("HELD: %s told %d (%s) after %d ms", s.node.name, r.Code, r.Text, pending/1000)
		}
	}
	f.After(toCallerDelayUs, func() {
		if !s.open {
			return
		}
		s.state = r.State
		a := s.request
		if closed {
			s.open = false
		}
		if a == nil {
			f.oracle.violation("%s replied %d %s where nothing was asked", s.node.name, r.Code, r.Text)
			s.close()
			return
		}
		s.request = nil
		a.end(r, false)
	})
}

// shut is the node closing a session that asked nothing.
func (s *Session) shut() {
	s.fleet.After(toCallerDelayUs, s.connectionBroke)
}

// connectionBroke ends a session from outside.
func (s *Session) connectionBroke() {
	if !s.open {
		return
	}
	s.open = false
	delete(s.node.sessions, s.id)
	if a := s.request; a != nil {
		s.request = nil
		a.end(ports.Reply{}, true)
	}
}

// close ends a session from the caller's side.
func (s *Session) close() {
	if !s.open {
		return
	}
	s.open, s.request = false, nil
	n, f := s.node, s.fleet
	f.After(toCallerDelayUs, func() {
		n.enter(s.source(), func() {
			if n.generation == s.generation && n.sessions[s.id] == s {
				delete(n.sessions, s.id)
				n.step(sessiontable.SessionClosed{Session: s.id})
			}
		})
	})
}

// pickNode is the platform's choice of a node for a new connection.
func (f *Fleet) pickNode(zone string, tried []*Node) *Node {
	in := func(z string) (ready, all []*Node) {
		for _, n := range f.nodes {
			if n.zone == z {
				all = append(all, n)
				if n.ready {
					ready = append(ready, n)
				}
			}
		}
		return
	}
	ready, all := in(zone)
	ns := ready
	if len(ready)*2 < len(all) {
		ns = all
	}
	if len(ready) == 0 {
		for _, z := range zoneNames {
			if r, _ := in(z); z != zone {
				ns = append(ns, r...)
			}
		}
	}
	fresh := slices.DeleteFunc(slices.Clone(ns), func(n *Node) bool { return slices.Contains(tried, n) })
	if len(fresh) > 0 {
		ns = fresh
	}
	if len(ns) == 0 {
		return nil
	}
	return ns[f.Random.IntN(len(ns))]
}

// probe asks every node whether it is ready, each second.
func (f *Fleet) probe() {
	for _, n := range f.nodes {
		if n.up && !n.frozen && n.core.Ready(n.now()) {
			n.ready, n.misses = true, 0
		} else if n.misses++; n.misses >= 2 {
			n.ready = false
		}
	}
	f.After(1_000_000, f.probe)
}
