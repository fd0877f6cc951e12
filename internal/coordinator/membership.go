package coordinator

import (
	"slices"

	"stoneford/internal/ports"
	"stoneford/paxos"
	"stoneford/result"
	"stoneford/schema"
	"stoneford/statemachine"
)

const (
	// voterReplaceTimeout is how long a voter is silent until another process may take its
	// place.
	voterReplaceTimeout = 2_000_000
	// candidateTimeout is how long a process that asked to vote stays a candidate.
	candidateTimeout = 2_500_000
	// voteHandoverTimeout is how long a voter that leaves waits, after its place was taken, for
	// the others to vote.
	voteHandoverTimeout = 1_500_000
)

// targetVoters is how many voters it takes for a majority to be left of whatever
// may be lost at once.
func targetVoters(t ports.Tolerance) int {
	return 2*max(t.Machines, t.Zones, t.Regions) + 1
}

// Restore makes a control process of what its log holds; life is the identity of
// the disk, should it be empty, and must be random. Who votes is what the log says,
// or what other processes tell; on the first start of all the seeds found the first
// membership. A process that knows no voters and is not at the first start founds
// nothing: it asks.
func Restore(b ports.ProcessConfig, entries []*schema.WALEntry, life, run uint64) *Core {
	var founders []string
	if b.Bootstrap && len(entries) == 0 {
		founders = slices.Sorted(slices.Values(b.SeedVoterAddresses()))
	}
	place := paxos.Location{Zone: b.Zone, Region: b.Region, Eligible: b.QuorumMember}
	acceptor := paxos.NewAcceptor(b.ControlNodeAddress(), life, place, founders)
	for _, entry := range entries {
		acceptor.Restore(entry)
	}
	return NewCore(b, acceptor, run)
}

// membershipKnown reports whether this process knows who the voters are. Nothing is put to
// the vote before that.
func (c *Core) membershipKnown() bool { return c.learner.Membership().Known() }

// adoptMembership takes a membership that is known to be chosen everywhere in this process.
func (c *Core) adoptMembership(now int64, m paxos.Membership) {
	before := c.learner.Membership()
	if c.learner.SetMembership(now, m) {
		c.membershipChanged(now, before, m)
	}
}

// membershipChanged has the parts of this process go by a newer membership.
func (c *Core) membershipChanged(now int64, before, m paxos.Membership) {
	c.logf(result.MembershipChosen, "%d: %v", m.Number, m.Addresses())
	c.proposer.SetMembership(now, m)
	c.membershipToReport()
	for _, address := range m.Addresses() {
		if !before.HasVoter(address, m.Voters[address]) && address != c.self {
			c.sendInstances(address)
		}
	}
}

// membershipToReport has all that look here told the newest membership.
func (c *Core) membershipToReport() {
	c.changeNumber++
	c.membershipChange = c.changeNumber
	c.pushNeeded = true
}

// sendInstances sends all databases' records to a process that is to vote.
func (c *Core) sendInstances(to string) {
	var all []*schema.Record
	c.databases.ForEach("", func(r *schema.Record) { all = append(all, r) })
	if len(all) > 0 {
		c.send(statemachine.Send{To: to, Envelope: &schema.Envelope{From: c.self, Body: &schema.Envelope_AnnouncementForward{AnnouncementForward: &schema.AnnouncementForward{Databases: all}}}})
	}
}

// tickMembership has the acceptor go by the newest membership and puts a change of
// it to the vote when one is due.
func (c *Core) tickMembership(now int64) {
	if m := c.learner.Membership(); m.Number > c.acceptor.Membership().Number && c.acceptorAvailable() {
		c.holdAcceptorEffects(now, c.acceptor.AdoptMembership(m))
	}
	c.adoptMembership(now, c.acceptor.Membership())
	if change, due := c.reconfigurer.Step(now, c.acceptor, c.survey(now)); due {
		c.propose(now, change, func(now int64, o paxos.Outcome) {
			c.reconfigurer.Done()
			if m, ok := paxos.ChosenMembership(o); ok {
				c.adoptMembership(now, m)
			}
		})
	}
}

// survey is what this process knows of the voters and of those who ask to vote.
func (c *Core) survey(now int64) paxos.PlanningInput {
	target := targetVoters(c.config.Tolerance)
	s := paxos.PlanningInput{Unavailable: map[string]bool{}, Zones: map[string]string{}, Regions: map[string]string{}, TargetVoters: target}
	for _, address := range c.learner.Voters() {
		f := c.pollers[address]
		silent := address != c.self && now-max(c.learner.LastResponse(address), c.startedAt) > voterReplaceTimeout
		s.Unavailable[address] = silent || f != nil && f.draining && address != c.self || address == c.self && c.draining
		zone := c.learner.Zone(address)
		if address == c.self {
			zone = c.config.Zone
		}
		s.Zones[address], s.Regions[address] = zone, c.config.Zones[zone]
	}
	for _, candidate := range c.acceptor.Candidates(now, candidateTimeout) {
		if f := c.pollers[candidate.Address]; f == nil || !f.draining {
			s.Candidates = append(s.Candidates, candidate)
		}
	}
	if c.config.Tolerance.Zones > 0 {
		s.MaxPerZone = (target - 1) / 2 / c.config.Tolerance.Zones
	}
	if c.config.Tolerance.Regions > 0 {
		s.MaxPerRegion = (target - 1) / 2 / c.config.Tolerance.Regions
	}
	return s
}

// MayStop reports whether this process, which leaves, has handed over its vote or has
// nobody to hand it to.
func (c *Core) MayStop(now int64) bool {
	m := c.learner.Membership()
	if m.HasVoter(c.self, c.acceptor.DiskID()) {
		return !slices.ContainsFunc(c.acceptor.Candidates(now, candidateTimeout), func(o paxos.Candidate) bool { return o.Eligible })
	}
	if c.removedAt == 0 {
		c.removedAt = now
	}
	active := 0
	for _, address := range m.Addresses() {
		if c.learner.Active(address) {
			active++
		}
	}
	// What this process holds may be needed until a majority votes.
	return active == len(m.Voters) || active >= m.Quorum() && now-c.removedAt > voteHandoverTimeout
}
