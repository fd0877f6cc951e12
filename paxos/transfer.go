package paxos

import (
	"maps"
	"slices"

	"stoneford/schema"
	"stoneford/statemachine"
)

// requestsPerSource is the number of requests that a newcomer sends to one process for
// its state before it turns to the next process.
const requestsPerSource = 2

// stateTransfer holds an acceptor's progress towards voting under the newest membership.
// It is reset for each new membership.
type stateTransfer struct {
	responses     map[string]*schema.StateResponse // by sender
	stateRequests int                              // number of times that state was requested
	joinRequests  int                              // number of times that join requests were due
}

func newStateTransfer() stateTransfer {
	return stateTransfer{responses: map[string]*schema.StateResponse{}}
}

// IsNewcomer reports whether this acceptor is not a voter of the membership before the
// newest one.
func (a *Acceptor) IsNewcomer() bool { return !a.votedPreviously(a.self, a.diskID) }

// votedPreviously reports whether a disk is a voter of the membership before the newest
// one.
func (a *Acceptor) votedPreviously(address string, diskID uint64) bool {
	return hasVoter(a.membership.Previous, address, diskID)
}

// requestState requests the state of the voters of the newest membership and of the one
// before it. A newcomer sends its request to one process at a time: a state may be
// large, and that of a single voter of the newest membership suffices.
func (a *Acceptor) requestState(effects *Effects) {
	sources := a.stateSources()
	if a.IsNewcomer() && len(sources) > 0 {
		next := a.transfer.stateRequests / requestsPerSource % len(sources)
		a.transfer.stateRequests++
		sources = sources[next : next+1]
	}
	for _, address := range sources {
		a.send(effects, address, &schema.Envelope{Body: &schema.Envelope_StateRequest{
			StateRequest: &schema.StateRequest{Membership: a.membership.Proto(), DiskId: a.diskID}}})
	}
	a.activate(effects)
}

// stateSources returns the addresses to request state from: the voters, in an order that
// depends on this process in order to spread the load, then the voters of the membership
// before.
func (a *Acceptor) stateSources() []string {
	sources := statemachine.Rank(a.self, a.membership.Addresses())
	for _, address := range slices.Sorted(maps.Keys(a.membership.Previous)) {
		if !slices.Contains(sources, address) {
			sources = append(sources, address)
		}
	}
	return slices.DeleteFunc(sources, func(address string) bool { return address == a.self })
}

// handleStateRequest sends this acceptor's state to the requester. The membership that
// the request names is chosen, so this acceptor adopts it and no longer votes under
// earlier ones.
func (a *Acceptor) handleStateRequest(effects *Effects, from string, m *schema.StateRequest) {
	wanted := MembershipFromProto(m.Membership)
	if wanted.Number < a.membership.Number {
		a.sendMembershipNotice(effects, from)
		return
	}
	if !a.mayAdoptFrom(from, wanted, nil) {
		return
	}
	a.adoptMembership(effects, wanted)
	if a.activeMembership+1 < wanted.Number || a.activeMembership == 0 {
		return // this acceptor lacks values chosen under the membership before
	}
	becomesVoter := a.activeMembership < wanted.Number && a.membership.HasVoter(a.self, a.diskID)
	if becomesVoter && !a.votedPreviously(from, m.DiskId) {
		return // reply to a newcomer only once this acceptor votes: that state suffices alone
	}
	a.send(effects, from, &schema.Envelope{Body: &schema.Envelope_StateResponse{StateResponse: &schema.StateResponse{
		Membership:       wanted.Number,
		ActiveMembership: a.activeMembership,
		DiskId:           a.diskID,
		Registers:        a.registerStates(),
	}}})
}

// handleStateResponse stores the state of a voter of the newest membership or of the
// one before it, and activates this acceptor if the stored states suffice.
func (a *Acceptor) handleStateResponse(effects *Effects, from string, m *schema.StateResponse) {
	if m.Membership != a.membership.Number || a.activeMembership == a.membership.Number {
		return
	}
	current := m.ActiveMembership == a.membership.Number && a.membership.HasVoter(from, m.DiskId)
	previous := m.ActiveMembership+1 == a.membership.Number && a.votedPreviously(from, m.DiskId)
	if !current && !previous {
		return
	}
	a.transfer.responses[from] = m
	a.activate(effects)
}

// activate makes this acceptor a voter of the newest membership once it holds everything
// that may have been chosen under earlier ones. For that it needs the state of one voter
// of the newest membership, or the final states of a majority of the previous voters
// (design 3.4).
func (a *Acceptor) activate(effects *Effects) {
	if a.activeMembership == a.membership.Number || !a.membership.HasVoter(a.self, a.diskID) {
		return
	}
	responses, sufficient := a.sufficientResponses()
	if a.membership.Number == firstMembership {
		a.recordFirstMembership() // no state is needed: nothing can have been chosen before
	} else if !sufficient {
		return
	}
	for _, response := range responses {
		for _, state := range response.Registers {
			a.mergeRegister(effects, state)
		}
	}
	if a.ensureRegister(MembershipKey).value.GetRevision() < a.membership.Number {
		return // no source has accepted this membership, which design 3.4 rules out
	}
	a.activeMembership = a.membership.Number
	a.transfer.responses = map[string]*schema.StateResponse{}
	for _, r := range a.registers {
		r.promised = cloneBallot(r.accepted) // promises made under earlier memberships are void
	}
	effects.Log = append(effects.Log, a.Snapshot())
}

// sufficientResponses returns the states to start voting from, and whether they suffice.
// Values accepted by a voter of the newest membership may be adopted as accepted here,
// as if their proposer had sent them here: this acceptor has not promised anything yet.
func (a *Acceptor) sufficientResponses() ([]*schema.StateResponse, bool) {
	var previous []*schema.StateResponse
	for _, from := range slices.Sorted(maps.Keys(a.transfer.responses)) {
		response := a.transfer.responses[from]
		if response.ActiveMembership == a.membership.Number {
			return []*schema.StateResponse{response}, true
		}
		previous = append(previous, response)
	}
	stateCount := len(previous)
	if a.activeMembership > 0 && a.activeMembership+1 == a.membership.Number && !a.IsNewcomer() {
		stateCount++ // this acceptor's own state
	}
	return previous, stateCount > len(a.membership.Previous)/2
}

// mergeRegister adopts the value of another acceptor's register if that value was
// accepted at a higher ballot.
func (a *Acceptor) mergeRegister(effects *Effects, state *schema.RegisterState) {
	r := a.ensureRegister(state.Key)
	if state.Value != nil && (r.value == nil || BallotLess(r.accepted, state.Accepted)) {
		r.accepted, r.value = cloneBallot(state.Accepted), state.Value
		effects.AcceptedKeys = append(effects.AcceptedKeys, state.Key)
	}
}
