// Package simulation runs the daemons' own cores on a fake clock and an
// in-memory network, from a seed: the same seed runs the same way again.
package simulation

import (
	"container/heap"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"stoneford/internal/behaviourhash"
	"stoneford/schema"
	"stoneford/step"
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
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

// World is the fake clock and all that is due on it.
type World struct {
	Now int64
	R   *rand.Rand
	evs events
	seq uint64
}

// NewWorld makes a world from a seed.
func NewWorld(seed uint64) *World {
	return &World{Now: 1_000_000, R: rand.New(rand.NewPCG(seed, 0x5eed))}
}

// After has f run once so many microseconds from now.
func (w *World) After(us int64, f func()) {
	w.seq++
	heap.Push(&w.evs, event{at: w.Now + max(us, 0), seq: w.seq, f: f})
}

// Between is a random whole number in [a, b].
func (w *World) Between(a, b int64) int64 { return a + w.R.Int64N(b-a+1) }

// Chance is true with a probability.
func (w *World) Chance(p float64) bool { return w.R.Float64() < p }

// Run runs everything due until a time.
func (w *World) Run(until int64) {
	for len(w.evs) > 0 && w.evs[0].at <= until {
		e := heap.Pop(&w.evs).(event)
		w.Now = e.at
		e.f()
	}
	w.Now = max(w.Now, until)
}

// Network carries envelopes between processes, with delays, losses, doubles
// and cuts.
type Network struct {
	W            *World
	Drop, Double float64
	DelayLo      int64
	DelayHi      int64
	Extra        func(from, to string) int64 // added to the delay between two places
	cut          map[[2]string]bool
	Take         func(to string, e *schema.Envelope)
	observe      *behaviourhash.Recorder // nil: nothing is recorded
}

// NewNetwork makes a network without faults.
func NewNetwork(w *World) *Network {
	return &Network{W: w, DelayLo: 100, DelayHi: 1500, cut: map[[2]string]bool{}}
}

// newObservedNetwork makes a network that records every envelope that is sent.
func newObservedNetwork(w *World, o *behaviourhash.Recorder) *Network {
	n := NewNetwork(w)
	n.observe = o
	return n
}

// Cut breaks or mends one direction between two places.
func (n *Network) Cut(from, to string, broken bool) { n.cut[[2]string{from, to}] = broken }

// Ails says whether any way from or to a place is broken.
func (n *Network) Ails(a string) bool {
	for k, broken := range n.cut {
		if broken && (k[0] == a || k[1] == a) {
			return true
		}
	}
	return false
}

// Mend mends everything.
func (n *Network) Mend() { n.cut = map[[2]string]bool{} }

// Reaches says whether one direction works.
func (n *Network) Reaches(from, to string) bool { return !n.cut[[2]string{from, to}] }

// Delay is how long one way takes now.
func (n *Network) Delay(from, to string) int64 {
	d := n.W.Between(n.DelayLo, n.DelayHi)
	if n.Extra != nil {
		d += n.Extra(from, to)
	}
	return d
}

// Send sends from a place. The envelope is encoded and decoded again, as
// between real processes.
func (n *Network) Send(from string, s step.Send) {
	n.observe.Envelope(n.W.Now, from, s.To, s.Env)
	if from == s.To {
		n.W.After(0, func() { n.Take(s.To, s.Env) })
		return
	}
	if !n.Reaches(from, s.To) || n.W.Chance(n.Drop) {
		return
	}
	times := 1
	if n.W.Chance(n.Double) {
		times = 2
	}
	b, err := proto.Marshal(s.Env)
	if err != nil {
		panic(err)
	}
	for range times {
		n.W.After(n.Delay(from, s.To), func() {
			e := &schema.Envelope{}
			if err := proto.Unmarshal(b, e); err != nil {
				panic(err)
			}
			n.Take(s.To, e)
		})
	}
}
