package leaderelection

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"stoneford/paxos"
	"stoneford/schema"
)

// fakeRegister is one that a majority keeps, seen from afar: changes and readings
// arrive late or never, and so do their outcomes.
type fakeRegister struct {
	value *schema.Value
}

func (r *fakeRegister) commit(c paxos.Change) paxos.Outcome {
	o := paxos.Outcome{Change: c, Verdict: paxos.Committed, Value: r.value}
	switch {
	case c.ReadOnly:
	case c.BaseRevision != r.value.GetRevision():
		o.Verdict = paxos.Conflict
	default:
		r.value = &schema.Value{Revision: c.BaseRevision + 1, Data: c.Data}
		o.Value = r.value
	}
	return o
}

// TestOneIsExclusive: three candidates under clocks that run up to 8 % apart die,
// freeze, leave, come back as another run and do not hear one another; never do
// two of them count as the only holder, and mostly one does.
func TestOneIsExclusive(t *testing.T) {
	type candidate struct {
		d           *Candidate
		rate        float64
		offset      int64
		silentUntil int64
		inbox       []func(now int64)
		run         uint64
	}
	exclusiveTicks, ticks, handovers, leaderChanges := 0, 0, 0, 0
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 3))
		register := &fakeRegister{}
		names := []string{"a", "b", "c"}
		candidates := map[string]*candidate{}
		n, runs := 0, uint64(0)
		start := func(a string) {
			runs++
			c := &candidate{rate: 0.96 + 0.08*r.Float64(), offset: r.Int64N(1<<40) + 1_000_000, run: runs}
			c.d = New(a, c.run, names, func() string { n++; return fmt.Sprint(n) }, func(string, int64) *schema.ConnectionLeases { return &schema.ConnectionLeases{} })
			c.d.SetRoles([]string{"duty"})
			candidates[a] = c
		}
		for _, a := range names {
			start(a)
		}
		last := ""
		for now := int64(0); now < 60_000_000; now += 20_000 {
			clock := func(c *candidate) int64 { return int64(float64(now)*c.rate) + c.offset }
			switch r.IntN(300) {
			case 0:
				candidates[names[r.IntN(3)]].silentUntil = now + r.Int64N(6_000_000)
			case 1:
				start(names[r.IntN(3)])
			case 2:
				candidates[names[r.IntN(3)]].d.Drain()
			}
			exclusive := ""
			for _, a := range names {
				c := candidates[a]
				if now < c.silentUntil {
					continue
				}
				inbox := c.inbox
				c.inbox = nil
				for _, f := range inbox {
					f(clock(c))
				}
				effects := c.d.Tick(clock(c), func(o string) bool {
					return o == a || now >= candidates[o].silentUntil && !candidates[o].d.draining && r.IntN(200) > 0
				})
				for _, change := range effects.Changes {
					if r.IntN(10) == 0 {
						continue // it never arrives
					}
					if o := register.commit(change); r.IntN(10) > 0 {
						c.inbox = append(c.inbox, func(now int64) { c.d.HandleOutcome(now, o) })
					}
				}
				if c.d.IsExclusive("duty", clock(c)) {
					if exclusive != "" {
						t.Fatalf("seed %d at %d us: %s and %s both count as the only holder", seed, now, exclusive, a)
					}
					exclusive = a
				}
			}
			// One that is frozen counts too: it goes on from where it was.
			for _, a := range names {
				if c := candidates[a]; now < c.silentUntil && a != exclusive && exclusive != "" && c.d.IsExclusive("duty", clock(c)) {
					t.Fatalf("seed %d at %d us: %s froze as the only holder, and so is %s", seed, now, a, exclusive)
				}
			}
			ticks++
			if exclusive != "" {
				exclusiveTicks++
				if exclusive != last {
					last = exclusive
					leaderChanges++
					if candidates[exclusive].d.InheritedLeases("duty") != nil {
						handovers++
					}
				}
			}
			if r.IntN(60) == 0 {
				for _, a := range names {
					if candidates[a].d.draining {
						start(a)
					}
				}
			}
		}
	}
	t.Logf("held for %.2f of the time, %d changes of holder, %d of them handed on", float64(exclusiveTicks)/float64(ticks), leaderChanges, handovers)
	if float64(exclusiveTicks)/float64(ticks) < 0.4 || leaderChanges < 500 || handovers < 50 {
		t.Error("the runs show little")
	}
}

// Two candidates over one register: one takes the duty, leaves and names the
// other, which acts at once.
func Example() {
	register, n := &fakeRegister{}, 0
	name := func() string { n++; return fmt.Sprint(n) }
	alive := func(string) bool { return true }
	candidates := []*Candidate{New("a", 1, []string{"a", "b"}, name, nil), New("b", 1, []string{"a", "b"}, name, nil)}
	run := func(from, until int64) {
		for now := from; now < until; now += 100_000 {
			for _, d := range candidates {
				for _, change := range d.Tick(now, alive).Changes {
					d.HandleOutcome(now, register.commit(change))
				}
			}
		}
	}
	for _, d := range candidates {
		d.SetRoles([]string{"sweep"})
	}
	run(1_000_000, 5_000_000)
	first, second := candidates[0], candidates[1]
	if second.IsExclusive("sweep", 5_000_000) {
		first, second = second, first
	}
	fmt.Println(first.IsExclusive("sweep", 5_000_000), second.IsExclusive("sweep", 5_000_000))
	first.Drain()
	run(5_000_000, 6_000_000)
	fmt.Println(first.IsExclusive("sweep", 6_000_000), second.IsExclusive("sweep", 6_000_000))
	// Output:
	// true false
	// false true
}
