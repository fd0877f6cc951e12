// Package paxos keeps registers that a majority of voters agrees on, with no
// standing leader (design 3). Each key is a register of its own; each of its
// revisions is chosen by one round of ballots, which any proposer may begin. Who
// votes is itself agreed, and changes from one membership to the next.
//
// Acceptor and Proposer are deterministic cores. What an Acceptor puts into
// Effects.Log has to be on disk, synced, before Effects.Send may leave.
package paxos

import (
	"maps"
	"math"
	"slices"

	"stoneford/schema"
	"stoneford/statemachine"
)

// maxChangeIDs is how many change names a value carries, so that a proposer
// that lost sight of its change can still find it in later revisions.
const maxChangeIDs = 16

// requestInterval is how long an acceptor that does not vote waits between two
// requests, in microseconds.
const requestInterval = 200_000

// A spare, whose requests to vote nobody answers for some time, asks less often.
const (
	quickJoinRequests    = 15
	spareRequestInterval = 700_000
)

// Effects is what a step asks of its caller.
type Effects struct {
	Log          []*schema.WALEntry  // to sync first
	Send         []statemachine.Send // to send then
	AcceptedKeys []string            // keys whose accepted value changed here
}

// register is one key as an acceptor holds it.
type register struct {
	promised *schema.Ballot
	accepted *schema.Ballot
	value    *schema.Value
}

// Location is where a process stands, told with its request to vote.
type Location struct {
	Zone, Region string
	Eligible     bool // it is of the processes whose loss is counted
}

// Acceptor is one voter's half of the protocol. It votes only under a membership
// that its disk is named in, and only once it holds all that may have been chosen
// before (design 3.4).
type Acceptor struct {
	self              string
	diskID            uint64 // identity of this disk
	location          Location
	founders          []string          // addresses that form at the first start, nil elsewhere
	founderDisks      map[string]uint64 // disks known to be theirs
	founderReports    map[string]map[string]uint64
	membership        Membership // newest known to be chosen
	activeMembership  uint64     // number of the one that this acceptor votes, or last voted, under
	registers         map[string]*register
	stateResponses    map[string]*schema.StateResponse // towards membership
	candidates        map[string]Candidate
	nextRequestAt     int64
	stateRequestCount int  // requests for state made
	joinRequestCount  int  // requests to vote made
	identityLogged    bool // the identity and the founders are on disk
	draining          bool
}

// NewAcceptor makes an acceptor with an empty disk; life tells that disk from any
// other and must be random. Founders are the addresses of those that form at the
// first start of all; none where this process does not start for the first time.
func NewAcceptor(self string, diskID uint64, location Location, founders []string) *Acceptor {
	return &Acceptor{self: self, diskID: diskID, location: location, founders: slices.Clone(founders), founderDisks: map[string]uint64{self: diskID},
		founderReports: map[string]map[string]uint64{}, registers: map[string]*register{}, stateResponses: map[string]*schema.StateResponse{}, candidates: map[string]Candidate{}}
}

// DiskID is the identity of this acceptor's disk.
func (a *Acceptor) DiskID() uint64 { return a.diskID }

// Membership is the newest membership known to be chosen.
func (a *Acceptor) Membership() Membership { return a.membership }

// ActiveMembership is the number of the membership that this acceptor votes under, 0 if it
// does not vote.
func (a *Acceptor) ActiveMembership() uint64 {
	if a.activeMembership == 0 || a.activeMembership != a.membership.Number || a.hasAcceptedSuccessor() {
		return 0
	}
	return a.activeMembership
}

// IsVoter reports whether this acceptor votes.
func (a *Acceptor) IsVoter() bool { return a.ActiveMembership() > 0 }

// Sealed reports whether this acceptor has accepted a successor to the membership
// that it votes under and does not know yet whether it was chosen.
func (a *Acceptor) Sealed() bool {
	return a.activeMembership == a.membership.Number && a.hasAcceptedSuccessor()
}

func (a *Acceptor) hasAcceptedSuccessor() bool {
	r := a.registers[MembershipKey]
	return r != nil && r.value.GetRevision() > a.activeMembership
}

// Candidates are the processes that asked to vote within the time given.
func (a *Acceptor) Candidates(now, within int64) []Candidate {
	var candidates []Candidate
	for _, address := range slices.Sorted(maps.Keys(a.candidates)) {
		if candidate := a.candidates[address]; now-candidate.RequestedAt < within && !a.membership.HasVoter(candidate.Address, candidate.DiskID) {
			candidates = append(candidates, candidate)
		}
	}
	return candidates
}

// Drain stops this acceptor from asking to vote.
func (a *Acceptor) Drain() { a.draining = true }

// Restore plays one entry of the log back; entries come in the order written.
func (a *Acceptor) Restore(entry *schema.WALEntry) {
	if entry.Snapshot {
		a.registers = map[string]*register{}
	}
	if entry.DiskId != 0 {
		a.diskID, a.identityLogged = entry.DiskId, true
		a.founderDisks[a.self] = entry.DiskId
	}
	if len(entry.Founders) > 0 {
		a.restoreFounders(entry.Founders)
	}
	for _, state := range entry.Registers {
		a.registers[state.Key] = &register{promised: cloneBallot(state.Promised), accepted: cloneBallot(state.Accepted), value: state.Value}
	}
	if entry.Membership != nil && entry.Membership.Number >= a.membership.Number {
		a.membership = MembershipFromProto(entry.Membership)
	}
	a.activeMembership = max(a.activeMembership, entry.ActiveMembership)
}

// Snapshot is the whole state as one log entry.
func (a *Acceptor) Snapshot() *schema.WALEntry {
	entry := &schema.WALEntry{Snapshot: true, DiskId: a.diskID, Registers: a.registerStates(), ActiveMembership: a.activeMembership}
	if a.membership.Known() {
		entry.Membership = a.membership.Proto()
	} else {
		entry.Founders = a.founderVoters()
	}
	return entry
}

// AcceptedValues is what this acceptor has accepted, by key: not known to be chosen.
func (a *Acceptor) AcceptedValues() map[string]*schema.Value {
	values := make(map[string]*schema.Value, len(a.registers))
	for _, k := range a.AcceptedKeys() {
		values[k] = a.registers[k].value
	}
	return values
}

// AcceptedKeys are the keys of which this acceptor accepted something, in order; the
// membership's register is left out.
func (a *Acceptor) AcceptedKeys() []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(a.registers)), func(k string) bool {
		return k == MembershipKey || a.registers[k].value == nil
	})
}

// RegisterState is what this acceptor accepted of a key, nil if nothing.
func (a *Acceptor) RegisterState(key string) *schema.RegisterState {
	if r := a.registers[key]; r == nil || r.value == nil {
		return nil
	}
	return a.registerState(key)
}

// Stale reports whether what this acceptor holds of a key was accepted under an
// earlier membership than the one it votes under: it may be chosen, and nobody can
// tell before it is accepted under this one.
func (a *Acceptor) Stale(key string) bool {
	r := a.registers[key]
	return r != nil && r.value != nil && r.accepted.GetMembership() < a.activeMembership
}

// Due is when Tick has something to do next, math.MaxInt64 for never.
func (a *Acceptor) Due() int64 {
	if a.activeMembership > 0 && a.activeMembership == a.membership.Number {
		return math.MaxInt64
	}
	return a.nextRequestAt
}

// Tick lets an acceptor that does not vote go on with becoming one.
func (a *Acceptor) Tick(now int64) Effects {
	var effects Effects
	if now < a.Due() {
		return effects
	}
	a.nextRequestAt = now + requestInterval
	switch {
	case a.membership.HasVoter(a.self, a.diskID):
		a.requestState(&effects)
	case a.membership.Known():
		if a.joinRequestCount++; a.joinRequestCount > quickJoinRequests {
			a.nextRequestAt = now + spareRequestInterval
		}
		if !a.draining {
			a.requestJoin(&effects)
		}
	case slices.Contains(a.founders, a.self):
		a.sendFounderReports(&effects)
	}
	return effects
}

// Step takes one message of another process, or of this process's own proposer.
func (a *Acceptor) Step(now int64, e *schema.Envelope) Effects {
	var effects Effects
	switch body := e.Body.(type) {
	case *schema.Envelope_Prepare:
		a.handlePrepare(&effects, e.From, body.Prepare)
	case *schema.Envelope_Accept:
		a.handleAccept(&effects, e.From, body.Accept)
	case *schema.Envelope_FounderReport:
		a.handleFounderReport(&effects, e.From, body.FounderReport)
	case *schema.Envelope_JoinRequest:
		a.handleJoinRequest(&effects, now, e.From, body.JoinRequest)
	case *schema.Envelope_StateRequest:
		a.handleStateRequest(&effects, e.From, body.StateRequest)
	case *schema.Envelope_StateResponse:
		a.handleStateResponse(&effects, e.From, body.StateResponse)
	case *schema.Envelope_MembershipNotice:
		a.handleMembershipNotice(&effects, e.From, MembershipFromProto(body.MembershipNotice.Membership), votersFromProto(body.MembershipNotice.ReportedVoters))
	}
	return effects
}

// AdoptMembership takes a membership that is known to be chosen.
func (a *Acceptor) AdoptMembership(m Membership) Effects {
	var effects Effects
	a.adoptMembership(&effects, m)
	return effects
}

// mayVote reports whether a message under a membership may be voted on, and tells
// a sender that does not know the newest membership.
func (a *Acceptor) mayVote(effects *Effects, from string, membership uint64, key string) bool {
	if membership != a.membership.Number {
		a.sendMembershipNotice(effects, from)
		return false
	}
	return a.activeMembership == membership && (!a.hasAcceptedSuccessor() || key == MembershipKey)
}

func (a *Acceptor) handlePrepare(effects *Effects, from string, m *schema.Prepare) {
	if !a.mayVote(effects, from, m.Membership, m.Key) {
		return
	}
	r := a.ensureRegister(m.Key)
	response := &schema.Promise{Key: m.Key, Attempt: m.Attempt, Membership: a.activeMembership, DiskId: a.diskID}
	if m.Ballot == nil {
		response.Granted = true // a reading
	} else if m.Ballot.Membership == a.activeMembership && BallotLess(r.promised, m.Ballot) {
		r.promised = cloneBallot(m.Ballot)
		response.Granted = true
		effects.Log = append(effects.Log, a.logRegister(m.Key))
	}
	response.Promised, response.Accepted, response.Value = cloneBallot(r.promised), cloneBallot(r.accepted), r.value
	if m.KnownBallot != nil && r.value != nil && BallotEqual(m.KnownBallot, r.accepted) {
		response.Value, response.ValueOmitted = nil, true
	}
	a.send(effects, from, &schema.Envelope{Body: &schema.Envelope_Promise{Promise: response}})
}

func (a *Acceptor) handleAccept(effects *Effects, from string, m *schema.Accept) {
	if !a.mayVote(effects, from, m.Membership, m.Key) {
		return
	}
	r := a.ensureRegister(m.Key)
	response := &schema.Accepted{Key: m.Key, Attempt: m.Attempt, Membership: a.activeMembership, DiskId: a.diskID}
	value := m.Value
	if m.ValueBallot != nil {
		if r.value == nil || !BallotEqual(m.ValueBallot, r.accepted) {
			return // the proposer sends it whole when it tries again
		}
		value = r.value
	}
	isSuccessor := m.Key != MembershipKey || value.GetRevision() <= a.activeMembership+1 // one successor at a time
	if isSuccessor && m.Ballot.GetMembership() == a.activeMembership && !BallotLess(m.Ballot, r.promised) {
		r.promised, r.accepted, r.value = cloneBallot(m.Ballot), cloneBallot(m.Ballot), value
		response.Granted = true
		effects.Log = append(effects.Log, a.logRegister(m.Key))
		effects.AcceptedKeys = append(effects.AcceptedKeys, m.Key)
	}
	response.Promised = cloneBallot(r.promised)
	a.send(effects, from, &schema.Envelope{Body: &schema.Envelope_Accepted{Accepted: response}})
}

// sendMembershipNotice tells another process the newest membership known here.
func (a *Acceptor) sendMembershipNotice(effects *Effects, to string) {
	if a.membership.Known() {
		a.send(effects, to, &schema.Envelope{Body: &schema.Envelope_MembershipNotice{
			MembershipNotice: &schema.MembershipNotice{Membership: a.membership.Proto()}}})
	}
}

// handleMembershipNotice takes a membership that another process knows to be chosen, and tells
// that process a newer one.
func (a *Acceptor) handleMembershipNotice(effects *Effects, from string, m Membership, known map[string]uint64) {
	if m.Number < a.membership.Number {
		a.sendMembershipNotice(effects, from)
		return
	}
	if a.trusts(from, m, known) {
		a.adoptMembership(effects, m)
	}
}

// adoptMembership takes a newer membership. From here on this acceptor votes under no
// earlier one.
func (a *Acceptor) adoptMembership(effects *Effects, m Membership) {
	if m.Number <= a.membership.Number {
		return
	}
	a.membership, a.nextRequestAt, a.stateRequestCount, a.joinRequestCount = m, 0, 0, 0
	a.stateResponses = map[string]*schema.StateResponse{}
	effects.Log = append(effects.Log, &schema.WALEntry{DiskId: a.diskID, Membership: m.Proto()})
	a.identityLogged = true
	a.activate(effects)
}

func (a *Acceptor) ensureRegister(key string) *register {
	r := a.registers[key]
	if r == nil {
		r = &register{promised: &schema.Ballot{}, accepted: &schema.Ballot{}}
		a.registers[key] = r
	}
	return r
}

func (a *Acceptor) send(effects *Effects, to string, e *schema.Envelope) {
	e.From = a.self
	effects.Send = append(effects.Send, statemachine.Send{To: to, Envelope: e})
}

func (a *Acceptor) logRegister(key string) *schema.WALEntry {
	return &schema.WALEntry{Registers: []*schema.RegisterState{a.registerState(key)}}
}

func (a *Acceptor) registerState(key string) *schema.RegisterState {
	r := a.registers[key]
	return &schema.RegisterState{Key: key, Promised: cloneBallot(r.promised), Accepted: cloneBallot(r.accepted), Value: r.value}
}

func (a *Acceptor) registerStates() []*schema.RegisterState {
	var out []*schema.RegisterState
	for _, key := range slices.Sorted(maps.Keys(a.registers)) {
		out = append(out, a.registerState(key))
	}
	return out
}
