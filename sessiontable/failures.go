package sessiontable

import (
	"stoneford/ports"
)

// retry has a request run once more, here or elsewhere, if it still may.
func (t *Table) retry(a *request, an *ports.Answer) {
	if an != nil {
		a.refused = an
	}
	if a.s.gone || t.now >= a.deadline {
		t.refuse(a)
		return
	}
	t.place(a)
}

func (t *Table) failedSingle(in *instance, a *request, an ports.Answer) {
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
func (t *Table) mayRetry(in *instance, a *request, an ports.Answer) bool {
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

func (t *Table) failedInTx(c *conn, a *request, an ports.Answer) {
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
func (t *Table) beginFailed(c *conn, a *request, bad, an ports.Answer) {
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

func (t *Table) failedCommit(c *conn, a *request, an ports.Answer) {
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

// brokenOff ends the request of a connection that is gone (design 14.9): what may
// be kept is in doubt, what cannot be is not, and a read goes elsewhere.
func (t *Table) brokenOff(c *conn, a *request) {
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
		if !x.ran && !a.left && a.tries < t.o.Tries && t.now < a.deadline && !a.s.gone {
			x.begun, x.over = false, false
			a.tried = append(a.tried, c.in.ID)
			t.place(a)
			return
		}
		x.over = true
		t.end(a, ports.Reply{Code: ports.RolledBack, Text: "the connection broke; the transaction is ended"})
	case a.tries < t.o.Tries && t.now < a.deadline && !a.s.gone:
		a.tried = append(a.tried, c.in.ID)
		t.place(a)
	case t.now >= a.deadline:
		t.end(a, ports.Reply{Code: ports.Timeout, Text: "no end within its time"})
	default:
		t.end(a, ports.Reply{Code: ports.RolledBack, Text: "the connection broke"})
	}
}

// overran is called when a running statement's database is silent, and at its
// deadline.
func (t *Table) overran(a *request) {
	c := a.conn
	in := c.in
	if t.now >= a.deadline {
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
		c.request, a.conn, a.in = nil, nil, nil
		t.arm(&c.due, t.now+t.o.OrphanUs)
		a.tried = append(a.tried, in.ID)
		t.place(a)
		return
	case a.tx != nil && !a.mayKeep() && again:
		// It never commits once its connection is closed, so it is given up for
		// certain and long before its deadline.
		t.drop(c)
		return
	case a.tx != nil && !a.mayKeep():
		t.arm(&a.due, min(a.deadline, t.now+t.silence(in, a)))
		return
	}
	t.arm(&a.due, a.deadline)
}
