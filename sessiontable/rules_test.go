package sessiontable

import (
	"math"
	"slices"
	"strings"
	"testing"

	"stoneford/ports"
)

// bench is a table driven by hand: x leads, y and z follow.
type bench struct {
	t    *testing.T
	b    *Table
	now  int64
	view GroupView
	ins  []ports.Instance
	tab  ports.RoutingTable
	out  []Effect
	id   int
}

func newBench(t *testing.T, o Options) *bench {
	x := &bench{t: t, now: 10_000_000, b: New(1, "a", o)}
	x.view = GroupView{Leadership: ports.Leadership{Revision: 1, Term: 1, Primary: "x", Phase: ports.PhaseOpen}}
	for _, n := range []string{"x", "y", "z"} {
		x.ins = append(x.ins, ports.Instance{ID: n, Group: "g", Address: n, Zone: "a", Capacity: 4, Call: 1})
	}
	x.tab = ports.RoutingTable{
		Revision: 1,
		Routes: []ports.Route{
			{Name: "c", Host: "c", Kind: ports.Current, Group: "g", ExpiryUs: 2_000_000, AimUs: 300_000, Rank: 1},
			{Name: "first", Host: "first", Kind: ports.Current, Group: "g", ExpiryUs: 2_000_000, AimUs: 300_000},
			{Name: "b", Host: "b", Kind: ports.Bounded, Group: "g", ExpiryUs: 3_000_000, AimUs: 500_000, StaleUs: 500_000, Rank: 2},
			{Name: "p", Host: "p", Kind: ports.Pinned, Group: "g", ExpiryUs: 2_000_000, AimUs: 300_000, StaleUs: 900_000, Rank: 2},
		},
		Groups: []ports.Group{{Name: "g", ConnLimit: 65, Sync: 1}},
		Limits: ports.Limits{TxIdleUs: 3_000_000},
	}
	x.look(1_000_000)
	return x
}

func (x *bench) step(evs ...any) []Effect {
	x.out = x.b.Step(x.now, evs...)
	checkAll(x.t, x.b)
	return x.out
}

// look brings a view that holds for so long.
func (x *bench) look(us int64) {
	tab := x.tab
	x.step(View{Table: &tab, Groups: map[string]GroupView{"g": x.view}, Instances: slices.Clone(x.ins), LeaseUntil: x.now + us, Nodes: 1})
}

// pass lets time go by, up to a moment, with the ticks that are due.
func (x *bench) pass(us int64) (out []Effect) {
	end := x.now + us
	for x.b.Due() <= end {
		x.now = max(x.b.Due(), x.now)
		out = append(out, x.step(Tick{})...)
	}
	x.now = end
	return append(out, x.step(Tick{})...)
}

func (x *bench) open(s uint64, host string) {
	x.t.Helper()
	x.step(Opened{Session: s, Host: host})
	if r := x.reply(); r.Code != ports.Done || r.State != ports.Idle {
		x.t.Fatalf("session %d opens with %+v", s, r)
	}
}

func (x *bench) ask(s uint64, k ports.Kind, words ...string) []Effect {
	x.id++
	st := ports.Statement{ID: "s" + decimal(uint64(x.id)), Kind: k}
	if len(words) > 0 {
		st.Name = words[0]
	}
	if len(words) > 1 {
		st.Text = words[1]
	}
	st.Writes = len(words) > 2
	return x.step(Asked{Session: s, St: st})
}

func find[T any](out []Effect) (l []T) {
	for _, e := range out {
		if e, ok := e.(T); ok {
			l = append(l, e)
		}
	}
	return l
}

func (x *bench) reply() Reply {
	x.t.Helper()
	l := find[Reply](x.out)
	if len(l) != 1 {
		x.t.Fatalf("%d replies in %+v", len(l), x.out)
	}
	return l[0]
}

func (x *bench) wants(c ports.Code, s ports.State) {
	x.t.Helper()
	if r := x.reply(); r.Code != c || r.State != s {
		x.t.Fatalf("replied %d %q in state %d, not %d in %d", r.Code, r.Text, r.State, c, s)
	}
}

// connects ends the connects just asked for.
func (x *bench) connects() {
	x.t.Helper()
	l := find[Connect](x.out)
	if len(l) == 0 {
		x.t.Fatalf("no connect in %+v", x.out)
	}
	for _, c := range l {
		x.step(Connected{Conn: c.Conn, Position: ports.Position{Term: 1, Number: 10}})
	}
}

// sent is what was just sent; a connection is made for it if need be.
func (x *bench) sent() Send {
	x.t.Helper()
	if len(find[Send](x.out)) == 0 {
		if len(find[Connect](x.out)) == 0 {
			x.out = x.pass(x.b.o.OpenUs)
		}
		if len(find[Send](x.out)) == 0 {
			x.connects()
		}
	}
	l := find[Send](x.out)
	if len(l) != 1 {
		x.t.Fatalf("%d sends in %+v", len(l), x.out)
	}
	return l[0]
}

// at is the instance a connection leads to.
func (x *bench) at(c uint64) string {
	x.t.Helper()
	if x.b.conns[c] == nil {
		x.t.Fatalf("connection %d is none", c)
	}
	return x.b.conns[c].in.ID
}

// answers ends all ops of a send well, a millisecond later.
func (x *bench) answers(s Send, n int64) {
	x.t.Helper()
	x.now += 1_000
	st := ports.Idle
	if c := x.b.conns[s.Conn]; c != nil {
		st = c.state
	}
	for _, op := range s.Ops {
		switch op.St.Kind {
		case ports.Begin, ports.BeginRead:
			st = ports.Open
		case ports.Commit, ports.Rollback:
			st = ports.Idle
		}
		x.step(Answered{Conn: s.Conn, Answer: ports.Answer{Stamped: !op.Own, Body: []byte(op.St.ID), State: st, Position: ports.Position{Term: x.view.Term, Number: n}}})
	}
}

// fails ends the last op of a send with a code, those before it well.
func (x *bench) fails(s Send, c ports.Code, st ports.State) {
	x.t.Helper()
	last := s
	last.Ops = s.Ops[:len(s.Ops)-1]
	x.answers(last, 10)
	x.step(Answered{Conn: s.Conn, Answer: ports.Answer{Code: c, Text: "no", Body: []byte("no"), State: st, Position: ports.Position{Term: 1, Number: 10}}})
}

func kinds(s Send) (l []ports.Kind) {
	for _, op := range s.Ops {
		l = append(l, op.St.Kind)
	}
	return l
}

func (x *bench) wantsOps(s Send, want ...ports.Kind) {
	x.t.Helper()
	if !slices.Equal(kinds(s), want) {
		x.t.Fatalf("sent %v and not %v", kinds(s), want)
	}
}

// TestBeginning: it is answered at once and goes along with the first statement.
func TestBeginning(t *testing.T) {
	x := newBench(t, Options{})
	x.open(1, "c")
	x.ask(1, ports.SetValue, "v", "1")
	x.wants(ports.Done, ports.Idle)
	x.ask(1, ports.Prepare, "n", "shape", "w")
	x.wants(ports.Done, ports.Idle)
	x.ask(1, ports.Begin)
	x.wants(ports.Done, ports.Open)
	x.ask(1, ports.Run, "n")
	s := x.sent()
	x.wantsOps(s, ports.SetValue, ports.Prepare, ports.Begin, ports.Run)
	if s.Ops[2].Own || s.Ops[2].St.ID != "s3" || s.Ops[3].Name != s.Ops[1].St.Name || s.Ops[3].St.Name != "n" {
		t.Fatalf("sent %+v", s.Ops)
	}
	x.answers(s, 11)
	x.wants(ports.Done, ports.Open)
	x.ask(1, ports.SetValue, "v", "2")
	x.wants(ports.Done, ports.Open)
	x.ask(1, ports.Begin)
	x.wants(ports.Malformed, ports.Broken)
	if l := find[Send](x.out); len(l) != 1 || !l[0].Ops[0].Own || l[0].Ops[0].St.Kind != ports.Rollback {
		t.Fatalf("a transaction that failed is not rolled back: %+v", x.out)
	}
	x.ask(1, ports.Read)
	x.wants(ports.Malformed, ports.Broken)
	x.ask(1, ports.Commit)
	x.wants(ports.RolledBack, ports.Idle)

	// One of which nothing was sent is ended here, or begun and committed there.
	x.open(2, "c")
	x.ask(2, ports.Begin)
	x.ask(2, ports.Rollback)
	x.wants(ports.Done, ports.Idle)
	if len(find[Send](x.out)) > 0 {
		t.Fatal("a database is told of a transaction it never knew")
	}
	x.ask(2, ports.Begin)
	x.ask(2, ports.Commit)
	x.wantsOps(x.sent(), ports.Begin, ports.Commit)
}

// TestBeginsApart: with Options.BeginApart the statement follows the beginning's
// return.
func TestBeginsApart(t *testing.T) {
	x := newBench(t, Options{BeginApart: true})
	x.open(1, "c")
	x.ask(1, ports.Begin)
	x.ask(1, ports.Write)
	s := x.sent()
	x.wantsOps(s, ports.Begin)
	x.answers(s, 10)
	m := x.sent()
	x.wantsOps(m, ports.Write)
	x.answers(m, 10)
	x.wants(ports.Done, ports.Open)
	x.open(2, "c")
	x.ask(2, ports.Begin)
	x.ask(2, ports.Write)
	x.fails(x.sent(), ports.ReadOnly, ports.Idle)
	if len(find[Reply](x.out)) > 0 || len(find[Look](x.out)) != 1 {
		t.Fatalf("a beginning bounced for want of the lead gives %+v", x.out)
	}
}

// TestEnds: what each way to fail is told as (design 14.9).
func TestEnds(t *testing.T) {
	const lost, silence = ports.Code(100), ports.Code(101)
	type row struct {
		what  string // single read, single write, first or later in a transaction, commit
		how   ports.Code
		state ports.State // of the database's connection
		again bool        // it is sent or held once more
		code  ports.Code
		in    ports.State
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
		{"write", ports.Unknown, ports.Idle, false, ports.Unknown, ports.Idle},
		{"write", lost, 0, false, ports.InDoubt, ports.Idle},
		{"write", silence, 0, false, ports.InDoubt, ports.Idle},
		{"first", ports.Busy, ports.Broken, true, 0, 0},
		{"first", ports.Failed, ports.Broken, false, ports.Failed, ports.Broken},
		{"first", lost, 0, false, ports.RolledBack, ports.Broken},
		{"first", silence, 0, false, ports.RolledBack, ports.Broken},
		{"later", ports.Busy, ports.Open, true, 0, 0},
		{"later", ports.Busy, ports.Broken, false, ports.Busy, ports.Broken},
		{"later", ports.ReadOnly, ports.Broken, false, ports.ReadOnly, ports.Broken},
		{"later", ports.NoStatement, ports.Broken, false, ports.RolledBack, ports.Broken},
		{"later", ports.Failed, ports.Broken, false, ports.Failed, ports.Broken},
		{"later", lost, 0, false, ports.RolledBack, ports.Broken},
		{"later", silence, 0, false, ports.RolledBack, ports.Broken},
		{"commit", ports.Busy, ports.Open, true, 0, 0},
		{"commit", ports.Busy, ports.Broken, false, ports.Busy, ports.Idle},
		{"commit", ports.RolledBack, ports.Idle, false, ports.RolledBack, ports.Idle},
		{"commit", ports.ReadOnly, ports.Broken, false, ports.ReadOnly, ports.Idle},
		{"commit", ports.Failed, ports.Idle, false, ports.Failed, ports.Idle},
		{"commit", lost, 0, false, ports.InDoubt, ports.Idle},
		{"commit", silence, 0, false, ports.InDoubt, ports.Idle},
		{"commit of reads", lost, 0, false, ports.RolledBack, ports.Idle},
	}
	for _, r := range rows {
		x := newBench(t, Options{})
		x.open(1, "c")
		var s Send
		switch r.what {
		case "read":
			x.ask(1, ports.Read)
		case "write":
			x.ask(1, ports.Write)
		case "first":
			x.ask(1, ports.Begin)
			x.ask(1, ports.Write)
		case "later", "commit", "commit of reads":
			k := ports.Write
			if r.what == "commit of reads" {
				k = ports.Read
			}
			x.ask(1, ports.Begin)
			x.ask(1, k)
			x.answers(x.sent(), 10)
			if k = ports.Write; r.what != "later" {
				k = ports.Commit
			}
			x.ask(1, k)
		}
		s = x.sent()
		n := x.id
		switch r.how {
		case lost:
			x.now += 1_000
			x.step(Lost{Conn: s.Conn, Err: "cut", Cut: true})
		case silence:
			x.out = x.pass(2_000_000)
		default:
			x.fails(s, r.how, r.state)
		}
		l := find[Reply](x.out)
		switch {
		case r.again && len(l) > 0:
			t.Errorf("%s, %d: is told %+v", r.what, r.how, l[0])
		case !r.again && (len(l) != 1 || l[0].Code != r.code || l[0].State != r.in):
			t.Errorf("%s, %d: is told %+v", r.what, r.how, l)
		}
		if r.again && r.how != lost {
			// Its time runs out while no database takes it; nothing is left behind.
			x.look(10)
		}
		// Whatever was in doubt is never sent again.
		if r.code == ports.InDoubt {
			for _, e := range find[Send](x.pass(3_000_000)) {
				for _, op := range e.Ops {
					if op.St.ID == "s"+decimal(uint64(n)) {
						t.Errorf("%s, %d: is sent again", r.what, r.how)
					}
				}
			}
		}
	}
}

// TestUnstamped: nothing is passed on as a success that a database did not stamp.
func TestUnstamped(t *testing.T) {
	for _, c := range []struct {
		k    ports.Kind
		code ports.Code
	}{{ports.Write, ports.InDoubt}, {ports.Commit, ports.InDoubt}} {
		x := newBench(t, Options{})
		x.open(1, "c")
		if c.k == ports.Commit {
			x.ask(1, ports.Begin)
			x.ask(1, ports.Write)
			x.answers(x.sent(), 10)
		}
		x.ask(1, c.k)
		s := x.sent()
		x.step(Answered{Conn: s.Conn, Answer: ports.Answer{State: ports.Idle, Position: ports.Position{Term: 1, Number: 11}}})
		x.wants(c.code, ports.Idle)
		if len(find[Close](x.out)) != 1 {
			t.Fatal("the connection is kept")
		}
	}
}

// TestLease: a read that needs the newest commit waits for a lease that held
// when it came; a write does not.
func TestLease(t *testing.T) {
	x := newBench(t, Options{})
	x.open(1, "c")
	x.open(2, "c")
	x.open(3, "c")
	x.now += 1_000_000
	x.ask(1, ports.Read)
	if len(find[Look](x.out)) != 1 || len(find[Connect](x.out)) != 0 {
		t.Fatalf("without a lease: %+v", x.out)
	}
	x.ask(2, ports.Read)
	if len(find[Look](x.out)) != 0 {
		t.Fatal("a second look is asked for")
	}
	x.ask(3, ports.Write)
	if len(find[Connect](x.out)) == 0 {
		t.Fatal("a write waits for a lease")
	}
	x.view.Doubt = true
	x.look(1_000_000)
	if len(find[Connect](x.out)) != 0 {
		t.Fatal("a lease in doubt counts")
	}
	x.view.Doubt = false
	x.look(1_000_000)
	if x.b.groups["g"].wait.len() != 0 {
		t.Fatal("they still wait")
	}
	// Nor does a lease from before the sealing reach beyond it.
	x.view.Phase = ports.PhaseSealing
	sure := x.b.groups["g"].sure
	x.look(9_000_000)
	if x.b.groups["g"].sure != sure {
		t.Fatal("a lease that shows the sealing counts for the old primary")
	}
	// It gives up at a quarter of the aim, with the moment to come back at.
	x.view.Phase = ports.PhaseOpen
	y := newBench(t, Options{})
	y.open(1, "c")
	y.now += 1_000_000
	y.ask(1, ports.Read)
	y.out = y.pass(75_000)
	y.wants(ports.Busy, ports.Idle)
	if !strings.Contains(y.reply().Text, "retry after") {
		t.Fatalf("told %q", y.reply().Text)
	}
}

// TestEvidence: what a primary shows counts only if the lease held after the
// statement was sent; on it a read goes to a follower with the position it needs.
func TestEvidence(t *testing.T) {
	for _, held := range []bool{true, false} {
		x := newBench(t, Options{})
		x.open(1, "c")
		x.open(2, "b")
		if !held {
			x.now += 1_000_001
		}
		x.ask(1, ports.Write)
		x.answers(x.sent(), 12)
		if !held { // it is acknowledged once the lease is there again
			if len(find[Reply](x.out)) != 0 || len(find[Look](x.out)) != 1 {
				t.Fatalf("acknowledged without a lease: %+v", x.out)
			}
			x.look(1_000_000)
		}
		x.wants(ports.Done, ports.Idle)
		if known := x.b.groups["g"].q.Known(); known != held {
			t.Fatalf("lease %v, evidence %v", held, known)
		}
		if !held {
			continue
		}
		x.ask(2, ports.Read)
		s := x.sent()
		if x.at(s.Conn) == "x" || s.Ops[0].After != (ports.Position{Term: 1, Number: 12}) {
			t.Fatalf("the read goes to %s after %v", x.at(s.Conn), s.Ops[0].After)
		}
		// It lags: another is tried, and the primary last.
		x.fails(s, ports.Lagging, ports.Idle)
		seen := []string{"x", x.at(s.Conn)}
		s = x.sent()
		if slices.Contains(seen, x.at(s.Conn)) {
			t.Fatalf("%s is tried next", x.at(s.Conn))
		}
		x.fails(s, ports.Lagging, ports.Idle)
		if s = x.sent(); x.at(s.Conn) != "x" || s.Ops[0].After.Known() {
			t.Fatalf("%s is tried last, after %v", x.at(s.Conn), s.Ops[0].After)
		}
		x.answers(s, 12)
		x.wants(ports.Done, ports.Idle)
		// Evidence that is too old sends it to the primary.
		x.now += 400_000
		x.ask(2, ports.Read)
		if s = x.sent(); x.at(s.Conn) != "x" {
			t.Fatalf("on old evidence it goes to %s", x.at(s.Conn))
		}
	}
}

// TestOwnCommitCounts: a follower needs this node's own commits as well as
// others', once they are old enough.
func TestOwnCommitCounts(t *testing.T) {
	for _, old := range []bool{true, false} {
		x := newBench(t, Options{})
		x.open(1, "c")
		x.open(2, "b")
		x.ask(1, ports.Read)
		x.answers(x.sent(), 10)
		x.ask(2, ports.Read)
		x.answers(x.sent(), 10)
		x.ask(1, ports.Write)
		x.answers(x.sent(), 11)
		x.now += 200_000
		x.ask(1, ports.Read)
		x.answers(x.sent(), 11)
		want := int64(10)
		if old {
			x.now += 200_000
			want = 11
		}
		// The follower that is known to stand at 10.
		for _, in := range x.b.groups["g"].ins {
			if in.ID != "x" && in.pos.Number != 10 {
				in.failing = 1
			}
		}
		x.ask(2, ports.Read)
		if s := x.sent(); x.at(s.Conn) == "x" || s.Ops[0].After.Number != want {
			t.Fatalf("old %v: at %s after %v", old, x.at(s.Conn), s.Ops[0].After)
		}
	}
}

// TestPinned: a session reads what it wrote itself.
func TestPinned(t *testing.T) {
	x := newBench(t, Options{})
	x.open(1, "p")
	x.ask(1, ports.Write)
	x.answers(x.sent(), 20)
	x.ask(1, ports.BeginRead)
	x.ask(1, ports.Read)
	s := x.sent()
	x.wantsOps(s, ports.BeginRead, ports.Read)
	if x.at(s.Conn) == "x" || s.Ops[0].After.Number != 20 || s.Ops[1].After.Known() {
		t.Fatalf("at %s: %+v", x.at(s.Conn), s.Ops)
	}
	x.answers(s, 20)
	if r := x.b.Report(x.now); len(r.Words) != 1 || r.Words[0].Acked != (ports.Position{Term: 1, Number: 20}) {
		t.Fatalf("reports %+v", r)
	}
}

// TestChangeOfPrimary: nothing new while it closes, transactions end with their
// primary, and what runs counts where followers had to receive it.
func TestChangeOfPrimary(t *testing.T) {
	for _, sync := range []int{0, 1} {
		x := newBench(t, Options{})
		x.tab.Groups[0].Sync = sync
		x.look(1_000_000)
		for s := range uint64(4) {
			x.open(s+1, "c")
		}
		x.ask(1, ports.Begin)
		x.ask(1, ports.Write)
		x.answers(x.sent(), 10)
		x.ask(2, ports.Write)
		run := x.sent()
		x.view.Revision, x.view.Phase, x.view.ExpectUs = 2, ports.PhaseClosing, 200_000
		x.look(1_000_000)
		x.b.Report(x.now)
		x.ask(3, ports.Write)
		if len(x.out) != 0 {
			t.Fatalf("new work while it closes: %+v", x.out)
		}
		x.ask(1, ports.Read)
		x.answers(x.sent(), 10)
		x.wants(ports.Done, ports.Open)
		if w := x.b.Report(x.now).Words[0]; w.Quiet || w.Revision != 2 {
			t.Fatalf("word %+v", w)
		}
		x.view.Revision, x.view.Phase = 3, ports.PhaseSealing
		x.look(1_000_000)
		if len(find[Close](x.out)) != 1 {
			t.Fatalf("a resting transaction goes on: %+v", x.out)
		}
		// Whoever is promoted next may lack it by the time it would be acknowledged:
		// the followers may be held no longer.
		x.answers(run, 11)
		x.wants(ports.InDoubt, ports.Idle)
		if r := x.b.Report(x.now); !r.Words[0].Quiet {
			t.Fatalf("reports %+v", r)
		}
		x.ask(1, ports.Read)
		x.wants(ports.RolledBack, ports.Broken)
		x.ask(1, ports.Rollback)
		x.wants(ports.Done, ports.Idle)
		// What was held for the change goes on at the new primary.
		x.now += 100_000
		x.view.Leadership = ports.Leadership{Revision: 4, Term: 2, Primary: "y", Phase: ports.PhaseOpen}
		x.look(1_000_000)
		s := x.sent()
		if x.at(s.Conn) != "y" {
			t.Fatalf("goes to %s", x.at(s.Conn))
		}
		x.answers(s, 12)
		x.wants(ports.Done, ports.Idle)
	}
}

// TestConfirmed: a commit is acknowledged only while its primary surely leads; a
// doubt or a lease that ran out holds it until that is known, and not for long.
func TestConfirmed(t *testing.T) {
	for _, c := range []struct {
		name string
		then func(*bench)
		want ports.Code
	}{
		{"closing", func(x *bench) {
			x.view.Revision, x.view.Phase, x.view.Doubt = 2, ports.PhaseClosing, false
			x.look(1_000_000)
		}, ports.Done},
		{"sealing", func(x *bench) {
			x.view.Revision, x.view.Phase, x.view.Doubt = 2, ports.PhaseSealing, false
			x.look(1_000_000)
		}, ports.InDoubt},
		{"nothing newer after all", func(x *bench) { x.view.Doubt = false; x.look(1_000_000) }, ports.Done},
		{"no word", func(x *bench) { x.now += 400_000; x.step(Tick{}) }, ports.InDoubt},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newBench(t, Options{})
			x.look(1_000_000)
			x.open(1, "c")
			x.ask(1, ports.Write)
			run := x.sent()
			x.view.Doubt = true
			x.look(1_000_000)
			x.answers(run, 11)
			if len(find[Reply](x.out)) != 0 {
				t.Fatalf("acknowledged in doubt: %+v", x.out)
			}
			c.then(x)
			x.wants(c.want, ports.Idle)
		})
	}
}

// TestQuiet: the moment a group falls quiet is told at once.
func TestQuiet(t *testing.T) {
	x := newBench(t, Options{})
	x.open(1, "c")
	x.ask(1, ports.Write)
	s := x.sent()
	x.view.Revision, x.view.Phase = 2, ports.PhaseClosing
	x.look(1_000_000)
	x.b.Report(x.now)
	x.answers(s, 11)
	if r := x.b.Report(x.now); !r.Changed || !r.Words[0].Quiet {
		t.Fatalf("reports %+v", r)
	}
	if x.b.Report(x.now).Changed {
		t.Fatal("it is told twice")
	}
}

// TestHeld: a statement is held through a change that ends within its aim, and
// bounced early out of one that does not.
func TestHeld(t *testing.T) {
	for _, expect := range []int64{200_000, 700_000} {
		x := newBench(t, Options{})
		x.open(1, "c")
		x.view.Revision, x.view.Phase, x.view.ExpectUs = 2, ports.PhaseSealing, expect
		x.look(1_000_000)
		x.ask(1, ports.Write)
		early := find[Reply](x.pass(80_000))
		late := find[Reply](x.pass(400_000))
		if (len(early) > 0) != (expect > 300_000) || len(early)+len(late) != 1 {
			t.Fatalf("change of %d: %+v and %+v", expect, early, late)
		}
	}
}

// TestSilent: a database that falls silent is told of, and a read goes on
// elsewhere.
func TestSilent(t *testing.T) {
	x := newBench(t, Options{})
	x.open(1, "c")
	x.open(2, "b")
	x.ask(1, ports.Write)
	x.answers(x.sent(), 10)
	x.ask(2, ports.Read)
	s := x.sent()
	from := x.at(s.Conn)
	out := x.pass(400_000)
	l := find[Connect](out)
	if len(l) == 0 || len(find[Close](out)) != 0 {
		t.Fatalf("after the silence: %+v", out)
	}
	r := x.b.Report(x.now)
	if !r.Changed || len(r.Sightings) != 1 || r.Sightings[0].ID != from || r.Sightings[0].FailingUs < 400_000 || r.Sightings[0].Cut {
		t.Fatalf("reports %+v", r)
	}
	// Its late return is nobody's, and clears it.
	x.answers(s, 10)
	if len(find[Reply](x.out)) != 0 || len(x.b.Report(x.now).Sightings) != 0 {
		t.Fatalf("a late return: %+v", x.out)
	}
}

// TestNotThere: a connect that finds nobody is told at once; a success takes it
// back.
func TestNotThere(t *testing.T) {
	x := newBench(t, Options{})
	x.open(1, "c")
	x.ask(1, ports.Write)
	c := find[Connect](x.out)[0]
	x.step(Connected{Conn: c.Conn, Err: "nobody", NotThere: true})
	if r := x.b.Report(x.now); !r.Changed || len(r.Sightings) != 1 || !r.Sightings[0].Cut {
		t.Fatalf("reports %+v", r)
	}
	if len(find[Connect](x.out)) != 0 {
		t.Fatal("it connects again at once")
	}
	x.out = x.pass(50_000)
	x.answers(x.sent(), 10)
	x.wants(ports.Done, ports.Idle)
	if r := x.b.Report(x.now); len(r.Sightings) != 0 {
		t.Fatalf("reports %+v", r)
	}
}

// TestLeaving: a follower that leaves gets nothing new, one that is gone loses
// its connections.
func TestLeaving(t *testing.T) {
	x := newBench(t, Options{})
	x.open(1, "c")
	x.open(2, "b")
	x.ask(1, ports.Write)
	x.answers(x.sent(), 10)
	x.ins[1].Leaving = true
	x.look(1_000_000)
	for range 20 {
		x.ask(2, ports.Read)
		s := x.sent()
		if x.at(s.Conn) == "y" {
			t.Fatal("one that leaves is given a read")
		}
		x.answers(s, 10)
	}
	// A primary that leaves leads on until it is switched away from.
	x.ins[0].Leaving = true
	x.look(1_000_000)
	x.ask(1, ports.Write)
	s := x.sent()
	x.ins[0].Gone = true
	x.look(1_000_000)
	x.wants(ports.InDoubt, ports.Idle)
	if len(find[Close](x.out)) == 0 || x.b.conns[s.Conn] != nil {
		t.Fatal("its connections stay")
	}
}

// TestResting: a transaction that rests too long is rolled back, and its session
// told at its next statement.
func TestResting(t *testing.T) {
	x := newBench(t, Options{})
	x.open(1, "c")
	x.ask(1, ports.Begin)
	x.ask(1, ports.Write)
	x.answers(x.sent(), 10)
	l := find[Send](x.pass(3_200_000))
	if len(l) != 1 || l[0].Ops[0].St.Kind != ports.Rollback || !l[0].Ops[0].Own {
		t.Fatalf("sent %+v", l)
	}
	x.answers(l[0], 10)
	if len(x.b.ins["x"].idle) != 1 {
		t.Fatal("its connection is not free")
	}
	x.ask(1, ports.Commit)
	x.wants(ports.RolledBack, ports.Idle)
}

// TestStop: resting sessions are shut, transactions may end within the grace.
func TestStop(t *testing.T) {
	x := newBench(t, Options{})
	for s := range uint64(3) {
		x.open(s+1, "c")
	}
	for _, s := range []uint64{2, 3} {
		x.ask(s, ports.Begin)
		x.ask(s, ports.Write)
		x.answers(x.sent(), 10)
	}
	x.step(Stop{GraceUs: 1_000_000})
	if l := find[Shut](x.out); len(l) != 1 || l[0].Session != 1 || len(find[Reply](x.out)) != 0 {
		t.Fatalf("at the stop: %+v", x.out)
	}
	if x.b.Ready(x.now) || x.b.Busy() != 2 {
		t.Fatalf("ready %v, busy %d", x.b.Ready(x.now), x.b.Busy())
	}
	x.step(Opened{Session: 9, Host: "c"})
	if r := x.reply(); r.Code != ports.Busy || !r.Close {
		t.Fatalf("a new session: %+v", r)
	}
	x.ask(2, ports.Commit)
	x.answers(x.sent(), 11)
	if r := x.reply(); r.Code != ports.Done || !r.Close {
		t.Fatalf("a commit: %+v", r)
	}
	if len(find[Send](x.pass(600_000))) != 1 {
		t.Fatal("the grace's end rolls nothing back")
	}
	x.ask(3, ports.Write)
	x.wants(ports.RolledBack, ports.Broken)
	x.ask(3, ports.Rollback)
	if r := x.reply(); r.Code != ports.Done || !r.Close || x.b.Busy() != 0 {
		t.Fatalf("the end: %+v, busy %d", r, x.b.Busy())
	}
}

// TestRoutes: a session is opened on a route there is, and asks on one.
func TestRoutes(t *testing.T) {
	b := New(1, "a", Options{})
	if r := find[Reply](b.Step(1, Opened{Session: 1, Host: "c"})); len(r) != 1 || r[0].Code != ports.Busy || !r[0].Close {
		t.Fatalf("without a routing table: %+v", r)
	}
	x := newBench(t, Options{})
	x.step(Opened{Session: 1, Host: "none"})
	if r := x.reply(); r.Code != ports.NoDatabase || !r.Close {
		t.Fatalf("on no route: %+v", r)
	}
	x.open(2, "c")
	x.open(3, "c")
	x.ask(3, ports.Begin)
	x.tab.Revision++
	x.tab.Routes = x.tab.Routes[1:]
	x.look(1_000_000)
	x.ask(3, ports.Write)
	x.answers(x.sent(), 10)
	x.wants(ports.Done, ports.Open)
	x.ask(2, ports.Read)
	if r := x.reply(); r.Code != ports.NoDatabase || !r.Close || r.State != ports.Idle {
		t.Fatalf("on a route that is gone: %+v", r)
	}
}

// TestRanks: the higher rank goes first.
func TestRanks(t *testing.T) {
	x := newBench(t, Options{})
	x.tab.Groups[0].ConnLimit = 5
	x.look(1_000_000)
	for s, h := range []string{"c", "c", "first"} {
		x.open(uint64(s+1), h)
		x.ask(uint64(s+1), ports.Write)
		if s == 0 {
			x.sent()
		}
	}
	c := x.b.ins["x"].conns[0]
	x.answers(Send{Conn: c.id, Ops: []ports.Op{{St: ports.Statement{Kind: ports.Write}}}}, 10)
	if s := x.sent(); s.Ops[0].St.ID != "s3" {
		t.Fatalf("%s goes first", s.Ops[0].St.ID)
	}
	if n := len(x.b.conns); n != 1 {
		t.Fatalf("%d connections where one is allowed", n)
	}
}

// TestPreparedBound: a connection holds so many prepared names, then it is reset.
func TestPreparedBound(t *testing.T) {
	x := newBench(t, Options{Prepared: 4})
	x.open(1, "c")
	x.ask(1, ports.SetValue, "v", "1")
	resets := 0
	for i := range uint64(10) {
		x.ask(1, ports.Prepare, "n", "shape"+decimal(i), "w")
		x.ask(1, ports.Run, "n")
		s := x.sent()
		if s.Ops[0].St.Kind == ports.Reset {
			resets++
			x.wantsOps(s, ports.Reset, ports.SetValue, ports.Prepare, ports.Run)
		}
		x.answers(s, 10)
		x.wants(ports.Done, ports.Idle)
	}
	if resets != 2 {
		t.Fatalf("%d resets", resets)
	}
	x.ask(1, ports.Drop, "n")
	x.wants(ports.Done, ports.Idle)
	x.ask(1, ports.Run, "n")
	x.wants(ports.NoStatement, ports.Idle)
}

// TestLeft: what a session that is gone has under way ends in order.
func TestLeft(t *testing.T) {
	x := newBench(t, Options{})
	x.open(1, "c")
	x.open(2, "c")
	x.open(3, "c")
	x.ask(1, ports.Write)
	s := x.sent()
	x.step(Left{Session: 1})
	if len(x.out) != 0 {
		t.Fatalf("a running write: %+v", x.out)
	}
	x.answers(s, 10)
	if len(x.out) != 0 || len(x.b.ins["x"].idle) != 1 {
		t.Fatalf("its end: %+v", x.out)
	}
	x.ask(2, ports.Begin)
	x.ask(2, ports.Write)
	x.answers(x.sent(), 10)
	x.step(Left{Session: 2})
	x.wantsOps(x.sent(), ports.Rollback)
	x.now += 2_000_000
	x.ask(3, ports.Read) // waits for a lease
	x.step(Left{Session: 3})
	if g := x.b.Gauges(); g.Sessions != 0 || g.Waiting != 0 || g.Open != 0 {
		t.Fatalf("left behind: %+v", g)
	}
}

// TestIdle: a table with nothing to do asks for no ticks.
func TestIdle(t *testing.T) {
	x := newBench(t, Options{})
	if x.b.Due() != math.MaxInt64 {
		t.Fatalf("due in %d", x.b.Due()-x.now)
	}
	x.open(1, "c")
	x.ask(1, ports.Write)
	x.answers(x.sent(), 10)
	if d := x.b.Due() - x.now; d != x.b.o.IdleUs {
		t.Fatalf("due in %d", d)
	}
	if l := find[Close](x.pass(60_000_000)); len(l) != 1 || x.b.Due() != math.MaxInt64 {
		t.Fatalf("closed %+v, due in %d", l, x.b.Due()-x.now)
	}
}

// TestBusy: a database that is busy is given less at once, and then more again.
func TestBusy(t *testing.T) {
	x := newBench(t, Options{})
	x.open(1, "c")
	x.ask(1, ports.Write)
	s := x.sent()
	x.fails(s, ports.Busy, ports.Idle)
	if in := x.b.ins["x"]; in.slots != 2 || in.pause <= x.now {
		t.Fatalf("slots %v", in.slots)
	}
	x.out = x.pass(50_000)
	s = x.sent()
	x.answers(s, 10)
	x.wants(ports.Done, ports.Idle)
}

// BenchmarkRead is one read from asking to its reply.
func BenchmarkRead(b *testing.B) {
	x := newBench(&testing.T{}, Options{})
	x.step(Opened{Session: 1, Host: "c"})
	st := ports.Statement{ID: "s", Kind: ports.Read}
	an := ports.Answer{Stamped: true, Position: ports.Position{Term: 1, Number: 10}}
	out := x.b.Step(x.now, Asked{Session: 1, St: st})
	c := out[0].(Connect).Conn
	x.b.Step(x.now, Connected{Conn: c})
	b.ReportAllocs()
	for b.Loop() {
		x.now++
		x.b.Step(x.now, Answered{Conn: c, Answer: an})
		x.b.Step(x.now, View{LeaseUntil: x.now + 1000})
		x.b.Step(x.now, Asked{Session: 1, St: st})
	}
}
