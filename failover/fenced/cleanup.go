package fenced

import (
	"time"

	"stoneford/internal/ports"
)

const (
	// stepDownRetryInterval is the time between two step-down commands to the same
	// former primary.
	stepDownRetryInterval = 700 * time.Millisecond
	// resumeRetryInterval is the time between two resume commands to the same replica.
	resumeRetryInterval = 250 * time.Millisecond
	// cleanUpPeriod is the time after a change during which the group makes former
	// primaries step down and resumes frozen replicas.
	cleanUpPeriod = 8 * time.Second
	// strayFreezeWatchPeriod is the time after a claim during which the new owner polls
	// replicas for a freeze that the previous owner commanded and that took effect late.
	strayFreezeWatchPeriod = 30 * time.Second
	// strayFreezeWatchInterval is the time between two such polls of a replica.
	strayFreezeWatchInterval = time.Second
)

// cleanUpAfterChange resumes the replicas that a change froze and makes former
// primaries step down.
func (g *Group) cleanUpAfterChange(now int64, input Input) {
	for _, i := range input.Instances {
		switch {
		case i.ID == input.State.Primary:
		case i.Primary || g.databases[i.ID].isPrimary():
			g.stepDownFormerPrimary(now, input, i)
		default:
			g.resumeAfterChange(now, input, i)
		}
	}
}

// stepDownFormerPrimary commands a former primary to step down during cleanUpPeriod.
func (g *Group) stepDownFormerPrimary(now int64, input Input, i ports.Instance) {
	database := g.databases[i.ID]
	if database.known && !database.status.Primary && database.observedAt > g.change.revisionStartedAt {
		return // it stepped down, but has not announced that yet
	}
	if elapsed(g.change.revisionStartedAt, now) < cleanUpPeriod {
		g.call(now, i, ports.StepDown, input.State.Term, stepDownRetryInterval)
	}
}

// resumeAfterChange commands a replica to resume during cleanUpPeriod, until it is observed
// not frozen.
func (g *Group) resumeAfterChange(now int64, input Input, i ports.Instance) {
	database := g.databases[i.ID]
	if input.State.PreviousPrimary == "" || input.freezeControlledByDrain(i) || g.resumed[i.ID] || elapsed(g.change.revisionStartedAt, now) > cleanUpPeriod {
		return
	}
	if database.known && database.observedAt >= g.change.revisionStartedAt && database.status.FrozenTerm == 0 {
		g.resumed[i.ID] = true
		return
	}
	g.call(now, i, ports.ResumeReplication, 0, resumeRetryInterval)
}

// resumeStrayFrozen resumes replicas that are frozen although the group serves: a
// freeze command of the previous owner may take effect long after that owner was
// replaced. It runs for strayFreezeWatchPeriod after a claim, and whenever a node
// cannot use the primary, because a primary without a receiving replica acknowledges
// no commit.
func (g *Group) resumeStrayFrozen(now int64, input Input) {
	lease := &g.lease
	watched := lease.uncontestedToken != lease.fencingToken && elapsed(lease.claimedAt, now) <= strayFreezeWatchPeriod
	if input.HealthReports[input.State.Primary].UnreachableFrom == 0 && !watched {
		return
	}
	for _, i := range input.Instances {
		database := g.databases[i.ID]
		switch {
		case i.ID == input.State.Primary || i.Primary || input.freezeControlledByDrain(i):
		case database.healthy() && database.status.FrozenTerm > 0:
			g.call(now, i, ports.ResumeReplication, 0, resumeRetryInterval)
		default:
			g.poll(now, i, strayFreezeWatchInterval)
		}
	}
}
