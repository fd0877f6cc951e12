package fenced

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"google.golang.org/protobuf/proto"

	"stoneford/emulator/virtualtime"
	"stoneford/internal/learner"
	"stoneford/internal/ports"
	"stoneford/schema"
)

// The model is three processes, each with a voter and a clock of its own, three
// databases, a platform that does not check fences, and a pool node with a
// client. Deciders are the product's; the voters agree on one register in the
// model's own, small way: a revision is decided as a majority of voters was
// reached with it, and each accepts it at a time of its own.

var (
	modelSeeds   = flag.Uint64("model-seeds", 170, "schedules of the model of duties")
	modelFrom    = flag.Uint64("model-from", 0, "first of them")
	modelVerbose = flag.Bool("model-tell", false, "print what happened")
)

type mutation int

const (
	noMutation          mutation = iota
	ownerNotChecked              // a process takes itself for the holder if it would be the successor
	tokenNotIncremented          // a claim keeps the fence
	leaseNotAwaited              // a claim counts as one after a hand-over
	expiredEffectsSent           // what was decided under a lease leaves however late
)

const (
	modelProcesses = 3
	modelMajority  = 2
	tickEvery      = 10_000
	faultsUntil    = 16_000_000
	modelEnd       = 32_000_000
	maxSendDelay   = 400 // from a decision until its effect leaves
)

type modelProcess struct {
	model  *model
	index  int
	name   string
	run    uint64
	group  *Group
	up     bool
	frozen bool
	stalls int64    // it is frozen so long as soon as it has decided on a command or a call
	inbox  []func() // what came while it was frozen
	began  int64
	rate   float64
	syncUs int64

	known    [modelProcesses]uint64 // newest revision that each voter is known to have accepted
	lease    Lease
	polls    map[uint64]*modelPoll
	number   uint64
	nextAt   int64
	heard    [modelProcesses]modelHeard
	node     modelStatus
	nodeAt   int64
	draining bool

	// The voter's own, on disk:
	accepted   uint64
	acceptedAt map[uint64]int64 // by the clock of this run
}

type modelHeard struct {
	at              int64
	run             uint64
	lacks           bool
	draining        bool
	clearedRevision uint64
}

// modelStatus is what the pool node tells with a look.
type modelStatus struct {
	revision     uint64
	acknowledged ports.Position
	failing      map[string]int64
}

type modelPoll struct {
	sentAt     int64
	responders map[int]bool
}

type modelDatabase struct {
	id           string
	up           bool
	unresponsive bool
	primary      bool
	term         uint64
	log          []modelCommit
	frozenTerm   uint64
	draining     bool
}

type modelCommit struct {
	term uint64
	id   int
}

type model struct {
	*virtualtime.Scheduler
	mutation        mutation
	log             []string
	violations      []string
	processes       []*modelProcess
	states          []*schema.Leadership // decided, by revision from 1
	members         []string
	membersRevision uint64
	databases       []*modelDatabase
	databaseOrder   []int
	disconnected    map[[2]string]bool
	delayed         []delayedMessage

	nodeKnown        [modelProcesses]uint64
	nodeLease        Lease
	nodePolls        map[uint64]*modelPoll
	nodeNumber       uint64
	nodeFails        map[string]int64
	nodeAcknowledged ports.Position
	commits          int
	acknowledged     []modelCommit
	lastAck          int64

	slowUs                   int64 // of the platform
	lossProbability          float64
	promotionResumesReplicas bool // a promotion ends the holds of the others
	fences                   map[uint64]string
	highest                  uint64
	commandBy                uint64
	calls                    int
	commands                 int
	changes                  int
	mutationTriggered        bool
}

type delayedMessage struct {
	from, to string
	deliver  func()
}

func (m *model) logf(f string, a ...any) {
	m.log = append(m.log, fmt.Sprintf("%.4f ", float64(m.Now)/1e6)+fmt.Sprintf(f, a...))
}

func (m *model) violationf(f string, a ...any) {
	m.logf("WRONG "+f, a...)
	m.violations = append(m.violations, fmt.Sprintf(f, a...))
}

func newModel(seed uint64, p mutation) *model {
	m := &model{Scheduler: virtualtime.NewScheduler(seed, virtualtime.DefaultStream), mutation: p, disconnected: map[[2]string]bool{}, nodePolls: map[uint64]*modelPoll{}, nodeFails: map[string]int64{}, fences: map[uint64]string{}}
	m.promotionResumesReplicas, m.slowUs = m.Chance(0.5), m.Between(2_000, 20_000)
	m.databaseOrder = m.Random.Perm(modelProcesses)
	for j, id := range []string{"a", "b", "c"} {
		m.databases = append(m.databases, &modelDatabase{id: id, up: true, primary: j == 0, term: 1})
	}
	for i := range modelProcesses {
		p := &modelProcess{model: m, index: i, name: fmt.Sprint("control-", i+1)}
		m.processes = append(m.processes, p)
		p.start()
	}
	m.After(0, m.nodeTick)
	m.After(5_000, m.client)
	m.After(0, m.catchUp)
	return m
}

// carry takes something from one to another; a cut holds it up.
func (m *model) carry(from, to string, f func()) {
	m.After(m.Between(300, 9_000), func() {
		if m.disconnected[[2]string{from, to}] {
			m.delayed = append(m.delayed, delayedMessage{from, to, f})
			return
		}
		f()
	})
}

// disconnect breaks one direction; mend brings what waited late, in any order.
func (m *model) disconnect(from, to string) { m.disconnected[[2]string{from, to}] = true }

func (m *model) reconnect(from, to string) {
	delete(m.disconnected, [2]string{from, to})
	m.delayed = slices.DeleteFunc(m.delayed, func(h delayedMessage) bool {
		if h.from != from || h.to != to {
			return false
		}
		m.After(m.Between(500, 400_000), h.deliver)
		return true
	})
}

func (p *modelProcess) now() int64 {
	return 1_000_000 + int64(float64(p.model.Now-p.began)*p.rate)
}

// enter has the process take something in, in this run.
func (p *modelProcess) enter(f func()) {
	switch {
	case !p.up:
	case p.frozen:
		p.inbox = append(p.inbox, f)
	default:
		f()
	}
}

func (p *modelProcess) start() {
	m := p.model
	p.run += 1 + uint64(m.Random.IntN(5))*10 + uint64(p.index)*100_000
	p.group, p.up, p.frozen, p.stalls, p.inbox, p.began, p.rate = New(), true, false, 0, nil, m.Now, 1+(m.Random.Float64()-0.5)*0.09
	p.known, p.lease, p.polls, p.heard, p.nextAt, p.draining = [modelProcesses]uint64{}, Lease{}, map[uint64]*modelPoll{}, [modelProcesses]modelHeard{}, 0, false
	p.number += 1_000_000
	p.acceptedAt = map[uint64]int64{}
	for r := uint64(1); r <= p.accepted; r++ {
		p.acceptedAt[r] = p.now()
	}
	p.known[p.index] = p.accepted
	run := p.run
	var tick func()
	tick = func() {
		if p.up && p.run == run {
			p.enter(p.step)
			m.After(tickEvery, tick)
		}
	}
	m.After(m.Between(0, tickEvery), tick)
}

func (p *modelProcess) kill(backAfter int64) {
	p.model.logf("%s is killed", p.name)
	p.up = false
	p.model.After(backAfter, func() {
		if !p.up {
			p.start()
		}
	})
}

func (p *modelProcess) freeze(us int64) {
	p.model.logf("%s is frozen", p.name)
	p.frozen = true
	run := p.run
	p.model.After(us, func() {
		if p.run != run || !p.frozen {
			return
		}
		p.frozen = false
		p.model.logf("%s thaws", p.name)
		fs := p.inbox
		p.inbox = nil
		for _, f := range fs {
			p.model.After(p.model.Between(0, 2_000), func() {
				if p.run == run {
					p.enter(f)
				}
			})
		}
	})
}

// later has the process do something after a moment, in this run and not while
// it is frozen.
func (p *modelProcess) later(us int64, f func()) {
	run := p.run
	p.model.After(us, func() {
		if p.run == run {
			p.enter(f)
		}
	})
}

// The register.

func (m *model) decided() uint64 { return uint64(len(m.states)) }

// propose brings a revision to the voters.
func (p *modelProcess) propose(base uint64, s *schema.Leadership) {
	m, run := p.model, p.run
	reached := map[int]bool{}
	rev, ended := uint64(0), false
	for _, v := range m.processes {
		m.carry(p.name, v.name, func() {
			v.enter(func() {
				reached[v.index] = true
				switch {
				case rev > 0:
					v.accept(rev)
				case len(reached) == modelMajority && m.decided() == base && !ended:
					m.states = append(m.states, s)
					rev = m.decided()
					m.logf("revision %d: phase %d, %s, holder %q run %d fence %d: %s", rev, s.Phase, s.Primary, s.RoleOwner, s.RoleOwnerRun, s.FencingToken, s.Cause)
					for i := range reached {
						m.processes[i].accept(rev)
					}
				case len(reached) == modelMajority:
					ended = true
				}
				m.carry(v.name, p.name, func() {
					if p.run == run && len(reached) >= modelMajority {
						p.enter(p.group.StateProposalDone)
					}
				})
			})
		})
	}
	p.later(3_900_000, p.group.StateProposalDone)
}

// accept has a voter accept a revision, and tell all, once it is on disk.
func (p *modelProcess) accept(rev uint64) {
	m := p.model
	p.later(m.Between(1_000, 4_000)+p.syncUs, func() {
		if rev <= p.accepted {
			return
		}
		for r := p.accepted + 1; r <= rev; r++ {
			p.acceptedAt[r] = p.now()
		}
		p.accepted = rev
		p.known[p.index] = rev
		for _, o := range m.processes {
			if o != p {
				m.carry(p.name, o.name, func() { o.enter(func() { o.known[p.index] = max(o.known[p.index], rev) }) })
			}
		}
		m.carry(p.name, "node", func() { m.nodeKnown[p.index] = max(m.nodeKnown[p.index], rev) })
	})
}

// catchUp has voters accept what others hold.
func (m *model) catchUp() {
	for _, p := range m.processes {
		if p.up && !p.frozen && p.accepted < m.decided() {
			for _, o := range m.processes {
				if o.up && !o.frozen && o.accepted > p.accepted && !m.disconnected[[2]string{o.name, p.name}] && !m.disconnected[[2]string{p.name, o.name}] {
					p.accept(o.accepted)
				}
			}
		}
	}
	m.After(400_000, m.catchUp)
}

// agreed is the newest revision that a majority is known to have accepted.
func agreed(known [modelProcesses]uint64) uint64 {
	k := known
	slices.Sort(k[:])
	return k[modelProcesses-modelMajority]
}

func (m *model) state(rev uint64) *schema.Leadership {
	if rev == 0 {
		return &schema.Leadership{}
	}
	return m.states[rev-1]
}

// Looks.

func (p *modelProcess) lacks() bool { return p.now()-max(p.lease.ConfirmedAt, 1_000_000) > 1_300_000 }

func (p *modelProcess) poll() {
	m := p.model
	if p.now() < p.nextAt {
		return
	}
	p.nextAt = p.now() + 420_000
	if p.lease.Until < p.nextAt {
		p.nextAt = p.now() + 150_000
	}
	p.number++
	n, at, run := p.number, p.now(), p.run
	l := &modelPoll{sentAt: at, responders: map[int]bool{}}
	p.polls[n] = l
	w := modelHeard{run: run, lacks: p.lacks(), draining: p.draining, clearedRevision: p.clearedHere()}
	for _, v := range m.processes {
		deliver := func() {
			v.enter(func() {
				w := w
				w.at = v.now()
				v.heard[p.index] = w
				rev := v.accepted
				back := func() {
					p.enter(func() {
						if p.run != run {
							return
						}
						p.known[v.index] = max(p.known[v.index], rev)
						if l.responders[v.index] = true; len(l.responders) >= modelMajority && at > p.lease.ConfirmedAt {
							p.lease = Lease{ConfirmedAt: at, Until: at + learner.LeaseDurationUs}
						}
					})
				}
				if v == p {
					back()
				} else {
					m.carry(v.name, p.name, back)
				}
			})
		}
		if v == p {
			deliver()
		} else {
			m.carry(p.name, v.name, deliver)
		}
	}
}

// clearedHere is the newest revision that this voter accepted so long ago that
// no lease of before is left.
func (p *modelProcess) clearedHere() uint64 {
	c := uint64(0)
	for r := uint64(1); r <= p.accepted; r++ {
		if p.now()-p.acceptedAt[r] >= learner.LeaseEndBoundUs {
			c = r
		}
	}
	return c
}

func (p *modelProcess) step() {
	m := p.model
	p.poll()
	now := p.now()
	rev := agreed(p.known)
	input := Input{Group: "g", RequiredReplicaAcks: 1, State: proto.Clone(m.state(rev)).(*schema.Leadership), Revision: rev, UpToDate: slices.Max(p.known[:]) == rev,
		Members: m.members, MembersRevision: m.membersRevision, LastAnnounced: map[string]int64{}, HealthReports: map[string]HealthReport{}, Gone: map[string]bool{}, InventoryComplete: true}
	able := func(i int) bool {
		h := p.heard[i]
		return h.at > 0 && now-h.at < 1_300_000 && !h.lacks && !h.draining
	}
	input.Role = RoleState{Self: p.name, Run: p.run, Lease: p.lease, Eligible: !p.draining, Successor: now-1_000_000 > 1_300_000}
	for _, i := range m.databaseOrder {
		if i == p.index {
			break
		}
		input.Role.Successor = input.Role.Successor && !able(i)
	}
	for i, o := range m.processes {
		if i != p.index && o.name == input.State.RoleOwner && p.heard[i].run == input.State.RoleOwnerRun && able(i) {
			input.Role.OwnerPresent = true
		}
	}
	cleared := 0
	for i := range m.processes {
		c := p.heard[i].clearedRevision
		if i == p.index {
			c = p.clearedHere()
		}
		if input.State.FreezeRevision > 0 && c >= input.State.FreezeRevision {
			cleared++
		}
	}
	input.NoOlderRevisionInUse = cleared >= modelMajority
	for _, d := range m.databases {
		input.Instances = append(input.Instances, ports.Instance{ID: d.id, Group: "g", Address: d.id, Primary: d.primary, Draining: d.draining})
		input.LastAnnounced[d.id] = now
	}
	if now-p.nodeAt < 4_000_000 && p.nodeAt > 0 {
		input.ReportingNodes = 1
		input.AllNotified = p.node.revision >= input.State.FreezeRevision
		input.Idle = p.node.revision >= input.Revision
		input.Acknowledged = p.node.acknowledged
		for id, us := range p.node.failing {
			input.HealthReports[id] = HealthReport{UnreachableFrom: 1, LongestFailingUs: us}
		}
	}
	if m.mutation == ownerNotChecked && input.Role.Successor && rev > 0 {
		input.State.RoleOwner, input.State.RoleOwnerRun = p.name, p.run
	}
	if m.mutation == leaseNotAwaited {
		p.group.lease.uncontestedToken = input.State.FencingToken
	}
	effects := p.group.Step(now, input)
	if p.stalls > 0 && slices.ContainsFunc(effects, acting) {
		p.freeze(p.stalls)
		p.stalls = 0
	}
	for _, e := range effects {
		p.later(m.Between(0, maxSendDelay), func() { p.do(e, input) })
	}
	m.alone()
}

// acting says that an effect commands a database or calls the platform.
func acting(e Effect) bool {
	a, ok := e.(DatabaseCall)
	_, promote := e.(Promote)
	return promote || ok && a.Kind != ports.Status
}

// alone checks that at most one process may command now.
func (m *model) alone() {
	var names []string
	for _, p := range m.processes {
		if p.up && p.group.lease.mayCommand && p.now() < p.group.lease.expiresAt {
			names = append(names, p.name)
		}
	}
	if len(names) > 1 {
		m.violationf("%v may command at once", names)
	}
}

func (p *modelProcess) do(e Effect, input Input) {
	m := p.model
	unchecked := m.mutation == expiredEffectsSent
	switch e := e.(type) {
	case ProposeState:
		s := &schema.Leadership{}
		if err := proto.Unmarshal(e.Data, s); err != nil {
			panic(err)
		}
		if m.mutation == tokenNotIncremented && s.FencingToken > 1 {
			s.FencingToken = 1
		}
		p.propose(e.BaseRevision, s)
	case ProposeMembers:
		if e.BaseRevision == m.membersRevision {
			m.members, m.membersRevision = e.IDs, m.membersRevision+1
		}
		p.group.MembersProposalDone()
	case LogEntry:
		m.logf("%s: %s", p.name, e.Message)
	case DatabaseCall:
		left := e.TimeoutUs
		if e.Kind != ports.Status {
			if left = min(left, e.Until-p.now()); left <= 0 && !unchecked {
				p.group.HandleDatabaseReply(p.now(), DatabaseReply{ID: e.ID, NotSent: true})
				return
			}
			m.commanded(p, e, input)
		}
		p.call(e, max(left, 1_000))
	case Promote:
		left := min(1_500_000, e.Until-p.now())
		if left <= 0 && !unchecked {
			p.group.HandlePromotionResult(p.now(), false, false)
			return
		}
		p.promote(e, max(left, 1_000))
	}
}

// commanded holds a command against the rule.
func (m *model) commanded(p *modelProcess, e DatabaseCall, input Input) {
	m.commands++
	m.used(p, input.State.FencingToken)
	if input.State.FencingToken < m.commandBy {
		m.violationf("%s commands %s with fence %d after %d", p.name, e.Instance.ID, input.State.FencingToken, m.commandBy)
	}
	m.commandBy = max(m.commandBy, input.State.FencingToken)
}

func (m *model) used(p *modelProcess, fence uint64) {
	run := fmt.Sprint(p.name, " run ", p.run)
	if o := m.fences[fence]; o != "" && o != run {
		m.violationf("two holders with fence %d: %s and %s", fence, o, run)
	}
	m.fences[fence] = run
}

func (m *model) database(id string) *modelDatabase {
	return m.databases[slices.IndexFunc(m.databases, func(d *modelDatabase) bool { return d.id == id })]
}

func (p *modelProcess) call(e DatabaseCall, wait int64) {
	m := p.model
	d, ended := m.database(e.Instance.ID), false
	end := func(s DatabaseReply) {
		if !ended {
			ended = true
			s.ID = e.ID
			p.group.HandleDatabaseReply(p.now(), s)
		}
	}
	p.later(int64(float64(wait)/p.rate), func() { end(DatabaseReply{Err: "no answer in time"}) })
	run := p.run
	m.carry(p.name, d.id, func() {
		back := func(s DatabaseReply) {
			m.carry(d.id, p.name, func() {
				if p.run == run {
					p.enter(func() { end(s) })
				}
			})
		}
		if d.unresponsive {
			return
		}
		if !d.up {
			back(DatabaseReply{Err: "refused", Absent: true})
			return
		}
		switch e.Kind {
		case ports.FreezeReplication:
			if d.primary || e.Term <= d.term {
				back(DatabaseReply{Err: "the database bounced it"})
				return
			}
			d.frozenTerm = max(d.frozenTerm, e.Term)
		case ports.ResumeReplication:
			d.frozenTerm = 0
		case ports.StepDown:
			if d.primary && d.term < e.Term {
				d.primary = false
			}
		}
		back(DatabaseReply{Status: ports.DatabaseStatus{Primary: d.primary, Term: d.term, Received: d.position(), FrozenTerm: d.frozenTerm}})
	})
}

func (d *modelDatabase) position() ports.Position {
	if len(d.log) == 0 {
		return ports.Position{Term: 1}
	}
	return ports.Position{Term: d.log[len(d.log)-1].term, Number: int64(len(d.log))}
}

// promote is a call to the platform. One that has not arrived when its time is
// over is withdrawn by its sender, if that runs.
func (p *modelProcess) promote(e Promote, wait int64) {
	m, run, until := p.model, p.run, p.model.Now+int64(float64(wait)/p.rate)
	ended := false
	end := func(ok bool) {
		if !ended {
			ended = true
			p.group.HandlePromotionResult(p.now(), ok, false)
		}
	}
	p.later(int64(float64(wait)/p.rate), func() { end(false) })
	m.carry(p.name, "platform", func() {
		if m.Now > until && m.mutation != expiredEffectsSent {
			return
		}
		m.calls++
		m.logf("%s has %s lead, fence %d", p.name, e.ID, e.FencingToken)
		m.used(p, e.FencingToken)
		if e.Owner != p.name {
			m.violationf("%s calls as %s", p.name, e.Owner)
		}
		if e.FencingToken < m.highest {
			m.violationf("%s calls with fence %d after %d was seen", p.name, e.FencingToken, m.highest)
		}
		m.highest = max(m.highest, e.FencingToken)
		d := m.database(e.ID)
		lost := m.Chance(m.lossProbability)
		m.After(m.slowUs, func() {
			if !lost {
				m.carry("platform", p.name, func() {
					if p.run == run {
						p.enter(func() { end(d.up) })
					}
				})
			}
			if !d.up || d.primary {
				return
			}
			m.After(m.Between(200_000, 700_000), func() { m.lead(d) })
		})
	})
}

func (m *model) lead(d *modelDatabase) {
	if !d.up || d.primary {
		return
	}
	t := uint64(0)
	for _, o := range m.databases {
		t = max(t, o.term)
		if m.promotionResumesReplicas && o != d {
			o.frozenTerm = 0
		}
	}
	d.primary, d.term, d.frozenTerm = true, t+1, 0
	m.changes++
	m.logf("%s leads term %d at %v", d.id, d.term, d.position())
	m.ownsRole(d)
}

// ownsRole checks that a database has all that was acknowledged.
func (m *model) ownsRole(d *modelDatabase) {
	for _, c := range m.acknowledged {
		if !slices.Contains(d.log, c) {
			m.violationf("%s leads term %d without commit %d, which was acknowledged", d.id, d.term, c.id)
			return
		}
	}
}

// The pool node and its client.

func (m *model) nodeTick() {
	if m.nodeNumber++; true {
		n, at := m.nodeNumber, m.Now
		l := &modelPoll{sentAt: at, responders: map[int]bool{}}
		m.nodePolls[n] = l
		w := modelStatus{revision: agreed(m.nodeKnown), acknowledged: m.nodeAcknowledged, failing: map[string]int64{}}
		for id, since := range m.nodeFails {
			w.failing[id] = m.Now - since
		}
		for _, v := range m.processes {
			m.carry("node", v.name, func() {
				v.enter(func() {
					v.node, v.nodeAt = w, v.now()
					rev := v.accepted
					m.carry(v.name, "node", func() {
						m.nodeKnown[v.index] = max(m.nodeKnown[v.index], rev)
						if l.responders[v.index] = true; len(l.responders) >= modelMajority && at > m.nodeLease.ConfirmedAt {
							m.nodeLease = Lease{ConfirmedAt: at, Until: at + learner.LeaseDurationUs}
						}
					})
				})
			})
		}
	}
	m.After(200_000, m.nodeTick)
}

// serves is the primary that the node may acknowledge commits of now, or none.
func (m *model) serves() string {
	r := agreed(m.nodeKnown)
	if r == 0 || slices.Max(m.nodeKnown[:]) > r || m.Now >= m.nodeLease.Until {
		return ""
	}
	if s := m.state(r); ports.Phase(s.Phase) == ports.PhaseServing {
		return s.Primary
	}
	return ""
}

// client writes to the primary that the node knows, now and then.
func (m *model) client() {
	m.After(m.Between(20_000, 60_000), m.client)
	r := agreed(m.nodeKnown)
	if r == 0 || ports.Phase(m.state(r).Phase) != ports.PhaseServing {
		return
	}
	d := m.database(m.state(r).Primary)
	answered := false
	m.After(350_000, func() {
		if !answered && m.nodeFails[d.id] == 0 {
			m.nodeFails[d.id] = m.Now - 350_000
		}
	})
	m.carry("node", d.id, func() {
		if !d.up || d.unresponsive || !d.primary {
			return
		}
		m.commits++
		c := modelCommit{d.term, m.commits}
		d.log = append(d.log, c)
		term, log := d.term, slices.Clone(d.log)
		done := false
		for _, o := range m.databases {
			if o == d {
				continue
			}
			m.carry(d.id, o.id, func() {
				if !o.receive(log, term) {
					return
				}
				m.carry(o.id, d.id, func() {
					if done || !d.up || d.unresponsive || !d.primary || d.term != term {
						return
					}
					done = true
					m.carry(d.id, "node", func() {
						answered = true
						delete(m.nodeFails, d.id)
						if m.serves() == d.id {
							m.acknowledged, m.lastAck = append(m.acknowledged, c), m.Now
							if p := (ports.Position{Term: c.term, Number: int64(len(log))}); m.nodeAcknowledged.Before(p) {
								m.nodeAcknowledged = p
							}
						}
					})
				})
			})
		}
	})
}

// receive takes a primary's log.
func (d *modelDatabase) receive(log []modelCommit, term uint64) bool {
	if !d.up || d.unresponsive || d.primary || term < d.term || d.frozenTerm > 0 {
		return false
	}
	if term == d.term && len(log) <= len(d.log) && slices.Equal(log, d.log[:len(log)]) {
		return true
	}
	d.term, d.log = term, slices.Clone(log)
	return true
}

// Faults.

func (m *model) roleOwner() *modelProcess {
	s := m.state(m.decided())
	for _, p := range m.processes {
		if p.name == s.RoleOwner {
			return p
		}
	}
	return m.processes[m.Random.IntN(modelProcesses)]
}

func (m *model) primary() *modelDatabase {
	if m.decided() > 0 {
		return m.database(m.state(m.decided()).Primary)
	}
	return m.databases[0]
}

// points are the moments of a change of primary at which a fault strikes.
var points = []struct {
	name string
	now  func(m *model) bool
}{
	{"before the change", func(m *model) bool { return true }},
	{"a change begins", func(m *model) bool { return ports.Phase(m.state(m.decided()).Phase) != ports.PhaseServing }},
	{"sealed", func(m *model) bool { return ports.Phase(m.state(m.decided()).Phase) == ports.PhaseFreezing }},
	{"a follower is held", func(m *model) bool {
		return slices.ContainsFunc(m.databases, func(d *modelDatabase) bool { return d.frozenTerm > 0 })
	}},
	{"chosen", func(m *model) bool { return ports.Phase(m.state(m.decided()).Phase) == ports.PhasePromoting }},
	{"the platform is called", func(m *model) bool { return m.calls > 0 }},
	{"the new one leads", func(m *model) bool { return m.changes > 0 }},
	{"open again", func(m *model) bool {
		return m.changes > 0 && ports.Phase(m.state(m.decided()).Phase) == ports.PhaseServing
	}},
}

var modelFaults = []struct {
	name string
	do   func(m *model, p *modelProcess)
}{
	{"freeze", func(m *model, p *modelProcess) { p.freeze(m.Between(200_000, 5_000_000)) }},
	{"freeze about a lease", func(m *model, p *modelProcess) {
		p.freeze(m.Between(learner.LeaseDurationUs-100_000, 3*learner.LeaseDurationUs))
	}},
	{"freeze between decision and effect", func(m *model, p *modelProcess) { p.stalls = m.Between(600_000, 5_000_000) }},
	{"kill", func(m *model, p *modelProcess) { p.kill(m.Between(100_000, 5_000_000)) }},
	{"leave", func(m *model, p *modelProcess) {
		m.logf("%s leaves", p.name)
		p.draining = true
		run := p.run
		m.After(400_000, func() {
			if p.run == run {
				p.kill(m.Between(300_000, 2_000_000))
			}
		})
	}},
	{"hears nobody", func(m *model, p *modelProcess) { m.isolate(p, true, false) }},
	{"reaches nobody", func(m *model, p *modelProcess) { m.isolate(p, false, true) }},
	{"cut off", func(m *model, p *modelProcess) { m.isolate(p, true, true) }},
	{"unheard by one other", func(m *model, p *modelProcess) {
		o, us := m.other(p), m.Between(1_500_000, 5_000_000)
		m.logf("%s does not hear %s", o.name, p.name)
		m.disconnect(p.name, o.name)
		m.After(us, func() { m.reconnect(p.name, o.name) })
	}},
	{"another freezes", func(m *model, p *modelProcess) { m.other(p).freeze(m.Between(1_400_000, 4_000_000)) }},
	{"cut from the platform", func(m *model, p *modelProcess) {
		us := m.Between(300_000, 5_000_000)
		m.disconnect(p.name, "platform")
		m.After(us, func() { m.reconnect(p.name, "platform") })
	}},
	{"answers of the platform lost", func(m *model, p *modelProcess) {
		m.lossProbability = 1
		m.After(m.Between(1_000_000, 4_000_000), func() { m.lossProbability = 0 })
	}},
	{"platform slow", func(m *model, p *modelProcess) {
		m.slowUs = m.Between(300_000, 2_500_000)
		m.After(m.Between(2_000_000, 5_000_000), func() { m.slowUs = 5_000 })
	}},
	{"slow disks", func(m *model, p *modelProcess) {
		for _, o := range m.processes {
			if m.Chance(0.7) {
				o.syncUs = m.Between(20_000, 600_000)
				m.After(m.Between(1_000_000, 4_000_000), func() { o.syncUs = 0 })
			}
		}
	}},
}

// other is the first in line of the others.
func (m *model) other(p *modelProcess) *modelProcess {
	for _, i := range m.databaseOrder {
		if m.processes[i] != p {
			return m.processes[i]
		}
	}
	panic("alone")
}

func (m *model) isolate(p *modelProcess, input, out bool) {
	us := m.Between(500_000, 5_000_000)
	m.logf("%s is cut, in %t out %t, for %d ms", p.name, input, out, us/1000)
	all := []string{"node", "platform", "a", "b", "c"}
	if m.Chance(0.5) {
		all = nil // of the core only
	}
	for _, o := range m.processes {
		if o != p {
			all = append(all, o.name)
		}
	}
	for _, o := range all {
		if input {
			m.disconnect(o, p.name)
			m.After(us, func() { m.reconnect(o, p.name) })
		}
		if out {
			m.disconnect(p.name, o)
			m.After(us, func() { m.reconnect(p.name, o) })
		}
	}
}

// begin starts a change of primary.
func (m *model) begin() {
	d := m.primary()
	switch m.Random.IntN(4) {
	case 0:
		d.up = false
		m.After(m.Between(500_000, 6_000_000), func() { d.up = true; d.frozenTerm = 0 })
	case 1:
		d.unresponsive = true
		m.After(m.Between(1_500_000, 6_000_000), func() { d.unresponsive = false })
	case 2:
		d.draining = true
		m.After(9_000_000, func() { d.draining = false })
	default: // the node and the core do not reach it, its followers do
		us := m.Between(1_500_000, 5_000_000)
		for _, o := range []string{"node", "control-1", "control-2", "control-3"} {
			m.disconnect(o, d.id)
			m.After(us, func() { m.reconnect(o, d.id) })
		}
	}
	m.logf("%s is in trouble: up %t, dark %t, leaving %t", d.id, d.up, d.unresponsive, d.draining)
}

// strike waits for a point and lets a fault strike the holder, or at times the
// one that follows it.
func (m *model) strike(point int, fault int) {
	if m.Now > faultsUntil || m.mutationTriggered {
		return
	}
	if !points[point].now(m) {
		m.After(1_000, func() { m.strike(point, fault) })
		return
	}
	m.mutationTriggered = true
	m.After(m.Between(0, 120_000)*int64(m.Random.IntN(2)), func() {
		p := m.roleOwner()
		if m.Chance(0.15) {
			p = m.processes[m.Random.IntN(modelProcesses)]
		}
		m.logf("%s, at %q: %s", modelFaults[fault].name, points[point].name, p.name)
		modelFaults[fault].do(m, p)
		if m.Chance(0.4) { // once more
			m.After(m.Between(200_000, 4_000_000), func() {
				if m.Now < faultsUntil {
					modelFaults[m.Random.IntN(len(modelFaults))].do(m, m.roleOwner())
				}
			})
		}
	})
}

func (m *model) heal() {
	for k := range m.disconnected {
		delete(m.disconnected, k)
	}
	for _, h := range m.delayed {
		m.After(m.Between(500, 400_000), h.deliver)
	}
	m.delayed = nil
	m.lossProbability, m.slowUs = 0, 5_000
	for _, d := range m.databases {
		d.up, d.unresponsive, d.draining = true, false, false
	}
}

// runModel plays one schedule: each point with each fault in turn, by the seed.
func runModel(seed uint64, p mutation) *model {
	m := newModel(seed, p)
	point, fault := int(seed)%len(points), int(seed)/len(points)%len(modelFaults)
	if point == 0 {
		m.After(m.Between(2_600_000, 4_000_000), func() { m.strike(0, fault) })
		m.After(m.Between(3_000_000, 5_000_000), m.begin)
	} else {
		m.After(3_500_000, m.begin)
		m.After(3_500_000, func() { m.strike(point, fault) })
	}
	m.After(faultsUntil, m.heal)
	m.Run(modelEnd)
	if p == noMutation && m.Now-m.lastAck > 3_000_000 {
		m.violationf("nothing was acknowledged since %.3f: %v", float64(m.lastAck)/1e6, m.state(m.decided()))
	}
	return m
}

// TestRoleModel: under freezes, cuts of one way and both, kills, leaves, slow
// disks, a slow platform and lost answers, at each point of a change of primary,
// no two holders act at once or under one fence, the platform never sees a lower
// fence, nothing acknowledged is lost, and the group serves in the end.
func TestRoleModel(t *testing.T) {
	var mu sync.Mutex
	calls, commands, changes, acknowledged, claims := 0, 0, 0, 0, uint64(0)
	shared(*modelFrom, *modelSeeds, func(seed uint64) bool {
		m := runModel(seed, noMutation)
		mu.Lock()
		defer mu.Unlock()
		calls, commands, changes, acknowledged, claims = calls+m.calls, commands+m.commands, changes+m.changes, acknowledged+len(m.acknowledged), claims+m.state(m.decided()).FencingToken
		if len(m.violations) > 0 {
			t.Errorf("seed %d: %s", seed, strings.Join(m.violations[:min(3, len(m.violations))], "; "))
		}
		if *modelVerbose {
			t.Log(strings.Join(m.log, "\n"))
		}
		return true
	})
	t.Logf("%d schedules: %d claims, %d commands, %d calls to the platform, %d changes of primary, %d commits acknowledged", *modelSeeds, claims, commands, calls, changes, acknowledged)
}

// shared plays seeds on a few threads, until one says that it is enough.
func shared(from, n uint64, play func(seed uint64) bool) {
	var wg sync.WaitGroup
	var next atomic.Uint64
	for range modelThreads {
		wg.Go(func() {
			for i := next.Add(1) - 1; i < n; i = next.Add(1) - 1 {
				if !play(from + i) {
					next.Store(n)
				}
			}
		})
	}
	wg.Wait()
}

const modelThreads = 3

// TestRoleModelFindsMutations: each fault planted turns the model red.
func TestRoleModelFindsMutations(t *testing.T) {
	for _, x := range []struct {
		name string
		p    mutation
	}{{"holder not checked", ownerNotChecked}, {"fence not raised", tokenNotIncremented}, {"lease not waited out", leaseNotAwaited}, {"effects unchecked", expiredEffectsSent}} {
		t.Run(x.name, func(t *testing.T) {
			var mu sync.Mutex
			red := 0
			shared(0, 600, func(seed uint64) bool {
				m := runModel(seed, x.p)
				mu.Lock()
				defer mu.Unlock()
				if len(m.violations) == 0 {
					return true
				}
				red++
				t.Logf("seed %d: %s", seed, m.violations[0])
				return false
			})
			if red == 0 {
				t.Error("no schedule shows it")
			}
		})
	}
}
