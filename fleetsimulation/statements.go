package fleetsimulation

import (
	"maps"
	"slices"

	"stoneford/ports"
)

type dbConn struct {
	d        *DB
	s        *stream // nil: of a control process
	open     bool
	vals     map[string]string
	prepared map[string]shape
	state    ports.State
	tx       *dbTx
	q        []ports.Op
	running  bool
	closing  bool // closed at the far end: what came before is still run
}

type shape struct {
	text   string
	writes bool
}

type dbTx struct {
	begin  *Statement
	plain  bool
	term   uint64
	writes []*Statement
}

func (d *DB) accept(group, id string, s *stream) (ports.Code, *dbConn) {
	switch {
	case group != d.group.name || id != "" && id != d.id:
		return ports.WrongInstance, nil
	case len(d.conns) >= d.group.limit:
		return ports.TooMany, nil
	}
	c := &dbConn{d: d, s: s, open: true, vals: map[string]string{}, prepared: map[string]shape{}}
	d.conns = append(d.conns, c)
	d.f.truth.connects++
	return ports.Done, c
}

// hangUp closes a connection once what came before has run.
func (c *dbConn) hangUp() {
	c.closing = true
	if !c.running && len(c.q) == 0 {
		c.drop()
	}
}

// drop closes a connection at once; its transaction is rolled back.
func (c *dbConn) drop() {
	if !c.open {
		return
	}
	c.open, c.tx, c.q = false, nil, nil
	c.d.conns = slices.DeleteFunc(c.d.conns, func(o *dbConn) bool { return o == c })
}

func (c *dbConn) push(ops []ports.Op, n *Node) {
	for _, o := range ops {
		if !o.Own {
			c.d.f.truth.arrived(c.d, n, o)
		}
	}
	c.q = append(c.q, ops...)
	c.next()
}

func (c *dbConn) next() {
	if c.running || !c.open {
		return
	}
	if len(c.q) == 0 {
		if c.closing {
			c.drop()
		}
		return
	}
	o := c.q[0]
	c.q = c.q[1:]
	c.running = true
	gen := c.d.gen
	c.exec(o, func(a ports.Answer) {
		if !c.d.up || c.d.gen != gen {
			return
		}
		c.running = false
		if !c.open {
			return
		}
		a.State, a.Position = c.state, c.d.position()
		if c.s != nil {
			c.reply(o, a)
		}
		c.next()
	})
}

// reply sends an answer, unless it is to be lost.
func (c *dbConn) reply(o ports.Op, a ports.Answer) {
	d := c.d
	if !o.Own && o.St.Kind != ports.Begin && o.St.Kind != ports.BeginRead && d.f.Chance(d.lose) {
		if d.loseHow == 0 {
			return // never comes
		}
		s := c.s
		c.drop()
		d.f.net.carry(d.ip, s.n.ip, func() { s.lost(true, "reset") })
		return
	}
	c.s.answer(a)
}

func bad(code ports.Code, text string) ports.Answer {
	return ports.Answer{Code: code, Text: text, Body: []byte("error " + text)}
}

// lostLead says that a transaction that may write stands on a database that
// leads no more.
func (c *dbConn) lostLead() bool {
	return c.tx != nil && c.tx.plain && (!c.d.primary || c.d.term != c.tx.term)
}

func (c *dbConn) lacks(p ports.Position) bool {
	return p.Known() && c.d.f.Plan.Plant != AfterIgnored && c.d.position().Before(p)
}

func (c *dbConn) fail(code ports.Code, text string) ports.Answer {
	if c.tx != nil {
		c.state = ports.Broken
	}
	return bad(code, text)
}

func (c *dbConn) exec(o ports.Op, done func(ports.Answer)) {
	d, f := c.d, c.d.f
	st := o.St
	if o.Own {
		c.execOwn(o, done)
		return
	}
	truth := f.truth.statement(st.ID)
	if truth == nil {
		f.truth.bad("UNASKED: %s was sent statement %q, which no caller sent", d.id, st.ID)
		done(bad(ports.Malformed, "unknown"))
		return
	}
	if string(st.Raw) != truth.raw {
		f.truth.bad("UNASKED: %s was sent %q as %q", d.id, truth.raw, st.Raw)
	}
	if c.state == ports.Broken {
		if st.Kind == ports.Commit {
			c.tx, c.state = nil, ports.Idle
			done(bad(ports.RolledBack, "failed before"))
			return
		}
		done(bad(ports.Malformed, "only its end is taken"))
		return
	}
	switch st.Kind {
	case ports.Begin, ports.BeginRead:
		us := int64(50)
		f.After(us, func() {
			switch {
			case c.state != ports.Idle:
				done(bad(ports.Malformed, "inside a transaction"))
			case c.lacks(o.After):
				if f.badBeginBreaks {
					c.state = ports.Broken
				}
				done(bad(ports.Lagging, d.id))
			case st.Kind == ports.Begin && !d.primary:
				if f.badBeginBreaks {
					c.state = ports.Broken
				}
				done(bad(ports.ReadOnly, d.id))
			default:
				c.tx = &dbTx{begin: truth, plain: st.Kind == ports.Begin, term: d.term}
				c.state = ports.Open
				done(ports.Answer{Body: []byte("complete -")})
			}
		})
	case ports.Read, ports.Write, ports.Run:
		writes := st.Kind == ports.Write
		if st.Kind == ports.Run {
			sh, ok := c.prepared[o.Name]
			if !ok {
				done(c.fail(ports.NoStatement, "no such name"))
				return
			}
			writes = sh.writes
			f.truth.ranShape(d, truth, sh)
		}
		x := c.tx
		if !d.work(truth.workUs, false, func() {
			if c.tx != x {
				return // rolled back meanwhile
			}
			c.execRun(o, truth, writes, done)
		}) {
			done(bad(ports.Busy, "the line is full"))
		}
	case ports.Commit:
		if c.tx == nil {
			done(bad(ports.Malformed, "no transaction"))
			return
		}
		if !d.work(f.Between(500, 2_000), false, func() { c.execCommit(truth, done) }) {
			done(bad(ports.Busy, "the line is full"))
		}
	default:
		f.truth.bad("%s was sent %q", d.id, truth.raw)
		done(bad(ports.Malformed, "not a statement"))
	}
}

func (c *dbConn) execRun(o ports.Op, st *Statement, writes bool, done func(ports.Answer)) {
	d, f := c.d, c.d.f
	switch {
	case c.lostLead():
		done(c.fail(ports.ReadOnly, d.id))
		return
	case c.lacks(o.After):
		done(c.fail(ports.Lagging, d.id))
		return
	case writes && (!d.primary || c.tx != nil && !c.tx.plain):
		done(c.fail(ports.ReadOnly, d.id))
		return
	}
	f.truth.ran(c, st)
	if f.Chance(d.fail) {
		if writes && c.tx == nil && f.Chance(0.5) {
			d.append(st, []*Statement{st})
		}
		done(c.fail(ports.Failed, "it failed"))
		return
	}
	if f.Chance(f.Plan.Conflicts) {
		c.state = ports.Idle
		if c.tx != nil {
			c.state = ports.Broken
		}
		done(bad(ports.RolledBack, "a conflict"))
		return
	}
	body := f.truth.result(st, d)
	switch {
	case writes && c.tx != nil:
		c.tx.writes = append(c.tx.writes, st)
		done(ports.Answer{Stamped: true, Body: body})
	case writes:
		e := d.append(st, []*Statement{st})
		if f.Plan.Plant == BusyThatRan && f.Chance(0.05) {
			done(bad(ports.Busy, "planted"))
			return
		}
		if f.Plan.Plant == RunsTwice && f.Chance(0.01) {
			d.append(st, []*Statement{st})
		}
		c.await(e, body, done)
	default:
		done(ports.Answer{Stamped: true, Body: body})
	}
}

func (c *dbConn) await(e *entry, body []byte, done func(ports.Answer)) {
	d := c.d
	d.confirmed(e, func(ok bool) {
		if ok {
			done(ports.Answer{Stamped: true, Body: body})
			return
		}
		// Nobody can tell: it breaks off.
		if s := c.s; s != nil {
			c.drop()
			d.f.net.carry(d.ip, s.n.ip, func() { s.lost(true, "reset") })
		}
	})
}

func (c *dbConn) execCommit(st *Statement, done func(ports.Answer)) {
	d, f := c.d, c.d.f
	x := c.tx
	if x == nil { // dropped meanwhile
		done(bad(ports.RolledBack, "gone"))
		return
	}
	if len(x.writes) > 0 && c.lostLead() {
		done(c.fail(ports.ReadOnly, d.id))
		return
	}
	f.truth.ran(c, st)
	c.tx, c.state = nil, ports.Idle
	if f.Chance(f.Plan.Conflicts) {
		done(bad(ports.RolledBack, "a conflict"))
		return
	}
	body := f.truth.result(st, d)
	if len(x.writes) == 0 {
		done(ports.Answer{Stamped: true, Body: body})
		return
	}
	c.await(d.append(st, x.writes), body, done)
}

func (c *dbConn) execOwn(o ports.Op, done func(ports.Answer)) {
	d, f := c.d, c.d.f
	st := o.St
	name := st.Name
	if o.Name != "" {
		name = o.Name
	}
	f.After(30, func() {
		ok := ports.Answer{Body: []byte("complete -")}
		if c.state == ports.Broken && st.Kind != ports.Rollback {
			done(bad(ports.Malformed, "only its end is taken"))
			return
		}
		switch st.Kind {
		case ports.SetValue:
			c.vals = maps.Clone(c.vals)
			c.vals[name] = st.Text
		case ports.Prepare:
			c.prepared[name] = shape{st.Text, st.Writes}
		case ports.Drop:
			delete(c.prepared, name)
		case ports.Reset:
			if f.Plan.Plant != ResetIgnored {
				c.vals, c.prepared = map[string]string{}, map[string]shape{}
			}
		case ports.Rollback:
			c.tx, c.state = nil, ports.Idle
		default:
			f.truth.bad("%s was sent an own statement of kind %d", d.id, st.Kind)
		}
		done(ok)
	})
}
