package learner

// leaseState is the lease on what was learned, and what bears on it.
type leaseState struct {
	until int64 // end of the lease, 0 if there was none
	// majorityRespondedAt is when a majority last had answered a poll.
	majorityRespondedAt int64
	// disconnectedAt is when no majority had answered for a while, or this process had
	// been suspended.
	disconnectedAt int64
	// voterForgottenAt is when what a voter held was dropped, 0 if nothing was since
	// the last lease.
	voterForgottenAt int64
}

// LeaseUntil is the end of the lease by this process's clock. Until then the values
// known here are the newest that anybody acted upon, except for keys that are
// unconfirmed.
func (l *Learner) LeaseUntil() int64 { return l.lease.until }

// countResponse counts a voter's answer to a poll towards the lease.
func (l *Learner) countResponse(from string, voter *voterState, number uint64) {
	answered := l.polls.find(number)
	if answered == nil {
		return
	}
	answered.respondedBy[from] = true
	if 2*len(answered.respondedBy) > len(l.addresses) {
		answered.majorityResponded = true
		l.lease.majorityRespondedAt = l.now
	}
	// What an earlier run of the voter was sent, this one has not received: its
	// delivery state is new.
	voter.statuses.acknowledge(number)
	if l.renewLease(answered) {
		l.polls.leaseRenewed(answered.sentAt)
	}
}

// renewLease takes the lease that a poll gives and reports whether it gives one: a
// majority of the voters of the newest membership answered it. A voter that holds a
// newer routing table than this process has learned does not count, so nobody has a
// lease under a table that is older than one that a majority confirmed (design 15.3).
func (l *Learner) renewLease(p *poll) bool {
	table := l.registers.committed[TableKey].Revision
	count := 0
	for address := range p.respondedBy {
		voter := l.voters[address]
		if voter != nil && l.isActiveVoter(address, voter) && voter.acceptedRevision(TableKey) <= table {
			count++
		}
	}
	if !l.membership.Known() || count < l.membership.Quorum() {
		return false
	}
	l.lease.until = max(l.lease.until, p.sentAt+LeaseDurationUs)
	if l.lease.voterForgottenAt > 0 && p.sentAt > l.lease.voterForgottenAt {
		l.lease.voterForgottenAt = 0
		l.dropLostRevisions()
	}
	return true
}

// recountLeases goes through the polls once more after another routing table was
// learned: answers that did not count before may do so now.
func (l *Learner) recountLeases() {
	if !l.registers.changed[TableKey] {
		return
	}
	for i := range l.polls.sent {
		l.renewLease(&l.polls.sent[i])
	}
}
