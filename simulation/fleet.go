package simulation

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"stoneford/control"
	"stoneford/internal/behaviourhash"
	"stoneford/schema"
	"stoneford/settings"
)

// Plan is what a simulated fleet is made of and what it has to bear.
type Plan struct {
	Seed          uint64
	Partner       string // default pharmacies
	Configuration []byte // a configuration as operators send it; without one it is made of Groups, Zones and Connections
	With          []Part // further partners on the same pool
	Machines      int
	Groups        []string
	Zones         []string
	Connections   int32
	Sessions      int
	TickUs        int64   // pause between two ticks of a group, 0 for 50 ms
	StepUs        int64   // pause between two steps of a node that hears nothing, 0 for 10 ms
	DayUs         int64   // length of a day whose curve the callers follow, 0 for none
	ThinkUs       int64   // mean pause of a session between two things it does
	ServiceUs     int64   // mean time of a run
	Servers       int     // runs a database works on at once
	Left          float64 // share of transactions that callers leave as they are
	LagUs         int64   // replicas apply a commit this much late
	Choice        string
	Position      bool
	DelayUs       int64 // greatest delay of one way, 0 for 1500
	BetweenUs     int64 // added to each way between two zones
	Plant         Plant
	// Observe, where it is set, records what the cores do at their edge: envelopes,
	// calls to databases and to the platform, and answers. It changes nothing.
	Observe *behaviourhash.Recorder
}

// Part is one more partner and its groups, whose names must be its own.
type Part struct {
	Partner string
	Groups  []string
}

// Plant is a fault put into the harness around the cores, to show that the
// checks see it.
type Plant int

// The plants.
const (
	NoPlant           Plant = iota
	WriteTwice              // some runs are passed on twice
	NothingKeptSaid         // a lost return is taken for a run that never left
	AckBeforeMajority       // replicas are said to hold what they do not hold
	UnsealedTakeover        // a seal is confirmed without sealing
	SkippedEntry            // polls of the primary leave its newest commits out
	ClaimedApplied          // replicas are said to have applied all they hold
	TokenForgotten          // a session is opened without its token
	TornSession             // a connection is said to be reset and is not
	ForeignPrepared         // a prepared name keeps the text it first had on a connection
	ChangedText             // some statements are sent with another text
	UnheardLeaving          // tables are not told that a database leaves
	DroppedAtStop           // a node that is stopped ends at once
	LateNews                // nodes hear news 4 s late
	SlippingBack            // a node is told the first revision there was as the newest
	UncheckedChange         // an invalid change passes for a valid one
	RebasedChange           // a losing change is based anew on the newest revision
	UnsyncedDisk            // a control process that dies loses what it logged last
	HeldBack                // bounces reach callers only when the query expires
	UnmeantPromotion        // the platform promotes whatever copy stands at the target's place, and nodes take it for the agreed one
	PlatformUnasked         // the platform replaces a copy as soon as it is drained
)

// Fleet is a whole simulated fleet.
type Fleet struct {
	*World
	Plan     Plan
	Cf       *schema.Configuration        // all partners' together
	owner    map[string]string            // a group's partner
	texts    map[string][]byte            // configurations as operators send them, by partner
	class    map[string]map[string]string // a class's name by partner and kind
	zones    map[string]string            // by address
	Net      *Network
	Controls []*controlProc
	Nodes    []*nodeProc
	DBs      map[string]*DB // by name
	byAddr   map[string]*DB
	ids      uint64
	returns  map[uint64]func(control.Return)
	told     map[uint64]func(control.Told)
	plat     map[string]uint64 // platform: highest epoch by group
	platT    map[string]string
	Truth    *Truth
	Says     []string
	Quiet    bool
	sessions []*session
	halted   bool
	applied  map[string]uint64 // per node and key, over restarts
	// PlatformUs is the longest the platform takes to carry out what it is asked
	// for, PlatformFails how often it does nothing.
	PlatformUs    int64
	PlatformFails float64
	fewControls   int64 // when fewer than two control processes were last plain
	crowds        int
	waiting       int                      // queries whose callers wait for a return
	rolling       bool                     // all nodes, or all control processes, are restarted in turn
	lastTag       map[string]string        // newest acknowledged tag by route
	lastRead      map[string]string        // newest read by route
	firsts        map[string]*schema.Value // of each configuration, for a plant
}

// Bad notes something that must never happen.
func (f *Fleet) Bad(s string, a ...any) {
	f.Truth.bad(fmt.Sprintf("at %.3f s: ", float64(f.Now)/1e6) + fmt.Sprintf(s, a...))
}

func (f *Fleet) say(s string, a ...any) {
	if !f.Quiet {
		f.Says = append(f.Says, fmt.Sprintf("%.3f ", float64(f.Now)/1e6)+fmt.Sprintf(s, a...))
	}
}

// NewFleet lays a fleet out and starts it.
func NewFleet(p Plan) *Fleet {
	w := NewWorld(p.Seed)
	if p.Partner == "" {
		p.Partner = "pharmacies"
	}
	p.TickUs, p.StepUs = cmp.Or(p.TickUs, 50_000), cmp.Or(p.StepUs, 10_000)
	f := &Fleet{World: w, Cf: &schema.Configuration{}, owner: map[string]string{}, texts: map[string][]byte{}, class: map[string]map[string]string{}, zones: map[string]string{},
		Net: newObservedNetwork(w, p.Observe), DBs: map[string]*DB{}, byAddr: map[string]*DB{}, returns: map[uint64]func(control.Return){}, told: map[uint64]func(control.Told){},
		plat: map[string]uint64{}, platT: map[string]string{}, applied: map[string]uint64{}, lastTag: map[string]string{}, lastRead: map[string]string{}, firsts: map[string]*schema.Value{}, PlatformUs: 5_000}
	parts := append([]Part{{Partner: p.Partner, Groups: p.Groups}}, p.With...)
	p.Groups = nil
	for i, pt := range parts {
		text := p.Configuration
		if i > 0 || text == nil {
			text = p.configuration(pt, 3*len(p.Groups))
		}
		cf, ps := settings.ReadConfiguration(text)
		if len(ps) > 0 {
			panic(fmt.Sprint("simulation: ", ps))
		}
		f.texts[pt.Partner], f.class[pt.Partner] = text, map[string]string{}
		for _, k := range slices.Sorted(maps.Keys(cf.Classes)) {
			f.class[pt.Partner][cf.Classes[k].Kind] = k
		}
		for _, g := range slices.Sorted(maps.Keys(cf.Groups)) {
			f.owner[g] = pt.Partner
			p.Groups = append(p.Groups, g)
		}
		proto.Merge(f.Cf, cf)
	}
	f.Plan = p
	if p.DelayUs > 0 {
		f.Net.DelayLo, f.Net.DelayHi = p.DelayUs/10, p.DelayUs
	}
	f.Truth = newTruth(f)
	f.Net.Take = f.take
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("10.0.0.%d:1", i+1))
	}
	for i, a := range seeds {
		c := &controlProc{boot: &schema.Boot{Name: fmt.Sprintf("control-%d", i+1), Zone: f.zone(i), Partner: parts[i%len(parts)].Partner, Listen: a, Http: a, Seeds: seeds, DataFolder: "x"}}
		f.Controls = append(f.Controls, c)
		f.zones[a] = c.boot.Zone
		f.startControl(c)
	}
	for range p.Machines {
		f.Join()
	}
	if p.Plant == PlatformUnasked {
		f.After(0, f.unasked)
	}
	for _, g := range p.Groups {
		for _, m := range f.Cf.Groups[g].Members {
			f.addDB(m, g, f.Cf.Databases[m].Address, f.Cf.Databases[m].Zone, int(f.Cf.Databases[m].Connections))
			f.zones[f.DBs[m].addr] = f.DBs[m].zone
		}
	}
	f.Net.Extra = func(a, b string) int64 {
		if f.zones[a] == f.zones[b] {
			return 0
		}
		return p.BetweenUs
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
	n := &nodeProc{f: f, boot: &schema.Boot{Name: fmt.Sprintf("pool-%d", i+1), Zone: f.zone(i), Partner: f.Partners()[i%len(f.texts)], Listen: a, Http: a, Seeds: f.Controls[0].boot.Seeds}}
	f.Nodes = append(f.Nodes, n)
	f.zones[a] = n.boot.Zone
	f.startNode(n)
}

// classNames are each partner's own names of the three kinds.
var classNames = map[string][3]string{"lender": {"disburse", "repayment", "limit"}}

// configuration is one of a partner's groups; its databases are numbered from
// the number given.
func (p Plan) configuration(pt Part, from int) []byte {
	ns, ok := classNames[pt.Partner]
	if !ok {
		ns = [3]string{"reserve", "lookup", "pickup"}
	}
	dbs, gs, rs := map[string]any{}, map[string]any{}, map[string]any{}
	for i, g := range pt.Groups {
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
