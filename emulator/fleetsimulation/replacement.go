package fleetsimulation

import "slices"

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
