package fenced

import (
	"time"

	"stoneford/internal/ports"
	"stoneford/result"
)

const (
	// promotionPollInterval is the time between two polls of a promotion target, or of
	// the databases that a site move waits for. On average, half of it is added to
	// the duration of each failover.
	promotionPollInterval = 40 * time.Millisecond
	// promoteRetryInterval is the delay before the platform is called again for a
	// target that has not become the primary. It is long because the platform may
	// still be executing the previous call.
	promoteRetryInterval = 1500 * time.Millisecond
	// promoteRejectedRetryInterval is the delay before the platform is called again
	// after a call that ended without the platform's acceptance. Usually the platform
	// rejected that call, so that none is being executed.
	promoteRejectedRetryInterval = 250 * time.Millisecond
)

// promotionProgress tracks the platform calls for the committed target.
type promotionProgress struct {
	requestedAt int64 // when the platform was last called, 0 if it was not
	rejected    bool  // whether that call ended without the platform's acceptance
}

// due reports whether the platform has to be called now.
func (p promotionProgress) due(now int64) bool {
	since := elapsed(p.requestedAt, now)
	return p.requestedAt == 0 || p.rejected && since >= promoteRejectedRetryInterval || since >= promoteRetryInterval
}

// promoteTarget calls the platform to promote the target once the old primary has
// stepped down.
func (g *Group) promoteTarget(now int64, input Input, a Analysis) {
	g.freezeReplicas(now, input, a.freeze)
	if !g.oldPrimarySteppedDown(now, input) {
		return
	}
	if !g.lease.mayCommand {
		g.wakeAt(after(now, commandRetryInterval))
		return
	}
	g.promotion = promotionProgress{requestedAt: now}
	g.lease.platformCalls++
	g.emit(Promote{ID: a.Target.ID, Owner: input.State.RoleOwner, FencingToken: input.State.FencingToken, LeaseExpiresAtUs: g.lease.expiresAt})
	g.databases[a.Target.ID].nextCallAt = after(now, 3*promotionPollInterval)
	g.wakeAt(after(now, 3*promotionPollInterval))
}

// oldPrimarySteppedDown reports whether the promotion need not wait for the old primary:
// the old primary has stepped down, does not answer or is not announced, the platform has
// been called already, or targetTimeout is over. Otherwise it commands the old primary to
// step down. An old primary that answers has to
// step down before another database is promoted: a node that was not notified may
// still send single writes to it, which would be acknowledged if a replica is no
// longer frozen.
func (g *Group) oldPrimarySteppedDown(now int64, input Input) bool {
	old, announced := input.instance(input.State.PreviousPrimary)
	if !announced || g.promotion.requestedAt > 0 || g.commandedFor(now) > targetTimeout {
		return true
	}
	database := g.databases[old.ID]
	if database.failingSince > 0 || database.known && database.observedAt > g.change.revisionStartedAt && !database.status.Primary {
		return true
	}
	g.call(now, old, ports.StepDown, g.freezeTerm(input), replicaFreezeRetryInterval)
	return false
}

// pollTarget polls the target until it is the primary.
func (g *Group) pollTarget(now int64, _ Input, a Analysis) {
	g.poll(now, a.Target, promotionPollInterval)
	if g.promotion.rejected {
		g.wakeAt(after(g.promotion.requestedAt, promoteRejectedRetryInterval))
	}
	g.wakeAt(after(g.promotion.requestedAt, promoteRetryInterval))
}

// completeReparent proposes phase Serving with the new primary.
func (g *Group) completeReparent(now int64, input Input, a Analysis) {
	next := nextState(input, ports.PhaseServing, input.State.Cause)
	next.Term = g.databases[a.Target.ID].status.Term
	if g.change.startedAt > 0 {
		next.LastFailoverUs = now - g.change.startedAt
	}
	g.logf(result.FailoverCompleted, "%s: %s is the primary of term %d after %d ms", input.Group, a.Target.ID, next.Term, next.LastFailoverUs/1000)
	g.propose(now, input, next)
}

// HandlePromotionResult processes the result of a Promote. accepted reports that the
// platform executes the promotion. It is false if the platform rejected the call, the call
// was not sent, or no response arrived in time. databaseGone reports that the database is
// not running according to the platform.
func (g *Group) HandlePromotionResult(now int64, accepted, databaseGone bool) {
	g.lease.platformCallDone(now, accepted)
	if databaseGone {
		g.promotion = promotionProgress{requestedAt: now, rejected: true}
		for _, database := range g.databases {
			database.nextCallAt = 0
		}
		return
	}
	g.promotion.rejected = !accepted
}
