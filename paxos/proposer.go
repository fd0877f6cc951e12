package paxos

import (
	"maps"
	"math"
	"slices"
	"strconv"

	"stoneford/schema"
	"stoneford/step"
)

// Verdict is how a change or a reading ended.
type Verdict int

const (
	// Agreed means that the change is in force, or that the reading is the newest
	// value.
	Agreed Verdict = iota
	// Lost means that another revision came first; nothing was changed.
	Lost
	// Uncertain means that no majority confirmed the change in time; it may or may
	// not be chosen.
	Uncertain
	// Unreached means that no majority was reached and nothing was changed.
	Unreached
)

// Change asks for the revision after Base to hold Data. Name must be unique to
// the change: the same name is never put in force twice. A Change with Read
// set only asks for the newest value; with Settle set too, a ballot has that value
// accepted anew, also by a voter that holds another.
type Change struct {
	Name     string
	Key      string
	Base     uint64
	Data     []byte
	Read     bool
	Settle   bool
	Deadline int64
}

// Outcome ends a change.
type Outcome struct {
	Change  Change
	Verdict Verdict
	Value   *schema.Value // newest agreed value known, where Agreed or Lost
}

// ProposerEffects is what a proposer's step asks of its edge.
type ProposerEffects struct {
	Send     []step.Send
	Outcomes []Outcome
}

// roundTime is how long one round of ballots may take before the next is
// tried.
const roundTime = 400_000

// attempt is a change or a reading under way.
type attempt struct {
	ch       Change
	number   uint64
	ballot   *schema.Ballot
	look     bool // reads without a ballot: binds no voter and writes nothing
	second   bool // in the accept phase
	asked    bool // an accept with this change ever left
	promises map[string]*schema.Promise
	accepted map[string]*schema.Accepted
	value    *schema.Value // put to the vote
	have     *schema.Cell  // what this process's own acceptor holds
	mine     bool          // value is this change itself
	until    int64         // of this round
	again    int64         // when a round that failed is retried, 0 while one runs
	tries    uint64
}

// Proposer is the half of the protocol that puts changes to the vote. It runs one
// round a key at a time and queues the rest.
type Proposer struct {
	self       string // address that replies are sent to
	name       string // unique to this run of the process: no ballot is ever used again
	contacts   []string
	membership Membership
	round      uint64
	number     uint64 // of the newest attempt; begins at a place of the run's own, so that a late reply to an earlier run never counts
	busy       map[string]*attempt
	queue      map[string][]Change
	// Known, where set, is what the acceptor beside this proposer accepted of a key:
	// others need not send that back.
	Known func(key string) *schema.Cell
}

// NewProposer makes a proposer; run must be a name that no earlier run of the
// process used. Until it knows a membership it asks the contacts for one.
func NewProposer(self, run string, contacts []string) *Proposer {
	name := self + "#" + run
	return &Proposer{self: self, name: name, number: step.FirstNumber("attempt", self, run), contacts: slices.Clone(contacts), busy: map[string]*attempt{}, queue: map[string][]Change{}}
}

// SetMembership takes a newer membership; what was under way begins anew under it.
func (p *Proposer) SetMembership(now int64, m Membership) {
	if m.Number <= p.membership.Number {
		return
	}
	p.membership = m
	for _, a := range p.busy {
		a.again = now
	}
}

// Membership is the one under which this proposer counts replies.
func (p *Proposer) Membership() Membership { return p.membership }

// Ask takes a change or a reading.
func (p *Proposer) Ask(now int64, c Change) ProposerEffects {
	var fx ProposerEffects
	p.queue[c.Key] = append(p.queue[c.Key], c)
	p.next(&fx, now, c.Key)
	return fx
}

// Tick retries rounds that failed and ends changes whose deadline has come.
func (p *Proposer) Tick(now int64) ProposerEffects {
	var fx ProposerEffects
	for _, k := range slices.Sorted(maps.Keys(p.busy)) {
		a := p.busy[k]
		switch {
		case now >= a.ch.Deadline:
			p.giveUp(&fx, now, a)
		case a.again > 0 && now >= a.again:
			p.begin(&fx, now, a)
		case a.again == 0 && now >= a.until:
			p.retry(now, a)
		}
	}
	for k, l := range p.queue {
		p.queue[k] = slices.DeleteFunc(l, func(c Change) bool {
			if now >= c.Deadline {
				fx.Outcomes = append(fx.Outcomes, Outcome{Change: c, Verdict: Unreached})
			}
			return now >= c.Deadline
		})
	}
	slices.SortStableFunc(fx.Outcomes, func(a, b Outcome) int {
		if a.Change.Name < b.Change.Name {
			return -1
		}
		return 1
	})
	return fx
}

// Step takes an acceptor's reply.
func (p *Proposer) Step(now int64, e *schema.Envelope) ProposerEffects {
	var fx ProposerEffects
	switch b := e.Body.(type) {
	case *schema.Envelope_Promise:
		p.promise(&fx, now, e.From, b.Promise)
	case *schema.Envelope_Accepted:
		p.accepted(&fx, now, e.From, b.Accepted)
	case *schema.Envelope_MembershipNotice:
		p.SetMembership(now, ReadMembership(b.MembershipNotice.Membership))
		return p.Tick(now)
	}
	return fx
}

func (p *Proposer) next(fx *ProposerEffects, now int64, k string) {
	if p.busy[k] != nil || len(p.queue[k]) == 0 {
		if len(p.queue[k]) == 0 {
			delete(p.queue, k)
		}
		return
	}
	c := p.queue[k][0]
	p.queue[k] = p.queue[k][1:]
	a := &attempt{ch: c, look: c.Read && !c.Settle}
	p.busy[k] = a
	p.begin(fx, now, a)
}

func (p *Proposer) begin(fx *ProposerEffects, now int64, a *attempt) {
	p.number++
	a.number, a.again, a.until, a.ballot = p.number, 0, now+roundTime, nil
	if !a.look {
		p.round++
		a.ballot = &schema.Ballot{Membership: p.membership.Number, Round: p.round, Proposer: p.name}
	}
	a.second, a.promises, a.accepted = false, map[string]*schema.Promise{}, map[string]*schema.Accepted{}
	if a.have = nil; p.Known != nil {
		a.have = p.Known(a.ch.Key)
	}
	p.toAll(fx, &schema.Envelope{From: p.self, Body: &schema.Envelope_Prepare{Prepare: &schema.Prepare{
		Key: a.ch.Key, Attempt: a.number, Ballot: a.ballot, Have: a.have.GetAccepted(), Membership: p.membership.Number}}})
}

func (p *Proposer) promise(fx *ProposerEffects, now int64, from string, m *schema.Promise) {
	p.round = max(p.round, m.Promised.GetRound())
	a := p.busy[m.Key]
	if a == nil || a.number != m.Attempt || a.second || a.again > 0 || !p.counts(from, m.Membership, m.Life) {
		return
	}
	if !m.Given {
		p.retry(now, a)
		return
	}
	if m.Same {
		if a.have == nil || !Same(a.have.Accepted, m.Accepted) {
			return // of an earlier run's attempt
		}
		m = &schema.Promise{Key: m.Key, Attempt: m.Attempt, Given: true, Promised: m.Promised, Accepted: m.Accepted, Value: a.have.Value}
	}
	a.promises[from] = m
	if len(a.promises) < p.membership.Quorum() {
		return
	}
	cur, same := p.newest(a.promises)
	a.value, a.mine = p.decide(a, cur.Value)
	if !a.mine && same && !a.ch.Settle {
		// A majority accepted one ballot: its value is chosen already.
		p.finish(fx, now, a)
		return
	}
	if a.look {
		// The voters differ, or accepted it under an earlier membership; only a
		// ballot settles what is chosen.
		if len(a.promises) == len(p.membership.Voters) || cur.Accepted.GetMembership() != p.membership.Number {
			a.look = false
			p.begin(fx, now, a)
		}
		return
	}
	a.second = true
	if a.mine {
		a.asked = true
	}
	p.sendAccepts(fx, a, cur.Accepted)
}

// sendAccepts asks all voters to accept the attempt's value. A value that was
// accepted before may be large: its data is left out for those that said that they
// hold it, and at the first try for those that did not say.
func (p *Proposer) sendAccepts(fx *ProposerEffects, a *attempt, held *schema.Ballot) {
	for _, address := range p.membership.Addresses() {
		accept := &schema.Accept{Key: a.ch.Key, Attempt: a.number, Ballot: a.ballot, Value: a.value, Membership: p.membership.Number}
		promise := a.promises[address]
		holds := promise != nil && Same(promise.Accepted, held) || promise == nil && a.tries == 0
		if !a.mine && !a.ch.Settle && a.value != nil && holds {
			accept.Value, accept.Same = nil, copyBallot(held)
		}
		fx.Send = append(fx.Send, step.Send{To: address, Env: &schema.Envelope{From: p.self, Body: &schema.Envelope_Accept{Accept: accept}}})
	}
}

// counts reports whether a reply is of a voter under the membership that this
// proposer goes by.
func (p *Proposer) counts(from string, membership, life uint64) bool {
	return membership == p.membership.Number && p.membership.Has(from, life)
}

// newest is the promise with the highest accepted ballot, and whether all of them
// accepted that very ballot under the present membership, or nothing at all.
func (p *Proposer) newest(promises map[string]*schema.Promise) (*schema.Promise, bool) {
	var newest *schema.Promise
	for _, from := range slices.Sorted(maps.Keys(promises)) {
		if newest == nil || Less(newest.Accepted, promises[from].Accepted) {
			newest = promises[from]
		}
	}
	accepted := newest.Accepted
	same := newest.Value.GetRevision() == 0 || accepted.GetMembership() == p.membership.Number
	for _, m := range promises {
		same = same && Same(m.Accepted, accepted)
	}
	return newest, same
}

// decide says what this round puts to the vote: the change where its base is
// the newest revision, else the newest value once more so that it is chosen.
func (p *Proposer) decide(a *attempt, cur *schema.Value) (*schema.Value, bool) {
	if a.ch.Read || cur.GetRevision() != a.ch.Base || slices.Contains(cur.GetChanges(), a.ch.Name) {
		return cur, false
	}
	cs := append([]string{a.ch.Name}, cur.GetChanges()...)
	return &schema.Value{Revision: cur.GetRevision() + 1, Changes: cs[:min(len(cs), keptChanges)], Data: a.ch.Data}, true
}

func (p *Proposer) accepted(fx *ProposerEffects, now int64, from string, m *schema.Accepted) {
	p.round = max(p.round, m.Promised.GetRound())
	a := p.busy[m.Key]
	if a == nil || a.number != m.Attempt || !a.second || a.again > 0 || !p.counts(from, m.Membership, m.Life) {
		return
	}
	if !m.Given {
		p.retry(now, a)
		return
	}
	a.accepted[from] = m
	if len(a.accepted) >= p.membership.Quorum() {
		p.finish(fx, now, a)
	}
}

// finish ends an attempt whose value is known to be chosen.
func (p *Proposer) finish(fx *ProposerEffects, now int64, a *attempt) {
	o := Outcome{Change: a.ch, Value: a.value}
	switch {
	case a.ch.Read || a.mine || slices.Contains(a.value.GetChanges(), a.ch.Name):
		o.Verdict = Agreed
	case a.asked && a.value.GetRevision() >= a.ch.Base+keptChanges:
		o.Verdict = Uncertain // the names no longer reach back far enough to tell
	default:
		o.Verdict = Lost
	}
	p.end(fx, now, a, o)
}

func (p *Proposer) giveUp(fx *ProposerEffects, now int64, a *attempt) {
	o := Outcome{Change: a.ch, Verdict: Unreached}
	if a.asked {
		o.Verdict = Uncertain
	}
	p.end(fx, now, a, o)
}

func (p *Proposer) end(fx *ProposerEffects, now int64, a *attempt, o Outcome) {
	fx.Outcomes = append(fx.Outcomes, o)
	delete(p.busy, a.ch.Key)
	p.next(fx, now, a.ch.Key)
}

// retry sets the next round apart from those of other proposers.
func (p *Proposer) retry(now int64, a *attempt) {
	a.tries++
	a.look = false
	spread := int64(10_000) << min(a.tries, 5)
	a.again = now + 2_000 + int64(step.Hash(p.name, a.ch.Key, strconv.FormatUint(a.number, 36))%uint64(spread))
}

func (p *Proposer) toAll(fx *ProposerEffects, e *schema.Envelope) {
	to := p.contacts
	if p.membership.Known() {
		to = p.membership.Addresses()
	}
	for _, v := range to {
		fx.Send = append(fx.Send, step.Send{To: v, Env: e})
	}
}

// Due is when Tick has something to do next, math.MaxInt64 for never.
func (p *Proposer) Due() int64 {
	at := int64(math.MaxInt64)
	for _, a := range p.busy {
		at = min(at, a.ch.Deadline)
		if a.again > 0 {
			at = min(at, a.again)
		} else {
			at = min(at, a.until)
		}
	}
	for _, l := range p.queue {
		for _, c := range l {
			at = min(at, c.Deadline)
		}
	}
	return at
}
