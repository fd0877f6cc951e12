package sessiontable

import (
	"maps"
	"slices"

	"stoneford/ports"
)

// dispatch starts what it can of an instance's line.
func (t *Table) dispatch(in *instance) {
	if t.drained(in) {
		t.replaceLine(in, func(a *request) bool { return !a.goesOn() })
	}
	for in.line.len() > 0 && !in.out {
		if in.failing > 0 {
			t.scatter(in)
			t.probe(in)
			return
		}
		if in.running-in.stuck >= max(1, int(in.slots)) {
			return
		}
		if t.now < in.pause {
			t.wakeAt(in, in.pause)
			return
		}
		a := in.line.top()
		var c *conn
		if a.goesOn() {
			c = a.tx.conn
		} else if c = t.pick(in, a); c == nil {
			t.openMore(in, a)
			return
		}
		t.unplace(a)
		t.send(a, c)
	}
}

func (t *Table) wakeAt(in *instance, at int64) {
	if in.wake.place == 0 || in.wake.at > at {
		t.arm(&in.wake, at)
	}
}

// send sends a request over a connection, with what has to stand there first, in
// one write.
func (t *Table) send(a *request, c *conn) {
	s, x, in := a.s, a.tx, c.in
	begun := x != nil && x.begun
	ops := make([]ports.Op, 0, 4)
	own := func(st ports.Statement) {
		ops = append(ops, ports.Op{Own: true, St: st})
		c.pend = append(c.pend, pending{what: ownOp})
	}
	if !begun && (c.stale || !c.vals.within(s.vals) || a.shape != nil && len(c.prepared) >= t.o.Prepared && !c.prepared[a.shape]) {
		own(ports.Statement{Kind: ports.Reset})
		c.vals, c.stale = noValues, false
		clear(c.prepared)
		t.counts.Resets++
	}
	if c.vals != s.vals {
		if c.vals.key != s.vals.key {
			for _, n := range slices.Sorted(maps.Keys(s.vals.m)) {
				if v, ok := c.vals.m[n]; !ok || v != s.vals.m[n] {
					own(ports.Statement{Kind: ports.SetValue, Name: n, Text: s.vals.m[n]})
					c.stale = c.stale || begun
				}
			}
		}
		c.vals = s.vals
	}
	if p := a.shape; p != nil && !c.prepared[p] {
		own(ports.Statement{Kind: ports.Prepare, Name: p.name, Text: p.text, Writes: p.writes})
		if c.prepared == nil {
			c.prepared = map[*shape]bool{}
		}
		c.prepared[p] = true
		c.stale = c.stale || begun
	}
	alone := false
	op := ports.Op{St: a.st}
	if x != nil && !begun {
		x.conn, x.begun, c.tx = c, true, x
		in.txs++
		b := ports.Op{St: x.begin}
		if x.readOnly {
			b.After = a.need
		}
		ops = append(ops, b)
		c.pend = append(c.pend, pending{beginOp, a})
		alone = t.o.BeginApart
	} else if x == nil && !a.write {
		op.After = a.need
	}
	if a.shape != nil {
		op.Name = a.shape.name
	}
	a.left = !alone
	if !alone {
		ops = append(ops, op)
		c.pend = append(c.pend, pending{mainOp, a})
	}
	c.request, c.slot, c.sentUs, c.beginBad = a, true, t.now, nil
	c.led = 0
	if in.g.view.Primary == in.ID {
		c.led = in.g.view.Term
	}
	a.conn, a.in, a.sentUs, a.term = c, in, t.now, in.g.view.Term
	if a.tries++; a.tries > 1 {
		t.counts.Again++
	}
	if !begun {
		if c.led != 0 {
			t.counts.Primary++
		} else {
			t.counts.Follower++
		}
	}
	in.running++
	t.running++
	t.used(in)
	t.arm(&a.due, min(a.deadline, t.now+t.silence(in, a)))
	t.emit(Send{Conn: c.id, Ops: ops})
	t.touch(c)
}

// sendMain sends the statement whose kept beginning went alone.
func (t *Table) sendMain(c *conn, a *request) {
	op := ports.Op{St: a.st}
	if a.shape != nil {
		op.Name = a.shape.name
	}
	a.left = true
	c.pend = append(c.pend, pending{mainOp, a})
	t.emit(Send{Conn: c.id, Ops: []ports.Op{op}})
}

// silence is how long a statement may run before its database is suspect.
func (t *Table) silence(in *instance, a *request) int64 {
	return max(t.o.SilentUs, 8*t.runOf(in, a.runIndex()))
}
