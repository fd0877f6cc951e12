package coordinator

import (
	"slices"

	"stoneford/paxos"
	"stoneford/ports"
	"stoneford/result"
	"stoneford/schema"
	"stoneford/step"
)

const (
	// replaceAfter is how long a voter is silent until another process may take its
	// place.
	replaceAfter = 2_000_000
	// candidateFor is how long a process that asked to vote stays a candidate.
	candidateFor = 2_500_000
	// handOver is how long a voter that leaves waits, after its place was taken, for
	// the others to vote.
	handOver = 1_500_000
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
func Restore(b ports.Boot, entries []*schema.VoterLog, life, run uint64) *Core {
	var founders []string
	if b.Bootstrap && len(entries) == 0 {
		founders = slices.Sorted(slices.Values(b.SeedVoters()))
	}
	place := paxos.Place{Zone: b.Zone, Region: b.Region, Counts: b.QuorumMember}
	acceptor := paxos.NewAcceptor(b.ControlNode(), life, place, founders)
	for _, entry := range entries {
		acceptor.Restore(entry)
	}
	return NewCore(b, acceptor, run)
}

// known reports whether this process knows who the voters are. Nothing is put to
// the vote before that.
func (c *Core) known() bool { return c.view.Membership().Known() }

// adopt takes a membership that is known to be chosen everywhere in this process.
func (c *Core) adopt(now int64, m paxos.Membership) {
	before := c.view.Membership()
	if c.view.SetMembership(now, m) {
		c.membershipChanged(now, before, m)
	}
}

// membershipChanged has the parts of this process go by a newer membership.
func (c *Core) membershipChanged(now int64, before, m paxos.Membership) {
	c.say(result.MembershipChosen, "%d: %v", m.Number, m.Addresses())
	c.proposer.SetMembership(now, m)
	c.noteMembership()
	for _, address := range m.Addresses() {
		if !before.Has(address, m.Voters[address]) && address != c.self {
			c.sendInstances(address)
		}
	}
}

// noteMembership has all that look here told the newest membership.
func (c *Core) noteMembership() {
	c.seq++
	c.membershipSeq = c.seq
	c.changed = true
}

// sendInstances sends all databases' records to a process that is to vote.
func (c *Core) sendInstances(to string) {
	var all []*schema.Record
	c.insts.Each("", func(r *schema.Record) { all = append(all, r) })
	if len(all) > 0 {
		c.send(step.Send{To: to, Env: &schema.Envelope{From: c.self, Body: &schema.Envelope_Announced{Announced: &schema.Announced{Instances: all}}}})
	}
}

// membershipTick has the acceptor go by the newest membership and puts a change of
// it to the vote when one is due.
func (c *Core) membershipTick(now int64) {
	if m := c.view.Membership(); m.Number > c.voter.Membership().Number && c.takes() {
		c.voted(now, c.voter.Adopt(m))
	}
	c.adopt(now, c.voter.Membership())
	if change, due := c.reconfigurer.Step(now, c.voter, c.survey(now)); due {
		c.ask(now, change, func(now int64, o paxos.Outcome) {
			c.reconfigurer.Done()
			if m, ok := paxos.ChosenMembership(o); ok {
				c.adopt(now, m)
			}
		})
	}
}

// survey is what this process knows of the voters and of those who ask to vote.
func (c *Core) survey(now int64) paxos.Survey {
	target := targetVoters(c.boot.LostAtOnce)
	s := paxos.Survey{Lost: map[string]bool{}, Zones: map[string]string{}, Regions: map[string]string{}, Target: target}
	for _, address := range c.view.Voters() {
		f := c.follow[address]
		silent := address != c.self && now-max(c.view.Heard(address), c.began) > replaceAfter
		s.Lost[address] = silent || f != nil && f.leaving && address != c.self || address == c.self && c.leaving
		zone := c.view.Zone(address)
		if address == c.self {
			zone = c.boot.Zone
		}
		s.Zones[address], s.Regions[address] = zone, c.boot.Zones[zone]
	}
	for _, candidate := range c.voter.Candidates(now, candidateFor) {
		if f := c.follow[candidate.Address]; f == nil || !f.leaving {
			s.Candidates = append(s.Candidates, candidate)
		}
	}
	if c.boot.LostAtOnce.Zones > 0 {
		s.MostInZone = (target - 1) / 2 / c.boot.LostAtOnce.Zones
	}
	if c.boot.LostAtOnce.Regions > 0 {
		s.MostInRegion = (target - 1) / 2 / c.boot.LostAtOnce.Regions
	}
	return s
}

// MayEnd reports whether this process, which leaves, has handed over its vote or has
// nobody to hand it to.
func (c *Core) MayEnd(now int64) bool {
	m := c.view.Membership()
	if m.Has(c.self, c.voter.Life()) {
		return !slices.ContainsFunc(c.voter.Candidates(now, candidateFor), func(o paxos.Candidate) bool { return o.Counts })
	}
	if c.removed == 0 {
		c.removed = now
	}
	active := 0
	for _, address := range m.Addresses() {
		if c.view.Active(address) {
			active++
		}
	}
	// What this process holds may be needed until a majority votes.
	return active == len(m.Voters) || active >= m.Quorum() && now-c.removed > handOver
}
