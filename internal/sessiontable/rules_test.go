package sessiontable

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"testing"

	"stoneford/internal/ports"
)

// bench is a table driven by hand: x leads, y and z follow.
type bench struct {
	t         *testing.T
	table     *Table
	now       int64
	view      GroupState
	instances []ports.Instance
	routes    ports.RoutingTable
	effects   []Effect
	id        int
}

func newBench(t *testing.T, o Options) *bench {
	bench := &bench{t: t, now: 10_000_000, table: New(1, "a", o)}
	bench.view = GroupState{Leadership: ports.Leadership{Revision: 1, Term: 1, Primary: "x", Phase: ports.PhaseServing}}
	for _, n := range []string{"x", "y", "z"} {
		bench.instances = append(bench.instances, ports.Instance{ID: n, Group: "g", Address: n, Zone: "a", Capacity: 4, AnnouncementNumber: 1})
	}
	bench.routes = ports.RoutingTable{
		Revision: 1,
		Routes: []ports.Route{
			{Name: "c", Host: "c", Class: ports.CurrentRead, Group: "g", TimeoutUs: 2_000_000, LatencyTargetUs: 300_000, Rank: 1},
			{Name: "first", Host: "first", Class: ports.CurrentRead, Group: "g", TimeoutUs: 2_000_000, LatencyTargetUs: 300_000},
			{Name: "b", Host: "b", Class: ports.BoundedStaleness, Group: "g", TimeoutUs: 3_000_000, LatencyTargetUs: 500_000, MaxStalenessUs: 500_000, Rank: 2},
			{Name: "p", Host: "p", Class: ports.ReadYourWrites, Group: "g", TimeoutUs: 2_000_000, LatencyTargetUs: 300_000, MaxStalenessUs: 900_000, Rank: 2},
		},
		Groups: []ports.Group{{Name: "g", ConnectionLimit: 65, RequiredReplicaAcks: 1}},
		Limits: ports.Limits{TransactionIdleTimeoutUs: 3_000_000},
	}
	bench.renewLease(1_000_000)
	return bench
}

func (b *bench) step(events ...Event) []Effect {
	b.effects = b.table.Step(b.now, events...)
	checkAll(b.t, b.table)
	return b.effects
}

// renewLease brings a view that holds for so long.
func (b *bench) renewLease(durationUs int64) {
	tab := b.routes
	b.step(Update{Table: &tab, Groups: map[string]GroupState{"g": b.view}, Instances: slices.Clone(b.instances), LeaseUntil: b.now + durationUs, Nodes: 1})
}

// pass lets time go by, up to a moment, with the ticks that are due.
func (b *bench) pass(durationUs int64) (out []Effect) {
	end := b.now + durationUs
	for b.table.Due() <= end {
		b.now = max(b.table.Due(), b.now)
		out = append(out, b.step(Tick{})...)
	}
	b.now = end
	return append(out, b.step(Tick{})...)
}

func (b *bench) open(s uint64, host string) {
	b.t.Helper()
	b.step(SessionOpened{Session: s, Host: host})
	if r := b.reply(); r.Code != ports.Done || r.State != ports.Idle {
		b.t.Fatalf("session %d opens with %+v", s, r)
	}
}

func (b *bench) send(s uint64, k ports.StatementKind, words ...string) []Effect {
	b.id++
	statement := ports.Statement{ID: statementID(b.id), Kind: k}
	if len(words) > 0 {
		statement.Name = words[0]
	}
	if len(words) > 1 {
		statement.Text = words[1]
	}
	statement.Writes = len(words) > 2
	return b.step(StatementReceived{Session: s, Statement: statement})
}

// statementID is the ID of the bench's n-th statement.
func statementID(n int) string { return "s" + strconv.Itoa(n) }

func find[T any](out []Effect) (l []T) {
	for _, e := range out {
		if e, ok := e.(T); ok {
			l = append(l, e)
		}
	}
	return l
}

func (b *bench) reply() Reply {
	b.t.Helper()
	l := find[Reply](b.effects)
	if len(l) != 1 {
		b.t.Fatalf("%d replies in %+v", len(l), b.effects)
	}
	return l[0]
}

func (b *bench) expectReply(c ports.Code, s ports.TransactionState) {
	b.t.Helper()
	if r := b.reply(); r.Code != c || r.State != s {
		b.t.Fatalf("replied %d %q in state %d, not %d in %d", r.Code, r.Text, r.State, c, s)
	}
}

// connects ends the connects just asked for.
func (b *bench) connects() {
	b.t.Helper()
	l := find[Connect](b.effects)
	if len(l) == 0 {
		b.t.Fatalf("no connect in %+v", b.effects)
	}
	for _, c := range l {
		b.step(ConnectEnded{Conn: c.Conn, Position: ports.Position{Term: 1, Number: 10}})
	}
}

// sentOps is what was just sent; a connection is made for it if need be.
func (b *bench) sentOps() Send {
	b.t.Helper()
	if len(find[Send](b.effects)) == 0 {
		if len(find[Connect](b.effects)) == 0 {
			b.effects = b.pass(b.table.options.OpenDelay.Microseconds())
		}
		if len(find[Send](b.effects)) == 0 {
			b.connects()
		}
	}
	l := find[Send](b.effects)
	if len(l) != 1 {
		b.t.Fatalf("%d sends in %+v", len(l), b.effects)
	}
	return l[0]
}

// databaseOf is the instance a connection leads to.
func (b *bench) databaseOf(c uint64) string {
	b.t.Helper()
	if b.table.connections[c] == nil {
		b.t.Fatalf("connection %d is none", c)
	}
	return b.table.connections[c].db.ID
}

// answerDone ends all ops of a send well, a millisecond later.
func (b *bench) answerDone(s Send, n int64) {
	b.t.Helper()
	b.now += 1_000
	st := ports.Idle
	if conn := b.table.connections[s.Conn]; conn != nil {
		st = conn.state
	}
	for _, op := range s.Ops {
		switch op.Statement.Kind {
		case ports.Begin, ports.BeginRead:
			st = ports.InTransaction
		case ports.Commit, ports.Rollback:
			st = ports.Idle
		}
		b.step(AnswerReceived{Conn: s.Conn, Answer: ports.Response{Stamped: !op.Internal, Body: []byte(op.Statement.ID), State: st, Position: ports.Position{Term: b.view.Term, Number: n}}})
	}
}

// answerFailed ends the last op of a send with a code, those before it well.
func (b *bench) answerFailed(s Send, c ports.Code, st ports.TransactionState) {
	b.t.Helper()
	last := s
	last.Ops = s.Ops[:len(s.Ops)-1]
	b.answerDone(last, 10)
	b.step(AnswerReceived{Conn: s.Conn, Answer: ports.Response{Code: c, Text: "no", Body: []byte("no"), State: st, Position: ports.Position{Term: 1, Number: 10}}})
}

func kinds(s Send) (l []ports.StatementKind) {
	for _, op := range s.Ops {
		l = append(l, op.Statement.Kind)
	}
	return l
}

func (b *bench) expectOps(s Send, want ...ports.StatementKind) {
	b.t.Helper()
	if !slices.Equal(kinds(s), want) {
		b.t.Fatalf("sent %v and not %v", kinds(s), want)
	}
}

// TestBegin: it is answered at once and goes along with the first statement.
func TestBegin(t *testing.T) {
	bench := newBench(t, Options{})
	bench.open(1, "c")
	bench.send(1, ports.SetValue, "v", "1")
	bench.expectReply(ports.Done, ports.Idle)
	bench.send(1, ports.Prepare, "n", "shape", "w")
	bench.expectReply(ports.Done, ports.Idle)
	bench.send(1, ports.Begin)
	bench.expectReply(ports.Done, ports.InTransaction)
	bench.send(1, ports.Execute, "n")
	s := bench.sentOps()
	bench.expectOps(s, ports.SetValue, ports.Prepare, ports.Begin, ports.Execute)
	if s.Ops[2].Internal || s.Ops[2].Statement.ID != "s3" || s.Ops[3].Name != s.Ops[1].Statement.Name || s.Ops[3].Statement.Name != "n" {
		t.Fatalf("sent %+v", s.Ops)
	}
	bench.answerDone(s, 11)
	bench.expectReply(ports.Done, ports.InTransaction)
	bench.send(1, ports.SetValue, "v", "2")
	bench.expectReply(ports.Done, ports.InTransaction)
	bench.send(1, ports.Begin)
	bench.expectReply(ports.Malformed, ports.TransactionFailed)
	if l := find[Send](bench.effects); len(l) != 1 || !l[0].Ops[0].Internal || l[0].Ops[0].Statement.Kind != ports.Rollback {
		t.Fatalf("a transaction that failed is not rolled back: %+v", bench.effects)
	}
	bench.send(1, ports.Read)
	bench.expectReply(ports.Malformed, ports.TransactionFailed)
	bench.send(1, ports.Commit)
	bench.expectReply(ports.RolledBack, ports.Idle)

	// One of which nothing was sent is ended here, or begun and committed there.
	bench.open(2, "c")
	bench.send(2, ports.Begin)
	bench.send(2, ports.Rollback)
	bench.expectReply(ports.Done, ports.Idle)
	if len(find[Send](bench.effects)) > 0 {
		t.Fatal("a database is told of a transaction it never knew")
	}
	bench.send(2, ports.Begin)
	bench.send(2, ports.Commit)
	bench.expectOps(bench.sentOps(), ports.Begin, ports.Commit)
}

// TestSeparateBegin: with Options.SeparateBegin the statement follows the beginning's
// return.
func TestSeparateBegin(t *testing.T) {
	bench := newBench(t, Options{SeparateBegin: true})
	bench.open(1, "c")
	bench.send(1, ports.Begin)
	bench.send(1, ports.Write)
	s := bench.sentOps()
	bench.expectOps(s, ports.Begin)
	bench.answerDone(s, 10)
	m := bench.sentOps()
	bench.expectOps(m, ports.Write)
	bench.answerDone(m, 10)
	bench.expectReply(ports.Done, ports.InTransaction)
	bench.open(2, "c")
	bench.send(2, ports.Begin)
	bench.send(2, ports.Write)
	bench.answerFailed(bench.sentOps(), ports.ReadOnly, ports.Idle)
	if len(find[Reply](bench.effects)) > 0 || len(find[RenewLease](bench.effects)) != 1 {
		t.Fatalf("a beginning bounced for want of the lead gives %+v", bench.effects)
	}
}

// TestStatementResults: what each way to fail is told as (design 14.9).
func TestStatementResults(t *testing.T) {
	const lost, silence = ports.Code(100), ports.Code(101)
	type row struct {
		what  string // single read, single write, first or later in a transaction, commit
		how   ports.Code
		state ports.TransactionState // of the database's connection
		again bool                   // it is sent or held once more
		code  ports.Code
		in    ports.TransactionState
	}
	rows := []row{
		{"read", ports.Busy, ports.Idle, true, 0, 0},
		{"read", ports.Lagging, ports.Idle, true, 0, 0},
		{"read", ports.Failed, ports.Idle, true, 0, 0},
		{"read", ports.Timeout, ports.Idle, false, ports.Timeout, ports.Idle},
		{"read", ports.Malformed, ports.Idle, false, ports.Malformed, ports.Idle},
		{"read", lost, 0, true, 0, 0},
		{"read", silence, 0, false, ports.Busy, ports.Idle}, // given up at once, long before its expiry
		{"write", ports.Busy, ports.Idle, true, 0, 0},
		{"write", ports.ReadOnly, ports.Idle, true, 0, 0},
		{"write", ports.WrongInstance, ports.Idle, true, 0, 0},
		{"write", ports.Failed, ports.Idle, false, ports.Failed, ports.Idle},
		{"write", ports.Timeout, ports.Idle, false, ports.Timeout, ports.Idle},
		{"write", ports.InDoubt, ports.Idle, false, ports.InDoubt, ports.Idle},
		{"write", ports.UnknownCode, ports.Idle, false, ports.UnknownCode, ports.Idle},
		{"write", lost, 0, false, ports.InDoubt, ports.Idle},
		{"write", silence, 0, false, ports.InDoubt, ports.Idle},
		{"first", ports.Busy, ports.TransactionFailed, true, 0, 0},
		{"first", ports.Failed, ports.TransactionFailed, false, ports.Failed, ports.TransactionFailed},
		{"first", lost, 0, false, ports.RolledBack, ports.TransactionFailed},
		{"first", silence, 0, false, ports.RolledBack, ports.TransactionFailed},
		{"later", ports.Busy, ports.InTransaction, true, 0, 0},
		{"later", ports.Busy, ports.TransactionFailed, false, ports.Busy, ports.TransactionFailed},
		{"later", ports.ReadOnly, ports.TransactionFailed, false, ports.ReadOnly, ports.TransactionFailed},
		{"later", ports.UnknownPreparedStatement, ports.TransactionFailed, false, ports.RolledBack, ports.TransactionFailed},
		{"later", ports.Failed, ports.TransactionFailed, false, ports.Failed, ports.TransactionFailed},
		{"later", lost, 0, false, ports.RolledBack, ports.TransactionFailed},
		{"later", silence, 0, false, ports.RolledBack, ports.TransactionFailed},
		{"commit", ports.Busy, ports.InTransaction, true, 0, 0},
		{"commit", ports.Busy, ports.TransactionFailed, false, ports.Busy, ports.Idle},
		{"commit", ports.RolledBack, ports.Idle, false, ports.RolledBack, ports.Idle},
		{"commit", ports.ReadOnly, ports.TransactionFailed, false, ports.ReadOnly, ports.Idle},
		{"commit", ports.Failed, ports.Idle, false, ports.Failed, ports.Idle},
		{"commit", lost, 0, false, ports.InDoubt, ports.Idle},
		{"commit", silence, 0, false, ports.InDoubt, ports.Idle},
		{"commit of reads", lost, 0, false, ports.RolledBack, ports.Idle},
	}
	for _, r := range rows {
		bench := newBench(t, Options{})
		bench.open(1, "c")
		var s Send
		switch r.what {
		case "read":
			bench.send(1, ports.Read)
		case "write":
			bench.send(1, ports.Write)
		case "first":
			bench.send(1, ports.Begin)
			bench.send(1, ports.Write)
		case "later", "commit", "commit of reads":
			k := ports.Write
			if r.what == "commit of reads" {
				k = ports.Read
			}
			bench.send(1, ports.Begin)
			bench.send(1, k)
			bench.answerDone(bench.sentOps(), 10)
			if k = ports.Write; r.what != "later" {
				k = ports.Commit
			}
			bench.send(1, k)
		}
		s = bench.sentOps()
		n := bench.id
		switch r.how {
		case lost:
			bench.now += 1_000
			bench.step(ConnectionLost{Conn: s.Conn, Err: "cut", Disconnected: true})
		case silence:
			bench.effects = bench.pass(2_000_000)
		default:
			bench.answerFailed(s, r.how, r.state)
		}
		l := find[Reply](bench.effects)
		switch {
		case r.again && len(l) > 0:
			t.Errorf("%s, %d: is told %+v", r.what, r.how, l[0])
		case !r.again && (len(l) != 1 || l[0].Code != r.code || l[0].State != r.in):
			t.Errorf("%s, %d: is told %+v", r.what, r.how, l)
		}
		if r.again && r.how != lost {
			// Its time runs out while no database takes it; nothing is left behind.
			bench.renewLease(10)
		}
		// Whatever was in doubt is never sent again.
		if r.code == ports.InDoubt {
			for _, e := range find[Send](bench.pass(3_000_000)) {
				for _, op := range e.Ops {
					if op.Statement.ID == statementID(n) {
						t.Errorf("%s, %d: is sent again", r.what, r.how)
					}
				}
			}
		}
	}
}

// TestUnstampedAnswer: nothing is passed on as a success that a database did not stamp.
func TestUnstampedAnswer(t *testing.T) {
	for _, c := range []struct {
		k    ports.StatementKind
		code ports.Code
	}{{ports.Write, ports.InDoubt}, {ports.Commit, ports.InDoubt}} {
		bench := newBench(t, Options{})
		bench.open(1, "c")
		if c.k == ports.Commit {
			bench.send(1, ports.Begin)
			bench.send(1, ports.Write)
			bench.answerDone(bench.sentOps(), 10)
		}
		bench.send(1, c.k)
		s := bench.sentOps()
		bench.step(AnswerReceived{Conn: s.Conn, Answer: ports.Response{State: ports.Idle, Position: ports.Position{Term: 1, Number: 11}}})
		bench.expectReply(c.code, ports.Idle)
		if len(find[CloseConnection](bench.effects)) != 1 {
			t.Fatal("the connection is kept")
		}
	}
}

// TestLease: a read that needs the newest commit waits for a lease that held
// when it came; a write does not.
func TestLease(t *testing.T) {
	bench := newBench(t, Options{})
	bench.open(1, "c")
	bench.open(2, "c")
	bench.open(3, "c")
	bench.now += 1_000_000
	bench.send(1, ports.Read)
	if len(find[RenewLease](bench.effects)) != 1 || len(find[Connect](bench.effects)) != 0 {
		t.Fatalf("without a lease: %+v", bench.effects)
	}
	bench.send(2, ports.Read)
	if len(find[RenewLease](bench.effects)) != 0 {
		t.Fatal("a second look is asked for")
	}
	bench.send(3, ports.Write)
	if len(find[Connect](bench.effects)) == 0 {
		t.Fatal("a write waits for a lease")
	}
	bench.view.Unconfirmed = true
	bench.renewLease(1_000_000)
	if len(find[Connect](bench.effects)) != 0 {
		t.Fatal("a lease in doubt counts")
	}
	bench.view.Unconfirmed = false
	bench.renewLease(1_000_000)
	if bench.table.groups["g"].waiting.len() != 0 {
		t.Fatal("they still wait")
	}
	// Nor does a lease from before the sealing reach beyond it.
	bench.view.Phase = ports.PhaseFreezing
	sure := bench.table.groups["g"].confirmedUntil
	bench.renewLease(9_000_000)
	if bench.table.groups["g"].confirmedUntil != sure {
		t.Fatal("a lease that shows the sealing counts for the old primary")
	}
	// It gives up at a quarter of the aim, with the moment to come back at.
	bench.view.Phase = ports.PhaseServing
	y := newBench(t, Options{})
	y.open(1, "c")
	y.now += 1_000_000
	y.send(1, ports.Read)
	y.effects = y.pass(75_000)
	y.expectReply(ports.Busy, ports.Idle)
	if !strings.Contains(y.reply().Text, "retry after") {
		t.Fatalf("told %q", y.reply().Text)
	}
}

// TestEvidence: what a primary shows counts only if the lease held after the
// statement was sent; on it a read goes to a follower with the position it needs.
func TestEvidence(t *testing.T) {
	for _, pending := range []bool{true, false} {
		bench := newBench(t, Options{})
		bench.open(1, "c")
		bench.open(2, "b")
		if !pending {
			bench.now += 1_000_001
		}
		bench.send(1, ports.Write)
		bench.answerDone(bench.sentOps(), 12)
		if !pending { // it is acknowledged once the lease is there again
			if len(find[Reply](bench.effects)) != 0 || len(find[RenewLease](bench.effects)) != 1 {
				t.Fatalf("acknowledged without a lease: %+v", bench.effects)
			}
			bench.renewLease(1_000_000)
		}
		bench.expectReply(ports.Done, ports.Idle)
		if known := bench.table.groups["g"].commits.Known(); known != pending {
			t.Fatalf("lease %v, evidence %v", pending, known)
		}
		if !pending {
			continue
		}
		bench.send(2, ports.Read)
		s := bench.sentOps()
		if bench.databaseOf(s.Conn) == "x" || s.Ops[0].After != (ports.Position{Term: 1, Number: 12}) {
			t.Fatalf("the read goes to %s after %v", bench.databaseOf(s.Conn), s.Ops[0].After)
		}
		// It lags: another is tried, and the primary last.
		bench.answerFailed(s, ports.Lagging, ports.Idle)
		seen := []string{"x", bench.databaseOf(s.Conn)}
		s = bench.sentOps()
		if slices.Contains(seen, bench.databaseOf(s.Conn)) {
			t.Fatalf("%s is tried next", bench.databaseOf(s.Conn))
		}
		bench.answerFailed(s, ports.Lagging, ports.Idle)
		if s = bench.sentOps(); bench.databaseOf(s.Conn) != "x" || s.Ops[0].After.Known() {
			t.Fatalf("%s is tried last, after %v", bench.databaseOf(s.Conn), s.Ops[0].After)
		}
		bench.answerDone(s, 12)
		bench.expectReply(ports.Done, ports.Idle)
		// Evidence that is too old sends it to the primary.
		bench.now += 400_000
		bench.send(2, ports.Read)
		if s = bench.sentOps(); bench.databaseOf(s.Conn) != "x" {
			t.Fatalf("on old evidence it goes to %s", bench.databaseOf(s.Conn))
		}
	}
}

// TestOwnCommitIsEvidence: a follower needs this node's own commits as well as
// others', once they are old enough.
func TestOwnCommitIsEvidence(t *testing.T) {
	for _, old := range []bool{true, false} {
		bench := newBench(t, Options{})
		bench.open(1, "c")
		bench.open(2, "b")
		bench.send(1, ports.Read)
		bench.answerDone(bench.sentOps(), 10)
		bench.send(2, ports.Read)
		bench.answerDone(bench.sentOps(), 10)
		bench.send(1, ports.Write)
		bench.answerDone(bench.sentOps(), 11)
		bench.now += 200_000
		bench.send(1, ports.Read)
		bench.answerDone(bench.sentOps(), 11)
		want := int64(10)
		if old {
			bench.now += 200_000
			want = 11
		}
		// The follower that is known to stand at 10.
		for _, db := range bench.table.groups["g"].databases {
			if db.ID != "x" && db.position.Number != 10 {
				db.failingSince = 1
			}
		}
		bench.send(2, ports.Read)
		if s := bench.sentOps(); bench.databaseOf(s.Conn) == "x" || s.Ops[0].After.Number != want {
			t.Fatalf("old %v: at %s after %v", old, bench.databaseOf(s.Conn), s.Ops[0].After)
		}
	}
}

// TestAffinityRead: a session reads what it wrote itself.
func TestAffinityRead(t *testing.T) {
	bench := newBench(t, Options{})
	bench.open(1, "p")
	bench.send(1, ports.Write)
	bench.answerDone(bench.sentOps(), 20)
	bench.send(1, ports.BeginRead)
	bench.send(1, ports.Read)
	s := bench.sentOps()
	bench.expectOps(s, ports.BeginRead, ports.Read)
	if bench.databaseOf(s.Conn) == "x" || s.Ops[0].After.Number != 20 || s.Ops[1].After.Known() {
		t.Fatalf("at %s: %+v", bench.databaseOf(s.Conn), s.Ops)
	}
	bench.answerDone(s, 20)
	if r := bench.table.Report(bench.now); len(r.GroupStatuses) != 1 || r.GroupStatuses[0].Acknowledged != (ports.Position{Term: 1, Number: 20}) {
		t.Fatalf("reports %+v", r)
	}
}

// TestChangeOfPrimary: nothing new while it closes, transactions end with their
// primary, and what runs counts where followers had to receive it.
func TestChangeOfPrimary(t *testing.T) {
	for _, sync := range []int{0, 1} {
		bench := newBench(t, Options{})
		bench.routes.Groups[0].RequiredReplicaAcks = sync
		bench.renewLease(1_000_000)
		for s := range uint64(4) {
			bench.open(s+1, "c")
		}
		bench.send(1, ports.Begin)
		bench.send(1, ports.Write)
		bench.answerDone(bench.sentOps(), 10)
		bench.send(2, ports.Write)
		run := bench.sentOps()
		bench.view.Revision, bench.view.Phase, bench.view.LastFailoverUs = 2, ports.PhaseDraining, 200_000
		bench.renewLease(1_000_000)
		bench.table.Report(bench.now)
		bench.send(3, ports.Write)
		if len(bench.effects) != 0 {
			t.Fatalf("new work while it closes: %+v", bench.effects)
		}
		bench.send(1, ports.Read)
		bench.answerDone(bench.sentOps(), 10)
		bench.expectReply(ports.Done, ports.InTransaction)
		if w := bench.table.Report(bench.now).GroupStatuses[0]; w.Quiescent || w.Revision != 2 {
			t.Fatalf("word %+v", w)
		}
		bench.view.Revision, bench.view.Phase = 3, ports.PhaseFreezing
		bench.renewLease(1_000_000)
		if len(find[CloseConnection](bench.effects)) != 1 {
			t.Fatalf("a resting transaction goes on: %+v", bench.effects)
		}
		// Whoever is promoted next may lack it by the time it would be acknowledged:
		// the followers may be held no longer.
		bench.answerDone(run, 11)
		bench.expectReply(ports.InDoubt, ports.Idle)
		if r := bench.table.Report(bench.now); !r.GroupStatuses[0].Quiescent {
			t.Fatalf("reports %+v", r)
		}
		bench.send(1, ports.Read)
		bench.expectReply(ports.RolledBack, ports.TransactionFailed)
		bench.send(1, ports.Rollback)
		bench.expectReply(ports.Done, ports.Idle)
		// What was held for the change goes on at the new primary.
		bench.now += 100_000
		bench.view.Leadership = ports.Leadership{Revision: 4, Term: 2, Primary: "y", Phase: ports.PhaseServing}
		bench.renewLease(1_000_000)
		s := bench.sentOps()
		if bench.databaseOf(s.Conn) != "y" {
			t.Fatalf("goes to %s", bench.databaseOf(s.Conn))
		}
		bench.answerDone(s, 12)
		bench.expectReply(ports.Done, ports.Idle)
	}
}

// TestCommitConfirmation: a commit is acknowledged only while its primary surely leads; a
// doubt or a lease that ran out holds it until that is known, and not for long.
func TestCommitConfirmation(t *testing.T) {
	for _, c := range []struct {
		name string
		then func(*bench)
		want ports.Code
	}{
		{"closing", func(bench *bench) {
			bench.view.Revision, bench.view.Phase, bench.view.Unconfirmed = 2, ports.PhaseDraining, false
			bench.renewLease(1_000_000)
		}, ports.Done},
		{"sealing", func(bench *bench) {
			bench.view.Revision, bench.view.Phase, bench.view.Unconfirmed = 2, ports.PhaseFreezing, false
			bench.renewLease(1_000_000)
		}, ports.InDoubt},
		{"nothing newer after all", func(bench *bench) { bench.view.Unconfirmed = false; bench.renewLease(1_000_000) }, ports.Done},
		{"no word", func(bench *bench) { bench.now += 400_000; bench.step(Tick{}) }, ports.InDoubt},
	} {
		t.Run(c.name, func(t *testing.T) {
			bench := newBench(t, Options{})
			bench.renewLease(1_000_000)
			bench.open(1, "c")
			bench.send(1, ports.Write)
			run := bench.sentOps()
			bench.view.Unconfirmed = true
			bench.renewLease(1_000_000)
			bench.answerDone(run, 11)
			if len(find[Reply](bench.effects)) != 0 {
				t.Fatalf("acknowledged in doubt: %+v", bench.effects)
			}
			c.then(bench)
			bench.expectReply(c.want, ports.Idle)
		})
	}
}

// TestQuiescent: the moment a group falls quiet is told at once.
func TestQuiescent(t *testing.T) {
	bench := newBench(t, Options{})
	bench.open(1, "c")
	bench.send(1, ports.Write)
	s := bench.sentOps()
	bench.view.Revision, bench.view.Phase = 2, ports.PhaseDraining
	bench.renewLease(1_000_000)
	bench.table.Report(bench.now)
	bench.answerDone(s, 11)
	if r := bench.table.Report(bench.now); !r.Changed || !r.GroupStatuses[0].Quiescent {
		t.Fatalf("reports %+v", r)
	}
	if bench.table.Report(bench.now).Changed {
		t.Fatal("it is told twice")
	}
}

// TestRejectedWhileWaiting: a statement is held through a change that ends within its aim, and
// bounced early out of one that does not.
func TestRejectedWhileWaiting(t *testing.T) {
	for _, expect := range []int64{200_000, 700_000} {
		bench := newBench(t, Options{})
		bench.open(1, "c")
		bench.view.Revision, bench.view.Phase, bench.view.LastFailoverUs = 2, ports.PhaseFreezing, expect
		bench.renewLease(1_000_000)
		bench.send(1, ports.Write)
		early := find[Reply](bench.pass(80_000))
		late := find[Reply](bench.pass(400_000))
		if (len(early) > 0) != (expect > 300_000) || len(early)+len(late) != 1 {
			t.Fatalf("change of %d: %+v and %+v", expect, early, late)
		}
	}
}

// TestUnresponsiveDatabase: a database that falls silent is told of, and a read goes on
// elsewhere.
func TestUnresponsiveDatabase(t *testing.T) {
	bench := newBench(t, Options{})
	bench.open(1, "c")
	bench.open(2, "b")
	bench.send(1, ports.Write)
	bench.answerDone(bench.sentOps(), 10)
	bench.send(2, ports.Read)
	s := bench.sentOps()
	from := bench.databaseOf(s.Conn)
	out := bench.pass(400_000)
	l := find[Connect](out)
	if len(l) == 0 || len(find[CloseConnection](out)) != 0 {
		t.Fatalf("after the silence: %+v", out)
	}
	r := bench.table.Report(bench.now)
	if !r.Changed || len(r.HealthReports) != 1 || r.HealthReports[0].ID != from || r.HealthReports[0].FailingUs < 400_000 || r.HealthReports[0].Disconnected {
		t.Fatalf("reports %+v", r)
	}
	// Its late return is nobody's, and clears it.
	bench.answerDone(s, 10)
	if len(find[Reply](bench.effects)) != 0 || len(bench.table.Report(bench.now).HealthReports) != 0 {
		t.Fatalf("a late return: %+v", bench.effects)
	}
}

// TestConnectionRefused: a connect that finds nobody is told at once; a success takes it
// back.
func TestConnectionRefused(t *testing.T) {
	bench := newBench(t, Options{})
	bench.open(1, "c")
	bench.send(1, ports.Write)
	c := find[Connect](bench.effects)[0]
	bench.step(ConnectEnded{Conn: c.Conn, Err: "nobody", ConnectionRefused: true})
	if r := bench.table.Report(bench.now); !r.Changed || len(r.HealthReports) != 1 || !r.HealthReports[0].Disconnected {
		t.Fatalf("reports %+v", r)
	}
	if len(find[Connect](bench.effects)) != 0 {
		t.Fatal("it connects again at once")
	}
	bench.effects = bench.pass(50_000)
	bench.answerDone(bench.sentOps(), 10)
	bench.expectReply(ports.Done, ports.Idle)
	if r := bench.table.Report(bench.now); len(r.HealthReports) != 0 {
		t.Fatalf("reports %+v", r)
	}
}

// TestDrainingDatabase: a follower that leaves gets nothing new, one that is gone loses
// its connections.
func TestDrainingDatabase(t *testing.T) {
	bench := newBench(t, Options{})
	bench.open(1, "c")
	bench.open(2, "b")
	bench.send(1, ports.Write)
	bench.answerDone(bench.sentOps(), 10)
	bench.instances[1].Draining = true
	bench.renewLease(1_000_000)
	for range 20 {
		bench.send(2, ports.Read)
		s := bench.sentOps()
		if bench.databaseOf(s.Conn) == "y" {
			t.Fatal("one that leaves is given a read")
		}
		bench.answerDone(s, 10)
	}
	// A primary that leaves leads on until it is switched away from.
	bench.instances[0].Draining = true
	bench.renewLease(1_000_000)
	bench.send(1, ports.Write)
	s := bench.sentOps()
	bench.instances[0].Gone = true
	bench.renewLease(1_000_000)
	bench.expectReply(ports.InDoubt, ports.Idle)
	if len(find[CloseConnection](bench.effects)) == 0 || bench.table.connections[s.Conn] != nil {
		t.Fatal("its connections stay")
	}
}

// TestIdleTransaction: a transaction that rests too long is rolled back, and its session
// told at its next statement.
func TestIdleTransaction(t *testing.T) {
	bench := newBench(t, Options{})
	bench.open(1, "c")
	bench.send(1, ports.Begin)
	bench.send(1, ports.Write)
	bench.answerDone(bench.sentOps(), 10)
	l := find[Send](bench.pass(3_200_000))
	if len(l) != 1 || l[0].Ops[0].Statement.Kind != ports.Rollback || !l[0].Ops[0].Internal {
		t.Fatalf("sent %+v", l)
	}
	bench.answerDone(l[0], 10)
	if len(bench.table.databases["x"].idle) != 1 {
		t.Fatal("its connection is not free")
	}
	bench.send(1, ports.Commit)
	bench.expectReply(ports.RolledBack, ports.Idle)
}

// TestDrain: resting sessions are shut, transactions may end within the grace.
func TestDrain(t *testing.T) {
	bench := newBench(t, Options{})
	for s := range uint64(3) {
		bench.open(s+1, "c")
	}
	for _, s := range []uint64{2, 3} {
		bench.send(s, ports.Begin)
		bench.send(s, ports.Write)
		bench.answerDone(bench.sentOps(), 10)
	}
	bench.step(Drain{GraceUs: 1_000_000})
	if l := find[CloseSession](bench.effects); len(l) != 1 || l[0].Session != 1 || len(find[Reply](bench.effects)) != 0 {
		t.Fatalf("at the stop: %+v", bench.effects)
	}
	if bench.table.Ready(bench.now) || bench.table.Busy() != 2 {
		t.Fatalf("ready %v, busy %d", bench.table.Ready(bench.now), bench.table.Busy())
	}
	bench.step(SessionOpened{Session: 9, Host: "c"})
	if r := bench.reply(); r.Code != ports.Busy || !r.Close {
		t.Fatalf("a new session: %+v", r)
	}
	bench.send(2, ports.Commit)
	bench.answerDone(bench.sentOps(), 11)
	if r := bench.reply(); r.Code != ports.Done || !r.Close {
		t.Fatalf("a commit: %+v", r)
	}
	if len(find[Send](bench.pass(600_000))) != 1 {
		t.Fatal("the grace's end rolls nothing back")
	}
	bench.send(3, ports.Write)
	bench.expectReply(ports.RolledBack, ports.TransactionFailed)
	bench.send(3, ports.Rollback)
	if r := bench.reply(); r.Code != ports.Done || !r.Close || bench.table.Busy() != 0 {
		t.Fatalf("the end: %+v, busy %d", r, bench.table.Busy())
	}
}

// TestRoutes: a session is opened on a route there is, and asks on one.
func TestRoutes(t *testing.T) {
	b := New(1, "a", Options{})
	if r := find[Reply](b.Step(1, SessionOpened{Session: 1, Host: "c"})); len(r) != 1 || r[0].Code != ports.Busy || !r[0].Close {
		t.Fatalf("without a routing table: %+v", r)
	}
	bench := newBench(t, Options{})
	bench.step(SessionOpened{Session: 1, Host: "none"})
	if r := bench.reply(); r.Code != ports.DatabaseUnavailable || !r.Close {
		t.Fatalf("on no route: %+v", r)
	}
	bench.open(2, "c")
	bench.open(3, "c")
	bench.send(3, ports.Begin)
	bench.routes.Revision++
	bench.routes.Routes = bench.routes.Routes[1:]
	bench.renewLease(1_000_000)
	bench.send(3, ports.Write)
	bench.answerDone(bench.sentOps(), 10)
	bench.expectReply(ports.Done, ports.InTransaction)
	bench.send(2, ports.Read)
	if r := bench.reply(); r.Code != ports.DatabaseUnavailable || !r.Close || r.State != ports.Idle {
		t.Fatalf("on a route that is gone: %+v", r)
	}
}

// TestRanks: the higher rank goes first.
func TestRanks(t *testing.T) {
	bench := newBench(t, Options{})
	bench.routes.Groups[0].ConnectionLimit = 5
	bench.renewLease(1_000_000)
	for s, h := range []string{"c", "c", "first"} {
		bench.open(uint64(s+1), h)
		bench.send(uint64(s+1), ports.Write)
		if s == 0 {
			bench.sentOps()
		}
	}
	conn := bench.table.databases["x"].connections[0]
	bench.answerDone(Send{Conn: conn.id, Ops: []ports.Op{{Statement: ports.Statement{Kind: ports.Write}}}}, 10)
	if s := bench.sentOps(); s.Ops[0].Statement.ID != "s3" {
		t.Fatalf("%s goes first", s.Ops[0].Statement.ID)
	}
	if n := len(bench.table.connections); n != 1 {
		t.Fatalf("%d connections where one is allowed", n)
	}
}

// TestPreparedLimit: a connection holds so many prepared names, then it is reset.
func TestPreparedLimit(t *testing.T) {
	bench := newBench(t, Options{MaxPrepared: 4})
	bench.open(1, "c")
	bench.send(1, ports.SetValue, "v", "1")
	resets := 0
	for i := range uint64(10) {
		bench.send(1, ports.Prepare, "n", "shape"+strconv.FormatUint(i, 10), "w")
		bench.send(1, ports.Execute, "n")
		s := bench.sentOps()
		if s.Ops[0].Statement.Kind == ports.Reset {
			resets++
			bench.expectOps(s, ports.Reset, ports.SetValue, ports.Prepare, ports.Execute)
		}
		bench.answerDone(s, 10)
		bench.expectReply(ports.Done, ports.Idle)
	}
	if resets != 2 {
		t.Fatalf("%d resets", resets)
	}
	bench.send(1, ports.Deallocate, "n")
	bench.expectReply(ports.Done, ports.Idle)
	bench.send(1, ports.Execute, "n")
	bench.expectReply(ports.UnknownPreparedStatement, ports.Idle)
}

// TestSessionClosed: what a session that is gone has under way ends in order.
func TestSessionClosed(t *testing.T) {
	bench := newBench(t, Options{})
	bench.open(1, "c")
	bench.open(2, "c")
	bench.open(3, "c")
	bench.send(1, ports.Write)
	s := bench.sentOps()
	bench.step(SessionClosed{Session: 1})
	if len(bench.effects) != 0 {
		t.Fatalf("a running write: %+v", bench.effects)
	}
	bench.answerDone(s, 10)
	if len(bench.effects) != 0 || len(bench.table.databases["x"].idle) != 1 {
		t.Fatalf("its end: %+v", bench.effects)
	}
	bench.send(2, ports.Begin)
	bench.send(2, ports.Write)
	bench.answerDone(bench.sentOps(), 10)
	bench.step(SessionClosed{Session: 2})
	bench.expectOps(bench.sentOps(), ports.Rollback)
	bench.now += 2_000_000
	bench.send(3, ports.Read) // waits for a lease
	bench.step(SessionClosed{Session: 3})
	if gauges := bench.table.Gauges(); gauges.Sessions != 0 || gauges.Waiting != 0 || gauges.OpenTransactions != 0 {
		t.Fatalf("left behind: %+v", gauges)
	}
}

// TestIdleConnectionIsClosed: a table with nothing to do asks for no ticks.
func TestIdleConnectionIsClosed(t *testing.T) {
	bench := newBench(t, Options{})
	if bench.table.Due() != math.MaxInt64 {
		t.Fatalf("due in %d", bench.table.Due()-bench.now)
	}
	bench.open(1, "c")
	bench.send(1, ports.Write)
	bench.answerDone(bench.sentOps(), 10)
	if d := bench.table.Due() - bench.now; d != bench.table.options.IdleConnectionTimeout.Microseconds() {
		t.Fatalf("due in %d", d)
	}
	if l := find[CloseConnection](bench.pass(60_000_000)); len(l) != 1 || bench.table.Due() != math.MaxInt64 {
		t.Fatalf("closed %+v, due in %d", l, bench.table.Due()-bench.now)
	}
}

// TestBusy: a database that is busy is given less at once, and then more again.
func TestBusy(t *testing.T) {
	bench := newBench(t, Options{})
	bench.open(1, "c")
	bench.send(1, ports.Write)
	s := bench.sentOps()
	bench.answerFailed(s, ports.Busy, ports.Idle)
	if db := bench.table.databases["x"]; db.slots != 2 || db.busyUntil <= bench.now {
		t.Fatalf("slots %v", db.slots)
	}
	bench.effects = bench.pass(50_000)
	s = bench.sentOps()
	bench.answerDone(s, 10)
	bench.expectReply(ports.Done, ports.Idle)
}

// BenchmarkRead is one read from asking to its reply.
func BenchmarkRead(b *testing.B) {
	bench := newBench(&testing.T{}, Options{})
	bench.step(SessionOpened{Session: 1, Host: "c"})
	statement := ports.Statement{ID: "s", Kind: ports.Read}
	answer := ports.Response{Stamped: true, Position: ports.Position{Term: 1, Number: 10}}
	out := bench.table.Step(bench.now, StatementReceived{Session: 1, Statement: statement})
	c := out[0].(Connect).Conn
	bench.table.Step(bench.now, ConnectEnded{Conn: c})
	b.ReportAllocs()
	for b.Loop() {
		bench.now++
		bench.table.Step(bench.now, AnswerReceived{Conn: c, Answer: answer})
		bench.table.Step(bench.now, Update{LeaseUntil: bench.now + 1000})
		bench.table.Step(bench.now, StatementReceived{Session: 1, Statement: statement})
	}
}
