package sessiontable

import (
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
	a    *request // of beginOp and mainOp
}

// conn is one connection to a database.
type conn struct {
	id       uint64
	in       *instance
	up       bool
	vals     *values
	prepared map[*shape]bool
	stale    bool     // what stands on it is not known for sure: reset it first
	doubt    bool     // to be closed as soon as nothing runs on it
	last     bool     // its instance leads no more: closed after what runs
	request  *request // that runs on it
	slot     bool     // a statement on it has no end yet
	stuck    bool     // and has taken too long
	tx       *tx      // it belongs to
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

// openMore opens connections for a line, unless one in use will surely do.
func (t *Table) openMore(in *instance, a *request) {
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

// pick takes the idle connection that needs the least to be set: the one used
// last among equals, so that the others can grow old and be closed.
func (t *Table) pick(in *instance, a *request) *conn {
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

// remove forgets a connection and hands back the request that ran on it; its
// transaction can never commit.
func (t *Table) remove(c *conn) *request {
	in := c.in
	var w *request // of its transaction, still waiting for its turn
	if x := c.tx; x != nil && x.s.request != nil && x.s.request.place != 0 {
		w = x.s.request
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
	a := c.request
	if a != nil {
		c.request, a.conn, a.in = nil, nil, nil
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
