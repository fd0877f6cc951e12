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

	"stoneford/bootfile"
	"stoneford/cleanup"
	"stoneford/databaseclient"
	"stoneford/links"
	"stoneford/loop"
	"stoneford/querytable"
	"stoneford/result"
	"stoneford/schema"
)

const (
	nodeTick    = 20 * time.Millisecond
	tableTick   = 10 * time.Millisecond
	viewEvery   = 100_000
	lineLength  = 8192
	graceUs     = 3_000_000
	pollExtra   = 500 * time.Millisecond
	connectTime = time.Second
	shutTime    = 300 * time.Millisecond
	// tellTime is how long a stopping node stays to tell idle sessions that it
	// stops: they hear of it with their next query.
	tellTime = 1500 * time.Millisecond
)

// Process is one pool node: the core, a runner for each group, links and HTTP.
type Process struct {
	boot   *schema.Boot
	run    uint64
	clock  clockwork.Clock
	began  time.Time
	core   *Core
	node   *loop.Loop
	links  *links.Links
	dbs    *databaseclient.Client
	tables map[string]*runner
	// routes and tables are read on a query's path and replaced whole.
	routes   atomic.Pointer[map[string]Route]
	groups   atomic.Pointer[map[string]*runner]
	sessions sync.Map // session id to *runner
	queryID  atomic.Uint64
	stopping atomic.Bool
	nodes    atomic.Pointer[nodeView]
	ctx      context.Context
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
	p := &Process{boot: b, run: run, clock: clock, began: began, core: NewCore(b, run), node: loop.New(clock, began, lineLength),
		dbs: databaseclient.New(links.Local(b.Bind, b.Listen)), tables: map[string]*runner{}}
	p.routes.Store(&map[string]Route{})
	p.groups.Store(&map[string]*runner{})
	p.nodes.Store(&nodeView{})
	return p
}

// Run serves until the context ends, then drains and returns.
func (p *Process) Run(ctx context.Context) (err error) {
	var cl cleanup.Stack
	defer func() { err = errors.Join(err, cl.Run()) }()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	cl.Push(func() error { stop(); return nil })
	p.ctx = work
	p.links = links.New(work, p.boot.Listen, links.Local(p.boot.Bind, p.boot.Listen), func(e *schema.Envelope) { p.node.Offer(e) })
	ln, hl, err := bootfile.Listen(p.boot)
	if err != nil {
		return err
	}
	hs := &http.Server{Handler: p.handler(), ReadHeaderTimeout: 10 * time.Second}
	cl.Push(func() error {
		// Returns under way are still written.
		ctx, stop := context.WithTimeout(context.Background(), shutTime)
		defer stop()
		if err := hs.Shutdown(ctx); err != nil {
			return hs.Close()
		}
		return nil
	})
	failed := make(chan error, 2)
	go func() { failed <- p.links.Serve(ln) }()
	go func() { failed <- hs.Serve(hl) }()
	go p.node.Run(work, nodeTick, p.step)
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
	p.node.Post(Stop{})
	for _, r := range *p.groups.Load() {
		r.l.Post(querytable.Stop{GraceUs: graceUs})
	}
	end := p.clock.After((graceUs + 200_000) * time.Microsecond)
	told := p.clock.Now().Add(tellTime)
	t := p.clock.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		busy := int64(0)
		for _, r := range *p.groups.Load() {
			busy += r.busy.Load()
		}
		if busy == 0 && p.clock.Now().After(told) {
			return
		}
		select {
		case <-end:
			return
		case <-t.Chan():
		}
	}
}

func (p *Process) step(now int64, evs []any) {
	fx := p.core.Step(now, evs...)
	for _, s := range fx.Send {
		p.links.Send(s.To, s.Env)
	}
	for _, d := range fx.Do {
		switch d := d.(type) {
		case Want:
			p.want(d)
		case Routes:
			p.routes.Store(&d.Routes)
		case Why:
			if r := p.tables[d.Group]; r != nil {
				id := p.queryID.Add(1)
				r.whys.Store(id, d)
				r.l.Post(querytable.Why{ID: id, Name: d.Query})
			}
		case Say:
			say(d.Code, d.Text)
		}
	}
	ns := p.core.Nodes()
	v := nodeView{Parent: p.core.Parent(), Nodes: len(ns)}
	for _, n := range ns {
		if n.Alive {
			v.Alive++
		}
	}
	if v != *p.nodes.Load() {
		p.nodes.Store(&v)
	}
}

func say(c result.Code, text string) {
	log.WithFields(log.Fields{"code": int(c), "what": text}).Info(c.String())
}

func (p *Process) want(w Want) {
	r := p.tables[w.Group]
	if r == nil {
		r = &runner{p: p, group: w.Group, l: loop.New(p.clock, p.began, lineLength), t: querytable.New(seed())}
		p.tables[w.Group] = r
		m := make(map[string]*runner, len(p.tables))
		for k, v := range p.tables {
			m[k] = v
		}
		p.groups.Store(&m)
		go r.l.Run(p.ctx, tableTick, r.step)
		if p.stopping.Load() {
			r.l.Post(querytable.Stop{GraceUs: graceUs})
		}
	}
	r.l.Post(querytable.Boot{Wanted: w.Wanted})
}

func seed() uint64 {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return binary.LittleEndian.Uint64(b[:])
}

// runner is one group's table on its own thread.
type runner struct {
	p       *Process
	group   string
	l       *loop.Loop
	t       *querytable.Table
	waiters sync.Map // query id to chan querytable.Return
	whys    sync.Map // id to Why
	busy    atomic.Int64
	counts  atomic.Pointer[tableView]
	nextUs  int64
	ready   bool
}

type tableView struct {
	Counts   querytable.Counts `json:"Counts"`
	Sessions int               `json:"Sessions"`
	Queries  int               `json:"Queries"`
	Conns    map[string]int    `json:"Conns"`
	Views    []querytable.View `json:"Views"`
	Ready    bool              `json:"Ready"` // a query could have been served once: a takeover since is no reason to send callers away
}

func (r *runner) step(now int64, evs []any) {
	for _, f := range r.t.Step(now, evs...) {
		switch f := f.(type) {
		case querytable.Return:
			if ch, ok := r.waiters.LoadAndDelete(f.ID); ok {
				ch.(chan querytable.Return) <- f
			}
		case querytable.OpenConnection:
			go r.open(f)
		case querytable.CloseConnection:
			go r.close(f)
		case querytable.Run:
			go r.run(f, now)
		case querytable.Poll:
			go r.poll(f)
		case querytable.Decided:
			if w, ok := r.whys.LoadAndDelete(f.ID); ok {
				r.p.node.Offer(Decided{Why: w.(Why), Group: r.group, AtUs: now, Decisions: f.Decisions})
			}
		case querytable.Say:
			say(f.Code, f.Text)
		}
	}
	s, q, conns := r.t.Gauges()
	r.busy.Store(int64(q + r.t.OpenTransactions()))
	if now >= r.nextUs {
		r.nextUs = now + viewEvery
		vs := r.t.Views(now)
		r.ready = r.ready || r.t.Ready(now)
		r.counts.Store(&tableView{Counts: r.t.Counts(), Sessions: s, Queries: q, Conns: conns, Views: vs, Ready: r.ready})
		r.p.node.Offer(TableSaid{Group: r.group, Views: vs, InUse: conns})
	}
}

func (r *runner) open(f querytable.OpenConnection) {
	ctx, stop := context.WithTimeout(r.p.ctx, connectTime)
	defer stop()
	id, err := r.p.dbs.Open(ctx, f.Address, r.p.boot.Name, r.p.run)
	r.l.Post(querytable.Opened{Conn: f.Conn, Address: f.Address, ID: id, Err: errText(err)})
}

func (r *runner) close(f querytable.CloseConnection) {
	ctx, stop := context.WithTimeout(r.p.ctx, connectTime)
	defer stop()
	if err := r.p.dbs.Close(ctx, f.Address, f.ID); err != nil {
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
	ctx, stop := context.WithTimeout(r.p.ctx, time.Duration(f.UntilUs-now)*time.Microsecond)
	defer stop()
	ops := make([]databaseclient.Op, len(f.Ops))
	for i, o := range f.Ops {
		ops[i] = databaseclient.Op(o)
	}
	out, err := r.p.dbs.Run(ctx, f.Address, f.ID, f.Epoch, f.ReadOnly, ops)
	e := querytable.Ran{Run: f.Run, Err: errText(err), Left: err != nil && !errors.Is(err, databaseclient.ErrNeverLeft),
		Refused: out.Bounced, Epoch: out.Epoch, Applied: out.Applied}
	for _, s := range out.Results {
		e.Results = append(e.Results, querytable.Result(s))
	}
	r.l.Post(e)
}

func (r *runner) poll(f querytable.Poll) {
	ctx, stop := context.WithTimeout(r.p.ctx, time.Duration(f.WaitUs)*time.Microsecond+pollExtra)
	defer stop()
	s, err := r.p.dbs.Poll(ctx, f.Address, f.Received, f.Applied, f.WaitUs)
	r.l.Post(querytable.Polled{Poll: f.Poll, Err: errText(err), Status: querytable.Status{Identity: s.Identity, Role: s.Role,
		Epoch: s.Epoch, LogEpoch: s.LogEpoch, Received: s.Received, Applied: s.Applied, Leaving: s.Leaving}})
}

// ask puts an event with the query's id in line and waits for its return. The
// table ends every query by its expiry, so this ends too.
func (r *runner) ask(id uint64, e any) querytable.Return {
	ch := make(chan querytable.Return, 1)
	r.waiters.Store(id, ch)
	r.l.Post(e)
	select {
	case v := <-ch:
		return v
	case <-r.p.ctx.Done():
		return querytable.Return{ID: id, Code: result.ReturnLost, Outcome: result.Uncertain, Text: "the node stopped"}
	}
}
