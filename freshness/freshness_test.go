package freshness

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// model is the same queue told naively: every commit with its true time and
// content, nothing trimmed, each measure computed as the paper defines it.
type model struct {
	at     []int64 // true commit time by position-1
	tuples []int64
	class  [][]Atom
}

// measures computes a term over the commits in (level, master].
func (m model) meets(f Formula, level, now int64) bool {
	switch {
	case len(f.And) > 0:
		for _, g := range f.And {
			if !m.meets(g, level, now) {
				return false
			}
		}
		return true
	case len(f.Or) > 0:
		for _, g := range f.Or {
			if m.meets(g, level, now) {
				return true
			}
		}
		return false
	}
	var order, age, card int64
	for i := level; i < int64(len(m.at)); i++ {
		if (Entry{Writes: m.class[i]}).conflicts(f.Atom) {
			order++
			card += m.tuples[i]
			age = max(age, now-m.at[i])
		}
	}
	return map[Measure]int64{Order: order, Age: age, Cardinality: card}[f.Measure] <= f.Threshold
}

var atoms = []Atom{"", "stock", "stock.amount", "stock.place", "sale", "sale.date"}

func randomFormula(r *rand.Rand, depth int) Formula {
	if depth > 0 && r.IntN(3) == 0 {
		fs := []Formula{randomFormula(r, depth-1), randomFormula(r, depth-1)}
		if r.IntN(2) == 0 {
			return Formula{And: fs}
		}
		return Formula{Or: fs}
	}
	f := Formula{Atom: atoms[r.IntN(len(atoms))], Measure: Measure(r.IntN(3))}
	f.Threshold = map[Measure]int64{Order: r.Int64N(6), Age: 1 + r.Int64N(300), Cardinality: r.Int64N(20)}[f.Measure]
	return f
}

// TestRequiredPositionAgainstModel: a copy at the needed level meets the formula on the
// true history, whatever of it the node saw only as positions, and where the
// node saw everything the level is the lowest that does.
func TestRequiredPositionAgainstModel(t *testing.T) {
	for seed := range uint64(3000) {
		r := rand.New(rand.NewPCG(seed, 1))
		all := seed%2 == 0 // this node passes every commit on itself
		var m model
		var q Queue
		now := int64(1000)
		q.ObservePrimary(now, 0)
		levels := map[string]int64{"b": 0, "c": 0}
		for range 60 {
			now += 1 + r.Int64N(20)
			switch p := r.IntN(10); {
			case p < 5:
				cl := []Atom{atoms[1+r.IntN(len(atoms)-1)]}
				start := now
				now += r.Int64N(5)
				m.at, m.tuples, m.class = append(m.at, now), append(m.tuples, 1+r.Int64N(5)), append(m.class, cl)
				pos := int64(len(m.at))
				if all || r.IntN(2) == 0 {
					if !all && r.IntN(3) == 0 {
						q.ObservePrimary(now, pos) // a poll overtakes the commit's return
						now += r.Int64N(3)
					}
					if all {
						start = now // known to the microsecond
					}
					q.AddCommit(start, pos, m.tuples[pos-1], cl)
				}
			case p < 7:
				start := now
				now += r.Int64N(3)
				q.ObservePrimary(start, int64(len(m.at)))
			case p < 9:
				c := []string{"b", "c"}[r.IntN(2)]
				levels[c] += r.Int64N(int64(len(m.at)) - levels[c] + 1)
				q.ObserveReplica(c, levels[c])
			default:
				c := []string{"b", "c"}[r.IntN(2)]
				q.RemoveReplica(c)
			}
			f := randomFormula(r, 2)
			if f.NeedsFreshPoll() {
				q.ObservePrimary(now, int64(len(m.at)))
			}
			for c, from := range levels {
				l, ok := q.RequiredPosition(f, from, now)
				if !ok {
					continue
				}
				if l < from || l > int64(len(m.at)) {
					t.Fatalf("seed %d: copy %s at %d: level %d of %d", seed, c, from, l, len(m.at))
				}
				if !m.meets(f, l, now) {
					t.Fatalf("seed %d: copy %s at %d: level %d does not meet %+v", seed, c, from, l, f)
				}
				if all && from >= q.trimmedTo && l > from && m.meets(f, l-1, now) && allTerms(f) {
					t.Fatalf("seed %d: copy %s at %d: level %d is higher than %+v needs", seed, c, from, l, f)
				}
			}
		}
	}
}

// allTerms: a single term, for which the walk's level is the lowest there is.
func allTerms(f Formula) bool { return len(f.And)+len(f.Or) == 0 }

// TestTrim: entries every copy has passed go, and a dropped copy holds nothing
// up.
func TestTrim(t *testing.T) {
	var q Queue
	q.ObservePrimary(1, 0)
	for p := int64(1); p <= 10; p++ {
		q.AddCommit(p, p, 1, []Atom{"stock"})
	}
	q.ObserveReplica("c", 2)
	q.ObserveReplica("b", 6)
	if q.Len() != 8 {
		t.Fatalf("%d entries are held, not the 8 behind the slower copy", q.Len())
	}
	q.RemoveReplica("c")
	if q.Len() != 4 {
		t.Fatalf("%d entries are held after the slower copy was dropped, not 4", q.Len())
	}
	// The dropped copy comes back below what was trimmed: it first needs that.
	if l, _ := q.RequiredPosition(Formula{Measure: Order, Threshold: 100}, 2, 20); l != 6 {
		t.Fatalf("a copy below the trimmed part needs %d, not 6", l)
	}
}

// TestChoose: the least sum wins and ties are broken by pick alone.
func TestChoose(t *testing.T) {
	var q Queue
	q.ObservePrimary(1, 10)
	f := Formula{Measure: Order}
	c, ok := Choose(&q, f, 0, 5, []Replica{{Name: "b", AppliedPosition: 10, LoadUs: 900, AverageRunUs: 200}, {Name: "c", AppliedPosition: 5, AverageRunUs: 200, ApplyTimeUs: 100}}, func(int) int { return 0 })
	if !ok || c.Replica != "c" || c.Position != 10 || c.CostUs != 700 {
		t.Fatalf("chose %+v", c)
	}
	seen := map[string]int{}
	r := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		c, _ := Choose(&q, f, 0, 5, []Replica{{Name: "b", AppliedPosition: 10}, {Name: "c", AppliedPosition: 10}}, r.IntN)
		seen[c.Replica]++
	}
	if seen["b"] < 20 || seen["c"] < 20 {
		t.Fatalf("ties went %v", seen)
	}
}

func ExampleQueue() {
	var q Queue
	q.ObservePrimary(0, 100)                   // a poll showed the primary at 100
	q.AddCommit(1000, 101, 3, []Atom{"stock"}) // this node's own commit
	q.ObservePrimary(2000, 103)                // two more, of other nodes
	needed, _ := q.RequiredPosition(Formula{Atom: "sale", Measure: Order, Threshold: 1}, 100, 3000)
	fmt.Println(needed) // one of the two unseen may be missed
	// Output: 102
}
