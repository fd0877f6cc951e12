package paxos

import (
	"fmt"
	"slices"

	"stoneford/schema"
	"stoneford/statemachine"
)

const (
	// sealedResolveDelay is how long an acceptor that accepted a successor waits to hear
	// that it was chosen before it settles which membership is the newest: either the
	// successor is chosen, or a later ballot takes it back and the voter votes again.
	sealedResolveDelay = 150_000
	// turnInterval is how long each voter leaves a change of the membership to those
	// that rank before it.
	turnInterval = 300_000
	// changeTimeout is how long a change of the membership is tried.
	changeTimeout = 2_000_000
)

// Reconfigurer decides when this voter puts a change of the membership to the
// vote: at most one at a time, and the voters take turns so that they seldom
// compete. Which membership follows is Plan's.
type Reconfigurer struct {
	self           string
	name           string // unique to this run of the process
	changeCount    uint64
	pending        bool
	changeDueSince int64 // since when a change is due here
	sealedSince    int64 // since when the acceptor is sealed
}

// NewReconfigurer makes a reconfigurer; run must be a name that no earlier run of
// the process used.
func NewReconfigurer(self, run string) *Reconfigurer {
	return &Reconfigurer{self: self, name: self + "#" + run}
}

// Done ends the change that Step asked for, however it ended.
func (r *Reconfigurer) Done() { r.pending = false }

// Step is the change to put to the vote now, if any. Silent names the voters that
// were not heard lately, which are not waited for.
func (r *Reconfigurer) Step(now int64, a *Acceptor, s PlanningInput) (Change, bool) {
	if r.pending {
		return Change{}, false
	}
	if a.Sealed() {
		if r.sealedSince == 0 {
			r.sealedSince = now
		}
		if now-r.sealedSince < sealedResolveDelay+r.turnDelay(a, s)/2 {
			return Change{}, false
		}
		r.sealedSince = now
		return r.newChange(now, Change{ReadOnly: true, Recommit: true}), true
	}
	r.sealedSince = 0
	if !a.IsVoter() {
		r.changeDueSince = 0
		return Change{}, false
	}
	next, due := PlanMembership(a.Membership(), s)
	if !due {
		r.changeDueSince = 0
		return Change{}, false
	}
	if r.changeDueSince == 0 {
		r.changeDueSince = now
	}
	if now-r.changeDueSince < r.turnDelay(a, s) {
		return Change{}, false
	}
	r.changeDueSince = 0
	return r.newChange(now, Change{BaseRevision: a.Membership().Number, Data: next.Encode()}), true
}

// turnDelay is how long this voter leaves a change to others.
func (r *Reconfigurer) turnDelay(a *Acceptor, s PlanningInput) int64 {
	rank := statemachine.Rank("membership", a.Membership().Addresses())
	rank = slices.DeleteFunc(rank, func(o string) bool { return s.Unavailable[o] && o != r.self })
	return int64(slices.Index(rank, r.self)) * turnInterval
}

func (r *Reconfigurer) newChange(now int64, c Change) Change {
	r.changeCount++
	r.pending = true
	c.Key, c.ID, c.Deadline = MembershipKey, fmt.Sprintf("%s#membership#%d", r.name, r.changeCount), now+changeTimeout
	return c
}

// ChosenMembership is the membership that an outcome shows to be chosen.
func ChosenMembership(o Outcome) (Membership, bool) {
	if o.Change.Key != MembershipKey || o.Verdict != Committed && o.Verdict != Conflict || o.Value == nil {
		return Membership{}, false
	}
	m, err := DecodeMembership(o.Value.GetData())
	return m, err == nil && m.Number == o.Value.Revision
}

// IsForAcceptor reports whether an envelope is for a process's acceptor.
func IsForAcceptor(e *schema.Envelope) bool {
	switch e.Body.(type) {
	case *schema.Envelope_Prepare, *schema.Envelope_Accept, *schema.Envelope_FounderReport, *schema.Envelope_JoinRequest,
		*schema.Envelope_StateRequest, *schema.Envelope_StateResponse, *schema.Envelope_MembershipNotice:
		return true
	}
	return false
}

// IsForProposer reports whether an envelope is for a process's proposer.
func IsForProposer(e *schema.Envelope) bool {
	switch e.Body.(type) {
	case *schema.Envelope_Promise, *schema.Envelope_Accepted, *schema.Envelope_MembershipNotice:
		return true
	}
	return false
}
