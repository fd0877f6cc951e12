package fleetsimulation

import (
	"fmt"
	"slices"

	"stoneford/ports"
)

// entry is one commit on a log.
type entry struct {
	at     ports.Position
	commit *Statement   // that asked for it
	writes []*Statement // in it; of a single write the commit itself
	atUs   int64
	by     *DB
	late   bool // made by a primary after another's promotion took effect
	acked  int64
}

// DB is one database: a life of its log under one identity.
type DB struct {
	f     *Fleet
	id    string
	addr  string
	ip    string
	group *group
	zone  string

	up     bool
	silent bool // while it is not up its machine is dark, rather than bouncing
	ended  bool // for good
	gen    int
	busy   int // slots in use
	line   []job
	conns  []*dbConn

	primary bool
	term    uint64
	log     []*entry
	applied int
	held    uint64
	heldAt  int
	deaf    bool
	lag     float64 // times the usual
	pushed  map[string]int64

	acks     map[string]int // followers' received numbers, by identity
	waits    []syncWait
	reachUs  int64 // since when it reaches one that was promoted above it
	cutBack  int64 // busy until, after it was cut back
	lose     float64
	loseHow  int
	fail     float64
	slowUs   int64
	leaving  bool
	ackedUs  int64 // when its leaving was acknowledged, 0 if it was not
	call     uint64
	target   *Control
	startUs  int64
	calling  bool
	again    bool // something changed during a call
	goneSent bool
}

type job struct {
	us int64
	f  func()
}

type syncWait struct {
	n int
	f func()
}

// group is one service of databases.
type group struct {
	name     string
	dbs      []*DB // all that are there, and those that will be back
	sync     int
	limit    int
	promoted int64 // when the newest promotion took effect, 0 for none
	primary  *DB   // of the newest term
	acked    []ackedEntry
	lost     map[*entry]bool // acknowledged commits seen missing, told once
	terms    uint64          // newest term
}

const slots = 4

func (f *Fleet) newDB(g *group, id, addr, zone string) *DB {
	d := &DB{f: f, id: id, addr: addr, ip: hostOf(addr), group: g, zone: zone, lag: 1, term: 1, acks: map[string]int{}, pushed: map[string]int64{}}
	f.net.zones[d.ip] = zone
	g.dbs = append(g.dbs, d)
	f.dbs[id] = d
	return d
}

// start begins a run of the process: holds are forgotten.
func (d *DB) start() {
	f := d.f
	d.gen++
	d.up, d.silent = true, false
	d.busy, d.line, d.conns, d.waits, d.held, d.reachUs, d.cutBack = 0, nil, nil, nil, 0, 0, 0
	d.acks = map[string]int{}
	d.applied = len(d.log)
	d.startUs, d.calling, d.again = f.Now, false, false
	f.dbAt[d.addr] = d
	if d.primary && d.group.terms > d.term {
		d.primary = false
	}
	gen := d.gen
	d.loop(gen)
	f.After(f.Between(0, 100_000), func() { d.announceLoop(gen) })
}

// crash ends the process; its log stays. silent: its machine goes dark.
func (d *DB) crash(silent bool) {
	if !d.up {
		return
	}
	f := d.f
	d.up, d.silent = false, silent
	for _, c := range d.conns {
		c.open = false
		if s := c.s; s != nil && !silent {
			f.net.carry(d.ip, s.n.ip, func() { s.lost(true, "reset") })
		}
	}
	d.conns = nil
}

func (d *DB) later(us int64, do func()) {
	gen := d.gen
	d.f.After(us, func() {
		if d.up && d.gen == gen {
			do()
		}
	})
}

// position is what the database shows: the newest that it applied.
func (d *DB) position() ports.Position {
	n := d.applied
	if d.primary {
		n = len(d.log)
	}
	return d.at(n)
}

func (d *DB) at(n int) ports.Position {
	if n == 0 {
		return ports.Position{Term: 1}
	}
	return d.log[n-1].at
}

func (d *DB) status() ports.DatabaseStatus {
	return ports.DatabaseStatus{Primary: d.primary, Term: d.term, Received: d.at(len(d.log)), Held: d.held, Busy: d.busy, Open: len(d.conns)}
}

// work takes a slot for a time, then does something. Where the line is full it
// says so, unless the work may not be bounced.
func (d *DB) work(us int64, force bool, f func()) bool {
	us += d.slowUs
	if d.busy >= slots || d.cutBack > d.f.Now {
		if len(d.line) >= 32 && !force {
			return false
		}
		d.line = append(d.line, job{us, f})
		if d.cutBack > d.f.Now && d.busy == 0 {
			d.later(d.cutBack-d.f.Now, d.pump)
		}
		return true
	}
	d.run(job{us, f})
	return true
}

func (d *DB) run(j job) {
	d.busy++
	d.later(j.us, func() {
		d.busy--
		j.f()
		d.pump()
	})
}

func (d *DB) pump() {
	for d.busy < slots && len(d.line) > 0 && d.cutBack <= d.f.Now {
		j := d.line[0]
		d.line = d.line[1:]
		d.run(j)
	}
}

// Copying of the log.

// loop has a database look after its place in its group.
func (d *DB) loop(gen int) {
	if !d.up || d.gen != gen {
		return
	}
	f := d.f
	if d.primary {
		d.offerAll()
		d.leaveLead()
	}
	f.After(f.Between(60_000, 90_000), func() { d.loop(gen) })
}

// leaveLead has a primary follow once it has reached one above it for a second.
func (d *DB) leaveLead() {
	f := d.f
	p := d.group.primary
	if p == nil || p == d || p.term <= d.term || !p.up || !f.net.both(d.ip, p.ip) {
		d.reachUs = 0
		return
	}
	if d.reachUs == 0 {
		d.reachUs = f.Now
	}
	if f.Now-d.reachUs >= 1_000_000 {
		d.stepDown()
	}
}

func (d *DB) stepDown() {
	d.primary, d.reachUs, d.applied = false, 0, len(d.log)
	ws := d.waits
	d.waits = nil
	for _, w := range ws {
		w.f() // ends as not confirmed: see confirmed
	}
	d.f.say("%s follows", d.id)
	d.announce()
}

func (d *DB) offerAll() {
	for _, o := range d.group.dbs {
		if o != d && o.up && (d.acks[o.id] < len(d.log) || o.term < d.term || len(o.log) != len(d.log)) && d.f.Now-d.pushed[o.id] > 50_000 {
			d.offer(o)
		}
	}
}

// offer sends a follower the log as it stands.
func (d *DB) offer(o *DB) {
	f := d.f
	log, term, gen, from := d.log[:len(d.log):len(d.log)], d.term, o.gen, d.gen
	if !f.net.both(d.ip, o.ip) {
		return
	}
	d.pushed[o.id] = f.Now
	f.net.arrive(d.ip, o.ip, f.net.delay(d.ip, o.ip), func() {
		if !o.up || o.gen != gen || o.ended || !f.net.both(d.ip, o.ip) {
			return
		}
		if !o.receive(log, term) {
			return
		}
		n := len(log)
		f.net.arrive(o.ip, d.ip, f.net.delay(o.ip, d.ip), func() {
			if d.up && d.gen == from && d.primary && d.term == term && f.net.both(d.ip, o.ip) {
				d.acks[o.id] = max(d.acks[o.id], n)
				d.confirm()
			}
		})
	})
}

// receive takes a primary's log; false says that it does not.
func (d *DB) receive(log []*entry, term uint64) bool {
	if d.primary || term < d.term || d.deaf || d.held > 0 && d.f.Plan.Plant != HoldIgnored {
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
		if n == len(log) && d.log[n].at.Term == term {
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

func (d *DB) truncate(n int) {
	d.f.say("%s is cut back from %v to %d", d.id, d.at(len(d.log)), n)
	d.log = slices.Clone(d.log[:n])
	d.applied = min(d.applied, n)
	d.cutBack = d.f.Now + d.f.Between(100_000, 500_000)
	d.later(d.cutBack-d.f.Now, d.pump)
}

func (d *DB) applyLater(n int) {
	want := d.log[n-1]
	us := int64(float64(d.f.Between(5_000, 40_000)) * d.lag)
	d.later(us, func() {
		if n <= len(d.log) && d.log[n-1] == want {
			d.applied = max(d.applied, n)
		}
	})
}

// append makes a commit.
func (d *DB) append(commit *Statement, writes []*Statement) *entry {
	f := d.f
	e := &entry{at: ports.Position{Term: d.term, Number: int64(len(d.log) + 1)}, commit: commit, writes: writes, atUs: f.Now, by: d, late: d.group.terms > d.term}
	d.log = append(d.log, e)
	f.truth.committed(e)
	for _, o := range d.group.dbs {
		if o != d && o.up && f.Plan.Plant != SyncDropped {
			d.offer(o)
		}
	}
	return e
}

// confirmed calls back once enough followers have received a commit; ok is false
// where the lead was lost before.
func (d *DB) confirmed(e *entry, f func(ok bool)) {
	n := int(e.at.Number)
	if d.group.sync == 0 || d.f.Plan.Plant == SyncDropped {
		f(true)
		return
	}
	d.waits = append(d.waits, syncWait{n, func() { f(d.primary && d.acked(n)) }})
}

func (d *DB) acked(n int) bool {
	k := 0
	for _, o := range d.group.dbs {
		if o != d && d.acks[o.id] >= n {
			k++
		}
	}
	return k >= d.group.sync
}

func (d *DB) confirm() {
	var done []syncWait
	d.waits = slices.DeleteFunc(d.waits, func(w syncWait) bool {
		ok := d.acked(w.n)
		if ok {
			done = append(done, w)
		}
		return ok
	})
	for _, w := range done {
		w.f()
	}
}

// promote has a database lead the next term with what it has received.
func (d *DB) promote() {
	g, f := d.group, d.f
	if d.primary && d.term == g.terms {
		return
	}
	g.terms++
	old := g.primary
	if f.Plan.Plant == HoldIgnored && d.held > 0 && d.heldAt < len(d.log) {
		d.log = slices.Clone(d.log[:d.heldAt])
	}
	d.term, d.primary, d.held = g.terms, true, 0
	d.applied = len(d.log)
	d.acks, d.pushed = map[string]int{}, map[string]int64{}
	g.primary, g.promoted = d, f.Now
	if f.promotionReleases {
		for _, o := range g.dbs {
			o.held = 0
		}
	}
	o := "none"
	if old != nil {
		o = old.id
	}
	f.say("%s: %s leads term %d at %v; %s led before", g.name, d.id, d.term, d.at(len(d.log)), o)
	f.truth.promoted(d)
	d.announce()
}

// Connections.

// command runs Status, Hold, Resume and StepDown.
func (d *DB) command(o ports.Op, done func(ports.DatabaseStatus, ports.Code)) {
	if !d.work(1_000, false, func() {
		code := ports.Done
		switch o.St.Kind {
		case ports.Hold:
			switch {
			case d.primary || o.Term == d.held || d.leaving && d.f.Plan.Plant == LeaversReceive:
			case o.Term <= d.term:
				code = ports.Malformed
			default:
				d.held, d.heldAt = max(d.held, o.Term), len(d.log)
				d.f.say("%s is held at %d, having %v", d.id, d.held, d.at(len(d.log)))
			}
		case ports.Resume:
			d.held = 0
		case ports.StepDown:
			if d.primary && d.term < o.Term {
				d.stepDown()
			}
		}
		done(d.status(), code)
	}) {
		done(ports.DatabaseStatus{}, ports.Busy)
	}
}

// Announcements.

func (d *DB) String() string { return fmt.Sprintf("%s(%d, %v)", d.id, d.term, d.at(len(d.log))) }
