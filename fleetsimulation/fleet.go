package fleetsimulation

import (
	"cmp"
	"fmt"
	"maps"
	"net"
	"slices"

	"stoneford/internal/behaviourhash"
	"stoneford/ports"
	"stoneford/sessiontable"
)

// Plant is a fault put into a world on purpose, to show that the rule it breaks
// can be seen to break.
type Plant int

// Plants.
const (
	None                Plant = iota
	HoldIgnored               // held databases receive on
	SyncDropped               // a primary answers before any follower has received
	SlowClock                 // nodes' clocks run at a quarter of the true rate
	ResetIgnored              // databases keep values and names over a reset
	AfterIgnored              // databases serve reads whose position they lack
	BusyThatRan               // a database promises not to have run what it ran
	RunsTwice                 // a database runs a write twice
	TextChanged               // a statement is changed on its way
	BodiesSwapped             // a caller is given another's result
	RepliesLate               // replies leave a node two seconds late
	UnsyncedDisk              // control processes' entries leave before they are synced
	LeavesForgotten           // news that a database leaves reaches no node
	TablesForgotten           // news of a table reaches some node no more
	GateSkipped               // voters say of all that they work by the newest table, and one node hears of none
	FloorIgnored              // beside that, nodes do not hear which table a leadership needs
	LeaversReceive            // databases that leave are not held
	PromotionsForgotten       // the platform says that it takes a promotion, and does not
)

// Plan is what a world is made of.
type Plan struct {
	Seed      uint64
	Nodes     int
	Controls  int // three, if it is 0
	Groups    int
	Callers   int
	EveryUs   int64
	Conflicts float64 // share of writes that a database rolls back by itself
	Spread    float64 // clocks' rates differ from the true one by so much at most
	Options   sessiontable.Options
	Plant     Plant
	// BusyIsNotThere has control processes' edges tell of a bounced question as
	// of a refused connection.
	BusyIsNotThere bool
	// BeginningRests has a beginning that fails leave its connection at rest, so
	// that what is sent along with it runs on its own.
	BeginningRests bool
	// Observe, where it is set, records what the cores do at their edge: envelopes,
	// calls to databases and to the platform, and answers. It changes nothing.
	Observe *behaviourhash.Recorder
}

var zoneNames = []string{"zone-a", "zone-b", "zone-c"}

// Fleet is one world.
type Fleet struct {
	*World
	Plan       Plan
	Says       []string
	Quiet      bool
	net        *network
	truth      *Truth
	operators  operators
	moves      moves
	duties     duties
	provider   provider
	controls   []*Control
	nodes      []*Node
	groups     []*group
	routes     []*routeTruth
	callers    []*caller
	streams    []*stream
	ctlAt      map[string]*Control
	nodeAt     map[string]*Node
	dbAt       map[string]*DB
	dbs        map[string]*DB
	runs       uint64
	sessionIDs uint64
	dbCount    int

	doubles           float64
	lateCalls         float64
	press             float64
	promotionReleases bool // a promotion ends the holds of the whole group
	badBeginBreaks    bool // a beginning that fails leaves its connection broken
	lastOps           int64
	healed            int
	releasing         int
	calmFrom          int64
	ops, okOps        int
	calmOps, calmOK   int
	groupOK           map[string]int
	failedOps         []string
	faultsOn          map[string]int
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
	f := &Fleet{World: NewWorld(p.Seed), Plan: p, ctlAt: map[string]*Control{}, nodeAt: map[string]*Node{}, dbAt: map[string]*DB{}, dbs: map[string]*DB{},
		press: 1, lateCalls: 0.02, lastOps: 1 << 62, calmFrom: 1 << 62, groupOK: map[string]int{}, faultsOn: map[string]int{}}
	f.net = newNetwork(f.World)
	f.truth = newTruth(f)
	f.operators = operators{f: f, tables: map[uint64]*version{}}
	f.moves = newMoves(f)
	f.duties = duties{f: f, of: map[string]*dutySeen{}}
	f.promotionReleases, f.badBeginBreaks = f.Chance(0.5), !p.BeginningRests
	f.provider = provider{ip: providerHost, takeUs: f.Between(250_000, 700_000), slowUs: 5_000}
	f.net.zones[providerHost], f.net.zones["operators"] = zoneNames[0], zoneNames[0]
	zones := map[string]string{}
	for _, z := range zoneNames {
		zones[z] = "region-of-" + z
	}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("10.%d.0.1:8782", i+1))
	}
	boot := func(ip, zone, name string) ports.Boot {
		b := ports.Boot{Name: name, Zone: zone, Zones: zones, IP: ip, PortFirst: portFirst, PortLast: portFirst + 15, Seeds: seeds, Bootstrap: true, BeatUs: 1_200_000}
		b.Bounds = ports.Bounds{ContactUs: contactUs, AckUs: 5_000_000, CatchUpUs: 4_000_000, DrainUs: drainUs, GraceUs: 6_000_000, ApplyUs: applyUs, StretchUs: stretchUs, TakenOutUs: 2_000_000}
		f.net.zones[ip] = zone
		return b
	}
	for i := range p.Groups {
		g := &group{name: fmt.Sprintf("stock-%d", i+1), sync: 1, limit: 65, terms: 1, lost: map[*entry]bool{}}
		f.groups = append(f.groups, g)
		for j := range 3 {
			d := f.addDB(g, zoneNames[(i+j)%3])
			d.primary = j == 0
			if j == 0 {
				g.primary = d
			}
		}
		f.routes = append(f.routes,
			&routeTruth{name: "current-" + g.name, host: "cur" + g.name, group: g.name, kind: ports.Current, expiry: 800_000, aim: 300_000, patience: 2_000_000, writes: 0.2, txs: 0.5},
			&routeTruth{name: "bounded-" + g.name, host: "bnd" + g.name, group: g.name, kind: ports.Bounded, expiry: 2_000_000, aim: 600_000, patience: 3_000_000, txs: 0.1, staleUs: 1_500_000},
			&routeTruth{name: "pinned-" + g.name, host: "pin" + g.name, group: g.name, kind: ports.Pinned, expiry: 800_000, aim: 300_000, patience: 2_000_000, writes: 0.2, txs: 0.15, staleUs: 2_500_000})
	}
	for i := range cmp.Or(p.Controls, 3) {
		ip := fmt.Sprintf("10.%d.%d.1", i%3+1, i/3)
		c := &Control{zone: zoneNames[i%3]}
		c.process = process{f: f, name: fmt.Sprintf("control-%d", i+1), ip: ip}
		c.boot = boot(ip, c.zone, c.name)
		if p.Controls > 3 {
			c.boot.QuorumMember, c.boot.LostAtOnce.Machines = true, (p.Controls-1)/2
		}
		f.controls = append(f.controls, c)
		f.ctlAt[c.boot.ControlNode()] = c
	}
	for i := range p.Nodes {
		ip := fmt.Sprintf("10.%d.0.%d", i%3+1, i/3+1)
		n := &Node{zone: zoneNames[i%3]}
		n.process = process{f: f, name: fmt.Sprintf("pool-%d", i+1), ip: ip}
		n.boot = boot(ip, n.zone, n.name)
		f.nodes = append(f.nodes, n)
		f.nodeAt[n.boot.PoolNode()] = n
	}
	for _, g := range f.groups {
		for _, d := range g.dbs {
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
	f.After(0, f.truth.watch)
	f.After(0, f.sweepStreams)
	f.After(0, f.probe)
	f.After(300_000, f.operators.first)
	return f
}

func (f *Fleet) rate() float64 { return 1 + (f.R.Float64()*2-1)*f.Plan.Spread }

// addDB makes a database that is not started yet.
func (f *Fleet) addDB(g *group, zone string) *DB {
	f.dbCount++
	z := slices.Index(zoneNames, zone) + 1
	return f.newDB(g, fmt.Sprintf("%s-db%d", g.name, f.dbCount), fmt.Sprintf("10.%d.9.%d:8080", z, f.dbCount), zone)
}

func (f *Fleet) group(name string) *group {
	for _, g := range f.groups {
		if g.name == name {
			return g
		}
	}
	panic("no group " + name)
}

func (f *Fleet) say(format string, a ...any) {
	if f.Quiet {
		return
	}
	f.Says = append(f.Says, fmt.Sprintf("%.3f ", float64(f.Now)/1e6)+fmt.Sprintf(format, a...))
}

// count counts an operation's end.
func (f *Fleet) count(o *operation, ok bool) {
	f.ops++
	if ok {
		f.okOps++
	}
	if o.atUs < f.calmFrom || o.atUs+o.c.r.patience > f.lastOps {
		return
	}
	f.calmOps++
	if ok {
		f.calmOK++
		if o.c.r.kind == ports.Current && !o.only {
			f.groupOK[o.c.r.group]++
		}
	} else if len(f.failedOps) < 20 {
		f.failedOps = append(f.failedOps, fmt.Sprintf("%s at %.3f, %d tries", o.c.name, float64(o.atUs)/1e6, o.tries))
	}
}

// Finish lets the fleet run on calmly, and holds the end against the rules.
func (f *Fleet) Finish() {
	f.Heal()
	for until := f.Now + 60_000_000; f.releasing > 0 && f.Now < until; {
		f.Run(f.Now + 500_000)
	}
	f.calmFrom = f.Now + recoverUs
	f.lastOps = f.calmFrom + 6_000_000
	f.Run(f.lastOps)
	f.operators.readBack(contactUs)
	f.Run(f.Now + contactUs + 100_000)
	f.truth.finish()
	if f.calmOps > 0 && float64(f.calmOK) < goodInCalm*float64(f.calmOps) {
		f.truth.bad("LIVE: %d of %d operations were served once all was calm: %v", f.calmOK, f.calmOps, f.failedOps)
	}
	for _, g := range f.groups {
		if f.Plan.Callers > 0 && f.groupOK[g.name] == 0 {
			f.truth.bad("LIVE: no write to %s was served once all was calm", g.name)
		}
	}
}

// Violations are the rules that were seen to break.
func (f *Fleet) Violations() []string { return f.truth.Violations }
