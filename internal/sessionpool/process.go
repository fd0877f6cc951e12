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

	"stoneford/internal/cleanup"
	"stoneford/internal/ports"
	"stoneford/internal/sessiontable"
	"stoneford/internal/transport"
	"stoneford/schema"
)

const (
	// drainPollInterval is how often a stopping node looks whether it is done.
	drainPollInterval = 25 * time.Millisecond
	// exitReserve is the part of the grace left for the process to end.
	exitReserve = 300 * time.Millisecond
	// minTickInterval is the least time between two ticks of a core.
	minTickInterval = 500 * time.Microsecond
)

// node is what the process runs: *Core.
type node interface {
	Step(now int64, events ...sessiontable.Event) Effects
	Receive(now int64, envelope *schema.Envelope) Effects
	Due() int64
	Ready(now int64) bool
	Busy() int
}

// Busy is the number of statements under way and of open transactions.
func (c *Core) Busy() int { return c.Table.Busy() }

// Edges are what surrounds a pool node.
type Edges struct {
	Frontend  Frontend
	Readiness ReadinessServer
	Dialer    Dialer
}

// Process is one pool node.
type Process struct {
	boot          atomic.Pointer[ports.ProcessConfig]
	edges         Edges
	clock         clockwork.Clock
	startedAt     time.Time
	context       context.Context
	links         *transport.Transport
	lastSession   atomic.Uint64
	tableRevision atomic.Uint64

	// One event at a time goes into the core, and what follows from it is queued
	// at the edges before the next one; it is written after that, by whoever
	// brought the event.
	mu          sync.Mutex
	core        node
	sessions    map[uint64]Client
	connections map[uint64]*connection
	timer       clockwork.Timer
	timerAt     int64 // 0: not set
}

// connection is a connection to a database, or the opening of one.
type connection struct {
	db     Database
	ctx    context.Context
	cancel context.CancelFunc
}

// NewProcess makes a node.
func NewProcess(boot ports.ProcessConfig, clock clockwork.Clock, edges Edges, options sessiontable.Options) *Process {
	return newProcess(boot, clock, edges, NewCore(boot, rand.Uint64(), rand.Uint64(), options))
}

func newProcess(boot ports.ProcessConfig, clock clockwork.Clock, edges Edges, n node) *Process {
	p := &Process{edges: edges, clock: clock, startedAt: clock.Now(), core: n, context: context.Background(),
		sessions: map[uint64]Client{}, connections: map[uint64]*connection{}}
	p.boot.Store(&boot)
	return p
}

// UpdateConfig takes changed settings in: the next stop goes by them.
func (p *Process) UpdateConfig(boot ports.ProcessConfig) { p.boot.Store(&boot) }

// now is the process's monotonic time; it starts at a second, so that 0 can
// stand for never.
func (p *Process) now() int64 { return p.clock.Since(p.startedAt).Microseconds() + 1_000_000 }

// setTimer sees to it that the core's time passes when it is due. The alarm is
// set only when it has to ring earlier, so it may ring too early.
func (p *Process) setTimer(now int64) {
	due := p.core.Due()
	if due == math.MaxInt64 || p.timerAt != 0 && p.timerAt <= due {
		return
	}
	p.timerAt = due
	d := max(time.Duration(due-now)*time.Microsecond, minTickInterval)
	if p.timer == nil {
		p.timer = p.clock.AfterFunc(d, p.timerFired)
	} else {
		p.timer.Reset(d)
	}
}

// timerFired lets the core's time pass.
func (p *Process) timerFired() {
	p.mu.Lock()
	p.timerAt = 0
	if now := p.now(); now < p.core.Due() {
		p.setTimer(now)
		p.mu.Unlock()
		return
	}
	p.stepLocked(sessiontable.Tick{})
}

// Run serves until the context ends, then drains and returns.
func (p *Process) Run(ctx context.Context) (err error) {
	var cleanups cleanup.Stack
	defer func() { err = errors.Join(err, cleanups.Run()) }()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	var serving sync.WaitGroup
	cleanups.Push(func() error { stop(); serving.Wait(); return nil })
	p.context = work
	boot := p.boot.Load()
	failed := make(chan error, 3)
	serve := func(f func() error) { serving.Go(func() { failed <- f() }) }
	self := boot.PoolNodeAddress()
	listener, err := net.Listen("tcp", boot.ListenAddress(self))
	if err != nil {
		return err
	}
	p.links = transport.New(work, self, transport.LocalAddress(self), p.receive)
	serve(func() error { return p.links.Serve(listener) })
	p.step(sessiontable.Tick{})
	serve(func() error { return p.edges.Frontend.Serve(work, p) })
	serve(func() error { return p.edges.Readiness.Serve(work, p.Ready) })
	serving.Go(func() { p.serveState(work) })
	log.WithFields(log.Fields{"name": boot.Name, "front": boot.CallerAddress, "node": boot.PoolNodeAddress()}).Info("stoneford-pool is up")
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
	p.step(sessiontable.Drain{GraceUs: b.GraceUs})
	grace := time.Duration(b.GraceUs)*time.Microsecond - exitReserve
	for {
		past := p.clock.Since(began)
		if past >= grace || p.busy() == 0 && past >= time.Duration(b.RemovalLagUs)*time.Microsecond {
			return
		}
		<-p.clock.After(drainPollInterval)
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
func (p *Process) TableRevision() uint64 { return p.tableRevision.Load() }

// PartitionLinks breaks the node's links to other processes until they are mended, for
// trials; the node has to run.
func (p *Process) PartitionLinks(broken bool) { p.links.SetPartitioned(broken) }

// SessionOpened begins a caller's session.
func (p *Process) SessionOpened(c Client, host string) uint64 {
	id := p.lastSession.Add(1)
	p.mu.Lock()
	p.sessions[id] = c
	p.stepLocked(sessiontable.SessionOpened{Session: id, Host: host})
	return id
}

// StatementReceived brings a session's next statement.
func (p *Process) StatementReceived(session uint64, statement ports.Statement) {
	p.mu.Lock()
	if _, ok := p.sessions[session]; !ok {
		p.mu.Unlock()
		return
	}
	p.stepLocked(sessiontable.StatementReceived{Session: session, Statement: statement})
}

// SessionClosed ends a session.
func (p *Process) SessionClosed(session uint64) {
	p.mu.Lock()
	if _, ok := p.sessions[session]; !ok {
		p.mu.Unlock()
		return
	}
	delete(p.sessions, session)
	p.stepLocked(sessiontable.SessionClosed{Session: session})
}

// step hands events to the core and carries out the effects.
func (p *Process) step(events ...sessiontable.Event) {
	p.mu.Lock()
	p.stepLocked(events...)
}

// receive hands an envelope to the core and carries out the effects.
func (p *Process) receive(envelope *schema.Envelope) {
	p.mu.Lock()
	now := p.now()
	p.performLocked(now, p.core.Receive(now, envelope))
}

// stepLocked is step for a caller that holds the lock. It releases the lock before
// anything is written.
func (p *Process) stepLocked(events ...sessiontable.Event) {
	now := p.now()
	p.performLocked(now, p.core.Step(now, events...))
}

func (c *connection) close() {
	c.cancel()
	if c.db != nil {
		c.db.Close()
	}
}

// serveConnection opens a connection to a database and reads its answers until it
// ends.
func (p *Process) serveConnection(connect sessiontable.Connect, conn *connection) {
	defer conn.cancel()
	ctx, stop := context.WithTimeout(conn.ctx, time.Duration(connect.WaitUs)*time.Microsecond)
	database, position, code, err := p.edges.Dialer.Dial(ctx, connect.Address, connect.Group, connect.ID)
	stop()
	if err == nil {
		defer database.Close()
	}
	if !p.connectEnded(connect.Conn, conn, database, position, code, err) {
		return
	}
	var answers []ports.Response
	var events []sessiontable.Event
	for err == nil {
		answers, err = database.Read(answers[:0])
		events = events[:0]
		for i, answer := range answers {
			events = append(events, sessiontable.AnswerReceived{Conn: connect.Conn, Answer: answer})
			answers[i] = ports.Response{}
		}
		p.mu.Lock()
		if p.connections[connect.Conn] != conn { // given up
			p.mu.Unlock()
			return
		}
		if err != nil {
			delete(p.connections, connect.Conn)
			events = append(events, sessiontable.ConnectionLost{Conn: connect.Conn, Err: err.Error(), Disconnected: disconnected(err)})
		}
		p.stepLocked(events...)
	}
}

// connectEnded tells the core how a connect ended, and whether there is a
// connection to read.
func (p *Process) connectEnded(id uint64, conn *connection, database Database, position ports.Position, code ports.Code, err error) bool {
	p.mu.Lock()
	if p.connections[id] != conn { // given up
		p.mu.Unlock()
		return false
	}
	if err != nil {
		delete(p.connections, id)
		p.stepLocked(sessiontable.ConnectEnded{Conn: id, Code: code, Err: err.Error(), ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED), Disconnected: disconnected(err)})
		return false
	}
	conn.db = database
	p.stepLocked(sessiontable.ConnectEnded{Conn: id, Position: position, Code: code})
	return true
}

// disconnected says that the other side ended a connection, rather than fell silent.
func disconnected(err error) bool {
	var netErr net.Error
	return !(errors.As(err, &netErr) && netErr.Timeout()) && !errors.Is(err, syscall.ETIMEDOUT) && !errors.Is(err, syscall.EHOSTUNREACH)
}
