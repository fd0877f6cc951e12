package sealed

import (
	"fmt"
	"time"

	"stoneford/schema"
)

const (
	// primaryTimeout is the duration of consecutive failed calls after which a primary
	// counts as failed, if more nodes report it as unreachable than as reachable. Another
	// member counts as lost after the same time, without the nodes' confirmation.
	primaryTimeout = 700 * time.Millisecond
	// primaryTimeoutWithoutReports replaces primaryTimeout if no node reports on the
	// primary. It is longer because this process may itself be the one that is disconnected.
	primaryTimeoutWithoutReports = 2 * time.Second
)

// AnalysisCode identifies what a group needs. Each code has one recovery (recoveries).
type AnalysisCode uint8

const (
	// NotInitialized means that the group has no committed state.
	NotInitialized AnalysisCode = iota

	// Phases OPEN and PROMOTING:

	// PrimaryNotConfigured means that the primary is no longer a configured member.
	PrimaryNotConfigured
	// PrimaryFailed means that the primary does not answer or has lost its disk.
	PrimaryFailed
	// PrimaryUnknown means that the primary has not answered this process yet.
	PrimaryUnknown
	// EpochEstablished means that the primary of a new epoch and at least one replica
	// have been observed in that epoch.
	EpochEstablished
	// SwitchDue means that the primary drains, or that a planned switch has to replace
	// it.
	SwitchDue
	// PrimaryNotReady means that the primary has not been observed in the epoch yet or,
	// in phase PROMOTING, that no replica has.
	PrimaryNotReady
	// Serving means that the primary serves in an open epoch and nothing has to change.
	Serving

	// Phase SEALING:

	// LaterEpochSeen means that a member is already in a later epoch.
	LaterEpochSeen
	// SealsMissing means that fewer members are sealed than required.
	SealsMissing
	// SealAwaited means that enough members are sealed, but that another member that
	// still answers may be the most advanced one.
	SealAwaited
	// TargetFound means that the most advanced sealed member is known.
	TargetFound

	analysisCodes
)

// Analysis is the result of analyzing a group: what the group needs, and the data that
// the recovery uses.
type Analysis struct {
	Code AnalysisCode
	// Reason explains why a new epoch has to start.
	Reason string
	// Target is the member to choose as the next primary.
	Target string
	// SealedMembers is the number of sealed members that have a committed identity.
	SealedMembers int

	// reparentNeeded reports that the platform has to bring members into the epoch.
	reparentNeeded bool
	// replicaReady reports that a replica has been observed in the epoch.
	replicaReady bool
}

// analyze determines what the group needs now.
func (g *Group) analyze(now int64, input Input) Analysis {
	switch {
	case input.Revision == 0:
		return Analysis{Code: NotInitialized}
	case input.State.Phase == schema.Phase_SEALING:
		return g.analyzeSealing(now, input)
	default:
		return g.analyzeEpoch(now, input)
	}
}

// analyzeEpoch analyzes a group whose epoch has a primary.
func (g *Group) analyzeEpoch(now int64, input Input) Analysis {
	state := input.State
	primary := g.databases[state.Primary]
	if primary == nil {
		return Analysis{Code: PrimaryNotConfigured, Reason: "the primary is no longer configured"}
	}
	if reason := g.primaryFailure(now, input, primary); reason != "" {
		return Analysis{Code: PrimaryFailed, Reason: reason}
	}
	if !primary.known {
		return Analysis{Code: PrimaryUnknown}
	}
	primaryReady := primary.status.Epoch == state.Epoch && primary.status.Role == rolePrimary
	replicaReady, allInEpoch := g.replicasInEpoch(input)
	a := Analysis{reparentNeeded: !primaryReady || !allInEpoch, replicaReady: replicaReady}
	switch {
	case primaryReady && replicaReady && state.Phase == schema.Phase_PROMOTING:
		a.Code = EpochEstablished
	case primaryReady && replicaReady && now >= g.nextSwitchAt && g.switchWanted(input, primary):
		a.Code = SwitchDue
	case !primaryReady || state.Phase != schema.Phase_OPEN:
		a.Code = PrimaryNotReady
	default:
		a.Code = Serving
	}
	return a
}

// replicasInEpoch reports whether any replica follows the primary and has received a
// commit of the epoch. all reports whether no replica has to be reparented: each one
// follows the primary, does not answer, or is in a later epoch.
func (g *Group) replicasInEpoch(input Input) (replicaReady, all bool) {
	state := input.State
	primaryAddress := input.endpoint(state.Primary).Address
	all = true
	for _, e := range input.Endpoints {
		database := g.databases[e.Name]
		if e.Name == state.Primary || !database.known {
			continue
		}
		follows := database.status.Epoch == state.Epoch && database.status.Role == roleReplica && database.status.Following == primaryAddress
		replicaReady = replicaReady || follows && database.status.LogEpoch == state.Epoch
		all = all && (follows || database.failingSince > 0 || database.status.Epoch > state.Epoch)
	}
	return replicaReady, all
}

// switchWanted reports whether a working primary has to be replaced: a planned switch
// requests it, or the primary drains and the group can tolerate the loss of a member.
func (g *Group) switchWanted(input Input, primary *observation) bool {
	return input.SwitchAwayFrom == input.State.Primary || primary.status.Draining && g.Degraded(input.State) == ""
}

// primaryFailure returns the reason why the primary has failed, or "" if it has not.
// If any node reports on the primary, the nodes have to confirm the failure, because
// this process may itself be the one that is disconnected.
func (g *Group) primaryFailure(now int64, input Input, primary *observation) string {
	for _, member := range input.State.Members {
		if member.Database == input.State.Primary && primary.healthy() && primary.status.Identity != member.Identity {
			return "the primary came back on another disk"
		}
	}
	if !primary.unresponsive(now, primaryTimeout) {
		return ""
	}
	report := input.HealthReports[input.State.Primary]
	nodes := report.ReachableFrom + report.UnreachableFrom
	switch {
	case report.UnreachableFrom > report.ReachableFrom:
		return fmt.Sprintf("the primary is silent; %d of %d nodes confirm it", report.UnreachableFrom, nodes)
	case nodes == 0 && primary.unresponsive(now, primaryTimeoutWithoutReports):
		return "the primary is silent; no node reports on it"
	}
	return ""
}
