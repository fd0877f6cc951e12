package coordinator

import (
	"strings"

	"stoneford/internal/learner"
	"stoneford/schema"
)

// A change of primary begins with a revision of the leadership that freezes the replicas
// (the freeze). Pool nodes may use an earlier revision until their leases end. The change
// continues once no node relies on an earlier revision: a majority of the voters has
// cleared the freeze, each for the nodes whose polls it answered (design 14.6).

// freezeState tracks a group's newest freeze at this voter.
type freezeState struct {
	revision   uint64 // leadership revision of the newest freeze that this voter accepted
	acceptedAt int64  // time at which that revision was on disk
	// polledBefore holds the addresses of the pool nodes whose lease may depend on a
	// response that this voter sent before acceptedAt.
	polledBefore map[string]bool
	cleared      uint64 // newest freeze that this voter has cleared
	reported     uint64 // newest cleared freeze that was reported to the other voters
}

// pending reports whether this voter has not cleared the newest freeze yet.
func (f *freezeState) pending() bool { return f.revision > f.cleared }

// trackFreeze records the time at which this voter first accepted a freeze, and the pool
// nodes that polled before and may still use an earlier revision.
func (c *Core) trackFreeze(now int64, register *schema.RegisterState) {
	name, ok := strings.CutPrefix(register.Key, learner.LeaderPrefix)
	if !ok {
		return
	}
	leadership := learner.DecodeLeadership(learner.CommittedValue{Data: register.GetValue().GetData()})
	f := &c.group(name).freeze
	if leadership.FreezeRevision <= f.revision {
		return
	}
	f.revision, f.acceptedAt, f.polledBefore = leadership.FreezeRevision, now, map[string]bool{}
	for address, p := range c.pollers {
		if p.isPoolNode() && now-p.lastResponse < learner.LeaseEndBoundUs {
			f.polledBefore[address] = true
		}
	}
}

// clearFreeze clears a group's newest freeze at this voter if possible, and polls the other
// voters to report it.
func (c *Core) clearFreeze(now int64, name string, g *group) {
	if !g.freeze.pending() || !c.freezeClearedLocally(now, name, g) {
		return
	}
	g.freeze.cleared = g.freeze.revision
	if g.freeze.reported < g.freeze.cleared {
		c.learner.RequestPoll()
	}
}

// freezeClearedLocally reports whether no node relies any longer on a response that this
// voter sent before it accepted the newest freeze.
func (c *Core) freezeClearedLocally(now int64, name string, g *group) bool {
	if !c.disk.votedSince(now, learner.LeaseEndBound) {
		return false // the answers of the previous membership's voters are unknown here
	}
	if now-g.freeze.acceptedAt >= learner.LeaseEndBoundUs {
		return true
	}
	if now-c.startedAt < learner.LeaseEndBoundUs {
		return false // the answers of an earlier run are unknown here
	}
	for address := range g.freeze.polledBefore {
		p := c.pollers[address]
		if p == nil || p.groupStatuses[name].GetRevision() < g.freeze.revision {
			return false
		}
	}
	return true
}

// majorityCleared reports whether a majority of the voters has cleared a freeze.
func (c *Core) majorityCleared(name string, g *group, revision uint64) bool {
	if revision == 0 {
		return false
	}
	count := 0
	for _, address := range c.learner.Voters() {
		if c.voterCleared(address, name, g, revision) {
			count++
		}
	}
	return count > len(c.learner.Voters())/2
}

// voterCleared reports whether a voter, this one or another, has cleared a freeze.
func (c *Core) voterCleared(address, name string, g *group, revision uint64) bool {
	if address == c.self {
		return g.freeze.revision >= revision && g.freeze.cleared >= revision
	}
	p := c.pollers[address]
	if p == nil {
		return false
	}
	// In a voter's status, Idle means that the voter has cleared the freeze.
	status := p.groupStatuses[name]
	return status.GetIdle() && status.Revision >= revision
}
