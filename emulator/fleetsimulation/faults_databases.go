package fleetsimulation

import "slices"

// crashPrimary crashes a primary and restarts it later.
func (f *Fleet) crashPrimary() bool {
	g := f.anyGroup()
	if g == nil {
		return false
	}
	d := g.primary
	d.crash(f.Chance(0.5))
	f.afterRandom(300_000, 7_000_000, func() { f.restartDatabase(d) })
	return true
}

// crashPrimaryBriefly crashes a primary and restarts it before or shortly after it is
// considered lost.
func (f *Fleet) crashPrimaryBriefly() bool {
	g := f.anyGroup()
	if g == nil {
		return false
	}
	d := g.primary
	d.crash(f.Chance(0.3))
	f.afterRandom(30_000, 1_200_000, func() { f.restartDatabase(d) })
	return true
}

// restartPrimaryUnderNewIdentity crashes a primary and later restarts it with its log and
// a new identity.
func (f *Fleet) restartPrimaryUnderNewIdentity() bool {
	g := f.anyGroup()
	if g == nil {
		return false
	}
	d, same := g.primary, f.Chance(0.5)
	d.crash(f.Chance(0.3))
	f.afterRandom(100_000, 5_000_000, func() { f.restartUnderNewIdentity(d, same) })
	return true
}

// losePrimary crashes a primary permanently and later adds an empty database in its
// place.
func (f *Fleet) losePrimary() bool {
	g := f.anyGroup()
	if g == nil {
		return false
	}
	d := g.primary
	d.crash(f.Chance(0.5))
	f.afterRandom(1_000_000, 6_000_000, func() { f.replaceLost(d) })
	return true
}

// replacePrimary replaces a primary as the platform does for planned maintenance.
func (f *Fleet) replacePrimary() bool {
	g := f.anyGroup()
	if g == nil {
		return false
	}
	f.replaceDatabases(g, []*Database{g.primary})
	return true
}

// replaceAllDatabases replaces all databases of a group, one at a time.
func (f *Fleet) replaceAllDatabases() bool {
	g := f.anyGroup()
	if g == nil {
		return false
	}
	ds := slices.Clone(g.databases)
	f.Random.Shuffle(len(ds), func(i, j int) { ds[i], ds[j] = ds[j], ds[i] })
	f.replaceDatabases(g, ds)
	return true
}

// crashReplica crashes a replica, and later restarts it, restarts it under a new
// identity, or replaces it by an empty database.
func (f *Fleet) crashReplica() bool {
	g := f.anyGroup()
	if g == nil {
		return false
	}
	d := f.anyReplica(g)
	d.crash(f.Chance(0.5))
	switch f.Random.IntN(4) {
	case 0:
		f.afterRandom(100_000, 5_000_000, func() { f.restartUnderNewIdentity(d, f.Chance(0.5)) })
	case 1:
		f.afterRandom(1_000_000, 6_000_000, func() { f.replaceLost(d) })
	default:
		f.afterRandom(100_000, 5_000_000, func() { f.restartDatabase(d) })
	}
	return true
}

// crashPrimaryBesideLaggingReplica crashes a primary while one of its replicas receives
// nothing.
func (f *Fleet) crashPrimaryBesideLaggingReplica() bool {
	g := f.anyGroup()
	if g == nil {
		return false
	}
	d, p := f.anyReplica(g), g.primary
	d.receivesNothing = true
	f.afterRandom(100_000, 2_000_000, func() { p.crash(f.Chance(0.5)) })
	f.afterRandom(2_500_000, 6_000_000, func() { d.receivesNothing = false })
	f.afterRandom(2_500_000, 7_000_000, func() { f.restartDatabase(p) })
	return true
}

// restartReplicaDuringFailover restarts a replica while its primary is down or
// partitioned.
func (f *Fleet) restartReplicaDuringFailover() bool {
	g := f.anyGroup()
	if g == nil {
		return false
	}
	p := g.primary
	if f.Chance(0.5) {
		p.crash(f.Chance(0.5))
		f.afterRandom(2_000_000, 6_000_000, func() { f.restartDatabase(p) })
	} else {
		f.isolate(p.ip, f.controlHosts(), bothDirections, f.Between(2_000_000, 5_000_000))
		for _, n := range f.nodes {
			if f.Chance(0.7) {
				f.isolate(p.ip, []string{n.ip}, bothDirections, f.Between(2_000_000, 5_000_000))
			}
		}
	}
	d := f.anyReplica(g)
	f.afterRandom(200_000, 1_800_000, func() {
		d.crash(false)
		f.afterRandom(20_000, 300_000, func() { f.restartDatabase(d) })
	})
	return true
}

// killControlDuringFailover kills a control process while a lost primary is being
// replaced.
func (f *Fleet) killControlDuringFailover() bool {
	g, c := f.anyGroup(), f.anyControl()
	if g == nil || c == nil {
		return false
	}
	d := g.primary
	d.crash(f.Chance(0.5))
	f.afterRandom(2_000_000, 7_000_000, func() { f.restartDatabase(d) })
	f.afterRandom(100_000, 2_000_000, func() {
		f.killControl(c, f.Chance(0.5))
		if f.Chance(0.3) {
			c.disk = nil
		}
		f.afterRandom(100_000, 1_000_000, func() { f.restartControl(c) })
	})
	return true
}

// loseReplies makes a database run statements whose replies are lost.
func (f *Fleet) loseReplies() bool {
	g := f.groups[f.Random.IntN(len(f.groups))]
	d := g.primary
	if f.Chance(0.4) {
		d = g.databases[f.Random.IntN(len(g.databases))]
	}
	d.lostReplyProbability, d.lostReplyKind = 0.02+f.Random.Float64()*0.2, f.Random.IntN(2)
	f.afterRandom(1_000_000, 5_000_000, func() { d.lostReplyProbability = 0 })
	return true
}

// failStatements makes a database fail some statements.
func (f *Fleet) failStatements() bool {
	g := f.groups[f.Random.IntN(len(f.groups))]
	d := g.databases[f.Random.IntN(len(g.databases))]
	d.failureProbability = 0.3
	f.afterRandom(1_000_000, 4_000_000, func() { d.failureProbability = 0 })
	return true
}

// slowDatabase makes each statement of a database take longer.
func (f *Fleet) slowDatabase() bool {
	g := f.groups[f.Random.IntN(len(f.groups))]
	d := g.databases[f.Random.IntN(len(g.databases))]
	d.extraServiceUs = f.Between(5_000, 200_000)
	f.afterRandom(1_000_000, 4_000_000, func() { d.extraServiceUs = 0 })
	return true
}

// lagReplicas makes some databases of a group apply their log late.
func (f *Fleet) lagReplicas() bool {
	g := f.groups[f.Random.IntN(len(f.groups))]
	for _, d := range g.databases {
		if f.Chance(0.6) {
			d.lagFactor = f.Random.Float64() * 120
			f.afterRandom(2_000_000, 6_000_000, func() { d.lagFactor = 1 })
		}
	}
	return true
}
