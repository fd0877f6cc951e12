package simulation

import (
	"google.golang.org/protobuf/proto"

	"stoneford/emulator/virtualtime"
	"stoneford/internal/behaviourhash"
	"stoneford/schema"
	"stoneford/statemachine"
)

// Network carries envelopes between the addresses of processes. It delays, loses,
// duplicates and reorders them; a partition loses all that is sent in its direction.
type Network struct {
	Scheduler            *virtualtime.Scheduler
	LossProbability      float64
	DuplicateProbability float64
	MinDelayUs           int64 // least delay in one direction
	MaxDelayUs           int64 // greatest delay in one direction
	// ExtraDelayUs is added to the delay between two addresses; nil adds nothing.
	ExtraDelayUs func(from, to string) int64
	// Receive takes what arrives at an address.
	Receive func(to string, e *schema.Envelope)

	partitioned map[[2]string]bool      // by sender and receiver
	observe     *behaviourhash.Recorder // nil: nothing is recorded
}

// Delays of a network without faults, in one direction.
const (
	defaultMinDelayUs = 100
	defaultMaxDelayUs = 1_500
)

// NewNetwork makes a network without faults.
func NewNetwork(w *virtualtime.Scheduler) *Network {
	return &Network{Scheduler: w, MinDelayUs: defaultMinDelayUs, MaxDelayUs: defaultMaxDelayUs, partitioned: map[[2]string]bool{}}
}

// newObservedNetwork makes a network that records every envelope that is sent.
func newObservedNetwork(w *virtualtime.Scheduler, o *behaviourhash.Recorder) *Network {
	n := NewNetwork(w)
	n.observe = o
	return n
}

// SetPartition breaks or repairs one direction between two addresses.
func (n *Network) SetPartition(from, to string, broken bool) {
	n.partitioned[[2]string{from, to}] = broken
}

// Faulty reports whether any direction from or to an address is broken.
func (n *Network) Faulty(address string) bool {
	for k, broken := range n.partitioned {
		if broken && (k[0] == address || k[1] == address) {
			return true
		}
	}
	return false
}

// Repair ends every partition.
func (n *Network) Repair() { n.partitioned = map[[2]string]bool{} }

// Reaches reports whether one direction works.
func (n *Network) Reaches(from, to string) bool { return !n.partitioned[[2]string{from, to}] }

// Delay draws how long one direction takes.
func (n *Network) Delay(from, to string) int64 {
	d := n.Scheduler.Between(n.MinDelayUs, n.MaxDelayUs)
	if n.ExtraDelayUs != nil {
		d += n.ExtraDelayUs(from, to)
	}
	return d
}

// Send sends an envelope from an address. It is encoded and decoded again, as between real
// processes; what an address sends to itself is not.
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
