// Package sealed decides who is a group's primary, in which epoch (design 8).
//
// The order is: agree that an epoch is opened; seal a majority of members at
// it, so that nothing of an older epoch can be acknowledged any more; agree on
// the furthest of the sealed as the primary; ask the platform, again and again,
// until the primary is seen. Every acknowledged commit was held by a majority
// of members in its epoch, and any two majorities share a member, so the
// furthest of a sealed majority holds all of them.
package sealed

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"stoneford/result"
	"stoneford/schema"
)

const (
	pollInterval                 = 200_000
	callTimeout                  = 1_500_000
	primaryTimeout               = 700_000   // the primary replied to none of the holder's polls so long
	primaryTimeoutWithoutReports = 2_000_000 // the same where no pool node reports at all
	sealRetryInterval            = 150_000
	lastMemberGracePeriod        = 300_000 // a third copy that replies is waited for so long
	reparentRetryInterval        = 400_000
	logInterval                  = 5_000_000
	plannedSwitchRetryInterval   = 3_000_000
)

// Status is what a database says of itself.
type Status struct {
	Identity  string
	Role      string
	Epoch     uint64
	LogEpoch  uint64
	Received  int64
	Applied   int64
	Following string
	Draining  bool
}

// Endpoint is one member's place as configured.
type Endpoint struct{ Name, Address string }

// HealthReport sums what pool nodes say of one database lately.
type HealthReport struct{ Reachable, Unreachable, BusyConnections, OpenTransactions int }

// Input is what a step is told beside the time.
type Input struct {
	Endpoints      []Endpoint
	InitialPrimary string // the configured first primary
	State          *schema.GroupState
	Revision       uint64
	UpToDate       bool // State and Rev are the newest known agreed ones
	HasRole        bool // this process holds the group's duty
	Reports        map[string]HealthReport
	SwitchAwayFrom string // a planned switch away from this one is wanted
	SetAside       string // this member is to be set aside, so that it can be replaced
	KeptIdentity   string // the identity of a copy that was set aside and stays after all
}

// Effects.
type (
	// DatabaseCall puts a question to a database: its status, or to seal.
	DatabaseCall struct {
		ID        uint64
		Address   string
		SealEpoch uint64 // epoch, 0 for a status
	}
	// ProposeState asks for a new revision of the group's register.
	ProposeState struct {
		BaseRevision uint64
		Data         []byte
	}
	// Reparent asks the platform to carry a takeover out.
	Reparent struct {
		Target    string
		Identity  string // of the copy that is meant
		Epoch     uint64
		Endpoints []Endpoint
	}
	// LogEntry is for the log.
	LogEntry struct {
		Code    result.Code
		Message string
	}
)

type member struct {
	status        Status
	known         bool
	polledAt      int64 // of the newest good poll
	repliedAt     int64
	failingSince  int64
	nextPollAt    int64
	callInFlight  uint64
	newIdentity   string // an identity not agreed yet
	newIdentityAt int64  // when it was first seen
}

type pendingCall struct {
	member    string
	startedAt int64
	sealEpoch uint64
}

// Group decides for one group.
type Group struct {
	members          map[string]*member
	calls            map[uint64]pendingCall
	lastCallID       uint64
	sealed           map[string]Status
	sealEpoch        uint64
	majoritySealedAt int64 // when a majority was first sealed
	nextSealAt       int64
	nextReparentAt   int64
	nextLogAt        int64
	nextSwitchAt     int64
	proposedAt       int64
	hadRole          bool
	sealStartedAt    int64
	setAsideEpoch    uint64 // epoch in which a copy is set aside
	setAsideSealedAt int64  // when it was first seen to take no log any more
	effects          []any
}

// New makes a group's decider.
func New() *Group { return &Group{members: map[string]*member{}, calls: map[uint64]pendingCall{}} }

// HandleReply takes a database's return.
func (g *Group) HandleReply(now int64, id uint64, err bool, s Status) {
	a, ok := g.calls[id]
	delete(g.calls, id)
	m := g.members[a.member]
	if !ok || m == nil {
		return
	}
	if m.callInFlight == id {
		m.callInFlight = 0
	}
	if err {
		if m.failingSince == 0 {
			m.failingSince = a.startedAt
		}
		return
	}
	if a.startedAt < m.polledAt {
		return
	}
	m.failingSince, m.repliedAt, m.polledAt, m.status, m.known = 0, now, a.startedAt, s, true
	if a.sealEpoch > 0 && a.sealEpoch == g.sealEpoch && s.Epoch == a.sealEpoch && s.Role == "sealed" {
		g.sealed[a.member] = s
	}
}

// ProposalDone tells that a Put has ended, however.
func (g *Group) ProposalDone() { g.proposedAt = 0 }

// Step does what is due.
func (g *Group) Step(now int64, in Input) []any {
	g.effects = nil
	if !in.HasRole || !in.UpToDate {
		g.hadRole = false
		return nil
	}
	if !g.hadRole {
		// What was known before another held the duty is too old to act on.
		*g = Group{members: map[string]*member{}, calls: map[uint64]pendingCall{}, lastCallID: g.lastCallID, hadRole: true, proposedAt: g.proposedAt}
	}
	for _, p := range in.Endpoints {
		if g.members[p.Name] == nil {
			g.members[p.Name] = &member{}
		}
	}
	for _, p := range in.Endpoints {
		if m := g.members[p.Name]; now >= m.nextPollAt && m.callInFlight == 0 {
			m.nextPollAt = now + pollInterval
			m.callInFlight = g.call(now, p, 0)
		}
	}
	if g.proposedAt > 0 && now-g.proposedAt < 4_000_000 {
		return g.effects
	}
	switch state := in.State; {
	case in.Revision == 0:
		g.initialize(now, in)
	case state.Phase == schema.Phase_SEALING:
		g.sealMembers(now, in)
	default:
		g.superviseOpenEpoch(now, in)
	}
	return g.effects
}

func (g *Group) call(now int64, p Endpoint, seal uint64) uint64 {
	g.lastCallID++
	g.calls[g.lastCallID] = pendingCall{member: p.Name, startedAt: now, sealEpoch: seal}
	g.effects = append(g.effects, DatabaseCall{ID: g.lastCallID, Address: p.Address, SealEpoch: seal})
	return g.lastCallID
}

func (g *Group) propose(now int64, base uint64, s *schema.GroupState) {
	b, err := proto.Marshal(s)
	if err != nil {
		panic(err)
	}
	g.proposedAt = now
	g.effects = append(g.effects, ProposeState{BaseRevision: base, Data: b})
}

func (g *Group) logf(c result.Code, f string, a ...any) {
	g.effects = append(g.effects, LogEntry{Code: c, Message: fmt.Sprintf(f, a...)})
}

// initialize makes the group's first state, once all members are seen: with empty
// copies the configured primary begins epoch 1; copies that hold something are
// sealed first, all of them, and the furthest is chosen.
func (g *Group) initialize(now int64, in Input) {
	s := &schema.GroupState{Epoch: 1, Phase: schema.Phase_PROMOTING, Primary: in.InitialPrimary, Cause: "first"}
	for _, p := range in.Endpoints {
		m := g.members[p.Name]
		if !m.known {
			return
		}
		s.Members = append(s.Members, &schema.GroupMember{Database: p.Name, Identity: m.status.Identity})
		if m.status.Epoch > 0 || m.status.Received > 0 {
			s.Epoch, s.Phase, s.Primary = max(s.Epoch, m.status.Epoch+1), schema.Phase_SEALING, ""
		}
	}
	g.propose(now, 0, s)
}

// superviseOpenEpoch looks after a group that has a primary.
func (g *Group) superviseOpenEpoch(now int64, in Input) {
	state := in.State
	p := g.members[state.Primary]
	if p == nil {
		g.openEpoch(now, in, "the primary is no longer configured")
		return
	}
	if reason := g.primaryFailure(now, in, p); reason != "" {
		g.openEpoch(now, in, reason)
		return
	}
	if !p.known {
		return
	}
	primaryReady := p.status.Epoch == state.Epoch && p.status.Role == "primary"
	replicaReady, all := false, primaryReady
	primaryAddress := endpointAddress(in, state.Primary)
	for _, endpoint := range in.Endpoints {
		m := g.members[endpoint.Name]
		if endpoint.Name == state.Primary || !m.known {
			continue
		}
		ok := m.status.Epoch == state.Epoch && m.status.Role == "replica" && m.status.Following == primaryAddress
		replicaReady = replicaReady || ok && m.status.LogEpoch == state.Epoch
		all = all && (ok || m.failingSince > 0 || m.status.Epoch > state.Epoch)
	}
	if !all && now >= g.nextReparentAt {
		g.nextReparentAt = now + reparentRetryInterval
		g.effects = append(g.effects, Reparent{Target: state.Primary, Identity: committedIdentity(state, state.Primary), Epoch: state.Epoch, Endpoints: in.Endpoints})
	}
	if primaryReady && replicaReady && state.Phase == schema.Phase_PROMOTING {
		n := proto.Clone(state).(*schema.GroupState)
		n.Phase = schema.Phase_OPEN
		g.logf(result.FailoverCompleted, "%s is the primary of epoch %d", state.Primary, state.Epoch)
		g.propose(now, in.Revision, n)
		return
	}
	if primaryReady && replicaReady && now >= g.nextSwitchAt && (in.SwitchAwayFrom == state.Primary || p.status.Draining && g.Degraded(now, state) == "") {
		// A primary that announces that it leaves is switched away from, as a
		// booked one is. One that is still the furthest stays, and is tried
		// again when its followers have come up to it.
		g.nextSwitchAt = now + plannedSwitchRetryInterval
		in.SwitchAwayFrom = state.Primary
		g.openEpoch(now, in, plannedSwitch)
		return
	}
	if !primaryReady || state.Phase != schema.Phase_OPEN {
		return
	}
	if in.SetAside != "" && g.setAside(now, in, p) {
		return
	}
	for _, m := range state.Members {
		// What was set aside and stays follows again in a new epoch.
		if c := g.members[m.Database]; replicaReady && m.Retiring != "" && m.Retiring == in.KeptIdentity && c != nil && c.known && c.failingSince == 0 && c.status.Identity == in.KeptIdentity && c.status.Epoch > state.Epoch {
			g.openEpoch(now, in, m.Database+" was set aside and stays")
			return
		}
	}
	g.admitReplacedMember(now, in, p)
}

// setAside has a replica no longer count, without an epoch's end: it is sealed
// above the epoch, so that nothing more can be acknowledged on its word; once
// the other replica holds all that the primary held after that, whatever rested
// on it is held by both others, and its place is agreed to be empty. It says
// whether it is at that.
func (g *Group) setAside(now int64, in Input, p *member) bool {
	state := in.State
	t := g.members[in.SetAside]
	i := slices.IndexFunc(state.Members, func(m *schema.GroupMember) bool { return m.Database == in.SetAside })
	if t == nil || !t.known || i < 0 || state.Members[i].Identity == "" || state.Members[i].Identity != t.status.Identity || in.SetAside == state.Primary {
		return false
	}
	for _, m := range state.Members {
		c := g.members[m.Database]
		if m.Database == in.SetAside {
			continue
		}
		if m.Identity == "" || c == nil || c.known && c.status.Identity != m.Identity || c.failingSince > 0 && now-c.failingSince >= primaryTimeout {
			// One of the others is lost: without it the group needs this one.
			if t.status.Epoch > state.Epoch && t.failingSince == 0 {
				g.openEpoch(now, in, in.SetAside+" was set aside and is needed")
				return true
			}
			return false
		}
		if !c.known || c.failingSince > 0 || c.status.Epoch != state.Epoch || c.status.LogEpoch != state.Epoch {
			return true
		}
	}
	if t.status.Epoch <= state.Epoch || t.status.Role != "sealed" {
		g.setAsideEpoch = 0
		if now >= g.nextSealAt {
			g.nextSealAt = now + sealRetryInterval
			g.call(now, Endpoint{Name: in.SetAside, Address: endpointAddress(in, in.SetAside)}, state.Epoch+1)
		}
		return true
	}
	if g.setAsideEpoch != state.Epoch {
		g.setAsideEpoch, g.setAsideSealedAt = state.Epoch, now
	}
	if p.polledAt <= g.setAsideSealedAt {
		return true
	}
	for _, m := range state.Members {
		if c := g.members[m.Database]; m.Database != in.SetAside && c.status.Received < p.status.Received {
			return true
		}
	}
	n := proto.Clone(state).(*schema.GroupState)
	n.Members[i].Retiring, n.Members[i].Identity = n.Members[i].Identity, ""
	g.logf(result.MemberSetAside, "%s at %d; the others hold %d", in.SetAside, t.status.Received, p.status.Received)
	g.propose(now, in.Revision, n)
	return true
}

// plannedSwitch is the cause of an epoch that no failure opened.
const plannedSwitch = "a planned switch"

// primaryFailure says why the primary is given up, or nothing.
func (g *Group) primaryFailure(now int64, in Input, p *member) string {
	for _, m := range in.State.Members {
		if m.Database == in.State.Primary && p.known && p.failingSince == 0 && p.status.Identity != m.Identity {
			return "the primary came back on another disk"
		}
	}
	since := p.failingSince
	if since == 0 || now-since < primaryTimeout {
		return ""
	}
	switch r := in.Reports[in.State.Primary]; {
	case r.Unreachable > r.Reachable:
		return fmt.Sprintf("the primary is silent; %d of %d nodes confirm it", r.Unreachable, r.Unreachable+r.Reachable)
	case r.Reachable+r.Unreachable == 0 && now-since >= primaryTimeoutWithoutReports:
		return "the primary is silent; no node reports on it"
	}
	return ""
}

func (g *Group) openEpoch(now int64, in Input, reason string) {
	n := proto.Clone(in.State).(*schema.GroupState)
	n.Epoch, n.Phase, n.Primary, n.Cause, n.Avoid = n.Epoch+1, schema.Phase_SEALING, "", reason, ""
	if reason == plannedSwitch {
		n.Avoid = in.SwitchAwayFrom
	}
	for _, m := range g.members {
		if m.known {
			n.Epoch = max(n.Epoch, m.status.Epoch+1)
		}
	}
	g.logf(result.FailoverStarted, "epoch %d: %s", n.Epoch, reason)
	g.propose(now, in.Revision, n)
}

// sealMembers has the members take no log below the epoch any more, and proposes the
// furthest of a sealed majority.
func (g *Group) sealMembers(now int64, in Input) {
	state := in.State
	if g.sealEpoch != state.Epoch {
		g.sealEpoch, g.sealed, g.majoritySealedAt, g.nextSealAt, g.sealStartedAt = state.Epoch, map[string]Status{}, 0, 0, now
	}
	for _, p := range in.Endpoints {
		if m := g.members[p.Name]; m.known && m.status.Epoch > state.Epoch {
			g.openEpoch(now, in, p.Name+" is in a later epoch")
			return
		}
	}
	if now >= g.nextSealAt {
		g.nextSealAt = now + sealRetryInterval
		for _, p := range in.Endpoints {
			if _, ok := g.sealed[p.Name]; !ok {
				g.call(now, p, state.Epoch)
			}
		}
	}
	var best string
	n, waiting := 0, false
	for _, m := range state.Members {
		s, ok := g.sealed[m.Database]
		if m.Identity == "" {
			continue // nothing acknowledged rests on it
		}
		if !ok || s.Identity != m.Identity {
			// A copy on a disk that is not agreed holds nothing it can vouch for.
			waiting = waiting || g.members[m.Database] != nil && g.members[m.Database].failingSince == 0
			continue
		}
		n++
		b := g.sealed[best]
		if best == "" || s.LogEpoch > b.LogEpoch || s.LogEpoch == b.LogEpoch && (s.Received > b.Received || s.Received == b.Received && lessPreferred(state, best, b) && !lessPreferred(state, m.Database, s)) {
			best = m.Database
		}
	}
	need := requiredSeals(state)
	if n < need {
		if now >= g.nextLogAt && now-g.sealStartedAt > callTimeout {
			g.nextLogAt = now + logInterval
			g.logf(result.FailoverWaiting, "epoch %d: %d of %d members sealed", state.Epoch, n, need)
		}
		return
	}
	if g.majoritySealedAt == 0 {
		g.majoritySealedAt = now
	}
	if waiting && now-g.majoritySealedAt < lastMemberGracePeriod {
		return
	}
	chosen := proto.Clone(state).(*schema.GroupState)
	chosen.Phase, chosen.Primary, chosen.Avoid = schema.Phase_PROMOTING, best, ""
	var names []string
	for _, m := range state.Members {
		if s, ok := g.sealed[m.Database]; ok {
			names = append(names, fmt.Sprintf("%s at %d/%d", m.Database, s.LogEpoch, s.Received))
		}
	}
	g.logf(result.FailoverTargetChosen, "epoch %d: %s is the furthest of %s", state.Epoch, best, strings.Join(names, ", "))
	g.propose(now, in.Revision, chosen)
}

// requiredSeals is how many members have to be sealed so that one of them holds
// whatever was acknowledged, which the primary and one replica held: all but
// one of those that count. A first epoch is founded with all.
func requiredSeals(state *schema.GroupState) int {
	n := 0
	for _, m := range state.Members {
		if m.Identity != "" {
			n++
		}
	}
	if state.Cause == "first" {
		return n
	}
	return max(1, n-1)
}

// lessPreferred decides among copies that are equally far.
func lessPreferred(state *schema.GroupState, name string, s Status) bool {
	return name == state.Avoid || s.Draining
}

// Degraded says why the group could not bear the loss of a copy now, "" if it
// could: all members reply, as agreed, in the open epoch.
func (g *Group) Degraded(_ int64, state *schema.GroupState) string {
	if state.Phase != schema.Phase_OPEN {
		return "a takeover is under way"
	}
	for _, a := range state.Members {
		m := g.members[a.Database]
		if m == nil || !m.known || m.failingSince > 0 {
			return a.Database + " does not reply"
		}
		if m.status.Identity != a.Identity || m.status.Epoch != state.Epoch || m.status.LogEpoch != state.Epoch {
			return a.Database + " has not caught up"
		}
	}
	return ""
}

// admitReplacedMember lets a copy with a new disk count as a member once it holds all the
// primary held after the new disk was first seen: whatever the lost disk
// vouched for is then on the new one.
func (g *Group) admitReplacedMember(now int64, in Input, p *member) {
	for i, m := range in.State.Members {
		c := g.members[m.Database]
		if c == nil || !c.known || m.Database == in.State.Primary {
			continue
		}
		if c.status.Identity == m.Identity || c.status.Identity == m.Retiring && m.Retiring != in.KeptIdentity {
			c.newIdentity = ""
			continue
		}
		if c.newIdentity != c.status.Identity {
			c.newIdentity, c.newIdentityAt = c.status.Identity, now
			continue
		}
		if p.polledAt > c.newIdentityAt && c.failingSince == 0 && c.status.Epoch == in.State.Epoch && c.status.LogEpoch == in.State.Epoch && c.status.Received >= p.status.Received {
			n := proto.Clone(in.State).(*schema.GroupState)
			n.Members[i].Identity, n.Members[i].Retiring = c.status.Identity, ""
			g.logf(result.MemberAdmitted, "%s at %d", m.Database, c.status.Received)
			g.propose(now, in.Revision, n)
			return
		}
	}
}

// committedIdentity is the agreed one of a member.
func committedIdentity(state *schema.GroupState, name string) string {
	for _, m := range state.Members {
		if m.Database == name {
			return m.Identity
		}
	}
	return ""
}

func endpointAddress(in Input, name string) string {
	i := slices.IndexFunc(in.Endpoints, func(p Endpoint) bool { return p.Name == name })
	if i < 0 {
		return ""
	}
	return in.Endpoints[i].Address
}
