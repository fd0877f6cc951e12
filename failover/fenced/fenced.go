// Package fenced decides, for one group, who leads it where followers can be
// held but not sealed: it founds the group, replaces a primary that is lost or
// that leaves, and tidies up behind (design 14.6, 14.7). Group is a
// deterministic core; every step that counts is a revision of the group's
// register, and only the agreed holder of the group's duty commands a database or
// calls the platform (duty.go, design 16).
package fenced

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"stoneford/internal/ports"
	"stoneford/result"
	"stoneford/schema"
)

// HealthReport is what the pool nodes say of one database.
type HealthReport struct {
	UnreachableFrom  int   // that cannot use it
	DisconnectedFrom int   // of these, whose connections ended
	LongestFailingUs int64 // longest
}

// Input is what a step is told beside the time.
type Input struct {
	Group                string
	RequiredReplicaAcks  int
	State                *schema.Leadership
	Revision             uint64
	UpToDate             bool // State is the newest that any voter holds
	Role                 RoleState
	Instances            []ports.Instance // of this group, none that is gone
	Gone                 map[string]bool  // those that said or are taken to be gone
	InventoryComplete    bool             // whoever is neither here nor gone is gone too
	Members              []string         // agreed: whose word counts
	MembersRevision      uint64
	LastAnnounced        map[string]int64 // when each last announced itself here
	HealthReports        map[string]HealthReport
	ReportingNodes       int  // pool nodes that looked lately
	Idle                 bool // all of them say that nothing is under way at the primary
	AllNotified          bool // all of them know of the newest revision
	NoOlderRevisionInUse bool // no node relies on an older revision any more
	Acknowledged         ports.Position
	Move                 SiteMove
}

// SiteMove is what the routing table wants of the group (design 15).
type SiteMove struct {
	InSite         func(zone string) bool // says that a zone belongs to the site that the table names; nil: none
	Site           string
	TableRevision  uint64 // register revision that made it
	CheckCandidate bool   // see whether a database there is level
	Committed      bool   // all work by that table: the switch is to be carried out
}

// atWantedSite says that a database stands at the site wanted.
func (input Input) atWantedSite(zone string) bool {
	return input.Move.InSite != nil && input.Move.InSite(zone)
}

// moveInProgress says that the change under way is the move.
func (input Input) moveInProgress() bool {
	return input.Move.Committed && input.State.GetTableRevision() == input.Move.TableRevision
}

// Effects.
type (
	// DatabaseCall puts a question to a database; Kind is Status, Hold, Resume or StepDown.
	// A command is not to leave, nor to be under way, at or after Until.
	DatabaseCall struct {
		ID        uint64
		Instance  ports.Instance
		Kind      ports.StatementKind
		Term      uint64
		TimeoutUs int64
		Until     int64
	}
	// ProposeState asks for a new revision of the group's register.
	ProposeState struct {
		BaseRevision uint64
		Data         []byte
	}
	// ProposeMembers asks for a new revision of the members' register.
	ProposeMembers struct {
		BaseRevision uint64
		IDs          []string
	}
	// Promote asks the platform to have a database lead. The call is not to leave,
	// nor to be under way, at or after Until.
	Promote struct {
		ID           string
		Owner        string
		FencingToken uint64
		Until        int64
	}
	// LogEntry is for the log.
	LogEntry struct {
		Code    result.Code
		Message string
	}
)

// DatabaseReply ends an Ask.
type DatabaseReply struct {
	ID      uint64
	Err     string
	Absent  bool // nobody listens at its address, or another database does
	NotSent bool // it never left: the lease had ended
	Status  ports.DatabaseStatus
}

const (
	databaseCallTimeout          = 400_000
	primaryCheckInterval         = 60_000
	replicaFreezeRetryInterval   = 60_000
	promotionPollInterval        = 40_000    // at a database that is being promoted
	primaryTimeout               = 450_000   // a primary that does not answer this long is given up
	announcementTimeout          = 4_000_000 // an announcement that is so late has the database looked at
	drainTimeout                 = 250_000   // longest that open transactions hold a planned switch up
	promoteRetryInterval         = 1_500_000 // the platform is asked again
	promoteRejectedRetryInterval = 250_000   // where it bounced the call
	targetTimeout                = 900_000
	replicaPollInterval          = 400_000
	plannedReparentTimeout       = 4_500_000 // a primary that leaves is left then, however its followers stand
	stepDownRetryInterval        = 700_000
	resumeRetryInterval          = 250_000
	cleanUpPeriod                = 8_000_000
	departureGracePeriod         = 300_000
	strayFreezeWatchPeriod       = 30_000_000 // after a claim: followers are looked at for late commands
	strayFreezeWatchInterval     = 1_000_000
	siteMoveCatchUpTimeout       = 1_000_000 // longest that a move waits for the database at its site before it seals; afterwards twice that
	siteMoveCooldown             = 4_000_000 // between a change and a move: the platform may carry out an order of the change late
	maxReplicaLagCommits         = 400       // commits that a follower may lack as a planned switch begins
)

type observation struct {
	status       ports.DatabaseStatus
	observedAt   int64 // when the newest answer's question left
	known        bool
	failingSince int64 // since when it does not answer, 0 if it does
	absentSince  int64 // since when nobody listens there
	failures     int
	callInFlight uint64
	nextCallAt   int64
	frozenTerm   uint64 // seen held at this term
	frozenAt     int64
	caughtUpAt   int64 // when it was asked last and had what the primary had before
}

type pendingCall struct {
	databaseID string
	kind       ports.StatementKind
	sentAt     int64
}

// Group decides for one group.
type Group struct {
	databases            map[string]*observation
	calls                map[uint64]pendingCall
	lastCallID           uint64
	revision             uint64 // revision that the times below are of
	revisionSince        int64  // when it was first acted on
	proposedAt           int64
	promoteRequestedAt   int64 // when the platform was last asked
	promoteRejected      bool
	promoteAttempts      int
	resumed              map[string]bool
	drainingSince        map[string]int64
	changeStartedAt      int64                     // when the change under way was first seen here
	departedAt           map[string]int64          // members that are gone, and since when
	requiredPositions    map[string]ports.Position // what the primary held after that
	membersProposedAt    int64
	nextStepAt           int64
	moveCandidateReady   bool   // a database at the site that the move goes to is level
	moveCandidateProblem string // why it is not
	leaseState           leaseState
	effects              []any
}

// New makes a group's decider.
func New() *Group {
	return &Group{databases: map[string]*observation{}, calls: map[uint64]pendingCall{}, resumed: map[string]bool{}, drainingSince: map[string]int64{},
		departedAt: map[string]int64{}, requiredPositions: map[string]ports.Position{}}
}

// NextStepAt is when Step has something to do next even if nothing happens.
func (g *Group) NextStepAt() int64 { return g.nextStepAt }

func (g *Group) wakeAt(at int64) { g.nextStepAt = min(g.nextStepAt, at) }

// MembersProposalDone tells that a ProposeMembers has ended, however.
func (g *Group) MembersProposalDone() { g.membersProposedAt = 0 }

// StateProposalDone tells that a Put has ended, however.
func (g *Group) StateProposalDone() { g.proposedAt = 0 }

// HandlePromotionResult ends a Promote: ok if the platform took it, gone if it says that the
// database is not running.
func (g *Group) HandlePromotionResult(now int64, ok, gone bool) {
	g.leaseState.platformCallDone(now, ok)
	if gone {
		g.promoteRequestedAt, g.promoteRejected = now, true
		for _, s := range g.databases {
			s.nextCallAt = 0
		}
		return
	}
	g.promoteRejected = !ok
}

// HandleDatabaseReply takes a database's answer.
func (g *Group) HandleDatabaseReply(now int64, e DatabaseReply) {
	q, ok := g.calls[e.ID]
	delete(g.calls, e.ID)
	s := g.databases[q.databaseID]
	if !ok || s == nil {
		return
	}
	if s.callInFlight == e.ID {
		s.callInFlight = 0
	}
	if e.NotSent {
		return
	}
	if e.Err != "" {
		if q.kind != ports.Status {
			g.leaseState.lastUncertainAt = now
		}
		s.failures++
		if s.failingSince == 0 {
			s.failingSince = q.sentAt
		}
		if e.Absent {
			if s.absentSince == 0 {
				s.absentSince = q.sentAt
			}
		} else {
			s.absentSince = 0
		}
		return
	}
	if s.known && q.sentAt < s.observedAt {
		return
	}
	s.status, s.observedAt, s.known, s.failingSince, s.absentSince, s.failures = e.Status, q.sentAt, true, 0, 0, 0
	if e.Status.FrozenTerm > 0 {
		s.frozenTerm, s.frozenAt = e.Status.FrozenTerm, q.sentAt
	} else {
		s.frozenTerm = 0
	}
}

func (g *Group) logf(c result.Code, f string, a ...any) {
	g.effects = append(g.effects, LogEntry{Code: c, Message: fmt.Sprintf(f, a...)})
}

func (g *Group) call(now int64, i ports.Instance, k ports.StatementKind, term uint64, every int64) {
	s := g.databases[i.ID]
	if k != ports.Status && !g.leaseState.mayCommand {
		g.wakeAt(now + commandRetryInterval)
		return
	}
	if s.callInFlight != 0 || now < s.nextCallAt {
		g.wakeAt(max(s.nextCallAt, now+every))
		return
	}
	g.lastCallID++
	s.callInFlight, s.nextCallAt = g.lastCallID, now+every
	g.calls[g.lastCallID] = pendingCall{databaseID: i.ID, kind: k, sentAt: now}
	g.effects = append(g.effects, DatabaseCall{ID: g.lastCallID, Instance: i, Kind: k, Term: term, TimeoutUs: databaseCallTimeout, Until: g.leaseState.expiresAt})
	g.wakeAt(now + every)
}

func (g *Group) propose(now int64, input Input, s *schema.Leadership) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		panic(err)
	}
	g.proposedAt = now
	g.effects = append(g.effects, ProposeState{BaseRevision: input.Revision, Data: b})
}

// nextState is the state that follows. It keeps the holder: only a claim or a
// hand-over changes that.
func nextState(input Input, p ports.Phase, cause string) *schema.Leadership {
	n := proto.Clone(input.State).(*schema.Leadership)
	n.Phase, n.Cause = uint32(p), cause
	return n
}

// discardObservations drops what was seen of the databases.
func (g *Group) discardObservations() {
	for _, s := range g.databases {
		s.known, s.frozenTerm, s.failingSince, s.absentSince, s.caughtUpAt = false, 0, 0, 0, 0
	}
	g.revision = 0
}

// Step does what is due.
func (g *Group) Step(now int64, input Input) []any {
	g.effects, g.nextStepAt = nil, math.MaxInt64
	g.observeRole(now, input)
	if !g.CanAct(now, input) {
		if input.Revision == 0 || g.leaseState.fencingToken == 0 {
			g.discardObservations() // what another does meanwhile makes it old
		}
		g.changeOwner(now, input)
		return g.effects
	}
	if !input.UpToDate {
		return nil
	}
	if now-g.leaseState.lastStepAt > primaryTimeout {
		g.discardObservations()
	}
	g.leaseState.lastStepAt = now
	for _, i := range input.Instances {
		if g.databases[i.ID] == nil {
			g.databases[i.ID] = &observation{}
		}
		if i.Draining && g.drainingSince[i.ID] == 0 {
			g.drainingSince[i.ID] = now
		}
	}
	gone := func(id string) bool { _, ok := findInstance(input, id); return !ok && id != input.State.GetPrimary() }
	maps.DeleteFunc(g.databases, func(id string, _ *observation) bool { return gone(id) })
	maps.DeleteFunc(g.drainingSince, func(id string, _ int64) bool { return gone(id) })
	if g.proposalPending(now) {
		return g.effects
	}
	if g.revision != input.Revision {
		g.revision, g.revisionSince, g.promoteRequestedAt, g.promoteAttempts, g.promoteRejected = input.Revision, now, 0, 0, false
		clear(g.resumed)
		for _, s := range g.databases {
			s.nextCallAt = 0 // what was asked now and then is asked at once
		}
		if ports.Phase(input.State.GetPhase()) == ports.PhaseServing {
			g.changeStartedAt = 0
		} else {
			if g.changeStartedAt == 0 {
				g.changeStartedAt = now
			}
			for _, s := range g.databases {
				s.nextCallAt = 0 // what was asked at leisure before is urgent now
			}
		}
	}
	switch {
	case input.Revision == 0:
		g.initialize(now, input)
	case ports.Phase(input.State.Phase) == ports.PhaseServing:
		g.superviseServing(now, input)
	case ports.Phase(input.State.Phase) == ports.PhaseDraining:
		g.waitForDrain(now, input)
	case ports.Phase(input.State.Phase) == ports.PhaseFreezing:
		g.freezeAndChoose(now, input)
	default:
		g.promoteTarget(now, input)
	}
	return g.effects
}

// departed says that a database is surely no longer there.
func (input Input) departed(id string) bool {
	_, present := findInstance(input, id)
	return !present && (input.Gone[id] || input.InventoryComplete)
}

func findInstance(input Input, id string) (ports.Instance, bool) {
	i := slices.IndexFunc(input.Instances, func(i ports.Instance) bool { return i.ID == id })
	if i < 0 {
		return ports.Instance{}, false
	}
	return input.Instances[i], true
}

// initialize begins with the database that leads already.
func (g *Group) initialize(now int64, input Input) {
	for _, i := range input.Instances {
		if !i.Primary {
			continue
		}
		if s := g.databases[i.ID]; s.known && s.status.Primary {
			g.logf(result.FailoverCompleted, "%s: %s leads term %d as found", input.Group, i.ID, s.status.Term)
			g.propose(now, input, &schema.Leadership{Term: s.status.Term, Primary: i.ID, Address: i.Address, RoleOwner: input.Role.Self, RoleOwnerRun: input.Role.Run, FencingToken: 1, Cause: "found"})
			g.leaseState.uncontestedToken = 1
			return
		}
		g.call(now, i, ports.Status, 0, primaryCheckInterval*2)
	}
}

// superviseServing looks after a group that has a primary.
func (g *Group) superviseServing(now int64, input Input) {
	state := input.State
	p, ok := findInstance(input, state.Primary)
	if g.adoptReturnedPrimary(now, input, ok) {
		return
	}
	if !ok && input.departed(state.Primary) {
		if reason := g.primaryLost(now, input); reason != "" {
			g.startFreeze(now, input, reason)
		}
		return
	}
	if !ok {
		// This process has merely not heard of it yet.
		p = ports.Instance{ID: state.Primary, Group: input.Group, Address: state.Address, Primary: true}
		if g.databases[p.ID] == nil {
			g.databases[p.ID] = &observation{}
		}
	}
	if reason := g.primaryFailure(now, input, p); reason != "" {
		g.startFreeze(now, input, reason)
		return
	}
	if input.Move.Committed && state.TableRevision < input.Move.TableRevision {
		g.startSiteMove(now, input, p)
		return
	}
	g.cleanUpAfterChange(now, input)
	g.resumeStrayFrozen(now, input)
	g.freezeDrainingReplicas(now, input, p)
	g.updateMembers(now, input, p)
	if input.Move.CheckCandidate {
		g.checkMoveCandidate(now, input, p)
	}
	if p.Draining {
		g.startPlannedReparent(now, input, p)
	}
}

// MoveCandidate says whether a database at the site wanted is level, and if not why.
func (g *Group) MoveCandidate() (bool, string) { return g.moveCandidateReady, g.moveCandidateProblem }

// checkMoveCandidate sees whether a database at the site wanted is level with the primary.
func (g *Group) checkMoveCandidate(now int64, input Input, p ports.Instance) {
	g.moveCandidateReady, g.moveCandidateProblem = input.atWantedSite(p.Zone), ""
	if g.moveCandidateReady {
		return
	}
	if input.State.PreviousPrimary != "" && now-g.revisionSince < siteMoveCooldown {
		g.moveCandidateProblem = "the group changed its primary just now"
		g.wakeAt(g.revisionSince + siteMoveCooldown)
		return
	}
	g.moveCandidateProblem = "no database is announced there"
	primaryState := g.databases[p.ID]
	for _, i := range input.Instances {
		if i.ID == p.ID || i.Draining || !input.atWantedSite(i.Zone) {
			continue
		}
		s := g.databases[i.ID]
		switch {
		case !s.known || s.failingSince > 0 || now-s.observedAt > 3*replicaPollInterval:
			g.moveCandidateProblem = i.ID + " does not answer"
		case s.status.Primary || s.status.FrozenTerm > 0:
			g.moveCandidateProblem = i.ID + " does not follow"
		case !primaryState.known || primaryState.failingSince > 0 || now-primaryState.observedAt > 3*replicaPollInterval:
			g.moveCandidateProblem = p.ID + ", which leads, does not answer"
		case primaryState.status.Received.Number-s.status.Received.Number > maxReplicaLagCommits:
			g.moveCandidateProblem = fmt.Sprintf("%s lacks %d commits", i.ID, primaryState.status.Received.Number-s.status.Received.Number)
		default:
			g.moveCandidateReady, g.moveCandidateProblem = true, ""
		}
		g.call(now, i, ports.Status, 0, replicaPollInterval)
		if g.moveCandidateReady {
			break
		}
	}
	g.call(now, p, ports.Status, 0, replicaPollInterval)
}

// startSiteMove begins the switch to the site that the table names. From here on the
// leadership needs that table.
func (g *Group) startSiteMove(now int64, input Input, p ports.Instance) {
	if input.atWantedSite(p.Zone) {
		n := nextState(input, ports.PhaseServing, "serves at "+input.Move.Site+" already")
		n.TableRevision = input.Move.TableRevision
		g.propose(now, input, n)
		return
	}
	n := nextState(input, ports.PhaseDraining, "moves to "+input.Move.Site)
	n.PreviousPrimary, n.TableRevision = p.ID, input.Move.TableRevision
	g.logf(result.FailoverStarted, "%s: term %d: %s", input.Group, input.State.Term, n.Cause)
	g.propose(now, input, n)
}

// cancelSiteMove opens the group again where it was.
func (g *Group) cancelSiteMove(now int64, input Input, reason string) {
	n := nextState(input, ports.PhaseServing, reason)
	n.Primary = cmp.Or(input.State.PreviousPrimary, input.State.Primary) // Old stays, so that those that were held are told to go on
	if i, ok := findInstance(input, n.Primary); ok {
		n.Address = i.Address
	}
	g.logf(result.FailoverCompleted, "%s: %s leads on in term %d: %s", input.Group, n.Primary, n.Term, reason)
	g.propose(now, input, n)
}

// siteReplicaCaughtUp says, once all is quiet, whether a database at the site wanted has
// received all that the primary has.
func (g *Group) siteReplicaCaughtUp(now int64, input Input) bool {
	p, ok := findInstance(input, input.State.Primary)
	if !ok {
		return false
	}
	primaryState := g.databases[p.ID]
	g.call(now, p, ports.Status, 0, promotionPollInterval)
	caughtUp := false
	for _, i := range input.Instances {
		if i.ID == p.ID || i.Draining || !input.atWantedSite(i.Zone) {
			continue
		}
		s := g.databases[i.ID]
		caughtUp = caughtUp || primaryState.known && primaryState.failingSince == 0 && primaryState.observedAt >= g.revisionSince && s.known && s.failingSince == 0 && s.observedAt >= g.revisionSince &&
			!s.status.Received.Before(primaryState.status.Received)
		g.call(now, i, ports.Status, 0, promotionPollInterval)
	}
	return caughtUp
}

// adoptReturnedPrimary takes a primary that came back by itself with another identity, or one
// that the platform promoted for a process that died before it could say so.
func (g *Group) adoptReturnedPrimary(now int64, input Input, primaryPresent bool) bool {
	for _, i := range input.Instances {
		if i.ID == input.State.Primary || !i.Primary {
			continue
		}
		s := g.databases[i.ID]
		if !s.known || !s.status.Primary {
			if !primaryPresent {
				g.call(now, i, ports.Status, 0, primaryCheckInterval*2)
			}
			continue
		}
		if s.status.Term > input.State.Term || s.status.Term == input.State.Term && !primaryPresent {
			n := nextState(input, ports.PhaseServing, "came back")
			n.Term, n.Primary, n.Address = s.status.Term, i.ID, i.Address
			g.logf(result.FailoverCompleted, "%s: %s leads term %d, come back", input.Group, i.ID, n.Term)
			g.propose(now, input, n)
			return true
		}
	}
	return false
}

// primaryLost says why a group whose primary is no longer announced is to have another.
func (g *Group) primaryLost(now int64, input Input) string {
	if now-g.revisionSince < departureGracePeriod {
		g.wakeAt(g.revisionSince + departureGracePeriod)
		return ""
	}
	if slices.ContainsFunc(input.Instances, func(i ports.Instance) bool { return i.Primary }) {
		return "" // one that leads is being looked at
	}
	if len(input.Instances) == 0 {
		return ""
	}
	return "the primary is gone"
}

// primaryFailure looks at a primary that nodes cannot use, or that does not announce
// itself, and says why it is given up.
func (g *Group) primaryFailure(now int64, input Input, p ports.Instance) string {
	s := g.databases[p.ID]
	w := input.HealthReports[p.ID]
	overdue := input.LastAnnounced[p.ID] > 0 && now-input.LastAnnounced[p.ID] > announcementTimeout
	if !overdue && input.LastAnnounced[p.ID] > 0 {
		g.wakeAt(input.LastAnnounced[p.ID] + announcementTimeout)
	}
	if w.UnreachableFrom == 0 && !overdue {
		s.failingSince, s.absentSince, s.failures = 0, 0, 0
		return ""
	}
	if s.failingSince == 0 && s.known && s.observedAt > g.revisionSince && now-s.observedAt < primaryCheckInterval*3 && s.callInFlight == 0 && w.UnreachableFrom <= input.ReportingNodes/2 {
		// It answers this process; some nodes have trouble of their own.
		g.wakeAt(now + primaryCheckInterval*3)
		return ""
	}
	switch {
	case s.absentSince > 0 && (s.failures >= 2 || w.DisconnectedFrom >= 2):
		return fmt.Sprintf("nobody listens at the primary's address; %d nodes cannot use it", w.UnreachableFrom)
	case s.failingSince > 0 && now-s.failingSince >= primaryTimeout && (w.UnreachableFrom*2 > input.ReportingNodes || overdue || w.LongestFailingUs >= primaryTimeout && w.UnreachableFrom > 1):
		return fmt.Sprintf("the primary is silent; %d of %d nodes cannot use it", w.UnreachableFrom, input.ReportingNodes)
	}
	if s.failingSince > 0 {
		g.wakeAt(s.failingSince + primaryTimeout)
	}
	g.call(now, p, ports.Status, 0, primaryCheckInterval)
	return ""
}

// startPlannedReparent begins a planned switch once the followers are well.
func (g *Group) startPlannedReparent(now int64, input Input, p ports.Instance) {
	overdue := now-g.drainingSince[p.ID] > plannedReparentTimeout
	ready, unresponsive, remaining := 0, false, false
	primaryState := g.databases[p.ID]
	for _, i := range input.Instances {
		s := g.databases[i.ID]
		if i.ID != p.ID && !i.Draining && s.known && s.failingSince == 0 && !s.status.Primary && s.status.FrozenTerm == 0 &&
			primaryState.known && primaryState.status.Received.Number-s.status.Received.Number <= maxReplicaLagCommits {
			ready++
		}
		// Another that leaves as soon is no better.
		remaining = remaining || i.ID != p.ID && s.known && s.failingSince == 0 && (!i.Draining || g.drainingSince[i.ID]-g.drainingSince[p.ID] > plannedReparentTimeout/2)
		// One that does not answer would hold the change up once it has begun.
		unresponsive = unresponsive || !s.known || s.failingSince > 0
		g.call(now, i, ports.Status, 0, replicaPollInterval)
	}
	for _, id := range input.Members {
		_, present := findInstance(input, id)
		unresponsive = unresponsive || !present
	}
	if ready > 0 && !unresponsive || overdue && remaining {
		n := nextState(input, ports.PhaseDraining, p.ID+" leaves")
		n.PreviousPrimary = p.ID
		g.logf(result.FailoverStarted, "%s: term %d: %s", input.Group, input.State.Term, n.Cause)
		g.propose(now, input, n)
	}
}

// waitForDrain waits until nothing is under way at the primary.
func (g *Group) waitForDrain(now int64, input Input) {
	if input.moveInProgress() {
		p, ok := findInstance(input, input.State.Primary)
		switch {
		case !ok && input.departed(input.State.Primary), ok && g.databases[p.ID].failingSince > 0 && now-g.databases[p.ID].failingSince >= primaryTimeout:
			g.startFreeze(now, input, "the primary is lost while the group moves")
		case (input.Idle || now-g.revisionSince >= drainTimeout) && g.siteReplicaCaughtUp(now, input):
			g.startFreeze(now, input, input.State.Cause)
		case now-g.revisionSince >= siteMoveCatchUpTimeout:
			g.cancelSiteMove(now, input, "stays: no database at "+input.Move.Site+" came level")
		default:
			g.wakeAt(now + promotionPollInterval)
		}
		return
	}
	if input.Idle || now-g.revisionSince >= drainTimeout {
		g.startFreeze(now, input, input.State.Cause)
		return
	}
	g.wakeAt(g.revisionSince + drainTimeout)
}

// startFreeze opens the change: from its agreement on nothing goes to any primary.
func (g *Group) startFreeze(now int64, input Input, reason string) {
	n := nextState(input, ports.PhaseFreezing, reason)
	n.PreviousPrimary, n.FreezeRevision, n.PromotionRequested = input.State.Primary, input.Revision+1, false
	if ports.Phase(input.State.Phase) == ports.PhaseServing {
		g.logf(result.FailoverStarted, "%s: term %d: %s", input.Group, input.State.Term, reason)
	}
	g.propose(now, input, n)
}

// freezeTerm is above every term seen.
func (g *Group) freezeTerm(input Input) uint64 {
	t := input.State.Term
	for _, s := range g.databases {
		if s.known {
			t = max(t, s.status.Term)
		}
	}
	return t + 1
}

// electableReplicas are the databases whose word counts: all that are there but the old
// primary, as it was or come back in a new life.
func (g *Group) electableReplicas(input Input) []ports.Instance {
	return slices.DeleteFunc(slices.Clone(input.Instances), func(i ports.Instance) bool {
		s := g.databases[i.ID]
		return i.ID == input.State.PreviousPrimary || s.known && s.failingSince == 0 && s.status.Primary && s.status.Term <= input.State.Term
	})
}

// freezeReplicas has each follower receive nothing more, and returns those that are seen
// held by a question asked after since; missing are those that are not.
func (g *Group) freezeReplicas(now int64, input Input, since int64) (frozen, missing []ports.Instance) {
	t := g.freezeTerm(input)
	for _, i := range g.electableReplicas(input) {
		s := g.databases[i.ID]
		if s.known && s.failingSince == 0 && s.frozenTerm > input.State.Term && s.frozenAt >= since {
			frozen = append(frozen, i)
			continue
		}
		missing = append(missing, i)
		kind := ports.FreezeReplication
		if s.failures%2 == 1 || !g.leaseState.mayCommand {
			kind = ports.Status // it bounces a hold at a term that is none above its own: learn that
		}
		g.call(now, i, kind, t, replicaFreezeRetryInterval)
	}
	for _, id := range input.Members {
		if _, present := findInstance(input, id); !present && id != input.State.PreviousPrimary {
			// Gone or not, what it received is not known to be held by others.
			missing = append(missing, ports.Instance{ID: id})
		}
	}
	return frozen, missing
}

// freezeAndChoose holds the followers and proposes the furthest.
func (g *Group) freezeAndChoose(now int64, input Input) {
	moving := input.moveInProgress() && !input.State.PromotionRequested
	if (!moving || now-g.revisionSince >= 2*siteMoveCatchUpTimeout) && g.resumeOldPrimary(now, input) {
		return
	}
	// A database that led a later term already: a promotion that was asked for
	// took effect late.
	for _, i := range input.Instances {
		if s := g.databases[i.ID]; s.known && s.status.Primary && s.status.Term > input.State.Term && i.ID != input.State.PreviousPrimary {
			n := nextState(input, ports.PhasePromoting, input.State.Cause)
			n.Primary, n.Address, n.PromotionRequested = i.ID, i.Address, true
			g.propose(now, input, n)
			return
		}
	}
	frozen, missing := g.freezeReplicas(now, input, g.revisionSince)
	if len(frozen) == 0 {
		return
	}
	best := g.mostAdvanced(input, frozen)
	if len(missing) > 0 && !g.missingMembersAreSafe(now, input, best, missing) {
		return
	}
	if !input.NoOlderRevisionInUse {
		// A node may still acknowledge what the old primary commits; once another
		// was promoted, followers may be held no longer.
		g.wakeAt(now + 50_000)
		return
	}
	if moving && !input.atWantedSite(best.Zone) && now-g.revisionSince < 2*siteMoveCatchUpTimeout {
		// Another is further: the old primary leads on, if it can.
		if o, ok := findInstance(input, input.State.PreviousPrimary); ok {
			if s := g.databases[o.ID]; s.known && s.failingSince == 0 && s.observedAt > g.revisionSince && s.status.Primary && s.status.Term == input.State.Term {
				g.cancelSiteMove(now, input, "stays: another database is further than the one at "+input.Move.Site)
				return
			}
			g.call(now, o, ports.Status, 0, promotionPollInterval)
			return
		}
	}
	n := nextState(input, ports.PhasePromoting, input.State.Cause)
	n.Primary, n.Address, n.PromotionRequested = best.ID, best.Address, true
	var names []string
	for _, i := range frozen {
		names = append(names, fmt.Sprintf("%s at %d.%d", i.ID, g.databases[i.ID].status.Received.Term, g.databases[i.ID].status.Received.Number))
	}
	g.logf(result.FailoverTargetChosen, "%s: %s is the furthest of %v, %d missing", input.Group, best.ID, names, len(missing))
	g.propose(now, input, n)
}

// resumeOldPrimary has the old primary lead on where it is back before the platform was
// asked for another, whether as it was or in a new life.
func (g *Group) resumeOldPrimary(now int64, input Input) bool {
	if input.State.PromotionRequested {
		return false
	}
	for _, o := range input.Instances {
		if o.Draining || o.ID != input.State.PreviousPrimary && !o.Primary {
			continue
		}
		if s := g.databases[o.ID]; s.known && s.failingSince == 0 && s.observedAt > g.revisionSince && s.status.Primary && s.status.Term == input.State.Term {
			n := nextState(input, ports.PhaseServing, "the primary is back")
			n.Primary, n.Address = o.ID, o.Address
			g.logf(result.FailoverCompleted, "%s: %s leads on in term %d", input.Group, o.ID, n.Term)
			g.propose(now, input, n)
			return true
		}
		if now-g.revisionSince > 2*replicaFreezeRetryInterval {
			g.call(now, o, ports.Status, 0, replicaPollInterval)
		}
	}
	return false
}

// mostAdvanced is the held follower that has received most; of equals one that does
// not leave, one at the site that the table names, and the one that is warm.
func (g *Group) mostAdvanced(input Input, frozen []ports.Instance) ports.Instance {
	return slices.MaxFunc(frozen, func(a, b ports.Instance) int {
		x, y := g.databases[a.ID].status.Received, g.databases[b.ID].status.Received
		l := func(i ports.Instance) int {
			if i.Draining {
				return 0
			}
			return 1
		}
		site := func(i ports.Instance) int {
			if input.atWantedSite(i.Zone) {
				return 1
			}
			return 0
		}
		return cmp.Or(x.Compare(y), cmp.Compare(l(a), l(b)), cmp.Compare(site(a), site(b)), -cmp.Compare(a.WarmupUs, b.WarmupUs), cmp.Compare(a.ID, b.ID))
	})
}

// missingMembersAreSafe says whether the furthest of those held is known to hold all that was
// acknowledged although others are missing: every node has told what it
// acknowledged, after it stopped working by the old primary.
func (g *Group) missingMembersAreSafe(now int64, input Input, best ports.Instance, missing []ports.Instance) bool {
	if !input.AllNotified || !input.NoOlderRevisionInUse || input.ReportingNodes == 0 {
		return false
	}
	for _, i := range missing {
		if !g.unresponsiveFor(now, input, i.ID, primaryTimeout) {
			g.wakeAt(now + replicaFreezeRetryInterval)
			return false
		}
	}
	return !g.databases[best.ID].status.Received.Before(input.Acknowledged)
}

// unresponsiveFor reports whether a database is not waited for any more: it is surely gone,
// or has not answered for a time.
func (g *Group) unresponsiveFor(now int64, input Input, id string, after int64) bool {
	if input.departed(id) {
		return true
	}
	s := g.databases[id]
	return s != nil && s.failingSince > 0 && now-s.failingSince >= after
}

// promoteTarget sees the agreed target through.
func (g *Group) promoteTarget(now int64, input Input) {
	t, ok := findInstance(input, input.State.Primary)
	if !ok {
		g.chooseTargetAgain(now, input, "the chosen one is gone")
		return
	}
	s := g.databases[t.ID]
	if s.known && s.status.Primary && s.status.Term > input.State.Term {
		if !input.NoOlderRevisionInUse {
			g.wakeAt(now + 50_000)
			return
		}
		n := nextState(input, ports.PhaseServing, input.State.Cause)
		n.Term = s.status.Term
		if g.changeStartedAt > 0 {
			n.LastFailoverUs = now - g.changeStartedAt
		}
		g.logf(result.FailoverCompleted, "%s: %s leads term %d after %d ms", input.Group, t.ID, n.Term, n.LastFailoverUs/1000)
		g.propose(now, input, n)
		return
	}
	if s.absentSince > 0 && now-s.absentSince > targetTimeout {
		g.chooseTargetAgain(now, input, "nobody listens at the chosen one's address")
		return
	}
	if g.promoteRequestedAt == 0 || g.promoteRejected && now-g.promoteRequestedAt >= promoteRejectedRetryInterval || now-g.promoteRequestedAt >= promoteRetryInterval {
		// What was held must be seen held just before.
		since := now - replicaFreezeRetryInterval*2
		if g.promoteRequestedAt == 0 {
			since = g.revisionSince
		}
		frozen, missing := g.freezeReplicas(now, input, since)
		if !slices.ContainsFunc(frozen, func(i ports.Instance) bool { return i.ID == t.ID }) {
			if now-max(g.revisionSince, g.leaseState.mayCommandSince) > targetTimeout && g.promoteRequestedAt == 0 && g.leaseState.mayCommand {
				g.chooseTargetAgain(now, input, "the chosen one cannot be held")
			}
			return
		}
		if g.databases[g.mostAdvanced(input, frozen).ID].status.Received.Compare(s.status.Received) > 0 {
			g.chooseTargetAgain(now, input, "another is further by now")
			return
		}
		for _, i := range missing {
			if !g.unresponsiveFor(now, input, i.ID, departureGracePeriod) {
				g.wakeAt(now + replicaFreezeRetryInterval)
				return
			}
		}
		if !g.oldPrimarySteppedDown(now, input) {
			return
		}
		if !g.leaseState.mayCommand {
			g.wakeAt(now + commandRetryInterval)
			return
		}
		g.promoteRequestedAt, g.promoteRejected = now, false
		g.promoteAttempts++
		g.leaseState.platformCalls++
		g.effects = append(g.effects, Promote{ID: t.ID, Owner: input.State.RoleOwner, FencingToken: input.State.FencingToken, Until: g.leaseState.expiresAt})
		s.nextCallAt = now + promotionPollInterval*3
		g.wakeAt(now + promotionPollInterval*3)
		return
	}
	g.call(now, t, ports.Status, 0, promotionPollInterval)
	if g.promoteRejected {
		g.wakeAt(g.promoteRequestedAt + promoteRejectedRetryInterval)
	}
	g.wakeAt(g.promoteRequestedAt + promoteRetryInterval)
}

// oldPrimarySteppedDown says that the old primary leads no more, or does not answer. One that
// answers steps down before another is promoted: a node that heard nothing may
// go on with single writes there, and a follower that is no longer held would
// have them acknowledged.
func (g *Group) oldPrimarySteppedDown(now int64, input Input) bool {
	o, ok := findInstance(input, input.State.PreviousPrimary)
	if !ok || g.promoteRequestedAt > 0 || now-max(g.revisionSince, g.leaseState.mayCommandSince) > targetTimeout {
		return true
	}
	s := g.databases[o.ID]
	if s.failingSince > 0 || s.known && s.observedAt > g.revisionSince && !s.status.Primary {
		return true
	}
	g.call(now, o, ports.StepDown, g.freezeTerm(input), replicaFreezeRetryInterval)
	return false
}

// chooseTargetAgain chooses anew.
func (g *Group) chooseTargetAgain(now int64, input Input, reason string) {
	n := nextState(input, ports.PhaseFreezing, reason)
	for _, s := range g.databases {
		if s.known {
			s.frozenTerm = 0
		}
	}
	g.logf(result.FailoverWaiting, "%s: %s", input.Group, reason)
	g.propose(now, input, n)
}

// cleanUpAfterChange has what was held go on, and what led before step down.
func (g *Group) cleanUpAfterChange(now int64, input Input) {
	for _, i := range input.Instances {
		if i.ID == input.State.Primary {
			continue
		}
		s := g.databases[i.ID]
		if i.Primary || s.known && s.status.Primary {
			if s.known && !s.status.Primary && s.observedAt > g.revisionSince {
				continue // it stepped down and did not announce it yet
			}
			if now-g.revisionSince < cleanUpPeriod {
				g.call(now, i, ports.StepDown, input.State.Term, stepDownRetryInterval)
			}
			continue
		}
		if input.State.PreviousPrimary == "" || input.managedByRetirement(i) || g.resumed[i.ID] || now-g.revisionSince > cleanUpPeriod {
			continue
		}
		if s.known && s.observedAt >= g.revisionSince && s.status.FrozenTerm == 0 {
			g.resumed[i.ID] = true
			continue
		}
		g.call(now, i, ports.ResumeReplication, 0, resumeRetryInterval)
	}
}

// resumeStrayFrozen looks for followers that are held in an open group, and has them go
// on: a command of the holder before may arrive long after it was given up. It
// does so for a while after a claim, and where nodes cannot use the primary, which
// answers no commit while nobody receives.
func (g *Group) resumeStrayFrozen(now int64, input Input) {
	t := &g.leaseState
	if input.HealthReports[input.State.Primary].UnreachableFrom == 0 && (t.uncontestedToken == t.fencingToken || now-t.claimedAt > strayFreezeWatchPeriod) {
		return
	}
	for _, i := range input.Instances {
		s := g.databases[i.ID]
		switch {
		case i.ID == input.State.Primary || i.Primary || input.managedByRetirement(i):
		case s.known && s.failingSince == 0 && s.status.FrozenTerm > 0:
			g.call(now, i, ports.ResumeReplication, 0, resumeRetryInterval)
		default:
			g.call(now, i, ports.Status, 0, strayFreezeWatchInterval)
		}
	}
}

// updateMembers keeps the agreed members: whoever is announced joins at once; one that
// is gone is left out once the others hold all that the primary held after it
// went, so that nothing acknowledged rests on it alone.
func (g *Group) updateMembers(now int64, input Input, p ports.Instance) {
	if g.membersProposedAt > 0 && now-g.membersProposedAt < 4_000_000 {
		return
	}
	var ids []string
	for _, i := range input.Instances {
		ids = append(ids, i.ID)
	}
	for _, id := range input.Members {
		if _, present := findInstance(input, id); present {
			delete(g.departedAt, id)
			delete(g.requiredPositions, id)
			continue
		}
		if !g.membersCoverDeparted(now, input, p, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	if slices.Equal(ids, input.Members) {
		return
	}
	g.membersProposedAt = now
	g.effects = append(g.effects, ProposeMembers{BaseRevision: input.MembersRevision, IDs: ids})
}

// membersCoverDeparted says whether all the other members hold what the primary held after a
// member was seen to be gone.
func (g *Group) membersCoverDeparted(now int64, input Input, p ports.Instance, id string) bool {
	if !input.departed(id) {
		return false
	}
	if g.departedAt[id] == 0 {
		g.departedAt[id] = now
	}
	if !g.requiredPositions[id].Known() {
		if s := g.databases[p.ID]; s.known && s.failingSince == 0 && s.observedAt > g.departedAt[id] && s.status.Primary {
			g.requiredPositions[id] = s.status.Received
		} else {
			g.call(now, p, ports.Status, 0, replicaPollInterval)
			return false
		}
	}
	others := 0
	for _, i := range input.Instances {
		if i.ID == p.ID {
			continue
		}
		if s := g.databases[i.ID]; !s.known || s.failingSince > 0 || s.observedAt <= g.departedAt[id] || s.status.Received.Before(g.requiredPositions[id]) {
			g.call(now, i, ports.Status, 0, replicaPollInterval)
			return false
		}
		others++
	}
	return others > 0
}
