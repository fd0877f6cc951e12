package sessiontable

import (
	"stoneford/freshness"
	"stoneford/ports"
)

// noteLevel takes a position that an instance showed.
func (t *Table) noteLevel(in *instance, p ports.Position) {
	if !p.Known() {
		return
	}
	if in.pos.Before(p) || in.g.view.Primary != in.ID {
		in.pos = p
	}
	g := in.g
	if g.view.Primary == in.ID || in.Leaving || !g.q.Known() || p.Term != g.qterm {
		return
	}
	g.q.Applied(in.ID, p.Number)
	lag := int64(0)
	if at, ok := g.q.CommittedUs(p.Number + 1); ok {
		lag = max(t.now-at, 0)
	}
	in.lag += (lag - in.lag) / 8
}

// all is what a commit may have written: of a caller's thing nothing finer is
// known, and any missing commit makes a read stale.
var all = []freshness.Atom{""}

// noteEvidence takes what the primary's answer proves: all commits acknowledged
// before the statement left lie at or below the position, as the lease held at
// that moment (design 14.10).
func (t *Table) noteEvidence(c *conn, sent int64, p ports.Position, own bool) {
	g, in := c.in.g, c.in
	if !p.Known() || c.led == 0 || c.led != g.view.Term || g.view.Primary != in.ID || g.sure <= sent || p.Term < g.qterm {
		return
	}
	if p.Term > g.qterm || !g.q.Known() {
		g.q.Reset()
		g.qterm = p.Term
		for _, f := range g.ins {
			if f != in && !f.Leaving {
				l := int64(0)
				if f.pos.Term == p.Term {
					l = f.pos.Number
				}
				g.q.Applied(f.ID, l)
			}
		}
	}
	fresh := !g.q.Known()
	if own {
		g.q.Committed(sent, p.Number, 1, all)
	} else {
		g.q.Seen(sent, p.Number)
	}
	if g.q.Len() > 4096 {
		g.q.Applied("", g.q.Master()-2048) // where there is no copy
		for _, f := range g.ins {
			if l, ok := g.q.Level(f.ID); ok && l < g.q.Master()-2048 {
				g.q.Drop(f.ID)
			}
		}
	}
	if fresh {
		t.replaceLine(in, func(a *request) bool { return !a.goesOn() && !a.atPrimary() })
		t.again(g)
	}
}
