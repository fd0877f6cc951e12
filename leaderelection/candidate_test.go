package leaderelection

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"stoneford/paxos"
	"stoneford/schema"
)

// fakeRegister stands for a register that a majority of voters keeps.
type fakeRegister struct {
	value *schema.Value
}

// commit ends a change as the voters would, without delay.
func (r *fakeRegister) commit(c paxos.Change) paxos.Outcome {
	o := paxos.Outcome{Change: c, Verdict: paxos.Committed, Value: r.value}
	switch {
	case c.ReadOnly:
	case c.BaseRevision != r.value.GetRevision():
		o.Verdict = paxos.Conflict
	default:
		r.value = &schema.Value{Revision: c.BaseRevision + 1, Data: c.Data}
		o.Value = r.value
	}
	return o
}

// testRole is the one role of the election tests.
const testRole = "duty"

// testProcess is a candidate with a clock of its own.
type testProcess struct {
	candidate   *Candidate
	rate        float64
	offset      int64
	pausedUntil int64
	inbox       []func(now int64) // outcomes that arrive at its next step
}

// clock returns the process's own time.
func (p *testProcess) clock(now int64) int64 { return int64(float64(now)*p.rate) + p.offset }

// electionCounts is what happened in the runs of an election test.
type electionCounts struct {
	exclusiveTicks, ticks, handovers, leaderChanges int
}

// election is three candidates over one register that a majority keeps: changes and
// reads arrive late or never, and so do their outcomes.
type election struct {
	t          *testing.T
	seed       uint64
	random     *rand.Rand
	register   *fakeRegister
	names      []string
	processes  map[string]*testProcess
	changeIDs  int
	runs       uint64
	now        int64
	lastLeader string
	counts     *electionCounts
}

func newElection(t *testing.T, seed uint64, counts *electionCounts) *election {
	e := &election{
		t:         t,
		seed:      seed,
		random:    rand.New(rand.NewPCG(seed, 3)),
		register:  &fakeRegister{},
		names:     []string{"a", "b", "c"},
		processes: map[string]*testProcess{},
		counts:    counts,
	}
	for _, name := range e.names {
		e.start(name)
	}
	return e
}

// start begins another run of a process, with another clock.
func (e *election) start(name string) {
	e.runs++
	p := &testProcess{rate: 0.96 + 0.08*e.random.Float64(), offset: e.random.Int64N(1<<40) + 1_000_000}
	newChangeID := func() string { e.changeIDs++; return fmt.Sprint(e.changeIDs) }
	leases := func(string, int64) *schema.ConnectionLeases { return &schema.ConnectionLeases{} }
	p.candidate = New(name, e.runs, e.names, newChangeID, leases)
	p.candidate.SetRoles([]string{testRole})
	e.processes[name] = p
}

func (e *election) anyName() string { return e.names[e.random.IntN(3)] }

// step lets 20 ms pass.
func (e *election) step() {
	switch e.random.IntN(300) {
	case 0:
		e.processes[e.anyName()].pausedUntil = e.now + e.random.Int64N(6_000_000)
	case 1:
		e.start(e.anyName())
	case 2:
		e.processes[e.anyName()].candidate.Drain()
	}
	exclusive := ""
	for _, name := range e.names {
		p := e.processes[name]
		if e.now < p.pausedUntil {
			continue
		}
		e.stepProcess(name, p)
		if p.candidate.IsExclusive(testRole, p.clock(e.now)) {
			if exclusive != "" {
				e.t.Fatalf("seed %d at %d us: %s and %s both count as the only leader", e.seed, e.now, exclusive, name)
			}
			exclusive = name
		}
	}
	e.checkPaused(exclusive)
	e.count(exclusive)
	if e.random.IntN(60) == 0 {
		e.restartDraining()
	}
	e.now += 20_000
}

// stepProcess delivers outcomes to a process and carries out what its tick asks for.
func (e *election) stepProcess(name string, p *testProcess) {
	inbox := p.inbox
	p.inbox = nil
	for _, deliver := range inbox {
		deliver(p.clock(e.now))
	}
	effects := p.candidate.Tick(p.clock(e.now), func(other string) bool { return e.isAlive(name, other) })
	for _, change := range effects.Changes {
		if e.random.IntN(10) == 0 {
			continue // it never arrives
		}
		if o := e.register.commit(change); e.random.IntN(10) > 0 {
			p.inbox = append(p.inbox, func(now int64) { p.candidate.HandleOutcome(now, o) })
		}
	}
}

// isAlive is what a process believes of another one; now and then it is wrong.
func (e *election) isAlive(name, other string) bool {
	p := e.processes[other]
	return other == name || e.now >= p.pausedUntil && !p.candidate.draining && e.random.IntN(200) > 0
}

// checkPaused checks that no paused process counts as the only leader besides another
// one: it resumes from where it was.
func (e *election) checkPaused(exclusive string) {
	if exclusive == "" {
		return
	}
	for _, name := range e.names {
		p := e.processes[name]
		if name != exclusive && e.now < p.pausedUntil && p.candidate.IsExclusive(testRole, p.clock(e.now)) {
			e.t.Fatalf("seed %d at %d us: %s was paused as the only leader, and so is %s", e.seed, e.now, name, exclusive)
		}
	}
}

func (e *election) count(exclusive string) {
	e.counts.ticks++
	if exclusive == "" {
		return
	}
	e.counts.exclusiveTicks++
	if exclusive == e.lastLeader {
		return
	}
	e.lastLeader = exclusive
	e.counts.leaderChanges++
	if e.processes[exclusive].candidate.InheritedLeases(testRole) != nil {
		e.counts.handovers++
	}
}

func (e *election) restartDraining() {
	for _, name := range e.names {
		if e.processes[name].candidate.draining {
			e.start(name)
		}
	}
}

// TestOneIsExclusive: three candidates with clocks whose rates differ by up to 8 % die,
// are paused, drain, come back as another run and do not hear one another; never do two
// of them count as the only leader, and mostly one does.
func TestOneIsExclusive(t *testing.T) {
	var counts electionCounts
	for seed := range uint64(200) {
		for e := newElection(t, seed, &counts); e.now < 60_000_000; {
			e.step()
		}
	}
	exclusive := float64(counts.exclusiveTicks) / float64(counts.ticks)
	t.Logf("one leader for %.2f of the time, %d changes of leader, %d of them handed over", exclusive, counts.leaderChanges, counts.handovers)
	if exclusive < 0.4 || counts.leaderChanges < 500 || counts.handovers < 50 {
		t.Error("the runs show little")
	}
}

// Two candidates over one register: one takes the role, drains and names the other,
// which acts at once.
func Example() {
	register, ids := &fakeRegister{}, 0
	newChangeID := func() string { ids++; return fmt.Sprint(ids) }
	alive := func(string) bool { return true }
	names := []string{"a", "b"}
	candidates := []*Candidate{New("a", 1, names, newChangeID, nil), New("b", 1, names, newChangeID, nil)}
	run := func(from, until int64) {
		for now := from; now < until; now += 100_000 {
			for _, c := range candidates {
				for _, change := range c.Tick(now, alive).Changes {
					c.HandleOutcome(now, register.commit(change))
				}
			}
		}
	}
	for _, c := range candidates {
		c.SetRoles([]string{"sweep"})
	}
	run(1_000_000, 5_000_000)
	first, second := candidates[0], candidates[1]
	if second.IsExclusive("sweep", 5_000_000) {
		first, second = second, first
	}
	fmt.Println(first.IsExclusive("sweep", 5_000_000), second.IsExclusive("sweep", 5_000_000))
	first.Drain()
	run(5_000_000, 6_000_000)
	fmt.Println(first.IsExclusive("sweep", 6_000_000), second.IsExclusive("sweep", 6_000_000))
	// Output:
	// true false
	// false true
}
