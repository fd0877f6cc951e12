package sessiontable

import (
	"stoneford/ports"
)

// certainty of a commit that a database answered.
const (
	certain   = iota // its primary is surely the only one now
	uncertain        // that is not known now, and may be in a moment
	doubtful         // it is being replaced, or was
)

// confirm ends a commit that its database answered. It is acknowledged only
// while the database surely leads: nobody else is promoted before every node's
// lease has run out or the node has confirmed the change, so nothing is
// acknowledged after another was (design 14.7).
func (t *Table) confirm(a *request, u *unsure) {
	g, p := a.g, u.position
	switch t.certainty(g, u.led, u.by) {
	case uncertain:
		a.unsure = u
		g.unsure = append(g.unsure, a)
		t.arm(&a.due, u.until)
		t.lookNow()
		return
	case doubtful:
		t.end(a, ports.Reply{Code: ports.InDoubt, Text: "the primary was being replaced"})
		return
	}
	if a.s.floorOf != g {
		a.s.floor, a.s.floorOf = ports.Position{}, g
	}
	if a.s.floor.Before(p) {
		a.s.floor = p
	}
	if g.acked.Before(p) {
		g.acked = p
	}
	t.end(a, u.reply)
}

func (t *Table) certainty(g *group, led uint64, by string) int {
	switch {
	case led == 0 || !g.has || g.view.Term != led || g.view.Primary != by,
		g.view.Phase != ports.PhaseOpen && g.view.Phase != ports.PhaseClosing:
		return doubtful
	case g.view.Doubt, t.now >= g.sure:
		return uncertain
	}
	return certain
}

// unsure is a commit whose database answered, and that waits for the lease.
type unsure struct {
	led      uint64
	by       string
	position ports.Position
	reply    ports.Reply
	until    int64
}

// confirmAgain goes through the commits of a group that wait for certainty.
func (t *Table) confirmAgain(g *group) {
	as := g.unsure
	g.unsure = nil
	for _, a := range as {
		if u := a.unsure; u != nil {
			a.unsure = nil
			t.disarm(&a.due)
			t.confirm(a, u)
		}
	}
}
