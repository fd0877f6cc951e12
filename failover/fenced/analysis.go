package fenced

import (
	"fmt"
	"slices"
	"time"

	"stoneford/internal/ports"
)

const (
	// primaryCheckInterval is the time between two polls of a suspected primary. It
	// allows several polls within primaryTimeout.
	primaryCheckInterval = 60 * time.Millisecond
	// primaryTimeout is the duration of consecutive failed calls after which a primary
	// counts as failed, if the nodes' reports or its overdue announcements confirm it.
	// A primary at whose address nothing listens counts as failed earlier. A shorter
	// timeout would replace a primary that only pauses briefly; a longer one delays each
	// emergency reparent.
	primaryTimeout = 450 * time.Millisecond
	// announcementTimeout is the time since the last announcement after which the
	// primary is checked even if no node reports it. Single announcements may be lost.
	announcementTimeout = 4 * time.Second
	// departureGracePeriod is the minimum time between the first step for a revision and
	// the replacement of a departed primary, which may announce itself again under
	// another identity. It is also the duration of failed calls after which a missing
	// replica no longer delays a promotion.
	departureGracePeriod = 300 * time.Millisecond
	// drainTimeout limits the wait of a planned change for statements in flight. A
	// longer timeout would let more of them finish, but blocks all new statements
	// for that time.
	drainTimeout = 250 * time.Millisecond
	// targetTimeout limits the time for which nothing listens at a target's address or
	// the target is not frozen. After it, another target is chosen. It also limits the
	// wait for the old primary to step down.
	targetTimeout = 900 * time.Millisecond
)

// AnalysisCode identifies what a group needs. Each code has one recovery (recoveries).
type AnalysisCode uint8

const (
	// NotInitialized means that the group has no committed state.
	NotInitialized AnalysisCode = iota

	// Phase Serving:

	// PrimaryReturned means that a database other than the recorded primary is the
	// primary of a later term, or of this term while the recorded one is not
	// announced. Either the primary came back under another identity, or a promotion
	// took effect after its caller had died.
	PrimaryReturned
	// PrimaryDeparted means that the primary is gone, and no database claims to be
	// the primary.
	PrimaryDeparted
	// PrimaryMayReturn means that the primary is gone, but is not replaced yet: this
	// process has seen the newest revision for less than departureGracePeriod, another
	// database claims to be the primary but has not been observed as one that can be
	// adopted, or no database is announced.
	PrimaryMayReturn
	// PrimaryFailed means that the primary does not answer, and that the nodes'
	// reports or its overdue announcements confirm the failure.
	PrimaryFailed
	// SiteMoveCommitted means that every node uses a routing table that assigns the
	// group to a site, and that the group has not yet moved according to that table.
	SiteMoveCommitted
	// PrimaryDraining means that the primary serves, but has announced that it will
	// stop.
	PrimaryDraining
	// Serving means that the primary serves and nothing has to change.
	Serving

	// Phase Draining:

	// DrainPending means that statements are still in flight at the primary, or that
	// no replica at the destination site has caught up with it.
	DrainPending
	// PrimaryDrained means that no statement is in flight at the primary, or that
	// drainTimeout is over. In a site move it also means that a replica at the
	// destination site has caught up.
	PrimaryDrained
	// PrimaryLostDuringMove means that the primary is gone or does not answer during
	// a site move.
	PrimaryLostDuringMove
	// SiteMoveStalled means that no replica at the destination site caught up in time.
	SiteMoveStalled

	// Phase Freezing:

	// OldPrimaryReturned means that the old primary answers again before the
	// platform was called.
	OldPrimaryReturned
	// PromotionTookEffect means that a promotion took effect after it was abandoned.
	PromotionTookEffect
	// FreezeIncomplete means that replicas that may have the most advanced position
	// are not frozen, or that nodes may still use the old primary.
	FreezeIncomplete
	// SiteReplicaBehind means that a replica at another site is more advanced than
	// those at the destination site.
	SiteReplicaBehind
	// TargetFound means that the most advanced replica is known and can be promoted.
	TargetFound

	// Phase Promoting:

	// TargetUnusable means that the target is gone, cannot be frozen, or is no longer
	// the most advanced replica.
	TargetUnusable
	// PromotionDue means that the platform has to be called, or called again.
	PromotionDue
	// PromotionPending means that the platform was called, but the target is not the
	// primary yet.
	PromotionPending
	// TargetPromoted means that the target is the primary.
	TargetPromoted
	// OlderRevisionInUse means that the target is the primary, but that nodes may
	// still use the old primary.
	OlderRevisionInUse

	analysisCodes
)

// Analysis is the result of analyzing a group: what the group needs, and the data that
// the recovery uses.
type Analysis struct {
	Code AnalysisCode
	// Reason explains why the primary or the target has to be replaced.
	Reason string
	// Primary is the primary of a group in phase Serving.
	Primary ports.Instance
	// Target is the database that is to become the primary, or already is.
	Target ports.Instance
	// freeze lists the frozen and missing replicas, in phases that freeze them.
	freeze freezeState

	// polls lists databases to poll because their answers may change the analysis.
	polls []statusPoll
	// primaryTrusted reports that no node reports the primary as unreachable and that
	// its announcements are not overdue, so that earlier failed calls can be disregarded.
	primaryTrusted bool
}

// statusPoll requests a status poll of a database, at most once per interval.
type statusPoll struct {
	instance ports.Instance
	interval time.Duration
}

// analyze determines what the group needs now. Its only side effects are that it
// schedules the next step (wakeAt) and starts to observe a primary that was never
// announced to this process.
func (g *Group) analyze(now int64, input Input) Analysis {
	if input.Revision == 0 {
		return Analysis{Code: NotInitialized}
	}
	switch input.phase() {
	case ports.PhaseServing:
		return g.analyzeServing(now, input)
	case ports.PhaseDraining:
		return g.analyzeDraining(now, input)
	case ports.PhaseFreezing:
		return g.analyzeFreezing(now, input)
	default:
		return g.analyzePromoting(now, input)
	}
}

// analyzeServing analyzes a group in phase Serving.
func (g *Group) analyzeServing(now int64, input Input) Analysis {
	primary, announced := input.instance(input.State.Primary)
	returned, polls, found := g.returnedPrimary(input, announced)
	if found {
		return Analysis{Code: PrimaryReturned, Target: returned, polls: polls}
	}
	if !announced && input.departed(input.State.Primary) {
		a := g.analyzeDeparture(now, input)
		a.polls = polls
		return a
	}
	if !announced {
		// This process has not received an announcement of it yet.
		primary = ports.Instance{ID: input.State.Primary, Group: input.Group, Address: input.State.Address, Primary: true}
		g.track(primary.ID)
	}
	a := Analysis{Primary: primary, polls: polls}
	health, reason := g.primaryHealth(now, input, primary)
	switch health {
	case primaryFailed:
		a.Code, a.Reason = PrimaryFailed, reason
		return a
	case primarySuspected:
		a.polls = append(a.polls, statusPoll{primary, primaryCheckInterval})
	case primaryTrusted:
		a.primaryTrusted = true
	}
	switch {
	case input.Move.Committed && input.State.TableRevision < input.Move.TableRevision:
		a.Code = SiteMoveCommitted
	case primary.Draining:
		a.Code = PrimaryDraining
	default:
		a.Code = Serving
	}
	return a
}

// returnedPrimary returns a database other than the recorded primary that has to be
// adopted as the primary. If there is none, it returns polls of the databases that
// claim to be the primary.
func (g *Group) returnedPrimary(input Input, primaryAnnounced bool) (returned ports.Instance, polls []statusPoll, found bool) {
	for _, i := range input.Instances {
		if i.ID == input.State.Primary || !i.Primary {
			continue
		}
		database := g.databases[i.ID]
		if !database.isPrimary() {
			if !primaryAnnounced {
				polls = append(polls, statusPoll{i, 2 * primaryCheckInterval})
			}
			continue
		}
		term := database.status.Term
		if term > input.State.Term || term == input.State.Term && !primaryAnnounced {
			return i, polls, true
		}
	}
	return ports.Instance{}, polls, false
}

// analyzeDeparture analyzes a group whose primary has departed.
func (g *Group) analyzeDeparture(now int64, input Input) Analysis {
	if elapsed(g.change.revisionStartedAt, now) < departureGracePeriod {
		g.wakeAt(after(g.change.revisionStartedAt, departureGracePeriod))
		return Analysis{Code: PrimaryMayReturn}
	}
	claimed := slices.ContainsFunc(input.Instances, func(i ports.Instance) bool { return i.Primary })
	if claimed || len(input.Instances) == 0 {
		return Analysis{Code: PrimaryMayReturn}
	}
	return Analysis{Code: PrimaryDeparted, Reason: "the primary is gone"}
}

// primaryHealth is the assessed health of a primary.
type primaryHealth uint8

const (
	// primaryTrusted means that no node reports the primary as unreachable, and that
	// its announcements are not overdue.
	primaryTrusted primaryHealth = iota
	// primaryAnswers means that the primary answers this process, so that the fault
	// is with the nodes that cannot reach it.
	primaryAnswers
	// primarySuspected means that the primary may have failed and has to be polled.
	primarySuspected
	// primaryFailed means that the primary has failed and has to be replaced.
	primaryFailed
)

// primaryHealth assesses a primary by the nodes' reports, its announcements and this
// process's own calls. If the primary has failed, it also returns the reason. A
// failure needs two independent observers: a single process or node may itself be
// the one that is disconnected.
func (g *Group) primaryHealth(now int64, input Input, primary ports.Instance) (health primaryHealth, reason string) {
	database := g.databases[primary.ID]
	report := input.HealthReports[primary.ID]
	announcedAt := input.LastAnnouncedUs[primary.ID]
	overdue := announcedAt > 0 && elapsed(announcedAt, now) > announcementTimeout
	if !overdue && announcedAt > 0 {
		g.wakeAt(after(announcedAt, announcementTimeout))
	}
	if report.UnreachableFrom == 0 && !overdue {
		return primaryTrusted, ""
	}
	if g.primaryAnsweredRecently(now, database) && report.UnreachableFrom <= input.ReportingNodes/2 {
		g.wakeAt(after(now, 3*primaryCheckInterval))
		return primaryAnswers, ""
	}
	connectionsRefused := database.absentSince > 0 && (database.consecutiveFailures >= 2 || report.DisconnectedFrom >= 2)
	reportedByMajority := report.UnreachableFrom*2 > input.ReportingNodes
	reportedLong := report.LongestFailingUs >= primaryTimeout.Microseconds() && report.UnreachableFrom > 1
	switch {
	case connectionsRefused:
		return primaryFailed, fmt.Sprintf("nobody listens at the primary's address; %d nodes cannot use it", report.UnreachableFrom)
	case database.unresponsive(now, primaryTimeout) && (reportedByMajority || overdue || reportedLong):
		return primaryFailed, fmt.Sprintf("the primary is silent; %d of %d nodes cannot use it", report.UnreachableFrom, input.ReportingNodes)
	}
	if database.failingSince > 0 {
		g.wakeAt(after(database.failingSince, primaryTimeout))
	}
	return primarySuspected, ""
}

// primaryAnsweredRecently reports whether the last call to the primary succeeded, is
// recent and was sent under the newest revision, and no other call is in flight.
func (g *Group) primaryAnsweredRecently(now int64, database *observation) bool {
	return database.healthy() && database.observedAt > g.change.revisionStartedAt &&
		elapsed(database.observedAt, now) < 3*primaryCheckInterval && database.callInFlight == 0
}

// analyzeDraining analyzes a group in phase Draining.
func (g *Group) analyzeDraining(now int64, input Input) Analysis {
	drained := input.PrimaryIdle || elapsed(g.change.revisionStartedAt, now) >= drainTimeout
	if input.moveInProgress() {
		return g.analyzeSiteMoveDraining(now, input, drained)
	}
	if drained {
		return Analysis{Code: PrimaryDrained}
	}
	g.wakeAt(after(g.change.revisionStartedAt, drainTimeout))
	return Analysis{Code: DrainPending}
}

// analyzeSiteMoveDraining analyzes a site move in phase Draining. It ends the phase only
// once a replica at the destination site has caught up with the drained primary.
func (g *Group) analyzeSiteMoveDraining(now int64, input Input, drained bool) Analysis {
	primary, announced := input.instance(input.State.Primary)
	if !announced && input.departed(input.State.Primary) || announced && g.databases[primary.ID].unresponsive(now, primaryTimeout) {
		return Analysis{Code: PrimaryLostDuringMove, Reason: "the primary is lost while the group moves"}
	}
	a := Analysis{Code: DrainPending}
	if drained && announced {
		a.polls = append(a.polls, statusPoll{primary, promotionPollInterval})
		for _, i := range input.replicasAtDestinationSite(primary) {
			a.polls = append(a.polls, statusPoll{i, promotionPollInterval})
		}
		if g.siteReplicaCaughtUp(input, primary) {
			a.Code = PrimaryDrained
			return a
		}
	}
	if elapsed(g.change.revisionStartedAt, now) >= siteMoveCatchUpTimeout {
		a.Code = SiteMoveStalled
		return a
	}
	g.wakeAt(after(now, promotionPollInterval))
	return a
}

// analyzeFreezing analyzes a group in phase Freezing. Until its timeout, a site move does
// not end when the old primary answers, because the old primary is expected to be healthy.
func (g *Group) analyzeFreezing(now int64, input Input) Analysis {
	moving := input.moveInProgress() && !input.State.PromotionRequested
	moveInTime := moving && elapsed(g.change.revisionStartedAt, now) < 2*siteMoveCatchUpTimeout
	a := Analysis{Code: FreezeIncomplete}
	if !moveInTime && !input.State.PromotionRequested {
		returned, polls, found := g.oldPrimary(now, input)
		a.polls = polls
		if found {
			a.Code, a.Target = OldPrimaryReturned, returned
			return a
		}
	}
	if promoted, found := g.latePromotion(input); found {
		a.Code, a.Target = PromotionTookEffect, promoted
		return a
	}
	a.freeze = g.observeFreeze(input, g.change.revisionStartedAt)
	a.polls = append(a.polls, g.stoppingPrimaryPolls(input, a.freeze)...)
	if len(a.freeze.frozen) == 0 {
		return a
	}
	a.Target = g.newestReplica(input, a.freeze.frozen)
	if !g.safeToPromote(now, input, a.Target, a.freeze) {
		return a
	}
	if !input.NoOlderRevisionInUse {
		// A node may still acknowledge commits of the old primary, and a promotion
		// may resume the other replicas, so that they would receive such commits.
		g.wakeAt(after(now, olderRevisionPollInterval))
		return a
	}
	a.Code = TargetFound
	if _, announced := input.instance(input.State.PreviousPrimary); announced && moveInTime && !input.atDestinationSite(a.Target) {
		a.Code = SiteReplicaBehind
	}
	return a
}

// stoppingPrimaryPolls returns a poll of the old primary if it drains or has deregistered, and
// replicas are missing: its position shows whether the others have everything that a node
// acknowledged whose reports are lost.
func (g *Group) stoppingPrimaryPolls(input Input, freeze freezeState) []statusPoll {
	old, announced := input.instance(input.State.PreviousPrimary)
	stops := announced && old.Draining
	if gone := input.Gone[input.State.PreviousPrimary]; gone.Deregistered && g.databases[gone.ID] != nil {
		old, stops = gone.Instance, true
	}
	if !stops || freeze.missingCount() == 0 {
		return nil
	}
	return []statusPoll{{old, replicaPollInterval}}
}

// oldPrimary returns the primary that is being replaced, under its old or a new
// identity, if it still serves in its term. If there is none, it returns polls of the
// databases that may be the old primary.
func (g *Group) oldPrimary(now int64, input Input) (returned ports.Instance, polls []statusPoll, found bool) {
	for _, i := range input.Instances {
		if i.Draining || i.ID != input.State.PreviousPrimary && !i.Primary {
			continue
		}
		if g.stillPrimary(input, i) {
			return i, polls, true
		}
		if elapsed(g.change.revisionStartedAt, now) > 2*replicaFreezeRetryInterval {
			polls = append(polls, statusPoll{i, replicaPollInterval})
		}
	}
	return ports.Instance{}, polls, false
}

// stillPrimary reports whether a database has been observed as the primary of the
// committed term by a call that was sent after the first step for the newest revision.
func (g *Group) stillPrimary(input Input, i ports.Instance) bool {
	database := g.databases[i.ID]
	return database.healthy() && database.observedAt > g.change.revisionStartedAt &&
		database.status.Primary && database.status.Term == input.State.Term
}

// latePromotion returns a database that is already the primary of a later term.
func (g *Group) latePromotion(input Input) (promoted ports.Instance, found bool) {
	for _, i := range input.Instances {
		database := g.databases[i.ID]
		if i.ID != input.State.PreviousPrimary && database.isPrimary() && database.status.Term > input.State.Term {
			return i, true
		}
	}
	return ports.Instance{}, false
}

// analyzePromoting analyzes a group in phase Promoting.
func (g *Group) analyzePromoting(now int64, input Input) Analysis {
	target, announced := input.instance(input.State.Primary)
	if !announced {
		return Analysis{Code: TargetUnusable, Reason: "the chosen one is gone"}
	}
	a := Analysis{Target: target}
	database := g.databases[target.ID]
	switch {
	case database.isPrimary() && database.status.Term > input.State.Term:
		a.Code = TargetPromoted
		if !input.NoOlderRevisionInUse {
			a.Code = OlderRevisionInUse
			g.wakeAt(after(now, olderRevisionPollInterval))
		}
	case database.absentSince > 0 && elapsed(database.absentSince, now) > targetTimeout:
		a.Code, a.Reason = TargetUnusable, "nobody listens at the chosen one's address"
	case !g.promotion.due(now):
		a.Code = PromotionPending
	default:
		return g.analyzePromotion(now, input, target)
	}
	return a
}

// analyzePromotion verifies, just before the platform is called, that the target is
// frozen and still the most advanced replica.
func (g *Group) analyzePromotion(now int64, input Input, target ports.Instance) Analysis {
	a := Analysis{Code: FreezeIncomplete, Target: target}
	frozenSince := now - (2 * replicaFreezeRetryInterval).Microseconds()
	if g.promotion.requestedAt == 0 {
		frozenSince = g.change.revisionStartedAt
	}
	a.freeze = g.observeFreeze(input, frozenSince)
	if !slices.ContainsFunc(a.freeze.frozen, func(i ports.Instance) bool { return i.ID == target.ID }) {
		if g.promotion.requestedAt == 0 && g.lease.mayCommand && g.commandedFor(now) > targetTimeout {
			a.Code, a.Reason = TargetUnusable, "the chosen one cannot be held"
		}
		return a
	}
	newest := g.databases[g.newestReplica(input, a.freeze.frozen).ID]
	if newest.status.Received.Compare(g.databases[target.ID].status.Received) > 0 {
		a.Code, a.Reason = TargetUnusable, "another is further by now"
		return a
	}
	if !g.allMissingLost(now, input, a.freeze, departureGracePeriod) {
		return a
	}
	a.Code = PromotionDue
	return a
}

// commandedFor returns the time for which this process has been allowed to command
// databases under the newest revision.
func (g *Group) commandedFor(now int64) time.Duration {
	return elapsed(max(g.change.revisionStartedAt, g.lease.mayCommandSince), now)
}
