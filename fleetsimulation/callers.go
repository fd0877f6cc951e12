package fleetsimulation

import (
	"fmt"
	"maps"
	"slices"

	"stoneford/ports"
	"stoneford/sessiontable"
)

// routeTruth is one route as callers know it.
type routeTruth struct {
	name     string
	host     string
	group    string
	kind     ports.ClassKind
	expiry   int64
	aim      int64
	staleUs  int64
	patience int64 // how long a caller goes on with one operation
	writes   float64
	txs      float64
}

// Session is one caller's session, at its caller's side.
type Session struct {
	f        *Fleet
	c        *caller
	n        *Node
	gen      int
	id       uint64
	open     bool // nothing ended it yet
	ready    bool
	state    ports.State
	vals     map[string]string
	prepared map[string]shape
	ask      *asking
	floor    *entry
}

type asking struct {
	st   *Statement // nil while it opens
	atUs int64      // it arrived at the node
	end  func(r ports.Reply, lost bool)
}

// caller is one client.
type caller struct {
	f     *Fleet
	name  string
	zone  string
	r     *routeTruth
	long  bool
	vals  bool
	sess  *Session
	ids   int
	steps int
	done  bool
}

// try is one try of an operation.
type try struct {
	op       *operation
	stmts    []*Statement
	promised string
	sent     bool // its commit or its single write was sent
}

// wrote says whether a transaction of it asked for a write that was taken.
func (t *try) wrote(x *transaction) bool {
	return slices.ContainsFunc(t.stmts, func(s *Statement) bool { return s.tx == x && s.writes && len(s.results) > 0 })
}

type operation struct {
	c       *caller
	atUs    int64
	tries   int
	tried   []*Node
	plan    []planned
	only    bool // it only reads
	counted bool
	ended   bool
	s       *Session
}

type planned struct {
	kind   ports.Kind
	text   string
	writes bool // of a prepared name
	restUs int64
	leave  bool
}

func (f *Fleet) startCallers() {
	for i := range f.Plan.Callers {
		g := f.groups[i%len(f.groups)]
		c := &caller{f: f, name: fmt.Sprintf("caller-%d", i), zone: zoneNames[f.R.IntN(len(zoneNames))], long: f.Chance(0.7), vals: f.Chance(0.5)}
		var rs []*routeTruth
		for _, r := range f.routes {
			if r.group == g.name {
				rs = append(rs, r)
			}
		}
		// 55, 25 and 20 of a hundred.
		switch x := f.R.Float64(); {
		case x < 0.55:
			c.r = rs[0]
		case x < 0.8:
			c.r = rs[1]
		default:
			c.r = rs[2]
		}
		f.callers = append(f.callers, c)
		f.After(f.Between(0, 300_000), c.next)
	}
}

// next begins the caller's next operation after a while.
func (c *caller) next() {
	f := c.f
	if c.done || f.Now >= f.lastOps {
		c.done = true
		return
	}
	every := int64(float64(f.Plan.EveryUs) / f.press)
	f.After(f.Between(every/2, every*3/2), func() {
		if c.done || f.Now >= f.lastOps {
			c.done = true
			return
		}
		o := c.plan()
		f.After(c.r.patience, func() {
			if !o.ended {
				o.end(false)
			}
		})
		o.try()
	})
}

func (c *caller) text() string { c.steps++; return fmt.Sprintf("thing-%d", c.f.R.IntN(2000)) }

func (c *caller) plan() *operation {
	f := c.f
	o := &operation{c: c, atUs: f.Now, counted: true, only: true}
	read := func() planned {
		if c.vals && f.Chance(0.3) {
			return planned{kind: ports.Run, text: c.text()}
		}
		return planned{kind: ports.Read, text: c.text()}
	}
	write := func() planned {
		o.only = false
		if c.vals && f.Chance(0.3) {
			return planned{kind: ports.Run, text: c.text() + " new", writes: true}
		}
		return planned{kind: ports.Write, text: c.text() + " new", writes: true}
	}
	if !f.Chance(c.r.txs) {
		p := read()
		if f.Chance(c.r.writes) {
			p = write()
		}
		o.plan = []planned{p}
		return o
	}
	b := planned{kind: ports.Begin}
	pw := 0.5
	if c.r.kind == ports.Bounded || f.Chance(0.15) {
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
	if c.vals && f.Chance(0.1) { // inside, too
		o.plan = slices.Insert(o.plan, 1+f.R.IntN(len(o.plan)), planned{kind: ports.SetValue})
	}
	switch {
	case f.Chance(0.03):
		o.counted = false
		o.plan = append(o.plan, planned{leave: true})
	case f.Chance(0.02):
		o.counted = false
		o.plan = append(o.plan, planned{kind: ports.Commit, restUs: 3_500_000})
	case f.Chance(0.1):
		o.plan = append(o.plan, planned{kind: ports.Rollback})
	default:
		o.plan = append(o.plan, planned{kind: ports.Commit, restUs: f.Between(0, 50_000)})
	}
	return o
}

// end ends an operation, well or not.
func (o *operation) end(ok bool) {
	if o.ended {
		return
	}
	o.ended = true
	c, f := o.c, o.c.f
	if s := o.s; s != nil && (s.ask != nil || s.state != ports.Idle || !s.ready || !c.long || !ok && f.Chance(0.5)) {
		s.close()
	}
	if o.counted {
		f.count(o, ok)
	}
	c.next()
}

// try tries the operation once more, whole.
func (o *operation) try() {
	if o.ended {
		return
	}
	c, f := o.c, o.c.f
	o.tries++
	t := &try{op: o}
	s := c.sess
	if s == nil || !s.open || !s.ready || s.state != ports.Idle || s.ask != nil || o.tries > 1 {
		if s != nil && s.open {
			s.close()
		}
		n := f.pickNode(c.zone, o.tried)
		if n == nil {
			o.failed(true)
			return
		}
		s = c.connect(n)
		c.sess = s
	}
	o.s = s
	o.tried = append(o.tried, s.n)
	if !s.ready {
		s.ask = &asking{end: func(r ports.Reply, lost bool) {
			if lost || r.Code != ports.Done {
				s.close()
				o.failed(true)
				return
			}
			s.ready = true
			o.prepare(t, s)
		}}
		f.After(2_000_000, func() {
			if !s.ready && s.open && s.ask != nil {
				f.truth.TooLate++
				s.broke()
			}
		})
		return
	}
	o.prepare(t, s)
}

// prepare sets the session's values and prepared names now and then.
func (o *operation) prepare(t *try, s *Session) {
	f, c := o.c.f, o.c
	var pre []planned
	if c.vals && len(s.vals) == 0 {
		pre = append(pre, planned{kind: ports.SetValue}, planned{kind: ports.SetValue})
	} else if c.vals && f.Chance(0.1) {
		pre = append(pre, planned{kind: ports.SetValue})
	}
	if c.vals {
		for _, w := range []bool{false, true} {
			n := preparedName(w)
			_, has := s.prepared[n]
			if has && f.Chance(0.05) {
				pre = append(pre, planned{kind: ports.Drop, writes: w})
				has = false
			}
			if !has || f.Chance(0.05) {
				pre = append(pre, planned{kind: ports.Prepare, writes: w})
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
func (o *operation) run(t *try, s *Session, ps []planned, x *transaction) {
	f, c := o.c.f, o.c
	if o.ended {
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
			if !o.ended {
				o.run(t, s, append([]planned{p}, ps[1:]...), x)
			}
		})
		return
	}
	if p.leave {
		s.close()
		o.end(false)
		return
	}
	if !s.open {
		o.failed(!t.sent)
		return
	}
	c.ids++
	st := &Statement{id: fmt.Sprintf("%s.%d", c.name, c.ids), kind: p.kind, text: p.text, writes: p.kind == ports.Write, sess: s, try: t, route: c.r, sentUs: f.Now}
	switch p.kind {
	case ports.SetValue:
		st.name, st.text = fmt.Sprintf("v%d", f.R.IntN(3)), fmt.Sprint(f.R.IntN(5))
	case ports.Prepare:
		st.name, st.text = preparedName(p.writes), fmt.Sprintf("shape-%d", f.R.IntN(6))
		st.shape = shape{st.text, p.writes}
	case ports.Drop, ports.Run:
		st.name = preparedName(p.writes)
		st.shape = s.prepared[st.name]
		st.writes = p.kind == ports.Run && p.writes
	case ports.Begin, ports.BeginRead:
		x = &transaction{need: f.truth.needs(c.r, s)}
	}
	st.raw = fmt.Sprintf("%s %d %s %s", st.id, st.kind, st.name, st.text)
	st.tx, st.vals = x, s.vals
	if x == nil {
		st.need = f.truth.needs(c.r, s)
	} else if st.kind == ports.Read || st.kind == ports.Write || st.kind == ports.Run || st.kind == ports.Commit {
		if x.first == nil {
			x.first = st
		}
	}
	st.workUs = f.Between(1_000, 6_000)
	if c.r.kind == ports.Bounded {
		st.workUs = f.Between(5_000, 30_000)
	}
	if st.kind == ports.Commit || x == nil && st.writes {
		t.sent = true
	}
	t.stmts = append(t.stmts, st)
	f.truth.stmts[st.id] = st
	s.send(st, func(r ports.Reply, lost bool) {
		if !lost {
			f.truth.ended(st, r)
		}
		if o.ended {
			return
		}
		if lost || r.Code != ports.Done {
			if !lost && (r.Code == ports.Malformed || r.Code == ports.NoDatabase || r.Code == ports.NoStatement || r.Code == ports.Denied) {
				f.truth.bad("%q was answered %d %s", st.raw, r.Code, r.Text)
			}
			o.ends(t, s, r, lost)
			return
		}
		switch st.kind {
		case ports.SetValue:
			s.vals = maps.Clone(s.vals)
			s.vals[st.name] = st.text
		case ports.Prepare:
			s.prepared[st.name] = st.shape
		case ports.Drop:
			delete(s.prepared, st.name)
		}
		y := x
		want := ports.Open
		if st.kind == ports.Commit || st.kind == ports.Rollback || x == nil {
			y, want = nil, ports.Idle
		}
		if r.State != want {
			f.truth.bad("%q was answered in state %d", st.raw, r.State)
		}
		o.run(t, s, ps[1:], y)
	})
}

// ends says what follows from a try that failed.
func (o *operation) ends(t *try, s *Session, r ports.Reply, lost bool) {
	if s.open {
		if r.State != ports.Idle || lost {
			s.close()
		}
	}
	again := !t.sent
	if !lost && r.Code.Promise() || !lost && r.Code == ports.Failed && o.only {
		again = true
	}
	o.failed(again)
}

// failed tries again where that may be done, after a while.
func (o *operation) failed(again bool) {
	f := o.c.f
	if o.ended {
		return
	}
	if !again || o.tries >= 3 {
		o.end(false)
		return
	}
	f.After(f.Between(5_000, 30_000)<<o.tries, o.try)
}

// connect opens a session at a node.
func (c *caller) connect(n *Node) *Session {
	f := c.f
	s := &Session{f: f, c: c, n: n, gen: n.gen, open: true, vals: map[string]string{}, prepared: map[string]shape{}}
	f.sessionIDs++
	s.id = f.sessionIDs
	f.After(toCallerUs, func() {
		if !s.open {
			return
		}
		if !n.up || n.gen != s.gen {
			f.After(toCallerUs, s.broke)
			return
		}
		n.sessions[s.id] = s
		n.enter(s.src(), func() {
			if n.gen == s.gen && n.sessions[s.id] == s {
				if s.ask != nil {
					s.ask.atUs = f.Now
				}
				n.step(sessiontable.Opened{Session: s.id, Host: c.r.host})
			}
		})
	})
	return s
}

func (s *Session) src() string { return fmt.Sprint("session", s.id) }

func (s *Session) send(st *Statement, end func(ports.Reply, bool)) {
	f, n := s.f, s.n
	a := &asking{st: st, end: end}
	s.ask = a
	f.After(toCallerUs, func() {
		n.enter(s.src(), func() {
			if n.gen != s.gen || n.sessions[s.id] != s {
				return
			}
			a.atUs = f.Now
			n.step(sessiontable.Asked{Session: s.id, St: ports.Statement{ID: st.id, Kind: st.kind, Name: st.name, Text: st.text, Writes: st.writes || st.shape.writes, Raw: []byte(st.raw)}})
		})
	})
}

// replied brings a reply of the node's to the caller.
func (s *Session) replied(r ports.Reply, closed bool) {
	f := s.f
	if a := s.ask; a != nil && a.atUs > 0 && len(r.Body) == 0 && r.Code.Promise() {
		held := f.Now - a.atUs
		f.truth.Held = append(f.truth.Held, held)
		if held > refuseUs && (a.st == nil || !a.st.left) && s.n.troubleAt < a.atUs && s.n.plain() {
			f.truth.bad("HELD: %s told %d (%s) after %d ms", s.n.name, r.Code, r.Text, held/1000)
		}
	}
	f.After(toCallerUs, func() {
		if !s.open {
			return
		}
		s.state = r.State
		a := s.ask
		if closed {
			s.open = false
		}
		if a == nil {
			f.truth.bad("%s replied %d %s where nothing was asked", s.n.name, r.Code, r.Text)
			s.close()
			return
		}
		s.ask = nil
		a.end(r, false)
	})
}

// shut is the node closing a session that asked nothing.
func (s *Session) shut() {
	s.f.After(toCallerUs, s.broke)
}

// broke ends a session from outside.
func (s *Session) broke() {
	if !s.open {
		return
	}
	s.open = false
	delete(s.n.sessions, s.id)
	if a := s.ask; a != nil {
		s.ask = nil
		a.end(ports.Reply{}, true)
	}
}

// close ends a session from the caller's side.
func (s *Session) close() {
	if !s.open {
		return
	}
	s.open, s.ask = false, nil
	n, f := s.n, s.f
	f.After(toCallerUs, func() {
		n.enter(s.src(), func() {
			if n.gen == s.gen && n.sessions[s.id] == s {
				delete(n.sessions, s.id)
				n.step(sessiontable.Left{Session: s.id})
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
	return ns[f.R.IntN(len(ns))]
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
