package paxos_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"

	"stoneford/paxos"
	"stoneford/schema"
	"stoneford/step"
)

// silentAfter is how long a process may be silent before it counts as gone.
const silentAfter = 1_000_000

// process is an acceptor with its disk, a proposer and a reconfigurer, as a
// control process puts them together. Its caller delivers what it sends.
type process struct {
	address  string
	zone     string
	target   int
	silence  int64 // how long a voter may be silent before others replace it, silentAfter if 0
	disk     []*schema.VoterLog
	acceptor *paxos.Acceptor
	proposer *paxos.Proposer
	reconf   *paxos.Reconfigurer
	leaving  bool
	began    int64
	heard    map[string]int64
	sends    []step.Send
	ended    []paxos.Outcome
	// Faults planted by tests; none where unset.
	ownWordOnly bool // its own voter is taken for a majority
	beforeLog   func(p *process, log []*schema.VoterLog) []*schema.VoterLog
	beforeTake  func(p *process, e *schema.Envelope) *schema.Envelope
}

// start has the process begin on what its disk holds.
func (p *process) start(now int64, r *rand.Rand, founders []string) {
	life := r.Uint64()>>1 | 1
	run := fmt.Sprint(r.Uint64())
	p.acceptor = paxos.NewAcceptor(p.address, life, paxos.Place{Zone: p.zone, Counts: true}, founders)
	for _, l := range p.disk {
		p.acceptor.Restore(l)
	}
	p.proposer = paxos.NewProposer(p.address, run, founders)
	p.proposer.Known = p.acceptor.Cell
	p.reconf = paxos.NewReconfigurer(p.address, run)
	p.began, p.heard, p.leaving = now, map[string]int64{}, false
	p.tell(now)
}

// tell has the proposer know the newest membership.
func (p *process) tell(now int64) {
	m := p.acceptor.Membership()
	if p.ownWordOnly {
		m.Voters = map[string]uint64{p.address: p.acceptor.Life()}
	}
	p.proposer.SetMembership(now, m)
}

func (p *process) accepted(now int64, fx paxos.Effects) {
	log := fx.Log
	if p.beforeLog != nil {
		log = p.beforeLog(p, log)
	}
	for _, l := range log {
		if l.Snapshot {
			p.disk = nil
		}
		p.disk = append(p.disk, l)
	}
	p.sends = append(p.sends, fx.Send...)
	p.tell(now)
}

func (p *process) proposed(now int64, fx paxos.ProposerEffects) {
	p.sends = append(p.sends, fx.Send...)
	for _, o := range fx.Outcomes {
		if o.Change.Key == paxos.MembershipKey {
			p.reconf.Done()
			if m, ok := paxos.ChosenMembership(o); ok {
				p.accepted(now, p.acceptor.Adopt(m))
			}
			continue
		}
		p.ended = append(p.ended, o)
	}
}

func (p *process) take(now int64, e *schema.Envelope) {
	if p.beforeTake != nil {
		if e = p.beforeTake(p, e); e == nil {
			return
		}
	}
	p.heard[e.From] = now
	if paxos.IsForAcceptor(e) {
		p.accepted(now, p.acceptor.Step(now, e))
	}
	if paxos.IsForProposer(e) && !(p.ownWordOnly && e.GetMembershipNotice() != nil) {
		p.proposed(now, p.proposer.Step(now, e))
	}
}

// survey is what this process knows of the voters.
func (p *process) survey(now int64) paxos.Survey {
	s := paxos.Survey{Lost: map[string]bool{}, Candidates: p.acceptor.Candidates(now, silentAfter), Target: p.target, Zones: map[string]string{}}
	for _, address := range p.acceptor.Membership().Addresses() {
		if address != p.address && now-max(p.heard[address], p.began) > cmp.Or(p.silence, silentAfter) {
			s.Lost[address] = true
		}
	}
	s.Lost[p.address] = p.leaving
	return s
}

func (p *process) tick(now int64) {
	p.accepted(now, p.acceptor.Tick(now))
	p.proposed(now, p.proposer.Tick(now))
	if c, ok := p.reconf.Step(now, p.acceptor, p.survey(now)); ok {
		p.proposed(now, p.proposer.Ask(now, c))
	}
}

// ping has the others hear of this process.
func (p *process) ping(others []string) {
	for _, o := range others {
		if o != p.address {
			p.sends = append(p.sends, step.Send{To: o, Env: &schema.Envelope{From: p.address, Body: &schema.Envelope_Ping{Ping: &schema.Ping{}}}})
		}
	}
}

func (p *process) ask(now int64, c paxos.Change) { p.proposed(now, p.proposer.Ask(now, c)) }

func (p *process) takeSends() []step.Send {
	s := p.sends
	p.sends = nil
	return s
}

func (p *process) takeEnded() []paxos.Outcome {
	o := p.ended
	p.ended = nil
	return o
}

// newest is the newest membership that any of the processes knows.
func newest(ps map[string]*process) paxos.Membership {
	var m paxos.Membership
	for p := range maps.Values(ps) {
		if p.acceptor != nil && p.acceptor.Membership().Number > m.Number {
			m = p.acceptor.Membership()
		}
	}
	return m
}

// ledger holds what was told of changes and readings against each other: no
// revision has two values, nothing told agreed is lost, no reading is older than
// what was agreed before it began.
type ledger struct {
	chosen   map[string]map[uint64]string
	agreedAt map[string]uint64 // newest revision known agreed, by key
	began    map[string]uint64 // by change: newest revision agreed when it began
	agreed   int
	reads    int
	fail     string
}

func newLedger(keys ...string) ledger {
	l := ledger{chosen: map[string]map[uint64]string{}, agreedAt: map[string]uint64{}, began: map[string]uint64{}}
	for _, k := range keys {
		l.chosen[k] = map[uint64]string{}
	}
	return l
}

func (l *ledger) bad(f string, a ...any) {
	if l.fail == "" {
		l.fail = fmt.Sprintf(f, a...)
	}
}

func (l *ledger) outcome(o paxos.Outcome) {
	if o.Verdict != paxos.Agreed && o.Verdict != paxos.Lost {
		return
	}
	k, r := o.Change.Key, o.Value.GetRevision()
	if r > 0 {
		d := string(o.Value.Data)
		if was, ok := l.chosen[k][r]; ok && was != d {
			l.bad("%s revision %d is both %s and %s", k, r, was, d)
		}
		l.chosen[k][r] = d
	}
	if r < l.began[o.Change.Name] {
		l.bad("%s: %s ended at revision %d, but %d was agreed before it began", k, o.Change.Name, r, l.began[o.Change.Name])
	}
	if !o.Change.Read && o.Verdict == paxos.Agreed {
		l.agreed++
		// Its own revision is base+1, whatever came later.
		if was, ok := l.chosen[k][o.Change.Base+1]; ok && was != string(o.Change.Data) {
			l.bad("%s: %s was told agreed, but revision %d is %s", k, o.Change.Name, o.Change.Base+1, was)
		}
		l.chosen[k][o.Change.Base+1] = string(o.Change.Data)
	}
	if !o.Change.Read && o.Verdict == paxos.Lost && l.chosen[k][o.Change.Base+1] == string(o.Change.Data) {
		l.bad("%s: %s was told lost and is in force", k, o.Change.Name)
	}
	if o.Change.Read {
		l.reads++
	}
	l.agreedAt[k] = max(l.agreedAt[k], r)
}
