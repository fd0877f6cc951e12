package learner

import (
	"slices"

	"stoneford/paxos"
)

// maxSeedAddresses bounds the number of processes to which AddSeedAddress extends the
// polling while the voters are unknown.
const maxSeedAddresses = 16

// SetSeedAddresses replaces Config.SeedAddresses. While the voters are unknown, the learner
// polls the new addresses instead of all earlier ones, also instead of those that
// AddSeedAddress added.
func (l *Learner) SetSeedAddresses(seeds []string) {
	l.config.SeedAddresses = slices.Clone(seeds)
	if !l.membership.Known() {
		l.setAddresses(seeds)
	}
}

// AddSeedAddress makes the learner poll another control process while the voters are
// unknown, since all configured seeds may be gone. Once they are known it does nothing.
func (l *Learner) AddSeedAddress(address string) {
	if l.membership.Known() || slices.Contains(l.addresses, address) || len(l.addresses) >= maxSeedAddresses {
		return
	}
	l.setAddresses(append(slices.Clone(l.addresses), address))
	l.RequestPoll()
}

// SetMembership records a committed membership and reports whether it is newer than the
// known one.
func (l *Learner) SetMembership(now int64, membership paxos.Membership) bool {
	if membership.Number <= l.membership.Number {
		return false
	}
	l.now = max(l.now, now)
	l.membership = membership
	l.setAddresses(membership.Addresses())
	l.RequestPoll()
	return true
}

// setAddresses sets the processes to poll and drops the state of all others.
func (l *Learner) setAddresses(addresses []string) {
	l.addresses = slices.Clone(addresses)
	for _, address := range addresses {
		if l.voters[address] == nil {
			l.voters[address] = newVoterState(0)
		}
	}
	for address := range l.voters {
		if !slices.Contains(addresses, address) {
			delete(l.voters, address)
			l.lease.voterForgottenAt = l.now
		}
	}
}

// Membership returns the newest membership known to be committed.
func (l *Learner) Membership() paxos.Membership { return l.membership }

// Voters returns the voters' addresses. While no voter is known, it returns the seeds and
// the addresses that AddSeedAddress added.
func (l *Learner) Voters() []string { return l.addresses }

// Active reports whether a voter votes under the newest membership, by its own report.
func (l *Learner) Active(address string) bool {
	voter := l.voters[address]
	return voter != nil && l.isActiveVoter(address, voter)
}

// isActiveVoter reports whether a voter counts towards a majority. It does if it votes
// under the newest membership known here, with the disk that the membership names.
func (l *Learner) isActiveVoter(address string, voter *voterState) bool {
	return l.membership.Known() && voter.activeMembership == l.membership.Number && l.membership.HasVoter(address, voter.diskID)
}

// Zone returns the zone that a voter reported, empty if it reported none.
func (l *Learner) Zone(address string) string {
	if voter := l.voters[address]; voter != nil {
		return voter.zone
	}
	return ""
}

// LastResponse returns the time at which a voter last answered a poll or sent an
// update, 0 for never.
func (l *Learner) LastResponse(address string) int64 {
	if voter := l.voters[address]; voter != nil {
		return voter.lastResponse
	}
	return 0
}

// PoolNodes returns the number of pool nodes that poll the voters. It is the highest
// number that any voter reports, since a voter that just started knows only a few.
func (l *Learner) PoolNodes() int {
	nodes := 0
	for _, voter := range l.voters {
		nodes = max(nodes, voter.poolNodes)
	}
	return nodes
}
