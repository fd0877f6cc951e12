package pool

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"stoneford/internal/config"
	"stoneford/internal/databaseclient"
	"stoneford/internal/eventloop"
	"stoneford/internal/querytable"
	"stoneford/internal/transport"
	"stoneford/result"
	"stoneford/schema"
)

const (
	// nodeTickInterval is the maximum time between two steps of the core, and so the
	// resolution of its timers.
	nodeTickInterval = 20 * time.Millisecond
	// eventQueueLength is the maximum number of events that wait for the core, and for
	// each table. When a queue is full, envelopes are dropped, which their senders
	// repeat, and calls block.
	eventQueueLength = 8192
	// headerTimeout bounds the time in which a caller's connection must send the header
	// of a request.
	headerTimeout = 10 * time.Second
	// shutdownGrace is the time that open transactions get to finish after a stop.
	shutdownGrace = 3 * time.Second
	// shutdownReserve is the additional time that the node waits for the tables to abort
	// what is left after the grace period.
	shutdownReserve = 200 * time.Millisecond
	// sessionNoticePeriod is the minimum time that a stopping node keeps running. Idle
	// sessions learn with their next query that the node stops.
	sessionNoticePeriod = 1500 * time.Millisecond
	// shutdownPollInterval is the time between two checks whether a stopping node has
	// finished its work.
	shutdownPollInterval = 20 * time.Millisecond
	// httpShutdownTimeout bounds the time for writing the replies under way at the end.
	httpShutdownTimeout = 300 * time.Millisecond
)

// Process is a pool node: a Core, a runner for each group, the connections to other
// processes and databases, and the callers' HTTP interface. Create it with NewProcess and
// call Run once.
type Process struct {
	config    *schema.Boot
	run       uint64
	clock     clockwork.Clock
	startedAt time.Time
	core      *Core                  // accessed only by the goroutine of loop
	loop      *eventloop.Loop[Event] // runs the core
	links     *transport.Transport
	databases *databaseclient.Client
	runners   map[string]*runner // by PARTNER/GROUP; accessed only by the goroutine of loop
	// routes and sharedRunners are read by callers' goroutines, so new maps replace the
	// old ones and no map is modified in place.
	routes        atomic.Pointer[map[string]Route]
	sharedRunners atomic.Pointer[map[string]*runner]
	sessions      sync.Map // map from session ID to *sessionRoute
	lastID        atomic.Uint64
	stopping      atomic.Bool
	nodeView      atomic.Pointer[nodeView]
	ctx           context.Context // canceled when the process ends
}

// nodeView is the node's knowledge of the fleet, for GET /v1/counts.
type nodeView struct {
	Parent string `json:"Parent"` // address of the parent in the relay tree
	Nodes  int    `json:"Nodes"`  // number of known fleet members
	Alive  int    `json:"Alive"`  // number of live members among them
}

// NewProcess returns a pool node.
func NewProcess(config *schema.Boot, clock clockwork.Clock) *Process {
	startedAt := clock.Now()
	run := uint64(startedAt.UnixMicro())
	p := &Process{
		config:    config,
		run:       run,
		clock:     clock,
		startedAt: startedAt,
		core:      NewCore(config, run),
		loop:      eventloop.New[Event](clock, startedAt, eventQueueLength),
		databases: databaseclient.New(transport.LocalAddress(config.Bind, config.Listen)),
		runners:   map[string]*runner{},
	}
	p.routes.Store(&map[string]Route{})
	p.sharedRunners.Store(&map[string]*runner{})
	p.nodeView.Store(&nodeView{})
	return p
}

// Run serves until the context ends or a listener fails. When the context ends it drains
// the node first.
func (p *Process) Run(ctx context.Context) (err error) {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	p.ctx = runCtx
	p.links = transport.New(runCtx, p.config.Listen, transport.LocalAddress(p.config.Bind, p.config.Listen), func(e *schema.Envelope) { p.loop.TryPost(Received{e}) })
	nodeListener, httpListener, err := config.Listen(p.config)
	if err != nil {
		return err
	}
	httpServer := &http.Server{Handler: p.handler(), ReadHeaderTimeout: headerTimeout}
	defer func() { err = errors.Join(err, shutDown(httpServer)) }()
	failed := make(chan error, 2)
	go func() { failed <- p.links.Serve(nodeListener) }()
	go func() { failed <- httpServer.Serve(httpListener) }()
	go p.loop.Run(runCtx, nodeTickInterval, p.step)
	log.WithFields(log.Fields{"name": p.config.Name, "listen": p.config.Listen, "http": p.config.Http}).Info("stoneford-pool is up")
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	p.drain()
	return nil
}

// shutDown stops an HTTP server after the replies under way are written, or after
// httpShutdownTimeout.
func shutDown(s *http.Server) error {
	ctx, stop := context.WithTimeout(context.Background(), httpShutdownTimeout)
	defer stop()
	if err := s.Shutdown(ctx); err != nil {
		return s.Close()
	}
	return nil
}

// drain stops accepting work and lets open transactions finish. It returns when nothing
// is under way and sessionNoticePeriod is over, or after shutdownGrace and
// shutdownReserve.
func (p *Process) drain() {
	p.stopping.Store(true)
	p.loop.Post(Stop{})
	for _, r := range *p.sharedRunners.Load() {
		r.stop()
	}
	end := p.clock.After(shutdownGrace + shutdownReserve)
	noticeUntil := p.clock.Now().Add(sessionNoticePeriod)
	ticker := p.clock.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for {
		if !p.isBusy() && p.clock.Now().After(noticeUntil) {
			return
		}
		select {
		case <-end:
			return
		case <-ticker.Chan():
		}
	}
}

// isBusy reports whether a query or transaction is under way.
func (p *Process) isBusy() bool {
	for _, r := range *p.sharedRunners.Load() {
		if r.busy.Load() > 0 {
			return true
		}
	}
	return false
}

// step runs the core on the events that have arrived and executes its effects.
func (p *Process) step(now int64, events []Event) {
	effects := p.core.Step(now, events...)
	for _, s := range effects.Send {
		p.links.Send(s.To, s.Envelope)
	}
	for _, e := range effects.Do {
		p.apply(e)
	}
	p.updateView()
}

func (p *Process) apply(effect Effect) {
	switch e := effect.(type) {
	case SetDesired:
		p.setDesired(e)
	case SetRoutes:
		p.routes.Store(&e.Routes)
	case DecisionsRequest:
		if r := p.runners[e.Group]; r != nil {
			r.requestDecisions(e)
		}
	case LogEntry:
		logEntry(e.Code, e.Text)
	}
}

func (p *Process) updateView() {
	nodes := p.core.Nodes()
	v := nodeView{Parent: p.core.Parent(), Nodes: len(nodes)}
	for _, n := range nodes {
		if n.Alive {
			v.Alive++
		}
	}
	if v != *p.nodeView.Load() {
		p.nodeView.Store(&v)
	}
}

// setDesired passes a desired state to a group's table. The first one of a group starts
// its runner.
func (p *Process) setDesired(e SetDesired) {
	r := p.runners[e.Group]
	if r == nil {
		r = newRunner(p, e.Group)
		p.runners[e.Group] = r
		shared := maps.Clone(p.runners)
		p.sharedRunners.Store(&shared)
		go r.loop.Run(p.ctx, tableTickInterval, r.step)
		if p.stopping.Load() {
			r.stop()
		}
	}
	r.loop.Post(querytable.SetDesired{Desired: e.Desired})
}

func logEntry(c result.Code, text string) {
	log.WithFields(log.Fields{"code": int(c), "what": text}).Info(c.String())
}
