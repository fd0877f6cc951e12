package paxos

import "stoneford/schema"

// attempt is a change that is under way at a Proposer, with the state of its current
// ballot or quorum read. At any time it is in one of three phases: preparing,
// accepting, or waiting for retryAt.
type attempt struct {
	change  Change
	number  uint64 // replies to earlier attempts of the same change do not count
	retries uint64

	quorumRead bool           // reads without a ballot: binds no voter and writes nothing
	ballot     *schema.Ballot // nil for a quorum read
	accepting  bool           // phase 2 of the ballot has begun

	promises   map[string]*schema.Promise
	accepted   map[string]*schema.Accepted
	localState *schema.RegisterState // the local acceptor's; others need not send its value back

	value          *schema.Value // what the ballot proposes
	ownValue       bool          // value is the change's own
	changeProposed bool          // the change's own value was ever sent in an accept

	timeoutAt int64 // when the ballot or quorum read is given up
	retryAt   int64 // when the next one starts, 0 while one runs
}

func newAttempt(change Change) *attempt {
	return &attempt{change: change, quorumRead: change.ReadOnly && !change.Recommit}
}

// expects reports whether a reply is to the current attempt and phase.
func (a *attempt) expects(number uint64, accepting bool) bool {
	return a != nil && a.number == number && a.accepting == accepting && a.retryAt == 0
}

// verdict returns how an attempt ended whose value is known to be chosen.
func (a *attempt) verdict() Verdict {
	switch {
	case a.change.ReadOnly || a.ownValue || a.change.includedIn(a.value):
		return Committed
	case a.changeProposed && a.value.GetRevision() >= a.change.BaseRevision+maxChangeIDs:
		return Uncertain // the value's change IDs no longer reach back far enough to tell
	default:
		return Conflict
	}
}

// due returns when the attempt has something to do next.
func (a *attempt) due() int64 {
	if a.retryAt > 0 {
		return min(a.change.Deadline, a.retryAt)
	}
	return min(a.change.Deadline, a.timeoutAt)
}
