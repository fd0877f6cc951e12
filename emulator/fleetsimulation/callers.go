package fleetsimulation

import (
	"fmt"
	"slices"

	"stoneford/internal/ports"
)

// callerRoute is a route with the behaviour of its callers.
type callerRoute struct {
	name                   string
	host                   string
	group                  string
	kind                   ports.ReadClass
	deadlineUs             int64
	latencyTargetUs        int64
	stalenessUs            int64
	operationTimeoutUs     int64 // time limit of a caller for one operation, including its retries
	writeProbability       float64
	transactionProbability float64
}

// caller is a client of one route.
type caller struct {
	fleet      *Fleet
	name       string
	zone       string
	route      *callerRoute
	longLived  bool // keeps its session after an operation
	setsValues bool // sets session values and prepares statements
	session    *Session
	node       *Node // if set, the only node that it uses while that node is ready
	readsOnly  bool  // its operations write nothing
	nextID     int
	steps      int
	done       bool
}

// startCallers starts the callers of all groups.
func (f *Fleet) startCallers() {
	for i := range f.Plan.Callers {
		g := f.groups[i%len(f.groups)]
		c := &caller{fleet: f, name: fmt.Sprintf("caller-%d", i), zone: zoneNames[f.Random.IntN(len(zoneNames))], longLived: f.Chance(0.7), setsValues: f.Chance(0.5)}
		var routes []*callerRoute
		for _, r := range f.routes {
			if r.group == g.name {
				routes = append(routes, r)
			}
		}
		// On average 55, 25 and 20 percent of the callers.
		switch x := f.Random.Float64(); {
		case x < 0.55:
			c.route = routes[0]
		case x < 0.8:
			c.route = routes[1]
		default:
			c.route = routes[2]
		}
		f.callers = append(f.callers, c)
		f.After(f.Between(0, 300_000), c.scheduleNext)
	}
}

// scheduleNext starts the caller's next operation after a random interval.
func (c *caller) scheduleNext() {
	f := c.fleet
	if c.done || f.Now >= f.lastOperationUs {
		c.done = true
		return
	}
	intervalUs := int64(float64(f.Plan.CallerIntervalUs) / f.loadFactor)
	f.After(f.Between(intervalUs/2, intervalUs*3/2), func() {
		if c.done || f.Now >= f.lastOperationUs {
			c.done = true
			return
		}
		o := c.plan()
		f.After(c.route.operationTimeoutUs, func() {
			if !o.finished {
				o.end(false)
			}
		})
		o.attempt()
	})
}

// randomText draws the text of a statement.
func (c *caller) randomText() string {
	c.steps++
	return fmt.Sprintf("thing-%d", c.fleet.Random.IntN(2000))
}

// plan draws the caller's next operation: a single statement or a transaction.
func (c *caller) plan() *operation {
	f := c.fleet
	o := &operation{caller: c, startedAtUs: f.Now, counted: true, readOnly: true}
	read := func() plannedStatement {
		if c.setsValues && f.Chance(0.3) {
			return plannedStatement{kind: ports.Execute, text: c.randomText()}
		}
		return plannedStatement{kind: ports.Read, text: c.randomText()}
	}
	write := func() plannedStatement {
		o.readOnly = false
		if c.setsValues && f.Chance(0.3) {
			return plannedStatement{kind: ports.Execute, text: c.randomText() + " new", writes: true}
		}
		return plannedStatement{kind: ports.Write, text: c.randomText() + " new", writes: true}
	}
	if !f.Chance(c.route.transactionProbability) {
		p := read()
		if !c.readsOnly && f.Chance(c.route.writeProbability) {
			p = write()
		}
		o.plan = []plannedStatement{p}
		return o
	}
	begin := plannedStatement{kind: ports.Begin}
	writeProbability := 0.5
	if c.route.kind == ports.BoundedStaleness || c.readsOnly || f.Chance(0.15) {
		begin.kind, writeProbability = ports.BeginRead, 0
	}
	o.plan = append(o.plan, begin)
	for range f.Between(1, 4) {
		p := read()
		if f.Chance(writeProbability) {
			p = write()
		}
		p.waitUs = f.Between(0, 50_000)
		o.plan = append(o.plan, p)
	}
	if c.setsValues && f.Chance(0.1) { // sessions may also set a value within the transaction
		o.plan = slices.Insert(o.plan, 1+f.Random.IntN(len(o.plan)), plannedStatement{kind: ports.SetValue})
	}
	switch {
	case f.Chance(0.03): // the session ends with the transaction open
		o.counted = false
		o.plan = append(o.plan, plannedStatement{endSession: true})
	case f.Chance(0.02): // the transaction is idle for longer than TransactionIdleTimeoutUs
		o.counted = false
		o.plan = append(o.plan, plannedStatement{kind: ports.Commit, waitUs: 3_500_000})
	case f.Chance(0.1):
		o.plan = append(o.plan, plannedStatement{kind: ports.Rollback})
	default:
		o.plan = append(o.plan, plannedStatement{kind: ports.Commit, waitUs: f.Between(0, 50_000)})
	}
	return o
}
