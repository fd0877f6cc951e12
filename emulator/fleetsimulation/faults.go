package fleetsimulation

import (
	"slices"

	"stoneford/internal/sessiontable"
)

// Heal mends the network and brings every process back.
func (f *Fleet) Heal() {
	f.healCount++
	for _, k := range sortedPartitions(f.network.partitions) {
		for !f.network.reaches(k[0], k[1]) {
			f.network.repair(k[0], k[1])
		}
	}
	clear(f.network.lossy)
	f.duplicateProbability, f.loadFactor = 0, 1
	f.provider.rejectProbability, f.provider.lostReplyProbability, f.provider.responseUs = 0, 0, 5_000
	for _, c := range f.controls {
		if !c.up {
			f.startControl(c)
		}
		c.thaw()
		c.slowUs, c.syncUs = 0, 0
	}
	for _, n := range f.nodes {
		if !n.up {
			f.startNode(n)
		}
		n.thaw()
		n.slowUs = 0
	}
	for _, g := range f.groups {
		for _, d := range g.databases {
			d.receivesNothing, d.lagFactor, d.lostReplyProbability, d.failureProbability, d.extraServiceUs = false, 1, 0, 0, 0
			if !d.up && !d.ended {
				d.start()
			}
		}
	}
}

// fault is one kind of trouble. It ends by itself, at the latest when the fleet
// is healed.
type fault struct {
	name string
	do   func(f *Fleet) bool // false: it cannot come about now
}

// faults are all kinds. What has to be borne at once is one control process, and
// of each group one database; any number of pool nodes.
var faults = []fault{
	{"node killed", func(f *Fleet) bool {
		n := f.anyNode()
		if n == nil {
			return false
		}
		f.killNode(n, f.Chance(0.4))
		f.later(300_000, 4_000_000, func() { f.restartNode(n) })
		return true
	}},
	{"nodes killed at once", func(f *Fleet) bool {
		for _, n := range f.nodes {
			if n.up && f.Chance(0.4) {
				f.killNode(n, f.Chance(0.2))
				f.later(300_000, 2_000_000, func() { f.restartNode(n) })
			}
		}
		return true
	}},
	{"node frozen", func(f *Fleet) bool {
		n := f.anyNode()
		if n == nil {
			return false
		}
		n.freeze()
		f.later(300_000, 5_000_000, n.thaw)
		return true
	}},
	{"all nodes frozen for a moment", func(f *Fleet) bool {
		for _, n := range f.nodes {
			if n.up {
				n.freeze()
				f.later(200_000, 1_800_000, n.thaw)
			}
		}
		return true
	}},
	{"node slow", func(f *Fleet) bool {
		n := f.anyNode()
		if n == nil {
			return false
		}
		n.slowUs = f.Between(200, 4_000)
		f.later(1_000_000, 6_000_000, func() { n.slowUs = 0 })
		return true
	}},
	{"control killed", func(f *Fleet) bool {
		c := f.anyControl()
		if c == nil {
			return false
		}
		f.killControl(c, f.Chance(0.5))
		f.later(300_000, 5_000_000, func() { f.restartControl(c) })
		return true
	}},
	{"control's disk lost", func(f *Fleet) bool {
		c := f.anyControl()
		if c == nil {
			return false
		}
		f.killControl(c, true)
		c.disk = nil
		f.later(300_000, 4_000_000, func() { f.restartControl(c) })
		return true
	}},
	{"control frozen", func(f *Fleet) bool {
		c := f.anyControl()
		if c == nil {
			return false
		}
		c.freeze()
		f.later(300_000, 5_000_000, c.thaw)
		return true
	}},
	{"control slow", func(f *Fleet) bool {
		c := f.anyControl()
		if c == nil {
			return false
		}
		c.slowUs, c.syncUs = f.Between(0, 8_000), f.Between(0, 300_000)
		f.later(1_000_000, 5_000_000, func() { c.slowUs, c.syncUs = 0, 0 })
		return true
	}},
	{"machine frozen", func(f *Fleet) bool {
		c := f.anyControl()
		if c == nil {
			return false
		}
		us := f.Between(300_000, 5_000_000)
		c.freeze()
		f.After(us, c.thaw)
		for _, n := range f.nodes {
			if n.ip == c.ip && n.up {
				n.freeze()
				f.After(us, n.thaw)
			}
		}
		return true
	}},
	{"machine cut off", func(f *Fleet) bool {
		ip := f.nodes[f.Random.IntN(len(f.nodes))].ip
		if slices.ContainsFunc(f.controls, func(c *Control) bool { return c.ip == ip }) && f.anyControl() == nil {
			return false
		}
		f.isolate(ip, f.hosts(), f.Random.IntN(3), f.Between(300_000, 5_000_000))
		return true
	}},
	{"zones cut", func(f *Fleet) bool {
		if f.anyControl() == nil {
			return false
		}
		z := zoneNames[f.Random.IntN(3)]
		how, us := f.Random.IntN(3), f.Between(300_000, 4_000_000)
		var in, out []string
		for _, h := range f.hosts() {
			if f.network.zones[h] == z {
				in = append(in, h)
			} else {
				out = append(out, h)
			}
		}
		for _, h := range in {
			f.isolate(h, out, how, us)
		}
		return true
	}},
	{"core cut", func(f *Fleet) bool {
		if f.anyControl() == nil {
			return false
		}
		how, us := f.Random.IntN(3), f.Between(300_000, 4_000_000)
		if f.Chance(0.3) { // each from each
			for _, c := range f.controls {
				f.isolate(c.ip, f.controlHosts(), how, us)
			}
			return true
		}
		f.isolate(f.controls[f.Random.IntN(len(f.controls))].ip, f.controlHosts(), how, us)
		return true
	}},
	{"primary cut from followers", func(f *Fleet) bool {
		return f.partitionPrimary(func(g *group) []string {
			var hs []string
			for _, d := range g.databases {
				if d != g.primary && f.Chance(0.7) {
					hs = append(hs, d.ip)
				}
			}
			return hs
		})
	}},
	{"primary cut from the core", func(f *Fleet) bool {
		return f.partitionPrimary(func(*group) []string { return f.controlHosts() })
	}},
	{"primary cut from some nodes", func(f *Fleet) bool {
		return f.partitionPrimary(func(*group) []string {
			var hs []string
			for _, n := range f.nodes {
				if f.Chance(0.5) {
					hs = append(hs, n.ip)
				}
			}
			return hs
		})
	}},
	{"primary cut from all but one node", func(f *Fleet) bool {
		return f.partitionPrimary(func(*group) []string {
			keep := f.nodes[f.Random.IntN(len(f.nodes))].ip
			return slices.DeleteFunc(f.hosts(), func(h string) bool { return h == keep })
		})
	}},
	{"some nodes cut from the core, the others and the core from a primary", func(f *Fleet) bool {
		g := f.anyGroup()
		if g == nil || f.anyControl() == nil {
			return false
		}
		us := f.Between(300_000, 5_000_000)
		f.isolate(g.primary.ip, f.controlHosts(), 0, us)
		for i, n := range f.nodes {
			if i < 3 || f.Chance(0.5) { // those beside a control process stay with it
				f.isolate(g.primary.ip, []string{n.ip}, 0, us)
			} else {
				f.isolate(n.ip, f.controlHosts(), 0, us)
			}
		}
		return true
	}},
	{"links lossy", func(f *Fleet) bool {
		z := zoneNames[f.Random.IntN(3)]
		f.network.lossy[z] = 0.01 + f.Random.Float64()*0.1
		f.later(1_000_000, 5_000_000, func() { delete(f.network.lossy, z) })
		return true
	}},
	{"envelopes late and twice", func(f *Fleet) bool {
		f.duplicateProbability = 0.1
		f.later(1_000_000, 5_000_000, func() { f.duplicateProbability = 0 })
		return true
	}},
	{"primary crashes", func(f *Fleet) bool {
		g := f.anyGroup()
		if g == nil {
			return false
		}
		d := g.primary
		d.crash(f.Chance(0.5))
		f.later(300_000, 7_000_000, func() { f.restartDatabase(d) })
		return true
	}},
	{"primary crashes and is back at once", func(f *Fleet) bool {
		g := f.anyGroup()
		if g == nil {
			return false
		}
		d := g.primary
		d.crash(f.Chance(0.3))
		f.later(30_000, 1_200_000, func() { f.restartDatabase(d) })
		return true
	}},
	{"primary crashes and is back under another name", func(f *Fleet) bool {
		g := f.anyGroup()
		if g == nil {
			return false
		}
		d, same := g.primary, f.Chance(0.5)
		d.crash(f.Chance(0.3))
		f.later(100_000, 5_000_000, func() { f.restartUnderNewIdentity(d, same) })
		return true
	}},
	{"primary gone for good", func(f *Fleet) bool {
		g := f.anyGroup()
		if g == nil {
			return false
		}
		d := g.primary
		d.crash(f.Chance(0.5))
		f.later(1_000_000, 6_000_000, func() { f.replaceLost(d) })
		return true
	}},
	{"release of the primary", func(f *Fleet) bool {
		g := f.anyGroup()
		if g == nil {
			return false
		}
		f.release(g, []*Database{g.primary})
		return true
	}},
	{"release of all", func(f *Fleet) bool {
		g := f.anyGroup()
		if g == nil {
			return false
		}
		ds := slices.Clone(g.databases)
		f.Random.Shuffle(len(ds), func(i, j int) { ds[i], ds[j] = ds[j], ds[i] })
		f.release(g, ds)
		return true
	}},
	{"follower crashes", func(f *Fleet) bool {
		g := f.anyGroup()
		if g == nil {
			return false
		}
		d := f.anyFollower(g)
		d.crash(f.Chance(0.5))
		switch f.Random.IntN(4) {
		case 0:
			f.later(100_000, 5_000_000, func() { f.restartUnderNewIdentity(d, f.Chance(0.5)) })
		case 1:
			f.later(1_000_000, 6_000_000, func() { f.replaceLost(d) })
		default:
			f.later(100_000, 5_000_000, func() { f.restartDatabase(d) })
		}
		return true
	}},
	{"a follower deaf and the primary crashes", func(f *Fleet) bool {
		g := f.anyGroup()
		if g == nil {
			return false
		}
		d, p := f.anyFollower(g), g.primary
		d.receivesNothing = true
		f.later(100_000, 2_000_000, func() { p.crash(f.Chance(0.5)) })
		f.later(2_500_000, 6_000_000, func() { d.receivesNothing = false })
		f.later(2_500_000, 7_000_000, func() { f.restartDatabase(p) })
		return true
	}},
	{"followers restart while the primary is lost", func(f *Fleet) bool {
		g := f.anyGroup()
		if g == nil {
			return false
		}
		p := g.primary
		if f.Chance(0.5) {
			p.crash(f.Chance(0.5))
			f.later(2_000_000, 6_000_000, func() { f.restartDatabase(p) })
		} else {
			f.isolate(p.ip, f.controlHosts(), 0, f.Between(2_000_000, 5_000_000))
			for _, n := range f.nodes {
				if f.Chance(0.7) {
					f.isolate(p.ip, []string{n.ip}, 0, f.Between(2_000_000, 5_000_000))
				}
			}
		}
		d := f.anyFollower(g)
		f.later(200_000, 1_800_000, func() {
			d.crash(false)
			f.later(20_000, 300_000, func() { f.restartDatabase(d) })
		})
		return true
	}},
	{"a control process lost while a primary is changed", func(f *Fleet) bool {
		g, c := f.anyGroup(), f.anyControl()
		if g == nil || c == nil {
			return false
		}
		d := g.primary
		d.crash(f.Chance(0.5))
		f.later(2_000_000, 7_000_000, func() { f.restartDatabase(d) })
		f.later(100_000, 2_000_000, func() {
			f.killControl(c, f.Chance(0.5))
			if f.Chance(0.3) {
				c.disk = nil
			}
			f.later(100_000, 1_000_000, func() { f.restartControl(c) })
		})
		return true
	}},
	{"answers lost", func(f *Fleet) bool {
		g := f.groups[f.Random.IntN(len(f.groups))]
		d := g.primary
		if f.Chance(0.4) {
			d = g.databases[f.Random.IntN(len(g.databases))]
		}
		d.lostReplyProbability, d.lostReplyKind = 0.02+f.Random.Float64()*0.2, f.Random.IntN(2)
		f.later(1_000_000, 5_000_000, func() { d.lostReplyProbability = 0 })
		return true
	}},
	{"statements fail", func(f *Fleet) bool {
		g := f.groups[f.Random.IntN(len(f.groups))]
		d := g.databases[f.Random.IntN(len(g.databases))]
		d.failureProbability = 0.3
		f.later(1_000_000, 4_000_000, func() { d.failureProbability = 0 })
		return true
	}},
	{"burst", func(f *Fleet) bool {
		f.loadFactor = 2 + 3*f.Random.Float64()
		f.later(1_000_000, 4_000_000, func() { f.loadFactor = 1 })
		return true
	}},
	{"database slow", func(f *Fleet) bool {
		g := f.groups[f.Random.IntN(len(f.groups))]
		d := g.databases[f.Random.IntN(len(g.databases))]
		d.extraServiceUs = f.Between(5_000, 200_000)
		f.later(1_000_000, 4_000_000, func() { d.extraServiceUs = 0 })
		return true
	}},
	{"followers lag", func(f *Fleet) bool {
		g := f.groups[f.Random.IntN(len(f.groups))]
		for _, d := range g.databases {
			if f.Chance(0.6) {
				d.lagFactor = f.Random.Float64() * 120
				f.later(2_000_000, 6_000_000, func() { d.lagFactor = 1 })
			}
		}
		return true
	}},
	{"connections reset", func(f *Fleet) bool {
		p := 0.2 + f.Random.Float64()*0.8
		for _, s := range f.streams {
			if s.atNode && s.up && f.Chance(p) {
				if s.connection != nil && s.database.up && s.database.generation == s.databaseGeneration {
					s.connection.drop()
				}
				s.lost(true, "reset")
			}
		}
		for _, n := range f.nodes {
			for _, id := range sortedKeys(n.sessions) {
				if s := n.sessions[id]; f.Chance(p) {
					n.enter(s.source(), func() {
						if n.sessions[id] == s {
							delete(n.sessions, id)
							n.step(sessiontable.SessionClosed{Session: id})
						}
					})
					f.After(toCallerDelayUs, s.connectionBroke)
				}
			}
		}
		return true
	}},
	{"nodes stopped in turn", func(f *Fleet) bool {
		at := int64(0)
		for _, n := range f.nodes {
			if !f.Chance(0.6) {
				continue
			}
			f.After(at, func() {
				f.stopNode(n)
				gen := n.generation
				var back func()
				back = func() {
					if !n.up && n.generation == gen {
						f.restartNode(n)
					} else if n.generation == gen {
						f.After(300_000, back)
					}
				}
				f.After(500_000, back)
			})
			at += f.Between(300_000, 2_000_000)
		}
		return true
	}},
	{"controls stopped in turn", func(f *Fleet) bool {
		if f.anyControl() == nil {
			return false
		}
		at := int64(0)
		for _, c := range f.controls {
			f.After(at, func() {
				f.stopControl(c)
				f.After(700_000, func() { f.restartControl(c) })
			})
			at += f.Between(2_000_000, 5_000_000)
		}
		return true
	}},
	{"operators", func(f *Fleet) bool { f.operators.act(); return true }},
	{"operators, often", func(f *Fleet) bool {
		for i := range int64(6) {
			f.After(i*300_000, f.operators.act)
		}
		return true
	}},
	{"platform slow", func(f *Fleet) bool {
		f.provider.responseUs = f.Between(100_000, 2_500_000)
		f.later(1_000_000, 6_000_000, func() { f.provider.responseUs = 5_000 })
		return true
	}},
	{"platform bounces", func(f *Fleet) bool {
		f.provider.rejectProbability, f.provider.lostReplyProbability = f.Random.Float64(), f.Random.Float64()*0.5
		f.later(1_000_000, 5_000_000, func() { f.provider.rejectProbability, f.provider.lostReplyProbability = 0, 0 })
		return true
	}},
	{"all processes killed", func(f *Fleet) bool {
		if f.anyControl() == nil || f.faultCounts["all processes killed"] > 0 {
			return false
		}
		unresponsive := f.Chance(0.5)
		for _, c := range f.controls {
			f.killControl(c, unresponsive)
			f.later(500_000, 1_500_000, func() { f.restartControl(c) })
		}
		for _, n := range f.nodes {
			f.killNode(n, unresponsive)
			f.later(500_000, 1_500_000, func() { f.restartNode(n) })
		}
		return true
	}},
	{"all controls killed", func(f *Fleet) bool {
		if f.anyControl() == nil {
			return false
		}
		for _, c := range f.controls {
			f.killControl(c, f.Chance(0.5))
			f.later(300_000, 2_000_000, func() { f.restartControl(c) })
		}
		return true
	}},
}

func (f *Fleet) later(lo, hi int64, do func()) { f.After(f.Between(lo, hi), do) }

func (f *Fleet) anyNode() *Node {
	n := f.nodes[f.Random.IntN(len(f.nodes))]
	if !n.up || n.frozen || n.draining || n.slowUs > 0 {
		return nil
	}
	return n
}

func (f *Fleet) restartNode(n *Node) {
	if !n.up {
		f.startNode(n)
	}
}

// anyControl is a control process that may be lost: all are well, and have been
// for a while.
func (f *Fleet) anyControl() *Control {
	for _, c := range f.controls {
		if !c.healthy() || f.Now-c.lastFaultUs < contactTimeoutUs && f.Now > 6_000_000 {
			return nil
		}
	}
	return f.controls[f.Random.IntN(len(f.controls))]
}

func (f *Fleet) restartControl(c *Control) {
	if !c.up {
		f.startControl(c)
	}
}

// anyGroup is one that may lose a database.
func (f *Fleet) anyGroup() *group {
	g := f.groups[f.Random.IntN(len(f.groups))]
	p := g.primary
	if len(g.databases) < 3 || p == nil || !p.up || p.draining {
		return nil
	}
	for _, d := range g.databases {
		if !d.up || d.receivesNothing || d.draining || d.frozenBy > 0 || d.term != p.term || d != p && (d.primary || len(p.log)-len(d.log) > 30) || f.network.faulty(d.ip) {
			return nil
		}
	}
	return g
}

func (f *Fleet) anyFollower(g *group) *Database {
	for {
		if d := g.databases[f.Random.IntN(len(g.databases))]; d != g.primary {
			return d
		}
	}
}

func (f *Fleet) restartDatabase(d *Database) {
	if !d.up && !d.ended {
		d.start()
		f.logf("%s is back at %v", d.id, d.positionAt(len(d.log)))
	}
}

// restartUnderNewIdentity has a database come back with its log under another identity, at its
// address or another.
func (f *Fleet) restartUnderNewIdentity(d *Database, same bool) {
	if d.up || d.ended {
		return
	}
	n := f.addDatabase(d.group, d.zone)
	if same {
		n.address, n.ip = d.address, d.ip
	}
	n.log, n.term, n.primary = d.log, d.term, d.primary && d.group.newestTerm == d.term
	d.ended, d.unresponsive = true, false
	if f.databaseAt[d.address] == d {
		delete(f.databaseAt, d.address)
	}
	d.group.databases = slices.DeleteFunc(d.group.databases, func(o *Database) bool { return o == d })
	if n.primary {
		d.group.primary = n
	}
	f.logf("%s is back as %s at %v", d.id, n.id, n.positionAt(len(n.log)))
	n.start()
}

// replaceLost has an empty database come for one that is gone for good.
func (f *Fleet) replaceLost(d *Database) {
	if d.up || d.ended {
		return
	}
	f.remove(d)
	n := f.addDatabase(d.group, d.zone)
	n.start()
}

// release replaces databases one after the other.
func (f *Fleet) release(g *group, ds []*Database) {
	f.releasesRunning++
	f.releaseNext(g, ds)
}

func (f *Fleet) releaseNext(g *group, ds []*Database) {
	if len(ds) == 0 {
		f.releasesRunning--
		return
	}
	d := ds[0]
	next := func() { f.later(300_000, 1_500_000, func() { f.releaseNext(g, ds[1:]) }) }
	if !d.up || d.ended || d.draining {
		next()
		return
	}
	atIts := f.Chance(0.4) // the new one takes its address and log
	var n *Database
	if !atIts {
		n = f.addDatabase(g, d.zone)
		n.start()
	}
	f.later(1_000_000, 2_500_000, func() {
		if !d.up {
			next()
			return
		}
		f.logf("%s leaves", d.id)
		d.draining = true
		d.announce()
		began := f.Now
		var poll func()
		poll = func() {
			switch {
			case d.ended || !d.up:
				next()
			case d.drainAcknowledgedUs > 0 && f.Now-d.drainAcknowledgedUs > drainTimeoutUs+400_000 || d.drainAcknowledgedUs == 0 && f.Now-began > 6_000_000:
				d.endForGood()
				f.After(900_000, func() {
					if atIts && d.ended {
						o := f.addDatabase(g, d.zone)
						o.address, o.ip = d.address, d.ip
						o.log, o.term = d.log, d.term
						o.primary = d.primary && g.newestTerm == d.term
						if o.primary {
							g.primary = o
						}
						o.start()
					}
					next()
				})
			default:
				f.After(100_000, poll)
			}
		}
		f.After(100_000, poll)
	})
}

func (f *Fleet) controlHosts() []string {
	var hs []string
	for _, c := range f.controls {
		hs = append(hs, c.ip)
	}
	return hs
}

// hosts are all but callers.
func (f *Fleet) hosts() []string {
	var hs []string
	for _, n := range f.nodes {
		hs = append(hs, n.ip)
	}
	for _, c := range f.controls {
		if !slices.Contains(hs, c.ip) {
			hs = append(hs, c.ip)
		}
	}
	for _, g := range f.groups {
		for _, d := range g.databases {
			if !slices.Contains(hs, d.ip) {
				hs = append(hs, d.ip)
			}
		}
	}
	return append(hs, providerHost, "operators")
}

// isolate cuts a host off from others for a while: 0 both ways, 1 from it, 2 to
// it.
func (f *Fleet) isolate(host string, others []string, how int, us int64) {
	others = slices.Clone(others)
	for _, o := range others {
		if how != 2 {
			f.network.partition(host, o)
		}
		if how != 1 {
			f.network.partition(o, host)
		}
	}
	healed := f.healCount
	f.After(us, func() {
		if f.healCount != healed {
			return
		}
		for _, o := range others {
			if how != 2 {
				f.network.repair(host, o)
			}
			if how != 1 {
				f.network.repair(o, host)
			}
		}
	})
}

func (f *Fleet) partitionPrimary(from func(g *group) []string) bool {
	g := f.anyGroup()
	if g == nil {
		return false
	}
	f.isolate(g.primary.ip, from(g), f.Random.IntN(3), f.Between(300_000, 5_000_000))
	return true
}

// injectFault has one kind of fault come about, if it can.
func (f *Fleet) injectFault(k fault) bool {
	at := len(f.Log)
	f.logf("FAULT %s", k.name)
	if !k.do(f) {
		f.Log = f.Log[:min(at, len(f.Log))]
		return false
	}
	f.faultCounts[k.name]++
	return true
}

// RandomFaults brings faults about until a time, one every mean or so. Of names
// only those are brought, if there are any.
func (f *Fleet) RandomFaults(until, mean int64, names ...string) {
	ks := faults
	if len(names) > 0 {
		ks = slices.DeleteFunc(slices.Clone(faults), func(k fault) bool { return !slices.Contains(names, k.name) })
		if len(ks) != len(names) {
			panic("no such fault")
		}
	}
	var next func()
	next = func() {
		if f.Now >= until {
			return
		}
		for range 5 {
			if f.injectFault(ks[f.Random.IntN(len(ks))]) {
				break
			}
		}
		f.later(mean/2, mean*3/2, next)
	}
	f.later(0, mean, next)
}
