package simulation

import (
	"fmt"
	"slices"
	"time"

	"stoneford/internal/control"
	"stoneford/maintenance"
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

// groupHasRedundancy: all three copies are up and the agreed members, so that one may
// be lost.
func (f *Fleet) groupHasRedundancy(g string) bool {
	p := f.Primary(g)
	if p == nil {
		return false
	}
	ids := map[string]string{}
	for _, c := range f.Controls {
		if !c.up || c.paused {
			continue
		}
		st := control.GroupState(c.core.Committed(control.GroupKeyPrefix + f.owner[g] + "/" + g))
		if st.Epoch == p.state.Epoch {
			for _, m := range st.Members {
				ids[m.Database] = m.Identity
			}
		}
	}
	for _, n := range f.Configuration.Groups[g].Members {
		d := f.Databases[n]
		if !d.responds() || d.receivesNothing || d.state.Epoch != p.state.Epoch || d.state.LogEpoch() != p.state.Epoch || ids[d.name] != d.state.Identity || p.state.Received()-d.state.Received() > 50 {
			return false
		}
	}
	return true
}

func (f *Fleet) controlsHealthy() bool {
	for _, c := range f.Controls {
		if !c.up || c.paused || c.draining || !c.core.Voting() {
			return false
		}
	}
	return true
}

func (f *Fleet) randomFault() {
	later := func(lo, hi int64, do func()) { f.After(f.Between(lo, hi), do) }
	g := f.Plan.Groups[f.Random.IntN(len(f.Plan.Groups))]
	db := f.Configuration.Groups[g].Members[f.Random.IntN(3)]
	if p := f.Primary(g); p != nil && f.Chance(0.5) {
		db = p.name
	}
	d := f.Databases[db]
	ni, ci := f.Random.IntN(len(f.Nodes)), f.Random.IntN(3)
	n := f.Nodes[ni]
	k := f.Random.IntN(faultKinds)
	if k < 9 && !f.groupHasRedundancy(g) {
		return
	}
	if k >= 9 && k < 12 && !f.controlsHealthy() {
		return
	}
	if k >= 12 && k < 16 && (!n.up || n.paused || n.draining) {
		return
	}
	switch k {
	case 0:
		f.logf("fault: kill %s", db)
		f.KillDatabase(db)
		later(500_000, 6_000_000, func() { f.StartDatabase(db) })
	case 1:
		f.logf("fault: lose %s for good", db)
		f.KillDatabase(db)
		later(500_000, 6_000_000, func() { f.LoseDatabase(db) })
	case 2:
		f.logf("fault: %s goes dark", db)
		d.unresponsive = true
		later(500_000, 6_000_000, func() { d.unresponsive = false })
	case 3:
		f.logf("fault: freeze %s", db)
		f.PauseDatabase(db)
		later(300_000, 6_000_000, func() { f.ResumeDatabase(db) })
	case 4:
		f.logf("fault: isolate %s", db)
		f.Isolate(d.address, f.Chance(0.5))
		later(500_000, 5_000_000, f.Network.Repair)
	case 5:
		f.logf("fault: %s loses returns", db)
		d.lostResponses = 1 + f.Random.IntN(5)
	case 6:
		f.logf("fault: %s is slow", db)
		d.extraServiceUs = f.Between(5_000, 400_000)
		later(500_000, 4_000_000, func() { d.extraServiceUs = 0 })
	case 7:
		// Replicas stop receiving just as the primary goes dark.
		f.logf("fault: %s goes dark and a replica stands still", db)
		for _, m := range f.Configuration.Groups[g].Members {
			if o := f.Databases[m]; o != d {
				o.receivesNothing = true
				later(100_000, 3_000_000, func() { o.receivesNothing = false })
				break
			}
		}
		later(0, 1_000_000, func() { d.unresponsive = true })
		later(2_000_000, 6_000_000, func() { d.unresponsive = false })
	case 8:
		f.logf("fault: %s leaves for a while", db)
		d.state.Draining = true
		later(2_000_000, 10_000_000, func() { d.state.Draining = false })
	case 9:
		if f.Chance(0.5) {
			f.logf("fault: stop %s", f.Controls[ci].boot.Name)
			f.StopControl(ci)
		} else {
			f.logf("fault: kill %s", f.Controls[ci].boot.Name)
			f.KillControl(ci)
		}
		later(1_100_000, 6_000_000, func() { f.StartControl(ci) })
	case 10:
		f.logf("fault: lose the disk of %s", f.Controls[ci].boot.Name)
		f.LoseDisk(ci)
		later(300_000, 6_000_000, func() { f.StartControl(ci) })
	case 11:
		f.logf("fault: freeze %s", f.Controls[ci].boot.Name)
		f.PauseControl(ci)
		later(300_000, 8_000_000, func() { f.ResumeControl(ci) })
	case 12:
		f.logf("fault: kill %s", n.boot.Name)
		f.KillNode(ni)
		later(300_000, 6_000_000, func() {
			if !n.up {
				f.StartNode(ni)
			}
		})
	case 13, 14:
		f.logf("fault: freeze %s", n.boot.Name)
		f.PauseNode(ni)
		later(300_000, 8_000_000, func() { f.ResumeNode(ni) })
	case 15:
		f.logf("fault: stop %s", n.boot.Name)
		f.StopNode(ni)
		later(4_000_000, 9_000_000, func() {
			if !n.up {
				f.StartNode(ni)
			}
		})
	case 16:
		a := n.boot.Listen
		if f.controlsHealthy() && f.Chance(0.5) {
			a = f.Controls[ci].boot.Listen
		}
		f.logf("fault: isolate %s", a)
		f.Isolate(a, f.Chance(0.5))
		later(300_000, 6_000_000, f.Network.Repair)
	case 17:
		f.logf("fault: the network drops and doubles")
		f.Network.LossShare, f.Network.DuplicateShare = 0.1, 0.1
		later(500_000, 5_000_000, func() { f.Network.LossShare, f.Network.DuplicateShare = 0, 0 })
	case 18, 19:
		f.Operators()
	case 20:
		f.logf("fault: a crowd")
		f.Crowd(4, f.Between(2_000_000, 5_000_000))
	case 21, 22:
		z, share := "", 0.4
		if f.Chance(0.5) {
			z, share = f.Plan.Zones[f.Random.IntN(len(f.Plan.Zones))], 1
		}
		f.logf("fault: callers move to other zones (%s)", z)
		f.MoveCallers(z, share)
	case 23:
		f.logf("fault: %s has a slow machine", n.boot.Name)
		n.slowUs = f.Between(5_000, 80_000)
		later(1_000_000, 6_000_000, func() { n.slowUs = 0 })
	case 24:
		c := f.Controls[ci]
		if !f.controlsHealthy() {
			return
		}
		f.logf("fault: %s has a slow machine and disk", c.boot.Name)
		c.slowUs, c.syncUs = f.Between(0, 40_000), f.Between(5_000, 200_000)
		later(1_000_000, 6_000_000, func() { c.slowUs, c.syncUs = 0, 0 })
	case 25, 26:
		f.machineLost(ci)
	case 27:
		if len(f.Nodes) < f.Plan.Machines+3 {
			f.logf("fault: a machine joins")
			f.Join()
		}
	case 28:
		if !f.rolling {
			f.logf("fault: every node is restarted in turn")
			f.rolling = true
			f.rollNodes(0)
		}
	case 29:
		if !f.rolling {
			f.logf("fault: every control process is restarted in turn")
			f.rolling = true
			f.rollControls(0)
		}
	case 30:
		f.logf("fault: %s is replaced copy by copy", g)
		f.replaceAll(g, 0)
	case 31:
		f.logf("fault: every primary goes at once")
		for _, g := range f.Plan.Groups {
			if !f.groupHasRedundancy(g) {
				continue
			}
			p := f.Primary(g)
			if f.Chance(0.5) {
				f.KillDatabase(p.name)
				later(2_000_000, 6_000_000, func() { f.StartDatabase(p.name) })
			} else {
				p.unresponsive = true
				later(2_000_000, 6_000_000, func() { p.unresponsive = false })
			}
		}
	case 32:
		f.logf("fault: the platform is slow and does not do all")
		f.MaxPlatformUs, f.PlatformFailureShare = f.Between(100_000, 3_000_000), 0.5
		later(2_000_000, 6_000_000, func() { f.MaxPlatformUs, f.PlatformFailureShare = 5_000, 0 })
	case 33, 34, 35:
		f.randomBooking(g)
	}
}

const faultKinds = 36

// machineLost ends a disk machine whole, its control process and its pool node,
// with or without its disk; often one database of each group goes with it.
func (f *Fleet) machineLost(i int) {
	if !f.controlsHealthy() {
		return
	}
	empty, dbs := f.Chance(0.5), f.Chance(0.5)
	f.logf("fault: machine %d is lost, disk lost: %v, databases: %v", i+1, empty, dbs)
	later := func(do func()) { f.After(f.Between(500_000, 6_000_000), do) }
	f.KillControl(i)
	if empty {
		f.LoseDisk(i)
	}
	later(func() { f.StartControl(i) })
	if n := f.Nodes[i]; n.up && !n.paused && !n.draining {
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
		d := f.Databases[f.Configuration.Groups[g].Members[f.Random.IntN(3)]]
		if !f.groupHasRedundancy(g) {
			continue
		}
		f.KillDatabase(d.name)
		later(func() {
			if empty {
				f.LoseDatabase(d.name)
			} else {
				f.StartDatabase(d.name)
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
	if !n.up || n.paused || n.draining {
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
	if !f.controlsHealthy() {
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
	case !f.groupHasRedundancy(g):
		f.After(200_000, func() { f.replaceAll(g, i) })
	default:
		db := f.Configuration.Groups[g].Members[i]
		f.KillDatabase(db)
		f.After(f.Between(50_000, 1_000_000), func() {
			f.LoseDatabase(db)
			f.After(300_000, func() { f.replaceAll(g, i+1) })
		})
	}
}

// randomBooking has one partner book a move for this very minute; the one who
// does not own it tries to confirm it, and then its owner does.
func (f *Fleet) randomBooking(g string) {
	owner, who := f.owner[g], f.Partners()[f.Random.IntN(len(f.texts))]
	db := f.Configuration.Groups[g].Members[f.Random.IntN(3)]
	what := fmt.Sprintf("%s for %s", db, []string{maintenance.Replacement, maintenance.Switch}[f.Random.IntN(2)])
	if f.Chance(0.2) {
		n := f.Nodes[f.Random.IntN(len(f.Nodes))].boot
		owner, what = n.Partner, n.Name+" for stop"
	}
	c := f.Controls[f.Random.IntN(3)]
	f.logf("%s books %s", who, what)
	f.RunOperatorCommand(c, who, "book "+what+" at "+time.UnixMicro(f.Now).UTC().Format("2006-01-02 15:04"), func(a control.CommandResult) {
		if a.Code != result.OK || len(a.Bookings) != 1 {
			f.logf("it is told %d %s", a.Code, a.Text)
			return
		}
		id := a.Bookings[0].Id
		confirm := func(p string, then func()) {
			f.RunOperatorCommand(c, p, fmt.Sprintf("confirm booking %d", id), func(a control.CommandResult) {
				if p != owner && a.Code == result.OK {
					f.Violation("%s confirmed a booking that belongs to %s", p, owner)
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
	p := f.Partners()[f.Random.IntN(len(f.texts))]
	base := f.Oracle.accepted[p].Revision
	g := f.Plan.Groups[slices.IndexFunc(f.Plan.Groups, func(g string) bool { return f.owner[g] == p })]
	accepted := 0
	for i := range 2 {
		c := f.Controls[f.Random.IntN(3)]
		if !c.up {
			continue
		}
		line := 300 + f.Random.IntN(300)
		good := f.Chance(0.7)
		text := fmt.Sprintf(`{"routes":{"%s":{"line":%d}}}`, g, line)
		if !good {
			text = fmt.Sprintf(`{"routes":{"%s":{"line":0,"group":"nowhere"}}}`, g)
		}
		f.logf("operator %d of %s sends a change on revision %d", i, p, base)
		var send func(on uint64)
		var heard func(r control.ConfigurationResult)
		send = func(on uint64) {
			f.Operate(c, func(id uint64) control.Event {
				e := control.PutConfiguration{ID: id, Partner: p, Base: on, Patch: true, Text: []byte(text)}
				if f.Plan.Mutation == UncheckedChange && !good {
					e.Text = []byte(`{"time_zone":"UTC"}`)
				}
				return e
			}, func(r control.ConfigurationResult) { heard(r) })
		}
		heard = func(r control.ConfigurationResult) {
			if r.Code == result.LosingRevision && f.Plan.Mutation == RebasedChange {
				send(r.Revision)
				return
			}
			f.logf("operator %d hears %d revision %d", i, r.Code, r.Revision)
			if r.Code != result.OK {
				return
			}
			if !good {
				f.Violation("an invalid configuration was accepted")
			}
			if accepted++; accepted > 1 || r.Revision != base+1 {
				f.Violation("a losing change on revision %d was accepted as revision %d", base, r.Revision)
			}
			f.Oracle.configured(p, r)
		}
		send(base)
	}
}
