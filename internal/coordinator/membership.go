package coordinator

import (
	"slices"
	"time"

	"stoneford/internal/ports"
	"stoneford/paxos"
	"stoneford/result"
)

const (
	// voterReplaceTimeout is the time without a response after which a voter may be
	// replaced. A shorter time would replace voters that are only slow; a longer one would
	// leave the cluster longer with fewer spare voters than its fault tolerance requires.
	voterReplaceTimeout = 2 * time.Second
	// candidateTimeout is how long a process that requested to vote remains a candidate.
	candidateTimeout = 2500 * time.Millisecond
	// handoverTimeout is how long a voter that shuts down waits, after it was replaced,
	// for all new voters to vote. After that it may stop if a majority votes.
	handoverTimeout = 1500 * time.Millisecond
)

// targetVoters returns the number of voters needed so that a majority survives every loss
// that the configured tolerance covers.
func targetVoters(t ports.Tolerance) int {
	return 2*max(t.Machines, t.Zones, t.Regions) + 1
}

// membershipKnown reports whether this process knows the voters. It proposes nothing
// before that.
func (c *Core) membershipKnown() bool { return c.learner.Membership().Known() }

// adoptMembership switches to a committed membership if it is newer than the current one.
// It sends all database records to the new voters.
func (c *Core) adoptMembership(now int64, membership paxos.Membership) {
	before := c.learner.Membership()
	if !c.learner.SetMembership(now, membership) {
		return
	}
	c.logf(result.MembershipChosen, "%d: %v", membership.Number, membership.Addresses())
	c.proposer.SetMembership(now, membership)
	c.changes.membershipChanged()
	for _, address := range membership.Addresses() {
		if !before.HasVoter(address, membership.Voters[address]) && address != c.self {
			c.sendDatabaseRecords(address)
		}
	}
}

// tickMembership passes the newest membership to the acceptor and proposes a change of the
// membership when one is due.
func (c *Core) tickMembership(now int64) {
	if m := c.learner.Membership(); m.Number > c.acceptor.Membership().Number && c.disk.available() {
		c.deferAcceptorEffects(now, c.acceptor.AdoptMembership(m))
	}
	c.adoptMembership(now, c.acceptor.Membership())
	change, due := c.reconfigurer.Step(now, c.acceptor, c.planningInput(now))
	if !due {
		return
	}
	c.propose(now, change, func(now int64, outcome paxos.Outcome) {
		c.reconfigurer.ChangeEnded()
		if m, ok := paxos.ChosenMembership(outcome); ok {
			c.adoptMembership(now, m)
		}
	})
}

// planningInput returns what this process knows about the voters and the candidates.
func (c *Core) planningInput(now int64) paxos.PlanningInput {
	tolerance := c.config.Tolerance
	target := targetVoters(tolerance)
	input := paxos.PlanningInput{
		Unavailable:  map[string]bool{},
		Zones:        map[string]string{},
		Regions:      map[string]string{},
		TargetVoters: target,
	}
	for _, address := range c.learner.Voters() {
		zone := c.voterZone(address)
		input.Unavailable[address] = c.voterUnavailable(now, address)
		input.Zones[address], input.Regions[address] = zone, c.config.Zones[zone]
	}
	for _, candidate := range c.acceptor.Candidates(now, candidateTimeout.Microseconds()) {
		if p := c.pollers[candidate.Address]; p == nil || !p.draining {
			input.Candidates = append(input.Candidates, candidate)
		}
	}
	minority := (target - 1) / 2
	if tolerance.Zones > 0 {
		input.MaxPerZone = minority / tolerance.Zones
	}
	if tolerance.Regions > 0 {
		input.MaxPerRegion = minority / tolerance.Regions
	}
	return input
}

// voterUnavailable reports whether a voter may be replaced: it has not responded for
// voterReplaceTimeout, or it is draining.
func (c *Core) voterUnavailable(now int64, address string) bool {
	if address == c.self {
		return c.shutdown.draining
	}
	if now-max(c.learner.LastResponse(address), c.startedAt) > voterReplaceTimeout.Microseconds() {
		return true
	}
	p := c.pollers[address]
	return p != nil && p.draining
}

// voterZone returns the zone of a voter.
func (c *Core) voterZone(address string) string {
	if address == c.self {
		return c.config.Zone
	}
	return c.learner.Zone(address)
}

// MayStop reports whether this process, which is shutting down, has handed over its vote
// or has no candidate to hand it to.
func (c *Core) MayStop(now int64) bool {
	membership := c.learner.Membership()
	if membership.HasVoter(c.self, c.acceptor.DiskID()) {
		candidates := c.acceptor.Candidates(now, candidateTimeout.Microseconds())
		return !slices.ContainsFunc(candidates, func(candidate paxos.Candidate) bool { return candidate.Eligible })
	}
	if c.shutdown.removedAt == 0 {
		c.shutdown.removedAt = now
	}
	active := 0
	for _, address := range membership.Addresses() {
		if c.learner.Active(address) {
			active++
		}
	}
	if active == len(membership.Voters) {
		return true
	}
	// This process's state may be needed until a majority of the new voters votes.
	return active >= membership.Quorum() && now-c.shutdown.removedAt > handoverTimeout.Microseconds()
}
