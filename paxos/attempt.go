package paxos

import "stoneford/schema"

// attempt holds a change in progress at a Proposer and the state of its current ballot
// or quorum read. It is always in one of three phases: preparing, accepting, or waiting
// for retryAt.
type attempt struct {
	change  Change
	number  uint64 // echoed by replies; replies with an earlier number are ignored
	retries uint64

	quorumRead bool           // read without a ballot, which makes no voter promise or write anything
	ballot     *schema.Ballot // nil for a quorum read
	accepting  bool           // phase 2 of the ballot has begun

	promises   map[string]*schema.Promise
	accepted   map[string]*schema.Accepted
	localState *schema.RegisterState // state of the local acceptor; the others may omit this value

	value          *schema.Value // value that the ballot proposes
	ownValue       bool          // value is the change's own
	changeProposed bool          // the change's own value was sent in at least one accept

	timeoutAt int64 // time at which the current ballot or quorum read is abandoned
	retryAt   int64 // time at which the next ballot starts, 0 while one is running
}

func newAttempt(change Change) *attempt {
	return &attempt{change: change, quorumRead: change.ReadOnly && !change.Recommit}
}

// expects reports whether a reply with this attempt number belongs to the current
// attempt and phase.
func (a *attempt) expects(number uint64, accepting bool) bool {
	return a != nil && a.number == number && a.accepting == accepting && a.retryAt == 0
}

// verdict returns the verdict of an attempt whose value is known to be chosen.
func (a *attempt) verdict() Verdict {
	switch {
	case a.change.ReadOnly || a.ownValue || a.change.includedIn(a.value):
		return Committed
	case a.changeProposed && a.value.GetRevision() >= a.change.BaseRevision+maxChangeIDs:
		return Uncertain // the change's ID may have been dropped from the value's change IDs
	default:
		return Conflict
	}
}

// due returns the time at which Proposer.Tick must next handle the attempt.
func (a *attempt) due() int64 {
	if a.retryAt > 0 {
		return min(a.change.Deadline, a.retryAt)
	}
	return min(a.change.Deadline, a.timeoutAt)
}
