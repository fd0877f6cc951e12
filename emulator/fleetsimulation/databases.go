package fleetsimulation

import (
	"fmt"
	"slices"

	"stoneford/internal/ports"
)

// entry is one commit on a log.
type entry struct {
	position       ports.Position
	commit         *Statement   // that asked for it
	writes         []*Statement // in it; of a single write the commit itself
	atUs           int64
	primary        *Database
	late           bool // made by a primary after another's promotion took effect
	acknowledgedUs int64
}

// Database is one database: a life of its log under one identity.
type Database struct {
	fleet   *Fleet
	id      string
	address string
	ip      string
	group   *group
	zone    string

	up           bool
	unresponsive bool // while it is not up its machine is dark, rather than bouncing
	ended        bool // for good
	generation   int
	busy         int // slots in use
	queue        []job
	connections  []*databaseConnection

	primary         bool
	term            uint64
	log             []*entry
	applied         int
	frozenBy        uint64
	frozenAt        int
	receivesNothing bool
	lagFactor       float64 // times the usual
	pushedPositions map[string]int64

	receivedByReplica        map[string]int // followers' received numbers, by identity
	syncWaits                []syncWait
	reachesNewPrimarySinceUs int64 // since when it reaches one that was promoted above it
	truncatingUntilUs        int64 // busy until, after it was cut back
	lostReplyProbability     float64
	lostReplyKind            int
	failureProbability       float64
	extraServiceUs           int64
	draining                 bool
	drainAcknowledgedUs      int64 // when its leaving was acknowledged, 0 if it was not
	call                     uint64
	target                   *Control
	startUs                  int64
	calling                  bool
	changedDuringCall        bool // something changed during a call
	goneSent                 bool
}

type job struct {
	durationUs int64
	run        func()
}

type syncWait struct {
	position int
	done     func()
}

// group is one service of databases.
type group struct {
	name         string
	databases    []*Database // all that are there, and those that will be back
	syncReplicas int
	limit        int
	promotedUs   int64     // when the newest promotion took effect, 0 for none
	primary      *Database // of the newest term
	acknowledged []acknowledgedEntry
	lost         map[*entry]bool // acknowledged commits seen missing, told once
	newestTerm   uint64          // newest term
}

const slots = 4

func (f *Fleet) newDatabase(g *group, id, addr, zone string) *Database {
	d := &Database{fleet: f, id: id, address: addr, ip: hostOf(addr), group: g, zone: zone, lagFactor: 1, term: 1, receivedByReplica: map[string]int{}, pushedPositions: map[string]int64{}}
	f.network.zones[d.ip] = zone
	g.databases = append(g.databases, d)
	f.databases[id] = d
	return d
}

// start begins a run of the process: holds are forgotten.
func (d *Database) start() {
	f := d.fleet
	d.generation++
	d.up, d.unresponsive = true, false
	d.busy, d.queue, d.connections, d.syncWaits, d.frozenBy, d.reachesNewPrimarySinceUs, d.truncatingUntilUs = 0, nil, nil, nil, 0, 0, 0
	d.receivedByReplica = map[string]int{}
	d.applied = len(d.log)
	d.startUs, d.calling, d.changedDuringCall = f.Now, false, false
	f.databaseAt[d.address] = d
	if d.primary && d.group.newestTerm > d.term {
		d.primary = false
	}
	gen := d.generation
	d.loop(gen)
	f.After(f.Between(0, 100_000), func() { d.announceLoop(gen) })
}

// crash ends the process; its log stays. silent: its machine goes dark.
func (d *Database) crash(unresponsive bool) {
	if !d.up {
		return
	}
	f := d.fleet
	d.up, d.unresponsive = false, unresponsive
	for _, c := range d.connections {
		c.open = false
		if s := c.stream; s != nil && !unresponsive {
			f.network.carry(d.ip, s.node.ip, func() { s.lost(true, "reset") })
		}
	}
	d.connections = nil
}

func (d *Database) later(us int64, do func()) {
	gen := d.generation
	d.fleet.After(us, func() {
		if d.up && d.generation == gen {
			do()
		}
	})
}

// position is what the database shows: the newest that it applied.
func (d *Database) position() ports.Position {
	n := d.applied
	if d.primary {
		n = len(d.log)
	}
	return d.positionAt(n)
}

func (d *Database) positionAt(n int) ports.Position {
	if n == 0 {
		return ports.Position{Term: 1}
	}
	return d.log[n-1].position
}

func (d *Database) status() ports.DatabaseStatus {
	return ports.DatabaseStatus{Primary: d.primary, Term: d.term, Received: d.positionAt(len(d.log)), FrozenTerm: d.frozenBy, BusyConnections: d.busy, OpenTransactions: len(d.connections)}
}

// work takes a slot for a time, then does something. Where the line is full it
// says so, unless the work may not be bounced.
func (d *Database) work(us int64, force bool, f func()) bool {
	us += d.extraServiceUs
	if d.busy >= slots || d.truncatingUntilUs > d.fleet.Now {
		if len(d.queue) >= 32 && !force {
			return false
		}
		d.queue = append(d.queue, job{us, f})
		if d.truncatingUntilUs > d.fleet.Now && d.busy == 0 {
			d.later(d.truncatingUntilUs-d.fleet.Now, d.pump)
		}
		return true
	}
	d.run(job{us, f})
	return true
}

func (d *Database) run(j job) {
	d.busy++
	d.later(j.durationUs, func() {
		d.busy--
		j.run()
		d.pump()
	})
}

func (d *Database) pump() {
	for d.busy < slots && len(d.queue) > 0 && d.truncatingUntilUs <= d.fleet.Now {
		j := d.queue[0]
		d.queue = d.queue[1:]
		d.run(j)
	}
}

// Copying of the log.

// loop has a database look after its place in its group.
func (d *Database) loop(gen int) {
	if !d.up || d.generation != gen {
		return
	}
	f := d.fleet
	if d.primary {
		d.offerAll()
		d.stepDownForDraining()
	}
	f.After(f.Between(60_000, 90_000), func() { d.loop(gen) })
}

// stepDownForDraining has a primary follow once it has reached one above it for a second.
func (d *Database) stepDownForDraining() {
	f := d.fleet
	p := d.group.primary
	if p == nil || p == d || p.term <= d.term || !p.up || !f.network.connected(d.ip, p.ip) {
		d.reachesNewPrimarySinceUs = 0
		return
	}
	if d.reachesNewPrimarySinceUs == 0 {
		d.reachesNewPrimarySinceUs = f.Now
	}
	if f.Now-d.reachesNewPrimarySinceUs >= 1_000_000 {
		d.stepDown()
	}
}

func (d *Database) stepDown() {
	d.primary, d.reachesNewPrimarySinceUs, d.applied = false, 0, len(d.log)
	ws := d.syncWaits
	d.syncWaits = nil
	for _, w := range ws {
		w.done() // ends as not confirmed: see confirmed
	}
	d.fleet.logf("%s follows", d.id)
	d.announce()
}

func (d *Database) offerAll() {
	for _, o := range d.group.databases {
		if o != d && o.up && (d.receivedByReplica[o.id] < len(d.log) || o.term < d.term || len(o.log) != len(d.log)) && d.fleet.Now-d.pushedPositions[o.id] > 50_000 {
			d.offer(o)
		}
	}
}

// offer sends a follower the log as it stands.
func (d *Database) offer(o *Database) {
	f := d.fleet
	log, term, gen, from := d.log[:len(d.log):len(d.log)], d.term, o.generation, d.generation
	if !f.network.connected(d.ip, o.ip) {
		return
	}
	d.pushedPositions[o.id] = f.Now
	f.network.arrive(d.ip, o.ip, f.network.delay(d.ip, o.ip), func() {
		if !o.up || o.generation != gen || o.ended || !f.network.connected(d.ip, o.ip) {
			return
		}
		if !o.receive(log, term) {
			return
		}
		n := len(log)
		f.network.arrive(o.ip, d.ip, f.network.delay(o.ip, d.ip), func() {
			if d.up && d.generation == from && d.primary && d.term == term && f.network.connected(d.ip, o.ip) {
				d.receivedByReplica[o.id] = max(d.receivedByReplica[o.id], n)
				d.confirm()
			}
		})
	})
}

// receive takes a primary's log; false says that it does not.
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

func (d *Database) truncate(n int) {
	d.fleet.logf("%s is cut back from %v to %d", d.id, d.positionAt(len(d.log)), n)
	d.log = slices.Clone(d.log[:n])
	d.applied = min(d.applied, n)
	d.truncatingUntilUs = d.fleet.Now + d.fleet.Between(100_000, 500_000)
	d.later(d.truncatingUntilUs-d.fleet.Now, d.pump)
}

func (d *Database) applyLater(n int) {
	want := d.log[n-1]
	us := int64(float64(d.fleet.Between(5_000, 40_000)) * d.lagFactor)
	d.later(us, func() {
		if n <= len(d.log) && d.log[n-1] == want {
			d.applied = max(d.applied, n)
		}
	})
}

// append makes a commit.
func (d *Database) append(commit *Statement, writes []*Statement) *entry {
	f := d.fleet
	e := &entry{position: ports.Position{Term: d.term, Number: int64(len(d.log) + 1)}, commit: commit, writes: writes, atUs: f.Now, primary: d, late: d.group.newestTerm > d.term}
	d.log = append(d.log, e)
	f.oracle.committed(e)
	for _, o := range d.group.databases {
		if o != d && o.up && f.Plan.Mutation != SyncDropped {
			d.offer(o)
		}
	}
	return e
}

// confirmed calls back once enough followers have received a commit; ok is false
// where the lead was lost before.
func (d *Database) confirmed(e *entry, f func(ok bool)) {
	n := int(e.position.Number)
	if d.group.syncReplicas == 0 || d.fleet.Plan.Mutation == SyncDropped {
		f(true)
		return
	}
	d.syncWaits = append(d.syncWaits, syncWait{n, func() { f(d.primary && d.acknowledgedByReplica(n)) }})
}

func (d *Database) acknowledgedByReplica(n int) bool {
	k := 0
	for _, o := range d.group.databases {
		if o != d && d.receivedByReplica[o.id] >= n {
			k++
		}
	}
	return k >= d.group.syncReplicas
}

func (d *Database) confirm() {
	var done []syncWait
	d.syncWaits = slices.DeleteFunc(d.syncWaits, func(w syncWait) bool {
		ok := d.acknowledgedByReplica(w.position)
		if ok {
			done = append(done, w)
		}
		return ok
	})
	for _, w := range done {
		w.done()
	}
}

// promote has a database lead the next term with what it has received.
func (d *Database) promote() {
	g, f := d.group, d.fleet
	if d.primary && d.term == g.newestTerm {
		return
	}
	g.newestTerm++
	old := g.primary
	if f.Plan.Mutation == FreezeIgnored && d.frozenBy > 0 && d.frozenAt < len(d.log) {
		d.log = slices.Clone(d.log[:d.frozenAt])
	}
	d.term, d.primary, d.frozenBy = g.newestTerm, true, 0
	d.applied = len(d.log)
	d.receivedByReplica, d.pushedPositions = map[string]int{}, map[string]int64{}
	g.primary, g.promotedUs = d, f.Now
	if f.promotionUnfreezesGroup {
		for _, o := range g.databases {
			o.frozenBy = 0
		}
	}
	o := "none"
	if old != nil {
		o = old.id
	}
	f.logf("%s: %s leads term %d at %v; %s led before", g.name, d.id, d.term, d.positionAt(len(d.log)), o)
	f.oracle.promoted(d)
	d.announce()
}

// Connections.

// command runs Status, Hold, Resume and StepDown.
func (d *Database) command(o ports.Op, done func(ports.DatabaseStatus, ports.Code)) {
	if !d.work(1_000, false, func() {
		code := ports.Done
		switch o.Statement.Kind {
		case ports.FreezeReplication:
			switch {
			case d.primary || o.Term == d.frozenBy || d.draining && d.fleet.Plan.Mutation == DrainingReplicasReceive:
			case o.Term <= d.term:
				code = ports.Malformed
			default:
				d.frozenBy, d.frozenAt = max(d.frozenBy, o.Term), len(d.log)
				d.fleet.logf("%s is held at %d, having %v", d.id, d.frozenBy, d.positionAt(len(d.log)))
			}
		case ports.ResumeReplication:
			d.frozenBy = 0
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

func (d *Database) String() string {
	return fmt.Sprintf("%s(%d, %v)", d.id, d.term, d.positionAt(len(d.log)))
}
