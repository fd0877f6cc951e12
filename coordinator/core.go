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
	cutOffAt  int64  // when it was last seen to have no lease
	lacked    bool   // this process lacked a lease once
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
		c.allDirty() // duties are handed over
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
