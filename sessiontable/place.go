package sessiontable

import (
	"maps"
	"slices"
	"strconv"

	"stoneford/freshness"
	"stoneford/ports"
	"stoneford/result"
)

// runIndex is the average that a request counts in.
func (a *request) runIndex() int {
	i := int(a.route.Kind) * 2
	if a.write || a.commit {
		i++
	}
	return i
}

func (t *Table) runOf(in *instance, i int) int64 {
	us := t.o.OtherUs
	if in.Zone == t.zone {
		us = t.o.SameUs
	}
	if in.run[i] == 0 || t.now > in.ranUs[i]+t.o.ForgetUs && in.run[i] > us {
		return us // unknown, or so long ago that it is worth a try
	}
	return in.run[i]
}

// unplace takes a request out of the line it waits in.
func (t *Table) unplace(a *request) {
	a.later = false
	if a.place == 0 {
		return
	}
	t.waiting--
	if a.in != nil {
		a.in.line.remove(a)
		a.in.ranks[rankOf(a)]--
		a.in = nil
		return
	}
	a.g.wait.remove(a)
}

func rankOf(a *request) int { return min(max(a.route.Rank, 0), 7) }

// place finds where a request is to run (design 14.8, 14.10).
func (t *Table) place(a *request) {
	if a.tries != a.backTry {
		a.backTry, a.backUs = a.tries, t.now
	}
	if a.goesOn() {
		t.join(a, a.tx.conn.in)
		return
	}
	if a.g.view.Withheld {
		t.await(a)
		return
	}
	if a.atPrimary() {
		t.placePrimary(a)
		return
	}
	t.choose(a)
}

func (t *Table) placePrimary(a *request) {
	p := t.primary(a.g)
	if p == nil {
		t.await(a)
		return
	}
	if a.reads() && a.g.sure <= a.from(t.o.MarginUs) {
		t.lookNow()
		t.await(a)
		return
	}
	a.need = ports.Position{}
	if f := a.floor(); f.Term == a.g.view.Term {
		a.need = f // what an older term acknowledged, this primary holds
	}
	t.join(a, p)
}

// choose is Refresco's choice among the copies (docs/refresco.md): the least sum
// of load, average run, wait for the level it needs, and crossing.
func (t *Table) choose(a *request) {
	g := a.g
	thr := a.route.StaleUs - t.o.MarginUs
	if !g.q.Known() || thr <= 0 {
		t.placePrimary(a)
		return
	}
	i := a.runIndex()
	p := t.primary(g)
	cs := t.copies[:0]
	for _, in := range g.ins {
		if in.ID == g.view.Primary || !t.takes(in, a) {
			continue
		}
		cs = append(cs, t.copyOf(in, i, 0))
	}
	if p != nil && g.sure > a.from(t.o.MarginUs) && !slices.Contains(a.tried, p.ID) && p.failing == 0 {
		c := t.copyOf(p, i, t.o.PrimaryUs)
		c.Level = g.q.Master()
		cs = append(cs, c)
	}
	t.copies = cs
	var floor int64
	pin := a.floor()
	if pin.Term == g.qterm {
		floor = pin.Number
	}
	f := freshness.Formula{Measure: freshness.Age, Threshold: thr}
	ch, ok := freshness.Choose(&g.q, f, floor, a.arrival(), cs, t.r.IntN)
	if !ok || p != nil && ch.Copy == p.ID {
		t.placePrimary(a)
		return
	}
	in := t.ins[ch.Copy]
	a.need = ports.Position{Term: g.qterm, Number: ch.Level}
	if a.need.Before(pin) {
		a.need = pin
	}
	if ch.WaitUs > 0 {
		if at := t.now + ch.WaitUs; at <= t.limit(a) {
			// It starts once the copy should have come to the level.
			a.in, a.later = nil, true
			t.waiting++
			g.wait.push(a)
			t.arm(&a.due, at)
			return
		}
		if p != nil {
			t.placePrimary(a)
			return
		}
	}
	t.join(a, in)
}

func (t *Table) copyOf(in *instance, i int, extra int64) freshness.Copy {
	run := t.runOf(in, i)
	c := freshness.Copy{Name: in.ID, RunUs: run + extra, LagUs: in.lag}
	c.BurdenUs = int64(float64(in.running-in.stuck+in.line.len()) * float64(run) / max(in.slots, 1))
	if in.Zone != t.zone {
		c.BurdenUs += t.o.CrossUs
	}
	if in.WarmUs > 0 {
		c.BurdenUs += run
	}
	if in.pos.Term == in.g.qterm {
		c.Level = in.pos.Number
	}
	return c
}

// takes says that a follower may be given something new.
func (t *Table) takes(in *instance, a *request) bool {
	return !in.Leaving && !in.wrong && in.failing == 0 && !slices.Contains(a.tried, in.ID) &&
		(t.now >= in.backoff || len(in.idle) > 0)
}

// await has a request wait for a primary or a lease.
func (t *Table) await(a *request) {
	l := t.limit(a)
	if l <= t.now {
		t.refuse(a)
		return
	}
	t.waiting++
	a.in = nil
	a.g.wait.push(a)
	t.arm(&a.due, l)
}

// join has a request wait in an instance's line, unless that is too long for it.
func (t *Table) join(a *request, in *instance) {
	if !a.goesOn() {
		est := t.estimate(a, in)
		if in.line.len() >= t.o.Line || est > 0 && t.now+est > a.aim && t.now < a.aim {
			a.hint = est
			t.refuse(a)
			return
		}
	}
	t.waiting++
	a.in = in
	in.line.push(a)
	in.ranks[rankOf(a)]++
	t.arm(&a.due, max(min(t.limit(a), a.deadline), t.now+1))
	in.dirtyIn(t)
}

// estimate is how long the line before a request takes.
func (t *Table) estimate(a *request, in *instance) int64 {
	n := in.running - in.stuck
	for r := range rankOf(a) + 1 {
		n += in.ranks[r]
	}
	if n = n + 1 - int(in.slots); n <= 0 {
		return 0
	}
	return int64(float64(n) * float64(t.runOf(in, a.runIndex())) / max(in.slots, 1))
}

// limit is until when a request may be held where it is. While no database can
// take it that is a short time; while a change of primary is expected to end
// within its aim, until a little past that; in the line of a database that
// works, its aim.
func (t *Table) limit(a *request) int64 {
	quarter := a.atUs + min(a.aimUs/4, t.o.WaitUs)
	if a.tries > 0 {
		quarter = max(quarter, a.backUs+t.o.WaitUs)
	}
	l := quarter
	if in := a.in; in != nil && in.failing == 0 && len(in.conns) > in.opening {
		l = max(l, a.aim-t.runOf(in, a.runIndex()))
	} else if since, ok := t.changing(a.g); ok && (a.atPrimary() || a.in == nil) {
		if end := t.changeEnds(a.g, since); end < a.aim {
			l = max(l, min(a.aim, end+(end-since)/4))
		}
	}
	return min(l, a.deadline-(a.deadline-a.atUs)/10)
}

// refuse ends a request that no database runs, with what a database said of it or
// with the moment to come back at.
func (t *Table) refuse(a *request) {
	if b := a.refused; b != nil && b.Code != ports.Busy {
		t.end(a, ports.Reply{Code: b.Code, Text: b.Text, Body: b.Body})
		return
	}
	t.counts.Held++
	t.countRefusal(a)
	us := a.hint
	if since, ok := t.changing(a.g); ok {
		us = max(us, t.changeEnds(a.g, since)-t.now)
	}
	ms := max(us/1000, 20)
	t.end(a, ports.Reply{Code: ports.Busy, Text: "no database can take it now; retry after " + strconv.FormatInt(ms, 10) + " ms"})
}

// overdue is called when a request's moment has come.
func (t *Table) overdue(a *request) {
	if a.conn != nil {
		t.overran(a)
		return
	}
	if a.unsure != nil {
		t.end(a, ports.Reply{Code: ports.InDoubt, Text: "whether its primary still led is not known"})
		return
	}
	if a.later {
		t.unplace(a)
		t.place(a) // anew, with what was learned since
		return
	}
	if l := t.limit(a); l > t.now {
		t.arm(&a.due, l)
		return
	}
	t.refuse(a)
}

// countRefusal counts why nodes' own refusals come about, and says it once a second.
func (t *Table) countRefusal(a *request) {
	why := "its line is too long"
	switch p := t.primary(a.g); {
	case a.hint > 0:
	case p == nil && a.g.denied(t):
		why = "the primary says that it is none"
	case p == nil && a.g.has && a.g.view.Phase == ports.PhaseOpen:
		why = "the primary is not announced"
	case p == nil:
		why = "the primary is being changed"
	case p.failing > 0:
		why = "the primary cannot be used"
	case t.now < p.backoff:
		why = "the primary takes no more connections"
	case a.reads() && a.g.sure <= a.from(t.o.MarginUs):
		why = "no lease"
	}
	t.countRefusedFor(a.g.name + ": " + why)
}

// countRefusedFor counts what this node refuses itself, by cause, and says it once a
// second.
func (t *Table) countRefusedFor(why string) {
	if t.held == nil {
		t.held = map[string]int{}
	}
	t.held[why]++
	if t.now < t.heldUs+1_000_000 {
		return
	}
	t.heldUs = t.now
	for _, k := range slices.Sorted(maps.Keys(t.held)) {
		t.emit(Say{Code: result.StatementsBounced, Text: strconv.Itoa(t.held[k]) + " for " + k})
	}
	clear(t.held)
}
