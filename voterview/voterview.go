// Package voterview is what a process learns from the voters without voting
// itself: the values that are known to be agreed, the databases that were
// announced, and a lease of all that (design 14.4). View is a deterministic
// core.
package voterview

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"stoneford/invariant"
	"stoneford/paxos"
	"stoneford/ports"
	"stoneford/schema"
	"stoneford/step"
)

// Keys of the registers and records.
const (
	TableKey       = "routes"
	LeaderPrefix   = "leader/"
	MembersPrefix  = "members/"
	MovePrefix     = "move/"
	DatabasePrefix = "database/"
)

const (
	// LeaseUs is how long a look that a majority returned may be relied upon,
	// from its sending.
	LeaseUs = 1_100_000
	// WaitUs is when, on another's clock, such a lease has surely run out: a
	// tenth longer, for clocks that run at different rates.
	WaitUs    = LeaseUs * 11 / 10
	lookEvery = 420_000
	lookAgain = 150_000 // where the lease is missing
	urgentGap = 8_000   // least time between two looks asked for
	// mostUnderWay is how many looks are under way at most, and lookLost how long one
	// counts that no majority returns: where returns take long, more looks would only
	// make them later.
	mostUnderWay = 2
	lookLost     = 500_000
	keptLooks    = 16
	// doubtWait is how long a newer revision may be heard of and not known to be
	// agreed, or its data be missing, until a voter is asked for what it knows.
	doubtWait = 150_000
	// heardLately is how long ago a voter that is asked was heard at the most, if any
	// was.
	heardLately = 1_000_000
	// stoodStill is the time between two looks after which this process itself did not
	// run: what came meanwhile is taken in only now.
	stoodStill = 1_500_000
	// learnWithin is how long a doubt lasts at the most while a majority is heard.
	learnWithin = 3_000_000
	// numberShift keeps the numbers of looks short on the wire.
	numberShift = 28
	// contactsAfter is how long a lease may be missing until the contacts are asked
	// too.
	contactsAfter = 500_000
	// mostContacts is how many processes are asked who the voters are.
	mostContacts = 16
)

type voter struct {
	life   uint64
	number uint64 // newest look that this life returned
	seq    uint64
	active uint64 // number of the membership that it votes under
	disk   uint64 // identity of its disk
	cells  map[string]*schema.Cell
	heard  int64
	nodes  int
	zone   string
	told   map[string]told                // of each group, as this run of it heard
	sent   map[uint64][]*schema.GroupWord // by look
	gap    bool                           // something of its news is missing
	again  uint64                         // look that asked for what is missing, 0 while none is under way
}

type told struct {
	revision uint64
	quiet    bool
}

type look struct {
	number   uint64
	at       int64
	by       map[string]bool
	returned bool // by a majority
}

// Chosen is an agreed value.
type Chosen struct {
	Revision   uint64
	Data       []byte
	Membership uint64 // number of the newest one under which it is known to be agreed
}

// Report is what a process tells the voters with its looks.
type Report struct {
	Sightings []*schema.Sighting
	Words     []*schema.GroupWord
	Leaving   bool
	Table     uint64   // register revision of the routing table that the process works by
	All       uint64   // of a voter: see schema.Look
	Behind    []string // as well
}

// View is one process's knowledge.
type View struct {
	self, name, zone, kind string
	run                    uint64
	contacts               []string         // asked while no lease is to be had from the voters
	membership             paxos.Membership // newest known to be chosen
	voters                 []string         // its addresses; the contacts while none is known
	vs                     map[string]*voter
	looks                  []look
	first, number          uint64 // looks sent by this run: (first, number]
	chosen                 map[string]Chosen
	seen                   map[string]uint64 // newest revision any voter holds
	insts                  map[string]*schema.Record
	leaseUntil             int64
	forgotten              int64 // when what a voter held was dropped, 0 if nothing was since the last lease
	next                   int64
	last                   int64
	urgent                 bool
	missing                map[string]bool  // agreed keys without a body
	doubted                map[string]int64 // keys in doubt, and since when
	now                    int64
	body                   int // whose bodies are asked for, by place in rank
	question               question
	answeredAt             int64 // when a majority had returned a look last
	apart                  int64 // when no majority had returned one for a while, or this process stood still
	checks                 invariant.Checks
	// Since the last Take:
	changed map[string]bool // keys of registers
	moved   bool            // databases
}

// New makes a view; contacts are the addresses that are asked who the voters are,
// run tells this run of the process from any other. Runs have no order: the time
// of day that they might be taken from can step back.
func New(self string, contacts []string, zone, name, kind string, run uint64) *View {
	// Looks are counted from a place of the run's own, so that what is returned to
	// an earlier run's look is not taken for a return to one of this run's.
	first := step.Hash("look", self, strconv.FormatUint(run, 10)) >> numberShift
	v := &View{self: self, name: name, zone: zone, kind: kind, run: run, first: first, number: first, vs: map[string]*voter{}, chosen: map[string]Chosen{},
		seen: map[string]uint64{}, insts: map[string]*schema.Record{}, changed: map[string]bool{}, missing: map[string]bool{}, doubted: map[string]int64{}, question: question{wait: doubtWait}}
	v.contacts = slices.Clone(contacts)
	v.setVoters(contacts)
	return v
}

// SetContacts takes other addresses to ask who the voters are.
func (v *View) SetContacts(contacts []string) {
	v.contacts = slices.Clone(contacts)
	if !v.membership.Known() {
		v.setVoters(contacts)
	}
}

// Hear notes that another control process exists. While nobody is known who can
// tell the voters, it is asked too: those named at the start may all be gone.
func (v *View) Hear(address string) {
	if v.membership.Known() || slices.Contains(v.voters, address) || len(v.voters) >= mostContacts {
		return
	}
	v.setVoters(append(slices.Clone(v.voters), address))
	v.urgent = true
}

// SetMembership takes a membership that is known to be chosen and reports whether
// it is newer than the one known before.
func (v *View) SetMembership(now int64, m paxos.Membership) bool {
	if m.Number <= v.membership.Number {
		return false
	}
	v.now = max(v.now, now)
	v.membership = m
	v.setVoters(m.Addresses())
	v.urgent = true
	return true
}

func (v *View) setVoters(addresses []string) {
	v.voters = slices.Clone(addresses)
	for _, o := range addresses {
		if v.vs[o] == nil {
			v.vs[o] = &voter{cells: map[string]*schema.Cell{}}
		}
	}
	for o := range v.vs {
		if !slices.Contains(addresses, o) {
			delete(v.vs, o)
			v.forgotten = v.now
		}
	}
}

// Membership is the newest membership known to be chosen.
func (v *View) Membership() paxos.Membership { return v.membership }

// Voters are the voters' addresses, or those asked for them while none are known.
func (v *View) Voters() []string { return v.voters }

// Active reports whether a voter said that it votes under the newest membership.
func (v *View) Active(address string) bool {
	x := v.vs[address]
	return x != nil && v.counts(address, x)
}

// Zone is the zone that a voter said it is in, empty if it did not say.
func (v *View) Zone(address string) string {
	if x := v.vs[address]; x != nil {
		return x.zone
	}
	return ""
}

// counts reports whether a voter's word counts: it votes under the newest
// membership known here, with the disk that is named there.
func (v *View) counts(address string, x *voter) bool {
	return v.membership.Known() && x.active == v.membership.Number && v.membership.Has(address, x.disk)
}

// LeaseUntil is until when the leaderships are surely the newest that were acted
// upon, by this process's clock, but for those in doubt.
func (v *View) LeaseUntil() int64 { return v.leaseUntil }

// Agreed is the newest value known to be agreed of a key.
func (v *View) Agreed(k string) (Chosen, bool) { c, ok := v.chosen[k]; return c, ok }

// Seen is the newest revision that any voter is known to hold of a key.
func (v *View) Seen(k string) uint64 { return v.seen[k] }

// Doubt says that a voter holds something newer than what is known as agreed.
func (v *View) Doubt(k string) bool { return v.seen[k] > v.chosen[k].Revision }

// Settled reports whether the newest revision heard of is agreed under the newest
// membership, though its data may be on its way.
func (v *View) Settled(k string) bool {
	return v.missing[k] || !v.Doubt(k) && v.chosen[k].Membership == v.membership.Number
}

// Heard is when a voter last returned something, 0 for never.
func (v *View) Heard(o string) int64 {
	if x := v.vs[o]; x != nil {
		return x.heard
	}
	return 0
}

// Nodes is how many pool nodes the voters see, as most of them see it.
func (v *View) Nodes() int {
	n := 0
	for _, x := range v.vs {
		n = max(n, x.nodes)
	}
	return n
}

// Want has the next look leave at once.
func (v *View) Want() { v.urgent = true }

// Take hands out which registers became newer, or fell into doubt, since the
// last call, and whether databases changed.
func (v *View) Take() (keys []string, databases bool) {
	keys, databases = slices.Sorted(maps.Keys(v.changed)), v.moved
	clear(v.changed)
	v.moved = false
	return keys, databases
}

// Due is when Tick has something to do next.
func (v *View) Due() int64 {
	due := v.next
	if v.urgent {
		due = min(due, v.last+urgentGap)
	}
	return max(due, v.room())
}

// room is when one more look may leave without too many being under way.
func (v *View) room() int64 {
	underWay := 0
	for _, l := range slices.Backward(v.looks) {
		if l.returned {
			continue
		}
		if underWay++; underWay == mostUnderWay {
			return l.at + lookLost
		}
	}
	return 0
}

// Tick sends a look to every voter when one is due.
func (v *View) Tick(now int64, r func() Report) []step.Send {
	if now < v.Due() {
		return nil
	}
	if now-v.last > stoodStill {
		v.apart = now
	}
	v.urgent, v.last, v.now = false, now, now
	v.next = now + lookEvery
	if v.leaseUntil < now+lookEvery {
		v.next = now + lookAgain
	}
	v.number++
	doubts := v.doubts(now)
	v.checkDoubts(now)
	rep := r()
	v.looks = append(v.looks, look{number: v.number, at: now, by: map[string]bool{}})
	if len(v.looks) > keptLooks {
		for _, x := range v.vs {
			delete(x.sent, v.looks[0].number)
		}
		v.looks = slices.Clone(v.looks[1:])
	}
	var out []step.Send
	body := v.bodyFrom()
	for _, o := range v.order() {
		x := v.vs[o]
		asked := doubts
		if o != body {
			asked = nil
		}
		ws := x.news(rep.Words)
		if len(ws) > 0 {
			if x.sent == nil {
				x.sent = map[uint64][]*schema.GroupWord{}
			}
			x.sent[v.number] = ws
		}
		out = append(out, step.Send{To: o, Env: &schema.Envelope{From: v.self, Body: &schema.Envelope_Look{Look: &schema.Look{
			Number: v.number, Life: x.life, Seq: x.seq, Bodies: o == body, Name: v.name, Zone: v.zone, Kind: v.kind, Run: v.run,
			Leaving: rep.Leaving, Sightings: rep.Sightings, Groups: ws,
			Table: rep.Table, All: rep.All, Behind: rep.Behind, Doubts: asked,
			Sequenced: true, Again: x.askAgain(v.number)}}}})
	}
	return append(out, v.askContacts(now)...)
}

// askContacts asks those who are no voters, as far as known here, whether they know
// a newer membership: the voters known may all have been replaced.
func (v *View) askContacts(now int64) []step.Send {
	if !v.membership.Known() || now-v.leaseUntil < contactsAfter {
		return nil
	}
	var out []step.Send
	for _, o := range v.contacts {
		if v.vs[o] == nil && o != v.self {
			out = append(out, step.Send{To: o, Env: &schema.Envelope{From: v.self, Body: &schema.Envelope_Look{Look: &schema.Look{
				Number: v.number, Name: v.name, Zone: v.zone, Kind: v.kind, Run: v.run, VotersOnly: true}}}})
		}
	}
	return out
}

// news are the words that a voter is not known to have heard. What was
// acknowledged counts only once a change is under way, whose revision is news.
func (x *voter) news(ws []*schema.GroupWord) []*schema.GroupWord {
	return slices.DeleteFunc(slices.Clone(ws), func(w *schema.GroupWord) bool {
		t, ok := x.told[w.Group]
		return ok && t == told{w.Revision, w.Quiet}
	})
}

// order ranks the voters for this process, so that bodies are asked of one.
func (v *View) order() []string {
	if i := slices.Index(v.voters, v.self); i >= 0 {
		return append([]string{v.self}, slices.Delete(slices.Clone(v.voters), i, i+1)...)
	}
	return step.Rank(v.self, v.voters)
}

// bodyFrom is the voter that is asked for the data of what changed: one of this
// zone first, for large tables cost what they cross.
func (v *View) bodyFrom() string {
	os := v.order()
	slices.SortStableFunc(os, func(a, b string) int {
		far := func(o string) int {
			if v.vs[o].zone == v.zone {
				return 0
			}
			return 1
		}
		return cmp.Compare(far(a), far(b))
	})
	if heard := slices.DeleteFunc(slices.Clone(os), func(o string) bool { return v.vs[o].heard+heardLately < v.now }); len(heard) > 0 {
		os = heard
	}
	return os[v.body%len(os)]
}

// Step takes a voter's return, or news it sent unasked.
func (v *View) Step(now int64, from string, m *schema.LookReturn) {
	v.now = now
	if m.Membership != nil {
		v.SetMembership(now, paxos.ReadMembership(m.Membership))
	}
	x := v.vs[from]
	if x == nil || m.Number > 0 && (m.Number <= v.first || m.Number > v.number) {
		return // not a voter, or not to a look of this run
	}
	for _, c := range m.Chosen {
		v.learn(c.Key, c.Value.GetRevision(), c.Value.GetData(), c.Membership)
	}
	defer v.leaseAnew()
	if m.Life != x.life {
		// Another run of the voter. Which of two is the later one is told by this
		// process's own looks, not by the lives: the time of day may step back.
		switch {
		case m.Number == 0:
			v.urgent = true
			return
		case x.life != 0 && m.Number <= x.number:
			return // it returned an earlier look than the known one
		case m.Since != 0:
			x.life, x.seq = 0, 0 // something is missing: ask for all
			v.missed(x, m.Number)
			return
		}
		// What it said before it says anew.
		*x = voter{life: m.Life, cells: map[string]*schema.Cell{}}
		v.forgotten = now
	} else if m.Since > x.seq {
		v.missed(x, m.Number)
		return
	}
	x.gap = false
	if m.Number >= x.again {
		x.again = 0
	}
	x.number = max(x.number, m.Number)
	x.heard, x.active, x.nodes = now, m.Active, int(m.Nodes)
	if m.Membership != nil {
		x.disk, x.zone = m.Disk, m.Zone // else as it said before
	}
	x.seq = max(x.seq, m.Seq)
	for _, c := range m.Cells {
		v.cell(x, c)
	}
	for _, r := range m.Instances {
		v.instance(r)
	}
	if m.Number > 0 {
		v.returned(from, m.Number)
		v.answered(from, m.Number)
	}
}

// missed notes that something before a voter's news was lost. What is sent until the
// voter hears of it has the same gap.
func (v *View) missed(x *voter, number uint64) {
	if x.again > 0 && number < x.again && slices.ContainsFunc(v.looks, func(l look) bool { return l.number == x.again && v.now-l.at < lookLost }) {
		return
	}
	x.gap, x.again = true, 0
	v.urgent = true
}

// askAgain reports whether a look is to ask a voter for what is missing of its news.
func (x *voter) askAgain(number uint64) bool {
	if !x.gap {
		return false
	}
	x.gap, x.again = false, number
	return true
}

// leaseAnew goes through the looks once more after another routing table was
// learned: returns that did not count before do so now.
func (v *View) leaseAnew() {
	if !v.changed[TableKey] {
		return
	}
	for _, l := range v.looks {
		v.leased(l)
	}
}

func (v *View) cell(x *voter, c *schema.Cell) {
	if o := x.cells[c.Key]; o != nil {
		if paxos.Less(c.Accepted, o.Accepted) {
			return
		}
		if paxos.Same(c.Accepted, o.Accepted) && len(c.Value.GetData()) == 0 {
			return
		}
	}
	x.cells[c.Key] = c
	if r := c.Value.GetRevision(); r > v.seen[c.Key] {
		v.seen[c.Key] = r
		v.changed[c.Key] = true
	}
	v.settle(c.Key)
	v.noteDoubt(c.Key)
}

// settle looks whether a majority of voters accepted one ballot of a key under
// the newest membership.
func (v *View) settle(k string) {
	for _, x := range v.vs {
		c := x.cells[k]
		known := v.chosen[k]
		if c == nil || c.Value.GetRevision() < known.Revision || c.Accepted.GetMembership() != v.membership.Number ||
			c.Value.GetRevision() == known.Revision && known.Membership == v.membership.Number {
			continue
		}
		count := 0
		var data []byte
		for o, y := range v.vs {
			if d := y.cells[k]; d != nil && v.counts(o, y) && paxos.Same(d.Accepted, c.Accepted) {
				count++
				if len(d.Value.GetData()) > 0 {
					data = d.Value.GetData()
				}
			}
		}
		if count < v.membership.Quorum() {
			continue
		}
		if c.Value.GetRevision() == known.Revision {
			known.Membership = v.membership.Number
			v.chosen[k] = known
			continue
		}
		if data == nil {
			v.missing[k] = true // agreed, and the body is most often on its way
			continue
		}
		v.learn(k, c.Value.GetRevision(), data, v.membership.Number)
	}
}

func (v *View) instance(r *schema.Record) {
	if o := v.insts[r.Key]; o != nil && o.Stamp >= r.Stamp {
		return
	}
	o := v.insts[r.Key]
	v.insts[r.Key] = r
	if o == nil || !slices.Equal(o.Data, r.Data) {
		v.moved = true
	}
}

// returned counts a return for the lease.
func (v *View) returned(from string, n uint64) {
	i := slices.IndexFunc(v.looks, func(l look) bool { return l.number == n })
	if i < 0 {
		return
	}
	v.looks[i].by[from] = true
	if 2*len(v.looks[i].by) > len(v.voters) {
		v.looks[i].returned = true
		v.answeredAt = v.now
	}
	// What an earlier run of the voter was sent, this one did not hear.
	x := v.vs[from]
	if x.told == nil {
		x.told = map[string]told{}
	}
	for _, w := range x.sent[n] {
		x.told[w.Group] = told{w.Revision, w.Quiet}
	}
	delete(x.sent, n)
	if v.leased(v.looks[i]) {
		v.next = max(v.next, min(v.looks[i].at+lookEvery, v.last+lookEvery))
	}
}

// leased takes the lease that a look gives, if a majority returned it. A voter
// that holds a newer routing table than this process works by does not count:
// so nobody has a lease under a table that is older than one a majority vouched
// for (design 15.3).
func (v *View) leased(l look) bool {
	count := 0
	for o := range l.by {
		if x := v.vs[o]; x != nil && v.counts(o, x) && x.cells[TableKey].GetValue().GetRevision() <= v.chosen[TableKey].Revision {
			count++
		}
	}
	if !v.membership.Known() || count < v.membership.Quorum() {
		return false
	}
	v.leaseUntil = max(v.leaseUntil, l.at+LeaseUs)
	if v.forgotten > 0 && l.at > v.forgotten {
		v.forgotten = 0
		v.recount()
	}
	return true
}

// recount drops doubts about revisions that no voter holds any more: one that a
// lost disk alone had accepted was never chosen. It is done once a lease rests on
// what the voters of now hold, and no earlier.
func (v *View) recount() {
	for k, revision := range v.seen {
		held := v.chosen[k].Revision
		for _, x := range v.vs {
			held = max(held, x.cells[k].GetValue().GetRevision())
		}
		if held < revision {
			v.seen[k] = held
			v.changed[k] = true
			v.noteDoubt(k)
		}
	}
}

// Instances are the databases announced, in order of their identities; those
// that are gone are left out.
func (v *View) Instances() []ports.Instance {
	var is []ports.Instance
	for _, r := range v.insts {
		if i := Instance(r); !i.Gone {
			is = append(is, i)
		}
	}
	slices.SortFunc(is, func(a, b ports.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return is
}

// Gone says that a database is known to be gone.
func (v *View) Gone(id string) bool {
	r := v.insts[DatabasePrefix+id]
	return r != nil && Instance(r).Gone
}

// Instance reads a database's record.
func Instance(r *schema.Record) ports.Instance {
	d := &schema.InstanceRecord{}
	if proto.Unmarshal(r.Data, d) != nil {
		return ports.Instance{ID: strings.TrimPrefix(r.Key, DatabasePrefix), Gone: true}
	}
	return ports.Instance{ID: strings.TrimPrefix(r.Key, DatabasePrefix), Group: d.Group, Address: d.Address, Zone: d.Zone, Capacity: int(d.Capacity),
		Leaving: d.Leaving, Primary: d.Primary, WarmUs: d.WarmUs, Call: r.Stamp / 2, Gone: d.Gone}
}

// Record writes a database's record; one that is gone is newer than what it
// last said.
func Record(i ports.Instance) *schema.Record {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(&schema.InstanceRecord{Group: i.Group, Address: i.Address, Zone: i.Zone, Capacity: int32(i.Capacity),
		Leaving: i.Leaving, Primary: i.Primary, WarmUs: i.WarmUs, Gone: i.Gone})
	if err != nil {
		panic(err)
	}
	s := i.Call * 2
	if i.Gone {
		s++
	}
	return &schema.Record{Key: DatabasePrefix + i.ID, Stamp: s, Data: b}
}

// Leadership reads a group's register.
func Leadership(c Chosen) *schema.Leadership {
	l := &schema.Leadership{}
	if proto.Unmarshal(c.Data, l) != nil {
		return &schema.Leadership{}
	}
	return l
}

// Leaderships are all that are agreed, by group.
func (v *View) Leaderships() map[string]ports.Leadership {
	m := map[string]ports.Leadership{}
	for k, c := range v.chosen {
		if g, ok := strings.CutPrefix(k, LeaderPrefix); ok {
			l := Leadership(c)
			m[g] = ports.Leadership{Revision: c.Revision, Term: l.Term, Primary: l.Primary, Address: l.Address, Phase: ports.Phase(l.Phase), ExpectUs: l.ExpectUs, Table: l.Table}
		}
	}
	return m
}
