package pool

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"stoneford/internal/cleanup"
	"stoneford/internal/config"
	"stoneford/internal/databaseclient"
	"stoneford/internal/eventloop"
	"stoneford/internal/querytable"
	"stoneford/internal/transport"
	"stoneford/result"
	"stoneford/schema"
)

const (
	nodeTickInterval    = 20 * time.Millisecond
	tableTickInterval   = 10 * time.Millisecond
	viewInterval        = 100_000
	eventQueueLength    = 8192
	shutdownGraceUs     = 3_000_000
	pollSlack           = 500 * time.Millisecond
	connectTimeout      = time.Second
	httpShutdownTimeout = 300 * time.Millisecond
	// sessionNoticePeriod is how long a stopping node stays to tell idle sessions that it
	// stops: they hear of it with their next query.
	sessionNoticePeriod = 1500 * time.Millisecond
)

// Process is one pool node: the core, a runner for each group, links and HTTP.
type Process struct {
	boot      *schema.Boot
	run       uint64
	clock     clockwork.Clock
	startedAt time.Time
	core      *Core
	loop      *eventloop.Loop[any]
	links     *transport.Transport
	databases *databaseclient.Client
	runners   map[string]*runner
	// routes and tables are read on a query's path and replaced whole.
	routes        atomic.Pointer[map[string]Route]
	sharedRunners atomic.Pointer[map[string]*runner]
	sessions      sync.Map // session id to *runner
	queryID       atomic.Uint64
	stopping      atomic.Bool
	nodeView      atomic.Pointer[nodeView]
	ctx           context.Context
}

type nodeView struct {
	Parent string `json:"Parent"`
	Nodes  int    `json:"Nodes"`
	Alive  int    `json:"Alive"`
}

// NewProcess makes a node.
func NewProcess(b *schema.Boot, clock clockwork.Clock) *Process {
	began := clock.Now()
	run := uint64(began.UnixMicro())
	p := &Process{boot: b, run: run, clock: clock, startedAt: began, core: NewCore(b, run), loop: eventloop.New[any](clock, began, eventQueueLength),
		databases: databaseclient.New(transport.LocalAddress(b.Bind, b.Listen)), runners: map[string]*runner{}}
	p.routes.Store(&map[string]Route{})
	p.sharedRunners.Store(&map[string]*runner{})
	p.nodeView.Store(&nodeView{})
	return p
}

// Run serves until the context ends, then drains and returns.
func (p *Process) Run(ctx context.Context) (err error) {
	var cleanups cleanup.Stack
	defer func() { err = errors.Join(err, cleanups.Run()) }()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	cleanups.Push(func() error { stop(); return nil })
	p.ctx = work
	p.links = transport.New(work, p.boot.Listen, transport.LocalAddress(p.boot.Bind, p.boot.Listen), func(e *schema.Envelope) { p.loop.TryPost(e) })
	nodeListener, httpListener, err := config.Listen(p.boot)
	if err != nil {
		return err
	}
	httpServer := &http.Server{Handler: p.handler(), ReadHeaderTimeout: 10 * time.Second}
	cleanups.Push(func() error {
		// Returns under way are still written.
		ctx, stop := context.WithTimeout(context.Background(), httpShutdownTimeout)
		defer stop()
		if err := httpServer.Shutdown(ctx); err != nil {
			return httpServer.Close()
		}
		return nil
	})
	failed := make(chan error, 2)
	go func() { failed <- p.links.Serve(nodeListener) }()
	go func() { failed <- httpServer.Serve(httpListener) }()
	go p.loop.Run(work, nodeTickInterval, p.step)
	log.WithFields(log.Fields{"name": p.boot.Name, "listen": p.boot.Listen, "http": p.boot.Http}).Info("stoneford-pool is up")
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	p.drain()
	return nil
}

// drain stops taking work, gives open transactions their grace, and returns
// once nothing is under way.
func (p *Process) drain() {
	p.stopping.Store(true)
	p.loop.Post(Stop{})
	for _, r := range *p.sharedRunners.Load() {
		r.loop.Post(querytable.Stop{GraceUs: shutdownGraceUs})
	}
	end := p.clock.After((shutdownGraceUs + 200_000) * time.Microsecond)
	noticedAt := p.clock.Now().Add(sessionNoticePeriod)
	t := p.clock.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		busy := int64(0)
		for _, r := range *p.sharedRunners.Load() {
			busy += r.busy.Load()
		}
		if busy == 0 && p.clock.Now().After(noticedAt) {
			return
		}
		select {
		case <-end:
			return
		case <-t.Chan():
		}
	}
}

func (p *Process) step(now int64, events []any) {
	effects := p.core.Step(now, events...)
	for _, s := range effects.Send {
		p.links.Send(s.To, s.Envelope)
	}
	for _, d := range effects.Do {
		switch d := d.(type) {
		case SetDesired:
			p.setDesired(d)
		case SetRoutes:
			p.routes.Store(&d.Routes)
		case DecisionsRequest:
			if r := p.runners[d.Group]; r != nil {
				id := p.queryID.Add(1)
				r.explainRequests.Store(id, d)
				r.loop.Post(querytable.DecisionsRequest{ID: id, Name: d.Query})
			}
		case LogEntry:
			logEntry(d.Code, d.Text)
		}
	}
	ns := p.core.Nodes()
	v := nodeView{Parent: p.core.Parent(), Nodes: len(ns)}
	for _, n := range ns {
		if n.Alive {
			v.Alive++
		}
	}
	if v != *p.nodeView.Load() {
		p.nodeView.Store(&v)
	}
}

func logEntry(c result.Code, text string) {
	log.WithFields(log.Fields{"code": int(c), "what": text}).Info(c.String())
}

func (p *Process) setDesired(w SetDesired) {
	r := p.runners[w.Group]
	if r == nil {
		r = &runner{process: p, group: w.Group, loop: eventloop.New[any](p.clock, p.startedAt, eventQueueLength), table: querytable.New(randomSeed())}
		p.runners[w.Group] = r
		m := make(map[string]*runner, len(p.runners))
		for k, v := range p.runners {
			m[k] = v
		}
		p.sharedRunners.Store(&m)
		go r.loop.Run(p.ctx, tableTickInterval, r.step)
		if p.stopping.Load() {
			r.loop.Post(querytable.Stop{GraceUs: shutdownGraceUs})
		}
	}
	r.loop.Post(querytable.SetDesired{Desired: w.Desired})
}

func randomSeed() uint64 {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return binary.LittleEndian.Uint64(b[:])
}

// runner is one group's table on its own thread.
type runner struct {
	process         *Process
	group           string
	loop            *eventloop.Loop[any]
	table           *querytable.Table
	waiters         sync.Map // query id to chan querytable.Reply
	explainRequests sync.Map // id to Why
	busy            atomic.Int64
	view            atomic.Pointer[tableView]
	nextViewAt      int64
	ready           bool
}

type tableView struct {
	Counts      querytable.Counts         `json:"Counts"`
	Sessions    int                       `json:"Sessions"`
	Queries     int                       `json:"Queries"`
	Connections map[string]int            `json:"Conns"`
	Databases   []querytable.DatabaseView `json:"Views"`
	Ready       bool                      `json:"Ready"` // a query could have been served once: a takeover since is no reason to send callers away
}

func (r *runner) step(now int64, events []any) {
	for _, f := range r.table.Step(now, events...) {
		switch f := f.(type) {
		case querytable.Reply:
			if ch, ok := r.waiters.LoadAndDelete(f.ID); ok {
				ch.(chan querytable.Reply) <- f
			}
		case querytable.OpenConnection:
			go r.open(f)
		case querytable.CloseConnection:
			go r.close(f)
		case querytable.Run:
			go r.run(f, now)
		case querytable.Poll:
			go r.poll(f)
		case querytable.Decisions:
			if w, ok := r.explainRequests.LoadAndDelete(f.ID); ok {
				r.process.loop.TryPost(Decisions{Request: w.(DecisionsRequest), Group: r.group, AtUs: now, Decisions: f.Decisions})
			}
		case querytable.LogEntry:
			logEntry(f.Code, f.Text)
		}
	}
	s, q, conns := r.table.Gauges()
	r.busy.Store(int64(q + r.table.OpenTransactions()))
	if now >= r.nextViewAt {
		r.nextViewAt = now + viewInterval
		vs := r.table.Views(now)
		r.ready = r.ready || r.table.Ready(now)
		r.view.Store(&tableView{Counts: r.table.Counts(), Sessions: s, Queries: q, Connections: conns, Databases: vs, Ready: r.ready})
		r.process.loop.TryPost(TableReport{Group: r.group, Views: vs, InUse: conns})
	}
}

func (r *runner) open(f querytable.OpenConnection) {
	ctx, stop := context.WithTimeout(r.process.ctx, connectTimeout)
	defer stop()
	id, err := r.process.databases.Open(ctx, f.Address, r.process.boot.Name, r.process.run)
	r.loop.Post(querytable.ConnectionOpened{Connection: f.Connection, Address: f.Address, ID: id, Err: errText(err)})
}

func (r *runner) close(f querytable.CloseConnection) {
	ctx, stop := context.WithTimeout(r.process.ctx, connectTimeout)
	defer stop()
	if err := r.process.databases.Close(ctx, f.Address, f.ID); err != nil {
		log.WithFields(log.Fields{"address": f.Address}).WithError(err).Debug("closing a connection")
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (r *runner) run(f querytable.Run, now int64) {
	ctx, stop := context.WithTimeout(r.process.ctx, time.Duration(f.UntilUs-now)*time.Microsecond)
	defer stop()
	ops := make([]databaseclient.Op, len(f.Ops))
	for i, o := range f.Ops {
		ops[i] = databaseclient.Op(o)
	}
	out, err := r.process.databases.Run(ctx, f.Address, f.ID, f.Epoch, f.ReadOnly, ops)
	e := querytable.RunEnded{Run: f.Run, Err: errText(err), MaybeSent: err != nil && !errors.Is(err, databaseclient.ErrNotSent),
		Rejected: out.Rejected, Epoch: out.Epoch, Applied: out.Applied}
	for _, s := range out.Results {
		e.Results = append(e.Results, querytable.Result(s))
	}
	r.loop.Post(e)
}

func (r *runner) poll(f querytable.Poll) {
	ctx, stop := context.WithTimeout(r.process.ctx, time.Duration(f.WaitUs)*time.Microsecond+pollSlack)
	defer stop()
	s, err := r.process.databases.Poll(ctx, f.Address, f.Received, f.Applied, f.WaitUs)
	r.loop.Post(querytable.PollEnded{Poll: f.Poll, Err: errText(err), Status: querytable.Status{Identity: s.Identity, Role: s.Role,
		Epoch: s.Epoch, LogEpoch: s.LogEpoch, Received: s.Received, Applied: s.Applied, Draining: s.Draining}})
}

// call puts an event with the query's id in line and waits for its return. The
// table ends every query by its expiry, so this ends too.
func (r *runner) call(id uint64, e any) querytable.Reply {
	ch := make(chan querytable.Reply, 1)
	r.waiters.Store(id, ch)
	r.loop.Post(e)
	select {
	case v := <-ch:
		return v
	case <-r.process.ctx.Done():
		return querytable.Reply{ID: id, Code: result.ResponseLost, Outcome: result.Uncertain, Text: "the node stopped"}
	}
}
