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
	"stoneford/step"
)

// keptChanges is how many change names a value carries, so that a proposer
// that lost sight of its change can still find it in later revisions.
const keptChanges = 16

// requestEvery is how long an acceptor that does not vote waits between two
// requests, in microseconds.
const requestEvery = 200_000

// A spare, whose requests to vote nobody answers for some time, asks less often.
const (
	quickRequests     = 15
	spareRequestEvery = 700_000
)

// Effects is what a step asks of its caller.
type Effects struct {
	Log      []*schema.VoterLog // to sync first
	Send     []step.Send        // to send then
	Accepted []string           // keys whose accepted value changed here
}

// register is one key as an acceptor holds it.
type register struct {
	promised *schema.Ballot
	accepted *schema.Ballot
	value    *schema.Value
}

// Place is where a process stands, told with its request to vote.
type Place struct {
	Zone, Region string
	Counts       bool // it is of the processes whose loss is counted
}

// Acceptor is one voter's half of the protocol. It votes only under a membership
// that its disk is named in, and only once it holds all that may have been chosen
// before (design 3.4).
type Acceptor struct {
	self       string
	life       uint64 // identity of this disk
	place      Place
	founders   []string          // addresses that form at the first start, nil elsewhere
	lives      map[string]uint64 // disks known to be theirs
	reports    map[string]map[string]uint64
	membership Membership // newest known to be chosen
	active     uint64     // number of the one that this acceptor votes, or last voted, under
	registers  map[string]*register
	states     map[string]*schema.StateResponse // towards membership
	candidates map[string]Candidate
	nextSend   int64
	asked      int  // requests for state made
	waited     int  // requests to vote made
	logged     bool // the identity and the founders are on disk
	leaving    bool
}

// NewAcceptor makes an acceptor with an empty disk; life tells that disk from any
// other and must be random. Founders are the addresses of those that form at the
// first start of all; none where this process does not start for the first time.
func NewAcceptor(self string, life uint64, place Place, founders []string) *Acceptor {
	return &Acceptor{self: self, life: life, place: place, founders: slices.Clone(founders), lives: map[string]uint64{self: life},
		reports: map[string]map[string]uint64{}, registers: map[string]*register{}, states: map[string]*schema.StateResponse{}, candidates: map[string]Candidate{}}
}

// Life is the identity of this acceptor's disk.
func (a *Acceptor) Life() uint64 { return a.life }

// Membership is the newest membership known to be chosen.
func (a *Acceptor) Membership() Membership { return a.membership }

// Active is the number of the membership that this acceptor votes under, 0 if it
// does not vote.
func (a *Acceptor) Active() uint64 {
	if a.active == 0 || a.active != a.membership.Number || a.sealed() {
		return 0
	}
	return a.active
}

// Votes reports whether this acceptor votes.
func (a *Acceptor) Votes() bool { return a.Active() > 0 }

// Sealed reports whether this acceptor has accepted a successor to the membership
// that it votes under and does not know yet whether it was chosen.
func (a *Acceptor) Sealed() bool { return a.active == a.membership.Number && a.sealed() }

func (a *Acceptor) sealed() bool {
	r := a.registers[MembershipKey]
	return r != nil && r.value.GetRevision() > a.active
}

// Candidates are the processes that asked to vote within the time given.
func (a *Acceptor) Candidates(now, within int64) []Candidate {
	var out []Candidate
	for _, address := range slices.Sorted(maps.Keys(a.candidates)) {
		if c := a.candidates[address]; now-c.At < within && !a.membership.Has(c.Address, c.Life) {
			out = append(out, c)
		}
	}
	return out
}

// Leave stops this acceptor from asking to vote.
func (a *Acceptor) Leave() { a.leaving = true }

// Restore plays one entry of the log back; entries come in the order written.
func (a *Acceptor) Restore(l *schema.VoterLog) {
	if l.Snapshot {
		a.registers = map[string]*register{}
	}
	if l.Life != 0 {
		a.life, a.logged = l.Life, true
		a.lives[a.self] = l.Life
	}
	if len(l.Founders) > 0 {
		a.restoreFounders(l.Founders)
	}
	for _, c := range l.Cells {
		a.registers[c.Key] = &register{promised: copyBallot(c.Promised), accepted: copyBallot(c.Accepted), value: c.Value}
	}
	if l.Membership != nil && l.Membership.Number >= a.membership.Number {
		a.membership = ReadMembership(l.Membership)
	}
	a.active = max(a.active, l.Active)
}

// Snapshot is the whole state as one log entry.
func (a *Acceptor) Snapshot() *schema.VoterLog {
	l := &schema.VoterLog{Snapshot: true, Life: a.life, Cells: a.cells(), Active: a.active}
	if a.membership.Known() {
		l.Membership = a.membership.Message()
	} else {
		l.Founders = a.knownFounders()
	}
	return l
}

// Values is what this acceptor has accepted, by key: not known to be chosen.
func (a *Acceptor) Values() map[string]*schema.Value {
	m := make(map[string]*schema.Value, len(a.registers))
	for _, k := range a.Keys() {
		m[k] = a.registers[k].value
	}
	return m
}

// Keys are the keys of which this acceptor accepted something, in order; the
// membership's register is left out.
func (a *Acceptor) Keys() []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(a.registers)), func(k string) bool {
		return k == MembershipKey || a.registers[k].value == nil
	})
}

// Cell is what this acceptor accepted of a key, nil if nothing.
func (a *Acceptor) Cell(key string) *schema.Cell {
	if r := a.registers[key]; r == nil || r.value == nil {
		return nil
	}
	return a.cell(key)
}

// Stale reports whether what this acceptor holds of a key was accepted under an
// earlier membership than the one it votes under: it may be chosen, and nobody can
// tell before it is accepted under this one.
func (a *Acceptor) Stale(key string) bool {
	r := a.registers[key]
	return r != nil && r.value != nil && r.accepted.GetMembership() < a.active
}

// Due is when Tick has something to do next, math.MaxInt64 for never.
func (a *Acceptor) Due() int64 {
	if a.active > 0 && a.active == a.membership.Number {
		return math.MaxInt64
	}
	return a.nextSend
}

// Tick lets an acceptor that does not vote go on with becoming one.
func (a *Acceptor) Tick(now int64) Effects {
	var fx Effects
	if now < a.Due() {
		return fx
	}
	a.nextSend = now + requestEvery
	switch {
	case a.membership.Has(a.self, a.life):
		a.requestState(&fx)
	case a.membership.Known():
		if a.waited++; a.waited > quickRequests {
			a.nextSend = now + spareRequestEvery
		}
		if !a.leaving {
			a.requestVote(&fx)
		}
	case slices.Contains(a.founders, a.self):
		a.found(&fx)
	}
	return fx
}

// Step takes one message of another process, or of this process's own proposer.
func (a *Acceptor) Step(now int64, e *schema.Envelope) Effects {
	var fx Effects
	switch body := e.Body.(type) {
	case *schema.Envelope_Prepare:
		a.prepare(&fx, e.From, body.Prepare)
	case *schema.Envelope_Accept:
		a.accept(&fx, e.From, body.Accept)
	case *schema.Envelope_Found:
		a.foundReported(&fx, e.From, body.Found)
	case *schema.Envelope_JoinRequest:
		a.joinRequested(&fx, now, e.From, body.JoinRequest)
	case *schema.Envelope_StateRequest:
		a.stateRequested(&fx, e.From, body.StateRequest)
	case *schema.Envelope_StateResponse:
		a.stateReceived(&fx, e.From, body.StateResponse)
	case *schema.Envelope_MembershipNotice:
		a.noticed(&fx, e.From, ReadMembership(body.MembershipNotice.Membership), voterMap(body.MembershipNotice.Known))
	}
	return fx
}

// Adopt takes a membership that is known to be chosen.
func (a *Acceptor) Adopt(m Membership) Effects {
	var fx Effects
	a.adopt(&fx, m)
	return fx
}

// mayVote reports whether a message under a membership may be voted on, and tells
// a sender that does not know the newest membership.
func (a *Acceptor) mayVote(fx *Effects, from string, membership uint64, key string) bool {
	if membership != a.membership.Number {
		a.notify(fx, from)
		return false
	}
	return a.active == membership && (!a.sealed() || key == MembershipKey)
}

func (a *Acceptor) prepare(fx *Effects, from string, m *schema.Prepare) {
	if !a.mayVote(fx, from, m.Membership, m.Key) {
		return
	}
	r := a.at(m.Key)
	answer := &schema.Promise{Key: m.Key, Attempt: m.Attempt, Membership: a.active, Life: a.life}
	if m.Ballot == nil {
		answer.Given = true // a reading
	} else if m.Ballot.Membership == a.active && Less(r.promised, m.Ballot) {
		r.promised = copyBallot(m.Ballot)
		answer.Given = true
		fx.Log = append(fx.Log, a.logCell(m.Key))
	}
	answer.Promised, answer.Accepted, answer.Value = copyBallot(r.promised), copyBallot(r.accepted), r.value
	if m.Have != nil && r.value != nil && Same(m.Have, r.accepted) {
		answer.Value, answer.Same = nil, true
	}
	a.send(fx, from, &schema.Envelope{Body: &schema.Envelope_Promise{Promise: answer}})
}

func (a *Acceptor) accept(fx *Effects, from string, m *schema.Accept) {
	if !a.mayVote(fx, from, m.Membership, m.Key) {
		return
	}
	r := a.at(m.Key)
	answer := &schema.Accepted{Key: m.Key, Attempt: m.Attempt, Membership: a.active, Life: a.life}
	value := m.Value
	if m.Same != nil {
		if r.value == nil || !Same(m.Same, r.accepted) {
			return // the proposer sends it whole when it tries again
		}
		value = r.value
	}
	fits := m.Key != MembershipKey || value.GetRevision() <= a.active+1 // one successor at a time
	if fits && m.Ballot.GetMembership() == a.active && !Less(m.Ballot, r.promised) {
		r.promised, r.accepted, r.value = copyBallot(m.Ballot), copyBallot(m.Ballot), value
		answer.Given = true
		fx.Log = append(fx.Log, a.logCell(m.Key))
		fx.Accepted = append(fx.Accepted, m.Key)
	}
	answer.Promised = copyBallot(r.promised)
	a.send(fx, from, &schema.Envelope{Body: &schema.Envelope_Accepted{Accepted: answer}})
}

// notify tells another process the newest membership known here.
func (a *Acceptor) notify(fx *Effects, to string) {
	if a.membership.Known() {
		a.send(fx, to, &schema.Envelope{Body: &schema.Envelope_MembershipNotice{
			MembershipNotice: &schema.MembershipNotice{Membership: a.membership.Message()}}})
	}
}

// noticed takes a membership that another process knows to be chosen, and tells
// that process a newer one.
func (a *Acceptor) noticed(fx *Effects, from string, m Membership, known map[string]uint64) {
	if m.Number < a.membership.Number {
		a.notify(fx, from)
		return
	}
	if a.trusts(from, m, known) {
		a.adopt(fx, m)
	}
}

// adopt takes a newer membership. From here on this acceptor votes under no
// earlier one.
func (a *Acceptor) adopt(fx *Effects, m Membership) {
	if m.Number <= a.membership.Number {
		return
	}
	a.membership, a.nextSend, a.asked, a.waited = m, 0, 0, 0
	a.states = map[string]*schema.StateResponse{}
	fx.Log = append(fx.Log, &schema.VoterLog{Life: a.life, Membership: m.Message()})
	a.logged = true
	a.activate(fx)
}

func (a *Acceptor) at(key string) *register {
	r := a.registers[key]
	if r == nil {
		r = &register{promised: &schema.Ballot{}, accepted: &schema.Ballot{}}
		a.registers[key] = r
	}
	return r
}

func (a *Acceptor) send(fx *Effects, to string, e *schema.Envelope) {
	e.From = a.self
	fx.Send = append(fx.Send, step.Send{To: to, Env: e})
}

func (a *Acceptor) logCell(key string) *schema.VoterLog {
	return &schema.VoterLog{Cells: []*schema.Cell{a.cell(key)}}
}

func (a *Acceptor) cell(key string) *schema.Cell {
	r := a.registers[key]
	return &schema.Cell{Key: key, Promised: copyBallot(r.promised), Accepted: copyBallot(r.accepted), Value: r.value}
}

func (a *Acceptor) cells() []*schema.Cell {
	var out []*schema.Cell
	for _, key := range slices.Sorted(maps.Keys(a.registers)) {
		out = append(out, a.cell(key))
	}
	return out
}
