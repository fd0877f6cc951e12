package simulation

import (
	"maps"
	"slices"

	"stoneford/control"
	"stoneford/language"
	"stoneford/pool"
	"stoneford/querytable"
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

// LoseLeases has no permit reach any node from now on: a plant.
func (f *Fleet) LoseLeases() {
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
