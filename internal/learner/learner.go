// Package learner is what a process learns from the voters without voting
// itself: the values that are known to be agreed, the databases that were
// announced, and a lease of all that (design 14.4). View is a deterministic
// core.
package learner

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"stoneford/internal/invariant"
	"stoneford/internal/ports"
	"stoneford/paxos"
	"stoneford/schema"
	"stoneford/statemachine"
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
	// LeaseDurationUs is how long a look that a majority returned may be relied upon,
	// from its sending.
	LeaseDurationUs = 1_100_000
	// LeaseEndBoundUs is when, on another's clock, such a lease has surely run out: a
	// tenth longer, for clocks that run at different rates.
	LeaseEndBoundUs   = LeaseDurationUs * 11 / 10
	pollInterval      = 420_000
	pollRetryInterval = 150_000 // where the lease is missing
	minPollGap        = 8_000   // least time between two looks asked for
	// maxPollsInFlight is how many looks are under way at most, and pollLostTimeout how long one
	// counts that no majority returns: where returns take long, more looks would only
	// make them later.
	maxPollsInFlight   = 2
	pollLostTimeout    = 500_000
	maxRememberedPolls = 16
	// unconfirmedTimeout is how long a newer revision may be heard of and not known to be
	// agreed, or its data be missing, until a voter is asked for what it knows.
	unconfirmedTimeout = 150_000
	// responsiveWindow is how long ago a voter that is asked was heard at the most, if any
	// was.
	responsiveWindow = 1_000_000
	// stallThreshold is the time between two looks after which this process itself did not
	// run: what came meanwhile is taken in only now.
	stallThreshold = 1_500_000
	// maxLearnDelay is how long a doubt lasts at the most while a majority is heard.
	maxLearnDelay = 3_000_000
	// pollNumberShift keeps the numbers of looks short on the wire.
	pollNumberShift = 28
	// contactsPollDelay is how long a lease may be missing until the contacts are asked
	// too.
	contactsPollDelay = 500_000
	// maxContacts is how many processes are asked who the voters are.
	maxContacts = 16
)

type voterState struct {
	run              uint64
	newestPoll       uint64 // newest look that this life returned
	changeNumber     uint64
	activeMembership uint64 // number of the membership that it votes under
	diskID           uint64 // identity of its disk
	cells            map[string]*schema.RegisterState
	lastResponse     int64
	poolNodes        int
	zone             string
	acknowledged     map[string]notifiedStatus        // of each group, as this run of it heard
	sentByPoll       map[uint64][]*schema.GroupStatus // by look
	gap              bool                             // something of its news is missing
	resendPoll       uint64                           // look that asked for what is missing, 0 while none is under way
}

type notifiedStatus struct {
	revision uint64
	idle     bool
}

type poll struct {
	number            uint64
	sentAt            int64
	respondedBy       map[string]bool
	majorityResponded bool // by a majority
}

// CommittedValue is an agreed value.
type CommittedValue struct {
	Revision   uint64
	Data       []byte
	Membership uint64 // number of the newest one under which it is known to be agreed
}

// Report is what a process tells the voters with its looks.
type Report struct {
	HealthReports    []*schema.HealthReport
	GroupStatuses    []*schema.GroupStatus
	Draining         bool
	TableRevision    uint64   // register revision of the routing table that the process works by
	ConvergedTable   uint64   // of a voter: see schema.Poll
	LaggingProcesses []string // as well
}

// Learner is one process's knowledge.
type Learner struct {
	self, name, zone, kind string
	run                    uint64
	contacts               []string         // asked while no lease is to be had from the voters
	membership             paxos.Membership // newest known to be chosen
	addresses              []string         // its addresses; the contacts while none is known
	voters                 map[string]*voterState
	polls                  []poll
	firstPoll, newestPoll  uint64 // looks sent by this run: (first, number]
	committed              map[string]CommittedValue
	highestSeen            map[string]uint64 // newest revision any voter holds
	databases              map[string]*schema.Record
	leaseUntil             int64
	voterDroppedAt         int64 // when what a voter held was dropped, 0 if nothing was since the last lease
	nextPoll               int64
	lastPoll               int64
	pollRequested          bool
	missingData            map[string]bool  // agreed keys without a body
	unconfirmedSince       map[string]int64 // keys in doubt, and since when
	now                    int64
	dataSourceIndex        int // whose bodies are asked for, by place in rank
	inquiry                unconfirmedInquiry
	majorityRespondedAt    int64 // when a majority had returned a look last
	disconnectedAt         int64 // when no majority had returned one for a while, or this process stood still
	checks                 invariant.Checks
	// Since the last Take:
	changedKeys      map[string]bool // keys of registers
	databasesChanged bool            // databases
}

// New makes a view; contacts are the addresses that are asked who the voters are,
// run tells this run of the process from any other. Runs have no order: the time
// of day that they might be taken from can step back.
func New(self string, contacts []string, zone, name, kind string, run uint64) *Learner {
	// Looks are counted from a place of the run's own, so that what is returned to
	// an earlier run's look is not taken for a return to one of this run's.
	first := statemachine.Hash("look", self, strconv.FormatUint(run, 10)) >> pollNumberShift
	v := &Learner{self: self, name: name, zone: zone, kind: kind, run: run, firstPoll: first, newestPoll: first, voters: map[string]*voterState{}, committed: map[string]CommittedValue{},
		highestSeen: map[string]uint64{}, databases: map[string]*schema.Record{}, changedKeys: map[string]bool{}, missingData: map[string]bool{}, unconfirmedSince: map[string]int64{}, inquiry: unconfirmedInquiry{retryDelay: unconfirmedTimeout}}
	v.contacts = slices.Clone(contacts)
	v.setAddresses(contacts)
	return v
}

// SetContacts takes other addresses to ask who the voters are.
func (v *Learner) SetContacts(contacts []string) {
	v.contacts = slices.Clone(contacts)
	if !v.membership.Known() {
		v.setAddresses(contacts)
	}
}

// AddContact notes that another control process exists. While nobody is known who can
// tell the voters, it is asked too: those named at the start may all be gone.
func (v *Learner) AddContact(address string) {
	if v.membership.Known() || slices.Contains(v.addresses, address) || len(v.addresses) >= maxContacts {
		return
	}
	v.setAddresses(append(slices.Clone(v.addresses), address))
	v.pollRequested = true
}

// SetMembership takes a membership that is known to be chosen and reports whether
// it is newer than the one known before.
func (v *Learner) SetMembership(now int64, m paxos.Membership) bool {
	if m.Number <= v.membership.Number {
		return false
	}
	v.now = max(v.now, now)
	v.membership = m
	v.setAddresses(m.Addresses())
	v.pollRequested = true
	return true
}

func (v *Learner) setAddresses(addresses []string) {
	v.addresses = slices.Clone(addresses)
	for _, o := range addresses {
		if v.voters[o] == nil {
			v.voters[o] = &voterState{cells: map[string]*schema.RegisterState{}}
		}
	}
	for o := range v.voters {
		if !slices.Contains(addresses, o) {
			delete(v.voters, o)
			v.voterDroppedAt = v.now
		}
	}
}

// Membership is the newest membership known to be chosen.
func (v *Learner) Membership() paxos.Membership { return v.membership }

// Voters are the voters' addresses, or those asked for them while none are known.
func (v *Learner) Voters() []string { return v.addresses }

// Active reports whether a voter said that it votes under the newest membership.
func (v *Learner) Active(address string) bool {
	x := v.voters[address]
	return x != nil && v.isActiveVoter(address, x)
}

// Zone is the zone that a voter said it is in, empty if it did not say.
func (v *Learner) Zone(address string) string {
	if x := v.voters[address]; x != nil {
		return x.zone
	}
	return ""
}

// isActiveVoter reports whether a voter's word counts: it votes under the newest
// membership known here, with the disk that is named there.
func (v *Learner) isActiveVoter(address string, x *voterState) bool {
	return v.membership.Known() && x.activeMembership == v.membership.Number && v.membership.HasVoter(address, x.diskID)
}

// LeaseUntil is until when the leaderships are surely the newest that were acted
// upon, by this process's clock, but for those in doubt.
func (v *Learner) LeaseUntil() int64 { return v.leaseUntil }

// Committed is the newest value known to be agreed of a key.
func (v *Learner) Committed(k string) (CommittedValue, bool) { c, ok := v.committed[k]; return c, ok }

// HighestSeen is the newest revision that any voter is known to hold of a key.
func (v *Learner) HighestSeen(k string) uint64 { return v.highestSeen[k] }

// Unconfirmed says that a voter holds something newer than what is known as agreed.
func (v *Learner) Unconfirmed(k string) bool { return v.highestSeen[k] > v.committed[k].Revision }

// UpToDate reports whether the newest revision heard of is agreed under the newest
// membership, though its data may be on its way.
func (v *Learner) UpToDate(k string) bool {
	return v.missingData[k] || !v.Unconfirmed(k) && v.committed[k].Membership == v.membership.Number
}

// LastResponse is when a voter last returned something, 0 for never.
func (v *Learner) LastResponse(o string) int64 {
	if x := v.voters[o]; x != nil {
		return x.lastResponse
	}
	return 0
}

// PoolNodes is how many pool nodes the voters see, as most of them see it.
func (v *Learner) PoolNodes() int {
	n := 0
	for _, x := range v.voters {
		n = max(n, x.poolNodes)
	}
	return n
}

// RequestPoll has the next look leave at once.
func (v *Learner) RequestPoll() { v.pollRequested = true }

// TakeChanges hands out which registers became newer, or fell into doubt, since the
// last call, and whether databases changed.
func (v *Learner) TakeChanges() (keys []string, databases bool) {
	keys, databases = slices.Sorted(maps.Keys(v.changedKeys)), v.databasesChanged
	clear(v.changedKeys)
	v.databasesChanged = false
	return keys, databases
}

// Due is when Tick has something to do next.
func (v *Learner) Due() int64 {
	due := v.nextPoll
	if v.pollRequested {
		due = min(due, v.lastPoll+minPollGap)
	}
	return max(due, v.pollCapacityAt())
}

// pollCapacityAt is when one more look may leave without too many being under way.
func (v *Learner) pollCapacityAt() int64 {
	underWay := 0
	for _, l := range slices.Backward(v.polls) {
		if l.majorityResponded {
			continue
		}
		if underWay++; underWay == maxPollsInFlight {
			return l.sentAt + pollLostTimeout
		}
	}
	return 0
}

// Tick sends a look to every voter when one is due.
func (v *Learner) Tick(now int64, r func() Report) []statemachine.Send {
	if now < v.Due() {
		return nil
	}
	if now-v.lastPoll > stallThreshold {
		v.disconnectedAt = now
	}
	v.pollRequested, v.lastPoll, v.now = false, now, now
	v.nextPoll = now + pollInterval
	if v.leaseUntil < now+pollInterval {
		v.nextPoll = now + pollRetryInterval
	}
	v.newestPoll++
	doubts := v.dueInquiry(now)
	v.checkUnconfirmed(now)
	rep := r()
	v.polls = append(v.polls, poll{number: v.newestPoll, sentAt: now, respondedBy: map[string]bool{}})
	if len(v.polls) > maxRememberedPolls {
		for _, x := range v.voters {
			delete(x.sentByPoll, v.polls[0].number)
		}
		v.polls = slices.Clone(v.polls[1:])
	}
	var out []statemachine.Send
	body := v.dataSource()
	for _, o := range v.rankedVoters() {
		x := v.voters[o]
		asked := doubts
		if o != body {
			asked = nil
		}
		ws := x.unacknowledgedStatuses(rep.GroupStatuses)
		if len(ws) > 0 {
			if x.sentByPoll == nil {
				x.sentByPoll = map[uint64][]*schema.GroupStatus{}
			}
			x.sentByPoll[v.newestPoll] = ws
		}
		out = append(out, statemachine.Send{To: o, Envelope: &schema.Envelope{From: v.self, Body: &schema.Envelope_Poll{Poll: &schema.Poll{
			Number: v.newestPoll, VoterRun: x.run, ChangeNumber: x.changeNumber, IncludeData: o == body, Name: v.name, Zone: v.zone, Kind: v.kind, Run: v.run,
			Draining: rep.Draining, HealthReports: rep.HealthReports, GroupStatuses: ws,
			TableRevision: rep.TableRevision, ConvergedTable: rep.ConvergedTable, Lagging: rep.LaggingProcesses, Unconfirmed: asked,
			Sequenced: true, Resend: x.requestResend(v.newestPoll)}}}})
	}
	return append(out, v.pollContacts(now)...)
}

// pollContacts asks those who are no voters, as far as known here, whether they know
// a newer membership: the voters known may all have been replaced.
func (v *Learner) pollContacts(now int64) []statemachine.Send {
	if !v.membership.Known() || now-v.leaseUntil < contactsPollDelay {
		return nil
	}
	var out []statemachine.Send
	for _, o := range v.contacts {
		if v.voters[o] == nil && o != v.self {
			out = append(out, statemachine.Send{To: o, Envelope: &schema.Envelope{From: v.self, Body: &schema.Envelope_Poll{Poll: &schema.Poll{
				Number: v.newestPoll, Name: v.name, Zone: v.zone, Kind: v.kind, Run: v.run, VotersOnly: true}}}})
		}
	}
	return out
}

// unacknowledgedStatuses are the words that a voter is not known to have heard. What was
// acknowledged counts only once a change is under way, whose revision is news.
func (x *voterState) unacknowledgedStatuses(ws []*schema.GroupStatus) []*schema.GroupStatus {
	return slices.DeleteFunc(slices.Clone(ws), func(w *schema.GroupStatus) bool {
		t, ok := x.acknowledged[w.Group]
		return ok && t == notifiedStatus{w.Revision, w.Idle}
	})
}

// rankedVoters ranks the voters for this process, so that bodies are asked of one.
func (v *Learner) rankedVoters() []string {
	if i := slices.Index(v.addresses, v.self); i >= 0 {
		return append([]string{v.self}, slices.Delete(slices.Clone(v.addresses), i, i+1)...)
	}
	return statemachine.Rank(v.self, v.addresses)
}

// dataSource is the voter that is asked for the data of what changed: one of this
// zone first, for large tables cost what they cross.
func (v *Learner) dataSource() string {
	os := v.rankedVoters()
	slices.SortStableFunc(os, func(a, b string) int {
		far := func(o string) int {
			if v.voters[o].zone == v.zone {
				return 0
			}
			return 1
		}
		return cmp.Compare(far(a), far(b))
	})
	if heard := slices.DeleteFunc(slices.Clone(os), func(o string) bool { return v.voters[o].lastResponse+responsiveWindow < v.now }); len(heard) > 0 {
		os = heard
	}
	return os[v.dataSourceIndex%len(os)]
}

// Step takes a voter's return, or news it sent unasked.
func (v *Learner) Step(now int64, from string, m *schema.PollResponse) {
	v.now = now
	if m.Membership != nil {
		v.SetMembership(now, paxos.MembershipFromProto(m.Membership))
	}
	x := v.voters[from]
	if x == nil || m.Number > 0 && (m.Number <= v.firstPoll || m.Number > v.newestPoll) {
		return // not a voter, or not to a look of this run
	}
	for _, c := range m.Committed {
		v.learn(c.Key, c.Value.GetRevision(), c.Value.GetData(), c.Membership)
	}
	defer v.recountLeases()
	if m.VoterRun != x.run {
		// Another run of the voter. Which of two is the later one is told by this
		// process's own looks, not by the lives: the time of day may step back.
		switch {
		case m.Number == 0:
			v.pollRequested = true
			return
		case x.run != 0 && m.Number <= x.newestPoll:
			return // it returned an earlier look than the known one
		case m.SinceChange != 0:
			x.run, x.changeNumber = 0, 0 // something is missing: ask for all
			v.noteGap(x, m.Number)
			return
		}
		// What it said before it says anew.
		*x = voterState{run: m.VoterRun, cells: map[string]*schema.RegisterState{}}
		v.voterDroppedAt = now
	} else if m.SinceChange > x.changeNumber {
		v.noteGap(x, m.Number)
		return
	}
	x.gap = false
	if m.Number >= x.resendPoll {
		x.resendPoll = 0
	}
	x.newestPoll = max(x.newestPoll, m.Number)
	x.lastResponse, x.activeMembership, x.poolNodes = now, m.ActiveMembership, int(m.PoolNodes)
	if m.Membership != nil {
		x.diskID, x.zone = m.DiskId, m.Zone // else as it said before
	}
	x.changeNumber = max(x.changeNumber, m.ChangeNumber)
	for _, c := range m.Registers {
		v.takeCell(x, c)
	}
	for _, r := range m.Databases {
		v.takeDatabase(r)
	}
	if m.Number > 0 {
		v.countResponse(from, m.Number)
		v.inquiryAnswered(from, m.Number)
	}
}

// noteGap notes that something before a voter's news was lost. What is sent until the
// voter hears of it has the same gap.
func (v *Learner) noteGap(x *voterState, number uint64) {
	if x.resendPoll > 0 && number < x.resendPoll && slices.ContainsFunc(v.polls, func(l poll) bool { return l.number == x.resendPoll && v.now-l.sentAt < pollLostTimeout }) {
		return
	}
	x.gap, x.resendPoll = true, 0
	v.pollRequested = true
}

// requestResend reports whether a look is to ask a voter for what is missing of its news.
func (x *voterState) requestResend(number uint64) bool {
	if !x.gap {
		return false
	}
	x.gap, x.resendPoll = false, number
	return true
}

// recountLeases goes through the looks once more after another routing table was
// learned: returns that did not count before do so now.
func (v *Learner) recountLeases() {
	if !v.changedKeys[TableKey] {
		return
	}
	for _, l := range v.polls {
		v.renewLease(l)
	}
}

func (v *Learner) takeCell(x *voterState, c *schema.RegisterState) {
	if o := x.cells[c.Key]; o != nil {
		if paxos.BallotLess(c.Accepted, o.Accepted) {
			return
		}
		if paxos.BallotEqual(c.Accepted, o.Accepted) && len(c.Value.GetData()) == 0 {
			return
		}
	}
	x.cells[c.Key] = c
	if r := c.Value.GetRevision(); r > v.highestSeen[c.Key] {
		v.highestSeen[c.Key] = r
		v.changedKeys[c.Key] = true
	}
	v.commitIfMajority(c.Key)
	v.updateUnconfirmed(c.Key)
}

// commitIfMajority looks whether a majority of voters accepted one ballot of a key under
// the newest membership.
func (v *Learner) commitIfMajority(k string) {
	for _, x := range v.voters {
		c := x.cells[k]
		known := v.committed[k]
		if c == nil || c.Value.GetRevision() < known.Revision || c.Accepted.GetMembership() != v.membership.Number ||
			c.Value.GetRevision() == known.Revision && known.Membership == v.membership.Number {
			continue
		}
		count := 0
		var data []byte
		for o, y := range v.voters {
			if d := y.cells[k]; d != nil && v.isActiveVoter(o, y) && paxos.BallotEqual(d.Accepted, c.Accepted) {
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
			v.committed[k] = known
			continue
		}
		if data == nil {
			v.missingData[k] = true // agreed, and the body is most often on its way
			continue
		}
		v.learn(k, c.Value.GetRevision(), data, v.membership.Number)
	}
}

func (v *Learner) takeDatabase(r *schema.Record) {
	if o := v.databases[r.Key]; o != nil && o.Timestamp >= r.Timestamp {
		return
	}
	o := v.databases[r.Key]
	v.databases[r.Key] = r
	if o == nil || !slices.Equal(o.Data, r.Data) {
		v.databasesChanged = true
	}
}

// countResponse counts a return for the lease.
func (v *Learner) countResponse(from string, n uint64) {
	i := slices.IndexFunc(v.polls, func(l poll) bool { return l.number == n })
	if i < 0 {
		return
	}
	v.polls[i].respondedBy[from] = true
	if 2*len(v.polls[i].respondedBy) > len(v.addresses) {
		v.polls[i].majorityResponded = true
		v.majorityRespondedAt = v.now
	}
	// What an earlier run of the voter was sent, this one did not hear.
	x := v.voters[from]
	if x.acknowledged == nil {
		x.acknowledged = map[string]notifiedStatus{}
	}
	for _, w := range x.sentByPoll[n] {
		x.acknowledged[w.Group] = notifiedStatus{w.Revision, w.Idle}
	}
	delete(x.sentByPoll, n)
	if v.renewLease(v.polls[i]) {
		v.nextPoll = max(v.nextPoll, min(v.polls[i].sentAt+pollInterval, v.lastPoll+pollInterval))
	}
}

// renewLease takes the lease that a look gives, if a majority returned it. A voter
// that holds a newer routing table than this process works by does not count:
// so nobody has a lease under a table that is older than one a majority vouched
// for (design 15.3).
func (v *Learner) renewLease(l poll) bool {
	count := 0
	for o := range l.respondedBy {
		if x := v.voters[o]; x != nil && v.isActiveVoter(o, x) && x.cells[TableKey].GetValue().GetRevision() <= v.committed[TableKey].Revision {
			count++
		}
	}
	if !v.membership.Known() || count < v.membership.Quorum() {
		return false
	}
	v.leaseUntil = max(v.leaseUntil, l.sentAt+LeaseDurationUs)
	if v.voterDroppedAt > 0 && l.sentAt > v.voterDroppedAt {
		v.voterDroppedAt = 0
		v.dropStaleHighestSeen()
	}
	return true
}

// dropStaleHighestSeen drops doubts about revisions that no voter holds any more: one that a
// lost disk alone had accepted was never chosen. It is done once a lease rests on
// what the voters of now hold, and no earlier.
func (v *Learner) dropStaleHighestSeen() {
	for k, revision := range v.highestSeen {
		held := v.committed[k].Revision
		for _, x := range v.voters {
			held = max(held, x.cells[k].GetValue().GetRevision())
		}
		if held < revision {
			v.highestSeen[k] = held
			v.changedKeys[k] = true
			v.updateUnconfirmed(k)
		}
	}
}

// Instances are the databases announced, in order of their identities; those
// that are gone are left out.
func (v *Learner) Instances() []ports.Instance {
	var is []ports.Instance
	for _, r := range v.databases {
		if i := DecodeInstance(r); !i.Gone {
			is = append(is, i)
		}
	}
	slices.SortFunc(is, func(a, b ports.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return is
}

// Gone says that a database is known to be gone.
func (v *Learner) Gone(id string) bool {
	r := v.databases[DatabasePrefix+id]
	return r != nil && DecodeInstance(r).Gone
}

// DecodeInstance reads a database's record.
func DecodeInstance(r *schema.Record) ports.Instance {
	d := &schema.DatabaseRecord{}
	if proto.Unmarshal(r.Data, d) != nil {
		return ports.Instance{ID: strings.TrimPrefix(r.Key, DatabasePrefix), Gone: true}
	}
	return ports.Instance{ID: strings.TrimPrefix(r.Key, DatabasePrefix), Group: d.Group, Address: d.Address, Zone: d.Zone, Capacity: int(d.Capacity),
		Draining: d.Draining, Primary: d.Primary, WarmupUs: d.WarmupUs, AnnouncementNumber: r.Timestamp / 2, Gone: d.Gone}
}

// EncodeInstance writes a database's record; one that is gone is newer than what it
// last said.
func EncodeInstance(i ports.Instance) *schema.Record {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(&schema.DatabaseRecord{Group: i.Group, Address: i.Address, Zone: i.Zone, Capacity: int32(i.Capacity),
		Draining: i.Draining, Primary: i.Primary, WarmupUs: i.WarmupUs, Gone: i.Gone})
	if err != nil {
		panic(err)
	}
	s := i.AnnouncementNumber * 2
	if i.Gone {
		s++
	}
	return &schema.Record{Key: DatabasePrefix + i.ID, Timestamp: s, Data: b}
}

// DecodeLeadership reads a group's register.
func DecodeLeadership(c CommittedValue) *schema.Leadership {
	l := &schema.Leadership{}
	if proto.Unmarshal(c.Data, l) != nil {
		return &schema.Leadership{}
	}
	return l
}

// Leaderships are all that are agreed, by group.
func (v *Learner) Leaderships() map[string]ports.Leadership {
	m := map[string]ports.Leadership{}
	for k, c := range v.committed {
		if g, ok := strings.CutPrefix(k, LeaderPrefix); ok {
			l := DecodeLeadership(c)
			m[g] = ports.Leadership{Revision: c.Revision, Term: l.Term, Primary: l.Primary, Address: l.Address, Phase: ports.Phase(l.Phase), LastFailoverUs: l.LastFailoverUs, TableRevision: l.TableRevision}
		}
	}
	return m
}
