package fenced

import (
	"stoneford/internal/ports"
	"stoneford/result"
	"stoneford/schema"
)

// A recovery performs the action for one analysis code.
type recovery func(g *Group, now int64, input Input, a Analysis)

// recoveries maps each analysis code to its recovery.
var recoveries = [analysisCodes]recovery{
	NotInitialized: (*Group).initialize,

	PrimaryReturned:   (*Group).adoptReturnedPrimary,
	PrimaryDeparted:   (*Group).startEmergencyReparent,
	PrimaryMayReturn:  (*Group).waitForPolls,
	PrimaryFailed:     (*Group).startEmergencyReparent,
	SiteMoveCommitted: (*Group).startSiteMove,
	PrimaryDraining:   (*Group).preparePlannedReparent,
	Serving:           (*Group).maintain,

	DrainPending:          (*Group).waitForPolls,
	PrimaryDrained:        (*Group).freezeAfterDrain,
	PrimaryLostDuringMove: (*Group).startEmergencyReparent,
	SiteMoveStalled:       (*Group).abandonStalledSiteMove,

	OldPrimaryReturned:  (*Group).resumeOldPrimary,
	PromotionTookEffect: (*Group).acceptLatePromotion,
	FreezeIncomplete:    (*Group).continueFreeze,
	SiteReplicaBehind:   (*Group).abandonOvertakenSiteMove,
	TargetFound:         (*Group).chooseTarget,

	TargetUnusable:     (*Group).chooseAnotherTarget,
	PromotionDue:       (*Group).promoteTarget,
	PromotionPending:   (*Group).pollTarget,
	TargetPromoted:     (*Group).completeReparent,
	OlderRevisionInUse: (*Group).waitForPolls,
}

// recover analyzes the group, sends the polls that the analysis requests, and runs the
// recovery.
func (g *Group) recover(now int64, input Input) {
	a := g.analyze(now, input)
	for _, p := range a.polls {
		g.poll(now, p.instance, p.interval)
	}
	if a.primaryTrusted {
		g.databases[a.Primary.ID].clearFailures()
	}
	recoveries[a.Code](g, now, input, a)
}

// waitForPolls does nothing: recover has already sent the polls of the analysis.
func (g *Group) waitForPolls(int64, Input, Analysis) {}

// initialize proposes the first state of the group, with the database that already is
// the primary.
func (g *Group) initialize(now int64, input Input, _ Analysis) {
	for _, i := range input.Instances {
		if !i.Primary {
			continue
		}
		database := g.databases[i.ID]
		if !database.isPrimary() {
			g.poll(now, i, 2*primaryCheckInterval)
			continue
		}
		term := database.status.Term
		g.logf(result.FailoverCompleted, "%s: initialized with %s as the primary of term %d", input.Group, i.ID, term)
		g.propose(now, input, &schema.Leadership{
			Term: term, Primary: i.ID, Address: i.Address,
			RoleOwner: input.Role.Self, RoleOwnerRun: input.Role.Run, FencingToken: 1,
			Cause: "found",
		})
		g.lease.uncontestedToken = 1
		return
	}
}

// adoptReturnedPrimary records a database as the primary that became it by itself, or
// through a promotion whose caller died before recording it.
func (g *Group) adoptReturnedPrimary(now int64, input Input, a Analysis) {
	next := nextState(input, ports.PhaseServing, "came back")
	next.Term = g.databases[a.Target.ID].status.Term
	next.Primary, next.Address = a.Target.ID, a.Target.Address
	g.logf(result.FailoverCompleted, "%s: %s returned as the primary of term %d", input.Group, a.Target.ID, next.Term)
	g.propose(now, input, next)
}

// maintain performs the recurring work for a group whose primary serves.
func (g *Group) maintain(now int64, input Input, a Analysis) {
	g.cleanUpAfterChange(now, input)
	g.resumeStrayFrozen(now, input)
	g.freezeDrainingReplicas(now, input, a.Primary)
	g.updateMembers(now, input, a.Primary)
	g.observePrimaryPosition(now, input, a.Primary)
	if input.Move.CheckCandidate {
		g.checkMoveCandidate(now, input, a.Primary)
	}
}
