package sessionpool

import (
	"cmp"
	"slices"
	"strings"

	"stoneford/invariant"
	"stoneford/ports"
	"stoneford/routingtable"
	"stoneford/schema"
	"stoneford/sessiontable"
	"stoneford/step"
	"stoneford/voterview"
)

// Core is a pool node: what it learned from the voters over the table of its
// sessions. It is deterministic and is what the simulator runs.
type Core struct {
	Table   *sessiontable.Table
	view    *voterview.View
	table   ports.RoutingTable
	rev     uint64
	lease   int64
	nodes   int
	phases  map[string]ports.Phase
	leaving bool
	contact contact
	checks  invariant.Checks
}

// readyUs is how long after its lease a node still calls itself ready: cut off
// from the voters it can serve no current read, while others can.
const readyUs = 400_000

// drainMargin is how much sooner than it has to a node leaves a database alone
// that leaves: it may have heard of it later than whoever acknowledged it.
const drainMargin = 800_000

// routeMargin is taken off the time that a change has to be in force everywhere.
const routeMargin = 100_000

// routeFor is how long after its lease a node may route by its table: what the
// lease vouches for is as old as the look that brought it, and a change that was
// acknowledged after that look binds a while later. This clock may run slow by a
// tenth.
func routeFor(applyUs int64) int64 {
	return max(applyUs*10/11-voterview.LeaseUs-routeMargin, 0)
}

// Effects of one step.
type Effects struct {
	Send []step.Send
	Do   []sessiontable.Effect
}

// NewCore makes a node; run must be another than any earlier run's.
func NewCore(b ports.Boot, run, seed uint64, o sessiontable.Options) *Core {
	// A copy that refuses a beginning may run the statement behind it on its own.
	o.BeginApart = true
	if d := b.Bounds.DrainUs; d > 0 {
		o.DrainUs = cmp.Or(o.DrainUs, d-min(d/4, drainMargin))
	}
	o.ReadyUs = cmp.Or(o.ReadyUs, readyUs)
	o.RouteUs = cmp.Or(o.RouteUs, routeFor(b.Bounds.ApplyUs))
	return &Core{Table: sessiontable.New(seed, b.Zone, o), view: voterview.New(b.PoolNode(), b.SeedVoters(), b.Zone, b.Name, "pool", run)}
}

// Due is when Step has something to do next even if nothing happens.
func (c *Core) Due() int64 { return min(c.Table.Due(), c.view.Due()) }

// Step takes events of the table's, and voters' envelopes, then does what is
// due.
func (c *Core) Step(now int64, evs ...any) Effects {
	var fx Effects
	for _, e := range evs {
		switch e := e.(type) {
		case *schema.Envelope:
			if b, ok := e.Body.(*schema.Envelope_LookReturn); ok {
				c.view.Step(now, e.From, b.LookReturn)
				c.learned(now, &fx)
			}
			continue
		case sessiontable.Stop:
			c.leaving = true
			c.view.Want()
		}
		c.do(now, &fx, e)
	}
	if now >= c.Table.Due() {
		c.do(now, &fx, sessiontable.Tick{})
	}
	if c.Table.Changed() {
		c.view.Want()
	}
	if now >= c.view.Due() {
		fx.Send = c.view.Tick(now, func() voterview.Report { return c.report(now) })
		c.noteContact(now, &fx)
		c.noteViolations(&fx)
	}
	return fx
}

func (c *Core) do(now int64, fx *Effects, e any) {
	for _, d := range c.Table.Step(now, e) {
		if _, ok := d.(sessiontable.Look); ok {
			c.view.Want()
			continue
		}
		fx.Do = append(fx.Do, d)
	}
}

// takeTable takes the newest agreed routing table into force, if it is newer.
func (c *Core) takeTable() bool {
	known, ok := c.view.Agreed(voterview.TableKey)
	if !ok || known.Revision <= c.rev {
		return false
	}
	t, err := routingtable.Decode(known.Data)
	if err != nil {
		return false // what voters agreed on they have read themselves
	}
	if t.Revision < c.table.Revision {
		c.checks.Broken(invariant.TableWentBack, "from the operators' revision %d to %d", c.table.Revision, t.Revision)
	}
	c.rev, c.table = known.Revision, t
	return true
}

// learned hands what the view found to the table.
func (c *Core) learned(now int64, fx *Effects) {
	ks, dbs := c.view.Take()
	c.noteBehind(now)
	var v sessiontable.View
	some := false
	if slices.Contains(ks, voterview.TableKey) && c.takeTable() {
		v.Table, some = &c.table, true
	}
	if v.Table != nil {
		c.noteTable(now, fx)
		c.view.Want() // a move may wait to hear that this node works by it
	}
	led := slices.ContainsFunc(ks, func(k string) bool { return strings.HasPrefix(k, voterview.LeaderPrefix) })
	if v.Table != nil || led {
		v.Groups, some = map[string]sessiontable.GroupView{}, true
		c.phases = map[string]ports.Phase{}
		for n, l := range c.view.Leaderships() {
			c.phases[n] = l.Phase
			v.Groups[n] = sessiontable.GroupView{Leadership: l, Doubt: c.view.Doubt(voterview.LeaderPrefix + n), Withheld: l.Table > c.rev}
		}
		c.view.Want() // the voters wait to hear that this node knows
	}
	if dbs || led {
		v.Instances, some = c.instances(), true
	}
	if n := c.view.Nodes(); n != c.nodes {
		c.nodes, some = n, true
	}
	if l := c.view.LeaseUntil(); l != c.lease {
		c.lease, some = l, true
	}
	if some {
		v.LeaseUntil, v.Nodes = c.lease, c.nodes
		c.do(now, fx, v)
	}
}

// instances are the databases announced, and the agreed primaries that were not
// yet: when all control processes have just started they know of the registers
// alone.
func (c *Core) instances() []ports.Instance {
	is := append([]ports.Instance{}, c.view.Instances()...)
	for n, l := range c.view.Leaderships() {
		if l.Primary != "" && l.Address != "" && !c.view.Gone(l.Primary) && !slices.ContainsFunc(is, func(i ports.Instance) bool { return i.ID == l.Primary }) {
			is = append(is, ports.Instance{ID: l.Primary, Group: n, Address: l.Address, Primary: true})
		}
	}
	slices.SortFunc(is, func(a, b ports.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return is
}

// report is what the next look tells.
func (c *Core) report(now int64) voterview.Report {
	r := c.Table.Report(now)
	out := voterview.Report{Leaving: c.leaving, Table: c.rev}
	for _, s := range r.Sightings {
		out.Sightings = append(out.Sightings, &schema.Sighting{Id: s.ID, FailingUs: s.FailingUs, Cut: s.Cut})
	}
	for _, w := range r.Words {
		k := voterview.LeaderPrefix + w.Group
		// While the primary serves, nobody asks whether something runs there.
		rev, quiet := w.Revision, w.Quiet && c.phases[w.Group] != ports.PhaseOpen
		if c.view.Doubt(k) {
			// It knows that something newer is on its way and rests on nothing older.
			rev, quiet = c.view.Seen(k), false
		}
		out.Words = append(out.Words, &schema.GroupWord{Group: w.Group, Revision: rev, AckedTerm: w.Acked.Term, AckedNumber: w.Acked.Number, Quiet: quiet})
	}
	return out
}

// Revision is the operators' revision of the routing table in force here.
func (c *Core) Revision() uint64 { return c.table.Revision }

// TableRevision is the register's revision of the routing table in force here.
func (c *Core) TableRevision() uint64 { return c.rev }

// LeaseUntil is until when what the voters agreed may be relied upon here.
func (c *Core) LeaseUntil() int64 { return c.lease }

// Ready says whether a caller's statement could be served now.
func (c *Core) Ready(now int64) bool { return !c.leaving && c.rev > 0 && c.Table.Ready(now) }
