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
	at       int64
	sequence uint64
	run      func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	o := *e
	n := len(o) - 1
	x := o[n]
	o[n] = event{}
	*e = o[:n]
	return x
}

// Scheduler is the fake clock, in microseconds, and all that is due on it.
type Scheduler struct {
	Now      int64
	Random   *rand.Rand
	queue    eventQueue
	sequence uint64
}

// NewScheduler makes a world from a seed.
func NewScheduler(seed uint64) *Scheduler {
	return &Scheduler{Now: 1_000_000, Random: rand.New(rand.NewPCG(seed, 0xf1ee7))}
}

// After has f run once so many microseconds from now.
func (w *Scheduler) After(us int64, f func()) {
	w.sequence++
	heap.Push(&w.queue, event{at: w.Now + max(us, 0), sequence: w.sequence, run: f})
}

// Between is a random whole number in [a, b].
func (w *Scheduler) Between(a, b int64) int64 { return a + w.Random.Int64N(max(b-a, 0)+1) }

// Chance is true with a probability.
func (w *Scheduler) Chance(p float64) bool { return p > 0 && w.Random.Float64() < p }

// Run runs everything due until a time.
func (w *Scheduler) Run(until int64) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.Now = e.at
		e.run()
	}
	w.Now = max(w.Now, until)
}
