package fleetsimulation

import (
	"cmp"
	"fmt"
	"maps"
	"net"
	"slices"

	"stoneford/internal/behaviourhash"
	"stoneford/internal/ports"
	"stoneford/internal/sessiontable"
)

// Mutation is a fault put into a world on purpose, to show that the rule it breaks
// can be seen to break.
type Mutation int

// Plants.
const (
	NoMutation              Mutation = iota
	FreezeIgnored                    // held databases receive on
	SyncDropped                      // a primary answers before any follower has received
	SlowClock                        // nodes' clocks run at a quarter of the true rate
	ResetIgnored                     // databases keep values and names over a reset
	AfterIgnored                     // databases serve reads whose position they lack
	BusyThatRan                      // a database promises not to have run what it ran
	RunsTwice                        // a database runs a write twice
	TextChanged                      // a statement is changed on its way
	BodiesSwapped                    // a caller is given another's result
	RepliesLate                      // replies leave a node two seconds late
	UnsyncedDisk                     // control processes' entries leave before they are synced
	DrainingForgotten                // news that a database leaves reaches no node
	TablesForgotten                  // news of a table reaches some node no more
	GateSkipped                      // voters say of all that they work by the newest table, and one node hears of none
	FloorIgnored                     // beside that, nodes do not hear which table a leadership needs
	DrainingReplicasReceive          // databases that leave are not held
	PromotionsForgotten              // the platform says that it takes a promotion, and does not
)

// Plan is what a world is made of.
type Plan struct {
	Seed                uint64
	Nodes               int
	Controls            int // three, if it is 0
	Groups              int
	Callers             int
	CallerIntervalUs    int64
	ConflictProbability float64 // share of writes that a database rolls back by itself
	ClockRateSpread     float64 // clocks' rates differ from the true one by so much at most
	Options             sessiontable.Options
	Mutation            Mutation
	// BusyAsConnectionRefused has control processes' edges tell of a bounced question as
	// of a refused connection.
	BusyAsConnectionRefused bool
	// FailedBeginKeepsConnection has a beginning that fails leave its connection at rest, so
	// that what is sent along with it runs on its own.
	FailedBeginKeepsConnection bool
	// Observe, where it is set, records what the cores do at their edge: envelopes,
	// calls to databases and to the platform, and answers. It changes nothing.
	Observe *behaviourhash.Recorder
}

var zoneNames = []string{"zone-a", "zone-b", "zone-c"}

// Fleet is one world.
type Fleet struct {
	scheduler
	Plan          Plan
	Log           []string
	Quiet         bool
	network       *network
	oracle        *Oracle
	operators     operators
	moves         moves
	primaryRoles  primaryRoleChecks
	provider      provider
	controls      []*Control
	nodes         []*Node
	groups        []*group
	routes        []*callerRoute
	callers       []*caller
	streams       []*stream
	controlAt     map[string]*Control
	nodeAt        map[string]*Node
	databaseAt    map[string]*Database
	databases     map[string]*Database
	lastRun       uint64
	sessionIDs    uint64
	databaseCount int

	duplicateProbability                 float64
	lateCallProbability                  float64
	loadFactor                           float64
	promotionUnfreezesGroup              bool // a promotion ends the holds of the whole group
	failedBeginBreaksConnection          bool // a beginning that fails leaves its connection broken
	lastOperationUs                      int64
	healCount                            int
	releasesRunning                      int
	calmFromUs                           int64
	operationCount, successfulOperations int
	calmOperations, calmSuccesses        int
	successesByGroup                     map[string]int
	failedOperations                     []string
	faultCounts                          map[string]int
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func hostOf(addr string) string {
	h, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return h
}

// NewFleet makes a world and starts all that is in it.
func NewFleet(p Plan) *Fleet {
	f := &Fleet{scheduler: newScheduler(p.Seed), Plan: p, controlAt: map[string]*Control{}, nodeAt: map[string]*Node{}, databaseAt: map[string]*Database{}, databases: map[string]*Database{},
		loadFactor: 1, lateCallProbability: 0.02, lastOperationUs: 1 << 62, calmFromUs: 1 << 62, successesByGroup: map[string]int{}, faultCounts: map[string]int{}}
	f.network = newNetwork(f.scheduler)
	f.oracle = newOracle(f)
	f.operators = operators{fleet: f, tables: map[uint64]*version{}}
	f.moves = newMoves(f)
	f.primaryRoles = primaryRoleChecks{fleet: f, byGroup: map[string]*observedRole{}}
	f.promotionUnfreezesGroup, f.failedBeginBreaksConnection = f.Chance(0.5), !p.FailedBeginKeepsConnection
	f.provider = provider{ip: providerHost, takeoverUs: f.Between(250_000, 700_000), responseUs: 5_000}
	f.network.zones[providerHost], f.network.zones["operators"] = zoneNames[0], zoneNames[0]
	zones := map[string]string{}
	for _, z := range zoneNames {
		zones[z] = "region-of-" + z
	}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("10.%d.0.1:8782", i+1))
	}
	boot := func(ip, zone, name string) ports.ProcessConfig {
		b := ports.ProcessConfig{Name: name, Zone: zone, Zones: zones, IP: ip, PortFirst: firstPort, PortLast: firstPort + 15, Seeds: seeds, Bootstrap: true, AnnouncementIntervalUs: 1_200_000}
		b.Bounds = ports.TimeBounds{ContactUs: contactTimeoutUs, AckUs: 5_000_000, CatchUpUs: 4_000_000, GracefulDrainUs: drainTimeoutUs, GraceUs: 6_000_000, ApplyUs: configApplyTimeoutUs, StretchUs: sessionStretchUs, RemovalLagUs: 2_000_000}
		f.network.zones[ip] = zone
		return b
	}
	for i := range p.Groups {
		g := &group{name: fmt.Sprintf("stock-%d", i+1), syncReplicas: 1, limit: 65, newestTerm: 1, lost: map[*entry]bool{}}
		f.groups = append(f.groups, g)
		for j := range 3 {
			d := f.addDatabase(g, zoneNames[(i+j)%3])
			d.primary = j == 0
			if j == 0 {
				g.primary = d
			}
		}
		f.routes = append(f.routes,
			&callerRoute{name: "current-" + g.name, host: "cur" + g.name, group: g.name, kind: ports.CurrentRead, deadlineUs: 800_000, latencyTargetUs: 300_000, patienceUs: 2_000_000, writeProbability: 0.2, transactionProbability: 0.5},
			&callerRoute{name: "bounded-" + g.name, host: "bnd" + g.name, group: g.name, kind: ports.BoundedStaleness, deadlineUs: 2_000_000, latencyTargetUs: 600_000, patienceUs: 3_000_000, transactionProbability: 0.1, stalenessUs: 1_500_000},
			&callerRoute{name: "pinned-" + g.name, host: "pin" + g.name, group: g.name, kind: ports.ReadYourWrites, deadlineUs: 800_000, latencyTargetUs: 300_000, patienceUs: 2_000_000, writeProbability: 0.2, transactionProbability: 0.15, stalenessUs: 2_500_000})
	}
	for i := range cmp.Or(p.Controls, 3) {
		ip := fmt.Sprintf("10.%d.%d.1", i%3+1, i/3)
		c := &Control{zone: zoneNames[i%3]}
		c.process = process{fleet: f, name: fmt.Sprintf("control-%d", i+1), ip: ip}
		c.boot = boot(ip, c.zone, c.name)
		if p.Controls > 3 {
			c.boot.QuorumMember, c.boot.Tolerance.Machines = true, (p.Controls-1)/2
		}
		f.controls = append(f.controls, c)
		f.controlAt[c.boot.ControlNodeAddress()] = c
	}
	for i := range p.Nodes {
		ip := fmt.Sprintf("10.%d.0.%d", i%3+1, i/3+1)
		n := &Node{zone: zoneNames[i%3]}
		n.process = process{fleet: f, name: fmt.Sprintf("pool-%d", i+1), ip: ip}
		n.boot = boot(ip, n.zone, n.name)
		f.nodes = append(f.nodes, n)
		f.nodeAt[n.boot.PoolNodeAddress()] = n
	}
	for _, g := range f.groups {
		for _, d := range g.databases {
			d.start()
		}
	}
	for _, c := range f.controls {
		f.startControl(c)
	}
	for _, c := range f.controls {
		c.boot.Bootstrap = false
	}
	for _, n := range f.nodes {
		f.startNode(n)
		n.boot.Bootstrap = false
	}
	f.After(0, f.oracle.observe)
	f.After(0, f.sweepStreams)
	f.After(0, f.probe)
	f.After(300_000, f.operators.first)
	return f
}

func (f *Fleet) rate() float64 { return 1 + (f.Random.Float64()*2-1)*f.Plan.ClockRateSpread }

// addDatabase makes a database that is not started yet.
func (f *Fleet) addDatabase(g *group, zone string) *Database {
	f.databaseCount++
	z := slices.Index(zoneNames, zone) + 1
	return f.newDatabase(g, fmt.Sprintf("%s-db%d", g.name, f.databaseCount), fmt.Sprintf("10.%d.9.%d:8080", z, f.databaseCount), zone)
}

func (f *Fleet) group(name string) *group {
	for _, g := range f.groups {
		if g.name == name {
			return g
		}
	}
	panic("no group " + name)
}

func (f *Fleet) logf(format string, a ...any) {
	if f.Quiet {
		return
	}
	f.Log = append(f.Log, fmt.Sprintf("%.3f ", float64(f.Now)/1e6)+fmt.Sprintf(format, a...))
}

// count counts an operation's end.
func (f *Fleet) count(o *operation, ok bool) {
	f.operationCount++
	if ok {
		f.successfulOperations++
	}
	if o.atUs < f.calmFromUs || o.atUs+o.caller.route.patienceUs > f.lastOperationUs {
		return
	}
	f.calmOperations++
	if ok {
		f.calmSuccesses++
		if o.caller.route.kind == ports.CurrentRead && !o.readOnly {
			f.successesByGroup[o.caller.route.group]++
		}
	} else if len(f.failedOperations) < 20 {
		f.failedOperations = append(f.failedOperations, fmt.Sprintf("%s at %.3f, %d tries", o.caller.name, float64(o.atUs)/1e6, o.attempts))
	}
}

// Finish lets the fleet run on calmly, and holds the end against the rules.
func (f *Fleet) Finish() {
	f.Heal()
	for until := f.Now + 60_000_000; f.releasesRunning > 0 && f.Now < until; {
		f.Run(f.Now + 500_000)
	}
	f.calmFromUs = f.Now + recoveryPeriodUs
	f.lastOperationUs = f.calmFromUs + 6_000_000
	f.Run(f.lastOperationUs)
	f.operators.readBack(contactTimeoutUs)
	f.Run(f.Now + contactTimeoutUs + 100_000)
	f.oracle.finish()
	if f.calmOperations > 0 && float64(f.calmSuccesses) < minCalmSuccessRatio*float64(f.calmOperations) {
		f.oracle.violation("LIVE: %d of %d operations were served once all was calm: %v", f.calmSuccesses, f.calmOperations, f.failedOperations)
	}
	for _, g := range f.groups {
		if f.Plan.Callers > 0 && f.successesByGroup[g.name] == 0 {
			f.oracle.violation("LIVE: no write to %s was served once all was calm", g.name)
		}
	}
}

// Violations are the rules that were seen to break.
func (f *Fleet) Violations() []string { return f.oracle.Violations }
