package paxos_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"

	"stoneford/paxos"
	"stoneford/schema"
	"stoneford/statemachine"
)

// unresponsiveAfter is how long a process may be silent before it counts as gone.
const unresponsiveAfter = 1_000_000

// process is an acceptor with its disk, a proposer and a reconfigurer, as a
// control process puts them together. Its caller delivers what it sends.
type process struct {
	address            string
	zone               string
	target             int
	replacementTimeout int64 // how long a voter may be silent before others replace it, unresponsiveAfter if 0
	disk               []*schema.WALEntry
	acceptor           *paxos.Acceptor
	proposer           *paxos.Proposer
	reconfigurer       *paxos.Reconfigurer
	draining           bool
	startedAt          int64
	heardAt            map[string]int64
	outgoing           []statemachine.Send
	outcomes           []paxos.Outcome
	// Faults planted by tests; none where unset.
	ownVoterOnly   bool // its own voter is taken for a majority
	mutateLog      func(p *process, log []*schema.WALEntry) []*schema.WALEntry
	mutateReceived func(p *process, e *schema.Envelope) *schema.Envelope
}

// start has the process begin on what its disk holds.
func (p *process) start(now int64, r *rand.Rand, founders []string) {
	diskID := r.Uint64()>>1 | 1
	run := fmt.Sprint(r.Uint64())
	p.acceptor = paxos.NewAcceptor(p.address, diskID, paxos.Location{Zone: p.zone, Eligible: true}, founders)
	for _, l := range p.disk {
		p.acceptor.Restore(l)
	}
	p.proposer = paxos.NewProposer(p.address, run, founders)
	p.proposer.LocalState = p.acceptor.RegisterState
	p.reconfigurer = paxos.NewReconfigurer(p.address, run)
	p.startedAt, p.heardAt, p.draining = now, map[string]int64{}, false
	p.updateProposer(now)
}

// updateProposer has the proposer know the newest membership.
func (p *process) updateProposer(now int64) {
	m := p.acceptor.Membership()
	if p.ownVoterOnly {
		m.Voters = map[string]uint64{p.address: p.acceptor.DiskID()}
	}
	p.proposer.SetMembership(now, m)
}

func (p *process) applyAcceptorEffects(now int64, effects paxos.Effects) {
	log := effects.Log
	if p.mutateLog != nil {
		log = p.mutateLog(p, log)
	}
	for _, l := range log {
		if l.Snapshot {
			p.disk = nil
		}
		p.disk = append(p.disk, l)
	}
	p.outgoing = append(p.outgoing, effects.Send...)
	p.updateProposer(now)
}

func (p *process) applyProposerEffects(now int64, effects paxos.ProposerEffects) {
	p.outgoing = append(p.outgoing, effects.Send...)
	for _, o := range effects.Outcomes {
		if o.Change.Key == paxos.MembershipKey {
			p.reconfigurer.Done()
			if m, ok := paxos.ChosenMembership(o); ok {
				p.applyAcceptorEffects(now, p.acceptor.AdoptMembership(m))
			}
			continue
		}
		p.outcomes = append(p.outcomes, o)
	}
}

func (p *process) receive(now int64, e *schema.Envelope) {
	if p.mutateReceived != nil {
		if e = p.mutateReceived(p, e); e == nil {
			return
		}
	}
	p.heardAt[e.From] = now
	if paxos.IsForAcceptor(e) {
		p.applyAcceptorEffects(now, p.acceptor.Step(now, e))
	}
	if paxos.IsForProposer(e) && !(p.ownVoterOnly && e.GetMembershipNotice() != nil) {
		p.applyProposerEffects(now, p.proposer.Step(now, e))
	}
}

// planningInput is what this process knows of the voters.
func (p *process) planningInput(now int64) paxos.PlanningInput {
	s := paxos.PlanningInput{Unavailable: map[string]bool{}, Candidates: p.acceptor.Candidates(now, unresponsiveAfter), TargetVoters: p.target, Zones: map[string]string{}}
	for _, address := range p.acceptor.Membership().Addresses() {
		if address != p.address && now-max(p.heardAt[address], p.startedAt) > cmp.Or(p.replacementTimeout, unresponsiveAfter) {
			s.Unavailable[address] = true
		}
	}
	s.Unavailable[p.address] = p.draining
	return s
}

func (p *process) tick(now int64) {
	p.applyAcceptorEffects(now, p.acceptor.Tick(now))
	p.applyProposerEffects(now, p.proposer.Tick(now))
	if c, ok := p.reconfigurer.Step(now, p.acceptor, p.planningInput(now)); ok {
		p.applyProposerEffects(now, p.proposer.Propose(now, c))
	}
}

// ping has the others hear of this process.
func (p *process) ping(others []string) {
	for _, o := range others {
		if o != p.address {
			p.outgoing = append(p.outgoing, statemachine.Send{To: o, Envelope: &schema.Envelope{From: p.address, Body: &schema.Envelope_Ping{Ping: &schema.Ping{}}}})
		}
	}
}

func (p *process) propose(now int64, c paxos.Change) {
	p.applyProposerEffects(now, p.proposer.Propose(now, c))
}

func (p *process) takeOutgoing() []statemachine.Send {
	s := p.outgoing
	p.outgoing = nil
	return s
}

func (p *process) takeOutcomes() []paxos.Outcome {
	o := p.outcomes
	p.outcomes = nil
	return o
}

// newestMembership is the newest membership that any of the processes knows.
func newestMembership(ps map[string]*process) paxos.Membership {
	var m paxos.Membership
	for p := range maps.Values(ps) {
		if p.acceptor != nil && p.acceptor.Membership().Number > m.Number {
			m = p.acceptor.Membership()
		}
	}
	return m
}

// history holds what was told of changes and readings against each other: no
// revision has two values, nothing told agreed is lost, no reading is older than
// what was agreed before it began.
type history struct {
	chosen            map[string]map[uint64]string
	committedRevision map[string]uint64 // newest revision known agreed, by key
	revisionAtStart   map[string]uint64 // by change: newest revision agreed when it began
	committed         int
	reads             int
	failure           string
}

func newHistory(keys ...string) history {
	l := history{chosen: map[string]map[uint64]string{}, committedRevision: map[string]uint64{}, revisionAtStart: map[string]uint64{}}
	for _, k := range keys {
		l.chosen[k] = map[uint64]string{}
	}
	return l
}

func (l *history) failf(f string, a ...any) {
	if l.failure == "" {
		l.failure = fmt.Sprintf(f, a...)
	}
}

func (l *history) recordOutcome(o paxos.Outcome) {
	if o.Verdict != paxos.Committed && o.Verdict != paxos.Conflict {
		return
	}
	k, r := o.Change.Key, o.Value.GetRevision()
	if r > 0 {
		d := string(o.Value.Data)
		if previous, ok := l.chosen[k][r]; ok && previous != d {
			l.failf("%s revision %d is both %s and %s", k, r, previous, d)
		}
		l.chosen[k][r] = d
	}
	if r < l.revisionAtStart[o.Change.ID] {
		l.failf("%s: %s ended at revision %d, but %d was agreed before it began", k, o.Change.ID, r, l.revisionAtStart[o.Change.ID])
	}
	if !o.Change.ReadOnly && o.Verdict == paxos.Committed {
		l.committed++
		// Its own revision is base+1, whatever came later.
		if previous, ok := l.chosen[k][o.Change.BaseRevision+1]; ok && previous != string(o.Change.Data) {
			l.failf("%s: %s was told agreed, but revision %d is %s", k, o.Change.ID, o.Change.BaseRevision+1, previous)
		}
		l.chosen[k][o.Change.BaseRevision+1] = string(o.Change.Data)
	}
	if !o.Change.ReadOnly && o.Verdict == paxos.Conflict && l.chosen[k][o.Change.BaseRevision+1] == string(o.Change.Data) {
		l.failf("%s: %s was told lost and is in force", k, o.Change.ID)
	}
	if o.Change.ReadOnly {
		l.reads++
	}
	l.committedRevision[k] = max(l.committedRevision[k], r)
}
