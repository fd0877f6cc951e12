package fleetsimulation

import (
	"fmt"
	"slices"

	"stoneford/internal/coordinator"
	"stoneford/internal/ports"
	"stoneford/internal/routingtable"
)

// version is one revision of the table as an operator sent it.
type version struct {
	revision       uint64
	base           uint64
	table          ports.RoutingTable
	refused        string // why it can never be in force, once somebody was told so
	inForce        bool
	acknowledgedUs int64
	checked        bool
}

// operators are the people who change the table.
type operators struct {
	fleet        *Fleet
	tables       map[uint64]*version
	acknowledged []*version // in order
	next         uint64
	names        int
	known        uint64 // newest revision known in force
	busy         int
	halted       bool     // they make no more changes
	idle         []string // names of routes added and not removed
}

func (f *Fleet) baseTable() ports.RoutingTable {
	t := ports.RoutingTable{Limits: ports.Limits{IdleTimeoutUs: 15_000_000, TransactionIdleTimeoutUs: 3_000_000}}
	for _, g := range f.groups {
		t.Groups = append(t.Groups, ports.Group{Name: g.name, ConnectionLimit: g.limit, RequiredReplicaAcks: g.syncReplicas})
	}
	for _, r := range f.routes {
		t.Routes = append(t.Routes, ports.Route{Name: r.name, Host: r.host, Prefix: "/", Class: r.kind, Group: r.group, TimeoutUs: r.deadlineUs, LatencyTargetUs: r.latencyTargetUs,
			MaxStalenessUs: r.stalenessUs, Rank: 1 + int(r.kind)%2, MaxAttempts: 2})
	}
	return t
}

// put sends a change until somebody says what became of it; ps are places it is
// sent to at once beside the first. done is told the end, ok if it is in force.
func (o *operators) put(c ports.TableChange, valid bool, twice bool, done func(ports.Outcome)) {
	f := o.fleet
	o.names++
	c.Digest = fmt.Sprintf("change-%d", o.names)
	v := &version{revision: c.Revision, base: c.BaseRevision}
	if b := o.tables[c.BaseRevision]; b != nil || c.BaseRevision == 0 {
		old := ports.RoutingTable{}
		if b != nil {
			old = b.table
		}
		t, ps := routingtable.Apply(old, c)
		v.table = t
		if (len(ps) == 0) != valid {
			panic(fmt.Sprint("not what was meant: ", ps))
		}
	}
	if !valid {
		v.refused = "it is invalid"
	}
	if o.tables[c.Revision] == nil {
		o.tables[c.Revision] = v
	} else {
		v = o.tables[c.Revision]
	}
	ended := false
	began := f.Now
	end := func(r ports.ChangeResult) {
		if ended || r.Outcome == ports.Unavailable {
			return
		}
		ended = true
		o.ended(v, c, valid, r, f.Now-began)
		done(r.Outcome)
	}
	var send func(tries int)
	send = func(tries int) {
		if ended {
			return
		}
		if tries > 30 {
			ended = true
			done(ports.Unavailable)
			return
		}
		to := f.controls[f.Random.IntN(len(f.controls))]
		retry := false
		next := func(us int64) {
			if !retry && !ended {
				retry = true
				f.After(us, func() { send(tries + 1) })
			}
		}
		f.callControl("operators", to, func(c2 *Control, id uint64) {
			c2.post("operators", coordinator.ChangeTable{ID: id, Change: c})
		}, func(x any) {
			r, ok := x.(ports.ChangeResult)
			if !ok || r.Outcome == ports.Unavailable {
				next(f.Between(50_000, 300_000) + int64(tries)*50_000)
				return
			}
			end(r)
		})
		f.After(1_000_000, func() { next(0) })
	}
	send(0)
	if twice {
		send(15)
	}
}

func (o *operators) ended(v *version, c ports.TableChange, valid bool, r ports.ChangeResult, took int64) {
	f := o.fleet
	f.logf("operators: revision %d on %d: %d after %d ms, %d in force %v", c.Revision, c.BaseRevision, r.Outcome, took/1000, r.Revision, r.Problems)
	switch r.Outcome {
	case ports.Committed:
		if !valid {
			f.oracle.violation("CONFIG: revision %d, which is invalid, was acknowledged", c.Revision)
			return
		}
		for _, a := range o.acknowledged {
			if a != v && a.base == v.base {
				f.oracle.violation("CONFIG: revisions %d and %d, both based on %d, were acknowledged", a.revision, v.revision, v.base)
			}
		}
		if v.acknowledgedUs == 0 {
			v.acknowledgedUs = f.Now
			o.acknowledged = append(o.acknowledged, v)
		}
		o.known = max(o.known, v.revision)
	case ports.Stale, ports.Invalid:
		if r.Outcome == ports.Invalid && valid {
			f.oracle.violation("CONFIG: revision %d, which is valid, was called invalid: %v", c.Revision, r.Problems)
		}
		if v.refused == "" {
			v.refused = "its sender was told so"
		}
		if v.inForce {
			f.oracle.violation("CONFIG: revision %d was in force and is refused", c.Revision)
		}
		if r.Outcome == ports.Stale {
			if w := o.tables[r.Revision]; r.Revision > 0 && w == nil {
				f.oracle.violation("CONFIG: revision %d is said to be in force, which nobody sent", r.Revision)
			}
			o.known = max(o.known, r.Revision)
		}
	}
}

func (o *operators) revision() uint64 {
	o.next += 1 + uint64(o.fleet.Random.IntN(4))
	return o.next
}

// first sends the first table until it is taken.
func (o *operators) first() {
	t := o.fleet.baseTable()
	o.put(ports.TableChange{BaseRevision: 0, Revision: o.revision(), Complete: true, Routes: t.Routes, Groups: t.Groups, Limits: &t.Limits}, true, false, func(ports.Outcome) {})
}

// amend makes an amendment: a route that nobody uses is added or taken out, or a
// time changes.
func (o *operators) amend() ports.TableChange {
	f := o.fleet
	c := ports.TableChange{BaseRevision: o.known, Revision: o.revision()}
	cur := o.tables[o.known]
	has := func(n string) bool {
		return cur != nil && slices.ContainsFunc(cur.table.Routes, func(r ports.Route) bool { return r.Name == n })
	}
	var gone []string
	for _, n := range o.idle {
		if has(n) {
			gone = append(gone, n)
		}
	}
	switch x := f.Random.IntN(3); {
	case x == 0 && len(gone) > 0:
		c.RemoveRoutes = []string{gone[f.Random.IntN(len(gone))]}
	case x == 1 && cur != nil:
		r := cur.table.Routes[f.Random.IntN(len(cur.table.Routes))]
		r.LatencyTargetUs = f.Between(280_000, 320_000)
		c.Routes = []ports.Route{r}
	default:
		n := fmt.Sprintf("idle-%d", c.Revision)
		o.idle = append(o.idle, n)
		c.Routes = []ports.Route{{Name: n, Host: n, Prefix: "/", Group: f.groups[0].name, TimeoutUs: 800_000, LatencyTargetUs: 300_000}}
	}
	return c
}

// act has operators do one thing of those they do.
func (o *operators) act() {
	f := o.fleet
	if o.known == 0 || o.busy > 0 {
		return
	}
	done := func(ports.Outcome) { o.busy-- }
	switch f.Random.IntN(6) {
	case 0, 1:
		o.busy++
		o.put(o.amend(), true, false, done)
	case 2: // sent to two at once
		o.busy++
		o.put(o.amend(), true, true, done)
	case 3: // two race
		o.busy += 2
		a, b := o.amend(), o.amend()
		b.BaseRevision = a.BaseRevision
		o.put(a, true, false, done)
		f.After(f.Between(0, 30_000), func() { o.put(b, true, false, done) })
	case 4: // invalid
		o.busy++
		c := o.amend()
		c.RemoveRoutes = nil
		switch f.Random.IntN(4) {
		case 0:
			c.Routes = append(c.Routes, ports.Route{Name: "x", Host: "x", Group: "nobody", TimeoutUs: 1})
		case 1:
			c.Routes = append(c.Routes, ports.Route{Name: "x", Host: f.routes[0].host, Prefix: "/", Group: f.groups[0].name, TimeoutUs: 1})
		case 2:
			c.Routes = append(c.Routes, ports.Route{Name: "x", Host: "x", Group: f.groups[0].name})
		default:
			c.Problems = []string{"cannot be read"}
		}
		o.put(c, false, false, done)
	case 5: // on an old base
		if len(o.acknowledged) < 2 {
			return
		}
		o.busy++
		c := o.amend()
		old := o.acknowledged[f.Random.IntN(len(o.acknowledged)-1)]
		c.BaseRevision = old.revision
		c.RemoveRoutes = nil
		if c.Routes == nil {
			c.Routes = []ports.Route{{Name: "y", Host: "y", Prefix: "/", Group: f.groups[0].name, TimeoutUs: 800_000, LatencyTargetUs: 300_000}}
		}
		o.put(c, true, false, func(r ports.Outcome) {
			if r == ports.Committed {
				f.oracle.violation("CONFIG: a change on the old revision %d was acknowledged", c.BaseRevision)
			}
			o.busy--
		})
	}
}

// readBack asks for the table until it comes, and holds it against what was
// acknowledged.
func (o *operators) readBack(for_ int64) {
	f := o.fleet
	got := false
	until := f.Now + for_
	var request func()
	request = func() {
		if got || f.Now > until {
			return
		}
		to := f.controls[f.Random.IntN(len(f.controls))]
		f.callControl("operators", to, func(c *Control, id uint64) { c.post("operators", coordinator.FetchTable{ID: id}) }, func(x any) {
			if r, ok := x.(fetched); ok && r.ok && !got {
				got = true
				o.check(r.table)
			}
		})
		f.After(500_000, request)
	}
	request()
	f.After(for_, func() {
		if !got {
			f.oracle.violation("CONFIG: the table was not read back within %d ms", for_/1000)
		}
	})
}

func (o *operators) check(t ports.RoutingTable) {
	f := o.fleet
	v := o.tables[t.Revision]
	if v == nil {
		f.oracle.violation("CONFIG: revision %d was read back, which nobody sent", t.Revision)
		return
	}
	t.Placements = nil // they change by moves
	if string(routingtable.Encode(t)) != string(routingtable.Encode(v.table)) {
		f.oracle.violation("CONFIG: revision %d was read back with another content", t.Revision)
	}
	chain := map[uint64]bool{}
	for v != nil {
		chain[v.revision] = true
		v = o.tables[v.base]
	}
	for _, a := range o.acknowledged {
		if !chain[a.revision] {
			f.oracle.violation("LOST: revision %d was acknowledged; %d, which was read back, does not build on it", a.revision, t.Revision)
		}
	}
}
