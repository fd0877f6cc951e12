package simulation

import (
	"fmt"

	"stoneford/emulator/databasereplica"
)

// Database is a simulated database: a replica's state machine with its process, its
// connections and injected faults.
type Database struct {
	fleet           *Fleet
	name            string
	group           string
	address         string
	zone            string
	state           *databasereplica.Replica
	up              bool
	unresponsive    bool // handles requests, but its responses are lost
	frozen          bool
	lostResponses   int   // number of next runs whose responses are lost
	extraServiceUs  int64 // added to the service time of each run
	lagUs           int64 // delay after which entries are applied
	receivesNothing bool  // does not fetch the primary's log
	appliesNothing  bool  // does not apply received entries
	drainingSinceUs int64 // time at which it began to drain, if it drains
	generation      int
	diskCount       int // number of disks so far, part of the identity
	incarnations    int // number of processes so far
	connectionLimit int
	waiters         []waiter
	pending         []func() // events that arrived while the process was frozen
	serversFreeAtUs []int64  // end of the last run of each server
	fetchPosition   int64    // position after which to fetch the log, -1 for the last received entry

	firstPrepared string // first text that was prepared (mutation StalePreparedText)
}

// waiter is a function to call once the log is received and applied up to the given
// positions.
type waiter struct {
	received, applied int64
	run               func()
	done              *bool
}

// addDatabase adds a database with an empty disk and starts it.
func (f *Fleet) addDatabase(name, group, address, zone string, limit int) {
	d := &Database{fleet: f, connectionLimit: limit, name: name, group: group, address: address, zone: zone, lagUs: f.Plan.LagUs}
	f.Databases[name], f.databaseAt[address] = d, d
	d.emptyDisk()
	d.start()
}

// emptyDisk replaces the disk by an empty one. The database gets a new identity.
func (d *Database) emptyDisk() {
	d.diskCount++
	d.state = databasereplica.New(d.name, fmt.Sprintf("%s#%d", d.name, d.diskCount), d.connectionLimit, d.firstConnection())
}

// firstConnection returns the first connection number for a new process. Numbers are not
// reused by later processes of the database.
func (d *Database) firstConnection() int64 {
	d.incarnations++
	return int64(d.incarnations) << 32
}

// start starts the process with its existing log and identity.
func (d *Database) start() {
	d.generation++
	d.up, d.frozen, d.unresponsive, d.waiters, d.pending, d.fetchPosition = true, false, false, nil, nil, -1
	d.serversFreeAtUs = make([]int64, max(1, d.fleet.Plan.DatabaseServers))
	d.follow(d.generation)
}

// crash ends the process. Its log and persistent state remain; its connections are closed.
func (d *Database) crash() {
	d.up = false
	persistent, log := d.state.PersistentState, d.state.LogAfter(0)
	restored := databasereplica.New(d.name, persistent.Identity, d.connectionLimit, d.firstConnection())
	restored.Restore(persistent, log)
	d.state = restored
}

// responds reports whether the process handles calls and its responses arrive.
func (d *Database) responds() bool { return d.up && !d.unresponsive && !d.frozen }

// notifyWaiters calls the waiters whose positions are reached.
func (d *Database) notifyWaiters() {
	waiters := d.waiters
	d.waiters = nil
	for _, w := range waiters {
		switch {
		case *w.done:
		case d.state.Received() >= w.received && d.state.Applied() >= w.applied:
			*w.done = true
			w.run()
		default:
			d.waiters = append(d.waiters, w)
		}
	}
}

// waitForPositions calls callback once the log is received and applied up to the given
// positions, or after a timeout; with a timeout of 0 it calls callback at once.
func (d *Database) waitForPositions(received, applied, timeoutUs int64, callback func()) {
	done := false
	if timeoutUs == 0 || d.state.Received() >= received && d.state.Applied() >= applied {
		callback()
		return
	}
	d.waiters = append(d.waiters, waiter{received: received, applied: applied, run: callback, done: &done})
	g := d.generation
	d.fleet.After(timeoutUs, func() {
		if !done && d.up && d.generation == g {
			done = true
			callback()
		}
	})
}

// serve calls callback after a random service time, which begins when one of the database's
// servers is free. If the database crashes in the meantime, callback is never called.
func (d *Database) serve(callback func()) {
	i := 0 // server that is free first
	for j := range d.serversFreeAtUs {
		if d.serversFreeAtUs[j] < d.serversFreeAtUs[i] {
			i = j
		}
	}
	serviceUs := d.fleet.Plan.ServiceUs/2 + d.fleet.Random.Int64N(d.fleet.Plan.ServiceUs+1) + d.extraServiceUs
	d.serversFreeAtUs[i] = max(d.serversFreeAtUs[i], d.fleet.Now) + serviceUs
	g := d.generation
	var complete func()
	complete = func() {
		switch {
		case !d.up || d.generation != g:
		case d.frozen:
			d.pending = append(d.pending, complete)
		default:
			callback()
		}
	}
	d.fleet.After(d.serversFreeAtUs[i]-d.fleet.Now, complete)
}

// A call is refused after refusedCallUs if no database is up at its address. The end of a
// database's process resets its connections, which callers notice within resetIntervalUs.
const (
	refusedCallUs   = 100
	resetIntervalUs = 20_000
)

// databaseCall is a call of a process to a database.
type databaseCall struct {
	fleet      *Fleet
	from       string
	address    string
	database   *Database // database at the address; nil if there is none
	generation int       // generation of the database when the call arrived
	ended      bool
	run        func(db *Database, reply func(any))
	end        func(response any, sent bool)
}

// call calls the database at an address. run handles the call at the database. end is
// called once, with the response or nil; sent reports whether the call may have reached the
// database.
func (f *Fleet) call(from, address string, timeoutUs int64, run func(db *Database, reply func(any)), end func(response any, sent bool)) {
	c := &databaseCall{fleet: f, from: from, address: address, database: f.databaseAt[address], run: run, end: end}
	f.After(f.Network.Delay(from, address), c.arrive)
	f.After(timeoutUs, func() { c.finish(nil, true) })
}

func (c *databaseCall) finish(response any, sent bool) {
	if !c.ended {
		c.ended = true
		c.end(response, sent)
	}
}

// arrive delivers the call at the database's address. It is refused if no process is up
// there, and times out if the caller's direction is partitioned.
func (c *databaseCall) arrive() {
	db := c.database
	switch {
	case db == nil || !db.up:
		c.fleet.After(refusedCallUs, func() { c.finish(nil, false) })
		return
	case !c.fleet.Network.Reaches(c.from, c.address):
		return
	}
	c.generation = db.generation
	c.handle()
	c.fleet.After(resetIntervalUs, c.watch)
}

// handle runs the call at the database, after a freeze if it is frozen. An unresponsive
// database also runs it, but does not reply.
func (c *databaseCall) handle() {
	db := c.database
	switch {
	case !db.up || db.generation != c.generation:
	case db.frozen:
		db.pending = append(db.pending, c.handle)
	case db.unresponsive:
		c.run(db, func(any) {})
	default:
		c.run(db, c.reply)
	}
}

func (c *databaseCall) reply(response any) {
	f := c.fleet
	f.After(f.Network.Delay(c.address, c.from), func() {
		if f.Network.Reaches(c.address, c.from) && !c.database.unresponsive {
			c.finish(response, true)
		}
	})
}

// watch ends the call when the database's process has ended.
func (c *databaseCall) watch() {
	if c.ended {
		return
	}
	if !c.database.up || c.database.generation != c.generation {
		c.finish(nil, true)
		return
	}
	c.fleet.After(resetIntervalUs, c.watch)
}

// maxLogBatch is the maximum number of entries that a replica fetches at once.
const maxLogBatch = 500

// Delays until a replica fetches the log again, in microseconds. It fetches at once if the
// logs diverged. Otherwise, the less likely it is that the primary has new entries for it,
// the longer the delay.
const (
	followAfterEntriesUs   = 500
	followAfterNothingUs   = 2_000
	followWithoutPrimaryUs = 5_000
	followAfterRefusalUs   = 10_000
	followUnreachableUs    = 20_000
)

// follow fetches the primary's log until this run of the process ends, as the emulated
// database's server does.
func (d *Database) follow(generation int) {
	f := d.fleet
	if !d.up || d.generation != generation {
		return
	}
	if d.frozen {
		d.pending = append(d.pending, func() { d.follow(generation) })
		return
	}
	primary := f.databaseAt[d.state.Following]
	if primary == nil || d.receivesNothing || d.unresponsive {
		d.followLater(generation, followWithoutPrimaryUs)
		return
	}
	if d.fetchPosition < 0 || d.fetchPosition > d.state.Received() {
		d.fetchPosition = d.state.Received()
	}
	epoch, after, afterEpoch := d.state.Epoch, d.fetchPosition, d.state.EpochAt(d.fetchPosition)
	f.After(f.Network.Delay(d.address, primary.address), func() {
		if !primary.responds() || !f.Network.Reaches(d.address, primary.address) || !f.Network.Reaches(primary.address, d.address) {
			d.followLater(generation, followUnreachableUs)
			return
		}
		entries, retryFrom, ok := primary.state.FetchLog(epoch, after, afterEpoch, maxLogBatch)
		f.After(f.Network.Delay(primary.address, d.address), func() {
			d.receive(generation, logBatch{epoch: epoch, after: after, entries: entries, retryFrom: retryFrom, ok: ok})
		})
	})
}

// followLater schedules the next fetch of the primary's log after a delay.
func (d *Database) followLater(generation int, delayUs int64) {
	d.fleet.After(delayUs, func() { d.follow(generation) })
}

// logBatch is the primary's response to a fetch of its log.
type logBatch struct {
	epoch     uint64
	after     int64 // position of the entry before the first one
	entries   []databasereplica.LogEntry
	retryFrom int64 // position to fetch from instead if the logs diverge, otherwise -1
	ok        bool  // false if the primary refused the request
}

// receive appends a batch of the primary's log to this replica's log, and schedules the next
// fetch.
func (d *Database) receive(generation int, b logBatch) {
	if !d.up || d.generation != generation {
		return
	}
	if d.frozen {
		d.pending = append(d.pending, func() { d.follow(generation) })
		return
	}
	switch {
	case !b.ok || d.state.Epoch != b.epoch || d.receivesNothing:
		d.fetchPosition = -1
		d.followLater(generation, followAfterRefusalUs)
	case b.retryFrom >= 0:
		d.fetchPosition = b.retryFrom
		d.followLater(generation, 0)
	default:
		if _, ok := d.state.AppendLog(b.epoch, b.after, b.entries); ok {
			d.apply(generation, b.entries, b.after)
			d.notifyWaiters()
		}
		d.fetchPosition = -1
		if len(b.entries) > 0 {
			d.followLater(generation, followAfterEntriesUs)
		} else {
			d.followLater(generation, followAfterNothingUs)
		}
	}
}

// apply schedules the application of entries after the replica's lag.
func (d *Database) apply(generation int, entries []databasereplica.LogEntry, after int64) {
	for i, e := range entries {
		position := after + int64(i) + 1
		d.fleet.After(max(0, e.AtUs+d.lagUs-d.fleet.Now), func() { d.applyTo(generation, position) })
	}
}

// applyTo applies the log up to a position. It retries later while the database is frozen
// or applies nothing.
func (d *Database) applyTo(generation int, position int64) {
	switch {
	case !d.up || d.generation != generation:
	case d.frozen:
		d.pending = append(d.pending, func() { d.applyTo(generation, position) })
	case d.appliesNothing:
		d.fleet.After(10_000, func() { d.applyTo(generation, position) })
	default:
		d.state.Apply(position)
		d.notifyWaiters()
	}
}
