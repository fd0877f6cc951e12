package coordinator

import (
	"maps"
	"math"
	"slices"

	"stoneford/internal/learner"
	"stoneford/schema"
)

// A move of a primary is committed only once the routing table that orders it has
// converged: no process holds, or will hold, a lease while it applies an older table
// (design 15.3). Each voter reports the newest table for which this is true of the
// leases that depend on its own poll responses. A lease depends on a majority of the
// voters, so the reports of a majority are sufficient.

// maxLaggingNames limits how many processes with an older table are reported by name.
const maxLaggingNames = 8

// convergence holds the revisions of the routing table's register up to which processes
// have converged.
type convergence struct {
	byVoter map[string]uint64 // reported by each voter, including this one, by address
	local   uint64            // reported by this voter
}

// recordPollerTable records the routing table that a poller has applied. If the poller is
// a voter, it also records what the voter reports about the processes that poll it.
func (c *Core) recordPollerTable(now int64, from string, p *poller, poll *schema.Poll) {
	known := p.tables[poll.Run]
	p.tables[poll.Run] = polledTable{polledAt: now, revision: max(known.revision, poll.TableRevision)}
	maps.DeleteFunc(p.tables, func(_ uint64, t polledTable) bool { return now-t.polledAt > 2*learner.LeaseEndBoundUs })
	p.lagging = poll.Lagging
	if poll.ConvergedTable > c.convergence.byVoter[from] && slices.Contains(c.learner.Voters(), from) {
		c.convergence.byVoter[from] = poll.ConvergedTable // convergence of a revision is permanent
		c.requestPlacedGroupSteps()
	}
}

// locallyConverged returns the newest routing table revision for which no process holds,
// or will hold, a lease that depends on this voter while it applies an older table. All
// processes that polled within the maximum duration of a lease have applied this revision,
// and all later poll responses of this voter include it, because it is on this voter's
// disk.
func (c *Core) locallyConverged(now int64) uint64 {
	if !c.isVoting() || now-c.startedAt < learner.LeaseEndBoundUs || !c.disk.votedSince(now, learner.LeaseEndBound) {
		return 0 // the answers of an earlier run, or of earlier voters, are unknown here
	}
	lowest := min(c.acceptor.RegisterState(learner.TableKey).GetValue().GetRevision(), c.table.revision)
	for _, p := range c.pollers {
		for _, t := range p.tables {
			if t.mayHaveLease(now) {
				lowest = min(lowest, t.revision)
			}
		}
	}
	return lowest
}

// mayHaveLease reports whether a lease that depends on the newest poll may still be in
// use.
func (t polledTable) mayHaveLease(now int64) bool { return now-t.polledAt < learner.LeaseEndBoundUs }

// reportConvergedTable updates the revision that this voter reports as converged. If a
// move waits for convergence, it polls the other voters at once to report it.
func (c *Core) reportConvergedTable(now int64) {
	converged := c.locallyConverged(now)
	if converged <= c.convergence.local {
		return
	}
	c.convergence.local = converged
	c.convergence.byVoter[c.self] = max(c.convergence.byVoter[c.self], converged)
	if c.anyMoveStaged() {
		c.learner.RequestPoll()
		c.requestPlacedGroupSteps()
	}
}

// votersConverged returns the number of voters that report a routing table revision as
// converged.
func (c *Core) votersConverged(revision uint64) int {
	count := 0
	for _, address := range c.learner.Voters() {
		if c.convergence.byVoter[address] >= revision {
			count++
		}
	}
	return count
}

// majorityConverged reports whether every process with a lease has applied a routing
// table revision or a newer one, and no process will hold a lease with an older one.
func (c *Core) majorityConverged(revision uint64) bool {
	return c.votersConverged(revision) > len(c.learner.Voters())/2
}

// laggingProcesses returns the names of processes that may hold a lease and have applied
// an older routing table than this process, at most maxLaggingNames.
func (c *Core) laggingProcesses(now int64) []string {
	var names []string
	for _, address := range slices.Sorted(maps.Keys(c.pollers)) {
		p := c.pollers[address]
		for _, t := range p.tables {
			lags := t.mayHaveLease(now) && t.revision < c.table.revision
			if lags && !slices.Contains(names, p.name) && len(names) < maxLaggingNames {
				names = append(names, p.name)
			}
		}
	}
	return names
}

// convergenceDue returns the next time at which a poll that a staged move waits for is so
// old that no lease can depend on it.
func (c *Core) convergenceDue(now int64) int64 {
	due := int64(math.MaxInt64)
	if !c.isVoting() || !c.anyMoveStaged() {
		return due
	}
	for _, p := range c.pollers {
		for _, t := range p.tables {
			if at := t.polledAt + learner.LeaseEndBoundUs; at > now && t.revision < c.table.revision {
				due = min(due, at)
			}
		}
	}
	if at := c.startedAt + learner.LeaseEndBoundUs; at > now {
		due = min(due, at)
	}
	return due
}
