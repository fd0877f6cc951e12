package coordinator

import (
	"math"
	"slices"

	"stoneford/failover/fenced"
	"stoneford/internal/learner"
	"stoneford/internal/ports"
	"stoneford/schema"
)

// While replicas are missing, a failover depends on what the pool nodes acknowledged. A
// node reports that when it learns of the freeze. A node that ended before that reports
// nothing, so each voter states since when the reports of the nodes that it answered are
// complete. A node acknowledges only under a lease, which depends on a majority of the
// voters, so one voter of any other majority has answered it: the statements of a majority
// cover all nodes (design 14.7).

// reportsLost records that the reports of a poller are lost. The poller may acknowledge
// commits until the end of the last lease that depends on this voter.
func (c *Core) reportsLost(p *poller) {
	if p.isPoolNode() {
		c.lostLeaseEnd = max(c.lostLeaseEnd, leaseEnd(p))
	}
}

// leaseEnd returns the latest end of a lease of a poller that depends on this voter.
func leaseEnd(p *poller) int64 { return p.lastResponse + learner.LeaseEndBoundUs }

// answersKnownSince returns the time since which every lease that depends on this voter
// belongs to a pool node that it knows.
func (c *Core) answersKnownSince() int64 {
	since := max(c.runStartedAt+learner.LeaseEndBoundUs, c.lostLeaseEnd)
	if activatedAt := c.disk.activatedAt; activatedAt > 0 {
		since = max(since, activatedAt+learner.LeaseEndBoundUs)
	}
	return since
}

// acknowledgedHere returns the newest commit of a group that a pool node reported to this
// voter as acknowledged, and the time since which the reports are complete: every node
// that had a lease through this voter since then has reported at the newest freeze.
func (c *Core) acknowledgedHere(name string, g *group) (newest ports.Position, completeSince int64) {
	completeSince = c.answersKnownSince()
	for _, p := range c.pollers {
		if !p.isPoolNode() {
			continue
		}
		status := p.groupStatuses[name]
		newest = newerPosition(newest, acknowledgedIn(status))
		if status.GetRevision() < g.freeze.revision {
			completeSince = max(completeSince, leaseEnd(p))
		}
	}
	return newest, completeSince
}

// groupStatus returns this voter's status of a group for the other voters: the freeze that it
// has cleared, and the position of the primary that it observed. It is nil without either.
func (c *Core) groupStatus(now int64, name string, g *group) *schema.GroupStatus {
	position := g.decider.ObservedPrimaryPosition(now)
	if g.freeze.cleared == 0 {
		if position == nil {
			return nil
		}
		return &schema.GroupStatus{Group: name, PrimaryPosition: position}
	}
	g.freeze.reported = g.freeze.cleared
	status := c.clearedStatus(now, name, g)
	status.PrimaryPosition = position
	return status
}

// clearedStatus returns this voter's status of a group whose newest freeze it has cleared.
func (c *Core) clearedStatus(now int64, name string, g *group) *schema.GroupStatus {
	newest, completeSince := c.acknowledgedHere(name, g)
	return &schema.GroupStatus{
		Group:         name,
		Revision:      g.freeze.cleared,
		Idle:          true,
		AckedTerm:     newest.Term,
		AckedNumber:   newest.Number,
		CompleteForUs: max(now-completeSince, 0),
	}
}

// addAcknowledged adds what the pool nodes acknowledged to a decider's input, from their
// own reports and from those of the other voters.
func (c *Core) addAcknowledged(now int64, name string, g *group, input *fenced.Input) {
	newest, completeSince := c.acknowledgedHere(name, g)
	voters := c.learner.Voters()
	times := make([]int64, 0, len(voters))
	for _, address := range voters {
		if address == c.self {
			times = append(times, completeSince)
			continue
		}
		position, since := c.acknowledgedAt(address, name, input.State.FreezeRevision)
		newest = newerPosition(newest, position)
		times = append(times, since)
	}
	input.Acknowledged, input.AcknowledgedSinceUs = newest, math.MaxInt64
	if len(times) > 0 && g.freeze.revision >= input.State.FreezeRevision {
		slices.Sort(times)
		input.AcknowledgedSinceUs = times[len(times)/2] // a majority's reports are complete since then
	}
	input.ReportsLostUntilUs = c.reportsLostUntil(now)
}

// acknowledgedAt returns the newest acknowledged commit that another voter reports for a
// freeze, and the time since which that voter's reports are complete, which is
// math.MaxInt64 if it has not cleared the freeze. The voter's clock may be a tenth faster.
func (c *Core) acknowledgedAt(address, name string, freezeRevision uint64) (newest ports.Position, completeSince int64) {
	p := c.pollers[address]
	if p == nil {
		return newest, math.MaxInt64
	}
	status := p.groupStatuses[name]
	if status.GetCompleteForUs() <= 0 || status.Revision < freezeRevision {
		return newest, math.MaxInt64
	}
	return acknowledgedIn(status), p.statusAt[name] - status.CompleteForUs*10/11
}

// reportsLostUntil returns the time until which pool nodes whose reports are lost, or that
// no longer poll this voter, may have acknowledged commits.
func (c *Core) reportsLostUntil(now int64) int64 {
	until := c.answersKnownSince()
	for _, p := range c.pollers {
		if end := leaseEnd(p); p.isPoolNode() && end <= now {
			until = max(until, end)
		}
	}
	return until
}

// acknowledgedIn returns the acknowledged commit in a status.
func acknowledgedIn(status *schema.GroupStatus) ports.Position {
	return ports.Position{Term: status.GetAckedTerm(), Number: status.GetAckedNumber()}
}

func newerPosition(a, b ports.Position) ports.Position {
	if a.Before(b) {
		return b
	}
	return a
}
