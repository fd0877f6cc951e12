package simulation

import (
	"fmt"

	"stoneford/standin/databasecopy"
)

// DB is one simulated database around the stand-in's own copy.
type DB struct {
	f       *Fleet
	name    string
	group   string
	addr    string
	zone    string
	c       *databasecopy.Copy
	up      bool
	dark    bool // takes everything and returns nothing
	paused  bool
	lose    int
	slow    int64
	lag     int64
	noTake  bool
	noApply bool
	gen     int
	ids     int
	lives   int
	limit   int
	waiters []waiter
	held    []func()
	busy    []int64 // when each server is free again
	asked   int64

	prepared string // the first text that was prepared here, for a plant
}

type waiter struct {
	rec, app int64
	f        func()
	done     *bool
}

func (f *Fleet) addDB(name, group, addr, zone string, limit int) {
	d := &DB{f: f, limit: limit, name: name, group: group, addr: addr, zone: zone, lag: f.Plan.LagUs}
	f.DBs[name], f.byAddr[addr] = d, d
	d.fresh()
	d.start()
}

// fresh gives the database an empty disk.
func (d *DB) fresh() {
	d.ids++
	d.c = databasecopy.New(d.name, fmt.Sprintf("%s#%d", d.name, d.ids), d.limit, d.firstConn())
}

// firstConn is another for each life of the process.
func (d *DB) firstConn() int64 { d.lives++; return int64(d.lives) << 32 }

func (d *DB) start() {
	d.gen++
	d.up, d.paused, d.dark, d.waiters, d.held, d.asked = true, false, false, nil, nil, -1
	d.busy = make([]int64, max(1, d.f.Plan.Servers))
	d.follow(d.gen)
}

// crash ends the process; what it wrote stays, connections go.
func (d *DB) crash() {
	d.up = false
	k, log := d.c.Kept, d.c.Log(0)
	c := databasecopy.New(d.name, k.Identity, d.limit, d.firstConn())
	c.Restore(k, log)
	d.c = c
}

func (d *DB) talks() bool { return d.up && !d.dark && !d.paused }

// changed wakes who waits for a position.
func (d *DB) changed() {
	ws := d.waiters
	d.waiters = nil
	for _, w := range ws {
		switch {
		case *w.done:
		case d.c.Received() >= w.rec && d.c.Applied() >= w.app:
			*w.done = true
			w.f()
		default:
			d.waiters = append(d.waiters, w)
		}
	}
}

func (d *DB) wait(rec, app, us int64, f func()) {
	done := false
	if us == 0 || d.c.Received() >= rec && d.c.Applied() >= app {
		f()
		return
	}
	d.waiters = append(d.waiters, waiter{rec: rec, app: app, f: f, done: &done})
	g := d.gen
	d.f.After(us, func() {
		if !done && d.up && d.gen == g {
			done = true
			f()
		}
	})
}

// work runs f after a service time, behind what its servers already do.
func (d *DB) work(f func()) {
	i := 0
	for j := range d.busy {
		if d.busy[j] < d.busy[i] {
			i = j
		}
	}
	took := d.f.Plan.ServiceUs/2 + d.f.R.Int64N(d.f.Plan.ServiceUs+1) + d.slow
	d.busy[i] = max(d.busy[i], d.f.Now) + took
	g := d.gen
	var later func()
	later = func() {
		switch {
		case !d.up || d.gen != g:
		case d.paused:
			d.held = append(d.held, later)
		default:
			f()
		}
	}
	d.f.After(d.busy[i]-d.f.Now, later)
}

// call reaches a database from a place. at runs there; end is told the reply,
// or nil, and whether the call may have reached the database.
func (f *Fleet) call(from, addr string, timeUs int64, at func(db *DB, reply func(any)), end func(v any, left bool)) {
	ended := false
	finish := func(v any, left bool) {
		if !ended {
			ended = true
			end(v, left)
		}
	}
	db := f.byAddr[addr]
	f.After(f.Net.Delay(from, addr), func() {
		switch {
		case db == nil || !db.up:
			f.After(100, func() { finish(nil, false) }) // bounced
			return
		case !f.Net.Reaches(from, addr):
			return // times out
		}
		gen := db.gen
		reply := func(v any) {
			f.After(f.Net.Delay(addr, from), func() {
				if f.Net.Reaches(addr, from) && !db.dark {
					finish(v, true)
				}
			})
		}
		var run func()
		run = func() {
			switch {
			case !db.up || db.gen != gen:
			case db.paused:
				db.held = append(db.held, run)
			case db.dark:
				// Taken and, for all anyone can tell, run.
				at(db, func(any) {})
			default:
				at(db, reply)
			}
		}
		run()
		// A process that dies resets its connections.
		var look func()
		look = func() {
			if ended {
				return
			}
			if !db.up || db.gen != gen {
				finish(nil, true)
				return
			}
			f.After(20_000, look)
		}
		f.After(20_000, look)
	})
	f.After(timeUs, func() { finish(nil, true) })
}

// follow takes the primary's log, as the stand-in's server does.
func (d *DB) follow(gen int) {
	f := d.f
	if !d.up || d.gen != gen {
		return
	}
	if d.paused {
		d.held = append(d.held, func() { d.follow(gen) })
		return
	}
	again := func(us int64) { f.After(us, func() { d.follow(gen) }) }
	p := f.byAddr[d.c.Following]
	if p == nil || d.noTake || d.dark {
		again(5_000)
		return
	}
	epoch := d.c.Epoch
	if d.asked < 0 || d.asked > d.c.Received() {
		d.asked = d.c.Received()
	}
	after, ae := d.asked, d.c.EpochAt(d.asked)
	f.After(f.Net.Delay(d.addr, p.addr), func() {
		if !p.talks() || !f.Net.Reaches(d.addr, p.addr) || !f.Net.Reaches(p.addr, d.addr) {
			again(20_000)
			return
		}
		es, back, ok := p.c.Give(epoch, after, ae, 500)
		f.After(f.Net.Delay(p.addr, d.addr), func() {
			if !d.up || d.gen != gen {
				return
			}
			if d.paused {
				d.held = append(d.held, func() { d.follow(gen) })
				return
			}
			switch {
			case !ok || d.c.Epoch != epoch || d.noTake:
				d.asked = -1
				again(10_000)
			case back >= 0:
				d.asked = back
				again(0)
			default:
				if _, ok := d.c.Take(epoch, after, es); ok {
					d.apply(gen, es, after)
					d.changed()
				}
				d.asked = -1
				if len(es) > 0 {
					again(500)
				} else {
					again(2_000)
				}
			}
		})
	})
}

func (d *DB) apply(gen int, es []databasecopy.LogEntry, after int64) {
	for i, e := range es {
		pos := after + int64(i) + 1
		d.f.After(max(0, e.AtUs+d.lag-d.f.Now), func() { d.applyTo(gen, pos) })
	}
}

func (d *DB) applyTo(gen int, pos int64) {
	switch {
	case !d.up || d.gen != gen:
	case d.paused:
		d.held = append(d.held, func() { d.applyTo(gen, pos) })
	case d.noApply:
		d.f.After(10_000, func() { d.applyTo(gen, pos) })
	default:
		d.c.Apply(pos)
		d.changed()
	}
}
