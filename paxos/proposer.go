package paxos

import (
	"maps"
	"math"
	"slices"
	"strconv"

	"stoneford/schema"
	"stoneford/statemachine"
)

// Verdict is how a change or a reading ended.
type Verdict int

const (
	// Committed means that the change is in force, or that the reading is the newest
	// value.
	Committed Verdict = iota
	// Conflict means that another revision came first; nothing was changed.
	Conflict
	// Uncertain means that no majority confirmed the change in time; it may or may
	// not be chosen.
	Uncertain
	// NoQuorum means that no majority was reached and nothing was changed.
	NoQuorum
)

// Change asks for the revision after Base to hold Data. Name must be unique to
// the change: the same name is never put in force twice. A Change with Read
// set only asks for the newest value; with Settle set too, a ballot has that value
// accepted anew, also by a voter that holds another.
type Change struct {
	ID           string
	Key          string
	BaseRevision uint64
	Data         []byte
	ReadOnly     bool
	Recommit     bool
	Deadline     int64
}

// Outcome ends a change.
type Outcome struct {
	Change  Change
	Verdict Verdict
	Value   *schema.Value // newest agreed value known, where Agreed or Lost
}

// ProposerEffects is what a proposer's step asks of its edge.
type ProposerEffects struct {
	Send     []statemachine.Send
	Outcomes []Outcome
}

// ballotTimeout is how long one round of ballots may take before the next is
// tried.
const ballotTimeout = 400_000

// attempt is a change or a reading under way.
type attempt struct {
	change         Change
	number         uint64
	ballot         *schema.Ballot
	quorumRead     bool // reads without a ballot: binds no voter and writes nothing
	accepting      bool // in the accept phase
	changeProposed bool // an accept with this change ever left
	promises       map[string]*schema.Promise
	accepted       map[string]*schema.Accepted
	value          *schema.Value         // put to the vote
	localState     *schema.RegisterState // what this process's own acceptor holds
	ownValue       bool                  // value is this change itself
	timeoutAt      int64                 // of this round
	retryAt        int64                 // when a round that failed is retried, 0 while one runs
	retries        uint64
}

// Proposer is the half of the protocol that puts changes to the vote. It runs one
// round a key at a time and queues the rest.
type Proposer struct {
	self          string // address that replies are sent to
	name          string // unique to this run of the process: no ballot is ever used again
	contacts      []string
	membership    Membership
	ballotNumber  uint64
	attemptNumber uint64 // of the newest attempt; begins at a place of the run's own, so that a late reply to an earlier run never counts
	inFlight      map[string]*attempt
	queued        map[string][]Change
	// LocalState, where set, is what the acceptor beside this proposer accepted of a key:
	// others need not send that back.
	LocalState func(key string) *schema.RegisterState
}

// NewProposer makes a proposer; run must be a name that no earlier run of the
// process used. Until it knows a membership it asks the contacts for one.
func NewProposer(self, run string, contacts []string) *Proposer {
	name := self + "#" + run
	return &Proposer{self: self, name: name, attemptNumber: statemachine.FirstRequestNumber("attempt", self, run), contacts: slices.Clone(contacts), inFlight: map[string]*attempt{}, queued: map[string][]Change{}}
}

// SetMembership takes a newer membership; what was under way begins anew under it.
func (p *Proposer) SetMembership(now int64, m Membership) {
	if m.Number <= p.membership.Number {
		return
	}
	p.membership = m
	for _, a := range p.inFlight {
		a.retryAt = now
	}
}

// Membership is the one under which this proposer counts replies.
func (p *Proposer) Membership() Membership { return p.membership }

// Propose takes a change or a reading.
func (p *Proposer) Propose(now int64, c Change) ProposerEffects {
	var effects ProposerEffects
	p.queued[c.Key] = append(p.queued[c.Key], c)
	p.startNext(&effects, now, c.Key)
	return effects
}

// Tick retries rounds that failed and ends changes whose deadline has come.
func (p *Proposer) Tick(now int64) ProposerEffects {
	var effects ProposerEffects
	for _, k := range slices.Sorted(maps.Keys(p.inFlight)) {
		a := p.inFlight[k]
		switch {
		case now >= a.change.Deadline:
			p.expire(&effects, now, a)
		case a.retryAt > 0 && now >= a.retryAt:
			p.startBallot(&effects, now, a)
		case a.retryAt == 0 && now >= a.timeoutAt:
			p.scheduleRetry(now, a)
		}
	}
	for k, l := range p.queued {
		p.queued[k] = slices.DeleteFunc(l, func(c Change) bool {
			if now >= c.Deadline {
				effects.Outcomes = append(effects.Outcomes, Outcome{Change: c, Verdict: NoQuorum})
			}
			return now >= c.Deadline
		})
	}
	slices.SortStableFunc(effects.Outcomes, func(a, b Outcome) int {
		if a.Change.ID < b.Change.ID {
			return -1
		}
		return 1
	})
	return effects
}

// Step takes an acceptor's reply.
func (p *Proposer) Step(now int64, e *schema.Envelope) ProposerEffects {
	var effects ProposerEffects
	switch b := e.Body.(type) {
	case *schema.Envelope_Promise:
		p.handlePromise(&effects, now, e.From, b.Promise)
	case *schema.Envelope_Accepted:
		p.handleAccepted(&effects, now, e.From, b.Accepted)
	case *schema.Envelope_MembershipNotice:
		p.SetMembership(now, MembershipFromProto(b.MembershipNotice.Membership))
		return p.Tick(now)
	}
	return effects
}

func (p *Proposer) startNext(effects *ProposerEffects, now int64, k string) {
	if p.inFlight[k] != nil || len(p.queued[k]) == 0 {
		if len(p.queued[k]) == 0 {
			delete(p.queued, k)
		}
		return
	}
	c := p.queued[k][0]
	p.queued[k] = p.queued[k][1:]
	a := &attempt{change: c, quorumRead: c.ReadOnly && !c.Recommit}
	p.inFlight[k] = a
	p.startBallot(effects, now, a)
}

func (p *Proposer) startBallot(effects *ProposerEffects, now int64, a *attempt) {
	p.attemptNumber++
	a.number, a.retryAt, a.timeoutAt, a.ballot = p.attemptNumber, 0, now+ballotTimeout, nil
	if !a.quorumRead {
		p.ballotNumber++
		a.ballot = &schema.Ballot{Membership: p.membership.Number, Number: p.ballotNumber, Proposer: p.name}
	}
	a.accepting, a.promises, a.accepted = false, map[string]*schema.Promise{}, map[string]*schema.Accepted{}
	if a.localState = nil; p.LocalState != nil {
		a.localState = p.LocalState(a.change.Key)
	}
	p.broadcast(effects, &schema.Envelope{From: p.self, Body: &schema.Envelope_Prepare{Prepare: &schema.Prepare{
		Key: a.change.Key, Attempt: a.number, Ballot: a.ballot, KnownBallot: a.localState.GetAccepted(), Membership: p.membership.Number}}})
}

func (p *Proposer) handlePromise(effects *ProposerEffects, now int64, from string, m *schema.Promise) {
	p.ballotNumber = max(p.ballotNumber, m.Promised.GetNumber())
	a := p.inFlight[m.Key]
	if a == nil || a.number != m.Attempt || a.accepting || a.retryAt > 0 || !p.isFromVoter(from, m.Membership, m.DiskId) {
		return
	}
	if !m.Granted {
		p.scheduleRetry(now, a)
		return
	}
	if m.ValueOmitted {
		if a.localState == nil || !BallotEqual(a.localState.Accepted, m.Accepted) {
			return // of an earlier run's attempt
		}
		m = &schema.Promise{Key: m.Key, Attempt: m.Attempt, Granted: true, Promised: m.Promised, Accepted: m.Accepted, Value: a.localState.Value}
	}
	a.promises[from] = m
	if len(a.promises) < p.membership.Quorum() {
		return
	}
	highest, same := p.highestAccepted(a.promises)
	a.value, a.ownValue = p.chooseValue(a, highest.Value)
	if !a.ownValue && same && !a.change.Recommit {
		// A majority accepted one ballot: its value is chosen already.
		p.finish(effects, now, a)
		return
	}
	if a.quorumRead {
		// The voters differ, or accepted it under an earlier membership; only a
		// ballot settles what is chosen.
		if len(a.promises) == len(p.membership.Voters) || highest.Accepted.GetMembership() != p.membership.Number {
			a.quorumRead = false
			p.startBallot(effects, now, a)
		}
		return
	}
	a.accepting = true
	if a.ownValue {
		a.changeProposed = true
	}
	p.sendAccepts(effects, a, highest.Accepted)
}

// sendAccepts asks all voters to accept the attempt's value. A value that was
// accepted before may be large: its data is left out for those that said that they
// hold it, and at the first try for those that did not say.
func (p *Proposer) sendAccepts(effects *ProposerEffects, a *attempt, highestAccepted *schema.Ballot) {
	for _, address := range p.membership.Addresses() {
		accept := &schema.Accept{Key: a.change.Key, Attempt: a.number, Ballot: a.ballot, Value: a.value, Membership: p.membership.Number}
		promise := a.promises[address]
		hasValue := promise != nil && BallotEqual(promise.Accepted, highestAccepted) || promise == nil && a.retries == 0
		if !a.ownValue && !a.change.Recommit && a.value != nil && hasValue {
			accept.Value, accept.ValueBallot = nil, cloneBallot(highestAccepted)
		}
		effects.Send = append(effects.Send, statemachine.Send{To: address, Envelope: &schema.Envelope{From: p.self, Body: &schema.Envelope_Accept{Accept: accept}}})
	}
}

// isFromVoter reports whether a reply is of a voter under the membership that this
// proposer goes by.
func (p *Proposer) isFromVoter(from string, membership, diskID uint64) bool {
	return membership == p.membership.Number && p.membership.HasVoter(from, diskID)
}

// highestAccepted is the promise with the highest accepted ballot, and whether all of them
// accepted that very ballot under the present membership, or nothing at all.
func (p *Proposer) highestAccepted(promises map[string]*schema.Promise) (*schema.Promise, bool) {
	var newest *schema.Promise
	for _, from := range slices.Sorted(maps.Keys(promises)) {
		if newest == nil || BallotLess(newest.Accepted, promises[from].Accepted) {
			newest = promises[from]
		}
	}
	accepted := newest.Accepted
	same := newest.Value.GetRevision() == 0 || accepted.GetMembership() == p.membership.Number
	for _, m := range promises {
		same = same && BallotEqual(m.Accepted, accepted)
	}
	return newest, same
}

// chooseValue says what this round puts to the vote: the change where its base is
// the newest revision, else the newest value once more so that it is chosen.
func (p *Proposer) chooseValue(a *attempt, current *schema.Value) (*schema.Value, bool) {
	if a.change.ReadOnly || current.GetRevision() != a.change.BaseRevision || slices.Contains(current.GetChangeIds(), a.change.ID) {
		return current, false
	}
	changeIDs := append([]string{a.change.ID}, current.GetChangeIds()...)
	return &schema.Value{Revision: current.GetRevision() + 1, ChangeIds: changeIDs[:min(len(changeIDs), maxChangeIDs)], Data: a.change.Data}, true
}

func (p *Proposer) handleAccepted(effects *ProposerEffects, now int64, from string, m *schema.Accepted) {
	p.ballotNumber = max(p.ballotNumber, m.Promised.GetNumber())
	a := p.inFlight[m.Key]
	if a == nil || a.number != m.Attempt || !a.accepting || a.retryAt > 0 || !p.isFromVoter(from, m.Membership, m.DiskId) {
		return
	}
	if !m.Granted {
		p.scheduleRetry(now, a)
		return
	}
	a.accepted[from] = m
	if len(a.accepted) >= p.membership.Quorum() {
		p.finish(effects, now, a)
	}
}

// finish ends an attempt whose value is known to be chosen.
func (p *Proposer) finish(effects *ProposerEffects, now int64, a *attempt) {
	o := Outcome{Change: a.change, Value: a.value}
	switch {
	case a.change.ReadOnly || a.ownValue || slices.Contains(a.value.GetChangeIds(), a.change.ID):
		o.Verdict = Committed
	case a.changeProposed && a.value.GetRevision() >= a.change.BaseRevision+maxChangeIDs:
		o.Verdict = Uncertain // the names no longer reach back far enough to tell
	default:
		o.Verdict = Conflict
	}
	p.endAttempt(effects, now, a, o)
}

func (p *Proposer) expire(effects *ProposerEffects, now int64, a *attempt) {
	o := Outcome{Change: a.change, Verdict: NoQuorum}
	if a.changeProposed {
		o.Verdict = Uncertain
	}
	p.endAttempt(effects, now, a, o)
}

func (p *Proposer) endAttempt(effects *ProposerEffects, now int64, a *attempt, o Outcome) {
	effects.Outcomes = append(effects.Outcomes, o)
	delete(p.inFlight, a.change.Key)
	p.startNext(effects, now, a.change.Key)
}

// scheduleRetry sets the next round apart from those of other proposers.
func (p *Proposer) scheduleRetry(now int64, a *attempt) {
	a.retries++
	a.quorumRead = false
	jitterRange := int64(10_000) << min(a.retries, 5)
	a.retryAt = now + 2_000 + int64(statemachine.Hash(p.name, a.change.Key, strconv.FormatUint(a.number, 36))%uint64(jitterRange))
}

func (p *Proposer) broadcast(effects *ProposerEffects, e *schema.Envelope) {
	to := p.contacts
	if p.membership.Known() {
		to = p.membership.Addresses()
	}
	for _, v := range to {
		effects.Send = append(effects.Send, statemachine.Send{To: v, Envelope: e})
	}
}

// Due is when Tick has something to do next, math.MaxInt64 for never.
func (p *Proposer) Due() int64 {
	due := int64(math.MaxInt64)
	for _, a := range p.inFlight {
		due = min(due, a.change.Deadline)
		if a.retryAt > 0 {
			due = min(due, a.retryAt)
		} else {
			due = min(due, a.timeoutAt)
		}
	}
	for _, l := range p.queued {
		for _, c := range l {
			due = min(due, c.Deadline)
		}
	}
	return due
}
