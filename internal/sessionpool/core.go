package sessionpool

import (
	"cmp"
	"time"

	"stoneford/internal/invariant"
	"stoneford/internal/learner"
	"stoneford/internal/ports"
	"stoneford/internal/sessiontable"
	"stoneford/schema"
	"stoneford/statemachine"
)

// Core is the deterministic part of a pool node, without network and clock. Its methods
// must not be called concurrently.
type Core struct {
	// Table manages the sessions and connections.
	Table *sessiontable.Table

	learner       *learner.Learner
	table         ports.RoutingTable // the routing table in force
	tableRevision uint64             // revision of table in its register
	leaseUntilUs  int64
	nodes         int                    // live pool nodes
	phases        map[string]ports.Phase // phase of each group's leadership
	draining      bool
	contact       voterContact
	checks        invariant.Checks
}

const (
	// readyGrace is how long a node still reports itself ready after its lease ran out. A
	// node that is partitioned from the voters cannot run current reads, while other
	// nodes can. A longer grace keeps callers on it; a shorter one lets short outages
	// shift load to the other nodes.
	readyGrace = 400 * time.Millisecond
	// drainMargin is how much earlier than required a node stops using a draining
	// database, because the node may learn of the drain later than the process that
	// acknowledged it.
	drainMargin = 800 * time.Millisecond
	// routingMargin is subtracted from the time within which a routing change has to be in
	// force everywhere.
	routingMargin = 100 * time.Millisecond
)

// routingGraceUs returns how long a node may still route by its table after its lease ran
// out, in µs. A lease confirms the table as of the poll that granted it, and a change
// acknowledged after that poll has to be in force everywhere applyUs later. The node's
// clock may run slow by a tenth.
func routingGraceUs(applyUs int64) int64 {
	return max(applyUs*10/11-learner.LeaseDurationUs-routingMargin.Microseconds(), 0)
}

// drainTimeoutUs returns how long a draining database still gets new statements, in µs.
func drainTimeoutUs(gracefulDrainUs int64) int64 {
	return gracefulDrainUs - min(gracefulDrainUs/4, drainMargin.Microseconds())
}

func fromMicroseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// Effects are the actions that a Process has to perform after a step of its Core.
type Effects struct {
	Send  []statemachine.Send   // messages to other processes
	Table []sessiontable.Effect // in order, without RenewLease
}

// NewCore returns the core of a node. run must differ from that of every earlier run of
// the node; seed seeds the table's random numbers.
func NewCore(config ports.ProcessConfig, run, seed uint64, options sessiontable.Options) *Core {
	// A replica that rejects a begin may run the statement behind it outside a transaction.
	options.SeparateBegin = true
	if us := config.Bounds.GracefulDrainUs; us > 0 {
		options.DrainTimeout = cmp.Or(options.DrainTimeout, fromMicroseconds(drainTimeoutUs(us)))
	}
	options.ReadyGrace = cmp.Or(options.ReadyGrace, readyGrace)
	options.RoutingGrace = cmp.Or(options.RoutingGrace, fromMicroseconds(routingGraceUs(config.Bounds.ApplyUs)))
	return &Core{
		Table: sessiontable.New(seed, config.Zone, options),
		learner: learner.New(learner.Config{
			Self: config.PoolNodeAddress(), SeedAddresses: config.SeedVoterAddresses(), Zone: config.Zone, Name: config.Name, Kind: "pool", Run: run,
		}),
	}
}

// Due returns when the next Tick is needed, in µs of the node's clock.
func (c *Core) Due() int64 { return min(c.Table.Due(), c.learner.Due()) }

// Step passes events to the session table, and then runs the timers and polls that are due.
func (c *Core) Step(now int64, events ...sessiontable.Event) Effects {
	var effects Effects
	for _, event := range events {
		if _, ok := event.(sessiontable.Drain); ok {
			c.draining = true
			c.learner.RequestPoll()
		}
		c.stepTable(now, &effects, event)
	}
	c.runDue(now, &effects)
	return effects
}

// Receive processes an envelope from another process, and then runs the timers and polls
// that are due. A pool node handles only poll responses and drops any other envelope.
func (c *Core) Receive(now int64, envelope *schema.Envelope) Effects {
	var effects Effects
	if body, ok := envelope.Body.(*schema.Envelope_PollResponse); ok {
		c.learner.Step(now, envelope.From, body.PollResponse)
		c.applyLearnerChanges(now, &effects)
	}
	c.runDue(now, &effects)
	return effects
}

// runDue ticks the session table and polls the voters, if that is due.
func (c *Core) runDue(now int64, effects *Effects) {
	if now >= c.Table.Due() {
		c.stepTable(now, effects, sessiontable.Tick{})
	}
	if c.Table.ReportUrgent() {
		c.learner.RequestPoll()
	}
	if now >= c.learner.Due() {
		effects.Send = c.learner.Tick(now, func() learner.Report { return c.report(now) })
		c.logContact(now, effects)
		c.logViolations(effects)
	}
}

// stepTable passes an event to the session table. RenewLease effects become a poll of the
// voters.
func (c *Core) stepTable(now int64, effects *Effects, event sessiontable.Event) {
	for _, effect := range c.Table.Step(now, event) {
		if _, ok := effect.(sessiontable.RenewLease); ok {
			c.learner.RequestPoll()
			continue
		}
		effects.Table = append(effects.Table, effect)
	}
}

// Revision returns the operators' revision of the routing table in force here.
func (c *Core) Revision() uint64 { return c.table.Revision }

// TableRevision returns the register's revision of the routing table in force here.
func (c *Core) TableRevision() uint64 { return c.tableRevision }

// LeaseUntilUs returns the end of the node's lease, in µs of the node's clock. Until then
// the node may rely on the state committed by the voters.
func (c *Core) LeaseUntilUs() int64 { return c.leaseUntilUs }

// Ready reports whether the node can serve callers' statements now.
func (c *Core) Ready(now int64) bool { return !c.draining && c.tableRevision > 0 && c.Table.Ready(now) }

// InFlight returns the number of running and waiting statements and open transactions.
func (c *Core) InFlight() int { return c.Table.InFlight() }
