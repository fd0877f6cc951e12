package sessiontable

import (
	binheap "container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"stoneford/ports"
)

// event is something of the world that happens at a moment.
type event struct {
	at  int64
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// entry is one commit in a log.
type entry struct {
	pos ports.Position
	ids []string // the writes it keeps
}

// fakeConn is a connection as its database sees it.
type fakeConn struct {
	id       uint64
	d        *fakeDB
	closed   bool
	values   map[string]string
	prepared map[string]shapeKey
	tx       string // id of the beginning, "" for none
	plain    bool
	writes   []string
	broken   bool
	ops      []ports.Op
	running  bool
	silent   bool              // its answers are lost
	before   map[string]string // values before the transaction
	inAt     int64
	outAt    int64
}

// inOrder is the delay of the next on a connection, which keeps the order.
func (w *world) inOrder(at *int64) int64 {
	*at = max(*at, w.now+w.between(200, 900))
	return *at - w.now
}

// fakeDB is one database.
type fakeDB struct {
	w       *world
	id      string
	zone    string
	log     []entry
	applied int
	term    uint64 // it leads in, 0 for none
	held    bool
	alive   bool
	dark    bool
	leaving bool
	slots   int
	busy    int
	lag     int64
	conns   map[uint64]*fakeConn
	call    uint64
}

func (d *fakeDB) position() ports.Position {
	if d.applied == 0 {
		return ports.Position{}
	}
	return d.log[d.applied-1].pos
}

func (d *fakeDB) has(p ports.Position) bool {
	if !p.Known() {
		return true
	}
	n := int(p.Number)
	return d.applied >= n && (d.log[n-1].pos.Term == p.Term || d.position().Term > p.Term && d.log[n-1].pos.Term >= p.Term)
}

// truth is a statement as its caller asked it.
type truth struct {
	c      *client
	kind   ports.Kind
	tx     string // its transaction's beginning
	at     int64  // its arrival, or its transaction's
	values map[string]string
	shape  shapeKey
	route  ports.Route
	floor  ports.Position
	ran    int
	told   bool
	void   bool // its caller was told that nothing is kept
	code   ports.Code
}

type ack struct {
	at  int64
	pos ports.Position
}

// client is one caller.
type client struct {
	session  uint64
	host     string
	values   map[string]string
	prepared map[string]shapeKey
	tx       string
	txAt     int64
	state    ports.State
	asked    string // statement under way
	kind     ports.Kind
	pend     func() // what is in force once it is done
	floor    ports.Position
	left     bool
	writes   []string // of its transaction
	readOnly bool
}

// plan says what may go wrong in a world.
type plan struct {
	busy, lose, cut, silent, crash, changes, leave, cutOff, apart, brokenBegin bool
	forgets                                                                    bool // a rollback undoes values set in its transaction
	alone                                                                      bool // no other node commits
}

// world is a table among fake databases, callers and voters.
type world struct {
	t      testing.TB
	b      *Table
	r      *rand.Rand
	p      plan
	now    int64
	evs    events
	seq    int
	dbs    []*fakeDB
	fconns map[uint64]*fakeConn
	tr     map[string]*truth
	acks   []ack
	byID   map[uint64]*client
	next   uint64
	ids    int
	lead   ports.Leadership
	frozen bool // a change is under way
	cut    bool // looks get no returns
	leaseU int64
	given  int64 // newest lease given
	codes  map[ports.Code]int
	routes []ports.Route
	trace  []string
	follow int
	stopAt int64
	looked bool
	shuts  int
}

func (w *world) after(us int64, f func()) {
	w.seq++
	binheap.Push(&w.evs, event{w.now + max(us, 0), w.seq, f})
}

func (w *world) between(a, b int64) int64 { return a + w.r.Int64N(b-a+1) }
func (w *world) odds(n int) bool          { return w.r.IntN(n) == 0 }

func (w *world) note(f string, a ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%d ", w.now)+fmt.Sprintf(f, a...))
}

func (w *world) fatal(f string, a ...any) {
	w.t.Helper()
	w.t.Fatalf("at %d: %s\n%s", w.now, fmt.Sprintf(f, a...), joined(w.trace))
}

func joined(l []string) (s string) {
	for _, x := range l[max(0, len(l)-60):] {
		s += x + "\n"
	}
	return s
}

func newWorld(t testing.TB, seed uint64, p plan) *world {
	w := &world{
		t: t, r: rand.New(rand.NewPCG(seed, 7)), p: p, fconns: map[uint64]*fakeConn{}, tr: map[string]*truth{},
		byID: map[uint64]*client{}, codes: map[ports.Code]int{}, leaseU: 400_000, now: 1_000_000,
	}
	w.b = New(seed, "a", Options{LeaseUs: w.leaseU, BeginApart: p.apart})
	for i, id := range []string{"x", "y", "z"} {
		d := &fakeDB{w: w, id: id, zone: []string{"a", "b", "c"}[i], alive: true, slots: 4, lag: w.between(1_000, 40_000), conns: map[uint64]*fakeConn{}, call: 1}
		w.dbs = append(w.dbs, d)
	}
	w.dbs[0].term = 1
	w.lead = ports.Leadership{Revision: 1, Term: 1, Primary: "x", Phase: ports.PhaseOpen, ExpectUs: 600_000}
	w.routes = []ports.Route{
		{Name: "c", Host: "c", Prefix: "/", Kind: ports.Current, Group: "g", ExpiryUs: 2_000_000, AimUs: 300_000, Rank: 1},
		{Name: "b", Host: "b", Prefix: "/", Kind: ports.Bounded, Group: "g", ExpiryUs: 3_000_000, AimUs: 500_000, StaleUs: 500_000, Rank: 2},
		{Name: "p", Host: "p", Prefix: "/", Kind: ports.Pinned, Group: "g", ExpiryUs: 2_000_000, AimUs: 300_000, StaleUs: 900_000, Rank: 2},
	}
	return w
}

func (w *world) db(id string) *fakeDB {
	for _, d := range w.dbs {
		if d.id == id {
			return d
		}
	}
	return nil
}

// step gives the table events and does what it says.
func (w *world) step(evs ...any) {
	for _, e := range w.b.Step(w.now, evs...) {
		w.effect(e)
	}
	checkAll(w.t, w.b)
}

// runUntil plays the world up to a moment.
func (w *world) runUntil(end int64) {
	ticks := 0
	for {
		at := int64(math.MaxInt64)
		if len(w.evs) > 0 {
			at = w.evs[0].at
		}
		if d := w.b.Due(); d < at {
			at = max(d, w.now)
			if at > end {
				break
			}
			if at == w.now {
				if ticks++; ticks > 1000 {
					w.fatal("it is due again and again")
				}
			} else {
				ticks = 0
			}
			w.now = at
			w.step(Tick{})
			continue
		}
		if at > end {
			break
		}
		w.now = at
		e := binheap.Pop(&w.evs).(event)
		e.do()
	}
	w.now = end
}

func (w *world) effect(e Effect) {
	switch e := e.(type) {
	case Reply:
		w.reply(e)
	case Shut:
		w.shuts++
		c := w.byID[e.Session]
		if c == nil {
			w.fatal("session %d is shut and is none", e.Session)
		}
		if c.asked != "" {
			w.fatal("session %d is shut in the middle of a statement", e.Session)
		}
		delete(w.byID, e.Session)
		c.left = true
	case Connect:
		w.connect(e)
	case Send:
		fc := w.fconns[e.Conn]
		if fc == nil || fc.closed {
			return // broken, and the table is yet to learn it
		}
		if len(e.Ops) == 0 {
			w.fatal("nothing is sent")
		}
		for _, op := range e.Ops {
			if !op.Own {
				w.note("conn %d at %s: %s %d after %v", e.Conn, fc.d.id, op.St.ID, op.St.Kind, op.After)
			} else {
				w.note("conn %d at %s: own %d %s", e.Conn, fc.d.id, op.St.Kind, op.St.Name)
			}
		}
		w.after(w.inOrder(&fc.inAt), func() {
			if fc.closed {
				return
			}
			fc.ops = append(fc.ops, e.Ops...)
			fc.next()
		})
	case Close:
		fc := w.fconns[e.Conn]
		if fc != nil {
			w.note("conn %d is closed", e.Conn)
			w.after(w.between(200, 900), func() { fc.close() })
			delete(w.fconns, e.Conn)
		}
	case Look:
		if !w.looked {
			w.looked = true
			w.after(0, w.look)
		}
	}
}

func (w *world) connect(e Connect) {
	d := w.db(e.ID)
	w.after(w.between(1_000, 12_000), func() {
		switch {
		case d == nil || !d.alive:
			w.step(Connected{Conn: e.Conn, Err: "not there", NotThere: true})
		case d.dark:
			w.after(e.WaitUs, func() { w.step(Connected{Conn: e.Conn, Err: "silent"}) })
		case w.p.busy && w.odds(20):
			w.step(Connected{Conn: e.Conn, Err: "too many", Code: ports.TooMany})
		default:
			fc := &fakeConn{id: e.Conn, d: d, values: map[string]string{}, prepared: map[string]shapeKey{}}
			if w.p.silent && w.odds(30) {
				w.after(w.between(10_000, 400_000), func() { fc.silent = true })
			}
			d.conns[e.Conn] = fc
			w.fconns[e.Conn] = fc
			w.step(Connected{Conn: e.Conn, Position: d.position()})
		}
	})
}

// close rolls back what is open; what runs goes on to its end.
func (c *fakeConn) close() {
	c.closed = true
	c.tx, c.writes = "", nil
	delete(c.d.conns, c.id)
}

// cutNow breaks a connection from the database's side.
func (c *fakeConn) cutNow() {
	if c.closed {
		return
	}
	w := c.d.w
	c.close()
	if w.fconns[c.id] == c {
		delete(w.fconns, c.id)
		w.after(w.between(200, 900), func() { w.step(Lost{Conn: c.id, Err: "cut", Cut: true}) })
	}
}

func (c *fakeConn) next() {
	if c.running || len(c.ops) == 0 || c.closed {
		return
	}
	d, w := c.d, c.d.w
	if d.dark {
		w.after(50_000, c.next)
		return
	}
	op := c.ops[0]
	c.ops = c.ops[1:]
	slot := op.St.Kind == ports.Read || op.St.Kind == ports.Write || op.St.Kind == ports.Run || op.St.Kind == ports.Commit
	if !slot {
		c.answer(op, c.do(op))
		c.next()
		return
	}
	if d.busy >= d.slots || w.p.busy && w.odds(30) {
		an := ports.Answer{Code: ports.Busy, Text: "busy", Position: d.position(), State: c.state()}
		if c.broken {
			an.Code = ports.Malformed
		}
		if c.tx != "" && w.odds(2) {
			c.broken = true
			an.State = ports.Broken
		}
		c.answer(op, an)
		c.next()
		return
	}
	d.busy++
	c.running = true
	w.after(w.between(1_000, 9_000), func() {
		d.busy--
		c.running = false
		if !d.alive {
			return
		}
		if tr := w.tr[op.St.ID]; c.closed && tr != nil && tr.tx != "" {
			return // its transaction is gone
		}
		if d.dark {
			return
		}
		an := c.do(op)
		if w.p.lose && w.odds(150) {
			if w.odds(2) {
				c.silent = true
			} else {
				c.cutNow()
				return
			}
		}
		if an.Code == ports.Code(200) {
			return // never ends: no follower receives it
		}
		c.answer(op, an)
		c.next()
	})
}

func (c *fakeConn) state() ports.State {
	switch {
	case c.broken:
		return ports.Broken
	case c.tx != "":
		return ports.Open
	}
	return ports.Idle
}

func (c *fakeConn) answer(op ports.Op, an ports.Answer) {
	w := c.d.w
	if c.silent || c.closed {
		return
	}
	w.after(w.inOrder(&c.outAt), func() {
		if !c.closed && w.fconns[c.id] == c {
			w.step(Answered{Conn: c.id, Answer: an})
		}
	})
}

// do runs an op at the database.
func (c *fakeConn) do(op ports.Op) ports.Answer {
	d, w := c.d, c.d.w
	ok := func(stamped bool) ports.Answer {
		return ports.Answer{Stamped: stamped, Body: []byte(op.St.ID), State: c.state(), Position: d.position()}
	}
	bad := func(code ports.Code) ports.Answer {
		if c.tx != "" || op.St.Kind == ports.Begin || op.St.Kind == ports.BeginRead {
			if c.tx != "" || w.p.brokenBegin {
				c.broken = true
			}
		}
		return ports.Answer{Code: code, Text: "no", Body: []byte(op.St.ID), State: c.state(), Position: d.position()}
	}
	st := op.St
	if op.Own {
		switch st.Kind {
		case ports.Reset:
			c.values, c.prepared = map[string]string{}, map[string]shapeKey{}
		case ports.SetValue:
			c.values[st.Name] = st.Text
		case ports.Prepare:
			c.prepared[st.Name] = shapeKey{st.Writes, st.Text}
		case ports.Rollback:
			c.tx, c.writes, c.broken = "", nil, false
			if w.p.forgets && c.before != nil {
				c.values = c.before
			}
			c.before = nil
		default:
			w.fatal("own op %d", st.Kind)
		}
		return ok(false)
	}
	if c.broken {
		if st.Kind == ports.Commit {
			c.tx, c.writes, c.broken = "", nil, false
			if w.p.forgets && c.before != nil {
				c.values = c.before
			}
			c.before = nil
			return ports.Answer{Code: ports.RolledBack, Text: "failed before", State: ports.Idle, Position: d.position()}
		}
		return ports.Answer{Code: ports.Malformed, Text: "failed before", State: ports.Broken, Position: d.position()}
	}
	tr := w.tr[st.ID]
	if tr == nil {
		w.fatal("a statement runs that nobody asked: %s", st.ID)
	}
	if op.After.Known() && !d.has(op.After) {
		return bad(ports.Lagging)
	}
	if st.Kind == ports.Begin || st.Kind == ports.BeginRead {
		if c.tx != "" {
			w.fatal("%s begins inside %s", st.ID, c.tx)
		}
		if st.Kind == ports.Begin && d.term == 0 {
			return bad(ports.ReadOnly)
		}
		c.tx, c.plain, c.writes, c.before = st.ID, st.Kind == ports.Begin, nil, maps.Clone(c.values)
		return ok(false)
	}
	if c.tx != tr.tx {
		w.fatal("%s of transaction %q runs in %q on %d", st.ID, tr.tx, c.tx, c.id)
	}
	if c.tx != "" && c.plain && d.term == 0 && !(st.Kind == ports.Commit && len(c.writes) == 0) {
		return bad(ports.ReadOnly)
	}
	if st.Kind != ports.Commit && !maps.Equal(c.values, tr.values) {
		w.fatal("%s runs with %v and not %v on %d", st.ID, c.values, tr.values, c.id)
	}
	write := st.Kind == ports.Write
	if st.Kind == ports.Run {
		sh, is := c.prepared[op.Name]
		if !is || sh != tr.shape {
			w.fatal("%s runs %q as %v and not %v", st.ID, op.Name, sh, tr.shape)
		}
		write = sh.writes
	}
	if w.p.lose && w.odds(200) && st.Kind != ports.Commit {
		return bad(ports.Failed)
	}
	switch {
	case st.Kind == ports.Commit:
		ids := c.writes
		c.tx, c.writes, c.before = "", nil, nil
		if len(ids) == 0 {
			return ok(true)
		}
		return c.commit(op, ids)
	case write && c.tx != "":
		if !c.plain {
			return bad(ports.ReadOnly)
		}
		c.writes = append(c.writes, st.ID)
		return ok(true)
	case write:
		if d.term == 0 {
			return bad(ports.ReadOnly)
		}
		return c.commit(op, []string{st.ID})
	}
	w.fresh(d, st.ID, tr)
	return ok(true)
}

// commit keeps writes. It is acknowledged if a follower received it.
func (c *fakeConn) commit(op ports.Op, ids []string) ports.Answer {
	d, w := c.d, c.d.w
	if d.term == 0 {
		return ports.Answer{Code: ports.ReadOnly, Text: "no", State: c.state(), Position: d.position()}
	}
	if !d.append(ids) {
		return ports.Answer{Code: ports.Code(200)}
	}
	for _, id := range ids {
		if w.tr[id].ran++; w.tr[id].ran > 1 || w.tr[id].void {
			w.fatal("%s takes effect twice", id)
		}
	}
	return ports.Answer{Stamped: true, Body: []byte(op.St.ID), State: c.state(), Position: d.position()}
}

// append adds a commit to the primary's log and to a follower's.
func (d *fakeDB) append(ids []string) (received bool) {
	w := d.w
	e := entry{ports.Position{Term: d.term, Number: int64(len(d.log) + 1)}, ids}
	d.log = append(d.log[:len(d.log):len(d.log)], e)
	d.applied = len(d.log)
	for _, f := range w.dbs {
		if f == d || !f.alive || f.dark || f.held || f.term > d.term || len(f.log) > len(d.log) {
			continue
		}
		if f.follows(d) {
			received = true
		}
	}
	return received
}

// follows has a follower receive the primary's log, and apply it later.
func (f *fakeDB) follows(d *fakeDB) bool {
	w := f.w
	if len(f.log) > 0 && !d.has(f.log[len(f.log)-1].pos) && len(f.log) > f.common(d) {
		return false
	}
	f.log = d.log
	n := len(d.log)
	w.after(w.between(f.lag/2, f.lag+1), func() {
		if f.alive && f.term == 0 && len(f.log) >= n && f.applied < n {
			f.applied = n
		}
	})
	return true
}

// common is how far two logs are the same.
func (f *fakeDB) common(d *fakeDB) int {
	n := min(len(f.log), len(d.log))
	for n > 0 && f.log[n-1].pos != d.log[n-1].pos {
		n--
	}
	return n
}

// fresh holds a read to what its route promises.
func (w *world) fresh(d *fakeDB, id string, tr *truth) {
	lim := tr.at
	if tr.route.Kind != ports.Current {
		lim -= tr.route.StaleUs
	}
	if w.lead.Primary != d.id {
		w.follow++
	}
	need := tr.floor
	if tr.route.Kind != ports.Pinned {
		need = ports.Position{}
	}
	for i := len(w.acks) - 1; i >= 0; i-- {
		if a := w.acks[i]; a.at < lim {
			if need.Before(a.pos) {
				need = a.pos
			}
		}
	}
	if need.Known() && (d.applied < int(need.Number) || d.log[need.Number-1].pos != need) {
		w.fatal("%s (kind %d, came %d) reads stale at %s: it stands at %v and %v was acknowledged", id, tr.route.Kind, tr.at, d.id, d.position(), need)
	}
}

func (w *world) acked(pos ports.Position) { w.acks = append(w.acks, ack{w.now, pos}) }

// others commits for the other nodes.
func (w *world) others() {
	w.after(w.between(1_000, 15_000), w.others)
	d := w.db(w.lead.Primary)
	if w.frozen || d == nil || !d.alive || d.dark || d.term != w.lead.Term || w.lead.Phase != ports.PhaseOpen {
		return
	}
	if d.append([]string{}) {
		pos := d.position()
		w.after(w.between(200, 3_000), func() { w.acked(pos) })
	}
}

// look asks the voters.
func (w *world) look() {
	sent := w.now
	w.after(w.between(500, 5_000), func() {
		if w.cut {
			w.looked = false
			return
		}
		l := w.lead
		until := sent + w.leaseU
		w.given = max(w.given, until)
		ins := []ports.Instance{}
		for _, d := range w.dbs {
			ins = append(ins, ports.Instance{ID: d.id, Group: "g", Address: d.id, Zone: d.zone, Capacity: d.slots, Leaving: d.leaving, Primary: d.term > 0, Call: d.call})
		}
		doubt := w.odds(20)
		w.after(w.between(500, 5_000), func() {
			w.looked = false
			w.step(View{
				Groups: map[string]GroupView{"g": {Leadership: l, Doubt: doubt}}, Instances: ins, LeaseUntil: until, Nodes: 3,
			})
		})
	})
}

func (w *world) looks() {
	w.after(w.between(100_000, 300_000), w.looks)
	w.look()
}

// change replaces the primary as the voters do (design 14.6).
func (w *world) change(crash bool) {
	if w.frozen {
		return
	}
	w.frozen = true
	if w.p.cutOff && w.odds(2) {
		// This node hears nothing of it.
		w.cut = true
		w.after(w.between(600_000, 2_500_000), func() { w.cut = false })
	}
	old := w.db(w.lead.Primary)
	agree := func(p ports.Phase) {
		w.lead.Revision++
		w.lead.Phase = p
		w.note("phase %d of term %d", p, w.lead.Term)
	}
	seal := func() {
		agree(ports.PhaseSealing)
		sealed := w.now
		w.after(w.between(5_000, 50_000), func() {
			var best *fakeDB
			for _, d := range w.dbs {
				if d == old {
					continue
				}
				d.held = true
				if best == nil || len(d.log) > len(best.log) {
					best = d
				}
			}
			agree(ports.PhasePromoting)
			w.after(w.between(50_000, 300_000), func() {
				best.term = w.lead.Term + 1
				best.applied = len(best.log)
				best.held = false
				w.after(max(sealed+w.leaseU*11/10-w.now, 1_000), func() {
					w.lead.Term, w.lead.Primary = best.term, best.id
					agree(ports.PhaseOpen)
					w.note("%s leads term %d", best.id, best.term)
					w.after(w.between(1_000, 30_000), func() {
						for _, d := range w.dbs {
							if d != best {
								d.held, d.term = false, 0
								n := d.common(best)
								d.log = d.log[:n:n]
								d.applied = min(d.applied, n)
								if d.alive {
									d.follows(best)
								}
							}
						}
						w.frozen = false
					})
				})
			})
		})
	}
	if crash {
		seal()
		return
	}
	agree(ports.PhaseClosing)
	w.after(w.between(50_000, 200_000), seal)
}

func (d *fakeDB) crash() {
	w := d.w
	if !d.alive || w.frozen {
		return
	}
	for _, o := range w.dbs {
		if !o.alive || o.dark {
			return
		}
	}
	w.note("%s crashes", d.id)
	d.alive = false
	if w.odds(2) {
		d.dark = true
	}
	for _, id := range slices.Sorted(maps.Keys(d.conns)) {
		c := d.conns[id]
		if d.dark {
			c.close()
			fc := c
			w.after(w.between(1_000_000, 3_000_000), func() {
				if w.fconns[fc.id] == fc {
					delete(w.fconns, fc.id)
					w.step(Lost{Conn: fc.id, Err: "silent"})
				}
			})
		} else {
			c.cutNow()
		}
	}
	if w.lead.Primary == d.id {
		w.after(w.between(100_000, 700_000), func() { w.change(true) })
	}
	w.after(w.between(1_500_000, 3_000_000), func() {
		d.alive, d.dark, d.busy = true, false, 0
		w.note("%s is back", d.id)
		if d.term == 0 {
			if p := w.db(w.lead.Primary); p != nil && p.alive && !d.held && p.term > 0 {
				n := d.common(p)
				d.log = d.log[:n:n]
				d.applied = min(d.applied, n)
				d.follows(p)
			}
		}
	})
}
