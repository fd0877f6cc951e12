package simulation

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"stoneford/bookings"
	"stoneford/control"
	"stoneford/pool"
	"stoneford/querytable"
	"stoneford/schema"
	"stoneford/settings"
	"stoneford/standin/databasecopy"
	"stoneford/takeover"
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

type controlProc struct {
	boot     *schema.Boot
	core     *control.Core
	disk     []*schema.VoterLog
	unsynced []*schema.VoterLog
	syncUs   int64 // a sync of the disk takes so long
	leaving  bool
	life
}

type nodeProc struct {
	f       *Fleet
	boot    *schema.Boot
	core    *pool.Core
	tables  map[string]*querytable.Table
	routes  map[string]pool.Route
	waiters map[uint64]func(querytable.Return)
	wanted  map[string]querytable.Wanted
	leftAt  map[string]int64 // by address: when leaving was learned
	run     uint64
	leaving bool
	life
}

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
		Net: NewNetwork(w), DBs: map[string]*DB{}, byAddr: map[string]*DB{}, returns: map[uint64]func(control.Return){}, told: map[uint64]func(control.Told){},
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

func (f *Fleet) startControl(c *controlProc) {
	c.begin()
	c.unsynced, c.syncUs, c.leaving = nil, 0, false
	c.core = control.NewCore(c.boot, f.runNumber(), f.R.Uint32())
	for _, l := range c.disk {
		c.core.Restore(l)
	}
	f.ticks(&c.life, 20_000, func() { f.stepControl(c, control.Wall{Us: f.Now}) })
}

func (f *Fleet) stepControl(c *controlProc, evs ...any) {
	fx := c.core.Step(f.Now, evs...)
	if c.syncUs == 0 || len(fx.Log) == 0 {
		f.synced(c, fx)
		return
	}
	// Nothing leaves before the sync has ended, and no other step begins.
	took := f.Between(c.syncUs/2, c.syncUs*3/2)
	c.free, c.unsynced = f.Now+took, fx.Log
	gen := c.gen
	var end func()
	end = func() {
		switch {
		case !c.up || c.gen != gen:
		case c.paused:
			c.held = append(c.held, end)
		default:
			c.unsynced = nil
			f.synced(c, fx)
		}
	}
	f.After(took, end)
}

// synced keeps what a step logged and does what it asked for.
func (f *Fleet) synced(c *controlProc, fx control.Effects) {
	c.disk = append(c.disk, fx.Log...)
	if len(c.disk) > 300 {
		c.disk = []*schema.VoterLog{c.core.Snapshot()}
	}
	for _, s := range fx.Send {
		f.Net.Send(c.boot.Listen, s)
	}
	for _, d := range fx.Do {
		switch d := d.(type) {
		case control.Return:
			if r := f.returns[d.ID]; r != nil {
				delete(f.returns, d.ID)
				r(d)
			}
		case control.AskDatabase:
			f.askDatabase(c, d)
		case control.Platform:
			f.platform(d)
		case control.Told:
			if r := f.told[d.ID]; r != nil {
				delete(f.told, d.ID)
				r(d)
			}
		case control.Replace:
			f.After(f.Between(500, f.PlatformUs), func() {
				if f.Chance(f.PlatformFails) {
					return
				}
				if o := f.DBs[d.Database]; o.c.Identity == d.Identity {
					f.LoseDB(d.Database)
				}
			})
		case control.StopMachine:
			for i, n := range f.Nodes {
				if n.boot.Name == d.Machine {
					f.After(f.Between(500, f.PlatformUs), func() {
						if !f.Chance(f.PlatformFails) {
							f.StopNode(i)
						}
					})
				}
			}
		case control.Say:
			f.say("%s %d %s", c.boot.Name, d.Code, d.Text)
		}
	}
}

// unasked has the platform replace what a booking drains, if that is planted.
func (f *Fleet) unasked() {
	for _, b := range f.Calendar().Bookings {
		n := strings.TrimPrefix(b.Target, b.Owner+"/")
		if b.State == bookings.Draining && f.DBs[n] != nil && f.DBs[n].c.Identity == b.Identity {
			f.LoseDB(n)
		}
	}
	f.After(100_000, f.unasked)
}

// toControl hands an event to a control process, later where it is frozen or
// slow.
func (f *Fleet) toControl(c *controlProc, gen int, e any) {
	f.enter(&c.life, gen, func() { f.stepControl(c, e) })
}

// Operate puts an operator's event to a control process; done is called unless
// the process dies first.
func (f *Fleet) Operate(c *controlProc, e func(id uint64) any, done func(control.Return)) {
	f.ids++
	id := f.ids
	f.returns[id] = done
	f.toControl(c, c.gen, e(id))
}

// Type has a partner type a sentence at a control process.
func (f *Fleet) Type(c *controlProc, who, text string, done func(control.Told)) {
	f.ids++
	id := f.ids
	f.told[id] = done
	f.toControl(c, c.gen, control.Ask{ID: id, Partner: who, Text: text})
}

func (f *Fleet) askDatabase(c *controlProc, d control.AskDatabase) {
	gen := c.gen
	back := func(err bool, s databasecopy.Status) {
		f.toControl(c, gen, control.DatabaseSaid{Group: d.Group, ID: d.ID, Err: err, Status: takeover.Status{Identity: s.Identity, Role: s.Role,
			Epoch: s.Epoch, LogEpoch: s.LogEpoch, Received: s.Received, Applied: s.Applied, Following: s.Following, Leaving: s.Leaving}})
	}
	f.call(c.boot.Listen, d.Address, 500_000, func(db *DB, reply func(any)) {
		if d.Seal > 0 && f.Plan.Plant == UnsealedTakeover {
			s := db.c.Status()
			s.Epoch, s.Role = d.Seal, "sealed"
			reply(s)
			return
		}
		if d.Seal > 0 {
			db.c.Seal(d.Seal)
			db.changed()
		}
		reply(db.c.Status())
	}, func(v any, _ bool) {
		if s, ok := v.(databasecopy.Status); ok {
			back(false, s)
		} else {
			back(true, databasecopy.Status{})
		}
	})
}

// platform carries a takeover out as the stand-in does.
func (f *Fleet) platform(d control.Platform) {
	f.After(f.Between(500, f.PlatformUs), func() {
		if f.Chance(f.PlatformFails) || d.Epoch < f.plat[d.Group] || d.Epoch == f.plat[d.Group] && f.platT[d.Group] != d.Target {
			return
		}
		f.plat[d.Group], f.platT[d.Group] = d.Epoch, d.Target
		t := f.DBs[d.Target]
		if t == nil || !t.talks() {
			return
		}
		if f.Plan.Plant == UnmeantPromotion {
			d.Identity = ""
		}
		if !t.c.Promote(d.Epoch, d.Identity, f.Now) {
			return
		}
		t.changed()
		for _, m := range d.Members {
			if o := f.DBs[m.Name]; o != nil && m.Name != d.Target && o.talks() {
				o.c.Follow(d.Epoch, t.addr)
				o.changed()
			}
		}
	})
}

func (f *Fleet) take(to string, e *schema.Envelope) {
	switch f.Plan.Plant {
	case LateNews:
		if e.GetNews() != nil && f.Now > 3_400_000 {
			f.After(4_000_000, func() { f.arrive(to, e) })
			return
		}
	case SlippingBack:
		f.slip(to, e)
	}
	f.arrive(to, e)
}

// slip has a node that started lately be told the first revision there was of
// each configuration, by news and by voters.
func (f *Fleet) slip(to string, e *schema.Envelope) {
	young := slices.ContainsFunc(f.Nodes, func(n *nodeProc) bool {
		return n.boot.Listen == to && n.gen > 1 && f.Now-int64(n.run) < 2_000_000
	})
	old := func(key string, v *schema.Value) *schema.Value {
		if !strings.HasPrefix(key, control.ConfigPrefix) || v == nil {
			return v
		}
		if f.firsts[key] == nil {
			f.firsts[key] = v
		}
		if young {
			return f.firsts[key]
		}
		return v
	}
	for _, r := range e.GetNews().GetRegisters() {
		r.Value = old(r.Key, r.Value)
	}
	if p := e.GetPromise(); p != nil {
		p.Value = old(p.Key, p.Value)
	}
}

func (f *Fleet) arrive(to string, e *schema.Envelope) {
	for _, c := range f.Controls {
		if c.boot.Listen == to {
			f.toControl(c, c.gen, e)
			return
		}
	}
	for _, n := range f.Nodes {
		if n.boot.Listen == to {
			f.toNode(n, n.gen, func() { f.stepNode(n, e) })
			return
		}
	}
}

func (f *Fleet) startNode(n *nodeProc) {
	n.begin()
	n.trouble = f.Now
	n.run = f.runNumber()
	n.core = pool.NewCore(n.boot, n.run)
	n.tables, n.routes = map[string]*querytable.Table{}, map[string]pool.Route{}
	n.waiters, n.wanted, n.leftAt = map[uint64]func(querytable.Return){}, map[string]querytable.Wanted{}, map[string]int64{}
	f.ticks(&n.life, f.Plan.StepUs, func() {
		var said []any
		for _, k := range slices.Sorted(maps.Keys(n.tables)) {
			f.stepTable(n, k, querytable.Tick{})
			_, _, in := n.tables[k].Gauges()
			said = append(said, pool.TableSaid{Group: k, Views: n.tables[k].Views(f.Now), InUse: in})
		}
		f.stepNode(n, said...)
		f.checkPermits()
	})
}

func (f *Fleet) toNode(n *nodeProc, gen int, do func()) { f.enter(&n.life, gen, do) }

func (f *Fleet) stepNode(n *nodeProc, evs ...any) {
	fx := n.core.Step(f.Now, evs...)
	for _, s := range fx.Send {
		f.Net.Send(n.boot.Listen, s)
	}
	for _, d := range fx.Do {
		switch d := d.(type) {
		case pool.Want:
			w := d.Wanted
			w.Choice, w.Position = f.Plan.Choice, f.Plan.Position
			if n.tables[d.Group] == nil {
				n.tables[d.Group] = querytable.New(f.R.Uint64())
			}
			n.wanted[d.Group] = w
			f.stepTable(n, d.Group, querytable.Boot{Wanted: w})
		case pool.Routes:
			n.routes = d.Routes
		case pool.Why:
			if t := n.tables[d.Group]; t != nil {
				for _, e := range t.Step(f.Now, querytable.Why{Name: d.Query}) {
					if e, ok := e.(querytable.Decided); ok {
						f.stepNode(n, pool.Decided{Why: d, Group: d.Group, AtUs: f.Now, Decisions: e.Decisions})
					}
				}
			}
		case pool.Say:
			f.say("%s %d %s", n.boot.Name, d.Code, d.Text)
		}
	}
	for k, r := range n.core.InForce() {
		id := n.boot.Name + " " + k
		if r < f.applied[id] {
			f.Bad("%s went back from revision %d to %d of %s", n.boot.Name, f.applied[id], r, k)
		}
		f.applied[id] = r
	}
}

// checkPermits: what all nodes together may open never passes the limit.
func (f *Fleet) checkPermits() {
	sum := map[string]int{}
	for _, n := range f.Nodes {
		if !n.up || n.paused {
			continue
		}
		for _, w := range n.wanted {
			for _, m := range w.Members {
				if f.Now < m.UntilUs {
					sum[m.Name] += m.Permit
				}
			}
		}
	}
	for db, s := range sum {
		if l := int(f.Cf.Databases[db].Connections); s > l {
			f.Bad("nodes are permitted %d connections to %s, the limit is %d", s, db, l)
		}
	}
}

func (f *Fleet) stepTable(n *nodeProc, group string, evs ...any) {
	t := n.tables[group]
	for _, e := range t.Step(f.Now, evs...) {
		switch e := e.(type) {
		case querytable.Return:
			if w := n.waiters[e.ID]; w != nil {
				delete(n.waiters, e.ID)
				w(e)
			}
		case querytable.OpenConnection:
			f.openConnection(n, group, e)
		case querytable.CloseConnection:
			f.call(n.boot.Listen, e.Address, 1_000_000, func(db *DB, reply func(any)) { db.c.Close(e.ID); reply(nil) }, func(any, bool) {})
		case querytable.Run:
			f.run(n, group, e)
		case querytable.Poll:
			f.poll(n, group, e)
		case querytable.Say:
			f.say("%s %d %s", n.boot.Name, e.Code, e.Text)
		}
	}
}

func (f *Fleet) back(n *nodeProc, gen int, group string, e any) {
	f.toNode(n, gen, func() {
		if n.tables[group] != nil {
			f.stepTable(n, group, e)
		}
	})
}

func (f *Fleet) openConnection(n *nodeProc, group string, e querytable.OpenConnection) {
	gen, run := n.gen, n.run
	f.call(n.boot.Listen, e.Address, 1_000_000, func(db *DB, reply func(any)) {
		id, ok := db.c.Open(n.boot.Name, run, f.Now)
		if !ok {
			f.Truth.Bounced++
			reply("limit")
			return
		}
		reply(id)
	}, func(v any, _ bool) {
		o := querytable.Opened{Conn: e.Conn, Address: e.Address, Err: "no connection"}
		if id, ok := v.(int64); ok {
			o.ID, o.Err = id, ""
		}
		f.back(n, gen, group, o)
	})
}

func (f *Fleet) run(n *nodeProc, group string, e querytable.Run) {
	gen, until := n.gen, e.UntilUs-f.Now
	if f.Plan.Plant == NothingKeptSaid {
		until = 500_000
	}
	ops := make([]databasecopy.Op, len(e.Ops))
	for i, o := range e.Ops {
		ops[i] = databasecopy.Op(o)
	}
	f.call(n.boot.Listen, e.Address, until, func(db *DB, reply func(any)) {
		if at, ok := n.leftAt[db.addr]; ok && f.Now-at > 7_000_000 && db.c.Leaving {
			f.Bad("%s sent a query to %s %d us after it learned that it leaves", n.boot.Name, db.name, f.Now-at)
		}
		db.work(func() {
			had := db.c.Received()
			rs, ref := db.c.Run(e.ID, e.Epoch, f.planted(db, ops), e.ReadOnly, f.Now)
			if f.Plan.Plant == WriteTwice && !e.ReadOnly && f.Chance(0.05) {
				db.c.Run(e.ID, e.Epoch, ops, e.ReadOnly, f.Now)
			}
			if db.c.Received() > had {
				db.changed()
			}
			if db.lose > 0 {
				db.lose--
				return
			}
			reply(databasecopy.RunReturn{Bounced: ref, Results: rs, Epoch: db.c.Epoch, Applied: db.c.Applied(), AtUs: f.Now})
		})
	}, func(v any, left bool) {
		r := querytable.Ran{Run: e.Run, Left: left && f.Plan.Plant != NothingKeptSaid}
		if v, ok := v.(databasecopy.RunReturn); ok {
			r.Bounced, r.Epoch, r.Applied = v.Bounced, v.Epoch, v.Applied
			if f.Plan.Plant == ClaimedApplied {
				r.Applied = 1 << 40
			}
			for _, s := range v.Results {
				r.Results = append(r.Results, querytable.Result(s))
			}
		} else {
			r.Err = "no return"
		}
		f.back(n, gen, group, r)
	})
}

// planted is what a database is sent in the place of some ops.
func (f *Fleet) planted(db *DB, ops []databasecopy.Op) []databasecopy.Op {
	ops = slices.Clone(ops)
	for i := range ops {
		o := &ops[i]
		switch {
		case f.Plan.Plant == ChangedText && strings.HasPrefix(o.Text, "add ledger") && f.Chance(0.05):
			o.Text = strings.Replace(o.Text, "add ledger ", "add ledger x", 1)
		case f.Plan.Plant == ForeignPrepared && o.Op == "prepare":
			if db.prepared == "" {
				db.prepared = o.Text
			}
			o.Text = db.prepared
		}
	}
	if f.Plan.Plant == TornSession {
		ops = slices.DeleteFunc(ops, func(o databasecopy.Op) bool { return o.Op == "reset" })
	}
	return ops
}

func (f *Fleet) poll(n *nodeProc, group string, e querytable.Poll) {
	gen := n.gen
	f.call(n.boot.Listen, e.Address, e.WaitUs+500_000, func(db *DB, reply func(any)) {
		db.wait(e.Received, e.Applied, e.WaitUs, func() { reply(db.c.Status()) })
	}, func(v any, _ bool) {
		p := querytable.Polled{Poll: e.Poll}
		if s, ok := v.(databasecopy.Status); ok {
			p.Status = querytable.Status{Identity: s.Identity, Role: s.Role, Epoch: s.Epoch, LogEpoch: s.LogEpoch, Received: s.Received, Applied: s.Applied, Leaving: s.Leaving}
			switch {
			case f.Plan.Plant == AckBeforeMajority && s.Role == "replica":
				p.Status.Received += 1000
			case f.Plan.Plant == SkippedEntry && s.Role == "primary":
				p.Status.Received = max(0, s.Received-3)
			case f.Plan.Plant == ClaimedApplied && s.Role == "replica":
				p.Status.Applied = s.Received
			}
			if f.Plan.Plant == UnmeantPromotion {
				for _, m := range n.wanted[group].Members {
					if m.Address == e.Address {
						p.Status.Identity = m.Identity
					}
				}
			}
			if f.Plan.Plant == UnheardLeaving {
				p.Status.Leaving = false
			}
			if s.Leaving && n.leftAt[e.Address] == 0 {
				n.leftAt[e.Address] = f.Now
			} else if !s.Leaving {
				delete(n.leftAt, e.Address)
			}
		} else {
			p.Err = "no return"
		}
		f.back(n, gen, group, p)
	})
}

// PutConfiguration sends all partners' configurations until they are accepted.
func (f *Fleet) PutConfiguration(done func()) {
	for _, p := range f.Partners() {
		f.putConfiguration(p, done)
	}
}

func (f *Fleet) putConfiguration(partner string, done func()) {
	b := f.texts[partner]
	var try func()
	try = func() {
		c := f.Controls[f.R.IntN(3)]
		if !c.up {
			f.After(200_000, try)
			return
		}
		f.Operate(c, func(id uint64) any { return control.PutConfiguration{ID: id, Partner: partner, Text: b} }, func(r control.Return) {
			if r.Revision == 0 {
				f.After(200_000, try)
				return
			}
			f.Truth.configured(partner, r)
			if done != nil {
				done()
			}
		})
	}
	try()
}

// Permitted says whether a node may use connections to every group's primary now.
func (f *Fleet) Permitted(i int) bool {
	n := f.Nodes[i]
	for _, g := range f.Plan.Groups {
		w := n.wanted[f.owner[g]+"/"+g]
		if !slices.ContainsFunc(w.Members, func(m querytable.Member) bool { return m.Name == w.Primary && m.Permit > 0 && f.Now < m.UntilUs }) {
			return false
		}
	}
	return true
}
