package sessiontable

import (
	"cmp"
	"maps"
	"slices"

	"stoneford/freshness"
	"stoneford/ports"
)

// group is one service of databases as this node knows it.
type group struct {
	name    string
	conf    ports.Group
	view    GroupView
	pending *GroupView // to be taken in
	has     bool       // there is a view
	sure    int64      // until when the view's leadership is surely the newest
	since   int64      // when the change under way began, 0 for none
	not     uint64
	notUs   int64 // when the primary of revision not said that it is none, 0 for never

	q      freshness.Queue // commits in the primary's order, numbers within qterm
	qterm  uint64
	acked  ports.Position
	ins    []*instance    // by id
	wait   heap[*request] // for a primary or a lease
	unsure []*request     // commits that were answered and wait for a lease
}

// instance is one database with this node's line to it.
type instance struct {
	ports.Instance
	g       *group
	conns   []*conn // opening ones too
	idle    []*conn // the one used last stands last
	opening int
	running int // statements without an end
	stuck   int // of these, the ones that took too long for their place to count
	txs     int // open transactions on its connections
	line    heap[*request]
	ranks   [8]int // waiting, by rank
	dirty   bool
	out     bool // no longer announced

	slots    float64 // statements this node runs there at once
	pause    int64   // after it was busy
	backoff  int64   // no connect before
	backUs   int64
	wrong    bool  // another database listens at its address
	failing  int64 // since when it cannot be used, 0 if it can
	cut      bool
	spread   bool // the reads in its line were placed anew since
	wake     timer
	leavesUs int64   // when this node learned that it leaves
	useRate  float64 // uses of a connection a second
	usedUs   int64

	pos   ports.Position // newest its answers named
	run   [6]int64       // average by class kind and whether it writes, 0 unknown
	ranUs [6]int64       // when the average was last fed
	lag   int64
}

func (in *instance) dirtyIn(t *Table) {
	if !in.dirty {
		in.dirty = true
		t.dirty = append(t.dirty, in)
	}
}

func (t *Table) group(name string) *group {
	g := t.groups[name]
	if g == nil {
		g = &group{name: name}
		g.wait = heap[*request]{less: before, at: func(a *request) *int { return &a.place }}
		t.groups[name] = g
		i, _ := slices.BinarySearchFunc(t.gs, name, func(g *group, n string) int { return cmp.Compare(g.name, n) })
		t.gs = slices.Insert(t.gs, i, g)
	}
	return g
}

// before orders a line: what goes on in a transaction, then by rank, then by
// arrival.
func before(a, b *request) bool {
	if x, y := a.goesOn(), b.goesOn(); x != y {
		return x
	}
	if a.route.Rank != b.route.Rank {
		return a.route.Rank < b.route.Rank
	}
	return a.seq < b.seq
}

// denied says that the view's primary said lately that it is none.
func (g *group) denied(t *Table) bool {
	return g.notUs > 0 && g.not == g.view.Revision && t.now < g.notUs+t.o.NotedUs
}

// primary is the instance that may be given something new as the primary.
func (t *Table) primary(g *group) *instance {
	if !g.has || g.view.Withheld || g.view.Phase != ports.PhaseOpen || g.denied(t) {
		return nil
	}
	p := t.ins[g.view.Primary]
	if p == nil || p.g != g || t.drained(p) {
		return nil
	}
	return p
}

// drained says that a database announced so long ago that it leaves that nothing
// new may reach it.
func (t *Table) drained(in *instance) bool {
	return in.Leaving && t.now >= in.leavesUs+t.o.DrainUs
}

// changing says since when the group has no primary that works.
func (t *Table) changing(g *group) (since int64, yes bool) {
	if p := t.primary(g); p == nil {
		return g.since, true
	} else if p.failing > 0 {
		return p.failing, true
	}
	return 0, false
}

// changeEnds is when the change under way is expected to end.
func (t *Table) changeEnds(g *group, since int64) int64 {
	e := g.view.ExpectUs
	if e <= 0 {
		e = t.o.ExpectUs
	}
	return since + e
}

func (t *Table) view(e View) {
	t.lookUs = 0
	if e.Nodes > 0 {
		t.nodes = e.Nodes
	}
	if e.Table != nil && (t.table == nil || e.Table.Revision >= t.table.Revision) {
		t.setTable(e.Table)
	}
	if e.Instances != nil {
		t.setInstances(e.Instances)
	}
	t.until = max(t.until, e.LeaseUntil)
	for n, v := range e.Groups {
		t.group(n).next(v)
	}
	for _, g := range t.gs {
		t.viewGroup(g, e)
	}
	for _, g := range t.gs {
		t.again(g)
	}
}

// next marks a group's new view; viewGroup takes it in, in order of names.
func (g *group) next(v GroupView) { g.pending = &v }

func (t *Table) setTable(tb *ports.RoutingTable) {
	t.table = tb
	clear(t.routes)
	for i := range tb.Routes {
		r := &tb.Routes[i]
		old := t.routes[r.Host]
		if old == nil || len(r.Prefix) < len(old.Prefix) {
			t.routes[r.Host] = r
		}
	}
	for _, g := range tb.Groups {
		t.group(g.Name).conf = g
	}
}

func (t *Table) setInstances(is []ports.Instance) {
	seen := make(map[string]bool, len(is))
	for _, i := range is {
		if i.Gone {
			continue
		}
		seen[i.ID] = true
		in := t.ins[i.ID]
		if in == nil {
			in = t.newInstance(i)
		}
		if in.wrong && (i.Address != in.Address || i.Call > in.Call) {
			in.wrong = false
		}
		was := in.Leaving
		in.Instance = i
		if i.Leaving && !was {
			in.leavesUs = t.now
			in.g.q.Drop(in.ID)
			t.shedIdle(in)
			t.replaceLine(in, func(a *request) bool { return !a.goesOn() && t.primary(in.g) != in })
		}
		in.dirtyIn(t)
	}
	for _, g := range t.gs {
		for _, in := range slices.Clone(g.ins) {
			if !seen[in.ID] {
				t.gone(in)
			}
		}
	}
}

// leavesSince is since when an instance leaves that is heard of as leaving and was not
// known. If it was taken for gone in the meantime, its time goes on. Else it may have
// left long before this node started, so its time is held to be over.
func (t *Table) leavesSince(id string) int64 {
	if at, ok := t.leaving[id]; ok {
		return at
	}
	return t.now - t.o.DrainUs
}

func (t *Table) newInstance(i ports.Instance) *instance {
	g := t.group(i.Group)
	in := &instance{Instance: i, g: g}
	in.wake.owner = in
	in.line = heap[*request]{less: before, at: func(a *request) *int { return &a.place }}
	n := i.Capacity
	if n <= 0 {
		n = t.o.GuessedSlots
	}
	in.slots = float64(max(2, n))
	in.leavesUs = t.leavesSince(i.ID)
	t.ins[i.ID] = in
	j, _ := slices.BinarySearchFunc(g.ins, i.ID, func(x *instance, id string) int { return cmp.Compare(x.ID, id) })
	g.ins = slices.Insert(g.ins, j, in)
	if g.q.Known() {
		g.q.Applied(i.ID, 0)
	}
	return in
}

// forgetLeaving is how long it is remembered since when an instance leaves that was
// taken out.
const forgetLeaving = 120_000_000

// gone takes an instance out: its connections are closed, and what ran on them
// ends as lost.
func (t *Table) gone(in *instance) {
	in.out = true
	delete(t.ins, in.ID)
	if in.Leaving {
		maps.DeleteFunc(t.leaving, func(_ string, at int64) bool { return t.now-at > forgetLeaving })
		t.leaving[in.ID] = in.leavesUs
	}
	in.g.ins = slices.DeleteFunc(in.g.ins, func(x *instance) bool { return x == in })
	in.g.q.Drop(in.ID)
	if in.g.view.Primary == in.ID && in.g.since == 0 {
		in.g.since = t.now
	}
	t.disarm(&in.wake)
	for _, c := range slices.Clone(in.conns) {
		t.drop(c)
	}
	t.replaceLine(in, func(*request) bool { return true })
}

// shedIdle closes the idle connections of an instance that leaves.
func (t *Table) shedIdle(in *instance) {
	if t.primary(in.g) == in {
		return
	}
	for _, c := range slices.Clone(in.idle) {
		t.drop(c)
	}
}

// viewGroup takes a group's new view and lease in.
func (t *Table) viewGroup(g *group, e View) {
	if v := g.pending; v != nil {
		g.pending = nil
		old, had := g.view, g.has
		if had && v.Revision < old.Revision {
			v = &old
		}
		g.view, g.has = *v, true
		led := had && (v.Term != old.Term || v.Primary != old.Primary)
		if led || !had {
			g.sure, g.notUs = 0, 0
			g.q.Reset()
			g.qterm = 0
		}
		if p := t.ins[old.Primary]; had && p != nil && (led || v.Phase != old.Phase || v.Withheld != old.Withheld) {
			if led || v.Withheld || v.Phase == ports.PhaseSealing || v.Phase == ports.PhasePromoting {
				t.unseat(p)
			}
			t.replaceLine(p, func(a *request) bool { return !a.goesOn() })
			t.quieter(p)
		}
	}
	switch {
	case !g.has:
	case t.primary(g) != nil:
		g.since = 0
	case g.since == 0:
		g.since = t.now
	}
	// A lease that shows the sealing says nothing of how long the old primary is
	// the only one.
	if p := g.view.Phase; g.has && !g.view.Doubt && !g.view.Withheld && (p == ports.PhaseOpen || p == ports.PhaseClosing) {
		g.sure = max(g.sure, e.LeaseUntil)
	}
	if len(g.unsure) > 0 {
		t.confirmAgain(g)
	}
}

// unseat ends the transactions on a primary that was replaced or is about to
// be: what runs may still end, what rests is over (design 14.6).
func (t *Table) unseat(p *instance) {
	for _, c := range slices.Clone(p.conns) {
		switch {
		case c.tx == nil && c.request == nil:
		case len(c.pend) > 0:
			c.last = true
		default:
			t.drop(c)
		}
	}
}

// replaceLine places anew what waits in an instance's line.
func (t *Table) replaceLine(in *instance, which func(*request) bool) {
	var as []*request
	for _, a := range in.line.xs {
		if which(a) {
			as = append(as, a)
		}
	}
	slices.SortFunc(as, func(a, b *request) int { return cmp.Compare(a.seq, b.seq) })
	for _, a := range as {
		t.unplace(a)
		t.place(a)
	}
}

// again places anew what waits for a primary or a lease.
func (t *Table) again(g *group) {
	if g.wait.len() == 0 {
		return
	}
	as := slices.Clone(g.wait.xs)
	slices.SortFunc(as, func(a, b *request) int { return cmp.Compare(a.seq, b.seq) })
	for _, a := range as {
		t.unplace(a)
		t.place(a)
	}
}
