package paxos

import (
	"maps"
	"slices"

	"stoneford/schema"
	"stoneford/step"
)

// requestsPerSource is how often a newcomer asks one process for its state before
// it asks the next.
const requestsPerSource = 2

// requestState asks for what was held under the membership before this
// acceptor's, and of those that vote under it already. One that holds nothing of the
// membership before asks one process at a time: what it is sent may be large, and a
// single voter of the present membership is enough.
func (a *Acceptor) requestState(fx *Effects) {
	sources := step.Rank(a.self, a.membership.Addresses())
	for _, address := range slices.Sorted(maps.Keys(a.membership.Previous)) {
		if !slices.Contains(sources, address) {
			sources = append(sources, address)
		}
	}
	sources = slices.DeleteFunc(sources, func(address string) bool { return address == a.self })
	if !a.held(a.self, a.life) && len(sources) > 0 {
		at := a.asked / requestsPerSource % len(sources)
		a.asked++
		sources = sources[at : at+1]
	}
	for _, address := range sources {
		a.send(fx, address, &schema.Envelope{Body: &schema.Envelope_StateRequest{
			StateRequest: &schema.StateRequest{Membership: a.membership.Message(), Life: a.life}}})
	}
	a.activate(fx)
}

// Newcomer reports whether this acceptor did not vote under the membership before
// the newest.
func (a *Acceptor) Newcomer() bool { return !a.held(a.self, a.life) }

// held reports whether a disk voted under the membership before the newest.
func (a *Acceptor) held(address string, life uint64) bool {
	return holds(a.membership.Previous, address, life)
}

// requestVote asks the voters to be made one of them.
func (a *Acceptor) requestVote(fx *Effects) {
	for _, address := range a.membership.Addresses() {
		if address != a.self {
			a.send(fx, address, &schema.Envelope{Body: &schema.Envelope_JoinRequest{JoinRequest: &schema.JoinRequest{
				Life: a.life, Zone: a.place.Zone, Region: a.place.Region, Counts: a.place.Counts, Membership: a.membership.Number}}})
		}
	}
}

func (a *Acceptor) joinRequested(fx *Effects, now int64, from string, m *schema.JoinRequest) {
	if a.membership.Has(from, m.Life) {
		a.notify(fx, from) // it votes and does not know it yet
		return
	}
	a.candidates[from] = Candidate{Address: from, Life: m.Life, Zone: m.Zone, Region: m.Region, Counts: m.Counts, At: now}
	if m.Membership < a.membership.Number {
		a.notify(fx, from)
	}
}

// stateRequested hands out what this acceptor holds. The membership named is
// chosen, so from here on it votes under no earlier one.
func (a *Acceptor) stateRequested(fx *Effects, from string, m *schema.StateRequest) {
	wanted := ReadMembership(m.Membership)
	if wanted.Number < a.membership.Number {
		a.notify(fx, from)
		return
	}
	if !a.trusts(from, wanted, nil) {
		return
	}
	a.adopt(fx, wanted)
	if a.active+1 < wanted.Number || a.active == 0 {
		return // it never held what was chosen under the membership before
	}
	if a.active < wanted.Number && a.membership.Has(a.self, a.life) && !a.held(from, m.Life) {
		return // a newcomer is better served once this acceptor votes
	}
	a.send(fx, from, &schema.Envelope{Body: &schema.Envelope_StateResponse{StateResponse: &schema.StateResponse{
		Membership: wanted.Number, Active: a.active, Life: a.life, Cells: a.cells()}}})
}

func (a *Acceptor) stateReceived(fx *Effects, from string, m *schema.StateResponse) {
	if m.Membership != a.membership.Number || a.active == a.membership.Number {
		return
	}
	current := m.Active == a.membership.Number && a.membership.Has(from, m.Life)
	previous := m.Active+1 == a.membership.Number && a.held(from, m.Life)
	if !current && !previous {
		return
	}
	a.states[from] = m
	a.activate(fx)
}

func holds(voters map[string]uint64, address string, life uint64) bool {
	l, ok := voters[address]
	return ok && l == life
}

// activate has this acceptor vote under the newest membership once it holds all
// that may have been chosen before: what a voter under that membership holds, or
// what a majority of the voters under the one before held when they stopped
// (design 3.4).
func (a *Acceptor) activate(fx *Effects) {
	if a.active == a.membership.Number || !a.membership.Has(a.self, a.life) {
		return
	}
	sources, enough := a.sources()
	if a.membership.Number == firstMembership {
		a.recordMembership() // nothing was chosen before
	} else if !enough {
		return
	}
	for _, s := range sources {
		for _, c := range s.Cells {
			a.merge(fx, c)
		}
	}
	if a.at(MembershipKey).value.GetRevision() < a.membership.Number {
		return // nobody who held the choice is among them, against design 3.4
	}
	a.active = a.membership.Number
	a.states = map[string]*schema.StateResponse{}
	for _, r := range a.registers {
		r.promised = copyBallot(r.accepted) // promises of earlier memberships bind nobody now
	}
	fx.Log = append(fx.Log, a.Snapshot())
}

// sources are the states to begin with, and whether they are enough. What a voter
// under the present membership accepted under it is accepted here as if its
// proposer had sent it here: this acceptor has promised nothing under it.
func (a *Acceptor) sources() ([]*schema.StateResponse, bool) {
	var previous []*schema.StateResponse
	for _, from := range slices.Sorted(maps.Keys(a.states)) {
		s := a.states[from]
		if s.Active == a.membership.Number {
			return []*schema.StateResponse{s}, true
		}
		previous = append(previous, s)
	}
	held := len(previous)
	if a.active > 0 && a.active+1 == a.membership.Number && a.held(a.self, a.life) {
		held++ // what it holds itself
	}
	return previous, held > len(a.membership.Previous)/2
}

// merge takes a register that another acceptor holds where it is newer.
func (a *Acceptor) merge(fx *Effects, c *schema.Cell) {
	r := a.at(c.Key)
	if c.Value != nil && (r.value == nil || Less(r.accepted, c.Accepted)) {
		r.accepted, r.value = copyBallot(c.Accepted), c.Value
		fx.Accepted = append(fx.Accepted, c.Key)
	}
}
