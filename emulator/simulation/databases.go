package simulation

import (
	"fmt"

	"stoneford/emulator/databasereplica"
)

// Database is one simulated database around the stand-in's own copy.
type Database struct {
	fleet           *Fleet
	name            string
	group           string
	address         string
	zone            string
	state           *databasereplica.Replica
	up              bool
	unresponsive    bool // takes everything and returns nothing
	frozen          bool
	lostResponses   int
	extraServiceUs  int64
	lagUs           int64
	receivesNothing bool
	appliesNothing  bool
	generation      int
	diskCount       int
	incarnations    int
	connectionLimit int
	waiters         []waiter
	pending         []func()
	serversFreeAtUs []int64 // when each server is free again
	requestedFrom   int64

	prepared string // the first text that was prepared here, for a plant
}

type waiter struct {
	received, applied int64
	run               func()
	done              *bool
}

func (f *Fleet) addDatabase(name, group, addr, zone string, limit int) {
	d := &Database{fleet: f, connectionLimit: limit, name: name, group: group, address: addr, zone: zone, lagUs: f.Plan.LagUs}
	f.Databases[name], f.databaseAt[addr] = d, d
	d.emptyDisk()
	d.start()
}

// emptyDisk gives the database an empty disk.
func (d *Database) emptyDisk() {
	d.diskCount++
	d.state = databasereplica.New(d.name, fmt.Sprintf("%s#%d", d.name, d.diskCount), d.connectionLimit, d.firstConnection())
}

// firstConnection is another for each life of the process.
func (d *Database) firstConnection() int64 { d.incarnations++; return int64(d.incarnations) << 32 }

func (d *Database) start() {
	d.generation++
	d.up, d.frozen, d.unresponsive, d.waiters, d.pending, d.requestedFrom = true, false, false, nil, nil, -1
	d.serversFreeAtUs = make([]int64, max(1, d.fleet.Plan.DatabaseServers))
	d.follow(d.generation)
}

// crash ends the process; what it wrote stays, connections go.
func (d *Database) crash() {
	d.up = false
	k, log := d.state.PersistentState, d.state.Log(0)
	c := databasereplica.New(d.name, k.Identity, d.connectionLimit, d.firstConnection())
	c.Restore(k, log)
	d.state = c
}

func (d *Database) responds() bool { return d.up && !d.unresponsive && !d.frozen }

// changed wakes who waits for a position.
func (d *Database) changed() {
	ws := d.waiters
	d.waiters = nil
	for _, w := range ws {
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

func (d *Database) wait(rec, app, us int64, f func()) {
	done := false
	if us == 0 || d.state.Received() >= rec && d.state.Applied() >= app {
		f()
		return
	}
	d.waiters = append(d.waiters, waiter{received: rec, applied: app, run: f, done: &done})
	g := d.generation
	d.fleet.After(us, func() {
		if !done && d.up && d.generation == g {
			done = true
			f()
		}
	})
}

// work runs f after a service time, behind what its servers already do.
func (d *Database) work(f func()) {
	i := 0
	for j := range d.serversFreeAtUs {
		if d.serversFreeAtUs[j] < d.serversFreeAtUs[i] {
			i = j
		}
	}
	took := d.fleet.Plan.ServiceUs/2 + d.fleet.Random.Int64N(d.fleet.Plan.ServiceUs+1) + d.extraServiceUs
	d.serversFreeAtUs[i] = max(d.serversFreeAtUs[i], d.fleet.Now) + took
	g := d.generation
	var later func()
	later = func() {
		switch {
		case !d.up || d.generation != g:
		case d.frozen:
			d.pending = append(d.pending, later)
		default:
			f()
		}
	}
	d.fleet.After(d.serversFreeAtUs[i]-d.fleet.Now, later)
}

// call reaches a database from a place. at runs there; end is told the reply,
// or nil, and whether the call may have reached the database.
func (f *Fleet) call(from, addr string, timeUs int64, at func(db *Database, reply func(any)), end func(v any, left bool)) {
	ended := false
	finish := func(v any, left bool) {
		if !ended {
			ended = true
			end(v, left)
		}
	}
	db := f.databaseAt[addr]
	f.After(f.Network.Delay(from, addr), func() {
		switch {
		case db == nil || !db.up:
			f.After(100, func() { finish(nil, false) }) // bounced
			return
		case !f.Network.Reaches(from, addr):
			return // times out
		}
		gen := db.generation
		reply := func(v any) {
			f.After(f.Network.Delay(addr, from), func() {
				if f.Network.Reaches(addr, from) && !db.unresponsive {
					finish(v, true)
				}
			})
		}
		var run func()
		run = func() {
			switch {
			case !db.up || db.generation != gen:
			case db.frozen:
				db.pending = append(db.pending, run)
			case db.unresponsive:
				// Taken and, for all anyone can tell, run.
				at(db, func(any) {})
			default:
				at(db, reply)
			}
		}
		run()
		// A process that dies resets its connections.
		var poll func()
		poll = func() {
			if ended {
				return
			}
			if !db.up || db.generation != gen {
				finish(nil, true)
				return
			}
			f.After(20_000, poll)
		}
		f.After(20_000, poll)
	})
	f.After(timeUs, func() { finish(nil, true) })
}

// follow takes the primary's log, as the stand-in's server does.
func (d *Database) follow(gen int) {
	f := d.fleet
	if !d.up || d.generation != gen {
		return
	}
	if d.frozen {
		d.pending = append(d.pending, func() { d.follow(gen) })
		return
	}
	retry := func(us int64) { f.After(us, func() { d.follow(gen) }) }
	p := f.databaseAt[d.state.Following]
	if p == nil || d.receivesNothing || d.unresponsive {
		retry(5_000)
		return
	}
	epoch := d.state.Epoch
	if d.requestedFrom < 0 || d.requestedFrom > d.state.Received() {
		d.requestedFrom = d.state.Received()
	}
	after, ae := d.requestedFrom, d.state.EpochAt(d.requestedFrom)
	f.After(f.Network.Delay(d.address, p.address), func() {
		if !p.responds() || !f.Network.Reaches(d.address, p.address) || !f.Network.Reaches(p.address, d.address) {
			retry(20_000)
			return
		}
		es, back, ok := p.state.LogFor(epoch, after, ae, 500)
		f.After(f.Network.Delay(p.address, d.address), func() {
			if !d.up || d.generation != gen {
				return
			}
			if d.frozen {
				d.pending = append(d.pending, func() { d.follow(gen) })
				return
			}
			switch {
			case !ok || d.state.Epoch != epoch || d.receivesNothing:
				d.requestedFrom = -1
				retry(10_000)
			case back >= 0:
				d.requestedFrom = back
				retry(0)
			default:
				if _, ok := d.state.AppendLog(epoch, after, es); ok {
					d.apply(gen, es, after)
					d.changed()
				}
				d.requestedFrom = -1
				if len(es) > 0 {
					retry(500)
				} else {
					retry(2_000)
				}
			}
		})
	})
}

func (d *Database) apply(gen int, es []databasereplica.LogEntry, after int64) {
	for i, e := range es {
		pos := after + int64(i) + 1
		d.fleet.After(max(0, e.AtUs+d.lagUs-d.fleet.Now), func() { d.applyTo(gen, pos) })
	}
}

func (d *Database) applyTo(gen int, pos int64) {
	switch {
	case !d.up || d.generation != gen:
	case d.frozen:
		d.pending = append(d.pending, func() { d.applyTo(gen, pos) })
	case d.appliesNothing:
		d.fleet.After(10_000, func() { d.applyTo(gen, pos) })
	default:
		d.state.Apply(pos)
		d.changed()
	}
}
