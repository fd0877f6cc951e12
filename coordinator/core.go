// Package coordinator is the control plane where databases announce themselves
// (design 14): a voter, the mergeable records of the databases, the operators'
// routing table and each group's change of primary. Core is deterministic;
// Process puts disk, links and the platform's calls around it.
package coordinator

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"stoneford/ballots"
	"stoneford/ports"
	"stoneford/records"
	"stoneford/result"
	"stoneford/routingtable"
	"stoneford/schema"
	"stoneford/step"
	"stoneford/switchover"
	"stoneford/voterview"
)

// Events.
type (
	// Announce brings a database's word on itself.
	Announce struct {
		ID       uint64
		Instance ports.Instance
	}
	// Change brings an operator's change.
	Change struct {
		ID     uint64
		Change ports.TableChange
	}
	// Fetch asks for the newest table.
	Fetch struct{ ID uint64 }
	// Said ends an Ask.
	Said struct {
		Group string
		Said  switchover.Said
	}
	// Promoted ends a Promote.
	Promoted struct {
		Group    string
		OK, Gone bool
	}
	// Stop says that this process leaves.
	Stop struct{}
	// Synced says that all entries up to a mark are on disk.
	Synced struct{ Mark uint64 }
	// Unsynced says that the disk refused entries: nothing is known of them, nor of
	// those that came after.
	Unsynced struct{ Err string }
)

// Effects.
type (
	// Announced ends an Announce.
	Announced struct {
		ID uint64
		OK bool
	}
	// Changed ends a Change.
	Changed struct {
		ID     uint64
		Result ports.ChangeResult
	}
	// Fetched ends a Fetch.
	Fetched struct {
		ID    uint64
		Table ports.RoutingTable
		OK    bool
	}
	// Ask puts a question to a database.
	Ask struct {
		Group string
		Ask   switchover.Ask
	}
	// Promote asks the platform for a change of primary.
	Promote struct {
		Group   string
		Promote switchover.Promote
	}
	// Say is for the log.
	Say struct {
		Code result.Code
		Text string
	}
)

// Effects of one step. Log is to be written and synced in the order of the steps,
// and Synced to come back with Mark after that. Send and Do rest on nothing that
// is not on disk and are done at once: what does rest on it is held back here.
type Effects struct {
	Log  []*schema.VoterLog
	Mark uint64
	Send []step.Send
	Do   []any
}

// held is what a voter's step asks for, until its entries are on disk.
type held struct {
	mark   uint64
	sends  []step.Send
	cells  []*schema.Cell
	formed bool
}

const (
	changeExpiry  = 4_000_000
	ackExpiry     = 900_000
	ackAgain      = 200_000
	compareEvery  = 5_000_000
	followFor     = 4_000_000 // a node that did not look so long is not told any more
	ownerSilent   = 1_300_000 // a control process that was not heard so long carries nothing out
	catchUpEvery  = 400_000
	renewEvery    = 3 // announcements that say nothing new, between those passed on
	goneFactor    = 6 // announcements missed until a database counts as gone
	forgetGone    = 120_000_000
	defaultBeatUs = 1_200_000
	mostHeld      = 64 // steps that wait for the disk before this voter takes no more
	diskAgain     = 500_000
	allEvery      = 250_000 // groups of which nothing was heard are gone through
)

type follower struct {
	seq      uint64
	at       int64
	returned int64 // when it was last sent a return
	kind     string
	name     string
	run      uint64
	leaving  bool
	bodies   bool
	counts   bool // a control process that counts
	sights   []*schema.Sighting
	words    map[string]*schema.GroupWord
	tables   map[uint64]tableSeen // of each run
	behind   []string
}

// tableSeen is the newest routing table that a run of a process said it works
// by, and when it looked last.
type tableSeen struct {
	at       int64
	revision uint64
}

type group struct {
	decider *switchover.Group
	sealed  uint64 // revision of the newest sealing accepted here
	at      int64  // when
	before  map[string]bool
	cleared uint64                    // newest sealing that no node that looked here goes against
	told    uint64                    // newest cleared that the others were told
	insts   map[string]ports.Instance // announced, and those that are gone
	order   []string                  // control processes, first the one that carries changes out
	putting int64                     // when a change of its move was put to the vote, 0 for none
	dirty   bool
}

type ack struct {
	id    uint64
	recs  []*schema.Record
	by    map[string]bool // voters that have it
	until int64
	again int64
}

// Core is one control process.
type Core struct {
	self      string
	run       uint64
	boot      ports.Boot
	voter     *ballots.Voter
	proposer  *ballots.Proposer
	view      *voterview.View
	insts     *records.Store
	seqs      map[string]uint64 // key of a cell or record to the number of its newest change
	seq       uint64
	follow    map[string]*follower
	groups    map[string]*group
	table     ports.RoutingTable
	tableRev  uint64
	pending   map[string]func(int64, ballots.Outcome)
	catching  map[string]int64
	acks      map[uint64]*ack
	beats     map[string]int // announcements of a database since one was passed on
	names     uint64
	number    uint64
	formed    bool
	leaving   bool
	began     int64
	lastStep  int64
	nextCmp   int64
	nextGone  int64
	nextAll   int64
	nextCatch int64 // when registers in doubt are looked for again
	turn      int
	changed   bool // something that nodes are to be told
	stood     []*schema.Standing
	stoodSeq  uint64
	rostered  bool
	all       map[string]uint64 // see schema.Look, of each voter
	allTold   uint64
	due       int64
	own       []*schema.Envelope
	fx        Effects
	mark      uint64 // of the newest entries handed out
	held      []held
	cells     map[string]*schema.Cell // what this voter accepted, as far as it is on disk
	ill       bool                    // the disk refuses
	mend      uint64                  // mark of the snapshot that ends that
	diskAt    int64                   // when it is tried again, 0 while it is tried
	founding  *founding               // nil where the voters are known
	voters    int                     // how many were told of
}

// NewCore makes a control process on top of a voter that was restored, or is
// new; run must be another than any earlier run's, and voters are empty where they
// are not known yet.
func NewCore(b ports.Boot, v *ballots.Voter, voters []string, run uint64) *Core {
	self := b.ControlNode()
	seen := voters
	if len(voters) == 0 {
		seen = b.SeedVoters() // these are asked who the voters are
	}
	c := &Core{self: self, run: run, boot: b, voter: v, proposer: ballots.NewProposer(self, fmt.Sprint(run), voters),
		view: voterview.New(self, seen, b.Zone, b.Name, "control", run), insts: records.New(self),
		seqs: map[string]uint64{}, follow: map[string]*follower{}, groups: map[string]*group{},
		pending: map[string]func(int64, ballots.Outcome){}, catching: map[string]int64{}, acks: map[uint64]*ack{}, beats: map[string]int{}, all: map[string]uint64{}}
	c.proposer.Known = v.Cell
	c.number = run // a return to an earlier run's announcement ends none of this one's
	c.cells = map[string]*schema.Cell{}
	c.view.SetCounts(b.QuorumMember)
	return c
}

// Start brings what the voter restored into the numbered changes.
func (c *Core) Start(now int64) {
	c.began, c.lastStep = now, now
	for _, k := range c.voter.Keys() {
		c.cells[k] = c.voter.Cell(k)
		c.bump(k)
		c.accepted(now, k)
	}
	c.formed = c.voter.Formed()
}

func (c *Core) bump(k string) {
	c.seq++
	c.seqs[k] = c.seq
	c.changed = true
}

func (c *Core) name() string { c.names++; return fmt.Sprintf("%s#%d#%d", c.self, c.run, c.names) }

func (c *Core) say(code result.Code, f string, a ...any) {
	c.fx.Do = append(c.fx.Do, Say{Code: code, Text: fmt.Sprintf(f, a...)})
}

// SetBoot takes settings that changed.
func (c *Core) SetBoot(b ports.Boot) { c.boot = b }

// Due is when Step has something to do next even if nothing happens.
func (c *Core) Due() int64 { return c.due }

// Step takes events, then does what is due.
func (c *Core) Step(now int64, evs ...any) Effects {
	c.fx, c.changed = Effects{}, false
	if now-c.lastStep > ownerSilent {
		// This process itself stood still: what it heard is as old as that.
		for id := range c.beats {
			c.beats[id] = 0
		}
		c.began = now
	}
	c.lastStep = now
	for _, e := range evs {
		c.event(now, e)
		c.drain(now)
	}
	c.tick(now)
	c.drain(now)
	if c.changed {
		c.push(now)
		c.drain(now)
		c.groupsTick(now)
		c.drain(now)
	}
	c.setDue(now)
	if len(c.fx.Log) > 0 {
		c.mark++
		c.fx.Mark = c.mark
	}
	return c.fx
}

// drain hands this process what it sent itself.
func (c *Core) drain(now int64) {
	for len(c.own) > 0 {
		e := c.own[0]
		c.own = c.own[1:]
		c.envelope(now, e)
	}
}

func (c *Core) send(ss ...step.Send) {
	for _, s := range ss {
		if s.To == c.self {
			c.own = append(c.own, s.Env)
		} else {
			c.fx.Send = append(c.fx.Send, s)
		}
	}
}

func (c *Core) event(now int64, e any) {
	switch e := e.(type) {
	case *schema.Envelope:
		c.envelope(now, e)
	case Announce:
		c.announce(now, e)
	case Change:
		c.change(now, e)
	case Move:
		c.moveTo(now, e)
	case CancelMove:
		c.cancelMove(now, e)
	case Fetch:
		c.read(now, voterview.TableKey, func(now int64, o ballots.Outcome) {
			t, err := routingtable.Decode(o.Value.GetData())
			c.fx.Do = append(c.fx.Do, Fetched{ID: e.ID, Table: t, OK: o.Verdict == ballots.Agreed && err == nil && t.Revision > 0})
		})
	case Said:
		if g := c.groups[e.Group]; g != nil {
			g.decider.Said(now, e.Said)
			g.dirty = true
		}
	case Promoted:
		if g := c.groups[e.Group]; g != nil {
			g.decider.Promoted(now, e.OK, e.Gone)
			g.dirty = true
		}
	case Stop:
		c.leaving = true
		c.view.Want()
	case Synced:
		c.synced(now, e.Mark)
	case Unsynced:
		if !c.ill {
			c.ill = true
			c.say(result.VoterSilent, "%s", e.Err)
		}
		c.diskAt = now + diskAgain
	}
}

// synced lets go of what waited for entries that are on disk now.
func (c *Core) synced(now int64, mark uint64) {
	if c.ill && mark >= c.mend && c.mend > 0 {
		c.ill, c.mend, c.diskAt = false, 0, 0
		c.say(result.VoterBack, "%s", c.self)
	}
	for len(c.held) > 0 && c.held[0].mark <= mark {
		h := c.held[0]
		c.held = c.held[1:]
		c.release(now, h)
	}
}

func (c *Core) release(now int64, h held) {
	for _, d := range h.cells {
		c.cells[d.Key] = d
		c.bump(d.Key)
		c.accepted(now, d.Key)
	}
	if h.formed != c.formed {
		c.formed = h.formed
		c.changed = true
		if h.formed {
			c.say(result.VoterFormed, "%s", c.self)
		}
	}
	c.send(h.sends...)
}

// tryDisk hands out the whole state once more after the disk refused entries.
func (c *Core) tryDisk(now int64) {
	if c.ill && c.diskAt > 0 && now >= c.diskAt {
		c.diskAt = 0
		c.fx.Log = append(c.fx.Log, c.Snapshot())
		c.mend = c.mark + 1
	}
}

// takes says whether the voter takes part: not while its disk refuses, nor while
// much waits for it.
func (c *Core) takes() bool { return !c.ill && len(c.held) < mostHeld }

func (c *Core) envelope(now int64, e *schema.Envelope) {
	switch b := e.Body.(type) {
	case *schema.Envelope_Prepare, *schema.Envelope_Accept, *schema.Envelope_Join, *schema.Envelope_JoinReturn:
		switch {
		case !c.takes():
		case e.Founding:
			c.founding.take(c, now, e)
		default:
			c.voted(now, c.voter.Step(now, e))
		}
	case *schema.Envelope_Promise, *schema.Envelope_Accepted:
		if e.Founding {
			c.founding.answered(c, now, e)
		} else {
			c.proposed(now, c.proposer.Step(now, e))
		}
	case *schema.Envelope_Look:
		c.look(now, e.From, b.Look)
	case *schema.Envelope_LookReturn:
		c.view.Step(now, e.From, b.LookReturn)
		c.learned(now)
		if c.takes() && e.From != c.self {
			c.voted(now, c.voter.Step(now, e))
		}
		if len(b.LookReturn.Voters) > 0 {
			c.adopt(now, b.LookReturn.Voters)
		}
	case *schema.Envelope_Announced:
		c.merge(now, b.Announced.Instances)
		if b.Announced.Number > 0 {
			c.send(step.Send{To: e.From, Env: &schema.Envelope{From: c.self, Body: &schema.Envelope_AnnouncedReturn{AnnouncedReturn: &schema.AnnouncedReturn{Number: b.Announced.Number}}}})
		}
	case *schema.Envelope_AnnouncedReturn:
		c.acked(e.From, b.AnnouncedReturn.Number)
	case *schema.Envelope_Records:
		c.merge(now, b.Records.Records)
		c.send(c.insts.Step(now, e).Send...) // what is newer here
	case *schema.Envelope_RangeDigests:
		c.send(c.insts.Step(now, e).Send...)
	}
}

// voted holds what a voter's step asks for until its entries, and those of the
// steps before it, are on disk.
func (c *Core) voted(now int64, fx ballots.Effects) {
	h := held{sends: fx.Send, formed: c.voter.Formed()}
	for _, k := range fx.Chosen {
		h.cells = append(h.cells, c.voter.Cell(k))
	}
	c.hold(now, fx.Log, h)
}

func (c *Core) hold(now int64, log []*schema.VoterLog, h held) {
	c.fx.Log = append(c.fx.Log, log...)
	switch {
	case len(log) > 0 || len(c.fx.Log) > 0:
		h.mark = c.mark + 1
	case len(c.held) > 0:
		h.mark = c.held[len(c.held)-1].mark
	default:
		c.release(now, h)
		return
	}
	if len(log) > 0 || len(h.sends) > 0 || len(h.cells) > 0 {
		c.held = append(c.held, h)
	}
}

// accepted notes when a sealing came here first: nodes that looked before may
// work by what was before it.
func (c *Core) accepted(now int64, k string) {
	n, ok := strings.CutPrefix(k, voterview.LeaderPrefix)
	if !ok {
		return
	}
	l := voterview.Leadership(voterview.Chosen{Data: c.cells[k].GetValue().GetData()})
	g := c.group(n)
	if l.SealRev <= g.sealed {
		return
	}
	g.sealed, g.at, g.before = l.SealRev, now, map[string]bool{}
	for a, f := range c.follow {
		if f.kind == "pool" && now-f.returned < voterview.WaitUs {
			g.before[a] = true
		}
	}
}

// clearedHere says whether no node that this voter sent a return before it
// accepted the sealing relies on that return any more (design 14.6).
func (c *Core) clearedHere(now int64, n string, g *group) bool {
	if now-g.at >= voterview.WaitUs {
		return true
	}
	if now-c.began < voterview.WaitUs {
		return false // what an earlier run returned is not known
	}
	for a := range g.before {
		if f := c.follow[a]; f == nil || f.words[n].GetRevision() < g.sealed {
			return false
		}
	}
	return true
}

// cleared says whether a majority of voters is clear of what was before a
// sealing.
func (c *Core) cleared(now int64, n string, g *group, rev uint64) bool {
	if rev == 0 {
		return false
	}
	k := 0
	for _, o := range c.view.Voters() {
		if o == c.self {
			if g.sealed >= rev && g.cleared >= rev {
				k++
			}
		} else if f := c.follow[o]; f != nil {
			if w := f.words[n]; w.GetQuiet() && w.Revision >= rev {
				k++
			}
		}
	}
	return k > len(c.view.Voters())/2
}

func (c *Core) group(n string) *group {
	g := c.groups[n]
	if g == nil {
		g = &group{decider: switchover.New(), insts: map[string]ports.Instance{}}
		c.groups[n] = g
	}
	return g
}

func (c *Core) proposed(now int64, fx ballots.ProposerEffects) {
	c.send(fx.Send...)
	for _, o := range fx.Outcomes {
		if f := c.pending[o.Change.Name]; f != nil {
			delete(c.pending, o.Change.Name)
			f(now, o)
		}
	}
}

func (c *Core) ask(now int64, ch ballots.Change, f func(int64, ballots.Outcome)) {
	c.pending[ch.Name] = f
	c.proposed(now, c.proposer.Ask(now, ch))
}

func (c *Core) read(now int64, key string, f func(int64, ballots.Outcome)) {
	c.ask(now, ballots.Change{Name: c.name(), Key: key, Read: true, Expiry: now + changeExpiry}, f)
}

// look returns what changed here since the asker's last.
func (c *Core) look(now int64, from string, m *schema.Look) {
	f := c.follow[from]
	if f == nil || f.run != m.Run {
		old := f
		f = &follower{words: map[string]*schema.GroupWord{}, run: m.Run, tables: map[uint64]tableSeen{}}
		if old != nil {
			f.tables = old.tables // an earlier run's look may come late, or its lease be in use yet
		}
		c.follow[from] = f
	}
	since := m.Seq
	if m.Life != c.run {
		since = 0
	}
	for _, ss := range [][]*schema.Sighting{f.sights, m.Sightings} {
		for _, s := range ss {
			if r := c.insts.Get(voterview.DatabasePrefix + s.Id); r != nil {
				c.group(voterview.Instance(r).Group).dirty = true
			}
		}
	}
	f.at, f.kind, f.name, f.leaving, f.bodies, f.sights, f.seq = now, m.Kind, m.Name, m.Leaving, m.Bodies, m.Sightings, since
	c.lookedBy(now, from, f, m)
	for _, w := range m.Groups {
		f.words[w.Group] = w
		c.group(w.Group).dirty = true
	}
	f.returned, f.counts = now, m.Counts
	c.send(step.Send{To: from, Env: c.news(from, f, m.Number)})
	f.seq = c.seq // what does not arrive shows in the next look
}

// news is what changed since a follower's last look.
func (c *Core) news(to string, f *follower, number uint64) *schema.Envelope {
	r := &schema.LookReturn{Number: number, Life: c.run, Seq: c.seq, Since: f.seq, Formed: c.formed,
		Nodes: uint32(c.nodes()), Bodies: f.bodies}
	if ss := c.voter.Standings(); !slices.EqualFunc(ss, c.stood, func(a, b *schema.Standing) bool { return a.Voter == b.Voter && a.Generation == b.Generation }) || c.rostered != c.formed || c.voters != len(c.voter.Voters()) {
		c.stood, c.rostered, c.voters = ss, c.formed, len(c.voter.Voters())
		c.seq++
		c.stoodSeq = c.seq
		r.Seq = c.seq
	}
	if f.seq < c.stoodSeq {
		// Those who have heard it keep it.
		r.Standings, r.Voters, r.Zone = c.stood, slices.Sorted(slices.Values(c.voter.Voters())), c.boot.Zone
	}
	if f.seq < c.seq {
		for _, k := range slices.Sorted(maps.Keys(c.seqs)) {
			if c.seqs[k] <= f.seq {
				continue
			}
			if strings.HasPrefix(k, voterview.DatabasePrefix) {
				r.Instances = append(r.Instances, c.insts.Get(k))
			} else if d := c.cells[k]; d != nil {
				w := &schema.Cell{Key: k, Accepted: d.Accepted, Value: &schema.Value{Revision: d.Value.Revision}}
				if f.bodies || k != voterview.TableKey {
					w.Value.Data = d.Value.Data
				}
				r.Cells = append(r.Cells, w)
			}
		}
	}
	return &schema.Envelope{From: c.self, Body: &schema.Envelope_LookReturn{LookReturn: r}}
}

// push tells all that looked lately what changed.
func (c *Core) push(now int64) {
	for _, a := range slices.Sorted(maps.Keys(c.follow)) {
		f := c.follow[a]
		if now-f.at < followFor && f.seq < c.seq {
			c.send(step.Send{To: a, Env: c.news(a, f, 0)})
			f.seq = c.seq
		}
	}
}

func (c *Core) nodes() int {
	n := 0
	for _, f := range c.follow {
		if f.kind == "pool" && !f.leaving && c.lastStep-f.at < followFor {
			n++
		}
	}
	return n
}

// learned takes what the view found agreed.
func (c *Core) learned(now int64) {
	ks, _ := c.view.Take()
	for _, k := range ks {
		if k == voterview.TableKey {
			if v, ok := c.view.Agreed(k); ok && v.Revision > c.tableRev {
				t, err := routingtable.Decode(v.Data)
				if err != nil {
					c.say(result.InvalidConfiguration, "%s revision %d: %v", k, v.Revision, err)
					continue
				}
				c.table, c.tableRev = t, v.Revision
				c.say(result.RevisionApplied, "routes revision %d, the operators' %d", v.Revision, t.Revision)
				for _, g := range t.Groups {
					c.group(g.Name).dirty = true
				}
				c.view.Want() // a move may wait to hear that this process works by it
			}
		}
	}
	for _, k := range ks {
		for _, p := range []string{voterview.LeaderPrefix, voterview.MembersPrefix, voterview.MovePrefix} {
			if n, ok := strings.CutPrefix(k, p); ok {
				c.group(n).dirty = true
			}
		}
	}
}

// announce takes a database's word. What rests on its acknowledgement, that it
// leaves or is gone, is acknowledged once a majority of control processes has
// it.
func (c *Core) announce(now int64, e Announce) {
	k := voterview.DatabasePrefix + e.Instance.ID
	if o := c.insts.Get(k); o != nil && e.Instance.Gone {
		// The last word names nothing but its identity.
		was := voterview.Instance(o)
		was.Gone, was.Call = true, max(was.Call, e.Instance.Call)
		e.Instance = was
	}
	r := voterview.Record(e.Instance)
	told := c.merge(now, []*schema.Record{r})
	c.beats[e.Instance.ID]++
	rests := e.Instance.Leaving || e.Instance.Gone
	pass := told || rests || c.beats[e.Instance.ID] >= renewEvery
	if pass {
		c.beats[e.Instance.ID] = 0
	}
	if !rests {
		if pass {
			c.announced(0, []*schema.Record{r})
		}
		c.fx.Do = append(c.fx.Do, Announced{ID: e.ID, OK: true})
		return
	}
	c.number++
	c.acks[c.number] = &ack{id: e.ID, recs: []*schema.Record{r}, by: map[string]bool{}, until: now + ackExpiry, again: now + ackAgain}
	c.announced(c.number, []*schema.Record{r})
	c.acked(c.self, c.number)
}

func (c *Core) announced(n uint64, rs []*schema.Record) {
	for _, o := range c.view.Voters() {
		if o != c.self {
			c.send(step.Send{To: o, Env: &schema.Envelope{From: c.self, Body: &schema.Envelope_Announced{Announced: &schema.Announced{Number: n, Instances: rs}}}})
		}
	}
}

// acked counts a voter that has an announcement; a majority of them ends it.
func (c *Core) acked(from string, n uint64) {
	a := c.acks[n]
	if a == nil || !slices.Contains(c.view.Voters(), from) {
		return
	}
	if a.by[from] = true; len(a.by) > len(c.view.Voters())/2 && c.known() {
		delete(c.acks, n)
		c.fx.Do = append(c.fx.Do, Announced{ID: a.id, OK: true})
	}
}

// merge takes records of databases and says whether one of them said something
// new.
func (c *Core) merge(now int64, rs []*schema.Record) bool {
	told := false
	for _, r := range rs {
		old := c.insts.Get(r.Key)
		if len(c.insts.Put(now, r)) > 0 {
			told = c.merged(now, r, old) || told
		}
	}
	return told
}

func (c *Core) merged(now int64, r, old *schema.Record) bool {
	if old != nil && slices.Equal(old.Data, r.Data) {
		return false // only its stamp
	}
	c.bump(r.Key)
	i := voterview.Instance(r)
	g := c.group(i.Group)
	g.insts[i.ID], g.dirty = i, true
	c.say(result.InstanceSaid, "%s of %s at %s: leaves %t, leads %t, gone %t", i.ID, i.Group, i.Address, i.Leaving, i.Primary, i.Gone)
	return true
}

// change reads the newest table through a majority, checks the change against it
// and puts it to the vote.
func (c *Core) change(now int64, e Change) {
	ret := func(o ports.Outcome, rev uint64, ps ...string) {
		c.fx.Do = append(c.fx.Do, Changed{ID: e.ID, Result: ports.ChangeResult{Outcome: o, Revision: rev, Problems: ps}})
	}
	c.read(now, voterview.TableKey, func(now int64, o ballots.Outcome) {
		cur, err := routingtable.Decode(o.Value.GetData())
		switch {
		case o.Verdict != ballots.Agreed || err != nil:
			ret(ports.Unavailable, 0)
			return
		case slices.Contains(o.Value.GetChanges(), e.Change.Name):
			ret(ports.Agreed, cur.Revision) // sent again
			return
		case cur.Revision != e.Change.Base:
			ret(ports.Stale, cur.Revision)
			return
		}
		next, ps := routingtable.Apply(cur, e.Change)
		if len(ps) > 0 {
			ret(ports.Invalid, cur.Revision, ps...)
			return
		}
		// Two processes may be putting the very same change to the vote, sent
		// twice: they share its name, so it is made once.
		name := e.Change.Name
		if c.pending[name] != nil {
			ret(ports.Unavailable, cur.Revision)
			return
		}
		c.ask(now, ballots.Change{Name: name, Key: voterview.TableKey, Base: o.Value.GetRevision(), Data: routingtable.Encode(next), Expiry: now + changeExpiry}, func(now int64, o ballots.Outcome) {
			t, _ := routingtable.Decode(o.Value.GetData())
			switch o.Verdict {
			case ballots.Agreed:
				ret(ports.Agreed, t.Revision)
			case ballots.Lost:
				ret(ports.Stale, t.Revision)
			default:
				ret(ports.Unavailable, 0)
			}
		})
	})
}

func (c *Core) tick(now int64) {
	c.tryDisk(now)
	if c.takes() {
		c.voted(now, c.voter.Tick(now))
		c.founding.tick(c, now)
	}
	c.proposed(now, c.proposer.Tick(now))
	c.send(c.view.Tick(now, c.report)...)
	c.drain(now)
	for _, n := range slices.Sorted(maps.Keys(c.acks)) {
		a := c.acks[n]
		switch {
		case now >= a.until:
			delete(c.acks, n)
			c.fx.Do = append(c.fx.Do, Announced{ID: a.id})
		case now >= a.again:
			a.again = now + ackAgain
			c.announced(n, a.recs)
		}
	}
	if now >= c.nextCmp {
		c.nextCmp = now + compareEvery
		c.turn++
		if o := c.view.Voters()[c.turn%len(c.view.Voters())]; o != c.self {
			c.send(c.insts.Compare(o, "", ""))
		}
		maps.DeleteFunc(c.follow, func(_ string, f *follower) bool { return now-f.at > 10*followFor })
	}
	if now >= c.nextGone {
		c.nextGone = now + c.beatUs()
		c.expire(now)
	}
	c.catchUp(now)
	c.groupsTick(now)
}

func (c *Core) beatUs() int64 {
	if c.boot.BeatUs > 0 {
		return c.boot.BeatUs
	}
	return defaultBeatUs
}

// expire takes databases that were silent for long as gone, unless this process
// may be the one that hears nothing.
func (c *Core) expire(now int64) {
	if now >= c.view.LeaseUntil() || now-c.began < goneFactor*c.beatUs() {
		return
	}
	var old []string
	c.insts.Each(voterview.DatabasePrefix, func(r *schema.Record) {
		i := voterview.Instance(r)
		age := c.insts.AgeUs(now, r.Key)
		switch {
		case i.Gone && age > forgetGone:
			old = append(old, r.Key)
		case !i.Gone && age > goneFactor*c.beatUs():
			i.Gone = true
			c.merge(now, []*schema.Record{voterview.Record(i)})
		}
	})
	for _, k := range old {
		i := voterview.Instance(c.insts.Get(k))
		delete(c.group(i.Group).insts, i.ID)
		c.insts.Forget(k)
		delete(c.seqs, k)
	}
}

// catchUp settles registers of which a voter holds more than is known as agreed:
// whoever made the revision may have died before a majority had it.
func (c *Core) catchUp(now int64) {
	if !c.formed || now < c.nextCatch {
		return
	}
	c.nextCatch = now + catchUpEvery/2
	for _, k := range c.voter.Keys() {
		switch {
		case !c.view.Doubt(k):
			delete(c.catching, k)
		case c.catching[k] == 0:
			c.catching[k] = now + catchUpEvery + int64(step.Hash(c.self, k)%catchUpEvery)
		case now >= c.catching[k]:
			c.catching[k] = now + 2*catchUpEvery
			c.read(now, k, func(int64, ballots.Outcome) {})
		}
	}
}

// report is what this process tells the other voters.
func (c *Core) report() voterview.Report {
	r := voterview.Report{Leaving: c.leaving, Table: c.tableRev, All: c.allTold}
	if c.staged() {
		r.Behind = c.behind(c.lastStep)
	}
	for _, n := range slices.Sorted(maps.Keys(c.groups)) {
		if g := c.groups[n]; g.cleared > 0 {
			g.told = g.cleared
			r.Words = append(r.Words, &schema.GroupWord{Group: n, Revision: g.cleared, Quiet: true})
		}
	}
	return r
}

// owner is the control process that carries a group's changes out: the first, by
// the group's hash, of those heard lately.
func (c *Core) owner(now int64, n string) bool {
	if now-c.began < ownerSilent {
		return false // the others had no time to be heard
	}
	for _, o := range c.group(n).order {
		if o == c.self {
			return !c.leaving
		}
		if f := c.follow[o]; f != nil && now-f.at < ownerSilent && !f.leaving {
			return false
		}
	}
	return false
}

func (c *Core) groupsTick(now int64) {
	if !c.formed {
		return
	}
	all := now >= c.nextAll
	if all {
		c.nextAll = now + allEvery
	}
	var due []string
	for n, g := range c.groups {
		if all || g.dirty || now >= g.decider.Due() || g.sealed > g.cleared {
			due = append(due, n)
		}
	}
	slices.Sort(due)
	c.sayAll(now)
	for _, n := range due {
		c.groupTick(now, n, c.groups[n])
	}
}

func (c *Core) groupTick(now int64, n string, g *group) {
	g.dirty = false
	if len(g.order) != len(c.view.Voters()) || !slices.Contains(g.order, c.view.Voters()[0]) {
		g.order = step.Rank("change/"+n, c.view.Voters())
	}
	k := voterview.LeaderPrefix + n
	v, ok := c.view.Agreed(k)
	l := &schema.Leadership{}
	if ok {
		l = voterview.Leadership(v)
	}
	if g.sealed > g.cleared && c.clearedHere(now, n, g) {
		g.cleared = g.sealed
		if g.told < g.cleared {
			c.view.Want()
		}
	}
	i := slices.IndexFunc(c.table.Groups, func(t ports.Group) bool { return t.Name == n })
	if i < 0 {
		return
	}
	in := switchover.Input{Group: n, Sync: c.table.Groups[i].Sync, State: l, Rev: v.Revision, Settled: !c.view.Doubt(k),
		Acts: c.owner(now, n) && c.tableRev >= l.Table, Self: c.boot.Name}
	if in.Acts {
		c.sum(now, n, k, g, l, &in)
		c.wanted(n, &in)
	}
	fx := g.decider.Step(now, in)
	if in.Acts {
		c.moveTick(now, n, g, in)
	}
	for _, e := range fx {
		switch e := e.(type) {
		case switchover.Ask:
			c.fx.Do = append(c.fx.Do, Ask{Group: n, Ask: e})
		case switchover.Promote:
			c.fx.Do = append(c.fx.Do, Promote{Group: n, Promote: e})
		case switchover.Say:
			c.say(e.Code, "%s", e.Text)
		case switchover.PutMembers:
			b, err := proto.MarshalOptions{Deterministic: true}.Marshal(&schema.Members{Ids: e.IDs})
			if err != nil {
				panic(err)
			}
			c.ask(now, ballots.Change{Name: c.name(), Key: voterview.MembersPrefix + n, Base: e.Base, Data: b, Expiry: now + changeExpiry}, func(int64, ballots.Outcome) {
				g.decider.MembersDone()
				g.dirty = true
			})
		case switchover.Put:
			c.ask(now, ballots.Change{Name: c.name(), Key: k, Base: e.Base, Data: e.Data, Expiry: now + changeExpiry}, func(int64, ballots.Outcome) {
				g.decider.PutDone()
				g.dirty = true
			})
		}
	}
}

// sum brings what databases and nodes said lately into a decider's input.
func (c *Core) sum(now int64, n, k string, g *group, l *schema.Leadership, in *switchover.Input) {
	in.Heard, in.Gone, in.Sights = map[string]int64{}, map[string]bool{}, map[string]switchover.Sight{}
	for _, id := range slices.Sorted(maps.Keys(g.insts)) {
		if i := g.insts[id]; i.Gone {
			in.Gone[id] = true
		} else {
			in.Instances = append(in.Instances, i)
			in.Heard[id] = now - c.insts.AgeUs(now, voterview.DatabasePrefix+id)
		}
	}
	in.Complete = now-c.began >= goneFactor*c.beatUs()
	if v, ok := c.view.Agreed(voterview.MembersPrefix + n); ok {
		m := &schema.Members{}
		if proto.Unmarshal(v.Data, m) == nil {
			in.Members, in.MembersRev = m.Ids, v.Revision
		}
	}
	in.Quiet, in.Told = true, true
	for _, f := range c.follow {
		if f.kind != "pool" || now-f.at > followFor {
			continue
		}
		in.Nodes++
		for _, s := range f.sights {
			if now-f.at > ownerSilent {
				continue
			}
			w := in.Sights[s.Id]
			w.Nodes++
			if s.Cut {
				w.Cut++
			}
			w.FailingUs = max(w.FailingUs, s.FailingUs+now-f.at)
			in.Sights[s.Id] = w
		}
		w := f.words[n]
		in.Quiet = in.Quiet && w.GetQuiet() && w.GetRevision() >= in.Rev
		in.Told = in.Told && w.GetRevision() >= l.SealRev
		if p := (ports.Position{Term: w.GetAckedTerm(), Number: w.GetAckedNumber()}); in.Acked.Before(p) {
			in.Acked = p
		}
	}
	in.Cleared = c.cleared(now, n, g, l.SealRev)
}

func (c *Core) setDue(now int64) {
	d := min(c.proposer.Due(), c.view.Due(), c.nextCmp, c.nextGone, c.nextAll, c.moveDue(c.lastStep))
	if c.takes() {
		d = min(d, c.voter.Due(), c.founding.due(now))
	}
	if c.ill && c.diskAt > 0 {
		d = min(d, c.diskAt)
	}
	for _, a := range c.acks {
		d = min(d, a.until, a.again)
	}
	for k, at := range c.catching {
		if c.view.Doubt(k) {
			d = min(d, max(at, c.nextCatch))
		}
	}
	for _, g := range c.groups {
		d = min(d, g.decider.Due())
		if g.dirty {
			d = now
		}
		if g.sealed > g.cleared {
			d = min(d, g.at+voterview.WaitUs)
			if c.began+voterview.WaitUs > now {
				d = min(d, c.began+voterview.WaitUs)
			}
		}
	}
	c.due = max(d, now+1_000)
	if d == math.MaxInt64 {
		c.due = d
	}
}

// Table is the routing table in force here and its register's revision.
func (c *Core) Table() (ports.RoutingTable, uint64) { return c.table, c.tableRev }

// View is what this process learned from the voters.
func (c *Core) View() *voterview.View { return c.view }

// Snapshot is the whole state of the voter, and of the founding ballots, as one
// entry of the log.
func (c *Core) Snapshot() *schema.VoterLog {
	l := c.voter.Snapshot()
	l.Founding = c.founding.snapshot()
	return l
}
