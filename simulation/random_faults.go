package simulation

import (
	"fmt"
	"slices"
	"time"

	"stoneford/bookings"
	"stoneford/control"
	"stoneford/result"
)

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
		st := control.GroupState(c.core.Held(control.GroupPrefix + f.owner[g] + "/" + g))
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
		if !c.up || c.paused || c.leaving || !c.core.Votes() {
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
	k := f.R.IntN(faultKinds)
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
		later(1_100_000, 6_000_000, func() { f.StartControl(ci) })
	case 10:
		f.say("fault: lose the disk of %s", f.Controls[ci].boot.Name)
		f.LoseDisk(ci)
		later(300_000, 6_000_000, func() { f.StartControl(ci) })
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
		a := n.boot.Listen
		if f.controlsWell() && f.Chance(0.5) {
			a = f.Controls[ci].boot.Listen
		}
		f.say("fault: isolate %s", a)
		f.Isolate(a, f.Chance(0.5))
		later(300_000, 6_000_000, f.Net.Mend)
	case 17:
		f.say("fault: the network drops and doubles")
		f.Net.Drop, f.Net.Double = 0.1, 0.1
		later(500_000, 5_000_000, func() { f.Net.Drop, f.Net.Double = 0, 0 })
	case 18, 19:
		f.Operators()
	case 20:
		f.say("fault: a crowd")
		f.Crowd(4, f.Between(2_000_000, 5_000_000))
	case 21, 22:
		z, share := "", 0.4
		if f.Chance(0.5) {
			z, share = f.Plan.Zones[f.R.IntN(len(f.Plan.Zones))], 1
		}
		f.say("fault: callers move to other zones (%s)", z)
		f.MoveCallers(z, share)
	case 23:
		f.say("fault: %s has a slow machine", n.boot.Name)
		n.slowUs = f.Between(5_000, 80_000)
		later(1_000_000, 6_000_000, func() { n.slowUs = 0 })
	case 24:
		c := f.Controls[ci]
		if !f.controlsWell() {
			return
		}
		f.say("fault: %s has a slow machine and disk", c.boot.Name)
		c.slowUs, c.syncUs = f.Between(0, 40_000), f.Between(5_000, 200_000)
		later(1_000_000, 6_000_000, func() { c.slowUs, c.syncUs = 0, 0 })
	case 25, 26:
		f.machineLost(ci)
	case 27:
		if len(f.Nodes) < f.Plan.Machines+3 {
			f.say("fault: a machine joins")
			f.Join()
		}
	case 28:
		if !f.rolling {
			f.say("fault: every node is restarted in turn")
			f.rolling = true
			f.rollNodes(0)
		}
	case 29:
		if !f.rolling {
			f.say("fault: every control process is restarted in turn")
			f.rolling = true
			f.rollControls(0)
		}
	case 30:
		f.say("fault: %s is replaced copy by copy", g)
		f.replaceAll(g, 0)
	case 31:
		f.say("fault: every primary goes at once")
		for _, g := range f.Plan.Groups {
			if !f.groupWell(g) {
				continue
			}
			p := f.Primary(g)
			if f.Chance(0.5) {
				f.KillDB(p.name)
				later(2_000_000, 6_000_000, func() { f.StartDB(p.name) })
			} else {
				p.dark = true
				later(2_000_000, 6_000_000, func() { p.dark = false })
			}
		}
	case 32:
		f.say("fault: the platform is slow and does not do all")
		f.PlatformUs, f.PlatformFails = f.Between(100_000, 3_000_000), 0.5
		later(2_000_000, 6_000_000, func() { f.PlatformUs, f.PlatformFails = 5_000, 0 })
	case 33, 34, 35:
		f.randomBooking(g)
	}
}

const faultKinds = 36

// machineLost ends a disk machine whole, its control process and its pool node,
// with or without its disk; often one database of each group goes with it.
func (f *Fleet) machineLost(i int) {
	if !f.controlsWell() {
		return
	}
	empty, dbs := f.Chance(0.5), f.Chance(0.5)
	f.say("fault: machine %d is lost, disk lost: %v, databases: %v", i+1, empty, dbs)
	later := func(do func()) { f.After(f.Between(500_000, 6_000_000), do) }
	f.KillControl(i)
	if empty {
		f.LoseDisk(i)
	}
	later(func() { f.StartControl(i) })
	if n := f.Nodes[i]; n.up && !n.paused && !n.leaving {
		f.KillNode(i)
		later(func() {
			if !n.up {
				f.StartNode(i)
			}
		})
	}
	if !dbs {
		return
	}
	for _, g := range f.Plan.Groups {
		d := f.DBs[f.Cf.Groups[g].Members[f.R.IntN(3)]]
		if !f.groupWell(g) {
			continue
		}
		f.KillDB(d.name)
		later(func() {
			if empty {
				f.LoseDB(d.name)
			} else {
				f.StartDB(d.name)
			}
		})
	}
}

// rollNodes restarts nodes one after another from the i-th on.
func (f *Fleet) rollNodes(i int) {
	if i == len(f.Nodes) || f.halted {
		f.rolling = false
		return
	}
	n := f.Nodes[i]
	if !n.up || n.paused || n.leaving {
		f.rollNodes(i + 1)
		return
	}
	f.StopNode(i)
	f.After(3_600_000, func() {
		if !n.up {
			f.StartNode(i)
		}
		f.After(f.Between(100_000, 1_000_000), func() { f.rollNodes(i + 1) })
	})
}

// rollControls restarts control processes one after another, each once all vote.
func (f *Fleet) rollControls(i int) {
	if i == len(f.Controls) || f.halted {
		f.rolling = false
		return
	}
	if !f.controlsWell() {
		f.After(200_000, func() { f.rollControls(i) })
		return
	}
	f.StopControl(i)
	f.After(1_100_000, func() {
		f.StartControl(i)
		f.rollControls(i + 1)
	})
}

// replaceAll replaces each copy of a group, one after another, each once the
// group could bear it.
func (f *Fleet) replaceAll(g string, i int) {
	switch {
	case i == 3 || f.halted:
	case !f.groupWell(g):
		f.After(200_000, func() { f.replaceAll(g, i) })
	default:
		db := f.Cf.Groups[g].Members[i]
		f.KillDB(db)
		f.After(f.Between(50_000, 1_000_000), func() {
			f.LoseDB(db)
			f.After(300_000, func() { f.replaceAll(g, i+1) })
		})
	}
}

// randomBooking has one partner book a move for this very minute; the one who
// does not own it tries to confirm it, and then its owner does.
func (f *Fleet) randomBooking(g string) {
	owner, who := f.owner[g], f.Partners()[f.R.IntN(len(f.texts))]
	db := f.Cf.Groups[g].Members[f.R.IntN(3)]
	what := fmt.Sprintf("%s for %s", db, []string{bookings.Replacement, bookings.Switch}[f.R.IntN(2)])
	if f.Chance(0.2) {
		n := f.Nodes[f.R.IntN(len(f.Nodes))].boot
		owner, what = n.Partner, n.Name+" for stop"
	}
	c := f.Controls[f.R.IntN(3)]
	f.say("%s books %s", who, what)
	f.Type(c, who, "book "+what+" at "+time.UnixMicro(f.Now).UTC().Format("2006-01-02 15:04"), func(a control.Told) {
		if a.Code != result.OK || len(a.Bookings) != 1 {
			f.say("it is told %d %s", a.Code, a.Text)
			return
		}
		id := a.Bookings[0].Id
		confirm := func(p string, then func()) {
			f.Type(c, p, fmt.Sprintf("confirm booking %d", id), func(a control.Told) {
				if p != owner && a.Code == result.OK {
					f.Bad("%s confirmed a booking that belongs to %s", p, owner)
				}
				then()
			})
		}
		other := f.Partners()[0]
		if other == owner {
			other = f.Partners()[len(f.texts)-1]
		}
		confirm(other, func() { confirm(owner, func() {}) })
	})
}

// Operators race: two send changes based on the same revision, one of them
// perhaps with an error in it, from different control processes.
func (f *Fleet) Operators() {
	p := f.Partners()[f.R.IntN(len(f.texts))]
	base := f.Truth.accepted[p].Revision
	g := f.Plan.Groups[slices.IndexFunc(f.Plan.Groups, func(g string) bool { return f.owner[g] == p })]
	accepted := 0
	for i := range 2 {
		c := f.Controls[f.R.IntN(3)]
		if !c.up {
			continue
		}
		line := 300 + f.R.IntN(300)
		good := f.Chance(0.7)
		text := fmt.Sprintf(`{"routes":{"%s":{"line":%d}}}`, g, line)
		if !good {
			text = fmt.Sprintf(`{"routes":{"%s":{"line":0,"group":"nowhere"}}}`, g)
		}
		f.say("operator %d of %s sends a change on revision %d", i, p, base)
		var send func(on uint64)
		var heard func(r control.Return)
		send = func(on uint64) {
			f.Operate(c, func(id uint64) any {
				e := control.PutConfiguration{ID: id, Partner: p, Base: on, Patch: true, Text: []byte(text)}
				if f.Plan.Plant == UncheckedChange && !good {
					e.Text = []byte(`{"time_zone":"UTC"}`)
				}
				return e
			}, func(r control.Return) { heard(r) })
		}
		heard = func(r control.Return) {
			if r.Code == result.LosingRevision && f.Plan.Plant == RebasedChange {
				send(r.Revision)
				return
			}
			f.say("operator %d hears %d revision %d", i, r.Code, r.Revision)
			if r.Code != result.OK {
				return
			}
			if !good {
				f.Bad("an invalid configuration was accepted")
			}
			if accepted++; accepted > 1 || r.Revision != base+1 {
				f.Bad("a losing change on revision %d was accepted as revision %d", base, r.Revision)
			}
			f.Truth.configured(p, r)
		}
		send(base)
	}
}
