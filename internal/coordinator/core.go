package coordinator

import (
	"fmt"
	"slices"
	"time"

	"stoneford/crdt"
	"stoneford/internal/fleetstate"
	"stoneford/internal/invariant"
	"stoneford/internal/learner"
	"stoneford/internal/ports"
	"stoneford/paxos"
	"stoneford/result"
	"stoneford/schema"
)

const (
	// ownerTimeout is the time without a poll after which a control process is
	// considered unable to own singleton roles. It is longer than a lease.
	ownerTimeout = 1300 * time.Millisecond
	// changeTimeout limits how long a proposal to a register is retried. The outcome of
	// a proposal that times out is unknown.
	changeTimeout = 4 * time.Second
	// minStepInterval is the minimum delay before a step that is caused by time alone.
	minStepInterval = time.Millisecond
)

// Core is the state machine of one control process. The types of its fields describe
// the individual parts.
type Core struct {
	self   string // address of this process among the control processes
	run    uint64 // random identifier of this run of the process
	config ports.ProcessConfig

	acceptor     *paxos.Acceptor
	proposer     *paxos.Proposer
	reconfigurer *paxos.Reconfigurer
	learner      *learner.Learner

	disk          voterDisk
	proposals     proposals
	catchUp       catchUp
	databases     *crdt.Store // the announced databases' records
	announcements announcements
	changes       changeLog
	pollers       map[string]*poller // by address
	// lostLeaseEnd is the latest end of a lease of a pool node that was restarted or
	// forgotten, so that its reports are lost.
	lostLeaseEnd int64
	pacing       pacing
	calls        map[uint64]*pendingCall
	table        appliedTable
	tableChanges map[string]*pendingChange // changes that this process is deciding, by digest
	convergence  convergence
	groups       map[string]*group
	nextSweep    int64 // time of the next step of all groups, including idle ones
	contact      contact
	shutdown     shutdown
	maintenance  maintenance

	// startedAt is the time at which this process started or last resumed after a
	// suspension. Messages received before it don't show which processes are alive.
	startedAt int64
	// runStartedAt is the time at which this process started. It remembers all polls that
	// it answered since.
	runStartedAt int64
	lastStep     int64
	due          int64
	effects      Effects            // of the current step
	loopback     []*schema.Envelope // messages that the current step sent to this process itself
	invariants   invariant.Checks
}

// appliedTable is a routing table and the revision of its register.
type appliedTable struct {
	content  ports.RoutingTable
	revision uint64 // revision of the register, not the operators' revision
}

// shutdown tracks the progress of this process's own shutdown.
type shutdown struct {
	draining  bool
	removedAt int64 // when this process noticed that it is no longer a voter, 0 before
}

// Restore creates a control process from the entries of its log. diskID identifies the
// disk if the log is empty, and must be random. run must differ from the value of every
// earlier run.
//
// The voters are read from the log or learned from other processes. On the first start
// of a new installation (Bootstrap) the seeds form the first membership. On any other
// start, a process that knows no voters asks its seeds and forms no membership.
func Restore(config ports.ProcessConfig, entries []*schema.WALEntry, diskID, run uint64) *Core {
	var founders []string
	if config.Bootstrap && len(entries) == 0 {
		founders = slices.Sorted(slices.Values(config.SeedVoterAddresses()))
	}
	location := paxos.Location{Zone: config.Zone, Region: config.Region, Eligible: config.QuorumMember}
	acceptor := paxos.NewAcceptor(config.ControlNodeAddress(), diskID, location, founders)
	for _, entry := range entries {
		acceptor.Restore(entry)
	}
	return NewCore(config, acceptor, run)
}

// NewCore creates a control process with a new or restored acceptor. run must differ
// from the value of every earlier run.
func NewCore(config ports.ProcessConfig, acceptor *paxos.Acceptor, run uint64) *Core {
	self, seeds := config.ControlNodeAddress(), config.SeedVoterAddresses()
	c := &Core{
		self:         self,
		run:          run,
		config:       config,
		acceptor:     acceptor,
		proposer:     paxos.NewProposer(self, fmt.Sprint(run), seeds),
		reconfigurer: paxos.NewReconfigurer(self, fmt.Sprint(run)),
		learner: learner.New(learner.Config{
			Self: self, SeedAddresses: seeds, Zone: config.Zone, Name: config.Name, Kind: fleetstate.KindControl, Run: run,
		}),
		disk:          voterDisk{registers: map[string]*schema.RegisterState{}},
		proposals:     newProposals(self, run),
		catchUp:       catchUp{readAt: map[string]int64{}},
		databases:     crdt.New(self),
		announcements: newAnnouncements(run),
		changes:       newChangeLog(),
		pollers:       map[string]*poller{},
		pacing:        pacing{},
		calls:         map[uint64]*pendingCall{},
		tableChanges:  map[string]*pendingChange{},
		convergence:   convergence{byVoter: map[string]uint64{}},
		groups:        map[string]*group{},
	}
	c.proposer.LocalState = acceptor.RegisterState
	return c
}

// Start initializes the core; it must be called once before the first step. It numbers
// the restored registers as changes, so that they are sent to pollers.
func (c *Core) Start(now int64) {
	c.startedAt, c.runStartedAt, c.lastStep = now, now, now
	for _, key := range c.acceptor.AcceptedKeys() {
		c.registerSynced(now, c.acceptor.RegisterState(key))
	}
	c.disk.activeMembership = c.acceptor.ActiveMembership()
	c.adoptMembership(now, c.acceptor.Membership())
}

// UpdateConfig replaces the process's configuration.
func (c *Core) UpdateConfig(config ports.ProcessConfig) {
	c.config = config
	c.learner.SetSeedAddresses(config.SeedVoterAddresses())
}

// Due returns the time at which Step must be called next if no event arrives before.
func (c *Core) Due() int64 { return c.due }

// Table returns the applied routing table and the revision of its register.
func (c *Core) Table() (ports.RoutingTable, uint64) { return c.table.content, c.table.revision }

// Learner returns the state that this process learned from the voters.
func (c *Core) Learner() *learner.Learner { return c.learner }

// Snapshot returns the complete state of the acceptor as one log entry.
func (c *Core) Snapshot() *schema.WALEntry { return c.acceptor.Snapshot() }

// Step handles events in order, then runs the work that is due at the given time.
func (c *Core) Step(now int64, events ...Event) Effects {
	c.beginStep(now)
	for _, event := range events {
		c.handleEvent(now, event)
		c.deliverLoopback(now)
	}
	c.tick(now)
	c.deliverLoopback(now)
	if c.changes.pushNeeded {
		c.pushUpdates(now)
		c.deliverLoopback(now)
		c.tickGroups(now)
		c.deliverLoopback(now)
	}
	c.logContact(now)
	c.logViolations()
	c.due = c.nextDue(now)
	if len(c.effects.Log) > 0 {
		c.disk.watermark++
		c.effects.Watermark = c.disk.watermark
	}
	return c.effects
}

// beginStep resets the effects and detects that this process was suspended or lost its
// lease since the last step.
func (c *Core) beginStep(now int64) {
	c.effects, c.changes.pushNeeded = Effects{}, false
	if now-c.lastStep > ownerTimeout.Microseconds() {
		// This process was suspended, so everything it heard is at least that old.
		c.announcements.resetForwardCounts()
		c.startedAt = now
	}
	c.lastStep = now
	if now >= c.learner.LeaseUntil() {
		c.contact.disconnectedAt = now
	}
}

func (c *Core) handleEvent(now int64, event Event) {
	switch e := event.(type) {
	case Message:
		c.handleEnvelope(now, e.Envelope)
	case Announce:
		c.announce(now, e)
	case ChangeTable:
		c.changeTable(now, e)
	case FetchTable:
		c.fetchTable(now, e)
	case Move:
		c.requestMove(now, e)
	case CancelMove:
		c.cancelMove(now, e)
	case DatabaseReply:
		if g := c.groups[e.Group]; g != nil {
			g.decider.HandleDatabaseReply(now, e.Reply)
			g.stepRequested = true
		}
	case PromoteDone:
		if g := c.groups[e.Group]; g != nil {
			g.decider.HandlePromotionResult(now, e.OK, e.Gone)
			g.stepRequested = true
		}
	case Stop:
		c.beginShutdown()
	case Synced:
		c.handleSynced(now, e.Watermark)
	case SyncFailed:
		c.handleSyncFailed(now, e.Cause)
	}
}

func (c *Core) handleEnvelope(now int64, envelope *schema.Envelope) {
	if paxos.IsForAcceptor(envelope) && c.disk.available() {
		c.deferAcceptorEffects(now, c.acceptor.Step(now, envelope))
		c.adoptMembership(now, c.acceptor.Membership())
	}
	if paxos.IsForProposer(envelope) {
		c.handleProposerEffects(now, c.proposer.Step(now, envelope))
	}
	switch body := envelope.Body.(type) {
	case *schema.Envelope_Poll:
		c.handlePoll(now, envelope.From, body.Poll)
	case *schema.Envelope_PollResponse:
		c.handlePollResponse(now, envelope.From, body.PollResponse)
	case *schema.Envelope_AnnouncementForward:
		c.handleAnnouncementForward(now, envelope.From, body.AnnouncementForward)
	case *schema.Envelope_AnnouncementAck:
		c.countAnnouncementAck(envelope.From, body.AnnouncementAck.Number)
	case *schema.Envelope_Records:
		c.mergeRecords(now, body.Records.Records)
		c.send(c.databases.Step(now, envelope).Send...) // replies with records that are newer here
	case *schema.Envelope_RangeDigests:
		c.send(c.databases.Step(now, envelope).Send...)
	}
}

// tick runs the work that is due by time. The order matters: a poll may renew the lease,
// so the learner runs before calls without a lease are refused.
func (c *Core) tick(now int64) {
	c.retryDisk(now)
	if c.disk.available() {
		c.deferAcceptorEffects(now, c.acceptor.Tick(now))
	}
	c.tickMembership(now)
	c.handleProposerEffects(now, c.proposer.Tick(now))
	c.send(c.learner.Tick(now, c.report)...)
	c.deliverLoopback(now)
	c.refuseCalls(now)
	c.retryAnnouncements(now)
	c.tickMaintenance(now)
	c.tickExpiration(now)
	c.catchUpRegisters(now)
	c.tickGroups(now)
}

// beginShutdown starts to hand over this process's vote and singleton roles.
func (c *Core) beginShutdown() {
	c.shutdown.draining = true
	c.acceptor.Drain()
	c.learner.RequestPoll()
	c.requestAllGroupSteps()
}

// nextDue returns the time of the next step. It is at least minStepInterval away, so
// that messages are handled between the steps of a group that requests one at once.
func (c *Core) nextDue(now int64) int64 {
	due := min(
		c.proposer.Due(),
		c.learner.Due(),
		c.maintenance.nextRunAt,
		c.announcements.nextExpiration,
		c.nextSweep,
		c.convergenceDue(now),
		c.disk.due(),
		c.callsDue(),
		c.announcementsDue(),
		c.catchUpDue(),
		c.groupsDue(now),
	)
	if c.disk.available() {
		due = min(due, c.acceptor.Due())
	}
	return max(due, now+minStepInterval.Microseconds())
}

// logViolations logs each broken invariant the first time that it is broken.
func (c *Core) logViolations() {
	for _, checks := range []*invariant.Checks{&c.invariants, c.learner.Checks()} {
		for _, violation := range checks.TakeUnreported() {
			c.logf(result.InvariantViolated, "%s: %s", violation.Rule, violation.Detail)
		}
	}
}

// Violations returns the number of invariant violations in this run, by rule.
func (c *Core) Violations() map[string]int64 {
	return invariant.MergeCounts(c.invariants.Counts(), c.learner.Checks().Counts())
}
