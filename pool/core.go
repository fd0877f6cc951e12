// Package pool is the data plane. Core is the node's deterministic half: news,
// neighbours, records and permits, from which it works out what each group's
// query table is wanted to do. Process puts links, HTTP and timers around it,
// and runs each group's table on a thread of its own.
package pool

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"stoneford/bookings"
	"stoneford/control"
	"stoneford/neighbours"
	"stoneford/paxos"
	"stoneford/permits"
	"stoneford/querytable"
	"stoneford/records"
	"stoneford/relaytree"
	"stoneford/result"
	"stoneford/roster"
	"stoneford/schema"
	"stoneford/settings"
	"stoneford/step"
)

// Events.
type (
	// TableSaid brings what a group's table knows.
	TableSaid struct {
		Group string
		Views []querytable.View
		InUse map[string]int
	}
	// Decided ends a Why.
	Decided struct {
		Why       Why
		Group     string
		AtUs      int64
		Decisions []querytable.Decision
	}
	// Stop has the node tell that it leaves.
	Stop struct{}
)

// Effects.
type (
	// Want hands a group's table its new wanted state.
	Want struct {
		Group  string
		Wanted querytable.Wanted
	}
	// Routes hands out the routes in force: route to group, and who may use
	// which class is in the group's Wanted.
	Routes struct{ Routes map[string]Route }
	// Why asks a group's table what it decided lately.
	Why struct {
		From   string
		Number uint64
		Group  string
		Query  string
	}
	// Say is for the log.
	Say struct {
		Code result.Code
		Text string
	}
)

// Route is one route in force.
type Route struct {
	Group   string
	Classes []string
}

// Effects of one step.
type Effects struct {
	Send []step.Send
	Do   []any
}

const (
	announceEvery = 1_000_000
	rosterEvery   = 200_000
	compareEvery  = 1_000_000
	reportEvery   = 500_000
	groupEvery    = 10_000
	drainEvery    = 100_000
	readDeadline  = 2_000_000
)

type group struct {
	partner string
	name    string
	asker   *permits.Asker
	views   []querytable.View
	inUse   map[string]int
	wanted  querytable.Wanted
	state   *schema.GroupState
	reached map[string]bool
	nextRep int64
}

// Core is one pool node.
type Core struct {
	boot     *schema.Boot
	self     string
	run      uint64
	stamp    uint64
	relay    *relaytree.Relay
	recs     *records.Store
	watch    *neighbours.Watch
	proposer *paxos.Proposer
	nodes    []roster.Node
	configs  map[string]*schema.Configuration
	cal      *schema.Calendar
	inForce  map[string]uint64 // revision of each configuration in force
	reading  map[string]bool
	checked  map[string]uint64 // configurations read through a majority: least revision to apply
	groups   map[string]*group
	names    uint64
	turn     int
	leaving  bool
	nextAnn  int64
	nextRos  int64
	nextCmp  int64
	nextGrp  int64 // set to 0 where a group's wanted state may have changed
	fx       Effects
}

// NewCore makes a node; run must be greater than any earlier run's.
func NewCore(b *schema.Boot, run uint64) *Core {
	return &Core{boot: b, self: b.Listen, run: run, stamp: run, relay: relaytree.New(b.Listen, b.Seeds), recs: records.New(b.Listen),
		watch: neighbours.New(b.Listen), proposer: paxos.NewProposer(b.Listen, fmt.Sprint(run), b.Seeds),
		configs: map[string]*schema.Configuration{}, inForce: map[string]uint64{}, cal: &schema.Calendar{}, reading: map[string]bool{}, checked: map[string]uint64{}, groups: map[string]*group{},
		turn: int(step.Hash(b.Listen) % 3)}
}

// Step takes events, then does what is due.
func (c *Core) Step(now int64, evs ...any) Effects {
	c.fx = Effects{}
	for _, e := range evs {
		switch e := e.(type) {
		case *schema.Envelope:
			c.envelope(now, e)
		case TableSaid:
			if g := c.groups[e.Group]; g != nil {
				g.views, g.inUse = e.Views, e.InUse
				c.nextGrp = 0
			}
		case Decided:
			c.decided(e)
		case Stop:
			c.leaving, c.nextAnn = true, 0
		}
	}
	c.tick(now)
	return c.fx
}

func (c *Core) say(code result.Code, f string, a ...any) {
	c.fx.Do = append(c.fx.Do, Say{Code: code, Text: fmt.Sprintf(f, a...)})
}

func (c *Core) envelope(now int64, e *schema.Envelope) {
	switch b := e.Body.(type) {
	case *schema.Envelope_News, *schema.Envelope_Digest:
		c.learned(now, c.relay.Step(now, e))
	case *schema.Envelope_Records, *schema.Envelope_RangeDigests:
		c.fx.Send = append(c.fx.Send, c.recs.Step(now, e).Send...)
	case *schema.Envelope_Ping, *schema.Envelope_Pong:
		c.watched(now, c.watch.Step(now, e))
	case *schema.Envelope_Promise, *schema.Envelope_Accepted, *schema.Envelope_MembershipNotice:
		c.proposed(now, c.proposer.Step(now, e))
	case *schema.Envelope_WhyAsk:
		// Only of groups of the partner that asks.
		for _, k := range slices.Sorted(maps.Keys(c.groups)) {
			if g := c.groups[k]; g.partner == b.WhyAsk.Partner && (b.WhyAsk.Group == "" || b.WhyAsk.Group == k) {
				c.fx.Do = append(c.fx.Do, Why{From: e.From, Number: b.WhyAsk.Number, Group: k, Query: b.WhyAsk.Query})
			}
		}
	case *schema.Envelope_PermitGive:
		if g := c.groups[b.PermitGive.Group]; g != nil {
			g.asker.Give(b.PermitGive)
			c.nextGrp = 0
		}
	}
}

// decided sends what a table decided to the control process that asked.
func (c *Core) decided(e Decided) {
	r := &schema.WhyReturn{Number: e.Why.Number}
	for _, d := range e.Decisions {
		s := &schema.Decision{Node: c.boot.Name, Group: e.Group, Query: d.Name, Class: d.Class, AgoUs: e.AtUs - d.AtUs, Copy: d.Copy, Reason: d.Reason, Floor: d.Floor}
		for _, o := range d.Copies {
			s.Candidates = append(s.Candidates, &schema.Candidate{Copy: o.Name, Level: o.Level, Need: o.Need, BurdenUs: o.BurdenUs, RunUs: o.RunUs, WaitUs: o.WaitUs, Fit: o.Fits})
		}
		r.Decisions = append(r.Decisions, s)
	}
	c.fx.Send = append(c.fx.Send, step.Send{To: e.Why.From, Env: &schema.Envelope{From: c.self, Body: &schema.Envelope_WhyReturn{WhyReturn: r}}})
}

func (c *Core) learned(now int64, fx relaytree.Effects) {
	c.fx.Send = append(c.fx.Send, fx.Send...)
	for _, g := range fx.New {
		c.nextGrp = 0
		switch {
		case g.Key == control.BookingsKey:
			c.cal = bookings.Read(g.Value.Data)
		case strings.HasPrefix(g.Key, control.ConfigPrefix):
			c.configure(now, g.Key, g.Value)
		case strings.HasPrefix(g.Key, control.GroupPrefix):
			if o := c.groups[strings.TrimPrefix(g.Key, control.GroupPrefix)]; o != nil {
				o.state = control.GroupState(g.Value)
			}
			c.applied(now, g.Key)
		}
	}
}

// configure puts a configuration in force. The first one after a start is read
// through a majority, so that this node never works by an older one than it
// did before it was restarted (design 5.4).
func (c *Core) configure(now int64, key string, v *schema.Value) {
	least, ok := c.checked[key]
	if !ok {
		if !c.reading[key] {
			c.reading[key] = true
			c.names++
			c.proposed(now, c.proposer.Ask(now, paxos.Change{Name: fmt.Sprintf("%s#%d#%d", c.self, c.run, c.names), Key: key, Read: true, Deadline: now + readDeadline}))
		}
		return
	}
	if v.Revision < least {
		return
	}
	cf, ps := settings.ReadConfiguration(v.Data)
	if len(ps) > 0 {
		c.say(result.InvalidConfiguration, "%s revision %d: %s", key, v.Revision, ps[0])
		return
	}
	c.configs[strings.TrimPrefix(key, control.ConfigPrefix)] = cf
	c.inForce[key] = v.Revision
	c.say(result.RevisionApplied, "%s revision %d", key, v.Revision)
	c.plan()
	c.applied(now, key)
}

func (c *Core) proposed(now int64, fx paxos.ProposerEffects) {
	c.fx.Send = append(c.fx.Send, fx.Send...)
	for _, o := range fx.Outcomes {
		k := o.Change.Key
		delete(c.reading, k)
		if o.Verdict == paxos.Agreed {
			c.checked[k] = o.Value.GetRevision()
			c.learned(now, c.relay.Learn(now, []*schema.Register{{Key: k, Value: o.Value}}, 0, ""))
		}
		if v := c.relay.Held(k); v != nil {
			c.configure(now, k, v)
		}
	}
}

// plan works out routes and groups from the configurations in force.
func (c *Core) plan() {
	rs := map[string]Route{}
	gs := map[string]bool{}
	for _, p := range slices.Sorted(maps.Keys(c.configs)) {
		cf := c.configs[p]
		for n, r := range cf.Routes {
			rs[p+"/"+n] = Route{Group: p + "/" + r.Group, Classes: slices.Clone(r.Classes)}
		}
		for n := range cf.Groups {
			k := p + "/" + n
			gs[k] = true
			if c.groups[k] == nil {
				c.groups[k] = &group{partner: p, name: n, asker: permits.NewAsker(k, c.run), state: control.GroupState(c.relay.Held(control.GroupPrefix + k)), reached: map[string]bool{}}
			}
		}
	}
	maps.DeleteFunc(c.groups, func(k string, _ *group) bool { return !gs[k] })
	c.fx.Do = append(c.fx.Do, Routes{Routes: rs})
}

func (c *Core) watched(now int64, fx neighbours.Effects) {
	c.fx.Send = append(c.fx.Send, fx.Send...)
	for _, n := range slices.Sorted(maps.Keys(fx.Changed)) {
		if fx.Changed[n] {
			c.say(result.NeighbourSuspected, "%s", n)
		}
		c.tell(c.write(now, roster.SuspectKey(n, c.self), roster.Suspicion(c.nodes, n, fx.Changed[n])), c.boot.Seeds...)
	}
}

// write puts a record of this node's own.
func (c *Core) write(now int64, key string, m proto.Message) *schema.Record {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	c.stamp++
	r := &schema.Record{Key: key, Stamp: c.stamp, Data: b}
	c.recs.Put(now, r)
	return r
}

func (c *Core) tell(r *schema.Record, to ...string) {
	for _, o := range to {
		c.fx.Send = append(c.fx.Send, step.Send{To: o, Env: &schema.Envelope{From: c.self, Body: &schema.Envelope_Records{Records: &schema.Records{Records: []*schema.Record{r}}}}})
	}
}

// root is one control process, another each time.
func (c *Core) root() string { c.turn++; return c.boot.Seeds[c.turn%len(c.boot.Seeds)] }

func (c *Core) applied(now int64, key string) {
	k := roster.AppliedPrefix + key + "/" + c.boot.Name
	r := c.write(now, k, &schema.AppliedRecord{Revision: c.relay.Held(key).GetRevision()})
	c.recs.Forget(k) // control processes keep these
	c.tell(r, c.boot.Seeds...)
}

func (c *Core) tick(now int64) {
	c.learned(now, c.relay.Tick(now))
	c.proposed(now, c.proposer.Tick(now))
	if now >= c.nextRos {
		c.nextRos = now + rosterEvery
		c.nodes = roster.Read(now, c.recs)
		c.watch.Nodes(now, roster.Addresses(c.nodes))
		c.relay.Live(roster.Live(c.nodes))
	}
	c.watched(now, c.watch.Tick(now))
	if now >= c.nextAnn {
		first := c.nextAnn == 0
		c.nextAnn = now + announceEvery
		r := c.write(now, roster.NodePrefix+c.self, &schema.NodeRecord{Name: c.boot.Name, Zone: c.boot.Zone, Partner: c.boot.Partner,
			Http: c.boot.Http, Kind: "pool", Leaving: c.leaving, Run: c.run})
		if first {
			c.tell(r, c.boot.Seeds...)
		} else {
			c.tell(r, c.root())
		}
	}
	if now >= c.nextCmp {
		c.nextCmp = now + compareEvery
		to := c.relay.Parent()
		if to == "" {
			to = c.root()
		}
		for _, r := range roster.Ranges() {
			c.fx.Send = append(c.fx.Send, c.recs.Compare(to, r[0], r[1]))
		}
	}
	if now >= c.nextGrp {
		c.nextGrp = now + groupEvery
		for _, k := range slices.Sorted(maps.Keys(c.groups)) {
			c.groupTick(now, k, c.groups[k])
		}
	}
}

func (c *Core) groupTick(now int64, k string, g *group) {
	if a := g.asker.Tick(now, g.inUse); a != nil {
		for _, o := range c.boot.Seeds {
			c.fx.Send = append(c.fx.Send, step.Send{To: o, Env: &schema.Envelope{From: c.self, Body: &schema.Envelope_PermitAsk{PermitAsk: a}}})
		}
	}
	c.report(now, k, g)
	if w := c.wanted(now, k, g); !reflect.DeepEqual(w, g.wanted) {
		g.wanted = w
		c.fx.Do = append(c.fx.Do, Want{Group: k, Wanted: w})
	}
}

func (c *Core) wanted(now int64, k string, g *group) querytable.Wanted {
	cf := c.configs[g.partner]
	w := querytable.Wanted{Group: k, Epoch: g.state.Epoch, Primary: g.state.Primary, Classes: map[string]querytable.Class{}}
	ids := map[string]string{}
	for _, m := range g.state.Members {
		ids[m.Database] = m.Identity
	}
	for _, m := range cf.Groups[g.name].Members {
		w.Members = append(w.Members, querytable.Member{Name: m, Identity: ids[m], Address: cf.Databases[m].Address, Leased: g.asker.Cap(now, m), UntilUs: g.asker.UntilUs(),
			Drained: bookings.Drained(c.cal, g.partner+"/"+m), Closed: bookings.Closed(c.cal, g.partner+"/"+m)})
	}
	for n, s := range cf.Classes {
		w.Classes[n] = querytable.Class{Name: n, Kind: s.Kind, StaleUs: s.StaleUs, MarginUs: s.MarginUs, WaitUs: s.WaitUs, DeadlineUs: s.ExpiryUs}
	}
	for _, r := range cf.Routes {
		if r.Group == g.name {
			w.Line = max(w.Line, int(r.Line))
		}
	}
	return w
}

// report tells the control processes what this node sees of the databases:
// each a change at once, one of them the rest now and then.
func (c *Core) report(now int64, k string, g *group) {
	due := now >= g.nextRep
	if due {
		g.nextRep = now + reportEvery
		if slices.ContainsFunc(g.wanted.Members, func(m querytable.Member) bool { return m.Drained }) {
			g.nextRep = now + drainEvery // somebody waits for connections to fall idle
		}
	}
	for _, v := range g.views {
		ok := v.SilentUs == 0
		if was, told := g.reached[v.Name]; ok && !v.Known && !told || !due && ok == was {
			continue
		}
		key := roster.ReportPrefix + k + "/" + v.Name + "/" + c.boot.Name
		r := c.write(now, key, &schema.DatabaseReport{Reachable: ok, SilentUs: v.SilentUs, Epoch: v.Status.Epoch,
			Received: v.Status.Received, Applied: v.Status.Applied, Leaving: v.Leaving, Role: v.Status.Role, Busy: int32(v.Busy), Open: int32(v.Open)})
		c.recs.Forget(key) // control processes keep these
		if ok != g.reached[v.Name] {
			c.tell(r, c.boot.Seeds...)
		} else {
			c.tell(r, c.root())
		}
		g.reached[v.Name] = ok
	}
}

// InForce is the revision of each configuration this node works by.
func (c *Core) InForce() map[string]uint64 { return c.inForce }

// Nodes is who is in the fleet, as this node knows it.
func (c *Core) Nodes() []roster.Node { return c.nodes }

// Parent is whom the node follows in the relay tree.
func (c *Core) Parent() string { return c.relay.Parent() }
