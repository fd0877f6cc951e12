package sessiontable

import (
	"stoneford/ports"
)

// answered takes the end of the oldest op of a connection.
func (t *Table) answered(e Answered) {
	c := t.conns[e.Conn]
	if c == nil {
		return
	}
	t.touch(c)
	if len(c.pend) == 0 {
		c.doubt = true
		t.drop(c)
		return
	}
	in, an := c.in, e.Answer
	p := c.pend[0]
	c.pend = c.pend[:copy(c.pend, c.pend[1:])]
	c.state = an.State
	t.works(in)
	switch p.what {
	case ownOp:
		if an.Code != ports.Done {
			c.doubt = true
		}
		return
	case ownEnd:
		t.disarm(&c.due)
		if an.Code != ports.Done {
			c.doubt = true
		}
		t.free(c)
		return
	case beginOp:
		if an.Code != ports.Done {
			c.beginBad = &an
		}
		if len(c.pend) > 0 {
			return
		}
		// It went alone (Options.BeginApart).
		if an.Code == ports.Done && an.State == ports.Open && c.request != nil {
			t.sendMain(c, c.request)
			return
		}
		an.Stamped = false
		t.ran(c, p.a, an, false)
		return
	}
	t.ran(c, p.a, an, true)
}

// ran takes the end of a statement on a connection: what is known of it decides
// what its caller is told (design 14.9).
func (t *Table) ran(c *conn, a *request, an ports.Answer, main bool) {
	in := c.in
	sent := c.sentUs
	t.unslot(c)
	t.learn(in, a, an, sent)
	// Inside a transaction the position may be that of its beginning.
	if c.led != 0 && (a == nil || a.tx == nil || !a.tx.ran || a.commit && an.Code == ports.Done) {
		t.noteEvidence(c, sent, an.Position, an.Code == ports.Done && a != nil && a.mayKeep())
	}
	t.noteLevel(in, an.Position)
	if c.request == nil {
		// Nobody waits: its reader was given up or went elsewhere.
		t.free(c)
		return
	}
	c.request, a.conn, a.in = nil, nil, nil
	t.disarm(&a.due)
	defer func() {
		t.quieter(in)
		in.dirtyIn(t)
	}()
	bad := c.beginBad
	if bad != nil && main {
		t.beginFailed(c, a, *bad, an)
		return
	}
	if an.Code == ports.Done && (!an.Stamped || !main) {
		// Not what was asked for: nothing can rest on it.
		c.doubt = true
		t.part(c)
		t.brokenOff(c, a)
		return
	}
	if an.Code == ports.NoStatement {
		c.stale = true // it does not hold what it was given
	}
	x := a.tx
	if an.Code == ports.Done {
		t.done(c, a, an)
		return
	}
	switch {
	case x == nil:
		t.free(c)
		t.failedSingle(in, a, an)
	case a.commit:
		t.failedCommit(c, a, an)
	default:
		t.failedInTx(c, a, an)
	}
}

func (t *Table) done(c *conn, a *request, an ports.Answer) {
	x := a.tx
	r := ports.Reply{Body: an.Body}
	kept := a.mayKeep()
	switch {
	case x == nil, a.commit:
		if x != nil {
			x.conn, c.tx = nil, nil
			c.in.txs--
			c.stale = false // what was set inside it stays
		}
		t.free(c)
	case an.State != ports.Open:
		// It ran outside its transaction: whether it is kept is not known.
		c.doubt = true
		t.part(c)
		if a.write {
			r = ports.Reply{Code: ports.InDoubt, Text: "the database ran it outside the transaction"}
		} else {
			r = ports.Reply{Code: ports.RolledBack, Text: "the transaction was lost"}
		}
	case c.last:
		// The primary was replaced: the next statement is told.
		x.over = true
		t.end(a, r)
		t.release(x)
		return
	}
	if kept {
		t.confirm(a, &unsure{led: c.led, by: c.in.ID, position: an.Position, reply: r, until: min(a.deadline, t.now+t.o.UnsureUs)})
		return
	}
	t.end(a, r)
}

// learn takes run times and how many statements the database bears.
func (t *Table) learn(in *instance, a *request, an ports.Answer, sent int64) {
	if an.Code == ports.Busy {
		in.slots = max(1, in.slots/2)
		run := t.runOf(in, 0)
		if a != nil {
			run = t.runOf(in, a.runIndex())
		}
		in.pause = t.now + run/2 + t.r.Int64N(run+1)
		return
	}
	if an.Code != ports.Done {
		return
	}
	if a != nil {
		i := a.runIndex()
		us := max(t.now-sent, 1)
		in.ranUs[i] = t.now
		if in.run[i] == 0 {
			in.run[i] = us
		} else {
			in.run[i] += (us - in.run[i]) / 8
			in.run[i] = max(in.run[i], 1)
		}
	}
	n := in.Capacity
	if n <= 0 {
		n = t.o.GuessedSlots
	}
	if in.running+1 >= int(in.slots) {
		in.slots = min(in.slots+0.25/max(in.slots, 1), float64(max(2, n)))
	}
}

// part drops a connection whose request was taken off it already.
func (t *Table) part(c *conn) {
	if t.conns[c.id] == c {
		t.emit(Close{Conn: c.id})
		t.remove(c)
	}
}
