package sessiontable

import (
	"maps"
	"math"
	"slices"

	"stoneford/ports"
)

// What an op in a connection's list of those without an end is.
const (
	ownOp  = iota
	ownEnd // the node's own rollback
	beginOp
	mainOp
)

// pending is one op that was sent and has no end yet.
type pending struct {
	what int
	a    *ask // of beginOp and mainOp
}

// conn is one connection to a database.
type conn struct {
	id       uint64
	in       *instance
	up       bool
	vals     *values
	prepared map[*shape]bool
	stale    bool // what stands on it is not known for sure: reset it first
	doubt    bool // to be closed as soon as nothing runs on it
	last     bool // its instance leads no more: closed after what runs
	ask      *ask // that runs on it
	slot     bool // a statement on it has no end yet
	stuck    bool // and has taken too long
	tx       *tx  // it belongs to
	pend     []pending
	state    ports.State
	sentUs   int64
	led      uint64 // the view's term it was sent under, 0 at a follower
	beginBad *ports.Answer
	due      timer
	seen     bool // in Table.touched
}

func (t *Table) touch(c *conn) {
	if !c.seen {
		c.seen = true
		t.touched = append(t.touched, c)
	}
}

// most is the number of connections to an instance that this node may hold
// (design 14.11).
func (t *Table) most(in *instance) int {
	if in.g.conf.ConnLimit == 0 {
		return 1
	}
	return max(1, int(t.share(in)))
}

// share is this node's part of an instance's limit of connections, which is
// below 1 where there are more nodes than connections.
func (t *Table) share(in *instance) float64 {
	return float64(in.g.conf.ConnLimit-t.o.Spare) / float64(max(t.nodes, 1))
}

// keepFor is how long an idle connection is kept. Where there is less than one
// for each node, so short that all nodes together, each at its usual rate of
// use, hold no more than most of the limit (design 14.11).
func (t *Table) keepFor(in *instance) int64 {
	s := t.share(in)
	if s >= 1 || in.g.conf.ConnLimit == 0 {
		return t.o.IdleUs
	}
	us := s * crowdedShare / max(in.useRate, leastRate) * 1e6
	return int64(min(max(us, 20_000), float64(t.o.IdleUs)))
}

// used feeds an instance's rate of use.
func (t *Table) used(in *instance) {
	dt := float64(t.now-in.usedUs) / rateOverUs
	if in.usedUs == 0 {
		in.useRate = firstRate
	} else {
		in.useRate = in.useRate*math.Exp(-dt) + 1e6/rateOverUs
	}
	in.usedUs = t.now
}

// What a node whose share is below one connection reckons with.
const (
	crowdedShare = 0.6
	rateOverUs   = 10e6 // the rate of use is an average over this
	firstRate    = 0.4  // uses a second before any is known
	leastRate    = 0.05
	crowdedAgain = 25_000 // and it tries again after about this
)

// dispatch starts what it can of an instance's line.
func (t *Table) dispatch(in *instance) {
	if t.drained(in) {
		t.replaceLine(in, func(a *ask) bool { return !a.goesOn() })
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

// pick takes the idle connection that needs the least to be set: the one used
// last among equals, so that the others can grow old and be closed.
func (t *Table) pick(in *instance, a *ask) *conn {
	best, score := -1, -1
	for i := len(in.idle) - 1; i >= 0; i-- {
		c, n := in.idle[i], 0
		switch {
		case c.stale:
		case c.vals == a.s.vals || c.vals.key == a.s.vals.key:
			n = 4
			if a.shape == nil || c.prepared[a.shape] {
				n = 6
			}
		case c.vals.within(a.s.vals):
			n = 2
			if a.shape != nil && c.prepared[a.shape] {
				n = 3
			}
		}
		if n > score {
			best, score = i, n
		}
		if n == 6 {
			break
		}
	}
	if best < 0 {
		return nil
	}
	c := in.idle[best]
	in.idle = slices.Delete(in.idle, best, best+1)
	t.disarm(&c.due)
	return c
}

// openMore opens connections for a line, unless one in use will surely do.
func (t *Table) openMore(in *instance, a *ask) {
	// More than the statements that may run at once are of no use.
	n := len(in.conns) - in.txs
	want := min(in.line.len()-in.opening, max(1, int(in.slots))-n, t.most(in)-len(in.conns))
	if want <= 0 || in.wrong {
		return
	}
	if t.now < in.backoff {
		t.wakeAt(in, in.backoff)
		return
	}
	if n > 0 && in.opening == 0 && t.now < a.atUs+t.o.OpenUs {
		t.wakeAt(in, a.atUs+t.o.OpenUs)
		return
	}
	for range min(want, 4) {
		t.connect(in)
	}
}

func (t *Table) connect(in *instance) {
	t.nextID++
	c := &conn{id: t.nextID, in: in, vals: noValues}
	c.due.owner = c
	t.conns[c.id] = c
	in.conns = append(in.conns, c)
	in.opening++
	t.counts.Connects++
	t.emit(Connect{Conn: c.id, Address: in.Address, Group: in.Group, ID: in.ID, WaitUs: t.o.ConnectUs})
}

func (t *Table) connected(e Connected) {
	c := t.conns[e.Conn]
	if c == nil || c.up {
		return
	}
	in := c.in
	if e.Err == "" && e.Code == ports.Done {
		in.opening--
		c.up = true
		in.backUs, in.backoff = 0, 0
		t.works(in)
		t.noteLevel(in, e.Position)
		t.free(c)
		return
	}
	t.remove(c)
	if crowded := t.share(in) < 1; crowded && (e.Code == ports.TooMany || e.Cut && !e.NotThere) {
		// Its turn comes once another node has closed one.
		in.backoff = t.now + crowdedAgain + t.r.Int64N(crowdedAgain)
		t.wakeAt(in, in.backoff)
		return
	} else if e.Code == ports.TooMany {
		in.backoff = t.now + 300_000
	} else {
		in.backUs = min(max(in.backUs*2, 50_000), 1_000_000)
		in.backoff = t.now + in.backUs
	}
	switch {
	case e.Code == ports.WrongInstance:
		in.wrong = true
		t.fails(in, t.now, true)
	case e.Code == ports.Done || e.NotThere:
		t.fails(in, t.now, e.NotThere)
	}
	if in.failing > 0 || in.line.len() > 0 {
		t.wakeAt(in, in.backoff)
	}
}

// scatter places anew the reads that wait for an instance that fails, once.
func (t *Table) scatter(in *instance) {
	if in.spread {
		return
	}
	in.spread = true
	t.replaceLine(in, func(a *ask) bool { return !a.goesOn() && !a.atPrimary() })
}

// fails notes that an instance cannot be used; it is told at once.
func (t *Table) fails(in *instance, since int64, cut bool) {
	if in.failing == 0 || cut && !in.cut {
		t.changed = true
	}
	if in.failing == 0 {
		in.failing = max(since, 1)
	}
	in.cut = in.cut || cut
	in.dirtyIn(t)
	t.wakeAt(in, max(in.backoff, t.now+50_000))
}

// works notes that an instance gave a sign.
func (t *Table) works(in *instance) {
	if in.failing > 0 {
		in.failing, in.cut, in.spread = 0, false, false
		in.dirtyIn(t)
	}
	in.wrong = false
}

// probe connects to an instance that fails, to see when it works again.
func (t *Table) probe(in *instance) {
	if in.failing == 0 || in.out || in.Leaving || in.wrong || in.opening > 0 {
		return
	}
	if t.now < in.backoff {
		t.wakeAt(in, in.backoff)
		return
	}
	if len(in.conns)-in.stuck < t.most(in) {
		in.backUs = min(max(in.backUs*2, 50_000), 1_000_000)
		in.backoff = t.now + in.backUs
		t.connect(in)
		return
	}
	t.wakeAt(in, t.now+500_000)
}

// send sends an ask over a connection, with what has to stand there first, in
// one write.
func (t *Table) send(a *ask, c *conn) {
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
	c.ask, c.slot, c.sentUs, c.beginBad = a, true, t.now, nil
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
	t.arm(&a.due, min(a.expiry, t.now+t.silence(in, a)))
	t.emit(Send{Conn: c.id, Ops: ops})
	t.touch(c)
}

// sendMain sends the statement whose kept beginning went alone.
func (t *Table) sendMain(c *conn, a *ask) {
	op := ports.Op{St: a.st}
	if a.shape != nil {
		op.Name = a.shape.name
	}
	a.left = true
	c.pend = append(c.pend, pending{mainOp, a})
	t.emit(Send{Conn: c.id, Ops: []ports.Op{op}})
}

// silence is how long a statement may run before its database is suspect.
func (t *Table) silence(in *instance, a *ask) int64 {
	return max(t.o.SilentUs, 8*t.runOf(in, a.runIndex()))
}

// release parts a transaction from its connection; the database is told to roll
// back unless it is known to have ended it.
func (t *Table) release(x *tx) {
	c := x.conn
	if c == nil {
		return
	}
	x.conn, c.tx = nil, nil
	c.in.txs--
	t.quieter(c.in)
	switch {
	case len(c.pend) > 0, c.doubt, c.last:
		t.drop(c)
	case c.state == ports.Idle:
		t.free(c)
	default:
		c.pend = append(c.pend, pending{what: ownEnd})
		t.emit(Send{Conn: c.id, Ops: []ports.Op{{Own: true, St: ports.Statement{Kind: ports.Rollback}}}})
		t.arm(&c.due, t.now+t.o.OrphanUs)
		t.touch(c)
	}
}

// free makes a connection ready for the next, or closes it.
func (t *Table) free(c *conn) {
	in := c.in
	t.touch(c)
	if c.doubt || c.last || c.state != ports.Idle || len(c.pend) > 0 || in.out || len(in.conns) > t.most(in) ||
		in.Leaving && t.primary(in.g) != in && in.line.len() == 0 {
		t.drop(c)
		return
	}
	in.idle = append(in.idle, c)
	t.arm(&c.due, t.now+t.keepFor(in))
	in.dirtyIn(t)
}

// remove forgets a connection and hands back the ask that ran on it; its
// transaction can never commit.
func (t *Table) remove(c *conn) *ask {
	in := c.in
	var w *ask // of its transaction, still waiting for its turn
	if x := c.tx; x != nil && x.s.ask != nil && x.s.ask.place != 0 {
		w = x.s.ask
		t.unplace(w)
	}
	delete(t.conns, c.id)
	if i := slices.Index(in.conns, c); i >= 0 {
		in.conns = slices.Delete(in.conns, i, i+1)
	}
	if i := slices.Index(in.idle, c); i >= 0 {
		in.idle = slices.Delete(in.idle, i, i+1)
	}
	if !c.up {
		in.opening--
	}
	t.disarm(&c.due)
	t.unslot(c)
	if x := c.tx; x != nil {
		x.conn, c.tx = nil, nil
		x.over = true
		in.txs--
	}
	a := c.ask
	if a != nil {
		c.ask, a.conn, a.in = nil, nil, nil
	}
	t.quieter(in)
	in.dirtyIn(t)
	if w != nil {
		t.end(w, ports.Reply{Code: ports.RolledBack, Text: "the transaction was ended"})
	}
	return a
}

func (t *Table) unslot(c *conn) {
	if c.slot {
		c.slot = false
		c.in.running--
		if c.stuck {
			c.stuck = false
			c.in.stuck--
		}
		t.running--
	}
}

// drop closes a connection; what ran on it ends as broken off.
func (t *Table) drop(c *conn) {
	if t.conns[c.id] != c {
		return
	}
	t.emit(Close{Conn: c.id})
	t.brokenOff(c, t.remove(c))
}
