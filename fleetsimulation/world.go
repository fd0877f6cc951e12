// Package fleetsimulation runs whole fleets of the cores that serve databases
// which announce themselves (design 14) on a fake clock, an in-memory network
// and a seed: the same seed runs the same way again. Databases, platform,
// callers and operators are models of it, and Truth holds everything that is
// seen on their sides against what must never happen.
package fleetsimulation

import (
	"container/heap"
	"math/rand/v2"
)

type event struct {
	at  int64
	seq uint64
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	o := *e
	n := len(o) - 1
	x := o[n]
	o[n] = event{}
	*e = o[:n]
	return x
}

// World is the fake clock, in microseconds, and all that is due on it.
type World struct {
	Now int64
	R   *rand.Rand
	evs events
	seq uint64
}

// NewWorld makes a world from a seed.
func NewWorld(seed uint64) *World {
	return &World{Now: 1_000_000, R: rand.New(rand.NewPCG(seed, 0xf1ee7))}
}

// After has f run once so many microseconds from now.
func (w *World) After(us int64, f func()) {
	w.seq++
	heap.Push(&w.evs, event{at: w.Now + max(us, 0), seq: w.seq, f: f})
}

// Between is a random whole number in [a, b].
func (w *World) Between(a, b int64) int64 { return a + w.R.Int64N(max(b-a, 0)+1) }

// Chance is true with a probability.
func (w *World) Chance(p float64) bool { return p > 0 && w.R.Float64() < p }

// Run runs everything due until a time.
func (w *World) Run(until int64) {
	for len(w.evs) > 0 && w.evs[0].at <= until {
		e := heap.Pop(&w.evs).(event)
		w.Now = e.at
		e.f()
	}
	w.Now = max(w.Now, until)
}
