package fleetsimulation

import (
	"slices"

	"stoneford/internal/ports"
)

const (
	// stepDownDelayUs is the time for which a primary must have reached a primary of a
	// newer term before it steps down.
	stepDownDelayUs = 1_000_000
	// offerIntervalUs is the minimum time between two offers of the log to one replica.
	offerIntervalUs = 50_000
)

// entry is one commit in a log. Logs share entries: two logs agree up to an index if they
// have the same entry at that index.
type entry struct {
	position          ports.Position
	commit            *Statement   // statement that requested the commit
	writes            []*Statement // writes of the commit; for a single write, that statement only
	committedAtUs     int64
	primary           *Database
	fromFormerPrimary bool // committed by a primary after the promotion of another one took effect
	acknowledgedUs    int64
}

// syncWait is a commit that waits for acknowledgements of replicas.
type syncWait struct {
	length int // length of the log that replicas must have received
	done   func()
}

// position returns the position that reads on the database see.
func (d *Database) position() ports.Position {
	n := d.applied
	if d.primary {
		n = len(d.log)
	}
	return d.positionAt(n)
}

// positionAt returns the position of the n-th entry, or that of the empty log for zero.
func (d *Database) positionAt(n int) ports.Position {
	if n == 0 {
		return ports.Position{Term: 1}
	}
	return d.log[n-1].position
}

// replicationLoop periodically offers a primary's log to its replicas, and makes the
// primary step down for one of a newer term.
func (d *Database) replicationLoop(gen int) {
	if !d.up || d.generation != gen {
		return
	}
	f := d.fleet
	if d.primary {
		d.offerAll()
		d.stepDownForNewPrimary()
	}
	f.After(f.Between(60_000, 90_000), func() { d.replicationLoop(gen) })
}

// stepDownForNewPrimary makes a primary step down after it has reached a primary of a
// newer term for stepDownDelayUs.
func (d *Database) stepDownForNewPrimary() {
	f := d.fleet
	p := d.group.primary
	if p == nil || p == d || p.term <= d.term || !p.up || !f.network.connected(d.ip, p.ip) {
		d.reachesNewPrimarySinceUs = 0
		return
	}
	if d.reachesNewPrimarySinceUs == 0 {
		d.reachesNewPrimarySinceUs = f.Now
	}
	if f.Now-d.reachesNewPrimarySinceUs >= stepDownDelayUs {
		d.stepDown()
	}
}

// stepDown turns a primary into a replica. Commits that wait for replicas end
// unconfirmed.
func (d *Database) stepDown() {
	d.primary, d.reachesNewPrimarySinceUs, d.applied = false, 0, len(d.log)
	waits := d.syncWaits
	d.syncWaits = nil
	for _, w := range waits {
		w.done() // unconfirmed, since the database is no longer primary
	}
	d.fleet.logf("%s stepped down and is a replica", d.id)
	d.announce()
}

// offerAll offers the log to every replica whose log differs.
func (d *Database) offerAll() {
	for _, replica := range d.group.databases {
		if replica != d && replica.up && (d.receivedByReplica[replica.id] < len(d.log) || replica.term < d.term || len(replica.log) != len(d.log)) && d.fleet.Now-d.lastOfferUs[replica.id] > offerIntervalUs {
			d.offer(replica)
		}
	}
}

// offer sends the current log to a replica.
func (d *Database) offer(replica *Database) {
	f := d.fleet
	log, term, gen, ownGeneration := d.log[:len(d.log):len(d.log)], d.term, replica.generation, d.generation
	if !f.network.connected(d.ip, replica.ip) {
		return
	}
	d.lastOfferUs[replica.id] = f.Now
	f.network.deliverAfter(d.ip, replica.ip, f.network.delay(d.ip, replica.ip), func() {
		if !replica.up || replica.generation != gen || replica.removed || !f.network.connected(d.ip, replica.ip) {
			return
		}
		if !replica.receive(log, term) {
			return
		}
		n := len(log)
		f.network.deliverAfter(replica.ip, d.ip, f.network.delay(replica.ip, d.ip), func() {
			if d.up && d.generation == ownGeneration && d.primary && d.term == term && f.network.connected(d.ip, replica.ip) {
				d.receivedByReplica[replica.id] = max(d.receivedByReplica[replica.id], n)
				d.endConfirmedWaits()
			}
		})
	})
}

// receive replaces the part of the log that differs from the primary's log. It returns
// false if it rejects the primary's log.
func (d *Database) receive(log []*entry, term uint64) bool {
	if d.primary || term < d.term || d.receivesNothing || d.frozenBy > 0 && d.fleet.Plan.Mutation != FreezeIgnored {
		return false
	}
	d.term = term
	n := min(len(d.log), len(log))
	if n > 0 && d.log[n-1] != log[n-1] {
		for n > 0 && d.log[n-1] != log[n-1] {
			n--
		}
	}
	if n < len(d.log) {
		if n == len(log) && d.log[n].position.Term == term {
			return true // an older offer of the same log
		}
		d.truncate(n)
	}
	if len(log) > len(d.log) {
		d.log = append(d.log[:len(d.log):len(d.log)], log[len(d.log):]...)
		d.applyLater(len(d.log))
	}
	return true
}

// truncate drops all entries after the first n, which blocks the database for a while.
func (d *Database) truncate(n int) {
	d.fleet.logf("%s truncates its log, which ends at position %v, to %d entries", d.id, d.positionAt(len(d.log)), n)
	d.log = slices.Clone(d.log[:n])
	d.applied = min(d.applied, n)
	d.truncatingUntilUs = d.fleet.Now + d.fleet.Between(100_000, 500_000)
	d.afterInRun(d.truncatingUntilUs-d.fleet.Now, d.startQueuedJobs)
}

// applyLater makes the first n entries visible to reads after the replication lag.
func (d *Database) applyLater(n int) {
	want := d.log[n-1]
	lagUs := int64(float64(d.fleet.Between(5_000, 40_000)) * d.lagFactor)
	d.afterInRun(lagUs, func() {
		if n <= len(d.log) && d.log[n-1] == want {
			d.applied = max(d.applied, n)
		}
	})
}

// append commits writes on a primary and offers the log to its replicas.
func (d *Database) append(commit *Statement, writes []*Statement) *entry {
	f := d.fleet
	e := &entry{position: ports.Position{Term: d.term, Number: int64(len(d.log) + 1)}, commit: commit, writes: writes, committedAtUs: f.Now, primary: d, fromFormerPrimary: d.group.newestTerm > d.term}
	d.log = append(d.log, e)
	f.oracle.committed(e)
	for _, replica := range d.group.databases {
		if replica != d && replica.up && f.Plan.Mutation != SyncDropped {
			d.offer(replica)
		}
	}
	return e
}

// whenConfirmed calls done with true once enough replicas have received a commit, or with
// false if the database stops being primary before that.
func (d *Database) whenConfirmed(e *entry, done func(ok bool)) {
	n := int(e.position.Number)
	if d.group.syncReplicas == 0 || d.fleet.Plan.Mutation == SyncDropped {
		done(true)
		return
	}
	d.syncWaits = append(d.syncWaits, syncWait{n, func() { done(d.primary && d.receivedByEnoughReplicas(n)) }})
}

// receivedByEnoughReplicas reports whether enough replicas have received the first n
// entries.
func (d *Database) receivedByEnoughReplicas(n int) bool {
	k := 0
	for _, o := range d.group.databases {
		if o != d && d.receivedByReplica[o.id] >= n {
			k++
		}
	}
	return k >= d.group.syncReplicas
}

// endConfirmedWaits completes the waits for commits that enough replicas have received.
func (d *Database) endConfirmedWaits() {
	var done []syncWait
	d.syncWaits = slices.DeleteFunc(d.syncWaits, func(w syncWait) bool {
		ok := d.receivedByEnoughReplicas(w.length)
		if ok {
			done = append(done, w)
		}
		return ok
	})
	for _, w := range done {
		w.done()
	}
}

// promote makes the database the primary of a new term, with the log that it has
// received.
func (d *Database) promote() {
	g, f := d.group, d.fleet
	if d.primary && d.term == g.newestTerm {
		return
	}
	g.newestTerm++
	old := g.primary
	if f.Plan.Mutation == FreezeIgnored && d.frozenBy > 0 && d.frozenLength < len(d.log) {
		d.log = slices.Clone(d.log[:d.frozenLength])
	}
	d.term, d.primary, d.frozenBy = g.newestTerm, true, 0
	d.applied = len(d.log)
	d.receivedByReplica, d.lastOfferUs = map[string]int{}, map[string]int64{}
	g.primary, g.promotedUs = d, f.Now
	if f.promotionUnfreezesGroup {
		for _, o := range g.databases {
			o.frozenBy = 0
		}
	}
	oldID := "none"
	if old != nil {
		oldID = old.id
	}
	f.logf("%s: %s is promoted to primary of term %d, its log ends at position %v; previous primary: %s", g.name, d.id, d.term, d.positionAt(len(d.log)), oldID)
	f.oracle.promoted(d)
	d.announce()
}
