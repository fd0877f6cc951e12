package sealed

import (
	"time"

	"google.golang.org/protobuf/proto"

	"stoneford/result"
	"stoneford/schema"
)

const (
	// reparentRetryInterval is the minimum time between two calls of the platform.
	reparentRetryInterval = 400 * time.Millisecond
	// plannedSwitchRetryInterval is the time between two planned switches away from a
	// primary that remained the primary because it was the most advanced member.
	plannedSwitchRetryInterval = 3 * time.Second
)

// Causes of an epoch that affect later decisions. They are part of the stored state.
const (
	causeFirst         = "first"
	causePlannedSwitch = "a planned switch"
)

// A recovery performs the action for one analysis code.
type recovery func(g *Group, now int64, input Input, a Analysis)

// recoveries maps each analysis code to its recovery.
var recoveries = [analysisCodes]recovery{
	NotInitialized: (*Group).initialize,

	PrimaryNotConfigured: (*Group).startEpoch,
	PrimaryFailed:        (*Group).startEpoch,
	PrimaryUnknown:       (*Group).wait,
	EpochEstablished:     (*Group).openEpoch,
	SwitchDue:            (*Group).startPlannedSwitch,
	PrimaryNotReady:      (*Group).wait,
	Serving:              (*Group).maintain,

	LaterEpochSeen: (*Group).startEpoch,
	SealsMissing:   (*Group).sealMembers,
	SealAwaited:    (*Group).awaitSeal,
	TargetFound:    (*Group).chooseTarget,
}

// recover analyzes the group, calls the platform if members have to be brought into the
// epoch, and runs the recovery.
func (g *Group) recover(now int64, input Input) {
	a := g.analyze(now, input)
	if a.reparentNeeded {
		g.reparent(now, input)
	}
	recoveries[a.Code](g, now, input, a)
}

// wait does nothing: later polls change the analysis.
func (g *Group) wait(int64, Input, Analysis) {}

// initialize proposes the first state of the group once the status of every member is
// known. If all members are empty, the configured primary starts epoch 1. If any member
// has data, all are sealed first and the most advanced one is chosen.
func (g *Group) initialize(now int64, input Input, _ Analysis) {
	state := &schema.GroupState{Epoch: 1, Phase: schema.Phase_PROMOTING, Primary: input.InitialPrimary, Cause: causeFirst}
	for _, e := range input.Endpoints {
		database := g.databases[e.Name]
		if !database.known {
			return
		}
		state.Members = append(state.Members, &schema.GroupMember{Database: e.Name, Identity: database.status.Identity})
		if database.status.Epoch > 0 || database.status.Received > 0 {
			state.Epoch, state.Phase, state.Primary = max(state.Epoch, database.status.Epoch+1), schema.Phase_SEALING, ""
		}
	}
	g.propose(now, 0, state)
}

// reparent calls the platform to bring the members into the epoch, at most once per
// reparentRetryInterval.
func (g *Group) reparent(now int64, input Input) {
	if now < g.nextReparentAt {
		return
	}
	g.nextReparentAt = after(now, reparentRetryInterval)
	state := input.State
	g.emit(Reparent{Target: state.Primary, Identity: committedIdentity(state, state.Primary), Epoch: state.Epoch, Endpoints: input.Endpoints})
}

// openEpoch proposes phase OPEN, in which the primary of the epoch serves.
func (g *Group) openEpoch(now int64, input Input, _ Analysis) {
	next := proto.CloneOf(input.State)
	next.Phase = schema.Phase_OPEN
	g.logf(result.FailoverCompleted, "%s is the primary of epoch %d", next.Primary, next.Epoch)
	g.propose(now, input.Revision, next)
}

// startPlannedSwitch starts an epoch in which the current primary is avoided: an equally
// advanced member that does not drain is preferred. If the current primary is the most
// advanced member, it remains the primary, and the switch is retried after
// plannedSwitchRetryInterval, when its replicas may have caught up.
func (g *Group) startPlannedSwitch(now int64, input Input, _ Analysis) {
	g.nextSwitchAt = after(now, plannedSwitchRetryInterval)
	input.SwitchAwayFrom = input.State.Primary
	g.startEpochFor(now, input, causePlannedSwitch)
}

// startEpoch starts an epoch with the reason from the analysis as its cause.
func (g *Group) startEpoch(now int64, input Input, a Analysis) {
	g.startEpochFor(now, input, a.Reason)
}

// startEpochFor proposes the start of an epoch above every observed epoch.
func (g *Group) startEpochFor(now int64, input Input, cause string) {
	next := proto.CloneOf(input.State)
	next.Epoch, next.Phase, next.Primary, next.Cause, next.Avoid = next.Epoch+1, schema.Phase_SEALING, "", cause, ""
	if cause == causePlannedSwitch {
		next.Avoid = input.SwitchAwayFrom
	}
	for _, database := range g.databases {
		if database.known {
			next.Epoch = max(next.Epoch, database.status.Epoch+1)
		}
	}
	g.logf(result.FailoverStarted, "epoch %d: %s", next.Epoch, cause)
	g.propose(now, input.Revision, next)
}

// maintain performs the recurring work on the members of a group that serves.
func (g *Group) maintain(now int64, input Input, a Analysis) {
	primary := g.databases[input.State.Primary]
	if input.MemberToSetAside != "" && g.setMemberAside(now, input, primary) {
		return
	}
	if a.replicaReady && g.readmitMember(now, input) {
		return
	}
	g.admitReplacedMember(now, input, primary)
}
