package coordinator

import (
	"fmt"
	"slices"
	"testing"

	"stoneford/internal/ports"
	"stoneford/paxos"
	"stoneford/schema"
)

// uncertainOutcomes are the causes for which an order's first try has no answer, or
// none that its sender gets. Each leaves the member that tried in trouble, and
// mends it some time after.
var uncertainOutcomes = []struct {
	name string
	// bring sends the order to a member so that it ends that way.
	bring func(x *changeCase, o ports.TableChange)
}{
	{"the answer is lost", func(x *changeCase, o ports.TableChange) { x.callers.change(x.first, o); x.callers.run(500_000) }},
	{"killed before anything left", func(x *changeCase, o ports.TableChange) { x.callers.change(x.first, o); x.restart(0) }},
	{"killed when the prepare has left", func(x *changeCase, o ports.TableChange) { x.until(o, sentPrepare); x.restart(0) }},
	{"killed when one accept has left", func(x *changeCase, o ports.TableChange) { x.until(o, sentAcceptToOne); x.restart(0) }},
	{"killed when all accepts have left", func(x *changeCase, o ports.TableChange) { x.until(o, sentAccept); x.restart(0) }},
	{"killed when a majority accepted", func(x *changeCase, o ports.TableChange) { x.until(o, sentAccept); x.callers.run(20_000); x.restart(0) }},
	{"killed with its disk", func(x *changeCase, o ports.TableChange) { x.until(o, sentAcceptToOne); x.wipe() }},
	{"cut off when the prepare has left", func(x *changeCase, o ports.TableChange) { x.until(o, sentPrepare); x.isolate(3_000_000) }},
	{"cut off when one accept has left", func(x *changeCase, o ports.TableChange) { x.until(o, sentAcceptToOne); x.isolate(3_000_000) }},
	{"cut off when all accepts have left", func(x *changeCase, o ports.TableChange) { x.until(o, sentAccept); x.isolate(3_000_000) }},
	{"its disk stalls", func(x *changeCase, o ports.TableChange) {
		x.stall(x.first)
		x.callers.change(x.first, o)
		x.callers.run(300_000)
	}},
	{"another's disk stalls, and a third one is cut off", func(x *changeCase, o ports.TableChange) {
		x.stall(x.others[0])
		x.cutOff(x.others[1], 2_000_000)
		x.callers.change(x.first, o)
		x.callers.run(300_000)
	}},
	{"power is lost everywhere", func(x *changeCase, o ports.TableChange) {
		x.until(o, sentAccept)
		for _, m := range x.order {
			x.kill(m, false)
			x.callers.connectionsBroken(m)
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

// changeCase is a cluster in which one order's first try ends uncertain.
type changeCase struct {
	*cluster
	callers *testCallers
	first   string
	others  []string
	base    uint64
}

func newChangeCase(t *testing.T, seed uint64) *changeCase {
	c, k := formedClusterWithTable(t, seed)
	i := int(seed) % len(c.order)
	return &changeCase{cluster: c, callers: k, first: c.order[i], others: slices.Delete(slices.Clone(c.order), i, i+1), base: 1}
}

// until sends the order to the first member and runs until that has sent what the
// moment names. Where one accept leaves only, the others' are lost.
func (x *changeCase) until(o ports.TableChange, moment int) {
	seen := false
	take := x.network.Receive
	defer func() { x.network.Receive = take }()
	x.network.ExtraDelayUs = func(from, to string) int64 { return 0 }
	x.network.Receive = func(to string, e *schema.Envelope) {
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
	x.callers.change(x.first, o)
	for i := 0; i < 400 && !seen; i++ {
		x.callers.run(500)
	}
	if !seen {
		x.t.Fatalf("%s was never put to the vote", o.Digest)
	}
	if moment == sentAcceptToOne {
		x.callers.run(15_000) // the other accept is lost as well
	}
}

func (x *changeCase) restart(after int64) {
	x.kill(x.first, false)
	x.callers.connectionsBroken(x.first)
	x.environment.After(after+300_000, func() { x.start(x.first) })
}

func (x *changeCase) wipe() {
	x.kill(x.first, true)
	x.callers.connectionsBroken(x.first)
	x.environment.After(300_000, func() { x.start(x.first) })
}

func (x *changeCase) isolate(us int64) { x.cutOff(x.first, us) }

func (x *changeCase) cutOff(a string, us int64) {
	set := func(broken bool) {
		for _, o := range x.order {
			if o != a {
				x.network.SetPartition(a, o, broken)
				x.network.SetPartition(o, a, broken)
			}
		}
	}
	set(true)
	x.environment.After(us, func() { set(false) })
}

// stall has a member's disk take nothing for two seconds.
func (x *changeCase) stall(a string) {
	m := x.members[a]
	m.hangs = true
	life := m.incarnation
	x.environment.After(2_000_000, func() {
		if m.incarnation == life {
			m.hangs = false
			for range m.queue {
				x.sync(a, life)
			}
		}
	})
}

// others are other orders beside it: an invalid one and one on an old base.
func (x *changeCase) inBetween(t *testing.T, what string, n uint64) {
	bad := tableChange(x.base, 900+n, "invalid")
	bad.Routes[0].Group = "nobody"
	if o := x.callers.changeUntilDecided(bad, x.others...); o != ports.Invalid && o != ports.Stale {
		t.Fatalf("%s: an invalid order ended as %d", what, o)
	}
	if x.base > 1 {
		if o := x.callers.changeUntilDecided(tableChange(1, 950+n, "old"), x.others...); o != ports.Stale {
			t.Fatalf("%s: an order on an old base ended as %d", what, o)
		}
	}
}

// registerMoves writes other registers, and the table's own by moves, so many
// times.
func (x *changeCase) registerMoves(t *testing.T, what string, times int) {
	for i := range times {
		if x.change(x.others[0], "leader/other", fmt.Sprint("r", i)) != 0 {
			t.Fatalf("%s: a register was not written", what)
		}
		a := x.callers.newest(x.others[0])
		rev := x.members[x.others[0]].core.tableRevision
		ended := false
		m := x.members[x.others[0]]
		m.core.effects = Effects{}
		m.core.proposePlacement(x.environment.Now, rev, a, ports.Placement{Group: "g", Site: fmt.Sprint("site-", i), Reverted: true}, func(int64, paxos.Outcome) { ended = true })
		for _, s := range m.core.effects.Send {
			x.network.Send(x.others[0], s)
		}
		x.step(x.others[0])
		for range 100 {
			if ended {
				break
			}
			x.callers.run(10_000)
		}
	}
}

// TestSameChangeSentAgain: an order whose first try ended uncertain, sent again to
// any member, is taken or found as taken, and once taken it is never refused, not
// after more revisions than the registers keep names of, nor after restarts.
func TestSameChangeSentAgain(t *testing.T) {
	n := 0
	for _, u := range uncertainOutcomes {
		for seed := range uint64(6) {
			x := newChangeCase(t, seed)
			o := tableChange(1, 5, "the order")
			u.bring(x, o)
			x.inBetween(t, u.name, 1)
			if r := x.callers.changeUntilDecided(o, x.others[0], x.others[1], x.first); r != ports.Committed {
				t.Fatalf("%s, seed %d: sent again it ended as %d", u.name, seed, r)
			}
			x.base = 5
			x.callers.run(4_000_000) // all are back
			for _, m := range x.order {
				if r := x.callers.changeUntilDecided(o, m); r != ports.Committed {
					t.Fatalf("%s, seed %d: once taken, %s ends it as %d", u.name, seed, m, r)
				}
			}
			x.inBetween(t, u.name, 2)
			if seed == 0 {
				x.registerMoves(t, u.name, 18)
			}
			for _, m := range x.order {
				x.kill(m, false)
				x.callers.connectionsBroken(m)
			}
			for _, m := range x.order {
				x.start(m)
			}
			x.callers.run(1_500_000)
			for _, m := range x.order {
				if r := x.callers.changeUntilDecided(o, m); r != ports.Committed {
					t.Fatalf("%s, seed %d: after all that and a restart, %s ends it as %d", u.name, seed, m, r)
				}
			}
			if final := x.callers.newest(x.first); final.Revision != 5 || !has(final, o) || len(final.Routes) != 1 {
				t.Fatalf("%s, seed %d: in force is %d", u.name, seed, final.Revision)
			}
			n++
		}
	}
	t.Logf("%d uncertain ends in %d plays", len(uncertainOutcomes), n)
}

// TestOneNumberOneChange: beside an order whose first try ended uncertain, another
// operator's order of the same number on the same base is sent elsewhere, then
// both again and again to all: one of them is taken, the other never.
func TestOneNumberOneChange(t *testing.T) {
	first, second := 0, 0
	for _, u := range uncertainOutcomes {
		for seed := range uint64(8) {
			x := newChangeCase(t, seed)
			a, b := tableChange(1, 5, "one operator's"), tableChange(1, 5, "the other's")
			u.bring(x, a)
			ended := map[string][]ports.Outcome{}
			send := func(o ports.TableChange, to string) {
				q := x.callers.change(to, o)
				x.callers.wait(q, 1_000_000)
				if r := q.outcome(); r != ports.Unavailable {
					ended[o.Digest] = append(ended[o.Digest], r)
				}
			}
			for round := range 6 {
				at := x.order[(round+int(seed))%3]
				send(b, x.others[round%2])
				send(a, at)
				x.callers.run(x.environment.Between(0, 400_000))
			}
			x.callers.run(4_000_000)
			for _, m := range x.order {
				send(a, m)
				send(b, m)
			}
			final := x.callers.newest(x.first)
			for _, o := range []ports.TableChange{a, b} {
				want := ports.Stale
				if has(final, o) {
					want = ports.Committed
				}
				if len(ended[o.Digest]) < 3 || slices.ContainsFunc(ended[o.Digest], func(r ports.Outcome) bool { return r != want }) {
					t.Fatalf("%s, seed %d: %s, in force %t, ended as %v", u.name, seed, o.Digest, has(final, o), ended[o.Digest])
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
	t.Logf("%d uncertain ends, 8 seeds each: the first order won %d times, the second %d times", len(uncertainOutcomes), first, second)
}

// TestStormWithLostAnswers: hundreds of orders by two operators, each sent again
// to another member whenever its answer is lost, race for the same bases.
func TestStormWithLostAnswers(t *testing.T) {
	took, taken, again := int64(0), 0, 0
	for seed := range uint64(2) {
		c, k := formedClusterWithTable(t, seed)
		base, last := uint64(1), uint64(1)
		inForce := []ports.TableChange{}
		for range 150 {
			last += 1 + c.environment.Random.Uint64N(3)
			a, b := tableChange(base, last, "a"), tableChange(base, last+c.environment.Random.Uint64N(2), "b")
			last = max(a.Revision, b.Revision)
			to := c.order[c.environment.Random.IntN(3)]
			qa, qb := k.change(to, a), k.change(c.order[c.environment.Random.IntN(3)], b)
			if c.environment.Chance(0.5) { // the answers are lost: both go elsewhere, at once
				k.change(c.order[c.environment.Random.IntN(3)], a)
				again++
			}
			k.wait(qa, 2_000_000)
			k.wait(qb, 2_000_000)
			took = max(took, qa.took(), qb.took())
			ra, rb := k.changeUntilDecided(a, c.order...), k.changeUntilDecided(b, c.order...)
			if (ra == ports.Committed) == (rb == ports.Committed) {
				t.Fatalf("seed %d: two orders on %d ended as %d and %d", seed, base, ra, rb)
			}
			winner := a
			if rb == ports.Committed {
				winner = b
			}
			base, inForce = winner.Revision, append(inForce, winner)
			taken++
			// Orders of before, sent again late.
			old := inForce[c.environment.Random.IntN(len(inForce))]
			if r := k.change(c.order[c.environment.Random.IntN(3)], old); k.wait(r, 1_000_000) == nil || r.outcome() == ports.Stale || r.outcome() == ports.Invalid {
				t.Fatalf("seed %d: %s was taken and ends as %d", seed, old.Digest, r.outcome())
			}
		}
		for _, o := range inForce {
			if !has(k.newest(c.order[0]), o) {
				t.Fatalf("seed %d: %s was acknowledged and is not in force", seed, o.Digest)
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
		c, k := formedClusterWithTable(t, seed)
		o := tableChange(1, 2, "twin")
		a, b := k.change(c.order[0], o), k.change(c.order[0], o)
		k.run(10_000)
		d := k.change(c.order[0], o)
		k.run(900_000)
		if a.outcome() != ports.Committed || b.outcome() != ports.Committed || d.outcome() != ports.Committed {
			t.Fatalf("seed %d: %d, %d and %d", seed, a.outcome(), b.outcome(), d.outcome())
		}
	}
}

// TestAMoveIsNoOtherChange: a move that comes first in the vote leaves the
// operators' revision as it is, so the order is put to the vote again and not
// refused.
func TestAMoveIsNoOtherChange(t *testing.T) {
	for seed := range uint64(12) {
		x := newChangeCase(t, seed)
		rev := x.members[x.others[0]].core.tableRevision
		table := x.appliedTable(x.others[0])
		q := x.callers.change(x.first, tableChange(1, 2, "beside a move"))
		x.callers.run(int64(seed) * 2_000)
		m := x.members[x.others[0]]
		m.core.effects = Effects{}
		m.core.proposePlacement(x.environment.Now, rev, table, ports.Placement{Group: "g", Site: "elsewhere", Reverted: true}, func(int64, paxos.Outcome) {})
		for _, s := range m.core.effects.Send {
			x.network.Send(x.others[0], s)
		}
		x.step(x.others[0])
		x.callers.run(1_000_000)
		if o := q.outcome(); o == ports.Stale || o == ports.Invalid {
			t.Fatalf("seed %d: the order was refused with %d", seed, o)
		}
		if o := x.callers.changeUntilDecided(tableChange(1, 2, "beside a move"), x.order...); o != ports.Committed {
			t.Fatalf("seed %d: sent again it ended as %d", seed, o)
		}
	}
}
