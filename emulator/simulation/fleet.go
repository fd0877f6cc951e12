package simulation

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"stoneford/emulator/virtualtime"
	"stoneford/internal/behaviourhash"
	"stoneford/internal/control"
	"stoneford/internal/settings"
	"stoneford/schema"
)

// defaultMaxPlatformUs is the longest that the platform takes without a fault.
const defaultMaxPlatformUs = 5_000

// randomStream makes the random numbers of this simulation others than those of
// another simulation with the same seed.
const randomStream = 0x5eed

// Plan is what a simulated fleet is made of and what it has to bear.
type Plan struct {
	Seed               uint64
	Partner            string        // default pharmacies
	Configuration      []byte        // a configuration as operators send it; without one it is made of Groups, Zones and Connections
	MorePartners       []PartnerPlan // further partners on the same pool
	Machines           int
	Groups             []string
	Zones              []string
	Connections        int32
	Sessions           int
	TickIntervalUs     int64   // pause between two ticks of a group, 0 for 50 ms
	StepIntervalUs     int64   // pause between two steps of a node that hears nothing, 0 for 10 ms
	DayUs              int64   // length of a day whose curve the callers follow, 0 for none
	ThinkUs            int64   // mean pause of a session between two things it does
	ServiceUs          int64   // mean time of a run
	DatabaseServers    int     // runs a database works on at once
	AbandonProbability float64 // share of transactions that callers leave as they are
	LagUs              int64   // replicas apply a commit this much late
	Choice             string
	Position           bool
	MaxDelayUs         int64 // greatest delay of one way, 0 for 1500
	CrossZoneDelayUs   int64 // added to each way between two zones
	Mutation           Mutation
	// Observe, where it is set, records what the cores do at their edge: envelopes,
	// calls to databases and to the platform, and answers. It changes nothing.
	Observe *behaviourhash.Recorder
}

// PartnerPlan is one more partner and its groups, whose names must be its own.
type PartnerPlan struct {
	Partner string
	Groups  []string
}

// Mutation is a fault put into the harness around the cores, to show that the
// checks see it.
type Mutation int

// The plants.
const (
	NoMutation         Mutation = iota
	WriteTwice                  // some runs are passed on twice
	NotExecutedClaimed          // a lost return is taken for a run that never left
	AckBeforeMajority           // replicas are said to hold what they do not hold
	UnsealedTakeover            // a seal is confirmed without sealing
	SkippedEntry                // polls of the primary leave its newest commits out
	ClaimedApplied              // replicas are said to have applied all they hold
	TokenForgotten              // a session is opened without its token
	TornSession                 // a connection is said to be reset and is not
	ForeignPrepared             // a prepared name keeps the text it first had on a connection
	ChangedText                 // some statements are sent with another text
	UnheardDraining             // tables are not told that a database leaves
	DroppedAtStop               // a node that is stopped ends at once
	LateUpdates                 // nodes hear news 4 s late
	SlippingBack                // a node is told the first revision there was as the newest
	UncheckedChange             // an invalid change passes for a valid one
	RebasedChange               // a losing change is based anew on the newest revision
	UnsyncedDisk                // a control process that dies loses what it logged last
	DelayedRejections           // bounces reach callers only when the query expires
	UnmeantPromotion            // the platform promotes whatever copy stands at the target's place, and nodes take it for the agreed one
	PlatformUnasked             // the platform replaces a copy as soon as it is drained
)

// Fleet is a whole simulated fleet.
type Fleet struct {
	*virtualtime.Scheduler
	Plan                 Plan
	Configuration        *schema.Configuration        // all partners' together
	owner                map[string]string            // a group's partner
	texts                map[string][]byte            // configurations as operators send them, by partner
	classNames           map[string]map[string]string // a class's name by partner and kind
	zones                map[string]string            // by address
	Network              *Network
	Controls             []*controlProcess
	Nodes                []*nodeProcess
	Databases            map[string]*Database // by name
	databaseAt           map[string]*Database
	lastID               uint64
	pendingReturns       map[uint64]func(control.ConfigurationResult)
	pendingNotifications map[uint64]func(control.CommandResult)
	platformEpochs       map[string]uint64 // platform: highest epoch by group
	platformTargets      map[string]string
	Oracle               *Oracle
	Log                  []string
	Quiet                bool
	sessions             []*session
	halted               bool
	applied              map[string]uint64 // per node and key, over restarts
	// MaxPlatformUs is the longest the platform takes to carry out what it is asked
	// for, PlatformFailureProbability how often it does nothing.
	MaxPlatformUs              int64
	PlatformFailureProbability float64
	noMajorityUs               int64 // when fewer than two control processes were last plain
	crowdCount                 int
	waiting                    int                      // queries whose callers wait for a return
	rolling                    bool                     // all nodes, or all control processes, are restarted in turn
	lastTag                    map[string]string        // newest acknowledged tag by route
	lastRead                   map[string]string        // newest read by route
	firstConfigurations        map[string]*schema.Value // of each configuration, for a plant
}

// Violation notes something that must never happen.
func (f *Fleet) Violation(s string, a ...any) {
	f.Oracle.violation(fmt.Sprintf("at %.3f s: ", float64(f.Now)/1e6) + fmt.Sprintf(s, a...))
}

func (f *Fleet) logf(s string, a ...any) {
	if !f.Quiet {
		f.Log = append(f.Log, fmt.Sprintf("%.3f ", float64(f.Now)/1e6)+fmt.Sprintf(s, a...))
	}
}

// NewFleet lays a fleet out and starts it.
func NewFleet(p Plan) *Fleet {
	w := virtualtime.NewScheduler(p.Seed, randomStream)
	if p.Partner == "" {
		p.Partner = "pharmacies"
	}
	p.TickIntervalUs, p.StepIntervalUs = cmp.Or(p.TickIntervalUs, 50_000), cmp.Or(p.StepIntervalUs, 10_000)
	f := &Fleet{Scheduler: w, Configuration: &schema.Configuration{}, owner: map[string]string{}, texts: map[string][]byte{}, classNames: map[string]map[string]string{}, zones: map[string]string{},
		Network: newObservedNetwork(w, p.Observe), Databases: map[string]*Database{}, databaseAt: map[string]*Database{}, pendingReturns: map[uint64]func(control.ConfigurationResult){}, pendingNotifications: map[uint64]func(control.CommandResult){},
		platformEpochs: map[string]uint64{}, platformTargets: map[string]string{}, applied: map[string]uint64{}, lastTag: map[string]string{}, lastRead: map[string]string{}, firstConfigurations: map[string]*schema.Value{}, MaxPlatformUs: defaultMaxPlatformUs}
	parts := append([]PartnerPlan{{Partner: p.Partner, Groups: p.Groups}}, p.MorePartners...)
	p.Groups = nil
	for i, partner := range parts {
		text := p.Configuration
		if i > 0 || text == nil {
			text = p.configuration(partner, 3*len(p.Groups))
		}
		configuration, ps := settings.ReadConfiguration(text)
		if len(ps) > 0 {
			panic(fmt.Sprint("simulation: ", ps))
		}
		f.texts[partner.Partner], f.classNames[partner.Partner] = text, map[string]string{}
		for _, k := range slices.Sorted(maps.Keys(configuration.Classes)) {
			f.classNames[partner.Partner][configuration.Classes[k].Kind] = k
		}
		for _, g := range slices.Sorted(maps.Keys(configuration.Groups)) {
			f.owner[g] = partner.Partner
			p.Groups = append(p.Groups, g)
		}
		proto.Merge(f.Configuration, configuration)
	}
	f.Plan = p
	if p.MaxDelayUs > 0 {
		f.Network.MinDelayUs, f.Network.MaxDelayUs = p.MaxDelayUs/10, p.MaxDelayUs
	}
	f.Oracle = newOracle(f)
	f.Network.Receive = f.receive
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("10.0.0.%d:1", i+1))
	}
	for i, a := range seeds {
		c := &controlProcess{boot: &schema.Boot{Name: fmt.Sprintf("control-%d", i+1), Zone: f.zone(i), Partner: parts[i%len(parts)].Partner, Listen: a, Http: a, Seeds: seeds, DataFolder: "x"}}
		f.Controls = append(f.Controls, c)
		f.zones[a] = c.boot.Zone
		f.startControl(c)
	}
	for range p.Machines {
		f.Join()
	}
	if p.Mutation == PlatformUnasked {
		f.After(0, f.replaceUnrequested)
	}
	for _, g := range p.Groups {
		for _, m := range f.Configuration.Groups[g].Members {
			f.addDatabase(m, g, f.Configuration.Databases[m].Address, f.Configuration.Databases[m].Zone, int(f.Configuration.Databases[m].Connections))
			f.zones[f.Databases[m].address] = f.Databases[m].zone
		}
	}
	f.Network.ExtraDelayUs = func(a, b string) int64 {
		if f.zones[a] == f.zones[b] {
			return 0
		}
		return p.CrossZoneDelayUs
	}
	return f
}

// zone is where the i-th machine of a kind stands.
func (f *Fleet) zone(i int) string { return f.Plan.Zones[i%len(f.Plan.Zones)] }

// Partners names all partners.
func (f *Fleet) Partners() []string { return slices.Sorted(maps.Keys(f.texts)) }

// Join has one more machine with a pool node; partners bring them in turn.
func (f *Fleet) Join() {
	i := len(f.Nodes)
	a := fmt.Sprintf("10.0.1.%d:1", i+1)
	n := &nodeProcess{fleet: f, boot: &schema.Boot{Name: fmt.Sprintf("pool-%d", i+1), Zone: f.zone(i), Partner: f.Partners()[i%len(f.texts)], Listen: a, Http: a, Seeds: f.Controls[0].boot.Seeds}}
	f.Nodes = append(f.Nodes, n)
	f.zones[a] = n.boot.Zone
	f.startNode(n)
}

// classNames are each partner's own names of the three kinds.
var classNames = map[string][3]string{"lender": {"disburse", "repayment", "limit"}}

// configuration is one of a partner's groups; its databases are numbered from
// the number given.
func (p Plan) configuration(partner PartnerPlan, from int) []byte {
	ns, ok := classNames[partner.Partner]
	if !ok {
		ns = [3]string{"reserve", "lookup", "pickup"}
	}
	dbs, gs, rs := map[string]any{}, map[string]any{}, map[string]any{}
	for i, g := range partner.Groups {
		var ms []string
		for j := range 3 {
			n := fmt.Sprintf("%s-%c", g, 'a'+j)
			ms = append(ms, n)
			dbs[n] = map[string]any{"address": fmt.Sprintf("10.0.2.%d:1", from+i*3+j+1), "zone": p.Zones[(i+j)%len(p.Zones)], "connections": p.Connections}
		}
		gs[g] = map[string]any{"members": ms, "primary": ms[0]}
		rs[g] = map[string]any{"group": g, "classes": ns[:]}
	}
	b, err := json.Marshal(map[string]any{"databases": dbs, "groups": gs, "routes": rs, "classes": map[string]any{
		ns[0]: map[string]any{"kind": "current"},
		ns[1]: map[string]any{"kind": "stale", "stale_us": 1_500_000},
		ns[2]: map[string]any{"kind": "pinned", "stale_us": 2_500_000},
	}})
	if err != nil {
		panic(err)
	}
	return b
}

func (f *Fleet) runNumber() uint64 { return uint64(f.Now) }
