package fenced

import (
	"cmp"
	"fmt"
	"time"

	"stoneford/internal/ports"
	"stoneford/result"
)

// A site move is a planned reparent to a database at the site that the routing table
// specifies (design 15). Unlike other changes, it is abandoned, and the primary
// continues to serve, if no database at that site has everything that the primary has.

const (
	// siteMoveCatchUpTimeout limits the wait of a site move in phase Draining for a
	// replica at the destination site to catch up. Phase Freezing of a site move may take
	// twice as long. After that, the change continues like an emergency reparent.
	siteMoveCatchUpTimeout = time.Second
	// siteMoveCooldown is the minimum time after another change until a replica counts
	// as a candidate for a site move, because the platform may execute a call of that
	// change late.
	siteMoveCooldown = 4 * time.Second
)

// moveCandidate records whether a site move would find a database to promote.
type moveCandidate struct {
	ready   bool
	problem string // why no database is ready
}

// MoveCandidate reports whether a replica at the destination site has nearly caught up
// with the primary, and if none has, the reason. The result is that of the last step
// with SiteMove.CheckCandidate.
func (g *Group) MoveCandidate() (ready bool, problem string) {
	return g.candidate.ready, g.candidate.problem
}

// checkMoveCandidate looks for a replica at the destination site that a move could
// promote.
func (g *Group) checkMoveCandidate(now int64, input Input, primary ports.Instance) {
	g.candidate = moveCandidate{ready: input.atDestinationSite(primary)}
	if g.candidate.ready {
		return
	}
	if input.State.PreviousPrimary != "" && elapsed(g.change.revisionStartedAt, now) < siteMoveCooldown {
		g.candidate.problem = "the group changed its primary just now"
		g.wakeAt(after(g.change.revisionStartedAt, siteMoveCooldown))
		return
	}
	g.candidate.problem = "no database is announced there"
	for _, i := range input.replicasAtDestinationSite(primary) {
		g.candidate.problem = g.moveProblem(now, i, primary)
		g.candidate.ready = g.candidate.problem == ""
		g.poll(now, i, replicaPollInterval)
		if g.candidate.ready {
			break
		}
	}
	g.poll(now, primary, replicaPollInterval)
}

// moveProblem returns the reason why a move could not promote the replica, empty if it
// could.
func (g *Group) moveProblem(now int64, replica, primary ports.Instance) string {
	r, p := g.databases[replica.ID], g.databases[primary.ID]
	switch {
	case !r.recent(now):
		return replica.ID + " does not answer"
	case !r.isReplicating():
		return replica.ID + " does not follow"
	case !p.recent(now):
		return primary.ID + ", which leads, does not answer"
	case r.commitsBehind(p) > maxReplicaLagCommits:
		return fmt.Sprintf("%s lacks %d commits", replica.ID, r.commitsBehind(p))
	}
	return ""
}

// startSiteMove starts the move to the destination site. Once it is committed, only
// nodes that use the routing table of the move accept statements for the group.
func (g *Group) startSiteMove(now int64, input Input, a Analysis) {
	if input.atDestinationSite(a.Primary) {
		next := nextState(input, ports.PhaseServing, "serves at "+input.Move.Site+" already")
		next.TableRevision = input.Move.TableRevision
		g.propose(now, input, next)
		return
	}
	next := nextState(input, ports.PhaseDraining, "moves to "+input.Move.Site)
	next.PreviousPrimary, next.TableRevision = a.Primary.ID, input.Move.TableRevision
	g.logf(result.FailoverStarted, "%s: term %d: %s", input.Group, input.State.Term, next.Cause)
	g.propose(now, input, next)
}

// siteReplicaCaughtUp reports whether a replica at the destination site has received
// everything that the primary had, with both polled after the drain started.
func (g *Group) siteReplicaCaughtUp(input Input, primary ports.Instance) bool {
	p := g.databases[primary.ID]
	if !g.polledInRevision(p) {
		return false
	}
	for _, i := range input.replicasAtDestinationSite(primary) {
		r := g.databases[i.ID]
		if g.polledInRevision(r) && !r.status.Received.Before(p.status.Received) {
			return true
		}
	}
	return false
}

// polledInRevision reports whether a database answered a poll that was sent under the
// newest revision.
func (g *Group) polledInRevision(database *observation) bool {
	return database.healthy() && database.observedAt >= g.change.revisionStartedAt
}

// abandonStalledSiteMove ends a move because no replica caught up in time.
func (g *Group) abandonStalledSiteMove(now int64, input Input, _ Analysis) {
	g.abandonSiteMove(now, input, "stays: no database at "+input.Move.Site+" came level")
}

// abandonOvertakenSiteMove ends a move because a replica at another site is more
// advanced. It waits until the old primary is confirmed to be still the primary.
func (g *Group) abandonOvertakenSiteMove(now int64, input Input, a Analysis) {
	g.freezeReplicas(now, input, a.freeze)
	old, _ := input.instance(input.State.PreviousPrimary)
	if !g.stillPrimary(input, old) {
		g.poll(now, old, promotionPollInterval)
		return
	}
	g.abandonSiteMove(now, input, "stays: another database is further than the one at "+input.Move.Site)
}

// abandonSiteMove proposes phase Serving with the old primary. PreviousPrimary stays
// in the state, so that the frozen replicas are resumed.
func (g *Group) abandonSiteMove(now int64, input Input, cause string) {
	next := nextState(input, ports.PhaseServing, cause)
	next.Primary = cmp.Or(input.State.PreviousPrimary, input.State.Primary)
	if i, announced := input.instance(next.Primary); announced {
		next.Address = i.Address
	}
	g.logf(result.FailoverCompleted, "%s: %s stays the primary of term %d: %s", input.Group, next.Primary, next.Term, cause)
	g.propose(now, input, next)
}
