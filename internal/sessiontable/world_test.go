package sessiontable

import (
	binheap "container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"stoneford/internal/ports"
)

// event is something of the world that happens at a moment.
type event struct {
	at  int64
	seq int
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

// entry is one commit in a log.
type entry struct {
	position ports.Position
	ids      []string // the writes it keeps
}

// fakeConn is a connection as its database sees it.
type fakeConn struct {
	id           uint64
	db           *fakeDB
	closed       bool
	values       map[string]string
	prepared     map[string]shapeKey
	tx           string // id of the beginning, "" for none
	plain        bool
	writes       []string
	broken       bool
	ops          []ports.Op
	running      bool
	unresponsive bool              // its answers are lost
	before       map[string]string // values before the transaction
	inAt         int64
	outAt        int64
}

// inOrder is the delay of the next on a connection, which keeps the order.
func (env *environment) inOrder(at *int64) int64 {
	*at = max(*at, env.now+env.between(200, 900))
	return *at - env.now
}

// fakeDB is one database.
type fakeDB struct {
	env          *environment
	id           string
	zone         string
	log          []entry
	applied      int
	term         uint64 // it leads in, 0 for none
	frozen       bool
	alive        bool
	unresponsive bool
	draining     bool
	slots        int
	busy         int
	lag          int64
	conns        map[uint64]*fakeConn
	call         uint64
}

func (db *fakeDB) position() ports.Position {
	if db.applied == 0 {
		return ports.Position{}
	}
	return db.log[db.applied-1].position
}

func (db *fakeDB) has(p ports.Position) bool {
	if !p.Known() {
		return true
	}
	n := int(p.Number)
	return db.applied >= n && (db.log[n-1].position.Term == p.Term || db.position().Term > p.Term && db.log[n-1].position.Term >= p.Term)
}

// oracle is a statement as its caller asked it.
type oracle struct {
	client           *client
	kind             ports.StatementKind
	tx               string // its transaction's beginning
	at               int64  // its arrival, or its transaction's
	values           map[string]string
	shape            shapeKey
	route            ports.Route
	floor            ports.Position
	ran              int
	answered         bool
	nothingCommitted bool // its caller was told that nothing is kept
	code             ports.Code
}

type acknowledgement struct {
	at       int64
	position ports.Position
}

// client is one caller.
type client struct {
	session     uint64
	host        string
	values      map[string]string
	prepared    map[string]shapeKey
	tx          string
	txAt        int64
	state       ports.TransactionState
	statementID string // statement under way
	kind        ports.StatementKind
	onDone      func() // what is in force once it is done
	floor       ports.Position
	closed      bool
	writes      []string // of its transaction
	readOnly    bool
}

// faultPlan says what may go wrong in a world.
type faultPlan struct {
	busy, loseAnswers, cutConnections, unresponsive, crash, primaryChanges, drain, partitioned, separateBegin, brokenBegin bool
	rollbackRestoresValues                                                                                                 bool // a rollback undoes values set in its transaction
	onlyThisNode                                                                                                           bool // no other node commits
}

// environment is a table among fake databases, callers and voters.
type environment struct {
	t               testing.TB
	table           *Table
	rand            *rand.Rand
	faults          faultPlan
	now             int64
	events          events
	seq             int
	dbs             []*fakeDB
	connections     map[uint64]*fakeConn
	oracles         map[string]*oracle
	acks            []acknowledgement
	clients         map[uint64]*client
	lastSession     uint64
	ids             int
	leadership      ports.Leadership
	primaryChanging bool // a change is under way
	partitioned     bool // looks get no returns
	leaseUs         int64
	leaseGivenUntil int64 // newest lease given
	codes           map[ports.Code]int
	routes          []ports.Route
	trace           []string
	replicaReads    int
	stopAt          int64
	leaseRequested  bool
	sessionsClosed  int
}

func (env *environment) after(durationUs int64, f func()) {
	env.seq++
	binheap.Push(&env.events, event{env.now + max(durationUs, 0), env.seq, f})
}

func (env *environment) between(a, b int64) int64 { return a + env.rand.Int64N(b-a+1) }
func (env *environment) odds(n int) bool          { return env.rand.IntN(n) == 0 }

func (env *environment) logf(f string, a ...any) {
	env.trace = append(env.trace, fmt.Sprintf("%d ", env.now)+fmt.Sprintf(f, a...))
}

func (env *environment) fatal(f string, a ...any) {
	env.t.Helper()
	env.t.Fatalf("at %d: %s\n%s", env.now, fmt.Sprintf(f, a...), joined(env.trace))
}

func joined(l []string) (s string) {
	for _, x := range l[max(0, len(l)-60):] {
		s += x + "\n"
	}
	return s
}

func newEnvironment(t testing.TB, seed uint64, p faultPlan) *environment {
	env := &environment{
		t: t, rand: rand.New(rand.NewPCG(seed, 7)), faults: p, connections: map[uint64]*fakeConn{}, oracles: map[string]*oracle{},
		clients: map[uint64]*client{}, codes: map[ports.Code]int{}, leaseUs: 400_000, now: 1_000_000,
	}
	env.table = New(seed, "a", Options{Lease: time.Duration(env.leaseUs) * time.Microsecond, SeparateBegin: p.separateBegin})
	for i, id := range []string{"x", "y", "z"} {
		db := &fakeDB{env: env, id: id, zone: []string{"a", "b", "c"}[i], alive: true, slots: 4, lag: env.between(1_000, 40_000), conns: map[uint64]*fakeConn{}, call: 1}
		env.dbs = append(env.dbs, db)
	}
	env.dbs[0].term = 1
	env.leadership = ports.Leadership{Revision: 1, Term: 1, Primary: "x", Phase: ports.PhaseServing, LastFailoverUs: 600_000}
	env.routes = []ports.Route{
		{Name: "c", Host: "c", Prefix: "/", Class: ports.CurrentRead, Group: "g", TimeoutUs: 2_000_000, LatencyTargetUs: 300_000, Rank: 1},
		{Name: "b", Host: "b", Prefix: "/", Class: ports.BoundedStaleness, Group: "g", TimeoutUs: 3_000_000, LatencyTargetUs: 500_000, MaxStalenessUs: 500_000, Rank: 2},
		{Name: "p", Host: "p", Prefix: "/", Class: ports.ReadYourWrites, Group: "g", TimeoutUs: 2_000_000, LatencyTargetUs: 300_000, MaxStalenessUs: 900_000, Rank: 2},
	}
	return env
}

func (env *environment) db(id string) *fakeDB {
	for _, db := range env.dbs {
		if db.id == id {
			return db
		}
	}
	return nil
}

// step gives the table events and does what it says.
func (env *environment) step(events ...Event) {
	for _, e := range env.table.Step(env.now, events...) {
		env.effect(e)
	}
	checkAll(env.t, env.table)
}

// runUntil plays the world up to a moment.
func (env *environment) runUntil(end int64) {
	ticks := 0
	for {
		at := int64(math.MaxInt64)
		if len(env.events) > 0 {
			at = env.events[0].at
		}
		if d := env.table.Due(); d < at {
			at = max(d, env.now)
			if at > end {
				break
			}
			if at == env.now {
				if ticks++; ticks > 1000 {
					env.fatal("it is due again and again")
				}
			} else {
				ticks = 0
			}
			env.now = at
			env.step(Tick{})
			continue
		}
		if at > end {
			break
		}
		env.now = at
		e := binheap.Pop(&env.events).(event)
		e.do()
	}
	env.now = end
}

func (env *environment) effect(e Effect) {
	switch e := e.(type) {
	case Reply:
		env.reply(e)
	case CloseSession:
		env.sessionsClosed++
		c := env.clients[e.Session]
		if c == nil {
			env.fatal("session %d is shut and is none", e.Session)
		}
		if c.statementID != "" {
			env.fatal("session %d is shut in the middle of a statement", e.Session)
		}
		delete(env.clients, e.Session)
		c.closed = true
	case Connect:
		env.connect(e)
	case Send:
		conn := env.connections[e.Conn]
		if conn == nil || conn.closed {
			return // broken, and the table is yet to learn it
		}
		if len(e.Ops) == 0 {
			env.fatal("nothing is sent")
		}
		for _, op := range e.Ops {
			if !op.Internal {
				env.logf("conn %d at %s: %s %d after %v", e.Conn, conn.db.id, op.Statement.ID, op.Statement.Kind, op.After)
			} else {
				env.logf("conn %d at %s: own %d %s", e.Conn, conn.db.id, op.Statement.Kind, op.Statement.Name)
			}
		}
		env.after(env.inOrder(&conn.inAt), func() {
			if conn.closed {
				return
			}
			conn.ops = append(conn.ops, e.Ops...)
			conn.next()
		})
	case CloseConnection:
		conn := env.connections[e.Conn]
		if conn != nil {
			env.logf("conn %d is closed", e.Conn)
			env.after(env.between(200, 900), func() { conn.close() })
			delete(env.connections, e.Conn)
		}
	case RenewLease:
		if !env.leaseRequested {
			env.leaseRequested = true
			env.after(0, env.renewLease)
		}
	}
}

func (env *environment) connect(e Connect) {
	db := env.db(e.ID)
	env.after(env.between(1_000, 12_000), func() {
		switch {
		case db == nil || !db.alive:
			env.step(ConnectEnded{Conn: e.Conn, Err: "not there", ConnectionRefused: true})
		case db.unresponsive:
			env.after(e.WaitUs, func() { env.step(ConnectEnded{Conn: e.Conn, Err: "silent"}) })
		case env.faults.busy && env.odds(20):
			env.step(ConnectEnded{Conn: e.Conn, Err: "too many", Code: ports.TooManyConnections})
		default:
			conn := &fakeConn{id: e.Conn, db: db, values: map[string]string{}, prepared: map[string]shapeKey{}}
			if env.faults.unresponsive && env.odds(30) {
				env.after(env.between(10_000, 400_000), func() { conn.unresponsive = true })
			}
			db.conns[e.Conn] = conn
			env.connections[e.Conn] = conn
			env.step(ConnectEnded{Conn: e.Conn, Position: db.position()})
		}
	})
}

// close rolls back what is open; what runs goes on to its end.
func (c *fakeConn) close() {
	c.closed = true
	c.tx, c.writes = "", nil
	delete(c.db.conns, c.id)
}

// disconnect breaks a connection from the database's side.
func (c *fakeConn) disconnect() {
	if c.closed {
		return
	}
	env := c.db.env
	c.close()
	if env.connections[c.id] == c {
		delete(env.connections, c.id)
		env.after(env.between(200, 900), func() { env.step(ConnectionLost{Conn: c.id, Err: "cut", Disconnected: true}) })
	}
}

func (c *fakeConn) next() {
	if c.running || len(c.ops) == 0 || c.closed {
		return
	}
	db, env := c.db, c.db.env
	if db.unresponsive {
		env.after(50_000, c.next)
		return
	}
	op := c.ops[0]
	c.ops = c.ops[1:]
	slot := op.Statement.Kind == ports.Read || op.Statement.Kind == ports.Write || op.Statement.Kind == ports.Execute || op.Statement.Kind == ports.Commit
	if !slot {
		c.answer(op, c.do(op))
		c.next()
		return
	}
	if db.busy >= db.slots || env.faults.busy && env.odds(30) {
		answer := ports.Response{Code: ports.Busy, Text: "busy", Position: db.position(), State: c.state()}
		if c.broken {
			answer.Code = ports.Malformed
		}
		if c.tx != "" && env.odds(2) {
			c.broken = true
			answer.State = ports.TransactionFailed
		}
		c.answer(op, answer)
		c.next()
		return
	}
	db.busy++
	c.running = true
	env.after(env.between(1_000, 9_000), func() {
		db.busy--
		c.running = false
		if !db.alive {
			return
		}
		if expected := env.oracles[op.Statement.ID]; c.closed && expected != nil && expected.tx != "" {
			return // its transaction is gone
		}
		if db.unresponsive {
			return
		}
		answer := c.do(op)
		if env.faults.loseAnswers && env.odds(150) {
			if env.odds(2) {
				c.unresponsive = true
			} else {
				c.disconnect()
				return
			}
		}
		if answer.Code == ports.Code(200) {
			return // never ends: no follower receives it
		}
		c.answer(op, answer)
		c.next()
	})
}

func (c *fakeConn) state() ports.TransactionState {
	switch {
	case c.broken:
		return ports.TransactionFailed
	case c.tx != "":
		return ports.InTransaction
	}
	return ports.Idle
}

func (c *fakeConn) answer(op ports.Op, answer ports.Response) {
	env := c.db.env
	if c.unresponsive || c.closed {
		return
	}
	env.after(env.inOrder(&c.outAt), func() {
		if !c.closed && env.connections[c.id] == c {
			env.step(AnswerReceived{Conn: c.id, Answer: answer})
		}
	})
}

// do runs an op at the database.
func (c *fakeConn) do(op ports.Op) ports.Response {
	db, env := c.db, c.db.env
	ok := func(stamped bool) ports.Response {
		return ports.Response{Stamped: stamped, Body: []byte(op.Statement.ID), State: c.state(), Position: db.position()}
	}
	bad := func(code ports.Code) ports.Response {
		if c.tx != "" || op.Statement.Kind == ports.Begin || op.Statement.Kind == ports.BeginRead {
			if c.tx != "" || env.faults.brokenBegin {
				c.broken = true
			}
		}
		return ports.Response{Code: code, Text: "no", Body: []byte(op.Statement.ID), State: c.state(), Position: db.position()}
	}
	statement := op.Statement
	if op.Internal {
		switch statement.Kind {
		case ports.Reset:
			c.values, c.prepared = map[string]string{}, map[string]shapeKey{}
		case ports.SetValue:
			c.values[statement.Name] = statement.Text
		case ports.Prepare:
			c.prepared[statement.Name] = shapeKey{statement.Writes, statement.Text}
		case ports.Rollback:
			c.tx, c.writes, c.broken = "", nil, false
			if env.faults.rollbackRestoresValues && c.before != nil {
				c.values = c.before
			}
			c.before = nil
		default:
			env.fatal("own op %d", statement.Kind)
		}
		return ok(false)
	}
	if c.broken {
		if statement.Kind == ports.Commit {
			c.tx, c.writes, c.broken = "", nil, false
			if env.faults.rollbackRestoresValues && c.before != nil {
				c.values = c.before
			}
			c.before = nil
			return ports.Response{Code: ports.RolledBack, Text: "failed before", State: ports.Idle, Position: db.position()}
		}
		return ports.Response{Code: ports.Malformed, Text: "failed before", State: ports.TransactionFailed, Position: db.position()}
	}
	expected := env.oracles[statement.ID]
	if expected == nil {
		env.fatal("a statement runs that nobody asked: %s", statement.ID)
	}
	if op.After.Known() && !db.has(op.After) {
		return bad(ports.Lagging)
	}
	if statement.Kind == ports.Begin || statement.Kind == ports.BeginRead {
		if c.tx != "" {
			env.fatal("%s begins inside %s", statement.ID, c.tx)
		}
		if statement.Kind == ports.Begin && db.term == 0 {
			return bad(ports.ReadOnly)
		}
		c.tx, c.plain, c.writes, c.before = statement.ID, statement.Kind == ports.Begin, nil, maps.Clone(c.values)
		return ok(false)
	}
	if c.tx != expected.tx {
		env.fatal("%s of transaction %q runs in %q on %d", statement.ID, expected.tx, c.tx, c.id)
	}
	if c.tx != "" && c.plain && db.term == 0 && !(statement.Kind == ports.Commit && len(c.writes) == 0) {
		return bad(ports.ReadOnly)
	}
	if statement.Kind != ports.Commit && !maps.Equal(c.values, expected.values) {
		env.fatal("%s runs with %v and not %v on %d", statement.ID, c.values, expected.values, c.id)
	}
	write := statement.Kind == ports.Write
	if statement.Kind == ports.Execute {
		sh, is := c.prepared[op.Name]
		if !is || sh != expected.shape {
			env.fatal("%s runs %q as %v and not %v", statement.ID, op.Name, sh, expected.shape)
		}
		write = sh.writes
	}
	if env.faults.loseAnswers && env.odds(200) && statement.Kind != ports.Commit {
		return bad(ports.Failed)
	}
	switch {
	case statement.Kind == ports.Commit:
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
		c.writes = append(c.writes, statement.ID)
		return ok(true)
	case write:
		if db.term == 0 {
			return bad(ports.ReadOnly)
		}
		return c.commit(op, []string{statement.ID})
	}
	env.checkFreshness(db, statement.ID, expected)
	return ok(true)
}

// commit keeps writes. It is acknowledged if a follower received it.
func (c *fakeConn) commit(op ports.Op, ids []string) ports.Response {
	db, env := c.db, c.db.env
	if db.term == 0 {
		return ports.Response{Code: ports.ReadOnly, Text: "no", State: c.state(), Position: db.position()}
	}
	if !db.append(ids) {
		return ports.Response{Code: ports.Code(200)}
	}
	for _, id := range ids {
		if env.oracles[id].ran++; env.oracles[id].ran > 1 || env.oracles[id].nothingCommitted {
			env.fatal("%s takes effect twice", id)
		}
	}
	return ports.Response{Stamped: true, Body: []byte(op.Statement.ID), State: c.state(), Position: db.position()}
}

// append adds a commit to the primary's log and to a follower's.
func (db *fakeDB) append(ids []string) (received bool) {
	env := db.env
	e := entry{ports.Position{Term: db.term, Number: int64(len(db.log) + 1)}, ids}
	db.log = append(db.log[:len(db.log):len(db.log)], e)
	db.applied = len(db.log)
	for _, f := range env.dbs {
		if f == db || !f.alive || f.unresponsive || f.frozen || f.term > db.term || len(f.log) > len(db.log) {
			continue
		}
		if f.follows(db) {
			received = true
		}
	}
	return received
}

// follows has a follower receive the primary's log, and apply it later.
func (replica *fakeDB) follows(db *fakeDB) bool {
	env := replica.env
	if len(replica.log) > 0 && !db.has(replica.log[len(replica.log)-1].position) && len(replica.log) > replica.common(db) {
		return false
	}
	replica.log = db.log
	n := len(db.log)
	env.after(env.between(replica.lag/2, replica.lag+1), func() {
		if replica.alive && replica.term == 0 && len(replica.log) >= n && replica.applied < n {
			replica.applied = n
		}
	})
	return true
}

// common is how far two logs are the same.
func (replica *fakeDB) common(db *fakeDB) int {
	n := min(len(replica.log), len(db.log))
	for n > 0 && replica.log[n-1].position != db.log[n-1].position {
		n--
	}
	return n
}

// checkFreshness holds a read to what its route promises.
func (env *environment) checkFreshness(db *fakeDB, id string, expected *oracle) {
	lim := expected.at
	if expected.route.Class != ports.CurrentRead {
		lim -= expected.route.MaxStalenessUs
	}
	if env.leadership.Primary != db.id {
		env.replicaReads++
	}
	need := expected.floor
	if expected.route.Class != ports.ReadYourWrites {
		need = ports.Position{}
	}
	for i := len(env.acks) - 1; i >= 0; i-- {
		if a := env.acks[i]; a.at < lim {
			if need.Before(a.position) {
				need = a.position
			}
		}
	}
	if need.Known() && (db.applied < int(need.Number) || db.log[need.Number-1].position != need) {
		env.fatal("%s (kind %d, came %d) reads stale at %s: it stands at %v and %v was acknowledged", id, expected.route.Class, expected.at, db.id, db.position(), need)
	}
}

func (env *environment) recordAcknowledged(pos ports.Position) {
	env.acks = append(env.acks, acknowledgement{env.now, pos})
}

// commitOfOtherNodes commits for the other nodes.
func (env *environment) commitOfOtherNodes() {
	env.after(env.between(1_000, 15_000), env.commitOfOtherNodes)
	db := env.db(env.leadership.Primary)
	if env.primaryChanging || db == nil || !db.alive || db.unresponsive || db.term != env.leadership.Term || env.leadership.Phase != ports.PhaseServing {
		return
	}
	if db.append([]string{}) {
		pos := db.position()
		env.after(env.between(200, 3_000), func() { env.recordAcknowledged(pos) })
	}
}

// renewLease asks the voters.
func (env *environment) renewLease() {
	sent := env.now
	env.after(env.between(500, 5_000), func() {
		if env.partitioned {
			env.leaseRequested = false
			return
		}
		l := env.leadership
		until := sent + env.leaseUs
		env.leaseGivenUntil = max(env.leaseGivenUntil, until)
		instances := []ports.Instance{}
		for _, db := range env.dbs {
			instances = append(instances, ports.Instance{ID: db.id, Group: "g", Address: db.id, Zone: db.zone, Capacity: db.slots, Draining: db.draining, Primary: db.term > 0, AnnouncementNumber: db.call})
		}
		doubt := env.odds(20)
		env.after(env.between(500, 5_000), func() {
			env.leaseRequested = false
			env.step(Update{
				Groups: map[string]GroupState{"g": {Leadership: l, Unconfirmed: doubt}}, Instances: instances, LeaseUntil: until, Nodes: 3,
			})
		})
	})
}

func (env *environment) renewLeasePeriodically() {
	env.after(env.between(100_000, 300_000), env.renewLeasePeriodically)
	env.renewLease()
}

// changePrimary replaces the primary as the voters do (design 14.6).
func (env *environment) changePrimary(crash bool) {
	if env.primaryChanging {
		return
	}
	env.primaryChanging = true
	if env.faults.partitioned && env.odds(2) {
		// This node hears nothing of it.
		env.partitioned = true
		env.after(env.between(600_000, 2_500_000), func() { env.partitioned = false })
	}
	old := env.db(env.leadership.Primary)
	agree := func(p ports.Phase) {
		env.leadership.Revision++
		env.leadership.Phase = p
		env.logf("phase %d of term %d", p, env.leadership.Term)
	}
	seal := func() {
		agree(ports.PhaseFreezing)
		sealed := env.now
		env.after(env.between(5_000, 50_000), func() {
			var best *fakeDB
			for _, db := range env.dbs {
				if db == old {
					continue
				}
				db.frozen = true
				if best == nil || len(db.log) > len(best.log) {
					best = db
				}
			}
			agree(ports.PhasePromoting)
			env.after(env.between(50_000, 300_000), func() {
				best.term = env.leadership.Term + 1
				best.applied = len(best.log)
				best.frozen = false
				env.after(max(sealed+env.leaseUs*11/10-env.now, 1_000), func() {
					env.leadership.Term, env.leadership.Primary = best.term, best.id
					agree(ports.PhaseServing)
					env.logf("%s leads term %d", best.id, best.term)
					env.after(env.between(1_000, 30_000), func() {
						for _, db := range env.dbs {
							if db != best {
								db.frozen, db.term = false, 0
								n := db.common(best)
								db.log = db.log[:n:n]
								db.applied = min(db.applied, n)
								if db.alive {
									db.follows(best)
								}
							}
						}
						env.primaryChanging = false
					})
				})
			})
		})
	}
	if crash {
		seal()
		return
	}
	agree(ports.PhaseDraining)
	env.after(env.between(50_000, 200_000), seal)
}

func (db *fakeDB) crash() {
	env := db.env
	if !db.alive || env.primaryChanging {
		return
	}
	for _, o := range env.dbs {
		if !o.alive || o.unresponsive {
			return
		}
	}
	env.logf("%s crashes", db.id)
	db.alive = false
	if env.odds(2) {
		db.unresponsive = true
	}
	for _, id := range slices.Sorted(maps.Keys(db.conns)) {
		c := db.conns[id]
		if db.unresponsive {
			c.close()
			conn := c
			env.after(env.between(1_000_000, 3_000_000), func() {
				if env.connections[conn.id] == conn {
					delete(env.connections, conn.id)
					env.step(ConnectionLost{Conn: conn.id, Err: "silent"})
				}
			})
		} else {
			c.disconnect()
		}
	}
	if env.leadership.Primary == db.id {
		env.after(env.between(100_000, 700_000), func() { env.changePrimary(true) })
	}
	env.after(env.between(1_500_000, 3_000_000), func() {
		db.alive, db.unresponsive, db.busy = true, false, 0
		env.logf("%s is back", db.id)
		if db.term == 0 {
			if p := env.db(env.leadership.Primary); p != nil && p.alive && !db.frozen && p.term > 0 {
				n := db.common(p)
				db.log = db.log[:n:n]
				db.applied = min(db.applied, n)
				db.follows(p)
			}
		}
	})
}
