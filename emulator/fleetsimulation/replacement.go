package fleetsimulation

import "slices"

// restartDatabase starts a database if it is down and not removed.
func (f *Fleet) restartDatabase(d *Database) {
	if !d.up && !d.removed {
		d.start()
		f.logf("%s restarted, its log ends at position %v", d.id, d.positionAt(len(d.log)))
	}
}

// restartUnderNewIdentity starts a database that has a new identity and the log of a
// database that is down, at the same address or a new one.
func (f *Fleet) restartUnderNewIdentity(d *Database, sameAddress bool) {
	if d.up || d.removed {
		return
	}
	successor := f.addDatabase(d.group, d.zone)
	if sameAddress {
		successor.address, successor.ip = d.address, d.ip
	}
	successor.inheritLog(d)
	d.removed, d.unresponsive = true, false
	f.forget(d)
	f.logf("%s restarted as %s, its log ends at position %v", d.id, successor.id, successor.positionAt(len(successor.log)))
	successor.start()
}

// inheritLog takes over the log and the role of a database that is down.
func (d *Database) inheritLog(from *Database) {
	d.log, d.term = from.log, from.term
	d.primary = from.primary && from.group.newestTerm == from.term
	if d.primary {
		from.group.primary = d
	}
}

// forget removes a database from its address and from its group.
func (f *Fleet) forget(d *Database) {
	if f.databaseAt[d.address] == d {
		delete(f.databaseAt, d.address)
	}
	d.group.databases = slices.DeleteFunc(d.group.databases, func(o *Database) bool { return o == d })
}

// replaceLost removes a lost database permanently and starts an empty one in its place.
func (f *Fleet) replaceLost(d *Database) {
	if d.up || d.removed {
		return
	}
	f.remove(d)
	f.addDatabase(d.group, d.zone).start()
}

// replaceDatabases replaces databases of a group one at a time, as the platform does for
// planned maintenance: each one drains and shuts down, and a successor takes over.
func (f *Fleet) replaceDatabases(g *group, databases []*Database) {
	f.runningReplacements++
	f.replaceNext(g, databases)
}

// replaceNext replaces the first of the databases and then the others.
func (f *Fleet) replaceNext(g *group, databases []*Database) {
	if len(databases) == 0 {
		f.runningReplacements--
		return
	}
	d := databases[0]
	r := &databaseReplacement{fleet: f, group: g, database: d, next: func() {
		f.afterRandom(300_000, 1_500_000, func() { f.replaceNext(g, databases[1:]) })
	}}
	if !d.up || d.removed || d.draining {
		r.next()
		return
	}
	r.sameAddress = f.Chance(0.4)
	if !r.sameAddress {
		f.addDatabase(g, d.zone).start()
	}
	f.afterRandom(1_000_000, 2_500_000, r.drain)
}

const (
	// drainReserveUs is the time that a database continues to run after the drain timeout
	// that control processes rely on.
	drainReserveUs = 400_000
	// maxDrainReserveUs is the longest such time. A statement that is sent too late shows
	// only while the database runs.
	maxDrainReserveUs = 6_000_000
	// deregistrationProbability is the probability that a database deregisters first, and
	// serves on without having announced that it drains.
	deregistrationProbability = 0.2
	// unacknowledgedDrainUs limits a database's wait for the acknowledgement that it
	// drains. After that it shuts down without one.
	unacknowledgedDrainUs = 6_000_000
	drainPollIntervalUs   = 100_000
	// successorDelayUs is the time from a database's shutdown announcement to the start
	// of its successor at the same address.
	successorDelayUs = 900_000
)

// databaseReplacement is the planned replacement of one database.
type databaseReplacement struct {
	fleet       *Fleet
	group       *group
	database    *Database
	sameAddress bool // the successor takes over the address and the log
	startUs     int64
	reserveUs   int64  // how long it runs on after the drain timeout
	next        func() // starts the replacement of the next database
}

// drain announces that the database drains, or deregisters it, and waits until it has drained.
func (r *databaseReplacement) drain() {
	if !r.database.up {
		r.next()
		return
	}
	if r.fleet.Chance(deregistrationProbability) {
		r.database.deregister()
	} else {
		r.fleet.logf("%s starts draining", r.database.id)
		r.database.draining = true
		r.database.announce()
	}
	r.startUs, r.reserveUs = r.fleet.Now, drainReserveUs
	if r.fleet.Chance(0.3) {
		r.reserveUs = r.fleet.Between(drainReserveUs, maxDrainReserveUs)
	}
	r.fleet.After(drainPollIntervalUs, r.awaitDrained)
}

// awaitDrained polls until the database has drained, and then shuts it down.
func (r *databaseReplacement) awaitDrained() {
	switch {
	case r.database.removed || !r.database.up:
		r.next()
	case r.drained():
		r.database.end()
		r.fleet.After(successorDelayUs, func() {
			if r.sameAddress && r.database.removed {
				r.startSuccessor()
			}
			r.next()
		})
	default:
		r.fleet.After(drainPollIntervalUs, r.awaitDrained)
	}
}

// drained reports whether the database has drained long enough to shut down.
func (r *databaseReplacement) drained() bool {
	if acknowledged := r.database.drainAcknowledgedUs; acknowledged > 0 {
		return r.fleet.Now-acknowledged > drainTimeoutUs+r.reserveUs
	}
	return r.fleet.Now-r.startUs > unacknowledgedDrainUs
}

// startSuccessor starts the successor at the same address with the database's log.
func (r *databaseReplacement) startSuccessor() {
	successor := r.fleet.addDatabase(r.group, r.database.zone)
	successor.address, successor.ip = r.database.address, r.database.ip
	successor.inheritLog(r.database)
	successor.start()
}
