package pool

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"stoneford/crdt"
	"stoneford/failuredetector"
	"stoneford/internal/membership"
	"stoneford/paxos"
	"stoneford/relaytree"
	"stoneford/result"
	"stoneford/schema"
	"stoneford/statemachine"
)

// groupInterval is the time between two passes over all groups. A pass is too expensive
// to run for every envelope.
const groupInterval = 10 * time.Millisecond

// Core is the state machine of a pool node. It does not access the clock, the network or
// the query tables.
type Core struct {
	config   *schema.Boot
	self     string // address under which the other processes reach this one
	run      uint64 // run number, greater than in any earlier run of this node
	draining bool

	// State of the fleet.
	relay         *relaytree.Relay
	records       *crdt.Store
	lastTimestamp uint64 // timestamp of the newest record of this node
	detector      *failuredetector.Detector
	nodes         []membership.Node
	lastSeed      int // index of the control process used last by nextSeed

	// Configurations and state in force.
	configurations map[string]*schema.Configuration // by partner
	revisions      revisions
	calendar       *schema.MaintenanceCalendar
	groups         map[string]*group // by PARTNER/GROUP

	schedule schedule
	effects  Effects // of the current step
}

// schedule holds the due times of periodic work.
type schedule struct {
	announcement, membership, comparison int64
	groups                               int64 // 0 to run a pass at once because a desired state may have changed
}

// NewCore returns the core of a pool node. run must be greater than in any earlier run of
// this node.
func NewCore(config *schema.Boot, run uint64) *Core {
	self, voters := config.Listen, config.Seeds
	return &Core{
		config:         config,
		self:           self,
		run:            run,
		relay:          relaytree.New(self, voters),
		records:        crdt.New(self),
		lastTimestamp:  run,
		detector:       failuredetector.New(self),
		lastSeed:       int(statemachine.Hash(self) % 3),
		configurations: map[string]*schema.Configuration{},
		revisions: revisions{
			proposer: paxos.NewProposer(self, fmt.Sprint(run), voters),
			applied:  map[string]uint64{},
			reading:  map[string]bool{},
			minimum:  map[string]uint64{},
		},
		calendar: &schema.MaintenanceCalendar{},
		groups:   map[string]*group{},
	}
}

// Step handles the events and then does all work that is due. now is the time in
// microseconds of the node's monotonic clock.
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
	case TableReport:
		if g := c.groups[e.Group]; g != nil {
			g.views, g.inUse = e.Views, e.InUse
			c.schedule.groups = 0
		}
	case Decisions:
		c.handleDecisions(e)
	case Stop:
		c.draining = true
		c.schedule.announcement = 0
	}
}

func (c *Core) handleEnvelope(now int64, e *schema.Envelope) {
	switch body := e.Body.(type) {
	case *schema.Envelope_RegisterUpdate, *schema.Envelope_Digest:
		c.applyRelayEffects(now, c.relay.Step(now, e))
	case *schema.Envelope_Records, *schema.Envelope_RangeDigests:
		c.send(c.records.Step(now, e).Send...)
	case *schema.Envelope_Ping, *schema.Envelope_Pong:
		c.applyDetectorEffects(now, c.detector.Step(now, e))
	case *schema.Envelope_Promise, *schema.Envelope_Accepted, *schema.Envelope_MembershipNotice:
		c.applyProposerEffects(now, c.revisions.proposer.Step(now, e))
	case *schema.Envelope_ReadDecisionRequest:
		c.requestDecisions(e.From, body.ReadDecisionRequest)
	case *schema.Envelope_ConnectionLeaseResponse:
		if g := c.groups[body.ConnectionLeaseResponse.Group]; g != nil {
			g.lessee.HandleResponse(body.ConnectionLeaseResponse)
			c.schedule.groups = 0
		}
	}
}

// tick does all work that is due. The order of the steps must not change, because
// simulations reproduce recorded behaviour only with the same order.
func (c *Core) tick(now int64) {
	c.applyRelayEffects(now, c.relay.Tick(now))
	c.applyProposerEffects(now, c.revisions.proposer.Tick(now))
	if statemachine.Due(now, &c.schedule.membership, membershipInterval) {
		c.updateMembership(now)
	}
	c.applyDetectorEffects(now, c.detector.Tick(now))
	first := c.schedule.announcement == 0
	if statemachine.Due(now, &c.schedule.announcement, announceInterval) {
		c.announce(now, first)
	}
	if statemachine.Due(now, &c.schedule.comparison, compareInterval) {
		c.compareRecords()
	}
	if statemachine.Due(now, &c.schedule.groups, groupInterval) {
		for _, key := range slices.Sorted(maps.Keys(c.groups)) {
			c.tickGroup(now, key, c.groups[key])
		}
	}
}

// emit adds an effect to the current step.
func (c *Core) emit(e Effect) { c.effects.Do = append(c.effects.Do, e) }

// send adds envelopes to the effects of the current step.
func (c *Core) send(envelopes ...statemachine.Send) {
	c.effects.Send = append(c.effects.Send, envelopes...)
}

// sendTo sends a message to the processes with the given addresses.
func (c *Core) sendTo(message *schema.Envelope, addresses ...string) {
	for _, address := range addresses {
		c.send(statemachine.Send{To: address, Envelope: message})
	}
}

func (c *Core) logf(code result.Code, format string, args ...any) {
	c.emit(LogEntry{Code: code, Text: fmt.Sprintf(format, args...)})
}

// AppliedRevisions returns the revision in force of each configuration, by register key.
func (c *Core) AppliedRevisions() map[string]uint64 { return c.revisions.applied }

// Nodes returns the known members of the fleet.
func (c *Core) Nodes() []membership.Node { return c.nodes }

// Parent returns the address of this node's parent in the relay tree, "" if it has none.
func (c *Core) Parent() string { return c.relay.Parent() }
