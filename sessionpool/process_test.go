package sessionpool

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"stoneford/ports"
	"stoneford/sessiontable"
)

// scripted is a core that does what a test says.
type scripted struct {
	step  func(now int64, e any) []sessiontable.Effect
	due   int64
	busy  int
	ready bool
	in    int // steps under way
	evs   []any
}

func (s *scripted) Step(now int64, evs ...any) (fx Effects) {
	if s.in++; s.in > 1 {
		panic("two steps at once")
	}
	for _, e := range evs {
		s.evs = append(s.evs, e)
		if s.step != nil {
			fx.Do = append(fx.Do, s.step(now, e)...)
		}
	}
	s.in--
	return fx
}

func (s *scripted) Due() int64       { return s.due }
func (s *scripted) Busy() int        { return s.busy }
func (s *scripted) Ready(int64) bool { return s.ready }

// journal notes what edges are told, in order.
type journal struct {
	mu    sync.Mutex
	lines []string
}

func (j *journal) add(f string, a ...any) {
	j.mu.Lock()
	j.lines = append(j.lines, fmt.Sprintf(f, a...))
	j.mu.Unlock()
}

func (j *journal) expect(t *testing.T, lines ...string) {
	t.Helper()
	j.mu.Lock()
	defer j.mu.Unlock()
	if !slices.Equal(j.lines, lines) {
		t.Errorf("%q, not %q", j.lines, lines)
	}
	j.lines = nil
}

type testCaller struct{ *journal }

func (c testCaller) Reply(r ports.Reply) { c.add("reply %s", r.Text) }
func (c testCaller) End()                { c.add("end") }
func (c testCaller) Flush()              { c.add("flush") }

type testDatabase struct {
	*journal
	answers chan ports.Answer
	broken  chan error
	closed  chan struct{}
	once    sync.Once
}

func (d *testDatabase) Queue(ops []ports.Op) { d.add("queue %s", ops[0].St.Text) }
func (d *testDatabase) Flush()               { d.add("flush") }

func (d *testDatabase) Close() {
	d.add("close")
	d.once.Do(func() { close(d.closed) })
}

func (d *testDatabase) Read(into []ports.Answer) ([]ports.Answer, error) {
	select {
	case a := <-d.answers:
		into = append(into, a)
		for len(d.answers) > 0 {
			into = append(into, <-d.answers)
		}
		return into, nil
	case err := <-d.broken:
		return into, err
	case <-d.closed:
		return into, net.ErrClosed
	}
}

type dialer func(ctx context.Context, id string) (Database, ports.Position, ports.Code, error)

func (d dialer) Dial(ctx context.Context, _, _, id string) (Database, ports.Position, ports.Code, error) {
	return d(ctx, id)
}

// in runs a test of a process in a bubble of its own time.
func in(t *testing.T, db *testDatabase, d dialer, s *scripted, f func(t *testing.T, p *Process)) {
	t.Helper()
	if s.due == 0 {
		s.due = math.MaxInt64
	}
	synctest.Test(t, func(t *testing.T) {
		if db != nil {
			db.answers, db.broken, db.closed = make(chan ports.Answer, 9), make(chan error, 1), make(chan struct{})
			defer db.Close()
		}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		p := newProcess(ports.Boot{Bounds: ports.Bounds{GraceUs: 6_000_000, TakenOutUs: 2_200_000}}, clockwork.NewRealClock(), Edges{Dialer: d}, s)
		p.run = ctx
		f(t, p)
	})
}

// pass lets the bubble's time pass.
func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func newDatabase() *testDatabase { return &testDatabase{journal: &journal{}} }

func reply(session uint64, text string, end bool) sessiontable.Reply {
	return sessiontable.Reply{Session: session, Reply: ports.Reply{Text: text}, Close: end}
}

func TestAStatementsWay(t *testing.T) {
	db := newDatabase()
	s := &scripted{step: func(_ int64, e any) []sessiontable.Effect {
		switch e := e.(type) {
		case sessiontable.Opened:
			return []sessiontable.Effect{reply(e.Session, e.Host, false)}
		case sessiontable.Asked:
			return []sessiontable.Effect{sessiontable.Connect{Conn: 7, ID: "i-1", WaitUs: 400_000}}
		case sessiontable.Connected:
			return []sessiontable.Effect{sessiontable.Send{Conn: e.Conn, Ops: []ports.Op{{St: ports.Statement{Text: "x"}}}}}
		case sessiontable.Answered:
			return []sessiontable.Effect{reply(1, e.Answer.Text, false)}
		}
		return nil
	}}
	in(t, db, func(_ context.Context, id string) (Database, ports.Position, ports.Code, error) {
		return db, ports.Position{Term: 3, Number: 7}, ports.Done, nil
	}, s, func(t *testing.T, p *Process) {
		c := testCaller{&journal{}}
		if id := p.Opened(c, "lepu"); id != 1 {
			t.Fatal(id)
		}
		c.expect(t, "reply lepu", "flush")
		p.Asked(1, ports.Statement{ID: "5c"})
		synctest.Wait()
		db.expect(t, "queue x", "flush")
		c.expect(t)
		db.answers <- ports.Answer{Text: "done"}
		synctest.Wait()
		c.expect(t, "reply done", "flush")
		// Two that came together are one step.
		db.answers <- ports.Answer{Text: "a"}
		db.answers <- ports.Answer{Text: "b"}
		synctest.Wait()
		c.expect(t, "reply a", "reply b", "flush", "flush")
		p.Left(1)
		p.Left(1)
		p.Asked(1, ports.Statement{})
		if n := len(s.evs); s.evs[n-1] != (sessiontable.Left{Session: 1}) || n != 7 {
			t.Errorf("%d events: %v", n, s.evs)
		}
		if e := s.evs[2].(sessiontable.Connected); e.Conn != 7 || e.Position.Number != 7 || e.Err != "" {
			t.Errorf("%+v", e)
		}
	})
}

func TestWhatIsQueuedFollowsTheCore(t *testing.T) {
	db := newDatabase()
	n := 0
	s := &scripted{}
	s.step = func(_ int64, e any) []sessiontable.Effect {
		switch e.(type) {
		case sessiontable.Opened:
			return []sessiontable.Effect{sessiontable.Connect{Conn: 1, WaitUs: 1000}}
		case sessiontable.Asked:
			n++
			return []sessiontable.Effect{sessiontable.Send{Conn: 1, Ops: []ports.Op{{St: ports.Statement{Text: fmt.Sprint(n)}}}}, reply(1, fmt.Sprint(n), false)}
		}
		return nil
	}
	in(t, db, func(context.Context, string) (Database, ports.Position, ports.Code, error) {
		return db, ports.Position{}, 0, nil
	}, s, func(t *testing.T, p *Process) {
		c := testCaller{&journal{}}
		p.Opened(c, "x")
		synctest.Wait()
		var all sync.WaitGroup
		for range 50 {
			all.Go(func() { p.Asked(1, ports.Statement{}) })
		}
		all.Wait()
		for what, lines := range map[string][]string{"queue ": db.lines, "reply ": c.lines} {
			var got, want []string
			for _, l := range lines {
				if strings.HasPrefix(l, what) {
					want = append(want, fmt.Sprint(what, len(want)+1))
					got = append(got, l)
				}
			}
			if len(got) != 50 || !slices.Equal(got, want) || lines[len(lines)-1] != "flush" {
				t.Errorf("%q", lines)
			}
		}
	})
}

func TestAnEndedSessionIsForgotten(t *testing.T) {
	s := &scripted{step: func(_ int64, e any) []sessiontable.Effect {
		switch e := e.(type) {
		case sessiontable.Opened:
			return []sessiontable.Effect{reply(e.Session, "", false)}
		case sessiontable.Asked:
			return []sessiontable.Effect{reply(e.Session, "the end", true), reply(e.Session, "too late", false), sessiontable.Shut{Session: e.Session}}
		case sessiontable.Stop:
			return []sessiontable.Effect{sessiontable.Shut{Session: 2}, sessiontable.Shut{Session: 9}}
		}
		return nil
	}}
	in(t, nil, nil, s, func(t *testing.T, p *Process) {
		a, b := testCaller{&journal{}}, testCaller{&journal{}}
		p.Opened(a, "")
		p.Opened(b, "")
		p.Asked(1, ports.Statement{})
		a.expect(t, "reply ", "flush", "reply the end", "end", "flush")
		b.expect(t, "reply ", "flush")
		p.step(sessiontable.Stop{})
		b.expect(t, "end", "flush")
		evs := len(s.evs)
		p.Left(1)
		p.Left(2)
		if len(s.evs) != evs || len(p.sessions) != 0 {
			t.Error("the core heard of sessions it had ended")
		}
	})
}

func TestHowConnectsEnd(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	for _, c := range []struct {
		code ports.Code
		err  error
		want sessiontable.Connected
	}{
		{ports.Done, refused, sessiontable.Connected{Conn: 1, Err: refused.Error(), NotThere: true, Cut: true}},
		{ports.TooMany, errors.New("too many"), sessiontable.Connected{Conn: 1, Code: ports.TooMany, Err: "too many", Cut: true}},
		{ports.Done, io.EOF, sessiontable.Connected{Conn: 1, Err: io.EOF.Error(), Cut: true}},
		{ports.Done, nil, sessiontable.Connected{Conn: 1, Err: context.DeadlineExceeded.Error()}},
	} {
		s := &scripted{step: func(_ int64, e any) []sessiontable.Effect {
			if _, ok := e.(sessiontable.Tick); ok {
				return []sessiontable.Effect{sessiontable.Connect{Conn: 1, WaitUs: 400_000}}
			}
			return []sessiontable.Effect{sessiontable.Close{Conn: 1}}
		}}
		in(t, nil, func(ctx context.Context, _ string) (Database, ports.Position, ports.Code, error) {
			if c.err != nil {
				return nil, ports.Position{}, c.code, c.err
			}
			<-ctx.Done()
			return nil, ports.Position{}, ports.Done, ctx.Err()
		}, s, func(t *testing.T, p *Process) {
			began := time.Now()
			p.step(sessiontable.Tick{})
			pass(time.Second)
			if len(s.evs) != 2 || s.evs[1] != c.want || len(p.conns) != 0 || time.Since(began) != time.Second {
				t.Errorf("%+v", s.evs)
			}
		})
	}
}

func TestAConnectThatIsGivenUp(t *testing.T) {
	for _, late := range []bool{false, true} {
		db := newDatabase()
		s := &scripted{step: func(_ int64, e any) []sessiontable.Effect {
			if _, ok := e.(sessiontable.Stop); ok {
				return []sessiontable.Effect{sessiontable.Close{Conn: 1}}
			}
			return []sessiontable.Effect{sessiontable.Connect{Conn: 1, WaitUs: 400_000}, sessiontable.Send{Conn: 1, Ops: make([]ports.Op, 1)}}
		}}
		in(t, db, func(ctx context.Context, _ string) (Database, ports.Position, ports.Code, error) {
			<-ctx.Done()
			if late {
				return db, ports.Position{}, ports.Done, nil
			}
			return nil, ports.Position{}, ports.Done, ctx.Err()
		}, s, func(t *testing.T, p *Process) {
			began := time.Now()
			p.step(sessiontable.Tick{})
			p.step(sessiontable.Stop{})
			synctest.Wait()
			if len(s.evs) != 2 || len(p.conns) != 0 || time.Since(began) > 0 {
				t.Errorf("%v", s.evs)
			}
			if late {
				db.expect(t, "close")
			}
		})
	}
}

func TestHowConnectionsEnd(t *testing.T) {
	for err, cut := range map[error]bool{
		io.EOF: true, syscall.ECONNRESET: true, io.ErrUnexpectedEOF: true, errors.New("not an answer"): true,
		&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}: false, os.ErrDeadlineExceeded: false, syscall.EHOSTUNREACH: false,
	} {
		db := newDatabase()
		s := &scripted{step: func(_ int64, e any) []sessiontable.Effect {
			if _, ok := e.(sessiontable.Tick); ok {
				return []sessiontable.Effect{sessiontable.Connect{Conn: 1, WaitUs: 400_000}}
			}
			return nil
		}}
		in(t, db, func(context.Context, string) (Database, ports.Position, ports.Code, error) {
			return db, ports.Position{}, 0, nil
		}, s, func(t *testing.T, p *Process) {
			p.step(sessiontable.Tick{})
			synctest.Wait()
			db.broken <- err
			synctest.Wait()
			if l, ok := s.evs[len(s.evs)-1].(sessiontable.Lost); !ok || l.Conn != 1 || l.Cut != cut || l.Err != err.Error() {
				t.Errorf("%v: %+v", err, l)
			}
			db.expect(t, "close")
			if len(p.conns) != 0 {
				t.Error("the connection is kept")
			}
		})
	}
}

func TestAConnectionThatIsClosedSaysNothingMore(t *testing.T) {
	db := newDatabase()
	s := &scripted{step: func(_ int64, e any) []sessiontable.Effect {
		switch e.(type) {
		case sessiontable.Tick:
			return []sessiontable.Effect{sessiontable.Connect{Conn: 1, WaitUs: 400_000}}
		case sessiontable.Stop:
			return []sessiontable.Effect{sessiontable.Send{Conn: 1, Ops: make([]ports.Op, 1)}, sessiontable.Close{Conn: 1}}
		}
		return nil
	}}
	in(t, db, func(context.Context, string) (Database, ports.Position, ports.Code, error) {
		return db, ports.Position{}, 0, nil
	}, s, func(t *testing.T, p *Process) {
		p.step(sessiontable.Tick{})
		synctest.Wait()
		p.step(sessiontable.Stop{})
		db.expect(t, "queue ", "flush", "close")
		db.answers <- ports.Answer{}
		synctest.Wait()
		if len(s.evs) != 3 {
			t.Errorf("%v", s.evs)
		}
	})
}

func TestTheAlarm(t *testing.T) {
	var rang []int64
	s := &scripted{due: 2_000_000}
	s.step = func(now int64, e any) []sessiontable.Effect {
		if _, ok := e.(sessiontable.Tick); ok && now >= s.due {
			rang = append(rang, now)
			s.due = math.MaxInt64
		}
		return nil
	}
	in(t, nil, nil, s, func(t *testing.T, p *Process) {
		due := func(at int64) {
			p.mu.Lock()
			s.due = at
			p.stepLocked()
		}
		steps := func() int {
			p.mu.Lock()
			defer p.mu.Unlock()
			return len(s.evs)
		}
		due(2_000_000) // it is 1 s
		due(1_500_000)
		pass(time.Second)
		if !slices.Equal(rang, []int64{1_500_000}) {
			t.Error(rang)
		}
		// Set for 3 s, then nothing is due before 4: it rings once in between, for nobody.
		due(3_000_000)
		due(4_000_000)
		before := steps()
		pass(1500 * time.Millisecond)
		if steps() != before {
			t.Error("the core was woken early")
		}
		pass(time.Second)
		if !slices.Equal(rang, []int64{1_500_000, 4_000_000}) {
			t.Error(rang)
		}
	})
}

func TestDraining(t *testing.T) {
	for _, c := range []struct {
		busyFor, ends time.Duration
	}{
		{0, 2200 * time.Millisecond},
		{3 * time.Second, 3 * time.Second},
		{time.Hour, 5700 * time.Millisecond},
	} {
		s := &scripted{ready: true, busy: 1}
		s.step = func(_ int64, e any) []sessiontable.Effect {
			if e == any(sessiontable.Stop{GraceUs: 6_000_000}) {
				s.ready = false
			}
			return nil
		}
		in(t, nil, nil, s, func(t *testing.T, p *Process) {
			began := time.Now()
			rest := time.AfterFunc(c.busyFor, func() {
				p.mu.Lock()
				s.busy = 0
				p.mu.Unlock()
			})
			defer rest.Stop()
			ready := make(chan bool, 1)
			time.AfterFunc(time.Microsecond, func() { ready <- p.Ready() })
			if !p.Ready() {
				t.Error("not ready before")
			}
			p.drain()
			if <-ready {
				t.Error("still ready")
			}
			if d := time.Since(began); d < c.ends || d > c.ends+drainLook {
				t.Errorf("busy for %v, it took %v", c.busyFor, d)
			}
		})
	}
}

type serving func(ctx context.Context, e Events) error

func (f serving) Serve(ctx context.Context, e Events) error { return f(ctx, e) }

type probe struct{}

func (probe) Serve(ctx context.Context, _ func() bool) error { <-ctx.Done(); return nil }

func TestAProcessEndsWhenItCannotServe(t *testing.T) {
	b := ports.Boot{Name: "pool-1", IP: "127.0.0.1", PortFirst: freePort(t) - 1}
	failed := errors.New("in use")
	p := newProcess(b, clockwork.NewRealClock(), Edges{Callers: serving(func(context.Context, Events) error { return failed }), Probe: probe{}}, &scripted{due: math.MaxInt64})
	if err := p.Run(t.Context()); !errors.Is(err, failed) {
		t.Error(err)
	}
	// Where its own port is taken.
	ln, err := net.Listen("tcp", b.PoolNode())
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if err := p.Run(t.Context()); !errors.Is(err, syscall.EADDRINUSE) {
		t.Error(err)
	}
}

func TestAProcessStops(t *testing.T) {
	b := ports.Boot{Name: "pool-1", IP: "127.0.0.1", PortFirst: freePort(t) - 1}
	ctx, stop := context.WithCancel(t.Context())
	s := &scripted{due: math.MaxInt64}
	p := newProcess(b, clockwork.NewRealClock(), Edges{Callers: serving(func(ctx context.Context, _ Events) error {
		stop()
		<-ctx.Done()
		return nil
	}), Probe: probe{}}, s)
	if err := p.Run(ctx); err != nil {
		t.Error(err)
	}
	if e := s.evs[len(s.evs)-1]; e != any(sessiontable.Stop{}) {
		t.Error(e)
	}
}

func freePort(t *testing.T) int {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port
}
