package simulation

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

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
	Machines      int
	Groups        []string
	Zones         []string
	Connections   int32
	Sessions      int
	ThinkUs       int64 // mean pause of a session between two things it does
	ServiceUs     int64 // mean time of a run
	Servers       int   // runs a database works on at once
	LagUs         int64 // replicas apply a commit this much late
	Choice        string
	Position      bool
	DelayUs       int64 // greatest delay of one way, 0 for 1500
	BetweenUs     int64 // added to each way between two zones
	Plant         Plant
}

// Plant is a fault put into the harness around the cores, to show that the
// checks see it.
type Plant int

const (
	NoPlant           Plant = iota
	AckBeforeMajority       // replicas are said to hold what they do not hold
	SkippedEntry            // polls of the primary leave its newest commits out
	UnsealedTakeover        // a seal is confirmed without sealing
	TornSession             // a connection is said to be reset and is not
	UnheardLeaving          // tables are not told that a database leaves
)

type controlProc struct {
	boot *schema.Boot
	core *control.Core
	disk []*schema.VoterLog
	life
}

// life is a process's standing; gen tells one run of it from the next.
type life struct {
	up     bool
	paused bool
	gen    int
	held   []func() // what came while it was frozen
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
	Cf       *schema.Configuration
	partner  string
	class    map[string]string // a class's name by its kind
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
	// PlatformUs is the longest the platform takes to carry a takeover out.
	PlatformUs int64
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
	if p.Configuration == nil {
		p.Configuration = p.configuration()
	}
	cf, ps := settings.ReadConfiguration(p.Configuration)
	if len(ps) > 0 {
		panic(fmt.Sprint("simulation: ", ps))
	}
	p.Groups = slices.Sorted(maps.Keys(cf.Groups))
	f := &Fleet{World: w, Plan: p, Cf: cf, partner: p.Partner, class: map[string]string{}, Net: NewNetwork(w), DBs: map[string]*DB{}, byAddr: map[string]*DB{}, returns: map[uint64]func(control.Return){}, told: map[uint64]func(control.Told){},
		plat: map[string]uint64{}, platT: map[string]string{}, applied: map[string]uint64{}, PlatformUs: 5_000}
	if p.DelayUs > 0 {
		f.Net.DelayLo, f.Net.DelayHi = p.DelayUs/10, p.DelayUs
	}
	f.Truth = newTruth(f)
	f.Net.Take = f.take
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("10.0.0.%d:1", i+1))
	}
	zone := func(i int) string { return p.Zones[i%len(p.Zones)] }
	for i, a := range seeds {
		c := &controlProc{boot: &schema.Boot{Name: fmt.Sprintf("control-%d", i+1), Zone: zone(i), Partner: f.partner, Listen: a, Http: a, Seeds: seeds, DataFolder: "x"}}
		f.Controls = append(f.Controls, c)
		f.startControl(c)
	}
	for i := range p.Machines {
		a := fmt.Sprintf("10.0.1.%d:1", i+1)
		n := &nodeProc{f: f, boot: &schema.Boot{Name: fmt.Sprintf("pool-%d", i+1), Zone: zone(i), Partner: f.partner, Listen: a, Http: a, Seeds: seeds}}
		f.Nodes = append(f.Nodes, n)
		f.startNode(n)
	}
	for _, g := range p.Groups {
		for _, m := range cf.Groups[g].Members {
			f.addDB(m, g, cf.Databases[m].Address, cf.Databases[m].Zone, int(cf.Databases[m].Connections))
		}
	}
	zones := map[string]string{}
	for _, c := range f.Controls {
		zones[c.boot.Listen] = c.boot.Zone
	}
	for _, n := range f.Nodes {
		zones[n.boot.Listen] = n.boot.Zone
	}
	for a, d := range f.byAddr {
		zones[a] = d.zone
	}
	f.Net.Extra = func(a, b string) int64 {
		if zones[a] == zones[b] {
			return 0
		}
		return p.BetweenUs
	}
	for _, k := range slices.Sorted(maps.Keys(cf.Classes)) {
		f.class[cf.Classes[k].Kind] = k
	}
	return f
}

// configuration is one of the plan's groups.
func (p Plan) configuration() []byte {
	dbs, gs, rs := map[string]any{}, map[string]any{}, map[string]any{}
	for i, g := range p.Groups {
		var ms []string
		for j := range 3 {
			n := fmt.Sprintf("%s-%c", g, 'a'+j)
			ms = append(ms, n)
			dbs[n] = map[string]any{"address": fmt.Sprintf("10.0.2.%d:1", i*3+j+1), "zone": p.Zones[(i+j)%len(p.Zones)], "connections": p.Connections}
		}
		gs[g] = map[string]any{"members": ms, "primary": ms[0]}
		rs[g] = map[string]any{"group": g, "classes": []string{"reserve", "lookup", "pickup"}}
	}
	b, err := json.Marshal(map[string]any{"databases": dbs, "groups": gs, "routes": rs, "classes": map[string]any{
		"reserve": map[string]any{"kind": "current"},
		"lookup":  map[string]any{"kind": "stale", "stale_us": 1_500_000},
		"pickup":  map[string]any{"kind": "pinned", "stale_us": 2_500_000},
	}})
	if err != nil {
		panic(err)
	}
	return b
}

func (f *Fleet) runNumber() uint64 { return uint64(f.Now) }

func (f *Fleet) startControl(c *controlProc) {
	c.gen++
	c.up, c.paused, c.held = true, false, nil
	c.core = control.NewCore(c.boot, f.runNumber(), f.R.Uint32())
	for _, l := range c.disk {
		c.core.Restore(l)
	}
	g := c.gen
	var tick func()
	tick = func() {
		if !c.up || c.gen != g {
			return
		}
		if !c.paused {
			f.stepControl(c, control.Wall{Us: f.Now})
		}
		f.After(20_000, tick)
	}
	f.After(f.Between(0, 20_000), tick)
}

func (f *Fleet) stepControl(c *controlProc, evs ...any) {
	fx := c.core.Step(f.Now, evs...)
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
				if o := f.DBs[d.Database]; o.c.Identity == d.Identity {
					f.LoseDB(d.Database)
				}
			})
		case control.StopMachine:
			for i, n := range f.Nodes {
				if n.boot.Name == d.Machine {
					f.After(f.Between(500, f.PlatformUs), func() { f.StopNode(i) })
				}
			}
		case control.Say:
			f.say("%s %d %s", c.boot.Name, d.Code, d.Text)
		}
	}
}

// toControl hands an event to a control process, later where it is frozen.
func (f *Fleet) toControl(c *controlProc, gen int, e any) {
	if !c.up || c.gen != gen {
		return
	}
	if c.paused {
		c.held = append(c.held, func() { f.toControl(c, gen, e) })
		return
	}
	f.stepControl(c, e)
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
		if d.Epoch < f.plat[d.Group] || d.Epoch == f.plat[d.Group] && f.platT[d.Group] != d.Target {
			return
		}
		f.plat[d.Group], f.platT[d.Group] = d.Epoch, d.Target
		t := f.DBs[d.Target]
		if t == nil || !t.talks() {
			return
		}
		if !t.c.Promote(d.Epoch, f.Now) {
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
	n.gen++
	n.up, n.paused, n.held = true, false, nil
	n.run = f.runNumber()
	n.core = pool.NewCore(n.boot, n.run)
	n.tables, n.routes = map[string]*querytable.Table{}, map[string]pool.Route{}
	n.waiters, n.wanted, n.leftAt = map[uint64]func(querytable.Return){}, map[string]querytable.Wanted{}, map[string]int64{}
	g := n.gen
	var tick func()
	tick = func() {
		if !n.up || n.gen != g {
			return
		}
		if !n.paused {
			var said []any
			for _, k := range slices.Sorted(maps.Keys(n.tables)) {
				f.stepTable(n, k, querytable.Tick{})
				_, _, in := n.tables[k].Gauges()
				said = append(said, pool.TableSaid{Group: k, Views: n.tables[k].Views(f.Now), InUse: in})
			}
			f.stepNode(n, said...)
			f.checkPermits()
		}
		f.After(10_000, tick)
	}
	f.After(f.Between(0, 10_000), tick)
}

func (f *Fleet) toNode(n *nodeProc, gen int, do func()) {
	if !n.up || n.gen != gen {
		return
	}
	if n.paused {
		n.held = append(n.held, func() { f.toNode(n, gen, do) })
		return
	}
	do()
}

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
	gen := n.gen
	ops := make([]databasecopy.Op, len(e.Ops))
	for i, o := range e.Ops {
		ops[i] = databasecopy.Op(o)
	}
	f.call(n.boot.Listen, e.Address, e.UntilUs-f.Now, func(db *DB, reply func(any)) {
		if at, ok := n.leftAt[db.addr]; ok && f.Now-at > 7_000_000 && db.c.Leaving {
			f.Bad("%s sent a query to %s %d us after it learned that it leaves", n.boot.Name, db.name, f.Now-at)
		}
		db.work(func() {
			if f.Plan.Plant == TornSession {
				ops = slices.DeleteFunc(ops, func(o databasecopy.Op) bool { return o.Op == "reset" })
			}
			had := db.c.Received()
			rs, ref := db.c.Run(e.ID, e.Epoch, ops, e.ReadOnly, f.Now)
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
		r := querytable.Ran{Run: e.Run, Left: left}
		if v, ok := v.(databasecopy.RunReturn); ok {
			r.Bounced, r.Epoch, r.Applied = v.Bounced, v.Epoch, v.Applied
			for _, s := range v.Results {
				r.Results = append(r.Results, querytable.Result(s))
			}
		} else {
			r.Err = "no return"
		}
		f.back(n, gen, group, r)
	})
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

// PutConfiguration sends a configuration until it is in force.
func (f *Fleet) PutConfiguration(done func()) {
	b := f.Plan.Configuration
	var try func()
	try = func() {
		c := f.Controls[f.R.IntN(3)]
		if !c.up {
			f.After(200_000, try)
			return
		}
		f.Operate(c, func(id uint64) any { return control.PutConfiguration{ID: id, Partner: f.partner, Text: b} }, func(r control.Return) {
			if r.Revision == 0 {
				f.After(200_000, try)
				return
			}
			f.Truth.configured(r)
			if done != nil {
				done()
			}
		})
	}
	try()
}
