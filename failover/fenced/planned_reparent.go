package fenced

import (
	"time"

	"stoneford/internal/ports"
	"stoneford/result"
)

// A planned reparent replaces a draining primary. In phase Draining, nodes start no
// new statements at the primary and finish those in flight. The change then continues
// like an emergency reparent.

const (
	// maxReplicaLagCommits is the number of commits that a replica may be behind when
	// a planned change starts. It receives them while the primary drains.
	maxReplicaLagCommits = 400
	// plannedReparentTimeout is the time after which a draining primary is replaced
	// even if its replicas are not ready. Later the primary may stop by itself, and
	// an emergency reparent would be needed.
	plannedReparentTimeout = 4500 * time.Millisecond
)

// preparePlannedReparent maintains the group and starts to replace its draining
// primary once the replicas are ready.
func (g *Group) preparePlannedReparent(now int64, input Input, a Analysis) {
	g.maintain(now, input, a)
	ready := g.readyForPlannedReparent(now, input, a.Primary)
	for _, i := range input.Instances {
		g.poll(now, i, replicaPollInterval)
	}
	if !ready {
		return
	}
	next := nextState(input, ports.PhaseDraining, a.Primary.ID+" leaves")
	next.PreviousPrimary = a.Primary.ID
	g.logf(result.FailoverStarted, "%s: term %d: %s", input.Group, input.State.Term, next.Cause)
	g.propose(now, input, next)
}

// readyForPlannedReparent reports whether a replica can take over and no other member
// would delay the change. If the drain is overdue it suffices that a database answers which
// will run longer than the primary.
func (g *Group) readyForPlannedReparent(now int64, input Input, primary ports.Instance) bool {
	ready, outlasts, unresponsive := false, false, false
	for _, i := range input.Instances {
		database := g.databases[i.ID]
		// A database that does not answer would delay the change after its start.
		unresponsive = unresponsive || !database.healthy()
		if i.ID == primary.ID {
			continue
		}
		ready = ready || !i.Draining && g.nearlyCaughtUp(i, primary)
		// A replica that stops at about the same time as the primary cannot replace it.
		outlasts = outlasts || database.healthy() && g.drainsLater(i, primary)
	}
	for _, id := range input.Members {
		_, announced := input.instance(id)
		unresponsive = unresponsive || !announced
	}
	return ready && !unresponsive || outlasts && g.drainOverdue(now, input, primary)
}

// drainOverdue reports whether the primary has drained for plannedReparentTimeout, or may
// have: the nodes stop using it although this owner has just heard of the drain, because it
// started or was not the owner when the drain began. The change may have to do without a
// member, so the primary's position has to be known since the last node whose reports are lost.
func (g *Group) drainOverdue(now int64, input Input, primary ports.Instance) bool {
	if servedAt, known := g.servedAt[primary.ID]; known && elapsed(servedAt, now) <= plannedReparentTimeout {
		return false
	}
	if elapsed(g.drainingSince[primary.ID], now) > plannedReparentTimeout {
		return true
	}
	return g.positions.newestAt(input.State.Term) >= max(input.ReportsLostUntilUs, 1)
}

// nearlyCaughtUp reports whether a replica is replicating and at most
// maxReplicaLagCommits behind.
func (g *Group) nearlyCaughtUp(replica, primary ports.Instance) bool {
	r, p := g.databases[replica.ID], g.databases[primary.ID]
	return r.isReplicating() && p.known && r.commitsBehind(p) <= maxReplicaLagCommits
}

// drainsLater reports whether a database is not draining, or began to drain much later
// than the primary.
func (g *Group) drainsLater(i, primary ports.Instance) bool {
	return !i.Draining || elapsed(g.drainingSince[primary.ID], g.drainingSince[i.ID]) > plannedReparentTimeout/2
}

// freezeAfterDrain continues a planned reparent or a site move after the primary is
// drained.
func (g *Group) freezeAfterDrain(now int64, input Input, _ Analysis) {
	g.startFreeze(now, input, input.State.Cause)
}
