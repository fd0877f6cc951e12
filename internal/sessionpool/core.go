package sessionpool

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"stoneford/internal/invariant"
	"stoneford/internal/learner"
	"stoneford/internal/ports"
	"stoneford/internal/routingtable"
	"stoneford/internal/sessiontable"
	"stoneford/schema"
	"stoneford/statemachine"
)

// Core is a pool node: what it learned from the voters over the table of its
// sessions. It is deterministic and is what the simulator runs.
type Core struct {
	Table         *sessiontable.Table
	view          *learner.Learner
	table         ports.RoutingTable
	tableRevision uint64
	leaseUntil    int64
	nodes         int
	phases        map[string]ports.Phase
	draining      bool
	contact       contact
	checks        invariant.Checks
}

const (
	// readyGrace is how long after its lease a node still reports itself ready.
	// Partitioned from the voters it can run no current read, while other nodes can; a
	// longer one keeps callers on it, a shorter one turns short outages into load on
	// the others.
	readyGrace = 400 * time.Millisecond
	// drainMarginUs is how much sooner than required a node stops using a database that
	// drains, since the node may have learned of it later than whoever acknowledged it.
	drainMarginUs = 800_000
	// routingMarginUs is subtracted from the time within which a change has to be in
	// force everywhere.
	routingMarginUs = 100_000
)

// routingGraceUs is how long after its lease a node may route by its table, in µs. What
// a lease confirms is as old as the poll that brought it, and a change that was
// acknowledged after that poll has to be in force a while later. This node's clock may
// run slow by a tenth.
func routingGraceUs(applyUs int64) int64 {
	return max(applyUs*10/11-learner.LeaseDurationUs-routingMarginUs, 0)
}

// drainTimeoutUs is how long a database that drains still gets new statements, in µs.
func drainTimeoutUs(gracefulDrainUs int64) int64 {
	return gracefulDrainUs - min(gracefulDrainUs/4, drainMarginUs)
}

func fromMicroseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// Effects of one step.
type Effects struct {
	Send  []statemachine.Send
	Table []sessiontable.Effect
}

// NewCore makes a node; run must be another than any earlier run's.
func NewCore(boot ports.ProcessConfig, run, seed uint64, options sessiontable.Options) *Core {
	// A copy that refuses a beginning may run the statement behind it on its own.
	options.SeparateBegin = true
	if us := boot.Bounds.GracefulDrainUs; us > 0 {
		options.DrainTimeout = cmp.Or(options.DrainTimeout, fromMicroseconds(drainTimeoutUs(us)))
	}
	options.ReadyGrace = cmp.Or(options.ReadyGrace, readyGrace)
	options.RoutingGrace = cmp.Or(options.RoutingGrace, fromMicroseconds(routingGraceUs(boot.Bounds.ApplyUs)))
	return &Core{Table: sessiontable.New(seed, boot.Zone, options), view: learner.New(boot.PoolNodeAddress(), boot.SeedVoterAddresses(), boot.Zone, boot.Name, "pool", run)}
}

// Due is when Step has something to do next even if nothing happens.
func (c *Core) Due() int64 { return min(c.Table.Due(), c.view.Due()) }

// Step hands events to the session table, and then does what is due.
func (c *Core) Step(now int64, events ...sessiontable.Event) Effects {
	var effects Effects
	for _, event := range events {
		if _, ok := event.(sessiontable.Drain); ok {
			c.draining = true
			c.view.RequestPoll()
		}
		c.stepTable(now, &effects, event)
	}
	c.doDue(now, &effects)
	return effects
}

// Receive takes an envelope from another process, and then does what is due. Only
// voters' poll responses concern a pool node; any other envelope is dropped.
func (c *Core) Receive(now int64, envelope *schema.Envelope) Effects {
	var effects Effects
	if body, ok := envelope.Body.(*schema.Envelope_PollResponse); ok {
		c.view.Step(now, envelope.From, body.PollResponse)
		c.applyLearned(now, &effects)
	}
	c.doDue(now, &effects)
	return effects
}

// doDue ticks the session table and polls the voters if it is time.
func (c *Core) doDue(now int64, effects *Effects) {
	if now >= c.Table.Due() {
		c.stepTable(now, effects, sessiontable.Tick{})
	}
	if c.Table.Changed() {
		c.view.RequestPoll()
	}
	if now >= c.view.Due() {
		effects.Send = c.view.Tick(now, func() learner.Report { return c.report(now) })
		c.logContact(now, effects)
		c.logViolations(effects)
	}
}

func (c *Core) stepTable(now int64, effects *Effects, event sessiontable.Event) {
	for _, effect := range c.Table.Step(now, event) {
		if _, ok := effect.(sessiontable.RenewLease); ok {
			c.view.RequestPoll()
			continue
		}
		effects.Table = append(effects.Table, effect)
	}
}

// adoptTable takes the newest agreed routing table into force, if it is newer.
func (c *Core) adoptTable() bool {
	known, ok := c.view.Committed(learner.TableKey)
	if !ok || known.Revision <= c.tableRevision {
		return false
	}
	t, err := routingtable.Decode(known.Data)
	if err != nil {
		return false // what voters agreed on they have read themselves
	}
	if t.Revision < c.table.Revision {
		c.checks.Violated(invariant.TableRevertedToOlder, "from the operators' revision %d to %d", c.table.Revision, t.Revision)
	}
	c.tableRevision, c.table = known.Revision, t
	return true
}

// applyLearned hands what the view found to the table.
func (c *Core) applyLearned(now int64, effects *Effects) {
	keys, databasesChanged := c.view.TakeChanges()
	c.recordNewerTable(now)
	var update sessiontable.Update
	changed := false
	if slices.Contains(keys, learner.TableKey) && c.adoptTable() {
		update.Table, changed = &c.table, true
	}
	if update.Table != nil {
		c.logTable(now, effects)
		c.view.RequestPoll() // a move may wait to hear that this node works by it
	}
	leadershipChanged := slices.ContainsFunc(keys, func(key string) bool { return strings.HasPrefix(key, learner.LeaderPrefix) })
	if update.Table != nil || leadershipChanged {
		update.Groups, changed = map[string]sessiontable.GroupState{}, true
		c.phases = map[string]ports.Phase{}
		for name, leaseUntil := range c.view.Leaderships() {
			c.phases[name] = leaseUntil.Phase
			update.Groups[name] = sessiontable.GroupState{Leadership: leaseUntil, Unconfirmed: c.view.Unconfirmed(learner.LeaderPrefix + name), Withheld: leaseUntil.TableRevision > c.tableRevision}
		}
		c.view.RequestPoll() // the voters wait to hear that this node knows
	}
	if databasesChanged || leadershipChanged {
		update.Instances, changed = c.instances(), true
	}
	if name := c.view.PoolNodes(); name != c.nodes {
		c.nodes, changed = name, true
	}
	if leaseUntil := c.view.LeaseUntil(); leaseUntil != c.leaseUntil {
		c.leaseUntil, changed = leaseUntil, true
	}
	if changed {
		update.LeaseUntil, update.Nodes = c.leaseUntil, c.nodes
		c.stepTable(now, effects, update)
	}
}

// instances are the databases announced, and the agreed primaries that were not
// yet: when all control processes have just started they know of the registers
// alone.
func (c *Core) instances() []ports.Instance {
	instances := append([]ports.Instance{}, c.view.Instances()...)
	for name, l := range c.view.Leaderships() {
		if l.Primary != "" && l.Address != "" && !c.view.Gone(l.Primary) && !slices.ContainsFunc(instances, func(i ports.Instance) bool { return i.ID == l.Primary }) {
			instances = append(instances, ports.Instance{ID: l.Primary, Group: name, Address: l.Address, Primary: true})
		}
	}
	slices.SortFunc(instances, func(a, b ports.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return instances
}

// report is what the next look tells.
func (c *Core) report(now int64) learner.Report {
	tableReport := c.Table.Report(now)
	report := learner.Report{Draining: c.draining, TableRevision: c.tableRevision}
	for _, health := range tableReport.HealthReports {
		report.HealthReports = append(report.HealthReports, &schema.HealthReport{DatabaseId: health.ID, FailingUs: health.FailingUs, Disconnected: health.Disconnected})
	}
	for _, status := range tableReport.GroupStatuses {
		key := learner.LeaderPrefix + status.Group
		// While the primary serves, nobody asks whether something runs there.
		revision, quiet := status.Revision, status.Quiescent && c.phases[status.Group] != ports.PhaseServing
		if c.view.Unconfirmed(key) {
			// It knows that something newer is on its way and rests on nothing older.
			revision, quiet = c.view.HighestSeen(key), false
		}
		report.GroupStatuses = append(report.GroupStatuses, &schema.GroupStatus{Group: status.Group, Revision: revision, AckedTerm: status.Acknowledged.Term, AckedNumber: status.Acknowledged.Number, Idle: quiet})
	}
	return report
}

// Revision is the operators' revision of the routing table in force here.
func (c *Core) Revision() uint64 { return c.table.Revision }

// TableRevision is the register's revision of the routing table in force here.
func (c *Core) TableRevision() uint64 { return c.tableRevision }

// LeaseUntil is until when what the voters agreed may be relied upon here.
func (c *Core) LeaseUntil() int64 { return c.leaseUntil }

// Ready says whether a caller's statement could be served now.
func (c *Core) Ready(now int64) bool { return !c.draining && c.tableRevision > 0 && c.Table.Ready(now) }
