package connectionlease

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"stoneford/schema"
)

// TestLeasedSumNeverExceedsLimit: nodes come, freeze, die and lose messages, and
// the duty changes hands, under two clocks that run up to 8 % apart; whatever
// may be in use at any moment stays within the limit.
func TestLeasedSumNeverExceedsLimit(t *testing.T) {
	const limit = 30
	type node struct {
		a            *Lessee
		rate         float64 // of its own clock
		offset       int64
		unresponsive int64 // neither asks nor hears until then
		delayed      *schema.ConnectionLeaseResponse
		used         int // connections open, some longer than any permit covers them
	}
	maxGranted, handed := 0, 0
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 9))
		h := NewLessor(0, true)
		hRate := 1.0
		var ns []*node
		add := func() {
			ns = append(ns, &node{a: NewLessee("g", uint64(len(ns)+1)), rate: 0.96 + 0.08*r.Float64(), offset: r.Int64N(1 << 40)})
		}
		add()
		clock := func(n *node, now int64) int64 { return int64(float64(now)*n.rate) + n.offset }
		for now := int64(1); now < 60_000_000; now += 50_000 {
			switch {
			case len(ns) < 8 && r.IntN(60) == 0:
				add()
			case r.IntN(80) == 0:
				ns[r.IntN(len(ns))].unresponsive = now + r.Int64N(12_000_000)
			case r.IntN(400) == 0:
				// Another holder, which remembers nothing; it begins when the
				// one before has surely ended.
				was := int64(float64(now) * hRate)
				hRate = 0.96 + 0.08*r.Float64()
				if h.Complete(was) && r.IntN(2) == 0 {
					h = NewLessorFromLeases(int64(float64(now)*hRate), h.Leases(was))
					handed++
				} else {
					h = NewLessor(int64(float64(now)*hRate), false)
				}
			}
			for i, n := range ns {
				if now < n.unresponsive {
					continue
				}
				own := clock(n, now)
				if c := n.a.Limit(own, "db"); n.used < c || n.used > 0 && r.IntN(20) == 0 {
					n.used = min(n.used, r.IntN(n.used+1)+c)
					if n.used < c {
						n.used += r.IntN(c - n.used + 1)
					}
				}
				a := n.a.NextRequest(own, map[string]int{"db": n.used})
				if a == nil || r.IntN(8) == 0 {
					continue // lost
				}
				g := h.HandleRequest(int64(float64(now)*hRate), fmt.Sprint(i), a, map[string]int32{"db": limit}, true)
				switch {
				case r.IntN(8) > 0:
					n.a.HandleResponse(g)
				case r.IntN(2) == 0:
					n.delayed = g // it comes with the next
				}
				if n.delayed != nil && n.delayed != g {
					n.a.HandleResponse(n.delayed)
					n.delayed = nil
				}
			}
			sum := 0
			for _, n := range ns {
				sum += n.a.Limit(clock(n, now), "db")
			}
			if sum > limit {
				t.Fatalf("seed %d at %d us: %d of %d are permitted", seed, now, sum, limit)
			}
			maxGranted = max(maxGranted, sum)
		}
	}
	if handed < 100 {
		t.Errorf("the duty was handed over %d times only", handed)
	}
	if maxGranted < limit*8/10 {
		t.Errorf("never more than %d of %d were permitted", maxGranted, limit)
	}
}

func ExampleLessor() {
	h := NewLessor(0, true)
	a, b := NewLessee("stock", 1), NewLessee("stock", 2)
	limits := map[string]int32{"stock-a": 10}
	a.HandleResponse(h.HandleRequest(0, "a", a.NextRequest(0, nil), limits, true))
	fmt.Println(a.Limit(1, "stock-a")) // alone
	b.HandleResponse(h.HandleRequest(10, "b", b.NextRequest(10, nil), limits, true))
	fmt.Println(b.Limit(11, "stock-a")) // a upholds all of it yet
	now := int64(RequestInterval)
	a.HandleResponse(h.HandleRequest(now, "a", a.NextRequest(now, nil), limits, true)) // shrinks
	now += RequestInterval
	a.HandleResponse(h.HandleRequest(now, "a", a.NextRequest(now, nil), limits, true)) // confirms
	b.HandleResponse(h.HandleRequest(now, "b", b.NextRequest(now, nil), limits, true))
	fmt.Println(a.Limit(now, "stock-a"), b.Limit(now, "stock-a"))
	// Output:
	// 10
	// 0
	// 5 5
}

// TestResponseToEarlierRunIsIgnored: a node that starts again numbers its asks
// otherwise than before, so that a late permit of its earlier run, which the
// holder counts beside this one's, is not used as well.
func TestResponseToEarlierRunIsIgnored(t *testing.T) {
	earlier, later := NewLessee("g", 1), NewLessee("g", 2)
	for now := int64(0); now < 20*RequestInterval; now += RequestInterval {
		ask := earlier.NextRequest(now, nil)
		later.NextRequest(now, nil)
		if later.HandleResponse(&schema.ConnectionLeaseResponse{Group: "g", RequestNumber: ask.RequestNumber, Connections: map[string]int32{"db": 7}, DurationUs: LeaseDurationUs}) || later.Limit(now, "db") > 0 {
			t.Fatalf("a permit for ask %d of the earlier run is used", ask.RequestNumber)
		}
	}
}
