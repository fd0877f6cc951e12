package paxos

import (
	"fmt"
	"slices"
	"time"

	"stoneford/statemachine"
)

const (
	// sealedResolveDelay is the time that a sealed acceptor waits for confirmation that
	// the successor membership was chosen, before it recommits the register's newest
	// value. The recommit either gets the successor chosen or replaces it in a higher
	// ballot, after which the acceptor votes again. Writes stall for this delay when a
	// proposer dies; a shorter delay competes with proposers that are merely slow.
	sealedResolveDelay = 150 * time.Millisecond
	// turnInterval is the time between the turns of two voters of consecutive rank to
	// change the membership, so that voters seldom compete.
	turnInterval = 300 * time.Millisecond
	// membershipChangeTimeout limits one attempt to change the membership.
	membershipChangeTimeout = 2 * time.Second
)

// Reconfigurer decides when this voter proposes a change of the membership. It proposes
// at most one change at a time, and the voters take turns. PlanMembership computes the
// proposed membership.
type Reconfigurer struct {
	self           string
	runName        string // unique to this run of the process
	changeCount    uint64
	pending        bool  // a change is in progress
	changeDueSince int64 // time since which a change is due here, 0 if none is due
	sealedSince    int64 // time since which the acceptor is sealed, 0 if it is not sealed
}

// NewReconfigurer returns a reconfigurer. run must be a name that no earlier run of this
// process used.
func NewReconfigurer(self, run string) *Reconfigurer {
	return &Reconfigurer{self: self, runName: self + "#" + run}
}

// ChangeEnded must be called when the change that Step returned has ended, with any
// verdict.
func (r *Reconfigurer) ChangeEnded() { r.pending = false }

// Step returns the change to propose now, if any. The caller proposes it and calls
// ChangeEnded when it has ended.
func (r *Reconfigurer) Step(now int64, acceptor *Acceptor, input PlanningInput) (Change, bool) {
	if r.pending {
		return Change{}, false
	}
	if acceptor.Sealed() {
		return r.resolveSealed(now, acceptor, input)
	}
	r.sealedSince = 0
	return r.planChange(now, acceptor, input)
}

// resolveSealed returns a recommit of the membership's newest value if the acceptor has
// been sealed for too long.
func (r *Reconfigurer) resolveSealed(now int64, acceptor *Acceptor, input PlanningInput) (Change, bool) {
	if r.sealedSince == 0 {
		r.sealedSince = now
	}
	if now-r.sealedSince < sealedResolveDelay.Microseconds()+r.turnDelayUs(acceptor, input)/2 {
		return Change{}, false
	}
	r.sealedSince = now
	return r.newChange(now, Change{ReadOnly: true, Recommit: true}), true
}

// planChange returns the change to the next membership once it has been due for this
// voter's turn delay.
func (r *Reconfigurer) planChange(now int64, acceptor *Acceptor, input PlanningInput) (Change, bool) {
	current := acceptor.Membership()
	next, due := Membership{}, false
	if acceptor.IsVoter() {
		next, due = PlanMembership(current, input)
	}
	if !due {
		r.changeDueSince = 0
		return Change{}, false
	}
	if r.changeDueSince == 0 {
		r.changeDueSince = now
	}
	if now-r.changeDueSince < r.turnDelayUs(acceptor, input) {
		return Change{}, false
	}
	r.changeDueSince = 0
	return r.newChange(now, Change{BaseRevision: current.Number, Data: next.Encode()}), true
}

// turnDelayUs returns the time, in microseconds, by which this voter delays a change so that
// the voters that rank before it can propose theirs first. Unavailable voters get no turn.
func (r *Reconfigurer) turnDelayUs(acceptor *Acceptor, input PlanningInput) int64 {
	ranked := statemachine.Rank("membership", acceptor.Membership().Addresses())
	ranked = slices.DeleteFunc(ranked, func(address string) bool {
		return input.Unavailable[address] && address != r.self
	})
	return int64(slices.Index(ranked, r.self)) * turnInterval.Microseconds()
}

func (r *Reconfigurer) newChange(now int64, change Change) Change {
	r.changeCount++
	r.pending = true
	change.Key = MembershipKey
	change.ID = fmt.Sprintf("%s#membership#%d", r.runName, r.changeCount)
	change.Deadline = now + membershipChangeTimeout.Microseconds()
	return change
}

// ChosenMembership returns the membership that an outcome shows to be chosen, if any.
func ChosenMembership(o Outcome) (Membership, bool) {
	if o.Change.Key != MembershipKey || o.Verdict != Committed && o.Verdict != Conflict || o.Value == nil {
		return Membership{}, false
	}
	m, err := DecodeMembership(o.Value.GetData())
	return m, err == nil && m.Number == o.Value.Revision
}
