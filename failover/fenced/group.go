package fenced

import (
	"maps"
	"math"
	"slices"
	"time"

	"stoneford/internal/ports"
)

// proposalTimeout limits the wait for the end of a proposal. Proposing again after it
// is safe, because at most one of the two proposals can be based on the committed
// revision. A shorter timeout would only cause more proposals that fail.
const proposalTimeout = 4 * time.Second

// olderRevisionPollInterval is the time between two checks of whether nodes still
// rely on a revision older than the one that froze the group.
const olderRevisionPollInterval = 50 * time.Millisecond

// Group is the state machine of one group. It is not safe for concurrent use.
type Group struct {
	databases map[string]*observation // by database ID
	calls     pendingCalls
	positions primaryPositions
	termStart termStart
	// observedPrimary is the newest position of a primary that this process observed by its
	// own calls, and that it reports to the other control processes.
	observedPrimary     primaryPosition
	observedPrimaryTerm uint64
	change              changeProgress
	promotion           promotionProgress
	membership          membershipProgress
	candidate           moveCandidate
	lease               leaseState

	// finalPositions holds the received positions of replicas that departed frozen.
	finalPositions map[string]ports.Position
	// drainingSince is when each database was first observed draining.
	drainingSince map[string]int64
	// servedAt is when a majority last confirmed to this owner that a database did not
	// drain. The drain of a database that is not in it may have begun at any time.
	servedAt map[string]int64
	// resumed holds the replicas that have been observed unfrozen under the newest
	// revision.
	resumed map[string]bool
	// proposedAt is when the pending state proposal was made, 0 if there is none.
	proposedAt int64

	nextStepAt int64
	effects    []Effect
}

// changeProgress records when the committed revision and the current change started.
type changeProgress struct {
	revision          uint64
	revisionStartedAt int64 // when the first step for the revision ran
	startedAt         int64 // when this process first saw the current change, 0 in phase Serving
	waitingLogAt      int64 // earliest time of the next log entry about waiting for replicas
}

// New returns a Group without any observations. Its input comes with each step.
func New() *Group {
	return &Group{
		databases:      map[string]*observation{},
		calls:          pendingCalls{byID: map[uint64]pendingCall{}},
		membership:     newMembershipProgress(),
		finalPositions: map[string]ports.Position{},
		drainingSince:  map[string]int64{},
		servedAt:       map[string]int64{},
		resumed:        map[string]bool{},
	}
}

// NextStepAtUs returns when Step has to be called next if no event occurs before.
func (g *Group) NextStepAtUs() int64 { return g.nextStepAt }

// wakeAt makes the next step due at moment at the latest.
func (g *Group) wakeAt(moment int64) { g.nextStepAt = min(g.nextStepAt, moment) }

// StateProposalDone reports the end of a ProposeState, whatever its outcome. The next
// input contains the committed state.
func (g *Group) StateProposalDone() { g.proposedAt = 0 }

// MembersProposalDone reports the end of a ProposeMembers, whatever its outcome.
func (g *Group) MembersProposalDone() { g.membership.proposedAt = 0 }

// Step decides what the group needs now and returns the effects in the order in which
// the process has to execute them. In a process that may not act for the group, it
// only claims the group's role or hands it over.
func (g *Group) Step(now int64, input Input) []Effect {
	g.effects, g.nextStepAt = nil, math.MaxInt64
	g.observeLease(now, input)
	if !g.CanAct(now, input) {
		if input.Revision == 0 || g.lease.fencingToken == 0 {
			g.discardObservations() // they become stale while another process acts
		}
		g.changeOwner(now, input)
		return g.effects
	}
	if !input.UpToDate {
		return nil
	}
	if elapsed(g.lease.lastStepAt, now) > primaryTimeout {
		g.discardObservations()
	}
	g.lease.lastStepAt = now
	g.termStart.track(now, input)
	g.trackInstances(now, input)
	if g.proposalPending(now) {
		return g.effects
	}
	g.trackRevision(now, input)
	g.recover(now, input)
	return g.effects
}

// proposalPending reports whether a state proposal has neither ended nor timed out.
func (g *Group) proposalPending(now int64) bool {
	return g.proposedAt > 0 && elapsed(g.proposedAt, now) < proposalTimeout
}

// trackInstances keeps one observation for each announced database, for each departed member,
// and for the primary, even if the primary is not announced.
func (g *Group) trackInstances(now int64, input Input) {
	primary := input.State.GetPrimary()
	g.trackDepartedMembers(now, input)
	g.recordFinalPositions(now, input)
	for _, i := range input.Instances {
		g.track(i.ID)
		switch {
		case !i.Draining:
			g.servedAt[i.ID] = min(input.Role.Lease.ConfirmedAtUs, now)
		case g.drainingSince[i.ID] == 0:
			g.drainingSince[i.ID] = now
		}
	}
	departed := input.departedMembers()
	unknown := func(id string) bool {
		_, announced := input.instance(id)
		isMember := slices.ContainsFunc(departed, func(d GoneDatabase) bool { return d.ID == id })
		return !announced && !isMember && id != primary
	}
	maps.DeleteFunc(g.databases, func(id string, _ *observation) bool { return unknown(id) })
	maps.DeleteFunc(g.drainingSince, func(id string, _ int64) bool { return unknown(id) })
	maps.DeleteFunc(g.servedAt, func(id string, _ int64) bool { return unknown(id) })
}

// track starts to observe a database if it is not observed yet.
func (g *Group) track(id string) {
	if g.databases[id] == nil {
		g.databases[id] = &observation{}
	}
}

// trackRevision starts the timers of a new revision and makes all databases due for
// an immediate poll.
func (g *Group) trackRevision(now int64, input Input) {
	if g.change.revision == input.Revision {
		return
	}
	g.change.revision, g.change.revisionStartedAt = input.Revision, now
	g.promotion = promotionProgress{}
	clear(g.resumed)
	for _, database := range g.databases {
		database.nextCallAt = 0
	}
	switch {
	case input.phase() == ports.PhaseServing:
		g.change.startedAt = 0
	case g.change.startedAt == 0:
		g.change.startedAt = now
	}
}

// discardObservations discards the observations of all databases because they may be
// out of date.
func (g *Group) discardObservations() {
	for _, database := range g.databases {
		database.discard()
	}
	g.change.revision = 0
}
