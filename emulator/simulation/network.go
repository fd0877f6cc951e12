package simulation

import (
	"google.golang.org/protobuf/proto"

	"stoneford/emulator/virtualtime"
	"stoneford/internal/behaviourhash"
	"stoneford/schema"
	"stoneford/statemachine"
)

// Network carries envelopes between processes, with delays, losses, doubles
// and cuts.
type Network struct {
	Scheduler                             *virtualtime.Scheduler
	LossProbability, DuplicateProbability float64
	MinDelayUs                            int64
	MaxDelayUs                            int64
	ExtraDelayUs                          func(from, to string) int64 // added to the delay between two places
	partitioned                           map[[2]string]bool
	Receive                               func(to string, e *schema.Envelope)
	observe                               *behaviourhash.Recorder // nil: nothing is recorded
}

// NewNetwork makes a network without faults.
func NewNetwork(w *virtualtime.Scheduler) *Network {
	return &Network{Scheduler: w, MinDelayUs: 100, MaxDelayUs: 1500, partitioned: map[[2]string]bool{}}
}

// newObservedNetwork makes a network that records every envelope that is sent.
func newObservedNetwork(w *virtualtime.Scheduler, o *behaviourhash.Recorder) *Network {
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
	if !n.Reaches(from, s.To) || n.Scheduler.Chance(n.LossProbability) {
		return
	}
	times := 1
	if n.Scheduler.Chance(n.DuplicateProbability) {
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
