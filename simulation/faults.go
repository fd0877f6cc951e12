package simulation

import (
	"fmt"
	"maps"
	"slices"

	"stoneford/control"
	"stoneford/language"
	"stoneford/pool"
	"stoneford/querytable"
	"stoneford/result"
	"stoneford/schema"
)

// KillControl ends a control process; StartControl starts it on its disk, or
// on an empty one.
func (f *Fleet) KillControl(i int) { f.Controls[i].up = false }

// StartControl starts a control process again.
func (f *Fleet) StartControl(i int, empty bool) {
	if empty {
		f.Controls[i].disk = nil
	}
	f.startControl(f.Controls[i])
}

// StopControl stops a control process as its daemon does on SIGTERM.
func (f *Fleet) StopControl(i int) {
	c := f.Controls[i]
	f.toControl(c, c.gen, control.Stop{})
	g := c.gen
	f.After(1_000_000, func() {
		if c.gen == g {
			c.up = false
		}
	})
}

// KillNode ends a pool node at once.
func (f *Fleet) KillNode(i int) { f.Nodes[i].up = false }

// StartNode starts it again.
func (f *Fleet) StartNode(i int) { f.Nodes[i].leaving = false; f.startNode(f.Nodes[i]) }

// StopNode stops a pool node with its grace, then ends it.
func (f *Fleet) StopNode(i int) {
	n := f.Nodes[i]
	if !n.up || n.paused || n.leaving {
		return
	}
	n.leaving = true
	for _, k := range slices.Sorted(maps.Keys(n.tables)) {
		f.stepTable(n, k, querytable.Stop{GraceUs: 3_000_000})
	}
	f.stepNode(n, pool.Stop{})
	g := n.gen
	f.After(3_500_000, func() {
		if n.gen == g {
			if len(n.waiters) > 0 && !n.paused {
				f.Bad("%s stopped and dropped %d queries halfway", n.boot.Name, len(n.waiters))
			}
			n.up = false
		}
	})
}

func (l *life) resume(f *Fleet) {
	l.paused = false
	hs := l.held
	l.held = nil
	for _, h := range hs {
		f.After(0, h)
	}
}

// PauseNode freezes a pool node, ResumeNode lets it go on.
func (f *Fleet) PauseNode(i int)  { f.Nodes[i].paused = true }
func (f *Fleet) ResumeNode(i int) { f.Nodes[i].resume(f) }

// PauseControl freezes a control process, ResumeControl lets it go on.
func (f *Fleet) PauseControl(i int)  { f.Controls[i].paused = true }
func (f *Fleet) ResumeControl(i int) { f.Controls[i].resume(f) }

// KillDB ends a database's process; StartDB starts it on its disk; LoseDB
// starts it on an empty one.
func (f *Fleet) KillDB(n string) {
	if f.DBs[n].up {
		f.DBs[n].crash()
	}
}
func (f *Fleet) StartDB(n string) {
	if !f.DBs[n].up {
		f.DBs[n].start()
	}
}
func (f *Fleet) LoseDB(n string) { f.KillDB(n); f.DBs[n].fresh(); f.DBs[n].start() }

// PauseDB freezes a database; ResumeDB lets it go on.
func (f *Fleet) PauseDB(n string) { f.DBs[n].paused = true }
func (f *Fleet) ResumeDB(n string) {
	d := f.DBs[n]
	d.paused = false
	hs := d.held
	d.held = nil
	for _, h := range hs {
		f.After(0, h)
	}
}

// Isolate cuts one address off from all others but the callers, one way or
// both.
func (f *Fleet) Isolate(addr string, both bool) {
	for _, o := range f.Addresses() {
		if o != addr {
			f.Net.Cut(addr, o, true)
			if both {
				f.Net.Cut(o, addr, true)
			}
		}
	}
}

// Addresses are all places but the callers: control processes first, then
// nodes, then databases.
func (f *Fleet) Addresses() []string {
	var as []string
	for _, c := range f.Controls {
		as = append(as, c.boot.Listen)
	}
	for _, n := range f.Nodes {
		as = append(as, n.boot.Listen)
	}
	return append(as, slices.Sorted(maps.Keys(f.byAddr))...)
}

// Deaf has a group's replicas receive nothing, or again.
func (f *Fleet) Deaf(group string, deaf bool) {
	for _, n := range f.Cf.Groups[group].Members {
		if !f.DBs[n].c.Primary {
			f.DBs[n].noTake = deaf
		}
	}
}

// Leave has the primary of a group announce that it leaves.
func (f *Fleet) Leave(group string) {
	if p := f.Primary(group); p != nil {
		p.c.Leaving = true
	}
}

// LosePermits has no permit reach any node from now on: a plant.
func (f *Fleet) LosePermits() {
	take := f.Net.Take
	f.Net.Take = func(to string, e *schema.Envelope) {
		if e.GetPermitGive() == nil {
			take(to, e)
		}
	}
}

// ZoneGone ends everything that stands in a zone.
func (f *Fleet) ZoneGone(zone string) {
	for i, c := range f.Controls {
		if c.boot.Zone == zone {
			f.KillControl(i)
		}
	}
	for i, n := range f.Nodes {
		if n.boot.Zone == zone {
			f.KillNode(i)
		}
	}
	for _, a := range slices.Sorted(maps.Keys(f.byAddr)) {
		if d := f.byAddr[a]; d.zone == zone {
			f.KillDB(d.name)
		}
	}
}

// Lag has every replica apply a commit so much later.
func (f *Fleet) Lag(us int64) {
	for _, d := range f.DBs {
		d.lag = us
	}
}

// Address is where the database is reached.
func (d *DB) Address() string { return d.addr }

// Heal mends the network and brings every process back.
func (f *Fleet) Heal() {
	f.Net.Mend()
	f.Net.Drop, f.Net.Double = 0, 0
	for i, c := range f.Controls {
		if !c.up {
			f.StartControl(i, false)
		} else if c.paused {
			f.ResumeControl(i)
		}
	}
	for i, n := range f.Nodes {
		if !n.up {
			f.StartNode(i)
		} else if n.paused {
			f.ResumeNode(i)
		}
	}
	for _, g := range f.Plan.Groups {
		for _, n := range f.Cf.Groups[g].Members {
			d := f.DBs[n]
			d.dark, d.noTake, d.noApply, d.slow, d.lag, d.lose, d.c.Leaving = false, false, false, 0, f.Plan.LagUs, 0, false
			if !d.up {
				f.StartDB(n)
			} else if d.paused {
				f.ResumeDB(n)
			}
		}
	}
}

// RandomFaults brings faults about until a time, within what the users must be
// able to bear: one disk machine at a time, and of each group one database.
func (f *Fleet) RandomFaults(until int64, meanUs int64) {
	var next func()
	next = func() {
		if f.Now >= until {
			return
		}
		f.randomFault()
		f.After(f.Between(meanUs/2, meanUs*3/2), next)
	}
	f.After(f.Between(0, meanUs), next)
}

// groupWell: all three copies are up and the agreed members, so that one may
// be lost.
func (f *Fleet) groupWell(g string) bool {
	p := f.Primary(g)
	if p == nil {
		return false
	}
	ids := map[string]string{}
	for _, c := range f.Controls {
		if !c.up || c.paused {
			continue
		}
		st := control.GroupState(c.core.Held(control.GroupPrefix + f.partner + "/" + g))
		if st.Epoch == p.c.Epoch {
			for _, m := range st.Members {
				ids[m.Database] = m.Identity
			}
		}
	}
	for _, n := range f.Cf.Groups[g].Members {
		d := f.DBs[n]
		if !d.talks() || d.noTake || d.c.Epoch != p.c.Epoch || d.c.LogEpoch() != p.c.Epoch || ids[d.name] != d.c.Identity || p.c.Received()-d.c.Received() > 50 {
			return false
		}
	}
	return true
}

func (f *Fleet) controlsWell() bool {
	for _, c := range f.Controls {
		if !c.up || c.paused || !c.core.Votes() {
			return false
		}
	}
	return true
}

func (f *Fleet) randomFault() {
	later := func(lo, hi int64, do func()) { f.After(f.Between(lo, hi), do) }
	g := f.Plan.Groups[f.R.IntN(len(f.Plan.Groups))]
	db := f.Cf.Groups[g].Members[f.R.IntN(3)]
	if p := f.Primary(g); p != nil && f.Chance(0.5) {
		db = p.name
	}
	d := f.DBs[db]
	ni, ci := f.R.IntN(len(f.Nodes)), f.R.IntN(3)
	n := f.Nodes[ni]
	k := f.R.IntN(20)
	if k < 9 && !f.groupWell(g) {
		return
	}
	if k >= 9 && k < 12 && !f.controlsWell() {
		return
	}
	if k >= 12 && k < 16 && (!n.up || n.paused || n.leaving) {
		return
	}
	switch k {
	case 0:
		f.say("fault: kill %s", db)
		f.KillDB(db)
		later(500_000, 6_000_000, func() { f.StartDB(db) })
	case 1:
		f.say("fault: lose %s for good", db)
		f.KillDB(db)
		later(500_000, 6_000_000, func() { f.LoseDB(db) })
	case 2:
		f.say("fault: %s goes dark", db)
		d.dark = true
		later(500_000, 6_000_000, func() { d.dark = false })
	case 3:
		f.say("fault: freeze %s", db)
		f.PauseDB(db)
		later(300_000, 6_000_000, func() { f.ResumeDB(db) })
	case 4:
		f.say("fault: isolate %s", db)
		f.Isolate(d.addr, f.Chance(0.5))
		later(500_000, 5_000_000, f.Net.Mend)
	case 5:
		f.say("fault: %s loses returns", db)
		d.lose = 1 + f.R.IntN(5)
	case 6:
		f.say("fault: %s is slow", db)
		d.slow = f.Between(5_000, 400_000)
		later(500_000, 4_000_000, func() { d.slow = 0 })
	case 7:
		// Replicas stop receiving just as the primary goes dark.
		f.say("fault: %s goes dark and a replica stands still", db)
		for _, m := range f.Cf.Groups[g].Members {
			if o := f.DBs[m]; o != d {
				o.noTake = true
				later(100_000, 3_000_000, func() { o.noTake = false })
				break
			}
		}
		later(0, 1_000_000, func() { d.dark = true })
		later(2_000_000, 6_000_000, func() { d.dark = false })
	case 8:
		f.say("fault: %s leaves for a while", db)
		d.c.Leaving = true
		later(2_000_000, 10_000_000, func() { d.c.Leaving = false })
	case 9:
		if f.Chance(0.5) {
			f.say("fault: stop %s", f.Controls[ci].boot.Name)
			f.StopControl(ci)
		} else {
			f.say("fault: kill %s", f.Controls[ci].boot.Name)
			f.KillControl(ci)
		}
		later(1_100_000, 6_000_000, func() { f.StartControl(ci, false) })
	case 10:
		f.say("fault: lose the disk of %s", f.Controls[ci].boot.Name)
		f.KillControl(ci)
		later(300_000, 6_000_000, func() { f.StartControl(ci, true) })
	case 11:
		f.say("fault: freeze %s", f.Controls[ci].boot.Name)
		f.PauseControl(ci)
		later(300_000, 8_000_000, func() { f.ResumeControl(ci) })
	case 12:
		f.say("fault: kill %s", n.boot.Name)
		f.KillNode(ni)
		later(300_000, 6_000_000, func() {
			if !n.up {
				f.StartNode(ni)
			}
		})
	case 13, 14:
		f.say("fault: freeze %s", n.boot.Name)
		f.PauseNode(ni)
		later(300_000, 8_000_000, func() { f.ResumeNode(ni) })
	case 15:
		f.say("fault: stop %s", n.boot.Name)
		f.StopNode(ni)
		later(4_000_000, 9_000_000, func() {
			if !n.up {
				f.StartNode(ni)
			}
		})
	case 16:
		a := []string{n.boot.Listen, f.Controls[ci].boot.Listen}[f.R.IntN(2)]
		f.say("fault: isolate %s", a)
		f.Isolate(a, f.Chance(0.5))
		later(300_000, 6_000_000, f.Net.Mend)
	case 17:
		f.say("fault: the network drops and doubles")
		f.Net.Drop, f.Net.Double = 0.1, 0.1
		later(500_000, 5_000_000, func() { f.Net.Drop, f.Net.Double = 0, 0 })
	case 18, 19:
		f.operators()
	}
}

// operators race: two send changes based on the same revision, one of them
// perhaps with an error in it, from different control processes.
func (f *Fleet) operators() {
	base := f.Truth.accepted.Revision
	for i := range 2 {
		c := f.Controls[f.R.IntN(3)]
		if !c.up {
			continue
		}
		line := 300 + f.R.IntN(300)
		good := f.Chance(0.7)
		text := fmt.Sprintf(`{"routes":{"%s":{"line":%d}}}`, f.Plan.Groups[0], line)
		if !good {
			text = fmt.Sprintf(`{"routes":{"%s":{"line":0,"group":"nowhere"}}}`, f.Plan.Groups[0])
		}
		f.say("operator %d sends a change on revision %d", i, base)
		f.Operate(c, func(id uint64) any {
			return control.PutConfiguration{ID: id, Partner: f.partner, Base: base, Patch: true, Text: []byte(text)}
		}, func(r control.Return) {
			f.say("operator %d hears %d revision %d", i, r.Code, r.Revision)
			switch {
			case r.Code == result.OK && !good:
				f.Bad("an invalid configuration was accepted")
			case r.Code == result.OK && r.Revision <= f.Truth.accepted.Revision && f.Truth.accepted.Revision > base:
				f.Bad("two changes on revision %d were both accepted", base)
			case r.Code == result.OK:
				f.Truth.configured(r)
			}
		})
	}
}

// Slow has each run of a database take so much longer.
func (f *Fleet) Slow(n string, us int64) { f.DBs[n].slow = us }

// Places are the databases, as the language names them.
func (f *Fleet) Places() []language.Place {
	var ps []language.Place
	for _, g := range f.Plan.Groups {
		p := f.Primary(g)
		for _, n := range f.Cf.Groups[g].Members {
			ps = append(ps, language.Place{Name: n, Partner: f.partner, Group: f.partner + "/" + g, Zone: f.DBs[n].zone, Primary: p == f.DBs[n]})
		}
	}
	return ps
}
