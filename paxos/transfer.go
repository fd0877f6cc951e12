package paxos

import (
	"maps"
	"slices"

	"stoneford/schema"
	"stoneford/statemachine"
)

// requestsPerSource is how often a newcomer asks one process for its state before
// it asks the next.
const requestsPerSource = 2

// requestState asks for what was held under the membership before this
// acceptor's, and of those that vote under it already. One that holds nothing of the
// membership before asks one process at a time: what it is sent may be large, and a
// single voter of the present membership is enough.
func (a *Acceptor) requestState(effects *Effects) {
	sources := statemachine.Rank(a.self, a.membership.Addresses())
	for _, address := range slices.Sorted(maps.Keys(a.membership.Previous)) {
		if !slices.Contains(sources, address) {
			sources = append(sources, address)
		}
	}
	sources = slices.DeleteFunc(sources, func(address string) bool { return address == a.self })
	if !a.votedPreviously(a.self, a.diskID) && len(sources) > 0 {
		next := a.stateRequestCount / requestsPerSource % len(sources)
		a.stateRequestCount++
		sources = sources[next : next+1]
	}
	for _, address := range sources {
		a.send(effects, address, &schema.Envelope{Body: &schema.Envelope_StateRequest{
			StateRequest: &schema.StateRequest{Membership: a.membership.Proto(), DiskId: a.diskID}}})
	}
	a.activate(effects)
}

// IsNewcomer reports whether this acceptor did not vote under the membership before
// the newest.
func (a *Acceptor) IsNewcomer() bool { return !a.votedPreviously(a.self, a.diskID) }

// votedPreviously reports whether a disk voted under the membership before the newest.
func (a *Acceptor) votedPreviously(address string, diskID uint64) bool {
	return hasVoter(a.membership.Previous, address, diskID)
}

// requestJoin asks the voters to be made one of them.
func (a *Acceptor) requestJoin(effects *Effects) {
	for _, address := range a.membership.Addresses() {
		if address != a.self {
			a.send(effects, address, &schema.Envelope{Body: &schema.Envelope_JoinRequest{JoinRequest: &schema.JoinRequest{
				DiskId: a.diskID, Zone: a.location.Zone, Region: a.location.Region, Eligible: a.location.Eligible, Membership: a.membership.Number}}})
		}
	}
}

func (a *Acceptor) handleJoinRequest(effects *Effects, now int64, from string, m *schema.JoinRequest) {
	if a.membership.HasVoter(from, m.DiskId) {
		a.sendMembershipNotice(effects, from) // it votes and does not know it yet
		return
	}
	a.candidates[from] = Candidate{Address: from, DiskID: m.DiskId, Zone: m.Zone, Region: m.Region, Eligible: m.Eligible, RequestedAt: now}
	if m.Membership < a.membership.Number {
		a.sendMembershipNotice(effects, from)
	}
}

// handleStateRequest hands out what this acceptor holds. The membership named is
// chosen, so from here on it votes under no earlier one.
func (a *Acceptor) handleStateRequest(effects *Effects, from string, m *schema.StateRequest) {
	wanted := MembershipFromProto(m.Membership)
	if wanted.Number < a.membership.Number {
		a.sendMembershipNotice(effects, from)
		return
	}
	if !a.trusts(from, wanted, nil) {
		return
	}
	a.adoptMembership(effects, wanted)
	if a.activeMembership+1 < wanted.Number || a.activeMembership == 0 {
		return // it never held what was chosen under the membership before
	}
	if a.activeMembership < wanted.Number && a.membership.HasVoter(a.self, a.diskID) && !a.votedPreviously(from, m.DiskId) {
		return // a newcomer is better served once this acceptor votes
	}
	a.send(effects, from, &schema.Envelope{Body: &schema.Envelope_StateResponse{StateResponse: &schema.StateResponse{
		Membership: wanted.Number, ActiveMembership: a.activeMembership, DiskId: a.diskID, Registers: a.registerStates()}}})
}

func (a *Acceptor) handleStateResponse(effects *Effects, from string, m *schema.StateResponse) {
	if m.Membership != a.membership.Number || a.activeMembership == a.membership.Number {
		return
	}
	current := m.ActiveMembership == a.membership.Number && a.membership.HasVoter(from, m.DiskId)
	previous := m.ActiveMembership+1 == a.membership.Number && a.votedPreviously(from, m.DiskId)
	if !current && !previous {
		return
	}
	a.stateResponses[from] = m
	a.activate(effects)
}

func hasVoter(voters map[string]uint64, address string, diskID uint64) bool {
	l, ok := voters[address]
	return ok && l == diskID
}

// activate has this acceptor vote under the newest membership once it holds all
// that may have been chosen before: what a voter under that membership holds, or
// what a majority of the voters under the one before held when they stopped
// (design 3.4).
func (a *Acceptor) activate(effects *Effects) {
	if a.activeMembership == a.membership.Number || !a.membership.HasVoter(a.self, a.diskID) {
		return
	}
	sources, enough := a.stateSources()
	if a.membership.Number == firstMembership {
		a.recordFirstMembership() // nothing was chosen before
	} else if !enough {
		return
	}
	for _, s := range sources {
		for _, c := range s.Registers {
			a.mergeRegister(effects, c)
		}
	}
	if a.ensureRegister(MembershipKey).value.GetRevision() < a.membership.Number {
		return // nobody who held the choice is among them, against design 3.4
	}
	a.activeMembership = a.membership.Number
	a.stateResponses = map[string]*schema.StateResponse{}
	for _, r := range a.registers {
		r.promised = cloneBallot(r.accepted) // promises of earlier memberships bind nobody now
	}
	effects.Log = append(effects.Log, a.Snapshot())
}

// stateSources are the states to begin with, and whether they are enough. What a voter
// under the present membership accepted under it is accepted here as if its
// proposer had sent it here: this acceptor has promised nothing under it.
func (a *Acceptor) stateSources() ([]*schema.StateResponse, bool) {
	var previous []*schema.StateResponse
	for _, from := range slices.Sorted(maps.Keys(a.stateResponses)) {
		s := a.stateResponses[from]
		if s.ActiveMembership == a.membership.Number {
			return []*schema.StateResponse{s}, true
		}
		previous = append(previous, s)
	}
	stateCount := len(previous)
	if a.activeMembership > 0 && a.activeMembership+1 == a.membership.Number && a.votedPreviously(a.self, a.diskID) {
		stateCount++ // what it holds itself
	}
	return previous, stateCount > len(a.membership.Previous)/2
}

// mergeRegister takes a register that another acceptor holds where it is newer.
func (a *Acceptor) mergeRegister(effects *Effects, c *schema.RegisterState) {
	r := a.ensureRegister(c.Key)
	if c.Value != nil && (r.value == nil || BallotLess(r.accepted, c.Accepted)) {
		r.accepted, r.value = cloneBallot(c.Accepted), c.Value
		effects.AcceptedKeys = append(effects.AcceptedKeys, c.Key)
	}
}
