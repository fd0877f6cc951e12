// Package coordinator is the control plane where databases announce themselves
// (design 14): a voter, the mergeable records of the databases, the operators'
// routing table and each group's change of primary. Core is deterministic;
// Process puts disk, links and the platform's calls around it.
package coordinator

import (
	"fmt"
	"maps"
	"math"

	"stoneford/invariant"
	"stoneford/paxos"
	"stoneford/ports"
	"stoneford/records"
	"stoneford/result"
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
	ackAgain      = 200_000
	compareEvery  = 5_000_000
	followFor     = 4_000_000 // a node that did not look so long is not told any more
	ownerSilent   = 1_300_000 // a control process that was not heard so long carries nothing out
	catchUpEvery  = 400_000
	renewEvery    = 3 // announcements that say nothing new, between those passed on
	movedFactor   = 2 // announcements that a database did not make here, until it counts as new here
	goneFactor    = 6 // announcements missed until a database counts as gone
	forgetGone    = 120_000_000
	defaultBeatUs = 1_200_000
	mostHeld      = 64 // steps that wait for the disk before this voter takes no more
	diskAgain     = 500_000
	allEvery      = 250_000 // groups of which nothing was heard are gone through
)

// toldRevision is the newest revision accepted of a register, and the number of the
// change that brought it.
type toldRevision struct{ revision, seq uint64 }

// Core is one control process.
type Core struct {
	self          string
	run           uint64
	boot          ports.Boot
	voter         *paxos.Acceptor
	reconfigurer  *paxos.Reconfigurer
	proposer      *paxos.Proposer
	view          *voterview.View
	insts         *records.Store
	seqs          map[string]uint64 // key of a cell or record to the number of its newest change
	seq           uint64
	revisions     map[string]toldRevision // of each register
	follow        map[string]*follower
	groups        map[string]*group
	table         ports.RoutingTable
	tableRev      uint64
	pending       map[string]func(int64, paxos.Outcome)
	catching      map[string]int64
	acks          map[uint64]*ack
	calls         map[uint64]*call
	orders        map[string]*order // by name, while they are decided here
	beats         map[string]int    // announcements of a database since one was passed on
	direct        map[string]int64  // when a database announced itself here last
	names         uint64
	number        uint64
	active        uint64 // number of the membership that the acceptor votes under, as far as it is on disk
	activated     int64  // since when, 0 if it did when this process started
	removed       int64  // since when this process, which leaves, does not vote any more
	leaving       bool
	began         int64
	lastStep      int64
	pacing        pacing
	apart         int64 // when this process was last without a majority's lease
	lacked        bool  // this process lacked a lease once
	nextCmp       int64
	nextGone      int64
	nextAll       int64
	nextCatch     int64 // when registers in doubt are looked for again
	turn          int
	changed       bool              // something that nodes are to be told
	membershipSeq uint64            // number of the newest change of the membership, or of what this process votes under
	all           map[string]uint64 // see schema.Look, of each voter
	allTold       uint64
	due           int64
	own           []*schema.Envelope
	fx            Effects
	mark          uint64 // of the newest entries handed out
	held          []held
	cells         map[string]*schema.Cell // what this voter accepted, as far as it is on disk
	ill           bool                    // the disk refuses
	mend          uint64                  // mark of the snapshot that ends that
	diskAt        int64                   // when it is tried again, 0 while it is tried
	checks        invariant.Checks
	lost          bool // the log was told that no majority vouches for what is known here
}

// NewCore makes a control process on top of an acceptor that was restored, or is
// new; run must be another than any earlier run's.
func NewCore(b ports.Boot, v *paxos.Acceptor, run uint64) *Core {
	self := b.ControlNode()
	c := &Core{self: self, run: run, boot: b, voter: v, proposer: paxos.NewProposer(self, fmt.Sprint(run), b.SeedVoters()),
		reconfigurer: paxos.NewReconfigurer(self, fmt.Sprint(run)),
		view:         voterview.New(self, b.SeedVoters(), b.Zone, b.Name, "control", run), insts: records.New(self),
		seqs: map[string]uint64{}, revisions: map[string]toldRevision{}, follow: map[string]*follower{}, groups: map[string]*group{},
		pending: map[string]func(int64, paxos.Outcome){}, catching: map[string]int64{}, acks: map[uint64]*ack{}, calls: map[uint64]*call{}, orders: map[string]*order{}, beats: map[string]int{}, direct: map[string]int64{}, all: map[string]uint64{}}
	c.proposer.Known = v.Cell
	c.number = run // a return to an earlier run's announcement ends none of this one's
	c.cells = map[string]*schema.Cell{}
	c.pacing = pacing{}
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
	c.active = c.voter.Active()
	c.adopt(now, c.voter.Membership())
}

func (c *Core) bump(k string) {
	c.seq++
	c.seqs[k] = c.seq
	if d := c.cells[k]; d != nil && c.revisions[k].revision != d.Value.Revision {
		c.revisions[k] = toldRevision{revision: d.Value.Revision, seq: c.seq}
	}
	c.changed = true
}

func (c *Core) name() string { c.names++; return fmt.Sprintf("%s#%d#%d", c.self, c.run, c.names) }

func (c *Core) say(code result.Code, f string, a ...any) {
	c.fx.Do = append(c.fx.Do, Say{Code: code, Text: fmt.Sprintf(f, a...)})
}

// SetBoot takes settings that changed.
func (c *Core) SetBoot(b ports.Boot) {
	c.boot = b
	c.view.SetContacts(b.SeedVoters())
}

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
	if now >= c.view.LeaseUntil() {
		c.apart = now
	}
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
	c.noteContact(now)
	c.noteViolations()
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
		} else if c.pacing.mayAnswer(c.lastStep, s) {
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
		c.fetch(now, e)
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
		c.voter.Leave()
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
	if paxos.IsForAcceptor(e) && c.takes() {
		c.voted(now, c.voter.Step(now, e))
		c.adopt(now, c.voter.Membership())
	}
	if paxos.IsForProposer(e) {
		c.proposed(now, c.proposer.Step(now, e))
	}
	switch b := e.Body.(type) {
	case *schema.Envelope_Look:
		c.look(now, e.From, b.Look)
	case *schema.Envelope_LookReturn:
		if c.voter.Founds() {
			return // the founders learn the first membership from each other only (design 3.3)
		}
		if b.LookReturn.Membership != nil {
			c.adopt(now, paxos.ReadMembership(b.LookReturn.Membership))
		}
		c.view.Step(now, e.From, b.LookReturn)
		c.learned(now)
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
	}
	c.membershipTick(now)
	c.proposed(now, c.proposer.Tick(now))
	c.send(c.view.Tick(now, c.report)...)
	c.drain(now)
	c.refuseCalls(now)
	c.announceAgain(now)
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
		d = min(d, c.voter.Due())
	}
	if c.ill && c.diskAt > 0 {
		d = min(d, c.diskAt)
	}
	d = min(d, c.callsDue(), c.announceDue())
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
