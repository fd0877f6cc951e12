package coordinator

import (
	"fmt"
	"slices"
	"testing"

	"stoneford/ports"
	"stoneford/routingtable"
)

// asked is one call to a member of a cluster.
type asked struct {
	to     string
	sent   int64
	ended  int64 // 0 while there is no answer
	answer any
}

func (a *asked) took() int64 { return a.ended - a.sent }

// callers send calls to the members of a cluster and take down the answers.
type callers struct {
	c    *cluster
	ids  uint64
	open map[uint64]*asked
	read map[string]int // effects of a member that were read
	// planted, where set, answers in a member's place where it is not nil.
	planted func(to string, event any) any
}

func newCallers(c *cluster) *callers {
	return &callers{c: c, open: map[uint64]*asked{}, read: map[string]int{}}
}

func (k *callers) send(to string, build func(id uint64) any) *asked {
	k.ids++
	a := &asked{to: to, sent: k.c.w.Now}
	event := build(k.ids)
	if k.planted != nil {
		if answer := k.planted(to, event); answer != nil {
			a.answer, a.ended = answer, k.c.w.Now
			return a
		}
	}
	k.open[k.ids] = a
	k.c.step(to, event)
	k.collect()
	return a
}

func (k *callers) order(to string, t ports.TableChange) *asked {
	return k.send(to, func(id uint64) any { return Change{ID: id, Change: t} })
}

func (k *callers) fetch(to string) *asked {
	return k.send(to, func(id uint64) any { return Fetch{ID: id} })
}

func (k *callers) announce(to string, i ports.Instance) *asked {
	return k.send(to, func(id uint64) any { return Announce{ID: id, Instance: i} })
}

// collect takes the answers that the members gave since the last call.
func (k *callers) collect() {
	for _, m := range k.c.order {
		does := k.c.ms[m].does
		for _, d := range does[min(k.read[m], len(does)):] {
			var id uint64
			switch d := d.(type) {
			case Changed:
				id = d.ID
			case Fetched:
				id = d.ID
			case Announced:
				id = d.ID
			case Moved:
				id = d.ID
			}
			if a := k.open[id]; a != nil && a.to == m {
				a.answer, a.ended = d, k.c.w.Now
				delete(k.open, id)
			}
		}
		k.read[m] = len(does)
	}
}

// broken ends the calls to a member that was killed; nobody answered them.
func (k *callers) broken(to string) {
	for id, a := range k.open {
		if a.to == to {
			a.ended = k.c.w.Now
			delete(k.open, id)
		}
	}
}

func (k *callers) run(us int64) {
	for until := k.c.w.Now + us; k.c.w.Now < until; {
		k.c.run(min(5_000, until-k.c.w.Now))
		k.collect()
	}
}

// wait runs until a call is answered, for a time at most.
func (k *callers) wait(a *asked, us int64) any {
	for until := k.c.w.Now + us; a.ended == 0 && k.c.w.Now < until; {
		k.run(5_000)
	}
	return a.answer
}

// outcome is what became of an order, Unavailable where nobody answered.
func (a *asked) outcome() ports.Outcome {
	c, _ := a.answer.(Changed)
	return c.Result.Outcome
}

// take sends an order from member to member, as operators do, until somebody
// gives a clear answer.
func (k *callers) take(t ports.TableChange, to ...string) ports.Outcome {
	for i := range 12 {
		a := k.order(to[i%len(to)], t)
		k.wait(a, 1_000_000)
		if o := a.outcome(); o != ports.Unavailable {
			return o
		}
		k.run(200_000)
	}
	return ports.Unavailable
}

// tableOrder is an order that adds a route, or for the first revision makes the
// table; content tells it from others under the same numbers.
func tableOrder(base, revision uint64, content string) ports.TableChange {
	name := fmt.Sprintf("%d on %d: %s", revision, base, content)
	if base == 0 {
		return ports.TableChange{Revision: revision, Whole: true, Name: name, Groups: []ports.Group{{Name: "g", ConnLimit: 10, Sync: 1}}, Limits: &ports.Limits{}}
	}
	route := ports.Route{Name: name, Host: name, Prefix: "/", Group: "g", ExpiryUs: 800_000}
	return ports.TableChange{Base: base, Revision: revision, Name: name, Routes: []ports.Route{route}}
}

// settled is a cluster of three that has formed and taken revision 1.
func settled(t *testing.T, seed uint64) (*cluster, *callers) {
	c := newCluster(t, seed, 3, 3, 1)
	k := newCallers(c)
	for _, a := range c.order {
		c.start(a)
	}
	k.run(3_000_000)
	if o := k.take(tableOrder(0, 1, "first"), c.order...); o != ports.Agreed {
		t.Fatalf("seed %d: the first order ended as %d", seed, o)
	}
	k.run(1_000_000)
	return c, k
}

// newest is the table that a majority holds, read through a member.
func (k *callers) newest(to string) ports.RoutingTable {
	for range 10 {
		a := k.fetch(to)
		k.wait(a, 1_000_000)
		if f, _ := a.answer.(Fetched); f.OK {
			return f.Table
		}
		k.run(200_000)
	}
	return ports.RoutingTable{}
}

// has says that a table holds the route that an order added.
func has(t ports.RoutingTable, o ports.TableChange) bool {
	return slices.ContainsFunc(t.Routes, func(r ports.Route) bool { return r.Host == o.Routes[0].Host })
}

// held is the table that a member works by, whatever the others do.
func (c *cluster) held(a string) ports.RoutingTable {
	t, _ := c.ms[a].core.Table()
	return t
}

// judgeAlone is what a member would say of an order that asked nobody.
func judgeAlone(t ports.RoutingTable, o ports.TableChange) ports.ChangeResult {
	if routingtable.WasTaken(t, o) == routingtable.Taken {
		return ports.ChangeResult{Outcome: ports.Agreed, Revision: t.Revision}
	}
	if t.Revision != o.Base {
		return ports.ChangeResult{Outcome: ports.Stale, Revision: t.Revision}
	}
	if _, problems := routingtable.Apply(t, o); len(problems) > 0 {
		return ports.ChangeResult{Outcome: ports.Invalid, Revision: t.Revision, Problems: problems}
	}
	return ports.ChangeResult{Outcome: ports.Agreed, Revision: o.Revision}
}
