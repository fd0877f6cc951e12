// Package simulation runs the daemons' own cores on a fake clock and an
// in-memory network, from a seed: the same seed runs the same way again.
package simulation

import (
	"container/heap"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"stoneford/internal/behaviourhash"
	"stoneford/schema"
	"stoneford/statemachine"
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
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

// Scheduler is the fake clock and all that is due on it.
type Scheduler struct {
	Now      int64
	Random   *rand.Rand
	queue    eventQueue
	sequence uint64
}

// NewScheduler makes a world from a seed.
func NewScheduler(seed uint64) *Scheduler {
	return &Scheduler{Now: 1_000_000, Random: rand.New(rand.NewPCG(seed, 0x5eed))}
}

// After has f run once so many microseconds from now.
func (w *Scheduler) After(us int64, f func()) {
	w.sequence++
	heap.Push(&w.queue, event{at: w.Now + max(us, 0), sequence: w.sequence, run: f})
}

// Between is a random whole number in [a, b].
func (w *Scheduler) Between(a, b int64) int64 { return a + w.Random.Int64N(b-a+1) }

// Chance is true with a probability.
func (w *Scheduler) Chance(p float64) bool { return w.Random.Float64() < p }

// Run runs everything due until a time.
func (w *Scheduler) Run(until int64) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.Now = e.at
		e.run()
	}
	w.Now = max(w.Now, until)
}

// Network carries envelopes between processes, with delays, losses, doubles
// and cuts.
type Network struct {
	Scheduler                 *Scheduler
	LossShare, DuplicateShare float64
	MinDelayUs                int64
	MaxDelayUs                int64
	ExtraDelayUs              func(from, to string) int64 // added to the delay between two places
	partitioned               map[[2]string]bool
	Receive                   func(to string, e *schema.Envelope)
	observe                   *behaviourhash.Recorder // nil: nothing is recorded
}

// NewNetwork makes a network without faults.
func NewNetwork(w *Scheduler) *Network {
	return &Network{Scheduler: w, MinDelayUs: 100, MaxDelayUs: 1500, partitioned: map[[2]string]bool{}}
}

// newObservedNetwork makes a network that records every envelope that is sent.
func newObservedNetwork(w *Scheduler, o *behaviourhash.Recorder) *Network {
	n := NewNetwork(w)
	n.observe = o
	return n
}

// SetPartition breaks or mends one direction between two places.
func (n *Network) SetPartition(from, to string, broken bool) {
	n.partitioned[[2]string{from, to}] = broken
}

// Faulty says whether any way from or to a place is broken.
func (n *Network) Faulty(a string) bool {
	for k, broken := range n.partitioned {
		if broken && (k[0] == a || k[1] == a) {
			return true
		}
	}
	return false
}

// Repair mends everything.
func (n *Network) Repair() { n.partitioned = map[[2]string]bool{} }

// Reaches says whether one direction works.
func (n *Network) Reaches(from, to string) bool { return !n.partitioned[[2]string{from, to}] }

// Delay is how long one way takes now.
func (n *Network) Delay(from, to string) int64 {
	d := n.Scheduler.Between(n.MinDelayUs, n.MaxDelayUs)
	if n.ExtraDelayUs != nil {
		d += n.ExtraDelayUs(from, to)
	}
	return d
}

// Send sends from a place. The envelope is encoded and decoded again, as
// between real processes.
func (n *Network) Send(from string, s statemachine.Send) {
	n.observe.Envelope(n.Scheduler.Now, from, s.To, s.Envelope)
	if from == s.To {
		n.Scheduler.After(0, func() { n.Receive(s.To, s.Envelope) })
		return
	}
	if !n.Reaches(from, s.To) || n.Scheduler.Chance(n.LossShare) {
		return
	}
	times := 1
	if n.Scheduler.Chance(n.DuplicateShare) {
		times = 2
	}
	b, err := proto.Marshal(s.Envelope)
	if err != nil {
		panic(err)
	}
	for range times {
		n.Scheduler.After(n.Delay(from, s.To), func() {
			e := &schema.Envelope{}
			if err := proto.Unmarshal(b, e); err != nil {
				panic(err)
			}
			n.Receive(s.To, e)
		})
	}
}
