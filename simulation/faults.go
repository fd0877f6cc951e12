package simulation

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"stoneford/bookings"
	"stoneford/control"
	"stoneford/language"
	"stoneford/pool"
	"stoneford/querytable"
	"stoneford/result"
	"stoneford/schema"
)

// KillControl ends a control process.
func (f *Fleet) KillControl(i int) {
	c := f.Controls[i]
	if f.Plan.Plant == UnsyncedDisk {
		c.disk = c.disk[:max(1, len(c.disk)-12)]
	}
	if f.Chance(0.5) { // what was being synced may have reached the disk
		c.disk = append(c.disk, c.unsynced...)
	}
	c.up, c.unsynced = false, nil
}

// LoseDisk ends a control process and its disk with it.
func (f *Fleet) LoseDisk(i int) { f.KillControl(i); f.Controls[i].disk = nil }

// StartControl starts a control process again, if it is down, on what its disk
// holds.
func (f *Fleet) StartControl(i int) {
	if !f.Controls[i].up {
		f.startControl(f.Controls[i])
	}
}

// StopControl stops a control process as its daemon does on SIGTERM.
func (f *Fleet) StopControl(i int) {
	c := f.Controls[i]
	f.toControl(c, c.gen, control.Stop{})
	c.leaving = true
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
	grace := int64(3_500_000)
	if f.Plan.Plant == DroppedAtStop {
		grace = 1_000
	}
	for _, k := range slices.Sorted(maps.Keys(n.tables)) {
		f.stepTable(n, k, querytable.Stop{GraceUs: 3_000_000})
	}
	f.stepNode(n, pool.Stop{})
	g := n.gen
	f.After(grace, func() {
		if n.gen == g {
			if len(n.waiters) > 0 && !n.paused {
				f.Bad("%s stopped and dropped %d queries halfway", n.boot.Name, len(n.waiters))
			}
			n.up = false
		}
	})
}

// PauseNode freezes a pool node.
func (f *Fleet) PauseNode(i int) { f.Nodes[i].paused = true }

// ResumeNode lets a frozen pool node go on.
func (f *Fleet) ResumeNode(i int) { f.Nodes[i].resume(f) }

// PauseControl freezes a control process.
func (f *Fleet) PauseControl(i int) { f.Controls[i].paused = true }

// ResumeControl lets a frozen control process go on.
func (f *Fleet) ResumeControl(i int) { f.Controls[i].resume(f) }

// KillDB ends a database's process.
func (f *Fleet) KillDB(n string) {
	if f.DBs[n].up {
		f.DBs[n].crash()
	}
}

// StartDB starts a database on its disk.
func (f *Fleet) StartDB(n string) {
	if !f.DBs[n].up {
		f.DBs[n].start()
	}
}

// LoseDB starts a database on an empty disk.
func (f *Fleet) LoseDB(n string) { f.KillDB(n); f.DBs[n].fresh(); f.DBs[n].start() }

// PauseDB freezes a database.
func (f *Fleet) PauseDB(n string) { f.DBs[n].paused = true }

// ResumeDB lets a frozen database go on.
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
			f.DBs[n].Deaf(deaf)
		}
	}
}

// SlowControls has each step of every control process take so long.
func (f *Fleet) SlowControls(us int64) {
	for _, c := range f.Controls {
		c.slowUs = us
	}
}

// Well says whether a group could bear the loss of a copy.
func (f *Fleet) Well(group string) bool { return f.groupWell(group) }

// Chosen is the primary that a takeover has agreed on and not yet seen.
func (f *Fleet) Chosen(group string) string {
	for _, c := range f.Controls {
		if st := control.GroupState(c.core.Held(control.GroupPrefix + f.owner[group] + "/" + group)); st.Phase == schema.Phase_PROMOTING {
			return st.Primary
		}
	}
	return ""
}

// Still has a copy apply nothing, or again.
func (f *Fleet) Still(n string, still bool) { f.DBs[n].noApply = still }

// LoseReturns has so many runs be run and never returned.
func (d *DB) LoseReturns(n int) { d.lose = n }

// Deaf has one copy receive nothing, or again.
func (d *DB) Deaf(deaf bool) { d.noTake = deaf }

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
	f.Net.Drop, f.Net.Double, f.PlatformUs, f.PlatformFails = 0, 0, 5_000, 0
	for i, c := range f.Controls {
		if !c.up {
			f.StartControl(i)
		} else if c.paused {
			f.ResumeControl(i)
		}
		c.slowUs, c.syncUs = 0, 0
	}
	for i, n := range f.Nodes {
		if !n.up {
			f.StartNode(i)
		} else if n.paused {
			f.ResumeNode(i)
		}
		n.slowUs = 0
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

// Slow has each run of a database take so much longer.
func (f *Fleet) Slow(n string, us int64) { f.DBs[n].slow = us }

// Places are the databases, as the language names them.
func (f *Fleet) Places() []language.Place {
	var ps []language.Place
	for _, g := range f.Plan.Groups {
		p := f.Primary(g)
		for _, n := range f.Cf.Groups[g].Members {
			ps = append(ps, language.Place{Name: n, Partner: f.owner[g], Group: f.owner[g] + "/" + g, Zone: f.DBs[n].zone, Primary: p == f.DBs[n]})
		}
	}
	return ps
}
