package simulation

import (
	"google.golang.org/protobuf/proto"

	"stoneford/emulator/virtualtime"
	"stoneford/internal/behaviourhash"
	"stoneford/schema"
	"stoneford/statemachine"
)

// Network transports envelopes between the addresses of processes. It delays, loses,
// duplicates and reorders them. A partition loses all envelopes in one direction between
// two addresses.
type Network struct {
	Scheduler            *virtualtime.Scheduler
	LossProbability      float64
	DuplicateProbability float64
	MinDelayUs           int64 // minimum delay in one direction
	MaxDelayUs           int64 // maximum delay in one direction
	// ExtraDelayUs, if not nil, returns a delay that is added between two addresses.
	ExtraDelayUs func(from, to string) int64
	// Receive is called for each envelope that arrives at an address.
	Receive func(to string, e *schema.Envelope)

	partitioned map[[2]string]bool      // lost directions, by sender and receiver
	observe     *behaviourhash.Recorder // records all sent envelopes; nil for none
}

// Default delays in one direction, in microseconds.
const (
	defaultMinDelayUs = 100
	defaultMaxDelayUs = 1_500
)

// NewNetwork returns a network without faults.
func NewNetwork(scheduler *virtualtime.Scheduler) *Network {
	return &Network{Scheduler: scheduler, MinDelayUs: defaultMinDelayUs, MaxDelayUs: defaultMaxDelayUs, partitioned: map[[2]string]bool{}}
}

// newObservedNetwork returns a network that records every envelope that is sent.
func newObservedNetwork(scheduler *virtualtime.Scheduler, o *behaviourhash.Recorder) *Network {
	n := NewNetwork(scheduler)
	n.observe = o
	return n
}

// SetPartition sets or removes a partition in one direction between two addresses.
func (n *Network) SetPartition(from, to string, broken bool) {
	n.partitioned[[2]string{from, to}] = broken
}

// Faulty reports whether there is a partition from or to an address.
func (n *Network) Faulty(address string) bool {
	for k, broken := range n.partitioned {
		if broken && (k[0] == address || k[1] == address) {
			return true
		}
	}
	return false
}

// Repair removes all partitions.
func (n *Network) Repair() { n.partitioned = map[[2]string]bool{} }

// Reaches reports whether there is no partition in the given direction.
func (n *Network) Reaches(from, to string) bool { return !n.partitioned[[2]string{from, to}] }

// Delay returns a random delay for one envelope.
func (n *Network) Delay(from, to string) int64 {
	d := n.Scheduler.Between(n.MinDelayUs, n.MaxDelayUs)
	if n.ExtraDelayUs != nil {
		d += n.ExtraDelayUs(from, to)
	}
	return d
}

// Send sends an envelope. Envelopes to other addresses are encoded and decoded, as between
// real processes.
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
