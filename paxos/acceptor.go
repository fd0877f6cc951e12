package paxos

import (
	"maps"
	"math"
	"slices"
	"time"

	"stoneford/schema"
	"stoneford/statemachine"
)

const (
	// requestInterval is the time after which a non-voting acceptor repeats its
	// requests. A shorter interval lets a new voter take part sooner, but every response
	// to a state request may carry all registers.
	requestInterval = 200 * time.Millisecond
	// maxQuickJoinRequests is the number of join requests sent at requestInterval. An
	// acceptor that is still no voter after them is a spare and sends requests less often.
	maxQuickJoinRequests = 15
	// spareRequestInterval is the interval between a spare's join requests. It must stay
	// below the time after which voters disregard a candidate.
	spareRequestInterval = 700 * time.Millisecond
)

// Effects lists what the caller must do after a step of an Acceptor: sync Log to disk
// first, then send the messages in Send.
type Effects struct {
	Log          []*schema.WALEntry  // entries to sync, oldest first
	Send         []statemachine.Send // messages to send after Log is synced
	AcceptedKeys []string            // keys whose accepted value changed in this step
}

// register holds the single-decree Paxos state of one key at an acceptor.
type register struct {
	promised *schema.Ballot // lower ballots are rejected
	accepted *schema.Ballot // ballot at which value was accepted
	value    *schema.Value  // nil before the first acceptance
}

// Location describes where a process runs. Voters are spread over zones and regions.
type Location struct {
	Zone, Region string
	// Eligible is true if the process may become a voter; its loss then counts towards
	// the losses that the fleet is configured to tolerate.
	Eligible bool
}

// Acceptor implements the Paxos acceptor of one process. It votes only under a
// membership that names its disk, and only after it has received everything that may
// have been chosen under earlier memberships (design 3.4).
type Acceptor struct {
	self       string // address of this process
	diskID     uint64 // random identity of the disk
	location   Location
	registers  map[string]*register
	membership Membership // newest membership known to be chosen

	// activeMembership is the number of the membership under which this acceptor votes
	// or last voted, 0 if it never voted. It never exceeds membership.Number.
	activeMembership uint64

	founding   founding
	transfer   stateTransfer
	candidates map[string]Candidate // processes that sent a join request, by address

	nextRequestAt  int64 // time at which Tick sends the next requests
	identityLogged bool  // the log holds the disk's identity and the founders
	draining       bool  // no join requests are sent
}

// NewAcceptor returns an acceptor with an empty disk. diskID distinguishes this disk
// from all others; it must be random and not 0. founders lists the addresses of the
// first membership; it is nil unless the fleet starts for the first time.
func NewAcceptor(self string, diskID uint64, location Location, founders []string) *Acceptor {
	return &Acceptor{
		self:       self,
		diskID:     diskID,
		location:   location,
		registers:  map[string]*register{},
		founding:   newFounding(self, diskID, founders),
		transfer:   newStateTransfer(),
		candidates: map[string]Candidate{},
	}
}

// DiskID returns the identity of this acceptor's disk.
func (a *Acceptor) DiskID() uint64 { return a.diskID }

// Membership returns the newest membership known to be chosen.
func (a *Acceptor) Membership() Membership { return a.membership }

// ActiveMembership returns the number of the membership under which this acceptor
// votes, 0 if it does not vote.
func (a *Acceptor) ActiveMembership() uint64 {
	if a.activeMembership == 0 || a.activeMembership != a.membership.Number || a.hasAcceptedSuccessor() {
		return 0
	}
	return a.activeMembership
}

// IsVoter reports whether this acceptor votes.
func (a *Acceptor) IsVoter() bool { return a.ActiveMembership() > 0 }

// Sealed reports whether this acceptor has accepted a successor to its active
// membership without knowing yet whether that successor was chosen. A sealed acceptor
// votes only on the membership's register.
func (a *Acceptor) Sealed() bool {
	return a.activeMembership == a.membership.Number && a.hasAcceptedSuccessor()
}

// hasAcceptedSuccessor reports whether the membership accepted here is newer than the
// active one.
func (a *Acceptor) hasAcceptedSuccessor() bool {
	r := a.registers[MembershipKey]
	return r != nil && r.value.GetRevision() > a.activeMembership
}

// Drain stops this acceptor's join requests. If it is a voter, it continues to vote
// until a membership without it is chosen.
func (a *Acceptor) Drain() { a.draining = true }

// Due returns the time at which Tick must next be called, math.MaxInt64 if never.
func (a *Acceptor) Due() int64 {
	if a.activeMembership > 0 && a.activeMembership == a.membership.Number {
		return math.MaxInt64
	}
	return a.nextRequestAt
}

// Tick sends the requests that a non-voting acceptor needs answered before it can vote.
func (a *Acceptor) Tick(now int64) Effects {
	var effects Effects
	if now < a.Due() {
		return effects
	}
	a.nextRequestAt = now + requestInterval.Microseconds()
	switch {
	case a.membership.HasVoter(a.self, a.diskID):
		a.requestState(&effects)
	case a.membership.Known():
		a.tickJoin(&effects, now)
	case slices.Contains(a.founding.founders, a.self):
		a.sendFounderReports(&effects)
	}
	return effects
}

// Step handles one message from another process or from this process's own proposer. It
// ignores messages that are not addressed to an acceptor (see IsForAcceptor).
func (a *Acceptor) Step(now int64, envelope *schema.Envelope) Effects {
	var effects Effects
	switch body := envelope.Body.(type) {
	case *schema.Envelope_Prepare:
		a.handlePrepare(&effects, envelope.From, body.Prepare)
	case *schema.Envelope_Accept:
		a.handleAccept(&effects, envelope.From, body.Accept)
	case *schema.Envelope_FounderReport:
		a.handleFounderReport(&effects, envelope.From, body.FounderReport)
	case *schema.Envelope_JoinRequest:
		a.handleJoinRequest(&effects, now, envelope.From, body.JoinRequest)
	case *schema.Envelope_StateRequest:
		a.handleStateRequest(&effects, envelope.From, body.StateRequest)
	case *schema.Envelope_StateResponse:
		a.handleStateResponse(&effects, envelope.From, body.StateResponse)
	case *schema.Envelope_MembershipNotice:
		a.handleMembershipNotice(&effects, envelope.From, body.MembershipNotice)
	}
	return effects
}

// send adds an envelope from this acceptor to the effects.
func (a *Acceptor) send(effects *Effects, to string, envelope *schema.Envelope) {
	envelope.From = a.self
	effects.Send = append(effects.Send, statemachine.Send{To: to, Envelope: envelope})
}

// ensureRegister returns the register of a key and creates it if it does not exist.
func (a *Acceptor) ensureRegister(key string) *register {
	r := a.registers[key]
	if r == nil {
		r = &register{promised: &schema.Ballot{}, accepted: &schema.Ballot{}}
		a.registers[key] = r
	}
	return r
}

// AcceptedValues returns the values that this acceptor has accepted, by key, excluding
// the membership's register. An accepted value is not necessarily chosen.
func (a *Acceptor) AcceptedValues() map[string]*schema.Value {
	values := make(map[string]*schema.Value, len(a.registers))
	for _, key := range a.AcceptedKeys() {
		values[key] = a.registers[key].value
	}
	return values
}

// AcceptedKeys returns the sorted keys for which this acceptor has accepted a value,
// excluding the membership's register.
func (a *Acceptor) AcceptedKeys() []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(a.registers)), func(key string) bool {
		return key == MembershipKey || a.registers[key].value == nil
	})
}

// RegisterState returns the state of one register, nil if no value was accepted for it.
func (a *Acceptor) RegisterState(key string) *schema.RegisterState {
	if r := a.registers[key]; r == nil || r.value == nil {
		return nil
	}
	return a.registerState(key)
}

// AcceptedUnderEarlierMembership reports whether this acceptor's value of a key was
// accepted under a membership earlier than the active one. Such a value may or may not
// be chosen; this becomes known only when it is accepted again under the active
// membership (design 3.4).
func (a *Acceptor) AcceptedUnderEarlierMembership(key string) bool {
	r := a.registers[key]
	return r != nil && r.value != nil && r.accepted.GetMembership() < a.activeMembership
}

func (a *Acceptor) registerState(key string) *schema.RegisterState {
	r := a.registers[key]
	return &schema.RegisterState{
		Key:      key,
		Promised: cloneBallot(r.promised),
		Accepted: cloneBallot(r.accepted),
		Value:    r.value,
	}
}

// registerStates returns all registers, including the membership's, sorted by key.
func (a *Acceptor) registerStates() []*schema.RegisterState {
	var states []*schema.RegisterState
	for _, key := range slices.Sorted(maps.Keys(a.registers)) {
		states = append(states, a.registerState(key))
	}
	return states
}
