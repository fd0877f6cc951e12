package sessionpool

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"stoneford/cleanup"
	"stoneford/links"
	"stoneford/ports"
	"stoneford/result"
	"stoneford/schema"
	"stoneford/sessiontable"
)

const (
	// drainLook is how often a stopping node looks whether it is done.
	drainLook = 25 * time.Millisecond
	// lastWords is the part of the grace left for the process to end.
	lastWords = 300 * time.Millisecond
	// leastTick is the least time between two ticks of a core.
	leastTick = 500 * time.Microsecond
)

// node is what the process runs: *Core.
type node interface {
	Step(now int64, evs ...any) Effects
	Due() int64
	Ready(now int64) bool
	Busy() int
}

// Busy is the number of statements under way and of open transactions.
func (c *Core) Busy() int { return c.Table.Busy() }

// Edges are what surrounds a pool node.
type Edges struct {
	Callers Callers
	Probe   Probe
	Dialer  Dialer
}

// Process is one pool node.
type Process struct {
	boot    atomic.Pointer[ports.Boot]
	edges   Edges
	clock   clockwork.Clock
	began   time.Time
	run     context.Context
	links   *links.Links
	session atomic.Uint64
	table   atomic.Uint64

	// One event at a time goes into the core, and what follows from it is queued
	// at the edges before the next one; it is written after that, by whoever
	// brought the event.
	mu       sync.Mutex
	core     node
	sessions map[uint64]Caller
	conns    map[uint64]*conn
	alarm    clockwork.Timer
	alarmAt  int64 // 0: not set
}

// conn is a connection to a database, or the opening of one.
type conn struct {
	db   Database
	ctx  context.Context
	stop context.CancelFunc
}

// NewProcess makes a node.
func NewProcess(b ports.Boot, clock clockwork.Clock, e Edges, o sessiontable.Options) *Process {
	return newProcess(b, clock, e, NewCore(b, rand.Uint64(), rand.Uint64(), o))
}

func newProcess(b ports.Boot, clock clockwork.Clock, e Edges, n node) *Process {
	p := &Process{edges: e, clock: clock, began: clock.Now(), core: n, run: context.Background(),
		sessions: map[uint64]Caller{}, conns: map[uint64]*conn{}}
	p.boot.Store(&b)
	return p
}

// SetBoot takes changed settings in: the next stop goes by them.
func (p *Process) SetBoot(b ports.Boot) { p.boot.Store(&b) }

// now is the process's monotonic time; it starts at a second, so that 0 can
// stand for never.
func (p *Process) now() int64 { return p.clock.Since(p.began).Microseconds() + 1_000_000 }

// setAlarm sees to it that the core's time passes when it is due. The alarm is
// set only when it has to ring earlier, so it may ring too early.
func (p *Process) setAlarm(now int64) {
	due := p.core.Due()
	if due == math.MaxInt64 || p.alarmAt != 0 && p.alarmAt <= due {
		return
	}
	p.alarmAt = due
	d := max(time.Duration(due-now)*time.Microsecond, leastTick)
	if p.alarm == nil {
		p.alarm = p.clock.AfterFunc(d, p.rang)
	} else {
		p.alarm.Reset(d)
	}
}

// rang lets the core's time pass.
func (p *Process) rang() {
	p.mu.Lock()
	p.alarmAt = 0
	if now := p.now(); now < p.core.Due() {
		p.setAlarm(now)
		p.mu.Unlock()
		return
	}
	p.stepLocked(sessiontable.Tick{})
}

// Run serves until the context ends, then drains and returns.
func (p *Process) Run(ctx context.Context) (err error) {
	var cl cleanup.Stack
	defer func() { err = errors.Join(err, cl.Run()) }()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	var serving sync.WaitGroup
	cl.Push(func() error { stop(); serving.Wait(); return nil })
	p.run = work
	b := p.boot.Load()
	failed := make(chan error, 3)
	serve := func(f func() error) { serving.Go(func() { failed <- f() }) }
	self := b.PoolNode()
	ln, err := net.Listen("tcp", b.Listen(self))
	if err != nil {
		return err
	}
	p.links = links.New(work, self, links.Local(self), func(e *schema.Envelope) { p.step(e) })
	serve(func() error { return p.links.Serve(ln) })
	p.step(sessiontable.Tick{})
	serve(func() error { return p.edges.Callers.Serve(work, p) })
	serve(func() error { return p.edges.Probe.Serve(work, p.Ready) })
	serving.Go(func() { p.serveState(work) })
	log.WithFields(log.Fields{"name": b.Name, "front": b.Front, "node": b.PoolNode()}).Info("stoneford-pool is up")
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	p.drain()
	return nil
}

// drain takes nothing new, and returns once nothing is under way and callers no
// longer arrive, or the grace is nearly over.
func (p *Process) drain() {
	b := p.boot.Load().Bounds
	began := p.clock.Now()
	p.step(sessiontable.Stop{GraceUs: b.GraceUs})
	grace := time.Duration(b.GraceUs)*time.Microsecond - lastWords
	for {
		past := p.clock.Since(began)
		if past >= grace || p.busy() == 0 && past >= time.Duration(b.TakenOutUs)*time.Microsecond {
			return
		}
		<-p.clock.After(drainLook)
	}
}

func (p *Process) busy() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Busy()
}

// Ready says whether callers should be sent here.
func (p *Process) Ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Ready(p.now())
}

// TableRevision is the register's revision of the routing table in force here.
func (p *Process) TableRevision() uint64 { return p.table.Load() }

// CutLinks breaks the node's links to other processes until they are mended, for
// trials; the node has to run.
func (p *Process) CutLinks(broken bool) { p.links.Cut(broken) }

// Opened begins a caller's session.
func (p *Process) Opened(c Caller, host string) uint64 {
	id := p.session.Add(1)
	p.mu.Lock()
	p.sessions[id] = c
	p.stepLocked(sessiontable.Opened{Session: id, Host: host})
	return id
}

// Asked brings a session's next statement.
func (p *Process) Asked(session uint64, st ports.Statement) {
	p.mu.Lock()
	if _, ok := p.sessions[session]; !ok {
		p.mu.Unlock()
		return
	}
	p.stepLocked(sessiontable.Asked{Session: session, St: st})
}

// Left ends a session.
func (p *Process) Left(session uint64) {
	p.mu.Lock()
	if _, ok := p.sessions[session]; !ok {
		p.mu.Unlock()
		return
	}
	delete(p.sessions, session)
	p.stepLocked(sessiontable.Left{Session: session})
}

// step puts events into the core and does what follows.
func (p *Process) step(evs ...any) {
	p.mu.Lock()
	p.stepLocked(evs...)
}

type flusher interface{ Flush() }

// stepLocked is step for who holds the lock, which it gives back before
// anything is written.
func (p *Process) stepLocked(evs ...any) {
	now := p.now()
	var flushBuf [4]flusher
	flush := flushBuf[:0]
	var dials []func()
	var closing []*conn
	var says []sessiontable.Say
	fx := p.core.Step(now, evs...)
	if c, ok := p.core.(*Core); ok {
		p.table.Store(c.rev)
	}
	for _, f := range fx.Do {
		switch f := f.(type) {
		case sessiontable.Reply:
			c := p.sessions[f.Session]
			if c == nil {
				continue
			}
			c.Reply(f.Reply)
			if f.Close {
				c.End()
				delete(p.sessions, f.Session)
			}
			flush = append(flush, c)
		case sessiontable.Shut:
			if c := p.sessions[f.Session]; c != nil {
				c.End()
				delete(p.sessions, f.Session)
				flush = append(flush, c)
			}
		case sessiontable.Send:
			if c := p.conns[f.Conn]; c != nil && c.db != nil {
				c.db.Queue(f.Ops)
				flush = append(flush, c.db)
			}
		case sessiontable.Connect:
			c := &conn{}
			c.ctx, c.stop = context.WithCancel(p.run)
			p.conns[f.Conn] = c
			dials = append(dials, func() { p.connection(f, c) })
		case sessiontable.Close:
			if c := p.conns[f.Conn]; c != nil {
				delete(p.conns, f.Conn)
				closing = append(closing, c)
			}
		case sessiontable.Say:
			says = append(says, f)
		}
	}
	p.setAlarm(now)
	p.mu.Unlock()
	for _, f := range flush {
		f.Flush()
	}
	for _, f := range dials {
		go f()
	}
	for _, c := range closing {
		c.close()
	}
	for _, s := range says {
		say(s.Code, s.Text)
	}
	for _, s := range fx.Send {
		p.links.Send(s.To, s.Env)
	}
}

func say(c result.Code, text string) {
	log.WithFields(log.Fields{"code": int(c), "what": text}).Info(c.String())
}

func (c *conn) close() {
	c.stop()
	if c.db != nil {
		c.db.Close()
	}
}

// connection opens a connection to a database and reads its answers until it
// ends.
func (p *Process) connection(f sessiontable.Connect, c *conn) {
	defer c.stop()
	ctx, stop := context.WithTimeout(c.ctx, time.Duration(f.WaitUs)*time.Microsecond)
	db, pos, code, err := p.edges.Dialer.Dial(ctx, f.Address, f.Group, f.ID)
	stop()
	if err == nil {
		defer db.Close()
	}
	if !p.opened(f.Conn, c, db, pos, code, err) {
		return
	}
	var as []ports.Answer
	var evs []any
	for err == nil {
		as, err = db.Read(as[:0])
		evs = evs[:0]
		for i, a := range as {
			evs = append(evs, sessiontable.Answered{Conn: f.Conn, Answer: a})
			as[i] = ports.Answer{}
		}
		p.mu.Lock()
		if p.conns[f.Conn] != c { // given up
			p.mu.Unlock()
			return
		}
		if err != nil {
			delete(p.conns, f.Conn)
			evs = append(evs, sessiontable.Lost{Conn: f.Conn, Err: err.Error(), Cut: cut(err)})
		}
		p.stepLocked(evs...)
	}
}

// opened tells the core how a connect ended, and whether there is a
// connection to read.
func (p *Process) opened(id uint64, c *conn, db Database, pos ports.Position, code ports.Code, err error) bool {
	p.mu.Lock()
	if p.conns[id] != c { // given up
		p.mu.Unlock()
		return false
	}
	if err != nil {
		delete(p.conns, id)
		p.stepLocked(sessiontable.Connected{Conn: id, Code: code, Err: err.Error(), NotThere: errors.Is(err, syscall.ECONNREFUSED), Cut: cut(err)})
		return false
	}
	c.db = db
	p.stepLocked(sessiontable.Connected{Conn: id, Position: pos, Code: code})
	return true
}

// cut says that the other side ended a connection, rather than fell silent.
func cut(err error) bool {
	var ne net.Error
	return !(errors.As(err, &ne) && ne.Timeout()) && !errors.Is(err, syscall.ETIMEDOUT) && !errors.Is(err, syscall.EHOSTUNREACH)
}
