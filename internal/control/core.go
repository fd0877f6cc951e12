package control

import (
	"fmt"

	"stoneford/crdt"
	"stoneford/failuredetector"
	"stoneford/internal/membership"
	"stoneford/leaderelection"
	"stoneford/paxos"
	"stoneford/relaytree"
	"stoneford/result"
	"stoneford/schema"
	"stoneford/statemachine"
)

// Core is the state machine of a control process. It does not access the clock, the disk
// or the network.
type Core struct {
	self     string // address under which the other processes reach this one
	run      uint64 // run number, greater than in any earlier run of this process
	config   *schema.Boot
	draining bool

	// Consensus on registers.
	voter        *paxos.Acceptor
	voting       bool // the voter was seen to vote in this run
	reconfigurer *paxos.Reconfigurer
	proposer     *paxos.Proposer
	proposals    proposals
	relay        *relaytree.Relay

	// State of the fleet.
	records         *crdt.Store
	lastTimestamp   uint64 // timestamp of the newest record of this process
	detector        *failuredetector.Detector
	controlDetector *failuredetector.Detector // watches the control processes only
	unresponsive    map[string]bool           // unresponsive control processes, by address
	nodes           []membership.Node
	majority        majorityTracker

	// State derived from the partners' configurations.
	configurations map[string]*schema.Configuration // by partner
	groups         map[string]*groupRole            // by PARTNER/GROUP
	roles          *leaderelection.Candidate

	maintenance      maintenanceState
	decisionRequests decisionRequests
	schedule         schedule

	effects Effects // of the current step
}

// schedule holds the due times of periodic work.
type schedule struct {
	membership, announcement, comparison, roles int64
	lastPeer                                    int // index of the control process whose records were compared last
}

// NewCore returns the core of a control process. run must be greater than in any earlier
// run of this process. diskID must be random and not 0. It distinguishes the disk from
// any other that the process has used. If there is a log to restore, the ID in the log
// replaces diskID.
func NewCore(config *schema.Boot, run, diskID uint64) *Core {
	self, voters := config.Listen, config.Seeds
	c := &Core{
		self:             self,
		run:              run,
		config:           config,
		voter:            paxos.NewAcceptor(self, diskID, paxos.Location{}, voters),
		reconfigurer:     paxos.NewReconfigurer(self, fmt.Sprint(run)),
		proposer:         paxos.NewProposer(self, fmt.Sprint(run), voters),
		proposals:        newProposals(self, run),
		relay:            relaytree.New(self, voters),
		records:          crdt.New(self),
		lastTimestamp:    run,
		detector:         failuredetector.New(self),
		controlDetector:  failuredetector.New(self),
		unresponsive:     map[string]bool{},
		configurations:   map[string]*schema.Configuration{},
		groups:           map[string]*groupRole{},
		maintenance:      newMaintenanceState(),
		decisionRequests: decisionRequests{pending: map[uint64]*decisionRequest{}},
	}
	c.roles = leaderelection.New(self, run, voters, c.proposals.newID, c.leaseGrants)
	return c
}

// Restore applies an entry of the voter's log. It must not be called after the first
// Step.
func (c *Core) Restore(l *schema.WALEntry) { c.voter.Restore(l) }

// Snapshot returns the complete state of the voter as one log entry, which may replace
// all entries so far.
func (c *Core) Snapshot() *schema.WALEntry { return c.voter.Snapshot() }

// Step handles the events and then does all work that is due. now is the time in
// microseconds of the process's monotonic clock.
func (c *Core) Step(now int64, events ...Event) Effects {
	c.effects = Effects{}
	for _, e := range events {
		c.handleEvent(now, e)
	}
	c.tick(now)
	return c.effects
}

func (c *Core) handleEvent(now int64, event Event) {
	switch e := event.(type) {
	case Received:
		c.handleEnvelope(now, e.Envelope)
	case PutConfiguration:
		c.putConfiguration(now, e)
	case GetConfiguration:
		c.getConfiguration(now, e)
	case DatabaseReply:
		c.handleDatabaseReply(e)
	case Command:
		c.handleCommand(now, e)
	case WallClock:
		c.maintenance.clock.set(now, e.UnixMicro)
	case Stop:
		c.draining = true
		c.roles.Drain()
		c.schedule.announcement = 0
	}
}

func (c *Core) handleEnvelope(now int64, e *schema.Envelope) {
	if paxos.IsForAcceptor(e) {
		c.applyAcceptorEffects(now, c.voter.Step(now, e))
	}
	if paxos.IsForProposer(e) {
		c.applyProposerEffects(now, c.proposer.Step(now, e))
	}
	switch body := e.Body.(type) {
	case *schema.Envelope_RegisterUpdate, *schema.Envelope_Digest:
		c.applyRelayEffects(c.relay.Step(now, e))
	case *schema.Envelope_Records, *schema.Envelope_RangeDigests:
		c.send(c.records.Step(now, e).Send...)
	case *schema.Envelope_Ping:
		c.applyDetectorEffects(now, c.detector.Step(now, e))
	case *schema.Envelope_Pong:
		c.applyDetectorEffects(now, c.detector.Step(now, e))
		c.applyControlDetectorEffects(c.controlDetector.Step(now, e))
	case *schema.Envelope_ReadDecisionResponse:
		c.handleDecisions(now, body.ReadDecisionResponse)
	case *schema.Envelope_ConnectionLeaseRequest:
		c.handleLeaseRequest(now, e.From, body.ConnectionLeaseRequest)
	}
}

// tick does all work that is due. The order of the steps must not change, because
// simulations reproduce recorded behaviour only with the same order.
func (c *Core) tick(now int64) {
	c.majority.update(now, c.majorityResponsive())
	c.tickVoter(now)
	c.applyProposerEffects(now, c.proposer.Tick(now))
	c.applyRelayEffects(c.relay.Tick(now))
	if statemachine.Due(now, &c.schedule.membership, membershipInterval) {
		c.updateMembership(now)
	}
	if statemachine.Due(now, &c.schedule.announcement, announceInterval) {
		c.announce(now)
	}
	c.applyDetectorEffects(now, c.detector.Tick(now))
	c.applyControlDetectorEffects(c.controlDetector.Tick(now))
	if statemachine.Due(now, &c.schedule.comparison, compareInterval) {
		c.compareRecords()
	}
	if statemachine.Due(now, &c.schedule.roles, roleInterval) {
		c.catchUp(now)
		c.tickRoles(now)
		c.finishDecisionRequests(now)
	}
}

// emit adds an effect to the current step.
func (c *Core) emit(e Effect) { c.effects.Do = append(c.effects.Do, e) }

// send adds envelopes to the effects of the current step.
func (c *Core) send(envelopes ...statemachine.Send) {
	c.effects.Send = append(c.effects.Send, envelopes...)
}

func (c *Core) logf(code result.Code, format string, args ...any) {
	c.emit(LogEntry{Code: code, Text: fmt.Sprintf(format, args...)})
}

// Voting reports whether the voter of this process takes part in consensus.
func (c *Core) Voting() bool { return c.voter.IsVoter() }

// Nodes returns the known members of the fleet.
func (c *Core) Nodes() []membership.Node { return c.nodes }

// CommittedValue returns the newest known committed value of a register, or nil if none
// is known.
func (c *Core) CommittedValue(key string) *schema.Value { return c.relay.Value(key) }
