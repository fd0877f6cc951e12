package fleetsimulation

import (
	"cmp"
	"fmt"
	"maps"
	"net"
	"slices"

	"stoneford/internal/ports"
)

var zoneNames = []string{"zone-a", "zone-b", "zone-c"}

// Fleet is a simulated fleet: its processes, its databases and their environment. It is
// not safe for concurrent use.
type Fleet struct {
	scheduler
	Plan  Plan
	Log   []string // events of the run, in order, for diagnosis
	Quiet bool     // do not write Log

	network      *network
	oracle       *Oracle
	operators    operators
	moves        moves
	primaryRoles primaryRoleChecks
	platform     platform

	controls   []*Control
	nodes      []*Node
	groups     []*group
	routes     []*callerRoute
	callers    []*caller
	streams    []*stream
	controlAt  map[string]*Control  // by address
	nodeAt     map[string]*Node     // by address
	databaseAt map[string]*Database // by address, without databases that were removed
	databases  map[string]*Database // by identity

	lastRunNumber uint64 // distinguishes runs of processes; the cores receive it as their run
	sessionIDs    uint64
	databaseCount int

	faultState
	operationCounts
}

// faultState holds the faults and variants of the model that concern the complete fleet.
type faultState struct {
	duplicateProbability        float64 // probability that an envelope is delivered twice
	lateCallProbability         float64 // probability that an announcement is sent again, late
	loadFactor                  float64 // multiple of the callers' usual load
	promotionUnfreezesGroup     bool    // a promotion resumes frozen replication on all databases of the group
	failedBeginBreaksConnection bool    // a rejected Begin fails the connection's transaction
	healCount                   int     // number of calls of Heal; partitions from before a call are not repaired again
	runningReplacements         int
	faultCounts                 map[string]int // number of injected faults by kind
}

// operationCounts counts the operations of a run, and separately those of the fault-free
// period at its end.
type operationCounts struct {
	lastOperationUs         int64 // time at which callers stop
	faultFreeFromUs         int64
	operationCount          int
	successfulOperations    int
	faultFreeOperations     int
	faultFreeSuccesses      int
	successfulWritesByGroup map[string]int // write operations in the fault-free period, by group
	failedOperations        []string
}

// sortedKeys returns the keys of a map in order. Go randomizes the iteration order of
// maps, which would make runs irreproducible.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// hostOf returns the host of an address with or without a port.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// never is a time that no run reaches.
const never = 1 << 62

// NewFleet creates a simulated fleet and starts its processes and databases.
func NewFleet(p Plan) *Fleet {
	f := &Fleet{scheduler: newScheduler(p.Seed), Plan: p, controlAt: map[string]*Control{}, nodeAt: map[string]*Node{}, databaseAt: map[string]*Database{}, databases: map[string]*Database{},
		faultState:      faultState{loadFactor: 1, lateCallProbability: 0.02, faultCounts: map[string]int{}},
		operationCounts: operationCounts{lastOperationUs: never, faultFreeFromUs: never, successfulWritesByGroup: map[string]int{}}}
	f.network = newNetwork(f.scheduler)
	f.oracle = newOracle(f)
	f.operators = operators{fleet: f, versions: map[uint64]*tableVersion{}}
	f.moves = newMoves(f)
	f.primaryRoles = primaryRoleChecks{fleet: f, byGroup: map[string]*observedRole{}}
	f.promotionUnfreezesGroup, f.failedBeginBreaksConnection = f.Chance(0.5), !p.FailedBeginKeepsConnection
	f.platform = platform{ip: platformHost, minPromotionUs: f.Between(250_000, 700_000), responseUs: 5_000}
	f.network.zones[platformHost], f.network.zones["operators"] = zoneNames[0], zoneNames[0]
	for i := range p.Groups {
		f.addGroup(i)
	}
	for i := range cmp.Or(p.Controls, 3) {
		f.addControl(i)
	}
	for i := range p.Nodes {
		f.addNode(i)
	}
	f.startAll()
	f.After(0, f.oracle.observe)
	f.After(0, f.sweepStreams)
	f.After(0, f.probe)
	f.After(300_000, f.operators.submitFirstTable)
	return f
}

// addGroup adds the i-th group with its routes and one database in each zone.
func (f *Fleet) addGroup(i int) {
	g := &group{name: fmt.Sprintf("stock-%d", i+1), syncReplicas: 1, connectionLimit: 65, newestTerm: 1, reportedLost: map[*entry]bool{}}
	f.groups = append(f.groups, g)
	for j := range zoneNames {
		d := f.addDatabase(g, zoneNames[(i+j)%len(zoneNames)])
		if j == 0 {
			d.primary, g.primary = true, d
		}
	}
	f.routes = append(f.routes,
		&callerRoute{name: "current-" + g.name, host: "cur" + g.name, group: g.name, kind: ports.CurrentRead, deadlineUs: 800_000, latencyTargetUs: 300_000, operationTimeoutUs: 2_000_000, writeProbability: 0.2, transactionProbability: 0.5},
		&callerRoute{name: "bounded-" + g.name, host: "bnd" + g.name, group: g.name, kind: ports.BoundedStaleness, deadlineUs: 2_000_000, latencyTargetUs: 600_000, operationTimeoutUs: 3_000_000, transactionProbability: 0.1, stalenessUs: 1_500_000},
		&callerRoute{name: "pinned-" + g.name, host: "pin" + g.name, group: g.name, kind: ports.ReadYourWrites, deadlineUs: 800_000, latencyTargetUs: 300_000, operationTimeoutUs: 2_000_000, writeProbability: 0.2, transactionProbability: 0.15, stalenessUs: 2_500_000})
}

// addControl adds the i-th control process without starting it.
func (f *Fleet) addControl(i int) {
	ip := fmt.Sprintf("10.%d.%d.1", i%3+1, i/3)
	c := &Control{zone: zoneNames[i%3]}
	c.process = process{fleet: f, name: fmt.Sprintf("control-%d", i+1), ip: ip}
	c.config = f.processConfig(ip, c.zone, c.name)
	if n := f.Plan.Controls; n > 3 {
		c.config.QuorumMember, c.config.Tolerance.Machines = true, (n-1)/2
	}
	f.controls = append(f.controls, c)
	f.controlAt[c.config.ControlNodeAddress()] = c
}

// addNode adds the i-th pool node without starting it.
func (f *Fleet) addNode(i int) {
	ip := fmt.Sprintf("10.%d.0.%d", i%3+1, i/3+1)
	n := &Node{zone: zoneNames[i%3]}
	n.process = process{fleet: f, name: fmt.Sprintf("pool-%d", i+1), ip: ip}
	n.config = f.processConfig(ip, n.zone, n.name)
	f.nodes = append(f.nodes, n)
	f.nodeAt[n.config.PoolNodeAddress()] = n
}

// processConfig returns the configuration of a process and assigns its address to the
// zone.
func (f *Fleet) processConfig(ip, zone, name string) ports.ProcessConfig {
	f.network.zones[ip] = zone
	config := ports.ProcessConfig{Name: name, Zone: zone, Zones: map[string]string{}, IP: ip, PortFirst: firstPort, PortLast: firstPort + 15, Bootstrap: true, AnnouncementIntervalUs: 1_200_000}
	for i, z := range zoneNames {
		config.Zones[z] = "region-of-" + z
		config.Seeds = append(config.Seeds, fmt.Sprintf("10.%d.0.1:8782", i+1))
	}
	config.Bounds = ports.TimeBounds{ContactUs: contactTimeoutUs, AckUs: 5_000_000, CatchUpUs: 4_000_000, GracefulDrainUs: drainTimeoutUs, GraceUs: 6_000_000, ApplyUs: configApplyTimeoutUs, StretchUs: sessionStretchUs, RemovalLagUs: 2_000_000}
	return config
}

// startAll starts databases, control processes and nodes. Only the first run of a process
// may bootstrap the fleet.
func (f *Fleet) startAll() {
	for _, g := range f.groups {
		for _, d := range g.databases {
			d.start()
		}
	}
	for _, c := range f.controls {
		f.startControl(c)
	}
	for _, c := range f.controls {
		c.config.Bootstrap = false
	}
	for _, n := range f.nodes {
		f.startNode(n)
		n.config.Bootstrap = false
	}
}

// randomClockRate draws the rate of a process's clock.
func (f *Fleet) randomClockRate() float64 { return 1 + (f.Random.Float64()*2-1)*f.Plan.ClockRateSpread }

// addDatabase adds a database with a new identity and address to a group without starting
// it.
func (f *Fleet) addDatabase(g *group, zone string) *Database {
	f.databaseCount++
	z := slices.Index(zoneNames, zone) + 1
	return f.newDatabase(g, fmt.Sprintf("%s-db%d", g.name, f.databaseCount), fmt.Sprintf("10.%d.9.%d:8080", z, f.databaseCount), zone)
}

// group returns the group with the given name. It panics if the fleet has no such group.
func (f *Fleet) group(name string) *group {
	for _, g := range f.groups {
		if g.name == name {
			return g
		}
	}
	panic(fmt.Sprintf("the fleet has no group %q", name))
}

// logf adds a line with the virtual time in seconds to the log.
func (f *Fleet) logf(format string, a ...any) {
	if f.Quiet {
		return
	}
	f.Log = append(f.Log, fmt.Sprintf("%.3f ", float64(f.Now)/1e6)+fmt.Sprintf(format, a...))
}

// maxReportedOperations bounds the number of failed operations listed in a violation.
const maxReportedOperations = 20

// countOperation counts an operation that has ended. Only operations that ran entirely
// within the fault-free period count towards the required success ratio.
func (f *Fleet) countOperation(o *operation, succeeded bool) {
	f.operationCount++
	if succeeded {
		f.successfulOperations++
	}
	if o.startedAtUs < f.faultFreeFromUs || o.startedAtUs+o.caller.route.operationTimeoutUs > f.lastOperationUs {
		return
	}
	f.faultFreeOperations++
	if !succeeded {
		if len(f.failedOperations) < maxReportedOperations {
			f.failedOperations = append(f.failedOperations, fmt.Sprintf("%s from %.3f s on, with %d attempts", o.caller.name, float64(o.startedAtUs)/1e6, o.attempts))
		}
		return
	}
	f.faultFreeSuccesses++
	if o.caller.route.kind == ports.CurrentRead && o.wroteTo != nil {
		f.successfulWritesByGroup[o.wroteTo.name]++
	}
}

// Finish ends all faults, runs the fleet without them, and checks the final state against
// the rules.
func (f *Fleet) Finish() {
	f.Heal()
	for until := f.Now + maxReplacementWaitUs; f.runningReplacements > 0 && f.Now < until; {
		f.Run(f.Now + 500_000)
	}
	f.faultFreeFromUs = f.Now + recoveryPeriodUs
	f.lastOperationUs = f.faultFreeFromUs + faultFreePeriodUs
	f.Run(f.lastOperationUs)
	f.operators.readBack(contactTimeoutUs)
	f.Run(f.Now + contactTimeoutUs + 100_000)
	f.oracle.finish()
	if f.faultFreeOperations > 0 && float64(f.faultFreeSuccesses) < minFaultFreeSuccessRatio*float64(f.faultFreeOperations) {
		f.oracle.violation("LIVE: %d of %d operations succeeded in the fault-free period; failed: %v", f.faultFreeSuccesses, f.faultFreeOperations, f.failedOperations)
	}
	for _, g := range f.groups {
		if f.Plan.Callers > 0 && f.operators.routesWritersTo(g) && f.successfulWritesByGroup[g.name] == 0 {
			f.oracle.violation("LIVE: no write to %s succeeded in the fault-free period", g.name)
		}
	}
}

const (
	// maxReplacementWaitUs limits the time that Finish waits for replacements of
	// databases that are under way.
	maxReplacementWaitUs = 60_000_000
	// faultFreePeriodUs is the length of the fault-free period, which follows the
	// recovery period and in which operations are counted.
	faultFreePeriodUs = 6_000_000
)

// Violations returns the broken rules, each with the observation that shows it.
func (f *Fleet) Violations() []string { return f.oracle.Violations }
