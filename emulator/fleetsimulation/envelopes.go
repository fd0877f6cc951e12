package fleetsimulation

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"stoneford/internal/coordinator"
	"stoneford/internal/learner"
	"stoneford/schema"
	"stoneford/statemachine"
)

// loopbackUs is the delay of an envelope within a host.
const loopbackUs = 20

// sendEnvelope sends an envelope. It encodes and decodes the envelope as real processes
// do.
func (f *Fleet) sendEnvelope(from string, s statemachine.Send) {
	f.Plan.Observe.Envelope(f.Now, from, s.To, s.Envelope)
	b, err := proto.Marshal(s.Envelope)
	if err != nil {
		panic(err)
	}
	to := hostOf(s.To)
	deliver := func() {
		e := &schema.Envelope{}
		if err := proto.Unmarshal(b, e); err != nil {
			panic(err)
		}
		f.mutateUpdate(s.To, e)
		f.mutatePoll(e)
		f.takeEnvelope(s.To, e)
	}
	switch {
	case from == to:
		f.After(loopbackUs, deliver)
	case !f.network.reaches(from, to):
		// A few envelopes wait in a buffer until the partition ends; most are lost.
		if f.Chance(0.1) {
			f.network.transmit(from, to, deliver)
		}
	case f.network.drawLoss(from, to) && f.Chance(0.3):
	default:
		if f.Chance(f.duplicateProbability) {
			f.network.transmit(from, to, deliver)
		}
		if f.Chance(f.duplicateProbability) {
			f.After(f.Between(10_000, 900_000), deliver) // late and out of order
			return
		}
		f.network.transmit(from, to, deliver)
	}
}

// mutateUpdate removes the data that the plan's mutation withholds from a poll response to
// a node.
func (f *Fleet) mutateUpdate(to string, e *schema.Envelope) {
	r := e.GetPollResponse()
	if r == nil || f.nodeAt[to] == nil {
		return
	}
	switch f.Plan.Mutation {
	case DrainingForgotten:
		r.Databases = slices.DeleteFunc(r.Databases, func(r *schema.Record) bool { return learner.DecodeInstance(r).Draining })
	case GateSkipped, FloorIgnored:
		f.moves.mutatePollResponse(to, r)
	case TablesForgotten:
		if f.Now > 5_000_000 && f.nodeAt[to] == f.nodes[0] {
			r.Registers = slices.DeleteFunc(r.Registers, func(c *schema.RegisterState) bool { return c.Key == learner.TableKey })
		}
	}
}

// takeEnvelope delivers an envelope to the process at an address.
func (f *Fleet) takeEnvelope(to string, e *schema.Envelope) {
	if c := f.controlAt[to]; c != nil {
		c.post(e.From, coordinator.Message{Envelope: e})
	} else if n := f.nodeAt[to]; n != nil {
		generation := n.generation
		n.handle(e.From, func() {
			if n.generation == generation {
				n.receive(e)
			}
		})
	}
}
