package paxos

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"stoneford/schema"
	"stoneford/statemachine"
)

const (
	// ballotTimeout is the time after which a ballot or quorum read is retried. A shorter
	// time-out repeats work while voters are merely slow.
	ballotTimeout = 400 * time.Millisecond
	// minRetryDelay is the minimum delay before the next ballot. retryJitter is the range
	// of the jitter added to it, which desynchronizes competing proposers.
	minRetryDelay = 2 * time.Millisecond
	retryJitter   = 10 * time.Millisecond
	// maxJitterDoublings limits the exponential backoff: retryJitter doubles with each
	// retry, at most this many times.
	maxJitterDoublings = 5
)

// Proposer runs the ballots for one process's changes and reads. It runs one attempt per
// key at a time and queues the others.
type Proposer struct {
	self          string // address that replies are sent to
	proposerID    string // unique to this run of the process, so that no ballot is used twice
	seedAddresses []string
	membership    Membership

	// ballotNumber is the highest ballot number seen or used.
	ballotNumber uint64
	// attemptNumber is the number of the newest attempt. It starts at a number specific to
	// this run, so that late replies to an earlier run are ignored.
	attemptNumber uint64

	inFlight map[string]*attempt // by key
	queued   map[string][]Change // by key

	// LocalState, if set, returns the state of a register at this process's own acceptor,
	// nil if it has accepted no value. Other acceptors omit that value from their
	// promises.
	LocalState func(key string) *schema.RegisterState
}

// NewProposer returns a proposer. run must be a name that no earlier run of this process
// used. Until a membership is known, the proposer sends its requests to the seed
// addresses, which reply with the membership.
func NewProposer(self, run string, seedAddresses []string) *Proposer {
	return &Proposer{
		self:          self,
		proposerID:    self + "#" + run,
		seedAddresses: slices.Clone(seedAddresses),
		attemptNumber: statemachine.FirstRequestNumber("attempt", self, run),
		inFlight:      map[string]*attempt{},
		queued:        map[string][]Change{},
	}
}

// SetMembership sets a newer membership. Attempts in progress restart under it at the
// next Tick.
func (p *Proposer) SetMembership(now int64, m Membership) {
	if m.Number <= p.membership.Number {
		return
	}
	p.membership = m
	for _, a := range p.inFlight {
		a.retryAt = now
	}
}

// Membership returns the membership under which this proposer counts replies.
func (p *Proposer) Membership() Membership { return p.membership }

// Propose starts a change or a read, or queues it behind others of the same key. Each
// change ends with exactly one Outcome, no later than the first Tick after its deadline.
func (p *Proposer) Propose(now int64, c Change) ProposerEffects {
	var effects ProposerEffects
	p.queued[c.Key] = append(p.queued[c.Key], c)
	p.startNext(&effects, now, c.Key)
	return effects
}

// Tick retries failed ballots and ends changes whose deadline has passed.
func (p *Proposer) Tick(now int64) ProposerEffects {
	var effects ProposerEffects
	for _, key := range slices.Sorted(maps.Keys(p.inFlight)) {
		a := p.inFlight[key]
		switch {
		case now >= a.change.Deadline:
			p.expire(&effects, now, a)
		case a.retryAt > 0 && now >= a.retryAt:
			p.startBallot(&effects, now, a)
		case a.retryAt == 0 && now >= a.timeoutAt:
			p.scheduleRetry(now, a)
		}
	}
	p.expireQueued(&effects, now)
	slices.SortStableFunc(effects.Outcomes, func(a, b Outcome) int { return strings.Compare(a.Change.ID, b.Change.ID) })
	return effects
}

// Step handles an acceptor's reply or a membership notice. It ignores messages that are
// not addressed to a proposer (see IsForProposer).
func (p *Proposer) Step(now int64, envelope *schema.Envelope) ProposerEffects {
	var effects ProposerEffects
	switch body := envelope.Body.(type) {
	case *schema.Envelope_Promise:
		p.handlePromise(&effects, now, envelope.From, body.Promise)
	case *schema.Envelope_Accepted:
		p.handleAccepted(&effects, now, envelope.From, body.Accepted)
	case *schema.Envelope_MembershipNotice:
		p.SetMembership(now, MembershipFromProto(body.MembershipNotice.Membership))
		return p.Tick(now)
	}
	return effects
}

// Due returns the time at which Tick must next be called, math.MaxInt64 if never.
func (p *Proposer) Due() int64 {
	due := int64(math.MaxInt64)
	for _, a := range p.inFlight {
		due = min(due, a.due())
	}
	for _, changes := range p.queued {
		for _, c := range changes {
			due = min(due, c.Deadline)
		}
	}
	return due
}

// startNext starts the first queued change of a key unless another is in progress.
func (p *Proposer) startNext(effects *ProposerEffects, now int64, key string) {
	if len(p.queued[key]) == 0 {
		delete(p.queued, key)
		return
	}
	if p.inFlight[key] != nil {
		return
	}
	a := newAttempt(p.queued[key][0])
	p.queued[key] = p.queued[key][1:]
	p.inFlight[key] = a
	p.startBallot(effects, now, a)
}

// startBallot starts phase 1 of a new ballot, or a quorum read.
func (p *Proposer) startBallot(effects *ProposerEffects, now int64, a *attempt) {
	p.attemptNumber++
	a.number = p.attemptNumber
	a.retryAt, a.timeoutAt = 0, now+ballotTimeout.Microseconds()
	a.ballot = nil
	if !a.quorumRead {
		p.ballotNumber++
		a.ballot = &schema.Ballot{Membership: p.membership.Number, Number: p.ballotNumber, Proposer: p.proposerID}
	}
	a.accepting = false
	a.promises, a.accepted = map[string]*schema.Promise{}, map[string]*schema.Accepted{}
	a.localState = nil
	if p.LocalState != nil {
		a.localState = p.LocalState(a.change.Key)
	}
	p.broadcast(effects, &schema.Envelope{From: p.self, Body: &schema.Envelope_Prepare{Prepare: &schema.Prepare{
		Key:         a.change.Key,
		Attempt:     a.number,
		Ballot:      a.ballot,
		KnownBallot: a.localState.GetAccepted(),
		Membership:  p.membership.Number,
	}}})
}

// handlePromise collects promises until a majority has replied.
func (p *Proposer) handlePromise(effects *ProposerEffects, now int64, from string, m *schema.Promise) {
	p.ballotNumber = max(p.ballotNumber, m.Promised.GetNumber())
	a := p.inFlight[m.Key]
	if !a.expects(m.Attempt, false) || !p.isFromVoter(from, m.Membership, m.DiskId) {
		return
	}
	if !m.Granted {
		p.scheduleRetry(now, a)
		return
	}
	if m.ValueOmitted {
		if a.localState == nil || !BallotEqual(a.localState.Accepted, m.Accepted) {
			return // not a reply to this prepare
		}
		m = &schema.Promise{
			Key: m.Key, Attempt: m.Attempt, Granted: true,
			Promised: m.Promised, Accepted: m.Accepted, Value: a.localState.Value,
		}
	}
	a.promises[from] = m
	if len(a.promises) >= p.membership.Quorum() {
		p.concludePrepare(effects, now, a)
	}
}

// concludePrepare evaluates the promises of a majority. If they show that the attempt's
// value is chosen already, the attempt ends; otherwise phase 2 begins.
func (p *Proposer) concludePrepare(effects *ProposerEffects, now int64, a *attempt) {
	highest, unanimous := p.highestAccepted(a.promises)
	a.value, a.ownValue = a.change.nextValue(highest.Value)
	if !a.ownValue && unanimous && !a.change.Recommit {
		p.finish(effects, now, a) // a majority accepted the same ballot, so its value is chosen
		return
	}
	if a.quorumRead {
		// The voters differ, or they accepted the value under an earlier membership: only a
		// ballot determines the chosen value. Replies that are still missing may complete a
		// unanimous majority.
		allReplied := len(a.promises) == len(p.membership.Voters)
		if allReplied || highest.Accepted.GetMembership() != p.membership.Number {
			a.quorumRead = false
			p.startBallot(effects, now, a)
		}
		return
	}
	a.accepting = true
	a.changeProposed = a.changeProposed || a.ownValue
	p.sendAccepts(effects, a, highest.Accepted)
}

// sendAccepts starts phase 2: it sends the attempt's value to all voters for acceptance.
// A value accepted in an earlier ballot may be large; it is omitted for voters that have
// reported it and, before the first retry, for voters that have not replied yet.
func (p *Proposer) sendAccepts(effects *ProposerEffects, a *attempt, highestAccepted *schema.Ballot) {
	for _, address := range p.membership.Addresses() {
		accept := &schema.Accept{
			Key:        a.change.Key,
			Attempt:    a.number,
			Ballot:     a.ballot,
			Value:      a.value,
			Membership: p.membership.Number,
		}
		promise := a.promises[address]
		hasValue := promise != nil && BallotEqual(promise.Accepted, highestAccepted) || promise == nil && a.retries == 0
		if !a.ownValue && !a.change.Recommit && a.value != nil && hasValue {
			accept.Value, accept.ValueBallot = nil, cloneBallot(highestAccepted)
		}
		effects.Send = append(effects.Send, statemachine.Send{To: address, Envelope: &schema.Envelope{From: p.self, Body: &schema.Envelope_Accept{Accept: accept}}})
	}
}

// handleAccepted collects acceptances until a majority has accepted.
func (p *Proposer) handleAccepted(effects *ProposerEffects, now int64, from string, m *schema.Accepted) {
	p.ballotNumber = max(p.ballotNumber, m.Promised.GetNumber())
	a := p.inFlight[m.Key]
	if !a.expects(m.Attempt, true) || !p.isFromVoter(from, m.Membership, m.DiskId) {
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

// isFromVoter reports whether a reply comes from a voter of this proposer's membership,
// identified by address and disk.
func (p *Proposer) isFromVoter(from string, membership, diskID uint64) bool {
	return membership == p.membership.Number && p.membership.HasVoter(from, diskID)
}

// highestAccepted returns the promise with the highest accepted ballot. unanimous
// reports whether all promises name that accepted ballot and it belongs to the current
// membership, or none of them names an accepted value.
func (p *Proposer) highestAccepted(promises map[string]*schema.Promise) (highest *schema.Promise, unanimous bool) {
	for _, from := range slices.Sorted(maps.Keys(promises)) {
		if highest == nil || BallotLess(highest.Accepted, promises[from].Accepted) {
			highest = promises[from]
		}
	}
	unanimous = highest.Value.GetRevision() == 0 || highest.Accepted.GetMembership() == p.membership.Number
	for _, promise := range promises {
		unanimous = unanimous && BallotEqual(promise.Accepted, highest.Accepted)
	}
	return highest, unanimous
}

// finish ends an attempt whose value is known to be chosen.
func (p *Proposer) finish(effects *ProposerEffects, now int64, a *attempt) {
	p.endAttempt(effects, now, Outcome{Change: a.change, Verdict: a.verdict(), Value: a.value})
}

// expire ends an attempt whose deadline has passed.
func (p *Proposer) expire(effects *ProposerEffects, now int64, a *attempt) {
	verdict := NoQuorum
	if a.changeProposed {
		verdict = Uncertain
	}
	p.endAttempt(effects, now, Outcome{Change: a.change, Verdict: verdict})
}

// expireQueued ends queued changes whose deadline has passed.
func (p *Proposer) expireQueued(effects *ProposerEffects, now int64) {
	for key, changes := range p.queued {
		p.queued[key] = slices.DeleteFunc(changes, func(c Change) bool {
			if now >= c.Deadline {
				effects.Outcomes = append(effects.Outcomes, Outcome{Change: c, Verdict: NoQuorum})
			}
			return now >= c.Deadline
		})
	}
}

func (p *Proposer) endAttempt(effects *ProposerEffects, now int64, o Outcome) {
	effects.Outcomes = append(effects.Outcomes, o)
	delete(p.inFlight, o.Change.Key)
	p.startNext(effects, now, o.Change.Key)
}

// scheduleRetry schedules the next ballot after a delay with jitter that depends on the
// proposer. A quorum read is retried with a ballot.
func (p *Proposer) scheduleRetry(now int64, a *attempt) {
	a.retries++
	a.quorumRead = false
	jitterRange := retryJitter.Microseconds() << min(a.retries, maxJitterDoublings)
	jitter := statemachine.Hash(p.proposerID, a.change.Key, strconv.FormatUint(a.number, 36)) % uint64(jitterRange)
	a.retryAt = now + minRetryDelay.Microseconds() + int64(jitter)
}

// broadcast sends a message to all voters, or to the seed addresses while no membership
// is known.
func (p *Proposer) broadcast(effects *ProposerEffects, envelope *schema.Envelope) {
	to := p.seedAddresses
	if p.membership.Known() {
		to = p.membership.Addresses()
	}
	for _, address := range to {
		effects.Send = append(effects.Send, statemachine.Send{To: address, Envelope: envelope})
	}
}
