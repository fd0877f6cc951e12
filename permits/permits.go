// Package permits divides each database's connection limit among the nodes
// (design 9.3). A shrink is confirmed before the growth it pays for is given,
// and a dead node's share returns only after its permit has surely run out on
// that node's own clock, so the sum never passes the limit.
package permits

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"stoneford/schema"
	"stoneford/step"
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
	number uint64 // of the newest ask that was served
	n      map[string]int32
	until  int64
	heard  int64
	handed map[string]int32 // by the holder before, for that ask
}

type who struct {
	node string
	run  uint64
}

// Holder divides one group's limits. It is used by the holder of the group's
// duty, while that holder is the only one.
type Holder struct {
	nodes map[who]*grant
	began int64
	free  bool
}

// NewHolder begins to divide; first says that no holder came before.
func NewHolder(now int64, first bool) *Holder {
	return &Holder{nodes: map[who]*grant{}, began: now, free: first}
}

// Handed begins to divide where another holder stopped and said all that it had
// given: nothing outstanding is unknown, so growth need not wait.
func Handed(now int64, gs *schema.Grants) *Holder {
	h := NewHolder(now, true)
	for _, g := range gs.Grants {
		h.nodes[who{g.Node, g.Run}] = &grant{number: g.Number, n: maps.Clone(g.Connections), handed: g.Connections, until: now + goneUs, heard: now}
	}
	return h
}

// Grants is all that was given and may still be in use; the holder that says so
// gives nothing any more.
func (h *Holder) Grants(now int64) *schema.Grants {
	gs := &schema.Grants{}
	for k, g := range h.nodes {
		if now < g.until {
			gs.Grants = append(gs.Grants, &schema.Grant{Node: k.node, Run: k.run, Number: g.number, Connections: g.n})
		}
	}
	slices.SortFunc(gs.Grants, func(a, b *schema.Grant) int { return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Run, b.Run)) })
	return gs
}

// Ask serves a node. wants says whether the node should have any share.
func (h *Holder) Ask(now int64, from string, a *schema.PermitAsk, limits map[string]int32, wants bool) *schema.PermitGive {
	maps.DeleteFunc(h.nodes, func(_ who, g *grant) bool { return now >= g.until })
	// A holder that came after another cannot know which permits that one gave
	// until all of them have run out: till then it gives no growth.
	grow := h.Whole(now)
	k := who{from, a.Run}
	g := h.nodes[k]
	if g == nil {
		g = &grant{n: map[string]int32{}}
		h.nodes[k] = g
	}
	if a.Number > g.number {
		// Whatever the holder before gave for an earlier ask shows in this one.
		g.number, g.handed = a.Number, nil
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
		switch {
		case grow:
		case a.Permitted != nil:
			// What is open beyond its permit may long be another's share.
			give = min(give, a.Permitted.Connections[db])
		default:
			give = min(give, has)
		}
		if !wants {
			give = 0
		}
		give = max(give, 0)
		// What the node upholds is outstanding until it confirms less.
		g.n[db] = max(has, give, g.handed[db])
		out.Connections[db] = give
	}
	g.until, g.heard = now+goneUs, now
	return out
}

// Whole says whether all that may be in use is known: not yet to a holder that
// took over from one that did not tell.
func (h *Holder) Whole(now int64) bool { return h.free || now >= h.began+goneUs }

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
	return &Asker{group: group, run: run, number: step.FirstNumber("permit", group, strconv.FormatUint(run, 10)), caps: map[string]int32{}}
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
	m.Permitted = &schema.Permitted{Connections: maps.Clone(a.caps)}
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
func (a *Asker) Give(g *schema.PermitGive) bool {
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
