package simulation

import (
	"maps"
	"slices"

	"stoneford/internal/pool"
	"stoneford/internal/querytable"
	"stoneford/schema"
)

// nodeProcess is a simulated pool node with its tables, one for each group.
type nodeProcess struct {
	fleet           *Fleet
	boot            *schema.Boot
	core            *pool.Core
	tables          map[string]*querytable.Table
	routes          map[string]pool.Route
	waiters         map[uint64]func(querytable.Reply)  // receivers of replies, by request ID
	desired         map[string]querytable.DesiredState // desired state that the core set last, by group
	drainingSinceUs map[string]int64                   // time at which the node learned that a database drains, by address
	run             uint64                             // number of the current run
	draining        bool                               // the node was stopped and is in its grace period
	processState
}

// startNode starts a new run of a pool node, which has no tables yet.
func (f *Fleet) startNode(n *nodeProcess) {
	n.begin()
	n.lastFaultUs = f.Now
	n.run = f.runNumber()
	n.core = pool.NewCore(n.boot, n.run)
	n.tables, n.routes = map[string]*querytable.Table{}, map[string]pool.Route{}
	n.waiters, n.desired, n.drainingSinceUs = map[uint64]func(querytable.Reply){}, map[string]querytable.DesiredState{}, map[string]int64{}
	f.startTicks(&n.processState, f.Plan.StepIntervalUs, func() { f.tickNode(n) })
}

// tickNode steps a node without external events: first each table, then the core with the
// reports of the tables.
func (f *Fleet) tickNode(n *nodeProcess) {
	var events []pool.Event
	for _, group := range slices.Sorted(maps.Keys(n.tables)) {
		f.stepTable(n, group, querytable.Tick{})
		_, _, inUse := n.tables[group].Gauges()
		events = append(events, pool.TableReport{Group: group, Views: n.tables[group].DatabaseViews(f.Now), InUse: inUse})
	}
	f.stepNode(n, events...)
	f.checkLeases()
}

// toNode delivers an event to a run of a node. The event waits while the node is frozen or
// busy.
func (f *Fleet) toNode(n *nodeProcess, generation int, event func()) {
	f.dispatch(&n.processState, generation, event)
}

// stepNode steps a node's core and performs the effects. It checks that applied revisions
// never decrease, not even across restarts.
func (f *Fleet) stepNode(n *nodeProcess, events ...pool.Event) {
	effects := n.core.Step(f.Now, events...)
	for _, s := range effects.Send {
		f.Network.Send(n.boot.Listen, s)
	}
	for _, d := range effects.Do {
		f.performNode(n, d)
	}
	for key, r := range n.core.AppliedRevisions() {
		id := n.boot.Name + " " + key
		if r < f.appliedRevisions[id] {
			f.RecordViolation("%s went back from revision %d to %d of %s", n.boot.Name, f.appliedRevisions[id], r, key)
		}
		f.appliedRevisions[id] = r
	}
}

// performNode carries out one effect of a node's core: it sets the desired state of a table,
// sets the routes, reports decisions of a table, or writes an entry to the simulation's log.
func (f *Fleet) performNode(n *nodeProcess, effect pool.Effect) {
	switch d := effect.(type) {
	case pool.SetDesired:
		desired := d.Desired
		desired.ReplicaSelection, desired.IgnoreOwnCommits = f.Plan.ReplicaSelection, f.Plan.IgnoreOwnCommits
		if n.tables[d.Group] == nil {
			n.tables[d.Group] = querytable.New(f.Random.Uint64())
		}
		n.desired[d.Group] = desired
		f.stepTable(n, d.Group, querytable.SetDesired{Desired: desired})
	case pool.SetRoutes:
		n.routes = d.Routes
	case pool.DecisionsRequest:
		f.reportDecisions(n, d)
	case pool.LogEntry:
		f.logf("%s: code %d: %s", n.boot.Name, d.Code, d.Text)
	}
}

// reportDecisions sends the core the decisions that a table made for a query.
func (f *Fleet) reportDecisions(n *nodeProcess, request pool.DecisionsRequest) {
	t := n.tables[request.Group]
	if t == nil {
		return
	}
	for _, e := range t.Step(f.Now, querytable.DecisionsRequest{QueryName: request.QueryName}) {
		if e, ok := e.(querytable.Decisions); ok {
			f.stepNode(n, pool.Decisions{Request: request, Group: request.Group, AtUs: f.Now, Decisions: e.Decisions})
		}
	}
}

// checkLeases checks that the leases of all running nodes together never cover more
// connections to a database than its limit.
func (f *Fleet) checkLeases() {
	leased := map[string]int{}
	for _, n := range f.Nodes {
		if n.up && !n.frozen {
			n.addLeases(leased, f.Now)
		}
	}
	for db, n := range leased {
		if limit := int(f.Configuration.Databases[db].Connections); n > limit {
			f.RecordViolation("nodes have leases on %d connections to %s, the limit is %d", n, db, limit)
		}
	}
}

// addLeases adds the connections that a node holds leases on now, by database.
func (n *nodeProcess) addLeases(leased map[string]int, nowUs int64) {
	for _, d := range n.desired {
		for _, m := range d.Members {
			if nowUs < m.LeaseExpiresAtUs {
				leased[m.Name] += m.LeasedConnections
			}
		}
	}
}

// stepTable steps a node's table and performs the effects: replies to callers, calls to
// databases, and entries in the simulation's log.
func (f *Fleet) stepTable(n *nodeProcess, group string, events ...querytable.Event) {
	t := n.tables[group]
	for _, e := range t.Step(f.Now, events...) {
		f.observeTable(n, group, e)
		switch e := e.(type) {
		case querytable.Reply:
			if receive := n.waiters[e.ID]; receive != nil {
				delete(n.waiters, e.ID)
				receive(e)
			}
		case querytable.OpenConnection:
			f.openConnection(n, group, e)
		case querytable.CloseConnection:
			f.call(n.boot.Listen, e.Address, connectionTimeoutUs, func(db *Database, reply func(any)) { db.state.Close(e.RemoteID); reply(nil) }, func(any, bool) {})
		case querytable.Run:
			f.run(n, group, e)
		case querytable.Poll:
			f.poll(n, group, e)
		case querytable.LogEntry:
			f.logf("%s: code %d: %s", n.boot.Name, e.Code, e.Text)
		}
	}
}

// toTable delivers an event to a table of a run of a node, if the table exists.
func (f *Fleet) toTable(n *nodeProcess, generation int, group string, e querytable.Event) {
	f.toNode(n, generation, func() {
		if n.tables[group] != nil {
			f.stepTable(n, group, e)
		}
	})
}

// Time limits of a node's calls to databases, in microseconds.
const (
	connectionTimeoutUs = 1_000_000
	pollMarginUs        = 500_000   // added to the time that a poll waits at the database
	lostResponseUs      = 500_000   // timeout of runs with the mutation LostResponseAsNotExecuted
	drainPeriodUs       = 7_000_000 // after which a node must not send runs to a draining database
)

// HasLease reports whether the i-th node has a valid lease on connections to the primary of
// every group.
func (f *Fleet) HasLease(i int) bool {
	n := f.Nodes[i]
	for _, g := range f.Plan.Groups {
		d := n.desired[f.partnerOf[g]+"/"+g]
		if !slices.ContainsFunc(d.Members, func(m querytable.Member) bool {
			return m.Name == d.Primary && m.LeasedConnections > 0 && f.Now < m.LeaseExpiresAtUs
		}) {
			return false
		}
	}
	return true
}
