package sessiontable

import (
	"stoneford/freshness"
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
		if an.Code == ports.Done && an.State == ports.Open && c.ask != nil {
			t.sendMain(c, c.ask)
			return
		}
		an.Stamped = false
		t.ran(c, p.a, an, false)
		return
	}
	t.ran(c, p.a, an, true)
}

// noteLevel takes a position that an instance showed.
func (t *Table) noteLevel(in *instance, p ports.Position) {
	if !p.Known() {
		return
	}
	if in.pos.Before(p) || in.g.view.Primary != in.ID {
		in.pos = p
	}
	g := in.g
	if g.view.Primary == in.ID || in.Leaving || !g.q.Known() || p.Term != g.qterm {
		return
	}
	g.q.Applied(in.ID, p.Number)
	lag := int64(0)
	if at, ok := g.q.CommittedUs(p.Number + 1); ok {
		lag = max(t.now-at, 0)
	}
	in.lag += (lag - in.lag) / 8
}

// all is what a commit may have written: of a caller's thing nothing finer is
// known, and any missing commit makes a read stale.
var all = []freshness.Atom{""}

// noteEvidence takes what the primary's answer proves: all commits acknowledged
// before the statement left lie at or below the position, as the lease held at
// that moment (design 14.10).
func (t *Table) noteEvidence(c *conn, sent int64, p ports.Position, own bool) {
	g, in := c.in.g, c.in
	if !p.Known() || c.led == 0 || c.led != g.view.Term || g.view.Primary != in.ID || g.sure <= sent || p.Term < g.qterm {
		return
	}
	if p.Term > g.qterm || !g.q.Known() {
		g.q.Reset()
		g.qterm = p.Term
		for _, f := range g.ins {
			if f != in && !f.Leaving {
				l := int64(0)
				if f.pos.Term == p.Term {
					l = f.pos.Number
				}
				g.q.Applied(f.ID, l)
			}
		}
	}
	fresh := !g.q.Known()
	if own {
		g.q.Committed(sent, p.Number, 1, all)
	} else {
		g.q.Seen(sent, p.Number)
	}
	if g.q.Len() > 4096 {
		g.q.Applied("", g.q.Master()-2048) // where there is no copy
		for _, f := range g.ins {
			if l, ok := g.q.Level(f.ID); ok && l < g.q.Master()-2048 {
				g.q.Drop(f.ID)
			}
		}
	}
	if fresh {
		t.replaceLine(in, func(a *ask) bool { return !a.goesOn() && !a.atPrimary() })
		t.again(g)
	}
}

// ran takes the end of a statement on a connection: what is known of it decides
// what its caller is told (design 14.9).
func (t *Table) ran(c *conn, a *ask, an ports.Answer, main bool) {
	in := c.in
	sent := c.sentUs
	t.unslot(c)
	t.learn(in, a, an, sent)
	// Inside a transaction the position may be that of its beginning.
	if c.led != 0 && (a == nil || a.tx == nil || !a.tx.ran || a.commit && an.Code == ports.Done) {
		t.noteEvidence(c, sent, an.Position, an.Code == ports.Done && a != nil && a.mayKeep())
	}
	t.noteLevel(in, an.Position)
	if c.ask == nil {
		// Nobody waits: its reader was given up or went elsewhere.
		t.free(c)
		return
	}
	c.ask, a.conn, a.in = nil, nil, nil
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

// part drops a connection whose ask was taken off it already.
func (t *Table) part(c *conn) {
	if t.conns[c.id] == c {
		t.emit(Close{Conn: c.id})
		t.remove(c)
	}
}

// learn takes run times and how many statements the database bears.
func (t *Table) learn(in *instance, a *ask, an ports.Answer, sent int64) {
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

func (t *Table) done(c *conn, a *ask, an ports.Answer) {
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
		t.confirm(a, &unsure{led: c.led, by: c.in.ID, position: an.Position, reply: r, until: min(a.expiry, t.now+t.o.UnsureUs)})
		return
	}
	t.end(a, r)
}

// certainty of a commit that a database answered.
const (
	certain   = iota // its primary is surely the only one now
	uncertain        // that is not known now, and may be in a moment
	doubtful         // it is being replaced, or was
)

// confirm ends a commit that its database answered. It is acknowledged only
// while the database surely leads: nobody else is promoted before every node's
// lease has run out or the node has confirmed the change, so nothing is
// acknowledged after another was (design 14.7).
func (t *Table) confirm(a *ask, u *unsure) {
	g, p := a.g, u.position
	switch t.certainty(g, u.led, u.by) {
	case uncertain:
		a.unsure = u
		g.unsure = append(g.unsure, a)
		t.arm(&a.due, u.until)
		t.lookNow()
		return
	case doubtful:
		t.end(a, ports.Reply{Code: ports.InDoubt, Text: "the primary was being replaced"})
		return
	}
	if a.s.floorOf != g {
		a.s.floor, a.s.floorOf = ports.Position{}, g
	}
	if a.s.floor.Before(p) {
		a.s.floor = p
	}
	if g.acked.Before(p) {
		g.acked = p
	}
	t.end(a, u.reply)
}

func (t *Table) certainty(g *group, led uint64, by string) int {
	switch {
	case led == 0 || !g.has || g.view.Term != led || g.view.Primary != by,
		g.view.Phase != ports.PhaseOpen && g.view.Phase != ports.PhaseClosing:
		return doubtful
	case g.view.Doubt, t.now >= g.sure:
		return uncertain
	}
	return certain
}

// unsure is a commit whose database answered, and that waits for the lease.
type unsure struct {
	led      uint64
	by       string
	position ports.Position
	reply    ports.Reply
	until    int64
}

// confirmAgain goes through the commits of a group that wait for certainty.
func (t *Table) confirmAgain(g *group) {
	as := g.unsure
	g.unsure = nil
	for _, a := range as {
		if u := a.unsure; u != nil {
			a.unsure = nil
			t.disarm(&a.due)
			t.confirm(a, u)
		}
	}
}

// retry has an ask run once more, here or elsewhere, if it still may.
func (t *Table) retry(a *ask, an *ports.Answer) {
	if an != nil {
		a.bounced = an
	}
	if a.s.gone || t.now >= a.expiry {
		t.bounce(a)
		return
	}
	t.place(a)
}

func (t *Table) failedSingle(in *instance, a *ask, an ports.Answer) {
	r := ports.Reply{Code: an.Code, Text: an.Text, Body: an.Body}
	if an.Code == ports.NoStatement {
		r = ports.Reply{Code: ports.Busy, Text: "the database lost a prepared name; retry at once"}
	}
	if t.mayRetry(in, a, an) {
		t.retry(a, &an)
		return
	}
	t.end(a, r)
}

// mayRetry says that what a database did not run, or a read, goes on elsewhere
// or again, and notes what that says of the database.
func (t *Table) mayRetry(in *instance, a *ask, an ports.Answer) bool {
	switch an.Code {
	case ports.Busy:
		return a.tries < 8
	case ports.Lagging:
		if a.need.Known() && in.g.view.Primary == in.ID {
			return false
		}
		a.tried = append(a.tried, in.ID)
		return true
	case ports.ReadOnly:
		g := in.g
		if g.view.Primary == in.ID {
			g.notUs, g.not = max(t.now, 1), g.view.Revision
			if g.since == 0 {
				g.since = t.now
			}
			t.lookNow()
			return a.tries < 4
		}
		return false
	case ports.WrongInstance:
		in.wrong = true
		t.fails(in, t.now, true)
		return a.tries < 4
	case ports.TooMany, ports.NoStatement:
		return a.tries < 4
	case ports.Failed:
		if a.tx == nil && !a.write && a.tries < t.o.Tries {
			a.tried = append(a.tried, in.ID)
			return true
		}
	}
	return false
}

func (t *Table) failedInTx(c *conn, a *ask, an ports.Answer) {
	x := a.tx
	if !x.ran && an.Code.NotRun() && an.Code != ports.NoStatement {
		t.rewind(x)
		if t.mayRetry(c.in, a, an) {
			t.retry(a, &an)
			return
		}
	} else if an.Code == ports.Busy && an.State == ports.Open && !c.last && a.tries < 8 {
		t.retry(a, &an)
		return
	} else if an.Code == ports.ReadOnly {
		t.mayRetry(c.in, a, an)
	} else if an.Code == ports.NoStatement {
		t.end(a, ports.Reply{Code: ports.RolledBack, Text: "the database lost a prepared name"})
		return
	}
	t.end(a, ports.Reply{Code: an.Code, Text: an.Text, Body: an.Body})
}

// rewind brings a transaction of which nothing ran back to before its
// beginning was sent.
func (t *Table) rewind(x *tx) {
	t.release(x)
	x.begun, x.over = false, false
}

// beginFailed ends a statement whose kept beginning, sent along with it, was
// not taken.
func (t *Table) beginFailed(c *conn, a *ask, bad, an ports.Answer) {
	x := a.tx
	if an.Code == ports.Done || !an.Code.NotRun() && an.Code != ports.Malformed && an.Code != ports.RolledBack || an.State == ports.Open {
		// The statement ran all the same, outside its transaction.
		c.doubt = true
		in := c.in
		t.part(c)
		x.begun, x.over = false, false
		if a.write {
			t.end(a, ports.Reply{Code: ports.InDoubt, Text: "the database ran it outside the transaction"})
			return
		}
		if t.mayRetry(in, a, bad) {
			t.retry(a, &bad)
			return
		}
		t.end(a, ports.Reply{Code: ports.RolledBack, Text: "the transaction did not begin"})
		return
	}
	t.rewind(x)
	if bad.Code.NotRun() && t.mayRetry(c.in, a, bad) {
		t.retry(a, &bad)
		return
	}
	t.end(a, ports.Reply{Code: bad.Code, Text: bad.Text, Body: bad.Body})
}

func (t *Table) failedCommit(c *conn, a *ask, an ports.Answer) {
	if an.Code == ports.Busy && an.State == ports.Open && !c.last && a.tries < 8 {
		t.retry(a, &an)
		return
	}
	if an.Code == ports.ReadOnly {
		t.mayRetry(c.in, a, an)
	}
	t.end(a, ports.Reply{Code: an.Code, Text: an.Text, Body: an.Body})
}

// lost takes a connection that broke.
func (t *Table) lost(e Lost) {
	c := t.conns[e.Conn]
	if c == nil {
		return
	}
	in := c.in
	a := t.remove(c)
	if e.Cut && !in.Leaving {
		t.fails(in, t.now, true)
	}
	t.brokenOff(c, a)
}

// brokenOff ends the ask of a connection that is gone (design 14.9): what may
// be kept is in doubt, what cannot be is not, and a read goes elsewhere.
func (t *Table) brokenOff(c *conn, a *ask) {
	if a == nil {
		return
	}
	t.disarm(&a.due)
	x := a.tx
	switch {
	case a.mayKeep() && a.left:
		t.end(a, ports.Reply{Code: ports.InDoubt, Text: "the connection broke before its end was known"})
	case x != nil:
		// A first statement that left may have run there; one whose beginning alone
		// left did not.
		if !x.ran && !a.left && a.tries < t.o.Tries && t.now < a.expiry && !a.s.gone {
			x.begun, x.over = false, false
			a.tried = append(a.tried, c.in.ID)
			t.place(a)
			return
		}
		x.over = true
		t.end(a, ports.Reply{Code: ports.RolledBack, Text: "the connection broke; the transaction is ended"})
	case a.tries < t.o.Tries && t.now < a.expiry && !a.s.gone:
		a.tried = append(a.tried, c.in.ID)
		t.place(a)
	case t.now >= a.expiry:
		t.end(a, ports.Reply{Code: ports.Timeout, Text: "no end within its time"})
	default:
		t.end(a, ports.Reply{Code: ports.RolledBack, Text: "the connection broke"})
	}
}

// overran is called when a running statement's database is silent, and at its
// expiry.
func (t *Table) overran(a *ask) {
	c := a.conn
	in := c.in
	if t.now >= a.expiry {
		t.fails(in, a.sentUs, false)
		t.drop(c)
		return
	}
	t.fails(in, a.sentUs, false)
	again := c.stuck
	if !c.stuck {
		c.stuck = true
		in.stuck++
	}
	switch {
	case a.tx == nil && !a.write && a.tries < t.o.Tries && !a.s.gone:
		// The read goes elsewhere, or is given up where there is no other place; the
		// connection waits for its end, which nobody hears.
		c.ask, a.conn, a.in = nil, nil, nil
		t.arm(&c.due, t.now+t.o.OrphanUs)
		a.tried = append(a.tried, in.ID)
		t.place(a)
		return
	case a.tx != nil && !a.mayKeep() && again:
		// It never commits once its connection is closed, so it is given up for
		// certain and long before its expiry.
		t.drop(c)
		return
	case a.tx != nil && !a.mayKeep():
		t.arm(&a.due, min(a.expiry, t.now+t.silence(in, a)))
		return
	}
	t.arm(&a.due, a.expiry)
}
