package coordinator

import (
	"fmt"
	"slices"
	"testing"

	"stoneford/paxos"
	"stoneford/ports"
	"stoneford/schema"
)

// uncertainEnds are the causes for which an order's first try has no answer, or
// none that its sender gets. Each leaves the member that tried in trouble, and
// mends it some time after.
var uncertainEnds = []struct {
	name string
	// bring sends the order to a member so that it ends that way.
	bring func(x *orderDay, o ports.TableChange)
}{
	{"the answer is lost", func(x *orderDay, o ports.TableChange) { x.k.order(x.first, o); x.k.run(500_000) }},
	{"killed before anything left", func(x *orderDay, o ports.TableChange) { x.k.order(x.first, o); x.restart(0) }},
	{"killed when the prepare has left", func(x *orderDay, o ports.TableChange) { x.until(o, sentPrepare); x.restart(0) }},
	{"killed when one accept has left", func(x *orderDay, o ports.TableChange) { x.until(o, sentAcceptToOne); x.restart(0) }},
	{"killed when all accepts have left", func(x *orderDay, o ports.TableChange) { x.until(o, sentAccept); x.restart(0) }},
	{"killed when a majority accepted", func(x *orderDay, o ports.TableChange) { x.until(o, sentAccept); x.k.run(20_000); x.restart(0) }},
	{"killed with its disk", func(x *orderDay, o ports.TableChange) { x.until(o, sentAcceptToOne); x.wipe() }},
	{"cut off when the prepare has left", func(x *orderDay, o ports.TableChange) { x.until(o, sentPrepare); x.isolate(3_000_000) }},
	{"cut off when one accept has left", func(x *orderDay, o ports.TableChange) { x.until(o, sentAcceptToOne); x.isolate(3_000_000) }},
	{"cut off when all accepts have left", func(x *orderDay, o ports.TableChange) { x.until(o, sentAccept); x.isolate(3_000_000) }},
	{"its disk stalls", func(x *orderDay, o ports.TableChange) { x.stall(x.first); x.k.order(x.first, o); x.k.run(300_000) }},
	{"another's disk stalls, and a third one is cut off", func(x *orderDay, o ports.TableChange) {
		x.stall(x.others[0])
		x.cutOff(x.others[1], 2_000_000)
		x.k.order(x.first, o)
		x.k.run(300_000)
	}},
	{"power is lost everywhere", func(x *orderDay, o ports.TableChange) {
		x.until(o, sentAccept)
		for _, m := range x.order {
			x.kill(m, false)
			x.k.broken(m)
		}
		for _, m := range x.order {
			x.start(m)
		}
	}},
}

// Moments of an order's first try.
const (
	sentPrepare     = iota
	sentAcceptToOne // the other accept is lost
	sentAccept
)

// orderDay is a cluster in which one order's first try ends uncertain.
type orderDay struct {
	*cluster
	k      *callers
	first  string
	others []string
	base   uint64
}

func newOrderDay(t *testing.T, seed uint64) *orderDay {
	c, k := settled(t, seed)
	i := int(seed) % len(c.order)
	return &orderDay{cluster: c, k: k, first: c.order[i], others: slices.Delete(slices.Clone(c.order), i, i+1), base: 1}
}

// until sends the order to the first member and runs until that has sent what the
// moment names. Where one accept leaves only, the others' are lost.
func (x *orderDay) until(o ports.TableChange, moment int) {
	seen := false
	take := x.n.Take
	defer func() { x.n.Take = take }()
	x.n.Extra = func(from, to string) int64 { return 0 }
	x.n.Take = func(to string, e *schema.Envelope) {
		mine := e.From == x.first && to != x.first
		switch {
		case mine && e.GetPrepare().GetBallot() != nil && moment == sentPrepare, mine && e.GetAccept() != nil && moment == sentAccept:
			seen = true
		case mine && e.GetAccept() != nil && moment == sentAcceptToOne:
			seen = true
			if to == x.others[1] {
				return
			}
		}
		take(to, e)
	}
	x.k.order(x.first, o)
	for i := 0; i < 400 && !seen; i++ {
		x.k.run(500)
	}
	if !seen {
		x.t.Fatalf("%s was never put to the vote", o.Name)
	}
	if moment == sentAcceptToOne {
		x.k.run(15_000) // the other accept is lost as well
	}
}

func (x *orderDay) restart(after int64) {
	x.kill(x.first, false)
	x.k.broken(x.first)
	x.w.After(after+300_000, func() { x.start(x.first) })
}

func (x *orderDay) wipe() {
	x.kill(x.first, true)
	x.k.broken(x.first)
	x.w.After(300_000, func() { x.start(x.first) })
}

func (x *orderDay) isolate(us int64) { x.cutOff(x.first, us) }

func (x *orderDay) cutOff(a string, us int64) {
	set := func(broken bool) {
		for _, o := range x.order {
			if o != a {
				x.n.Cut(a, o, broken)
				x.n.Cut(o, a, broken)
			}
		}
	}
	set(true)
	x.w.After(us, func() { set(false) })
}

// stall has a member's disk take nothing for two seconds.
func (x *orderDay) stall(a string) {
	m := x.ms[a]
	m.hangs = true
	life := m.life
	x.w.After(2_000_000, func() {
		if m.life == life {
			m.hangs = false
			for range m.queue {
				x.sync(a, life)
			}
		}
	})
}

// others are other orders beside it: an invalid one and one on an old base.
func (x *orderDay) inBetween(t *testing.T, what string, n uint64) {
	bad := tableOrder(x.base, 900+n, "invalid")
	bad.Routes[0].Group = "nobody"
	if o := x.k.take(bad, x.others...); o != ports.Invalid && o != ports.Stale {
		t.Fatalf("%s: an invalid order ended as %d", what, o)
	}
	if x.base > 1 {
		if o := x.k.take(tableOrder(1, 950+n, "old"), x.others...); o != ports.Stale {
			t.Fatalf("%s: an order on an old base ended as %d", what, o)
		}
	}
}

// registerMoves writes other registers, and the table's own by moves, so many
// times.
func (x *orderDay) registerMoves(t *testing.T, what string, times int) {
	for i := range times {
		if x.change(x.others[0], "leader/other", fmt.Sprint("r", i)) != 0 {
			t.Fatalf("%s: a register was not written", what)
		}
		a := x.k.newest(x.others[0])
		rev := x.ms[x.others[0]].core.tableRev
		ended := false
		m := x.ms[x.others[0]]
		m.core.fx = Effects{}
		m.core.place(x.w.Now, rev, a, ports.Placement{Group: "g", Site: fmt.Sprint("site-", i), Back: true}, func(int64, paxos.Outcome) { ended = true })
		for _, s := range m.core.fx.Send {
			x.n.Send(x.others[0], s)
		}
		x.step(x.others[0])
		for range 100 {
			if ended {
				break
			}
			x.k.run(10_000)
		}
	}
}

// TestSameOrderSentAgain: an order whose first try ended uncertain, sent again to
// any member, is taken or found as taken, and once taken it is never refused, not
// after more revisions than the registers keep names of, nor after restarts.
func TestSameOrderSentAgain(t *testing.T) {
	n := 0
	for _, u := range uncertainEnds {
		for seed := range uint64(6) {
			x := newOrderDay(t, seed)
			o := tableOrder(1, 5, "the order")
			u.bring(x, o)
			x.inBetween(t, u.name, 1)
			if r := x.k.take(o, x.others[0], x.others[1], x.first); r != ports.Agreed {
				t.Fatalf("%s, seed %d: sent again it ended as %d", u.name, seed, r)
			}
			x.base = 5
			x.k.run(4_000_000) // all are back
			for _, m := range x.order {
				if r := x.k.take(o, m); r != ports.Agreed {
					t.Fatalf("%s, seed %d: once taken, %s ends it as %d", u.name, seed, m, r)
				}
			}
			x.inBetween(t, u.name, 2)
			if seed == 0 {
				x.registerMoves(t, u.name, 18)
			}
			for _, m := range x.order {
				x.kill(m, false)
				x.k.broken(m)
			}
			for _, m := range x.order {
				x.start(m)
			}
			x.k.run(1_500_000)
			for _, m := range x.order {
				if r := x.k.take(o, m); r != ports.Agreed {
					t.Fatalf("%s, seed %d: after all that and a restart, %s ends it as %d", u.name, seed, m, r)
				}
			}
			if final := x.k.newest(x.first); final.Revision != 5 || !has(final, o) || len(final.Routes) != 1 {
				t.Fatalf("%s, seed %d: in force is %d", u.name, seed, final.Revision)
			}
			n++
		}
	}
	t.Logf("%d uncertain ends in %d plays", len(uncertainEnds), n)
}

// TestOneNumberOneOrder: beside an order whose first try ended uncertain, another
// operator's order of the same number on the same base is sent elsewhere, then
// both again and again to all: one of them is taken, the other never.
func TestOneNumberOneOrder(t *testing.T) {
	first, second := 0, 0
	for _, u := range uncertainEnds {
		for seed := range uint64(8) {
			x := newOrderDay(t, seed)
			a, b := tableOrder(1, 5, "one operator's"), tableOrder(1, 5, "the other's")
			u.bring(x, a)
			ended := map[string][]ports.Outcome{}
			send := func(o ports.TableChange, to string) {
				q := x.k.order(to, o)
				x.k.wait(q, 1_000_000)
				if r := q.outcome(); r != ports.Unavailable {
					ended[o.Name] = append(ended[o.Name], r)
				}
			}
			for round := range 6 {
				at := x.order[(round+int(seed))%3]
				send(b, x.others[round%2])
				send(a, at)
				x.k.run(x.w.Between(0, 400_000))
			}
			x.k.run(4_000_000)
			for _, m := range x.order {
				send(a, m)
				send(b, m)
			}
			final := x.k.newest(x.first)
			for _, o := range []ports.TableChange{a, b} {
				want := ports.Stale
				if has(final, o) {
					want = ports.Agreed
				}
				if len(ended[o.Name]) < 3 || slices.ContainsFunc(ended[o.Name], func(r ports.Outcome) bool { return r != want }) {
					t.Fatalf("%s, seed %d: %s, in force %t, ended as %v", u.name, seed, o.Name, has(final, o), ended[o.Name])
				}
			}
			if has(final, a) == has(final, b) || final.Revision != 5 {
				t.Fatalf("%s, seed %d: one's is in force %t, the other's %t", u.name, seed, has(final, a), has(final, b))
			}
			if has(final, a) {
				first++
			} else {
				second++
			}
		}
	}
	if first == 0 || second == 0 {
		t.Fatalf("the first won %d times, the second %d times", first, second)
	}
	t.Logf("%d uncertain ends, 8 seeds each: the first order won %d times, the second %d times", len(uncertainEnds), first, second)
}

// TestStormWithLostAnswers: hundreds of orders by two operators, each sent again
// to another member whenever its answer is lost, race for the same bases.
func TestStormWithLostAnswers(t *testing.T) {
	took, taken, again := int64(0), 0, 0
	for seed := range uint64(2) {
		c, k := settled(t, seed)
		base, last := uint64(1), uint64(1)
		inForce := []ports.TableChange{}
		for range 150 {
			last += 1 + c.w.R.Uint64N(3)
			a, b := tableOrder(base, last, "a"), tableOrder(base, last+c.w.R.Uint64N(2), "b")
			last = max(a.Revision, b.Revision)
			to := c.order[c.w.R.IntN(3)]
			qa, qb := k.order(to, a), k.order(c.order[c.w.R.IntN(3)], b)
			if c.w.Chance(0.5) { // the answers are lost: both go elsewhere, at once
				k.order(c.order[c.w.R.IntN(3)], a)
				again++
			}
			k.wait(qa, 2_000_000)
			k.wait(qb, 2_000_000)
			took = max(took, qa.took(), qb.took())
			ra, rb := k.take(a, c.order...), k.take(b, c.order...)
			if (ra == ports.Agreed) == (rb == ports.Agreed) {
				t.Fatalf("seed %d: two orders on %d ended as %d and %d", seed, base, ra, rb)
			}
			winner := a
			if rb == ports.Agreed {
				winner = b
			}
			base, inForce = winner.Revision, append(inForce, winner)
			taken++
			// Orders of before, sent again late.
			old := inForce[c.w.R.IntN(len(inForce))]
			if r := k.order(c.order[c.w.R.IntN(3)], old); k.wait(r, 1_000_000) == nil || r.outcome() == ports.Stale || r.outcome() == ports.Invalid {
				t.Fatalf("seed %d: %s was taken and ends as %d", seed, old.Name, r.outcome())
			}
		}
		for _, o := range inForce {
			if !has(k.newest(c.order[0]), o) {
				t.Fatalf("seed %d: %s was acknowledged and is not in force", seed, o.Name)
			}
		}
	}
	if took > 1_000_000 {
		t.Fatalf("an order took %d ms", took/1000)
	}
	t.Logf("%d orders taken, %d sent again while they were decided; the slowest answer after %d ms", taken, again, took/1000)
}

// TestTwinsJoin: the same order, sent again to the member that is deciding it,
// gets the same answer as the first.
func TestTwinsJoin(t *testing.T) {
	for seed := range uint64(6) {
		c, k := settled(t, seed)
		o := tableOrder(1, 2, "twin")
		a, b := k.order(c.order[0], o), k.order(c.order[0], o)
		k.run(10_000)
		d := k.order(c.order[0], o)
		k.run(900_000)
		if a.outcome() != ports.Agreed || b.outcome() != ports.Agreed || d.outcome() != ports.Agreed {
			t.Fatalf("seed %d: %d, %d and %d", seed, a.outcome(), b.outcome(), d.outcome())
		}
	}
}

// TestAMoveIsNoOtherOrder: a move that comes first in the vote leaves the
// operators' revision as it is, so the order is put to the vote again and not
// refused.
func TestAMoveIsNoOtherOrder(t *testing.T) {
	for seed := range uint64(12) {
		x := newOrderDay(t, seed)
		rev := x.ms[x.others[0]].core.tableRev
		table := x.held(x.others[0])
		q := x.k.order(x.first, tableOrder(1, 2, "beside a move"))
		x.k.run(int64(seed) * 2_000)
		m := x.ms[x.others[0]]
		m.core.fx = Effects{}
		m.core.place(x.w.Now, rev, table, ports.Placement{Group: "g", Site: "elsewhere", Back: true}, func(int64, paxos.Outcome) {})
		for _, s := range m.core.fx.Send {
			x.n.Send(x.others[0], s)
		}
		x.step(x.others[0])
		x.k.run(1_000_000)
		if o := q.outcome(); o == ports.Stale || o == ports.Invalid {
			t.Fatalf("seed %d: the order was refused with %d", seed, o)
		}
		if o := x.k.take(tableOrder(1, 2, "beside a move"), x.order...); o != ports.Agreed {
			t.Fatalf("seed %d: sent again it ended as %d", seed, o)
		}
	}
}
