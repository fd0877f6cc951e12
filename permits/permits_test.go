package permits

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"stoneford/schema"
)

// TestSumNeverPassesTheLimit: nodes come, freeze, die and lose messages, and
// the duty changes hands, under two clocks that run up to 8 % apart; whatever
// may be in use at any moment stays within the limit.
func TestSumNeverPassesTheLimit(t *testing.T) {
	const limit = 30
	type node struct {
		a      *Asker
		rate   float64 // of its own clock
		offset int64
		silent int64 // neither asks nor hears until then
		late   *schema.PermitGive
		used   int // connections open, some longer than any permit covers them
	}
	most, handed := 0, 0
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 9))
		h := NewHolder(0, true)
		hRate := 1.0
		var ns []*node
		add := func() {
			ns = append(ns, &node{a: NewAsker("g", uint64(len(ns)+1)), rate: 0.96 + 0.08*r.Float64(), offset: r.Int64N(1 << 40)})
		}
		add()
		clock := func(n *node, now int64) int64 { return int64(float64(now)*n.rate) + n.offset }
		for now := int64(1); now < 60_000_000; now += 50_000 {
			switch {
			case len(ns) < 8 && r.IntN(60) == 0:
				add()
			case r.IntN(80) == 0:
				ns[r.IntN(len(ns))].silent = now + r.Int64N(12_000_000)
			case r.IntN(400) == 0:
				// Another holder, which remembers nothing; it begins when the
				// one before has surely ended.
				was := int64(float64(now) * hRate)
				hRate = 0.96 + 0.08*r.Float64()
				if h.Whole(was) && r.IntN(2) == 0 {
					h = Handed(int64(float64(now)*hRate), h.Grants(was))
					handed++
				} else {
					h = NewHolder(int64(float64(now)*hRate), false)
				}
			}
			for i, n := range ns {
				if now < n.silent {
					continue
				}
				own := clock(n, now)
				if c := n.a.Cap(own, "db"); n.used < c || n.used > 0 && r.IntN(20) == 0 {
					n.used = min(n.used, r.IntN(n.used+1)+c)
					if n.used < c {
						n.used += r.IntN(c - n.used + 1)
					}
				}
				a := n.a.Tick(own, map[string]int{"db": n.used})
				if a == nil || r.IntN(8) == 0 {
					continue // lost
				}
				g := h.Ask(int64(float64(now)*hRate), fmt.Sprint(i), a, map[string]int32{"db": limit}, true)
				switch {
				case r.IntN(8) > 0:
					n.a.Give(g)
				case r.IntN(2) == 0:
					n.late = g // it comes with the next
				}
				if n.late != nil && n.late != g {
					n.a.Give(n.late)
					n.late = nil
				}
			}
			sum := 0
			for _, n := range ns {
				sum += n.a.Cap(clock(n, now), "db")
			}
			if sum > limit {
				t.Fatalf("seed %d at %d us: %d of %d are permitted", seed, now, sum, limit)
			}
			most = max(most, sum)
		}
	}
	if handed < 100 {
		t.Errorf("the duty was handed over %d times only", handed)
	}
	if most < limit*8/10 {
		t.Errorf("never more than %d of %d were permitted", most, limit)
	}
}

func ExampleHolder() {
	h := NewHolder(0, true)
	a, b := NewAsker("stock", 1), NewAsker("stock", 2)
	limits := map[string]int32{"stock-a": 10}
	a.Give(h.Ask(0, "a", a.Tick(0, nil), limits, true))
	fmt.Println(a.Cap(1, "stock-a")) // alone
	b.Give(h.Ask(10, "b", b.Tick(10, nil), limits, true))
	fmt.Println(b.Cap(11, "stock-a")) // a upholds all of it yet
	now := int64(AskEvery)
	a.Give(h.Ask(now, "a", a.Tick(now, nil), limits, true)) // shrinks
	now += AskEvery
	a.Give(h.Ask(now, "a", a.Tick(now, nil), limits, true)) // confirms
	b.Give(h.Ask(now, "b", b.Tick(now, nil), limits, true))
	fmt.Println(a.Cap(now, "stock-a"), b.Cap(now, "stock-a"))
	// Output:
	// 10
	// 0
	// 5 5
}

// TestAGiveToAnEarlierRunIsVoid: a node that starts again numbers its asks
// otherwise than before, so that a late permit of its earlier run, which the
// holder counts beside this one's, is not used as well.
func TestAGiveToAnEarlierRunIsVoid(t *testing.T) {
	earlier, later := NewAsker("g", 1), NewAsker("g", 2)
	for now := int64(0); now < 20*AskEvery; now += AskEvery {
		ask := earlier.Tick(now, nil)
		later.Tick(now, nil)
		if later.Give(&schema.PermitGive{Group: "g", Number: ask.Number, Connections: map[string]int32{"db": 7}, LengthUs: LengthUs}) || later.Cap(now, "db") > 0 {
			t.Fatalf("a permit for ask %d of the earlier run is used", ask.Number)
		}
	}
}
