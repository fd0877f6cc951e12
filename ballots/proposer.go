package ballots

import (
	"maps"
	"math"
	"slices"

	"stoneford/schema"
	"stoneford/step"
)

// Verdict is how a change or a reading ended.
type Verdict int

const (
	// Agreed: the change is in force, or the reading is the newest value.
	Agreed Verdict = iota
	// Lost: another revision came first; nothing was changed.
	Lost
	// Uncertain: no majority confirmed it in time; it may or may not be chosen.
	Uncertain
	// Unreached: no majority was reached and nothing was changed.
	Unreached
)

// Change asks for the revision after Base to hold Data. Name must be unique to
// the change: the same name is never put in force twice. A Change with Read
// set only asks for the newest value.
type Change struct {
	Name   string
	Key    string
	Base   uint64
	Data   []byte
	Read   bool
	Expiry int64
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

type attempt struct {
	ch       Change
	number   uint64
	ballot   *schema.Ballot
	look     bool // asks without a ballot: binds no voter and writes nothing
	second   bool // in the accept phase
	asked    bool // an accept with this change ever left
	promises map[string]*schema.Promise
	accepted map[string]*schema.Accepted
	value    *schema.Value // put to the vote
	have     *schema.Cell  // what this process's own voter holds
	mine     bool          // value is this change itself
	until    int64         // of this round
	again    int64         // when a round that failed is retried, 0 while one runs
	tries    uint64
}

// Proposer is the half of the ballots that puts changes to the vote. It holds
// one round a key at a time and the rest in line.
type Proposer struct {
	self   string // address replies are sent to
	name   string // unique to this run of the process: no ballot is ever reused
	voters []string
	round  uint64
	first  uint64 // where this run's attempts are numbered from
	number uint64 // of the newest attempt
	busy   map[string]*attempt
	line   map[string][]Change
	// Known, where set, is what the voter beside this proposer accepted of a key:
	// others need not send that back.
	Known func(key string) *schema.Cell
}

// NewProposer makes a proposer; run must be a name that no earlier run of the
// process used. With no voters it waits until it is told who they are.
func NewProposer(self, run string, voters []string) *Proposer {
	first := step.FirstNumber("attempt", self, run)
	return &Proposer{self: self, name: self + "#" + run, voters: slices.Clone(voters), first: first, number: first, busy: map[string]*attempt{}, line: map[string][]Change{}}
}

// SetVoters tells who the voters are, once that is known; what waits begins anew.
func (p *Proposer) SetVoters(now int64, voters []string) {
	if slices.Equal(p.voters, voters) {
		return
	}
	p.voters = slices.Clone(voters)
	for _, a := range p.busy {
		a.again = now
	}
}

// Ask takes a change or a reading.
func (p *Proposer) Ask(now int64, c Change) ProposerEffects {
	var fx ProposerEffects
	p.line[c.Key] = append(p.line[c.Key], c)
	p.next(&fx, now, c.Key)
	return fx
}

// Tick retries rounds that failed and ends changes whose expiry has come.
func (p *Proposer) Tick(now int64) ProposerEffects {
	var fx ProposerEffects
	for _, k := range slices.Sorted(maps.Keys(p.busy)) {
		a := p.busy[k]
		switch {
		case now >= a.ch.Expiry:
			p.giveUp(&fx, now, a)
		case a.again > 0 && now >= a.again:
			p.begin(&fx, now, a)
		case a.again == 0 && now >= a.until:
			p.retry(now, a)
		}
	}
	for k, l := range p.line {
		p.line[k] = slices.DeleteFunc(l, func(c Change) bool {
			if now >= c.Expiry {
				fx.Outcomes = append(fx.Outcomes, Outcome{Change: c, Verdict: Unreached})
			}
			return now >= c.Expiry
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

// Step takes a voter's reply.
func (p *Proposer) Step(now int64, e *schema.Envelope) ProposerEffects {
	var fx ProposerEffects
	switch b := e.Body.(type) {
	case *schema.Envelope_Promise:
		p.promise(&fx, now, e.From, b.Promise)
	case *schema.Envelope_Accepted:
		p.accepted(&fx, now, e.From, b.Accepted)
	}
	return fx
}

func (p *Proposer) next(fx *ProposerEffects, now int64, k string) {
	if p.busy[k] != nil || len(p.line[k]) == 0 {
		if len(p.line[k]) == 0 {
			delete(p.line, k)
		}
		return
	}
	c := p.line[k][0]
	p.line[k] = p.line[k][1:]
	a := &attempt{ch: c, look: c.Read}
	p.busy[k] = a
	p.begin(fx, now, a)
}

func (p *Proposer) begin(fx *ProposerEffects, now int64, a *attempt) {
	p.number++
	a.number, a.again, a.until, a.ballot = p.number, 0, now+roundTime, nil
	if !a.look {
		p.round++
		a.ballot = &schema.Ballot{Round: p.round, Proposer: p.name}
	}
	a.second, a.promises, a.accepted = false, map[string]*schema.Promise{}, map[string]*schema.Accepted{}
	if a.have = nil; p.Known != nil {
		a.have = p.Known(a.ch.Key)
	}
	p.toAll(fx, &schema.Envelope{From: p.self, Body: &schema.Envelope_Prepare{Prepare: &schema.Prepare{
		Key: a.ch.Key, Attempt: a.number, Ballot: a.ballot, Have: a.have.GetAccepted()}}})
}

func (p *Proposer) promise(fx *ProposerEffects, now int64, from string, m *schema.Promise) {
	p.round = max(p.round, m.Promised.GetRound())
	a := p.busy[m.Key]
	if a == nil || a.number != m.Attempt || a.second || a.again > 0 || !slices.Contains(p.voters, from) {
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
		m = &schema.Promise{Key: m.Key, Attempt: m.Attempt, Given: true, Promised: m.Promised, Accepted: m.Accepted, Value: a.have.Value, Standings: m.Standings}
	}
	a.promises[from] = m
	qs := counted(a.promises)
	if len(qs) <= len(p.voters)/2 {
		return
	}
	var cur *schema.Promise
	same := true
	for _, v := range qs {
		m := a.promises[v]
		if cur == nil || less(cur.Accepted, m.Accepted) {
			cur = m
		}
		same = same && !less(a.promises[qs[0]].Accepted, m.Accepted) && !less(m.Accepted, a.promises[qs[0]].Accepted)
	}
	a.value, a.mine = p.decide(a, cur.Value)
	if !a.mine && same {
		// A majority stands at one ballot: its value is chosen already.
		p.finish(fx, now, a)
		return
	}
	if a.look {
		// The voters differ; only a ballot settles what is chosen.
		if len(a.promises) == len(p.voters) {
			a.look = false
			p.begin(fx, now, a)
		}
		return
	}
	a.second = true
	if a.mine {
		a.asked = true
	}
	by := make([]*schema.Standing, 0, len(qs))
	for _, v := range qs {
		by = append(by, &schema.Standing{Voter: v, Generation: own(v, a.promises[v].Standings)})
	}
	p.toAll(fx, &schema.Envelope{From: p.self, Body: &schema.Envelope_Accept{Accept: &schema.Accept{
		Key: a.ch.Key, Attempt: a.number, Ballot: a.ballot, Value: a.value, PromisedBy: by}}})
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
	if a == nil || a.number != m.Attempt || !a.second || a.again > 0 || !slices.Contains(p.voters, from) {
		return
	}
	if !m.Given {
		p.retry(now, a)
		return
	}
	a.accepted[from] = m
	if len(counted(a.accepted)) > len(p.voters)/2 {
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
	a.again = now + 2_000 + int64(step.Hash(p.name, a.ch.Key, string(rune(a.number-p.first)))%uint64(spread))
}

func (p *Proposer) toAll(fx *ProposerEffects, e *schema.Envelope) {
	for _, v := range p.voters {
		fx.Send = append(fx.Send, step.Send{To: v, Env: e})
	}
}

type reply interface{ GetStandings() []*schema.Standing }

// counted leaves out replies of a voter's disk that another reply knows to be
// lost (design 3.3).
func counted[R reply](rs map[string]R) []string {
	known := map[string]uint64{}
	for _, r := range rs {
		raise(known, r.GetStandings())
	}
	return slices.DeleteFunc(slices.Sorted(maps.Keys(rs)), func(v string) bool { return own(v, rs[v].GetStandings()) < known[v] })
}

func own(v string, ss []*schema.Standing) uint64 {
	for _, s := range ss {
		if s.Voter == v {
			return s.Generation
		}
	}
	return 0
}

// Due is when Tick has something to do next, math.MaxInt64 for never.
func (p *Proposer) Due() int64 {
	at := int64(math.MaxInt64)
	for _, a := range p.busy {
		at = min(at, a.ch.Expiry)
		if a.again > 0 {
			at = min(at, a.again)
		} else {
			at = min(at, a.until)
		}
	}
	for _, l := range p.line {
		for _, c := range l {
			at = min(at, c.Expiry)
		}
	}
	return at
}

// Counted is whose word of rs counts: it leaves out what a voter's disk said
// that another's word knows to be lost (design 3.3). Each word is the standings
// that came with it.
func Counted(rs map[string][]*schema.Standing) []string {
	m := make(map[string]word, len(rs))
	for v, s := range rs {
		m[v] = s
	}
	return counted(m)
}

type word []*schema.Standing

func (w word) GetStandings() []*schema.Standing { return w }

// Same says whether two ballots are one.
func Same(a, b *schema.Ballot) bool { return !less(a, b) && !less(b, a) }

// Less orders ballots.
func Less(a, b *schema.Ballot) bool { return less(a, b) }
