package paxos

import (
	"maps"
	"slices"

	"stoneford/schema"
)

// tickJoin sends join requests, unless the process is draining. After
// maxQuickJoinRequests requests it sends them less often.
func (a *Acceptor) tickJoin(effects *Effects, now int64) {
	if a.transfer.joinRequests++; a.transfer.joinRequests > maxQuickJoinRequests {
		a.nextRequestAt = now + spareRequestInterval.Microseconds()
	}
	if !a.draining {
		a.requestJoin(effects)
	}
}

// requestJoin sends a join request to all voters.
func (a *Acceptor) requestJoin(effects *Effects) {
	for _, address := range a.membership.Addresses() {
		if address == a.self {
			continue
		}
		a.send(effects, address, &schema.Envelope{Body: &schema.Envelope_JoinRequest{JoinRequest: &schema.JoinRequest{
			DiskId:     a.diskID,
			Zone:       a.location.Zone,
			Region:     a.location.Region,
			Eligible:   a.location.Eligible,
			Membership: a.membership.Number,
		}}})
	}
}

// handleJoinRequest records a candidate. If the sender is a voter already or knows only
// an older membership, it is sent the newest membership.
func (a *Acceptor) handleJoinRequest(effects *Effects, now int64, from string, m *schema.JoinRequest) {
	if a.membership.HasVoter(from, m.DiskId) {
		a.sendMembershipNotice(effects, from)
		return
	}
	a.candidates[from] = Candidate{
		Address:     from,
		DiskID:      m.DiskId,
		Zone:        m.Zone,
		Region:      m.Region,
		Eligible:    m.Eligible,
		RequestedAt: now,
	}
	if m.Membership < a.membership.Number {
		a.sendMembershipNotice(effects, from)
	}
}

// Candidates returns the processes that are not voters and whose latest join request is
// less than maxAgeUs microseconds old, sorted by address.
func (a *Acceptor) Candidates(now, maxAgeUs int64) []Candidate {
	var candidates []Candidate
	for _, address := range slices.Sorted(maps.Keys(a.candidates)) {
		candidate := a.candidates[address]
		if now-candidate.RequestedAt < maxAgeUs && !a.membership.HasVoter(candidate.Address, candidate.DiskID) {
			candidates = append(candidates, candidate)
		}
	}
	return candidates
}
