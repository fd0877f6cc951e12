package sessionpool

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"stoneford/internal/ports"
	"stoneford/internal/sessiontable"
	"stoneford/internal/transport"
	"stoneford/schema"
)

const (
	// drainPollInterval is how often a node that is shutting down checks whether it is
	// done. A longer interval delays the exit of the process.
	drainPollInterval = 25 * time.Millisecond
	// exitReserve is the part of the grace period that is reserved for exiting.
	exitReserve = 300 * time.Millisecond
	// minTickInterval is the minimum time between ticks of the core. A longer interval
	// makes its timers less precise, a shorter one costs CPU time.
	minTickInterval = 500 * time.Microsecond
	// clockStartUs is the initial time of the process's clock. It is not 0, because a time
	// of 0 stands for never.
	clockStartUs = 1_000_000
)

// poolCore is the interface of the core that a Process runs: a *Core, or a fake in tests.
type poolCore interface {
	Step(now int64, events ...sessiontable.Event) Effects
	Receive(now int64, envelope *schema.Envelope) Effects
	Due() int64
	Ready(now int64) bool
	InFlight() int
}

// Process runs one pool node.
type Process struct {
	config        atomic.Pointer[ports.ProcessConfig]
	adapters      Adapters
	clock         clockwork.Clock
	startedAt     time.Time
	context       context.Context // context of the servers and connections; it outlives the context of Run
	links         *transport.Transport
	lastSession   atomic.Uint64
	tableRevision atomic.Uint64

	// mu guards the fields below. Events enter the core one at a time, and their output is
	// queued at the adapters before mu is unlocked; see performLocked.
	mu          sync.Mutex
	core        poolCore
	sessions    map[uint64]Client
	connections map[uint64]*connection
	timer       clockwork.Timer
	timerAtUs   int64 // when timer fires, 0 if it is not set
}

// NewProcess returns a pool node; Run serves it.
func NewProcess(config ports.ProcessConfig, clock clockwork.Clock, adapters Adapters, options sessiontable.Options) *Process {
	return newProcess(config, clock, adapters, NewCore(config, rand.Uint64(), rand.Uint64(), options))
}

func newProcess(config ports.ProcessConfig, clock clockwork.Clock, adapters Adapters, core poolCore) *Process {
	p := &Process{adapters: adapters, clock: clock, startedAt: clock.Now(), core: core, context: context.Background(),
		sessions: map[uint64]Client{}, connections: map[uint64]*connection{}}
	p.config.Store(&config)
	return p
}

// UpdateConfig applies a changed configuration. In a running process, only changes of the
// time bounds of a graceful shutdown take effect.
func (p *Process) UpdateConfig(config ports.ProcessConfig) { p.config.Store(&config) }

// Run serves until the context is cancelled, then drains and returns. It returns early
// with an error if a server fails.
func (p *Process) Run(ctx context.Context) error {
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var serving sync.WaitGroup
	defer serving.Wait()
	defer stop()
	p.context = serveCtx
	config := p.config.Load()
	self := config.PoolNodeAddress()
	listener, err := net.Listen("tcp", config.ListenAddress(self))
	if err != nil {
		return err
	}
	failed := make(chan error, 3)
	serve := func(f func() error) { serving.Go(func() { failed <- f() }) }
	p.links = transport.New(serveCtx, self, transport.LocalAddress(self), p.receive)
	serve(func() error { return p.links.Serve(listener) })
	p.step(sessiontable.Tick{})
	serve(func() error { return p.adapters.Frontend.Serve(serveCtx, p) })
	serve(func() error { return p.adapters.Readiness.Serve(serveCtx, p.Ready) })
	serving.Go(func() { p.serveState(serveCtx) })
	log.WithFields(log.Fields{"name": config.Name, "front": config.CallerAddress, "node": self}).Info("stoneford-pool is up")
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	p.drain()
	return nil
}

// drain shuts the node down gracefully. It returns once nothing is in flight and the load
// balancers have had time to remove the node, or when the grace period is nearly over.
func (p *Process) drain() {
	bounds := p.config.Load().Bounds
	began := p.clock.Now()
	p.step(sessiontable.Drain{GraceUs: bounds.GraceUs})
	grace := fromMicroseconds(bounds.GraceUs) - exitReserve
	for {
		elapsed := p.clock.Since(began)
		done := p.inFlight() == 0 && elapsed >= fromMicroseconds(bounds.RemovalLagUs)
		if done || elapsed >= grace {
			return
		}
		<-p.clock.After(drainPollInterval)
	}
}

func (p *Process) inFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.InFlight()
}

// Ready reports whether load balancers should send callers to this node.
func (p *Process) Ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Ready(p.now())
}

// TableRevision returns the register's revision of the routing table in force here.
func (p *Process) TableRevision() uint64 { return p.tableRevision.Load() }

// PartitionLinks breaks or restores the node's links to other processes. It is used by
// partition tests, after Run has started.
func (p *Process) PartitionLinks(broken bool) { p.links.SetPartitioned(broken) }

// now returns the process's monotonic time in µs.
func (p *Process) now() int64 { return p.clock.Since(p.startedAt).Microseconds() + clockStartUs }

// setTimer arms the timer for the next tick of the core. It moves an armed timer only to
// an earlier time, so the timer may fire too early. The caller must have locked p.mu.
func (p *Process) setTimer(now int64) {
	due := p.core.Due()
	if due == math.MaxInt64 || p.timerAtUs != 0 && p.timerAtUs <= due {
		return
	}
	p.timerAtUs = due
	delay := max(fromMicroseconds(due-now), minTickInterval)
	if p.timer == nil {
		p.timer = p.clock.AfterFunc(delay, p.timerFired)
	} else {
		p.timer.Reset(delay)
	}
}

// timerFired ticks the core if it is due.
func (p *Process) timerFired() {
	p.mu.Lock()
	p.timerAtUs = 0
	if now := p.now(); now < p.core.Due() {
		p.setTimer(now)
		p.mu.Unlock()
		return
	}
	p.stepLocked(sessiontable.Tick{})
}

// step passes events to the core and performs the effects.
func (p *Process) step(events ...sessiontable.Event) {
	p.mu.Lock()
	p.stepLocked(events...)
}

// receive passes an envelope to the core and performs the effects.
func (p *Process) receive(envelope *schema.Envelope) {
	p.mu.Lock()
	now := p.now()
	p.performLocked(now, p.core.Receive(now, envelope))
}

// stepLocked passes events to the core and performs the effects. The caller must have
// locked p.mu; stepLocked unlocks it before it writes any output.
func (p *Process) stepLocked(events ...sessiontable.Event) {
	now := p.now()
	p.performLocked(now, p.core.Step(now, events...))
}
