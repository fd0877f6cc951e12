// Package permits divides each database's connection limit among the nodes
// (design 9.3). A shrink is confirmed before the growth it pays for is given,
// and a dead node's share returns only after its permit has surely run out on
// that node's own clock, so the sum never passes the limit.
package permits

import (
	"maps"

	"stoneford/schema"
)

const (
	// LengthUs is how long a permit lasts from the start of the ask that it
	// returns.
	LengthUs = 5_000_000
	// goneUs is when a holder takes a permit to have surely run out: a tenth
	// longer, for clocks that run at different rates.
	goneUs = LengthUs * 11 / 10
	// AskEvery is the time between two asks.
	AskEvery = 400_000
)

type grant struct {
	n     map[string]int32
	until int64
	heard int64
}

// Holder divides one group's limits. It is used by the holder of the group's
// duty, while that holder is the only one.
type Holder struct {
	nodes map[string]*grant // by node and run
	began int64
	free  bool
}

// NewHolder begins to divide; first says that no holder came before.
func NewHolder(now int64, first bool) *Holder {
	return &Holder{nodes: map[string]*grant{}, began: now, free: first}
}

func id(from string, run uint64) string {
	return from + "#" + string(rune(run%0xd000)) + string(rune(run/0xd000%0xd000))
}

// Ask serves a node. wants says whether the node should have any share.
func (h *Holder) Ask(now int64, from string, a *schema.PermitAsk, limits map[string]int32, wants bool) *schema.PermitGive {
	maps.DeleteFunc(h.nodes, func(_ string, g *grant) bool { return now >= g.until })
	// A holder that came after another cannot know which permits that one gave
	// until all of them have run out: till then it gives no growth.
	grow := h.free || now >= h.began+goneUs
	k := id(from, a.Run)
	g := h.nodes[k]
	if g == nil {
		g = &grant{n: map[string]int32{}}
		h.nodes[k] = g
	}
	n := int32(0)
	for _, o := range h.nodes {
		if o == g || now-o.heard < 3*AskEvery {
			n++
		}
	}
	out := &schema.PermitGive{Group: a.Group, Number: a.Number, Connections: map[string]int32{}, LengthUs: LengthUs}
	for db, lim := range limits {
		others := int32(0)
		for _, o := range h.nodes {
			if o != g {
				others += o.n[db]
			}
		}
		has := a.Upholds[db]
		give := min(lim/n, lim-others)
		if !grow {
			give = min(give, has)
		}
		if !wants {
			give = 0
		}
		give = max(give, 0)
		// What the node upholds is outstanding until it confirms less.
		g.n[db] = max(has, give)
		out.Connections[db] = give
	}
	g.until, g.heard = now+goneUs, now
	return out
}

// Sum is what may be in use of a database at the most.
func (h *Holder) Sum(now int64, db string) int32 {
	var s int32
	for _, g := range h.nodes {
		if now < g.until {
			s += g.n[db]
		}
	}
	return s
}

// Asker is a node's side.
type Asker struct {
	group  string
	run    uint64
	number uint64
	sent   int64
	until  int64
	caps   map[string]int32
	next   int64
}

// NewAsker makes a node's side for one group.
func NewAsker(group string, run uint64) *Asker {
	return &Asker{group: group, run: run, caps: map[string]int32{}}
}

// Tick returns an ask when one is due. inUse is how many connections are open
// to each database.
func (a *Asker) Tick(now int64, inUse map[string]int) *schema.PermitAsk {
	if now < a.next {
		return nil
	}
	a.next, a.sent = now+AskEvery, now
	a.number++
	m := &schema.PermitAsk{Group: a.group, Number: a.number, Run: a.run, Upholds: map[string]int32{}}
	if now >= a.until {
		a.caps = map[string]int32{}
	}
	for db, n := range a.caps {
		m.Upholds[db] = n
	}
	for db, n := range inUse {
		m.Upholds[db] = max(m.Upholds[db], int32(n))
	}
	return m
}

// Give takes a return; one to an earlier ask is void. It says whether the
// permit changed.
func (a *Asker) Give(now int64, g *schema.PermitGive) bool {
	if g.Number != a.number || g.Group != a.group {
		return false
	}
	old := a.caps
	a.caps, a.until = maps.Clone(g.Connections), a.sent+g.LengthUs
	return !maps.Equal(old, a.caps)
}

// Cap is how many connections to a database this node may hold now.
func (a *Asker) Cap(now int64, db string) int {
	if now >= a.until {
		return 0
	}
	return int(a.caps[db])
}

// UntilUs is when the permit runs out.
func (a *Asker) UntilUs() int64 { return a.until }
