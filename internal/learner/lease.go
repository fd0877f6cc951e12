package learner

// leaseState holds the end of the lease and the times that affect lease checks.
type leaseState struct {
	until int64 // end of the lease, 0 if there was none
	// majorityRespondedAt is the last time at which a poll had answers from a majority.
	majorityRespondedAt int64
	// disconnectedAt is the last time at which no majority had answered a poll for
	// responsiveWindow, or at which this process turned out to have been suspended.
	disconnectedAt int64
	// voterForgottenAt is the time at which a voter's state was last dropped, 0 if a
	// lease was renewed since.
	voterForgottenAt int64
}

// LeaseUntil returns the end of the lease by this process's clock. Until then the values
// known here are the newest that any process acted upon, except for unconfirmed keys.
func (l *Learner) LeaseUntil() int64 { return l.lease.until }

// countResponse counts a voter's response to a poll towards the lease.
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
	// A voter that restarted has new delivery state, so statuses that were sent to its
	// earlier run are not acknowledged here.
	voter.statuses.acknowledge(number)
	if l.renewLease(answered) {
		l.polls.leaseRenewed(answered.sentAt)
	}
}

// renewLease extends the lease if a majority of the voters of the newest membership
// answered the poll, and reports whether that is the case. A voter that holds a newer
// routing table than this process has learned does not count. So no process has a
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

// recountLeases evaluates the remembered polls again after another routing table was
// learned, since responses that did not count before may count now.
func (l *Learner) recountLeases() {
	if !l.registers.changed[TableKey] {
		return
	}
	for i := range l.polls.sent {
		l.renewLease(&l.polls.sent[i])
	}
}
