// Package coordinator is the control plane where databases announce themselves
// (design 14): a voter, the mergeable records of the databases, the operators'
// routing table and each group's change of primary. Core is deterministic;
// Process puts disk, links and the platform's calls around it.
package coordinator

import (
	"fmt"
	"maps"
	"math"

	"stoneford/crdt"
	"stoneford/failover/fenced"
	"stoneford/internal/invariant"
	"stoneford/internal/learner"
	"stoneford/internal/ports"
	"stoneford/paxos"
	"stoneford/result"
	"stoneford/schema"
	"stoneford/statemachine"
)

// Events.
type (
	// Announce brings a database's word on itself.
	Announce struct {
		ID       uint64
		Instance ports.Instance
	}
	// ChangeTable brings an operator's change.
	ChangeTable struct {
		ID     uint64
		Change ports.TableChange
	}
	// FetchTable asks for the newest table.
	FetchTable struct{ ID uint64 }
	// DatabaseReply ends an Ask.
	DatabaseReply struct {
		Group string
		Reply fenced.DatabaseReply
	}
	// PromoteDone ends a Promote.
	PromoteDone struct {
		Group    string
		OK, Gone bool
	}
	// Stop says that this process leaves.
	Stop struct{}
	// Synced says that all entries up to a mark are on disk.
	Synced struct{ Watermark uint64 }
	// SyncFailed says that the disk refused entries: nothing is known of them, nor of
	// those that came after.
	SyncFailed struct{ Cause string }
)

// Effects.
type (
	// AnnounceDone ends an Announce.
	AnnounceDone struct {
		ID uint64
		OK bool
	}
	// ChangeTableDone ends a Change.
	ChangeTableDone struct {
		ID     uint64
		Result ports.ChangeResult
	}
	// FetchTableDone ends a Fetch.
	FetchTableDone struct {
		ID    uint64
		Table ports.RoutingTable
		OK    bool
	}
	// DatabaseCall puts a question to a database.
	DatabaseCall struct {
		Group string
		Call  fenced.DatabaseCall
	}
	// Promote asks the platform for a change of primary.
	Promote struct {
		Group   string
		Promote fenced.Promote
	}
	// LogEntry is for the log.
	LogEntry struct {
		Code result.Code
		Text string
	}
)

// Effects of one step. Log is to be written and synced in the order of the steps,
// and Synced to come back with Mark after that. Send and Do rest on nothing that
// is not on disk and are done at once: what does rest on it is held back here.
type Effects struct {
	Log       []*schema.WALEntry
	Watermark uint64
	Send      []statemachine.Send
	Do        []any
}

const (
	changeTimeout            = 4_000_000
	ackRetryInterval         = 200_000
	compareInterval          = 5_000_000
	pollerTimeout            = 4_000_000 // a node that did not look so long is not told any more
	ownerTimeout             = 1_300_000 // a control process that was not heard so long carries nothing out
	catchUpInterval          = 400_000
	heartbeatsPerForward     = 3 // announcements that say nothing new, between those passed on
	rehomedHeartbeatLimit    = 2 // announcements that a database did not make here, until it counts as new here
	missedHeartbeatLimit     = 6 // announcements missed until a database counts as gone
	goneRetention            = 120_000_000
	defaultHeartbeatInterval = 1_200_000
	maxUnsyncedSteps         = 64 // steps that wait for the disk before this voter takes no more
	diskRetryInterval        = 500_000
	groupSweepInterval       = 250_000 // groups of which nothing was heard are gone through
)

// acceptedRevision is the newest revision accepted of a register, and the number of the
// change that brought it.
type acceptedRevision struct{ revision, changeNumber uint64 }

// Core is one control process.
type Core struct {
	self                   string
	run                    uint64
	config                 ports.ProcessConfig
	acceptor               *paxos.Acceptor
	reconfigurer           *paxos.Reconfigurer
	proposer               *paxos.Proposer
	learner                *learner.Learner
	databases              *crdt.Store
	changeNumbers          map[string]uint64 // key of a cell or record to the number of its newest change
	changeNumber           uint64
	acceptedRevisions      map[string]acceptedRevision // of each register
	pollers                map[string]*poller
	groups                 map[string]*group
	routingTable           ports.RoutingTable
	tableRevision          uint64
	pendingProposals       map[string]func(int64, paxos.Outcome)
	catchUpAt              map[string]int64
	pendingAnnouncements   map[uint64]*pendingAnnouncement
	pendingCalls           map[uint64]*pendingCall
	pendingChanges         map[string]*pendingChange // by name, while they are decided here
	heartbeatsSinceForward map[string]int            // announcements of a database since one was passed on
	lastHeartbeatHere      map[string]int64          // when a database announced itself here last
	proposalCount          uint64
	announcementNumber     uint64
	activeMembership       uint64 // number of the membership that the acceptor votes under, as far as it is on disk
	activatedAt            int64  // since when, 0 if it did when this process started
	removedAt              int64  // since when this process, which leaves, does not vote any more
	draining               bool
	startedAt              int64
	lastStep               int64
	pacing                 pacing
	disconnectedAt         int64 // when this process was last without a majority's lease
	lackedLease            bool  // this process lacked a lease once
	nextCompare            int64
	nextExpiry             int64
	nextSweep              int64
	nextCatchUp            int64 // when registers in doubt are looked for again
	compareTurn            int
	pushNeeded             bool              // something that nodes are to be told
	membershipChange       uint64            // number of the newest change of the membership, or of what this process votes under
	convergedTables        map[string]uint64 // see schema.Poll, of each voter
	convergedTable         uint64
	due                    int64
	loopback               []*schema.Envelope
	effects                Effects
	watermark              uint64 // of the newest entries handed out
	unsynced               []unsyncedStep
	syncedCells            map[string]*schema.RegisterState // what this voter accepted, as far as it is on disk
	diskUnhealthy          bool                             // the disk refuses
	repairWatermark        uint64                           // mark of the snapshot that ends that
	diskRetryAt            int64                            // when it is tried again, 0 while it is tried
	checks                 invariant.Checks
	contactLostLogged      bool // the log was told that no majority vouches for what is known here
}

// NewCore makes a control process on top of an acceptor that was restored, or is
// new; run must be another than any earlier run's.
func NewCore(b ports.ProcessConfig, v *paxos.Acceptor, run uint64) *Core {
	self := b.ControlNodeAddress()
	c := &Core{self: self, run: run, config: b, acceptor: v, proposer: paxos.NewProposer(self, fmt.Sprint(run), b.SeedVoterAddresses()),
		reconfigurer: paxos.NewReconfigurer(self, fmt.Sprint(run)),
		learner:      learner.New(self, b.SeedVoterAddresses(), b.Zone, b.Name, "control", run), databases: crdt.New(self),
		changeNumbers: map[string]uint64{}, acceptedRevisions: map[string]acceptedRevision{}, pollers: map[string]*poller{}, groups: map[string]*group{},
		pendingProposals: map[string]func(int64, paxos.Outcome){}, catchUpAt: map[string]int64{}, pendingAnnouncements: map[uint64]*pendingAnnouncement{}, pendingCalls: map[uint64]*pendingCall{}, pendingChanges: map[string]*pendingChange{}, heartbeatsSinceForward: map[string]int{}, lastHeartbeatHere: map[string]int64{}, convergedTables: map[string]uint64{}}
	c.proposer.LocalState = v.RegisterState
	c.announcementNumber = run // a return to an earlier run's announcement ends none of this one's
	c.syncedCells = map[string]*schema.RegisterState{}
	c.pacing = pacing{}
	return c
}

// Start brings what the voter restored into the numbered changes.
func (c *Core) Start(now int64) {
	c.startedAt, c.lastStep = now, now
	for _, k := range c.acceptor.AcceptedKeys() {
		c.syncedCells[k] = c.acceptor.RegisterState(k)
		c.increment(k)
		c.noteAccepted(now, k)
	}
	c.activeMembership = c.acceptor.ActiveMembership()
	c.adoptMembership(now, c.acceptor.Membership())
}

func (c *Core) increment(k string) {
	c.changeNumber++
	c.changeNumbers[k] = c.changeNumber
	if d := c.syncedCells[k]; d != nil && c.acceptedRevisions[k].revision != d.Value.Revision {
		c.acceptedRevisions[k] = acceptedRevision{revision: d.Value.Revision, changeNumber: c.changeNumber}
	}
	c.pushNeeded = true
}

func (c *Core) proposalName() string {
	c.proposalCount++
	return fmt.Sprintf("%s#%d#%d", c.self, c.run, c.proposalCount)
}

func (c *Core) logf(code result.Code, f string, a ...any) {
	c.effects.Do = append(c.effects.Do, LogEntry{Code: code, Text: fmt.Sprintf(f, a...)})
}

// UpdateConfig takes settings that changed.
func (c *Core) UpdateConfig(b ports.ProcessConfig) {
	c.config = b
	c.learner.SetContacts(b.SeedVoterAddresses())
}

// Due is when Step has something to do next even if nothing happens.
func (c *Core) Due() int64 { return c.due }

// Step takes events, then does what is due.
func (c *Core) Step(now int64, evs ...any) Effects {
	c.effects, c.pushNeeded = Effects{}, false
	if now-c.lastStep > ownerTimeout {
		// This process itself stood still: what it heard is as old as that.
		for id := range c.heartbeatsSinceForward {
			c.heartbeatsSinceForward[id] = 0
		}
		c.startedAt = now
	}
	c.lastStep = now
	if now >= c.learner.LeaseUntil() {
		c.disconnectedAt = now
	}
	for _, e := range evs {
		c.handleEvent(now, e)
		c.deliverLoopback(now)
	}
	c.tick(now)
	c.deliverLoopback(now)
	if c.pushNeeded {
		c.pushUpdates(now)
		c.deliverLoopback(now)
		c.tickGroups(now)
		c.deliverLoopback(now)
	}
	c.logContact(now)
	c.logViolations()
	c.setDue(now)
	if len(c.effects.Log) > 0 {
		c.watermark++
		c.effects.Watermark = c.watermark
	}
	return c.effects
}

// deliverLoopback hands this process what it sent itself.
func (c *Core) deliverLoopback(now int64) {
	for len(c.loopback) > 0 {
		e := c.loopback[0]
		c.loopback = c.loopback[1:]
		c.handleEnvelope(now, e)
	}
}

func (c *Core) send(ss ...statemachine.Send) {
	for _, s := range ss {
		if s.To == c.self {
			c.loopback = append(c.loopback, s.Envelope)
		} else if c.pacing.admitResponse(c.lastStep, s) {
			c.effects.Send = append(c.effects.Send, s)
		}
	}
}

func (c *Core) handleEvent(now int64, e any) {
	switch e := e.(type) {
	case *schema.Envelope:
		c.handleEnvelope(now, e)
	case Announce:
		c.announce(now, e)
	case ChangeTable:
		c.requestChange(now, e)
	case Move:
		c.requestMove(now, e)
	case CancelMove:
		c.cancelMove(now, e)
	case FetchTable:
		c.fetchTable(now, e)
	case DatabaseReply:
		if g := c.groups[e.Group]; g != nil {
			g.decider.HandleDatabaseReply(now, e.Reply)
			g.changed = true
		}
	case PromoteDone:
		if g := c.groups[e.Group]; g != nil {
			g.decider.HandlePromotionResult(now, e.OK, e.Gone)
			g.changed = true
		}
	case Stop:
		c.draining = true
		c.acceptor.Drain()
		c.learner.RequestPoll()
		c.markAllGroupsChanged() // duties are handed over
	case Synced:
		c.handleSynced(now, e.Watermark)
	case SyncFailed:
		if !c.diskUnhealthy {
			c.diskUnhealthy = true
			c.logf(result.VoterDiskFailed, "%s", e.Cause)
		}
		c.diskRetryAt = now + diskRetryInterval
	}
}

func (c *Core) handleEnvelope(now int64, e *schema.Envelope) {
	if paxos.IsForAcceptor(e) && c.acceptorAvailable() {
		c.holdAcceptorEffects(now, c.acceptor.Step(now, e))
		c.adoptMembership(now, c.acceptor.Membership())
	}
	if paxos.IsForProposer(e) {
		c.takeProposerEffects(now, c.proposer.Step(now, e))
	}
	switch b := e.Body.(type) {
	case *schema.Envelope_Poll:
		c.handlePoll(now, e.From, b.Poll)
	case *schema.Envelope_PollResponse:
		if c.acceptor.IsFounding() {
			return // the founders learn the first membership from each other only (design 3.3)
		}
		if b.PollResponse.Membership != nil {
			c.adoptMembership(now, paxos.MembershipFromProto(b.PollResponse.Membership))
		}
		c.learner.Step(now, e.From, b.PollResponse)
		c.applyLearned(now)
	case *schema.Envelope_AnnouncementForward:
		c.mergeRecords(now, b.AnnouncementForward.Databases)
		if b.AnnouncementForward.Number > 0 {
			c.send(statemachine.Send{To: e.From, Envelope: &schema.Envelope{From: c.self, Body: &schema.Envelope_AnnouncementAck{AnnouncementAck: &schema.AnnouncementAck{Number: b.AnnouncementForward.Number}}}})
		}
	case *schema.Envelope_AnnouncementAck:
		c.countAnnouncementAck(e.From, b.AnnouncementAck.Number)
	case *schema.Envelope_Records:
		c.mergeRecords(now, b.Records.Records)
		c.send(c.databases.Step(now, e).Send...) // what is newer here
	case *schema.Envelope_RangeDigests:
		c.send(c.databases.Step(now, e).Send...)
	}
}

func (c *Core) tick(now int64) {
	c.retryDisk(now)
	if c.acceptorAvailable() {
		c.holdAcceptorEffects(now, c.acceptor.Tick(now))
	}
	c.tickMembership(now)
	c.takeProposerEffects(now, c.proposer.Tick(now))
	c.send(c.learner.Tick(now, c.report)...)
	c.deliverLoopback(now)
	c.rejectCalls(now)
	c.retryAnnouncements(now)
	if now >= c.nextCompare {
		c.nextCompare = now + compareInterval
		c.compareTurn++
		if o := c.learner.Voters()[c.compareTurn%len(c.learner.Voters())]; o != c.self {
			c.send(c.databases.CompareRange(o, "", ""))
		}
		maps.DeleteFunc(c.pollers, func(_ string, f *poller) bool { return now-f.lastPoll > 10*pollerTimeout })
	}
	if now >= c.nextExpiry {
		c.nextExpiry = now + c.heartbeatIntervalUs()
		c.expireDatabases(now)
	}
	c.catchUpRegisters(now)
	c.tickGroups(now)
}

func (c *Core) setDue(now int64) {
	d := min(c.proposer.Due(), c.learner.Due(), c.nextCompare, c.nextExpiry, c.nextSweep, c.moveDue(c.lastStep))
	if c.acceptorAvailable() {
		d = min(d, c.acceptor.Due())
	}
	if c.diskUnhealthy && c.diskRetryAt > 0 {
		d = min(d, c.diskRetryAt)
	}
	d = min(d, c.callsDue(), c.announcementsDue())
	for k, at := range c.catchUpAt {
		if c.learner.Unconfirmed(k) {
			d = min(d, max(at, c.nextCatchUp))
		}
	}
	for _, g := range c.groups {
		d = min(d, g.decider.NextStepAt())
		if g.changed {
			d = now
		}
		if g.freezeRevision > g.clearedRevision {
			d = min(d, g.freezeAcceptedAt+learner.LeaseEndBoundUs)
			if c.startedAt+learner.LeaseEndBoundUs > now {
				d = min(d, c.startedAt+learner.LeaseEndBoundUs)
			}
		}
	}
	c.due = max(d, now+1_000)
	if d == math.MaxInt64 {
		c.due = d
	}
}

// Table is the routing table in force here and its register's revision.
func (c *Core) Table() (ports.RoutingTable, uint64) { return c.routingTable, c.tableRevision }

// Learner is what this process learned from the voters.
func (c *Core) Learner() *learner.Learner { return c.learner }
