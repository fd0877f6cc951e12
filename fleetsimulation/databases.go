package fleetsimulation

import (
	"fmt"
	"maps"
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

type dbConn struct {
	d        *DB
	s        *stream // nil: of a control process
	open     bool
	vals     map[string]string
	prepared map[string]shape
	state    ports.State
	tx       *dbTx
	q        []ports.Op
	running  bool
	closing  bool // closed at the far end: what came before is still run
}

type shape struct {
	text   string
	writes bool
}

type dbTx struct {
	begin  *Statement
	plain  bool
	term   uint64
	writes []*Statement
}

func (d *DB) accept(group, id string, s *stream) (ports.Code, *dbConn) {
	switch {
	case group != d.group.name || id != "" && id != d.id:
		return ports.WrongInstance, nil
	case len(d.conns) >= d.group.limit:
		return ports.TooMany, nil
	}
	c := &dbConn{d: d, s: s, open: true, vals: map[string]string{}, prepared: map[string]shape{}}
	d.conns = append(d.conns, c)
	d.f.truth.connects++
	return ports.Done, c
}

// hangUp closes a connection once what came before has run.
func (c *dbConn) hangUp() {
	c.closing = true
	if !c.running && len(c.q) == 0 {
		c.drop()
	}
}

// drop closes a connection at once; its transaction is rolled back.
func (c *dbConn) drop() {
	if !c.open {
		return
	}
	c.open, c.tx, c.q = false, nil, nil
	c.d.conns = slices.DeleteFunc(c.d.conns, func(o *dbConn) bool { return o == c })
}

func (c *dbConn) push(ops []ports.Op, n *Node) {
	for _, o := range ops {
		if !o.Own {
			c.d.f.truth.arrived(c.d, n, o)
		}
	}
	c.q = append(c.q, ops...)
	c.next()
}

func (c *dbConn) next() {
	if c.running || !c.open {
		return
	}
	if len(c.q) == 0 {
		if c.closing {
			c.drop()
		}
		return
	}
	o := c.q[0]
	c.q = c.q[1:]
	c.running = true
	gen := c.d.gen
	c.exec(o, func(a ports.Answer) {
		if !c.d.up || c.d.gen != gen {
			return
		}
		c.running = false
		if !c.open {
			return
		}
		a.State, a.Position = c.state, c.d.position()
		if c.s != nil {
			c.reply(o, a)
		}
		c.next()
	})
}

// reply sends an answer, unless it is to be lost.
func (c *dbConn) reply(o ports.Op, a ports.Answer) {
	d := c.d
	if !o.Own && o.St.Kind != ports.Begin && o.St.Kind != ports.BeginRead && d.f.Chance(d.lose) {
		if d.loseHow == 0 {
			return // never comes
		}
		s := c.s
		c.drop()
		d.f.net.carry(d.ip, s.n.ip, func() { s.lost(true, "reset") })
		return
	}
	c.s.answer(a)
}

func bad(code ports.Code, text string) ports.Answer {
	return ports.Answer{Code: code, Text: text, Body: []byte("error " + text)}
}

// lostLead says that a transaction that may write stands on a database that
// leads no more.
func (c *dbConn) lostLead() bool {
	return c.tx != nil && c.tx.plain && (!c.d.primary || c.d.term != c.tx.term)
}

func (c *dbConn) lacks(p ports.Position) bool {
	return p.Known() && c.d.f.Plan.Plant != AfterIgnored && c.d.position().Before(p)
}

func (c *dbConn) fail(code ports.Code, text string) ports.Answer {
	if c.tx != nil {
		c.state = ports.Broken
	}
	return bad(code, text)
}

func (c *dbConn) exec(o ports.Op, done func(ports.Answer)) {
	d, f := c.d, c.d.f
	st := o.St
	if o.Own {
		c.execOwn(o, done)
		return
	}
	truth := f.truth.statement(st.ID)
	if truth == nil {
		f.truth.bad("UNASKED: %s was sent statement %q, which no caller sent", d.id, st.ID)
		done(bad(ports.Malformed, "unknown"))
		return
	}
	if string(st.Raw) != truth.raw {
		f.truth.bad("UNASKED: %s was sent %q as %q", d.id, truth.raw, st.Raw)
	}
	if c.state == ports.Broken {
		if st.Kind == ports.Commit {
			c.tx, c.state = nil, ports.Idle
			done(bad(ports.RolledBack, "failed before"))
			return
		}
		done(bad(ports.Malformed, "only its end is taken"))
		return
	}
	switch st.Kind {
	case ports.Begin, ports.BeginRead:
		us := int64(50)
		f.After(us, func() {
			switch {
			case c.state != ports.Idle:
				done(bad(ports.Malformed, "inside a transaction"))
			case c.lacks(o.After):
				if f.badBeginBreaks {
					c.state = ports.Broken
				}
				done(bad(ports.Lagging, d.id))
			case st.Kind == ports.Begin && !d.primary:
				if f.badBeginBreaks {
					c.state = ports.Broken
				}
				done(bad(ports.ReadOnly, d.id))
			default:
				c.tx = &dbTx{begin: truth, plain: st.Kind == ports.Begin, term: d.term}
				c.state = ports.Open
				done(ports.Answer{Body: []byte("complete -")})
			}
		})
	case ports.Read, ports.Write, ports.Run:
		writes := st.Kind == ports.Write
		if st.Kind == ports.Run {
			sh, ok := c.prepared[o.Name]
			if !ok {
				done(c.fail(ports.NoStatement, "no such name"))
				return
			}
			writes = sh.writes
			f.truth.ranShape(d, truth, sh)
		}
		x := c.tx
		if !d.work(truth.workUs, false, func() {
			if c.tx != x {
				return // rolled back meanwhile
			}
			c.execRun(o, truth, writes, done)
		}) {
			done(bad(ports.Busy, "the line is full"))
		}
	case ports.Commit:
		if c.tx == nil {
			done(bad(ports.Malformed, "no transaction"))
			return
		}
		if !d.work(f.Between(500, 2_000), false, func() { c.execCommit(truth, done) }) {
			done(bad(ports.Busy, "the line is full"))
		}
	default:
		f.truth.bad("%s was sent %q", d.id, truth.raw)
		done(bad(ports.Malformed, "not a statement"))
	}
}

func (c *dbConn) execRun(o ports.Op, st *Statement, writes bool, done func(ports.Answer)) {
	d, f := c.d, c.d.f
	switch {
	case c.lostLead():
		done(c.fail(ports.ReadOnly, d.id))
		return
	case c.lacks(o.After):
		done(c.fail(ports.Lagging, d.id))
		return
	case writes && (!d.primary || c.tx != nil && !c.tx.plain):
		done(c.fail(ports.ReadOnly, d.id))
		return
	}
	f.truth.ran(c, st)
	if f.Chance(d.fail) {
		if writes && c.tx == nil && f.Chance(0.5) {
			d.append(st, []*Statement{st})
		}
		done(c.fail(ports.Failed, "it failed"))
		return
	}
	if f.Chance(f.Plan.Conflicts) {
		c.state = ports.Idle
		if c.tx != nil {
			c.state = ports.Broken
		}
		done(bad(ports.RolledBack, "a conflict"))
		return
	}
	body := f.truth.result(st, d)
	switch {
	case writes && c.tx != nil:
		c.tx.writes = append(c.tx.writes, st)
		done(ports.Answer{Stamped: true, Body: body})
	case writes:
		e := d.append(st, []*Statement{st})
		if f.Plan.Plant == BusyThatRan && f.Chance(0.05) {
			done(bad(ports.Busy, "planted"))
			return
		}
		if f.Plan.Plant == RunsTwice && f.Chance(0.01) {
			d.append(st, []*Statement{st})
		}
		c.await(e, body, done)
	default:
		done(ports.Answer{Stamped: true, Body: body})
	}
}

func (c *dbConn) await(e *entry, body []byte, done func(ports.Answer)) {
	d := c.d
	d.confirmed(e, func(ok bool) {
		if ok {
			done(ports.Answer{Stamped: true, Body: body})
			return
		}
		// Nobody can tell: it breaks off.
		if s := c.s; s != nil {
			c.drop()
			d.f.net.carry(d.ip, s.n.ip, func() { s.lost(true, "reset") })
		}
	})
}

func (c *dbConn) execCommit(st *Statement, done func(ports.Answer)) {
	d, f := c.d, c.d.f
	x := c.tx
	if x == nil { // dropped meanwhile
		done(bad(ports.RolledBack, "gone"))
		return
	}
	if len(x.writes) > 0 && c.lostLead() {
		done(c.fail(ports.ReadOnly, d.id))
		return
	}
	f.truth.ran(c, st)
	c.tx, c.state = nil, ports.Idle
	if f.Chance(f.Plan.Conflicts) {
		done(bad(ports.RolledBack, "a conflict"))
		return
	}
	body := f.truth.result(st, d)
	if len(x.writes) == 0 {
		done(ports.Answer{Stamped: true, Body: body})
		return
	}
	c.await(d.append(st, x.writes), body, done)
}

func (c *dbConn) execOwn(o ports.Op, done func(ports.Answer)) {
	d, f := c.d, c.d.f
	st := o.St
	name := st.Name
	if o.Name != "" {
		name = o.Name
	}
	f.After(30, func() {
		ok := ports.Answer{Body: []byte("complete -")}
		if c.state == ports.Broken && st.Kind != ports.Rollback {
			done(bad(ports.Malformed, "only its end is taken"))
			return
		}
		switch st.Kind {
		case ports.SetValue:
			c.vals = maps.Clone(c.vals)
			c.vals[name] = st.Text
		case ports.Prepare:
			c.prepared[name] = shape{st.Text, st.Writes}
		case ports.Drop:
			delete(c.prepared, name)
		case ports.Reset:
			if f.Plan.Plant != ResetIgnored {
				c.vals, c.prepared = map[string]string{}, map[string]shape{}
			}
		case ports.Rollback:
			c.tx, c.state = nil, ports.Idle
		default:
			f.truth.bad("%s was sent an own statement of kind %d", d.id, st.Kind)
		}
		done(ok)
	})
}

// command runs Status, Hold, Resume and StepDown.
func (d *DB) command(o ports.Op, done func(ports.DatabaseStatus, ports.Code)) {
	if !d.work(1_000, false, func() {
		code := ports.Done
		switch o.St.Kind {
		case ports.Hold:
			switch {
			case d.primary || o.Term == d.held:
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

func (d *DB) announceLoop(gen int) {
	if !d.up || d.gen != gen {
		return
	}
	d.announce()
	d.f.After(d.f.Between(1_100_000, 1_300_000), func() { d.announceLoop(gen) })
}

// announce tells a control process how things stand, and the next one where
// nobody acknowledges.
func (d *DB) announce() {
	if !d.up || d.ended {
		return
	}
	if d.calling {
		d.again = true
		return
	}
	d.calling = true
	d.tell(0)
}

func (d *DB) tell(tries int) {
	f := d.f
	if d.target == nil || tries > 0 {
		d.target = f.controls[f.R.IntN(len(f.controls))]
	}
	d.call++
	i := ports.Instance{ID: d.id, Group: d.group.name, Address: d.addr, Zone: d.zone, Capacity: slots, Leaving: d.leaving, Primary: d.primary, Call: d.call}
	leaving, gen := d.leaving, d.gen
	ended := false
	end := func(ok bool) {
		if ended || !d.up || d.gen != gen {
			return
		}
		ended = true
		switch {
		case ok:
			if leaving && d.ackedUs == 0 {
				d.ackedUs = f.Now
			}
			d.calling = false
			if d.again {
				d.again = false
				d.announce()
			}
		case tries < 8:
			f.After(int64(tries)*100_000, func() {
				if d.up && d.gen == gen {
					d.tell(tries + 1)
				}
			})
		default:
			d.calling, d.again = false, false
		}
	}
	f.callControl(d.ip, d.target, func(c *Control, id uint64) { c.announce(id, i) }, func(v any) { a, _ := v.(announced); end(bool(a)) })
	f.After(1_000_000, func() { end(false) })
	if f.Chance(f.lateCalls) {
		// The same word once more, late.
		c, at := d.target, f.Between(300_000, 3_000_000)
		f.After(at, func() {
			f.callControl(d.ip, c, func(c *Control, id uint64) { c.announce(id, i) }, func(any) {})
		})
	}
}

// endForGood is a planned end: the last word, then nobody is there.
func (d *DB) endForGood() {
	if !d.up || d.goneSent {
		return
	}
	f := d.f
	d.goneSent = true
	d.call++
	i := ports.Instance{ID: d.id, Leaving: true, Gone: true, Call: d.call}
	f.callControl(d.ip, f.controls[f.R.IntN(len(f.controls))], func(c *Control, id uint64) { c.announce(id, i) }, func(any) {})
	d.later(f.Between(200_000, 600_000), func() { f.remove(d) })
}

// remove takes a database out for good.
func (f *Fleet) remove(d *DB) {
	d.crash(false)
	d.ended = true
	if f.dbAt[d.addr] == d {
		delete(f.dbAt, d.addr)
	}
	d.group.dbs = slices.DeleteFunc(d.group.dbs, func(o *DB) bool { return o == d })
	f.say("%s is gone", d.id)
}

func (d *DB) String() string { return fmt.Sprintf("%s(%d, %v)", d.id, d.term, d.at(len(d.log))) }
