package fenced

import (
	"fmt"
	"math"
	"strings"
	"time"

	"stoneford/internal/ports"
	"stoneford/result"
)

// An emergency reparent replaces a lost primary. It starts in phase Freezing, which a
// planned reparent enters once the primary is drained.

// startEmergencyReparent starts a change without draining the primary.
func (g *Group) startEmergencyReparent(now int64, input Input, a Analysis) {
	g.startFreeze(now, input, a.Reason)
}

// startFreeze proposes phase Freezing, which ends the use of the old primary: a node
// that knows this revision sends nothing to any primary of the group.
func (g *Group) startFreeze(now int64, input Input, cause string) {
	next := nextState(input, ports.PhaseFreezing, cause)
	next.PreviousPrimary = input.State.Primary
	next.FreezeRevision = input.Revision + 1
	next.PromotionRequested = false
	if input.phase() == ports.PhaseServing {
		g.logf(result.FailoverStarted, "%s: term %d: %s", input.Group, input.State.Term, cause)
	}
	g.propose(now, input, next)
}

// resumeOldPrimary ends the change because the old primary, under its old or a new
// identity, answers again before the platform was called for another database.
func (g *Group) resumeOldPrimary(now int64, input Input, a Analysis) {
	next := nextState(input, ports.PhaseServing, "the primary is back")
	next.Primary, next.Address = a.Target.ID, a.Target.Address
	g.logf(result.FailoverCompleted, "%s: %s stays the primary of term %d", input.Group, a.Target.ID, next.Term)
	g.propose(now, input, next)
}

// acceptLatePromotion chooses the database that became the primary through an earlier,
// abandoned promotion as the target.
func (g *Group) acceptLatePromotion(now int64, input Input, a Analysis) {
	next := nextState(input, ports.PhasePromoting, input.State.Cause)
	next.Primary, next.Address, next.PromotionRequested = a.Target.ID, a.Target.Address, true
	g.propose(now, input, next)
}

// continueFreeze sends freeze commands to the replicas that are not frozen yet, and observes
// those that may depart.
func (g *Group) continueFreeze(now int64, input Input, a Analysis) {
	g.freezeReplicas(now, input, a.freeze)
	g.pollDraining(now, a.freeze.frozen)
	g.logWaiting(now, input, a)
}

const (
	// waitingLogDelay is the time after which a change that waits for replicas is logged,
	// and waitingLogInterval is the time between two such log entries.
	waitingLogDelay    = 2 * time.Second
	waitingLogInterval = 5 * time.Second
)

// logWaiting logs which replicas a change waits for, and what is known of the acknowledged
// commits.
func (g *Group) logWaiting(now int64, input Input, a Analysis) {
	if elapsed(g.change.revisionStartedAt, now) < waitingLogDelay || now < g.change.waitingLogAt {
		return
	}
	g.change.waitingLogAt = after(now, waitingLogInterval)
	received := ports.Position{}
	if a.Target.ID != "" {
		received = g.databases[a.Target.ID].status.Received
	}
	since := "never"
	if input.AcknowledgedSinceUs < math.MaxInt64 {
		since = fmt.Sprintf("for %d ms", (now-input.AcknowledgedSinceUs)/1000)
	}
	primary, _ := g.positions.firstSince(input.State.Term, input.AcknowledgedSinceUs)
	g.logf(result.FailoverWaiting, "%s: term %d: waiting for %s; the most advanced frozen replica is %q at %d/%d; nodes acknowledged up to %d/%d, complete %s; primary last observed %d ms ago, at %d/%d since the reports are complete",
		input.Group, input.State.Term, strings.Join(a.freeze.missingIDs(), ", "), a.Target.ID, received.Term, received.Number,
		input.Acknowledged.Term, input.Acknowledged.Number, since, (now-g.positions.newestAt(input.State.Term))/1000, primary.Term, primary.Number)
}

// chooseTarget proposes the most advanced replica as the next primary. The platform
// may be called as soon as the proposal is committed, so PromotionRequested is already
// set in it.
func (g *Group) chooseTarget(now int64, input Input, a Analysis) {
	g.freezeReplicas(now, input, a.freeze)
	next := nextState(input, ports.PhasePromoting, input.State.Cause)
	next.Primary, next.Address, next.PromotionRequested = a.Target.ID, a.Target.Address, true
	next.CompletePosition = g.completePosition(input, a.Target)
	var positions []string
	for _, i := range a.freeze.frozen {
		received := g.databases[i.ID].status.Received
		positions = append(positions, fmt.Sprintf("%s at %d/%d", i.ID, received.Term, received.Number))
	}
	g.logf(result.FailoverTargetChosen, "%s: term %d: chose %s as the most advanced of %s; %d replicas missing", input.Group, input.State.Term, a.Target.ID, strings.Join(positions, ", "), a.freeze.missingCount())
	g.propose(now, input, next)
}

// chooseAnotherTarget returns to phase Freezing and discards earlier observations of
// frozen replicas.
func (g *Group) chooseAnotherTarget(now int64, input Input, a Analysis) {
	g.freezeReplicas(now, input, a.freeze)
	for _, database := range g.databases {
		if database.known {
			database.frozenTerm = 0
		}
	}
	g.logf(result.FailoverWaiting, "%s: term %d: %s", input.Group, input.State.Term, a.Reason)
	g.propose(now, input, nextState(input, ports.PhaseFreezing, a.Reason))
}
