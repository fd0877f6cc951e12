package paxos_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/proto"

	"stoneford/paxos"
	"stoneford/schema"
	"stoneford/statemachine"
)

// delivery is an envelope under way. Any of those under way may be the next to
// arrive, arrive twice, or never.
type delivery struct {
	to       string
	envelope *schema.Envelope
}

// mutation is what a test plants into the harness around the cores.
type mutation string

const (
	noMutation           mutation = ""
	emptyNewcomerAccepts mutation = "a newcomer votes before it holds everything"
	removedVoterCounts   mutation = "a removed voter's word counts"
	unchosenAdopted      mutation = "a change adopted without being chosen"
	sealingNotSynced     mutation = "the sealing is not synced"
	adoptionNotSynced    mutation = "the adopted membership is not synced"
	stopNotSynced        mutation = "neither the sealing nor the adopted membership is synced"
	earlierCounted       mutation = "values accepted under an earlier membership count as chosen"
)

// fleet is machines that come and go, under a scheduler that takes one small step
// at a time, in any order: an envelope arrives, is lost, doubled or very late; a
// process restarts, with its disk or without; a machine is replaced for good by an
// empty one elsewhere; a voter leaves in order; a proposer asks; links are cut.
type fleet struct {
	history
	mutation         mutation
	random           *rand.Rand
	now              int64
	size             int
	founders         []string
	processes        map[string]*process
	down             map[string]bool
	removedAddresses []string // addresses whose machine is gone
	addressCount     int      // addresses given out
	inTransit        []delivery
	partitions       map[[2]string]bool
	members          map[uint64]paxos.Membership // by number
	checked          map[*process]uint64         // number of each process's, once checked
	founded          bool                        // a voter took part in a choice
	observed         map[string]map[string]*schema.RegisterState
	changes          int
	votedUnder       map[*process]uint64          // newest membership that each is known to vote under
	committedBefore  map[uint64]map[string]uint64 // what was agreed when the first began to vote, by membership
	firstSeenAt      map[uint64]int64             // when a membership was first seen, by number
	diskLostAt       map[uint64]int64             // when a disk was lost, by its identity
	stormSteps       int                          // steps that faults come more often for, after a change of the voters
	counts           fleetCounts
}

// fleetCounts is what happened in the runs.
type fleetCounts struct {
	disks, machines, drains, restarts, blackouts, learnedValues, rivalProposals, beyondBound, turnovers int
	memberships                                                                                         uint64
	outcomes                                                                                            map[paxos.Verdict]int
}

func (c *fleetCounts) add(o fleetCounts) {
	c.disks, c.machines, c.drains, c.restarts = c.disks+o.disks, c.machines+o.machines, c.drains+o.drains, c.restarts+o.restarts
	c.blackouts, c.learnedValues, c.beyondBound, c.turnovers = c.blackouts+o.blackouts, c.learnedValues+o.learnedValues, c.beyondBound+o.beyondBound, c.turnovers+o.turnovers
	c.rivalProposals += o.rivalProposals
	c.memberships += o.memberships
	for v, n := range o.outcomes {
		c.outcomes[v] += n
	}
}

func newFleet(seed uint64, size int, mutation mutation) *fleet {
	f := &fleet{history: newHistory("x", "y"), mutation: mutation, random: rand.New(rand.NewPCG(seed, uint64(size))), now: 1_000_000, size: size,
		processes: map[string]*process{}, down: map[string]bool{}, partitions: map[[2]string]bool{}, members: map[uint64]paxos.Membership{}, checked: map[*process]uint64{}, votedUnder: map[*process]uint64{}, committedBefore: map[uint64]map[string]uint64{}, firstSeenAt: map[uint64]int64{}, diskLostAt: map[uint64]int64{},
		observed: map[string]map[string]*schema.RegisterState{}, counts: fleetCounts{outcomes: map[paxos.Verdict]int{}}}
	for range size {
		f.founders = append(f.founders, f.address())
	}
	for _, a := range f.founders {
		f.addMachine(a)
		f.start(a, f.founders)
	}
	return f
}

func (f *fleet) address() string {
	f.addressCount++
	return fmt.Sprintf("m%02d", f.addressCount)
}

// addMachine puts an empty machine at an address.
func (f *fleet) addMachine(address string) {
	p := &process{address: address, target: f.size, replacementTimeout: 300_000}
	p.mutateLog = f.mutateLog
	f.processes[address] = p
	f.removedAddresses = slices.DeleteFunc(f.removedAddresses, func(a string) bool { return a == address })
}

func (f *fleet) start(address string, founders []string) {
	f.processes[address].start(f.now, f.random, founders)
	delete(f.down, address)
	delete(f.observed, address)
	delete(f.checked, f.processes[address])
}

// newcomer is an empty machine that knows no founders, at an address used before
// or at another.
func (f *fleet) newcomer() {
	address := f.address()
	if len(f.removedAddresses) > 0 && f.random.IntN(3) == 0 {
		address = f.removedAddresses[f.random.IntN(len(f.removedAddresses))]
	}
	f.addMachine(address)
	f.start(address, nil)
}

func (f *fleet) addresses() []string { return slices.Sorted(maps.Keys(f.processes)) }

func (f *fleet) anyAddress() string {
	all := f.addresses()
	return all[f.random.IntN(len(all))]
}

// mutateLog plants entries that are lost on restart.
func (f *fleet) mutateLog(_ *process, log []*schema.WALEntry) []*schema.WALEntry {
	return slices.DeleteFunc(slices.Clone(log), func(l *schema.WALEntry) bool {
		sealing := !l.Snapshot && len(l.Registers) == 1 && l.Registers[0].Key == paxos.MembershipKey
		adopted := !l.Snapshot && l.Membership != nil
		return sealing && (f.mutation == sealingNotSynced || f.mutation == stopNotSynced) ||
			adopted && (f.mutation == adoptionNotSynced || f.mutation == stopNotSynced)
	})
}

// omitsSync reports whether snapshots would mend what the planted fault leaves out.
func (f *fleet) omitsSync() bool {
	return f.mutation == sealingNotSynced || f.mutation == adoptionNotSynced || f.mutation == stopNotSynced
}

// flush takes what a process sends and tells, and checks it.
func (f *fleet) flush(p *process) {
	if len(p.disk) > 50 && f.random.IntN(20) == 0 && !f.omitsSync() {
		p.disk = []*schema.WALEntry{p.acceptor.Snapshot()}
	}
	for _, s := range p.takeOutgoing() {
		if a := s.Envelope.GetAccepted(); a.GetGranted() {
			f.founded = true
			f.checkMembership(p)
		}
		f.post(s)
	}
	if p.acceptor.Membership().Number > 1 {
		f.checkMembership(p)
	}
	f.checkNewVoterState(p)
	for _, o := range p.takeOutcomes() {
		f.counts.outcomes[o.Verdict]++
		f.recordOutcome(o)
	}
}

// checkNewVoterState checks that a voter that begins to vote holds whatever was agreed when
// nobody voted under its membership yet.
func (f *fleet) checkNewVoterState(p *process) {
	n := p.acceptor.ActiveMembership()
	if n == 0 || f.votedUnder[p] >= n {
		return
	}
	f.votedUnder[p] = n
	if f.committedBefore[n] == nil {
		f.committedBefore[n] = maps.Clone(f.committedRevision)
	}
	for _, k := range []string{"x", "y"} {
		if heldRevision := p.acceptor.AcceptedValues()[k].GetRevision(); heldRevision < f.committedBefore[n][k] {
			f.failf("%s votes under membership %d with revision %d of %s; %d was agreed before", p.address, n, heldRevision, k, f.committedBefore[n][k])
		}
	}
}

// checkMembership checks that nobody goes by another membership of that number.
func (f *fleet) checkMembership(p *process) {
	m := p.acceptor.Membership()
	if f.checked[p] == m.Number {
		return
	}
	f.checked[p] = m.Number
	previous, ok := f.members[m.Number]
	if !ok {
		f.members[m.Number], f.firstSeenAt[m.Number] = m, f.now
		f.stormSteps = 60
	} else if !maps.Equal(previous.Voters, m.Voters) || !maps.Equal(previous.Previous, m.Previous) {
		f.failf("membership %d is both %v and %v", m.Number, previous, m)
	}
}

func (f *fleet) post(s statemachine.Send) {
	f.inTransit = append(f.inTransit, delivery{s.To, proto.Clone(s.Envelope).(*schema.Envelope)})
	if f.mutation == removedVoterCounts && s.Envelope.GetPrepare() != nil && f.random.IntN(3) == 0 {
		f.inTransit = append(f.inTransit, delivery{f.anyAddress(), proto.Clone(s.Envelope).(*schema.Envelope)})
	}
}

func (f *fleet) deliverTo(g delivery) {
	p := f.processes[g.to]
	if p == nil || f.down[g.to] || f.partitions[[2]string{g.envelope.From, g.to}] {
		return
	}
	if e := f.mutateReceived(p, g.envelope); e != nil {
		p.receive(f.now, e)
	}
	if f.mutation == unchosenAdopted && g.envelope.GetAccept().GetKey() == paxos.MembershipKey {
		if m, err := paxos.DecodeMembership(g.envelope.GetAccept().GetValue().GetData()); err == nil {
			p.applyAcceptorEffects(f.now, p.acceptor.AdoptMembership(m))
		}
	}
	f.flush(p)
}

// mutateReceived plants faults into what a process receives.
func (f *fleet) mutateReceived(p *process, e *schema.Envelope) *schema.Envelope {
	m := p.acceptor.Membership()
	voter := m.HasVoter(p.address, p.acceptor.DiskID())
	switch {
	case f.mutation == emptyNewcomerAccepts && e.GetStateResponse() != nil:
		s := e.GetStateResponse()
		s.ActiveMembership = s.Membership
		s.Registers = slices.DeleteFunc(s.Registers, func(c *schema.RegisterState) bool { return c.Key != paxos.MembershipKey })
	case f.mutation == removedVoterCounts && e.GetPrepare() != nil && m.Known() && !voter:
		// It replies as if it voted still, and accepts what it is sent.
		q := e.GetPrepare()
		c := p.acceptor.RegisterState(q.Key)
		f.post(statemachine.Send{To: e.From, Envelope: &schema.Envelope{From: p.address, Body: &schema.Envelope_Promise{Promise: &schema.Promise{
			Key: q.Key, Attempt: q.Attempt, Membership: q.Membership, DiskId: p.acceptor.DiskID(), Granted: true, Promised: q.Ballot,
			Accepted: c.GetAccepted(), Value: c.GetValue()}}}})
		return nil
	case f.mutation == removedVoterCounts && e.GetPromise() != nil && !m.HasVoter(e.From, e.GetPromise().DiskId):
		// The proposer takes its word for that of a voter it has not heard.
		voters := m.Addresses()
		if len(voters) > 0 {
			e.From = voters[f.random.IntN(len(voters))]
			e.GetPromise().DiskId = m.Voters[e.From]
		}
	}
	return e
}

// tick lets time pass at one process, which hears of those it is not cut off from.
func (f *fleet) tick(address string) {
	p := f.processes[address]
	if p == nil || f.down[address] {
		return
	}
	for _, o := range f.addresses() {
		if !f.down[o] && !f.partitions[[2]string{o, address}] {
			p.heardAt[o] = f.now
		}
	}
	p.tick(f.now)
	f.flush(p)
	if o := f.anyAddress(); o != address && !f.down[o] && f.random.IntN(2) == 0 {
		if m := f.processes[o].acceptor.Membership(); m.Number > p.acceptor.Membership().Number {
			f.post(statemachine.Send{To: address, Envelope: &schema.Envelope{From: o, Body: &schema.Envelope_MembershipNotice{
				MembershipNotice: &schema.MembershipNotice{Membership: m.Proto()}}}})
		}
	}
	if f.random.IntN(3) == 0 {
		f.observe(p)
	}
	// It goes only once a majority of those after it vote: until then they may need what it holds.
	if m := p.acceptor.Membership(); p.draining && m.Known() && !m.HasVoter(address, p.acceptor.DiskID()) && f.remainingDisks(m.Voters, m.Number, "") >= m.Quorum() {
		f.counts.drains++
		f.remove(address)
	}
}

// observe has a process learn what was chosen from what it sees accepted: each voter
// at a moment of its own.
func (f *fleet) observe(p *process) {
	m := p.acceptor.Membership()
	o := f.processes[f.anyAddress()]
	if o.acceptor.ActiveMembership() != m.Number || !m.HasVoter(o.address, o.acceptor.DiskID()) || f.partitions[[2]string{o.address, p.address}] {
		return
	}
	seen := f.observed[p.address]
	if seen == nil {
		seen = map[string]*schema.RegisterState{}
		f.observed[p.address] = seen
	}
	for _, k := range []string{"x", "y"} {
		c := o.acceptor.RegisterState(k)
		if c == nil {
			continue
		}
		seen[fmt.Sprint(m.Number, k, o.address)] = c
		n := 0
		for _, voter := range m.Addresses() {
			if s := seen[fmt.Sprint(m.Number, k, voter)]; s != nil && paxos.BallotEqual(s.Accepted, c.Accepted) {
				n++
			}
		}
		if n >= m.Quorum() && (c.Accepted.Membership == m.Number || f.mutation == earlierCounted) {
			f.counts.learnedValues++
			f.recordLearned(k, c.Value)
		}
	}
}

func (f *fleet) recordLearned(k string, v *schema.Value) {
	if previous, ok := f.chosen[k][v.Revision]; ok && previous != string(v.Data) {
		f.failf("%s revision %d is both %s and, learned, %s", k, v.Revision, previous, v.Data)
	}
	f.chosen[k][v.Revision] = string(v.Data)
	f.committedRevision[k] = max(f.committedRevision[k], v.Revision)
}

func (f *fleet) propose(address string, read bool, within int64) string {
	f.changes++
	k := []string{"x", "y"}[f.random.IntN(2)]
	c := paxos.Change{ID: fmt.Sprintf("%s-%d", address, f.changes), Key: k, ReadOnly: read, Deadline: f.now + within}
	if !read {
		c.BaseRevision, c.Data = f.committedRevision[k], []byte(c.ID)
	}
	f.revisionAtStart[c.ID] = f.committedRevision[k]
	p := f.processes[address]
	p.propose(f.now, c)
	f.flush(p)
	return c.ID
}

// remove takes a machine away for good.
func (f *fleet) remove(address string) {
	f.diskLostAt[f.processes[address].acceptor.DiskID()] = f.now
	delete(f.processes, address)
	delete(f.down, address)
	f.removedAddresses = append(f.removedAddresses, address)
}

// remainingDisks is how many of these disks are there still, and vote or have stopped
// voting under the membership of that number, if one is given.
func (f *fleet) remainingDisks(voters map[string]uint64, number uint64, without string) int {
	n := 0
	for address, diskID := range voters {
		p := f.processes[address]
		if p == nil || address == without || p.acceptor.DiskID() != diskID {
			continue
		}
		if number == 0 || p.acceptor.Snapshot().ActiveMembership >= number {
			n++
		}
	}
	return n
}

// recoverable reports whether a majority of the newest voters still has its disks,
// and what they begin with is there, if one machine more is lost.
func (f *fleet) recoverable(without string) bool {
	m := newestMembership(f.processes)
	if !m.Known() {
		for _, p := range f.processes {
			if slices.Contains(f.founders, p.address) && p.acceptor.Membership().Known() {
				return false
			}
		}
		return without == ""
	}
	sets := []map[string]uint64{m.Voters}
	for _, p := range f.processes {
		// Successors that may be chosen without anybody knowing it.
		for _, c := range p.acceptor.Snapshot().Registers {
			if n, err := paxos.DecodeMembership(c.Value.GetData()); c.Key == paxos.MembershipKey && err == nil && n.Number > m.Number {
				sets = append(sets, n.Voters)
			}
		}
	}
	for _, g := range f.inTransit {
		if n, err := paxos.DecodeMembership(g.envelope.GetAccept().GetValue().GetData()); g.envelope.GetAccept().GetKey() == paxos.MembershipKey && err == nil && n.Number > m.Number {
			sets = append(sets, n.Voters)
		}
	}
	for _, voters := range sets {
		if f.remainingDisks(voters, 0, without) <= len(voters)/2 {
			return false
		}
	}
	return m.Number == 1 || f.remainingDisks(m.Voters, m.Number, without) > 0 ||
		f.remainingDisks(m.Previous, m.Number-1, without) > len(m.Previous)/2
}

// lostTooSoon reports whether so many of a membership's voters were lost after it
// was planned that it has no majority. A plan counts those who asked to vote within
// a second, is tried for two, and may be settled by a sealed voter after that.
func (f *fleet) lostTooSoon(m paxos.Membership) bool {
	n := 0
	for _, diskID := range m.Voters {
		if at, ok := f.diskLostAt[diskID]; ok && at > f.firstSeenAt[m.Number]-4*unresponsiveAfter {
			n++
		}
	}
	return len(m.Voters)-n < m.Quorum()
}

// toleratesLossOf reports whether a majority of the newest voters would vote without one
// machine.
func (f *fleet) toleratesLossOf(without string) bool {
	m := newestMembership(f.processes)
	return m.Known() && f.recoverable(without) && f.remainingDisks(m.Voters, m.Number, without) >= m.Quorum()
}

// injectFault is one fault.
func (f *fleet) injectFault() {
	a := f.anyAddress()
	switch k := f.random.IntN(100); {
	case k < 25:
		f.counts.restarts++
		f.start(a, f.foundersFor(a))
	case k < 35:
		f.down[a] = true
	case k < 50:
		f.wipe(a)
	case k < 68:
		f.replace(a)
	case k < 78:
		f.drain(a)
	case k < 94:
		b := f.anyAddress()
		f.partitions[[2]string{a, b}] = a != b
		if f.random.IntN(2) == 0 {
			f.partitions[[2]string{b, a}] = a != b
		}
	default:
		f.counts.blackouts++
		f.inTransit = nil
		for _, o := range f.addresses() {
			f.start(o, f.foundersFor(o))
		}
	}
}

// foundersFor is the founders that a process is told as it restarts with its disk.
func (f *fleet) foundersFor(address string) []string {
	p := f.processes[address]
	if slices.Contains(f.founders, address) && (p.acceptor.Membership().Known() || len(p.disk) > 0) && f.counts.machines == 0 {
		return f.founders
	}
	if !f.founded && f.counts.machines == 0 {
		return f.founders
	}
	return nil
}

// mayLoseDisk reports whether one disk more may be lost: nearly always only as many
// that the runs go on to show something.
func (f *fleet) mayLoseDisk(a string) bool {
	if !newestMembership(f.processes).Known() {
		return f.counts.disks < (f.size-1)/2 // of those that found
	}
	if f.toleratesLossOf(a) {
		return true
	}
	if f.founded && f.random.IntN(100) < 2 {
		f.counts.beyondBound++
		return true
	}
	return false
}

func (f *fleet) wipe(a string) {
	if !f.mayLoseDisk(a) {
		return
	}
	var founders []string
	if f.counts.disks < (f.size-1)/2 && f.counts.machines == 0 && f.random.IntN(2) == 0 {
		founders = f.founders // it is told to found, and finds the others founded
	}
	f.counts.disks++
	f.diskLostAt[f.processes[a].acceptor.DiskID()] = f.now
	f.addMachine(a)
	f.start(a, founders)
}

func (f *fleet) replace(a string) {
	if !f.founded || !f.mayLoseDisk(a) {
		return
	}
	f.counts.machines++
	f.counts.disks++
	f.remove(a)
	f.newcomer()
}

// drain has a process hand its place over; the newcomer comes first.
func (f *fleet) drain(a string) {
	p := f.processes[a]
	if !f.founded || p.draining || f.down[a] || len(f.processes) > f.size+3 {
		return
	}
	f.counts.machines++
	f.newcomer()
	p.draining = true
	p.acceptor.Drain()
}

// proposeRivals has two voters put a change of the voters of their own to the vote at once.
func (f *fleet) proposeRivals() {
	var spares []*process
	for _, a := range f.addresses() {
		if p := f.processes[a]; !p.draining && !f.down[a] && !newestMembership(f.processes).HasVoter(a, p.acceptor.DiskID()) {
			spares = append(spares, p)
		}
	}
	if len(spares) == 0 || !f.allVote() {
		return
	}
	for range 2 {
		p := f.processes[f.anyAddress()]
		m := p.acceptor.Membership()
		in := spares[f.random.IntN(len(spares))]
		if f.down[p.address] || !p.acceptor.IsVoter() || m.Voters[in.address] != 0 {
			continue
		}
		voters := maps.Clone(m.Voters)
		delete(voters, m.Addresses()[f.random.IntN(len(m.Voters))])
		voters[in.address] = in.acceptor.DiskID()
		f.changes++
		f.counts.rivalProposals++
		p.propose(f.now, paxos.Change{Key: paxos.MembershipKey, ID: fmt.Sprint("rush", f.changes), BaseRevision: m.Number, Data: m.Next(voters).Encode(), Deadline: f.now + 2_000_000})
		f.flush(p)
	}
}

func (f *fleet) step() {
	f.now += int64(f.random.IntN(3_000))
	strikes := 1
	if f.stormSteps > 0 {
		f.stormSteps--
		strikes = 4 // during a change of the voters and right after it
	}
	switch k := f.random.IntN(100); {
	case k < 76 && len(f.inTransit) > 0:
		f.deliver()
	case k < 90:
		f.now += int64(f.random.IntN(60_000))
		f.tick(f.anyAddress())
	case k < 94:
		if a := f.anyAddress(); !f.down[a] {
			f.propose(a, f.random.IntN(4) == 0, int64(100_000+f.random.IntN(4_000_000)))
		}
	case k < 97:
		f.repair()
	case k == 97:
		if f.random.IntN(2) == 0 {
			f.proposeRivals()
		}
	case f.random.IntN(4) < strikes:
		f.injectFault()
	}
	if len(f.inTransit) > 400 {
		f.inTransit = slices.Delete(f.inTransit, 0, 50)
	}
}

// repair joins all links again and starts what is down.
func (f *fleet) repair() {
	clear(f.partitions)
	for _, a := range slices.Sorted(maps.Keys(f.down)) {
		f.start(a, f.foundersFor(a))
	}
}

// deliver has one envelope arrive, or be lost, or doubled; now and then its
// receiver is killed right after, with a part of what it said under way.
func (f *fleet) deliver() {
	// The newest are likelier, so that some stay under way for very long.
	i := len(f.inTransit) - 1 - int(float64(len(f.inTransit))*f.random.Float64()*f.random.Float64())
	g := f.inTransit[i]
	switch k := f.random.IntN(100); {
	case k < 4: // doubled
		f.deliverTo(delivery{g.to, proto.Clone(g.envelope).(*schema.Envelope)})
	case k < 7:
		f.inTransit = slices.Delete(f.inTransit, i, i+1)
	case k == 7 && f.processes[g.to] != nil && !f.down[g.to]:
		f.inTransit = slices.Delete(f.inTransit, i, i+1)
		n := len(f.inTransit)
		f.deliverTo(g)
		if len(f.inTransit) > n {
			f.inTransit = f.inTransit[:n+f.random.IntN(len(f.inTransit)-n+1)]
		}
		if f.processes[g.to] != nil {
			f.counts.restarts++
			f.start(g.to, f.foundersFor(g.to))
		}
	default:
		f.inTransit = slices.Delete(f.inTransit, i, i+1)
		f.deliverTo(g)
	}
}

// runRepaired delivers all that is under way, in order, for a time or until all is done.
func (f *fleet) runRepaired(us int64, done func() bool) {
	f.repair()
	f.run(us, done)
}

func (f *fleet) run(us int64, done func() bool) {
	for end := f.now + us; f.now < end && f.failure == "" && !done(); f.now += 20_000 {
		for n := 0; len(f.inTransit) > 0 && n < 2_000; n++ {
			g := f.inTransit[0]
			f.inTransit = f.inTransit[1:]
			f.deliverTo(g)
		}
		for _, a := range f.addresses() {
			f.tick(a)
		}
	}
}

// countVoting is how many of the newest voters vote.
func (f *fleet) countVoting() (int, paxos.Membership) {
	m, n := newestMembership(f.processes), 0
	for a := range m.Voters {
		if p := f.processes[a]; p != nil && m.HasVoter(a, p.acceptor.DiskID()) && p.acceptor.ActiveMembership() == m.Number {
			n++
		}
	}
	return n, m
}

// allVote reports whether all of the newest voters vote.
func (f *fleet) allVote() bool {
	n, m := f.countVoting()
	return n >= f.size && n == len(m.Voters)
}

// finish has messages flow and checks that all is well again, if it can be.
func (f *fleet) finish() {
	able := f.recoverable("")
	if !able {
		f.counts.beyondBound++
	}
	for len(f.processes) < f.size+1 {
		f.newcomer()
	}
	f.runRepaired(15_000_000, f.allVote)
	n, m := f.countVoting()
	f.counts.memberships = m.Number
	if f.members[1].Known() && !slices.ContainsFunc(f.founders, func(a string) bool { return m.HasVoter(a, f.members[1].Voters[a]) }) {
		f.counts.turnovers++
	}
	if f.failure == "" && able && n < m.Quorum() && f.lostTooSoon(m) {
		f.counts.beyondBound++
		able = false
	}
	if f.failure != "" || !able {
		return
	}
	if !m.Known() || n < len(m.Voters) || len(m.Voters) < f.size {
		f.failf("after the calm %d of %d voters vote under membership %d", n, len(m.Voters), m.Number)
		return
	}
	for _, a := range f.addresses() {
		if f.processes[a] == nil {
			continue // it left in order in the meantime
		}
		ended := f.counts.outcomes[paxos.Committed]
		f.propose(a, true, 12_000_000)
		f.runRepaired(10_000_000, func() bool { return f.counts.outcomes[paxos.Committed] > ended || f.processes[a] == nil })
		if f.counts.outcomes[paxos.Committed] == ended && f.processes[a] != nil {
			f.failf("a last reading by %s did not end", a)
		}
	}
}

// explore drives one seed.
func explore(seed uint64, size, steps int, mutation mutation) *fleet {
	f := newFleet(seed, size, mutation)
	if seed%2 == 0 {
		f.runRepaired(1_000_000, f.allVote)
		f.newcomer()
	}
	for n := 0; n < steps && f.failure == ""; n++ {
		f.step()
	}
	if f.failure == "" {
		f.finish()
	}
	return f
}
