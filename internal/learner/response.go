package learner

import (
	"slices"

	"stoneford/paxos"
	"stoneford/schema"
)

// Step handles a voter's poll response, or an update that a voter sent without a poll.
// Responses may be lost, late or duplicated. Of a response from a process that is not a
// voter, only the membership is used.
func (l *Learner) Step(now int64, from string, response *schema.PollResponse) {
	l.now = now
	if response.Membership != nil {
		l.SetMembership(now, paxos.MembershipFromProto(response.Membership))
	}
	voter := l.voters[from]
	if voter == nil || !l.polls.ofThisRun(response.Number) {
		return
	}
	for _, c := range response.Committed {
		l.learn(c.Key, c.Value.GetRevision(), c.Value.GetData(), c.Membership)
	}
	if l.inSequence(voter, response) {
		l.applyResponse(from, voter, response)
	}
	l.recountLeases()
}

// inSequence reports whether a response continues the known changes of the voter without
// a gap. If the response comes from a later run of the voter, it drops the state of the
// earlier run.
func (l *Learner) inSequence(voter *voterState, response *schema.PollResponse) bool {
	if response.VoterRun == voter.run {
		if response.SinceChange > voter.changeNumber {
			l.openGap(voter, response.Number)
			return false
		}
		return true
	}
	// The response comes from another run of the voter. This process's poll numbers
	// decide which of the two runs is later. The run numbers cannot, since the time of
	// day may step back.
	switch {
	case response.Number == 0:
		l.RequestPoll() // the response to a poll will decide
		return false
	case voter.run != 0 && response.Number <= voter.newestPoll:
		return false // the known run answered a later poll
	case response.SinceChange != 0:
		voter.run, voter.changeNumber = 0, 0 // the next poll asks for everything
		l.openGap(voter, response.Number)
		return false
	}
	*voter = *newVoterState(response.VoterRun)
	l.lease.voterForgottenAt = l.now
	return true
}

// openGap records that changes of a voter were lost. Until the voter receives the
// request to resend them, its responses have the same gap, which is not recorded again.
func (l *Learner) openGap(voter *voterState, number uint64) {
	if voter.gap.resendPoll > 0 && number < voter.gap.resendPoll && l.isInFlight(voter.gap.resendPoll) {
		return
	}
	voter.gap = gapState{open: true}
	l.RequestPoll()
}

// isInFlight reports whether a poll was sent less than pollLostTimeout ago.
func (l *Learner) isInFlight(number uint64) bool {
	return slices.ContainsFunc(l.polls.sent, func(p poll) bool {
		return p.number == number && l.now-p.sentAt < pollLostTimeout.Microseconds()
	})
}

// applyResponse applies the changes in a response and counts it towards the lease.
func (l *Learner) applyResponse(from string, voter *voterState, response *schema.PollResponse) {
	voter.gap.close(response.Number)
	voter.newestPoll = max(voter.newestPoll, response.Number)
	voter.lastResponse = l.now
	voter.activeMembership = response.ActiveMembership
	voter.poolNodes = int(response.PoolNodes)
	if response.Membership != nil { // otherwise disk and zone are unchanged
		voter.diskID, voter.zone = response.DiskId, response.Zone
	}
	voter.changeNumber = max(voter.changeNumber, response.ChangeNumber)
	for _, register := range response.Registers {
		l.observeRegister(voter, register)
	}
	for _, record := range response.Databases {
		l.databases.merge(record)
	}
	if response.Number > 0 {
		l.countResponse(from, voter, response.Number)
		l.inquiryAnswered(from, response.Number)
	}
}
