package control

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"stoneford/failover/sealed"
	"stoneford/internal/cleanup"
	"stoneford/internal/config"
	"stoneford/internal/databaseclient"
	"stoneford/internal/eventloop"
	"stoneford/internal/transport"
	"stoneford/internal/wal"
	"stoneford/result"
	"stoneford/schema"
)

const (
	tickInterval        = 20 * time.Millisecond
	eventQueueLength    = 16384
	databaseCallTimeout = 500 * time.Millisecond
	platformCallTimeout = 2 * time.Second
)

// Process is one control process: the core, its log on disk, links and HTTP.
type Process struct {
	boot      *schema.Boot
	tokens    atomic.Pointer[map[string]string]
	clock     clockwork.Clock
	core      *Core
	loop      *eventloop.Loop[any]
	links     *transport.Transport
	databases *databaseclient.Client
	voterLog  *wal.Log
	waiters   sync.Map // id to chan any
	lastID    atomic.Uint64
	ctx       context.Context
	fail      func(error)
}

// inspection has the loop run f between two steps; operators' questions use it.
type inspection struct {
	inspect func(c *Core, now int64)
	done    chan struct{}
}

// NewProcess makes a control process and plays its log back.
func NewProcess(b *schema.Boot, clock clockwork.Clock) (*Process, error) {
	if b.DataFolder == "" {
		return nil, errs.New("boot: data_folder: required on a control process")
	}
	var n [8]byte
	_, err := rand.Read(n[:])
	if err != nil {
		return nil, err
	}
	p := &Process{boot: b, clock: clock, loop: eventloop.New[any](clock, clock.Now(), eventQueueLength), databases: databaseclient.New(transport.LocalAddress(b.Bind, b.Listen))}
	p.SetTokens(b.Tokens)
	newCore := func() *Core {
		return NewCore(b, uint64(clock.Now().UnixMicro()), binary.LittleEndian.Uint64(n[:])|1)
	}
	p.core = newCore()
	dir := filepath.Join(b.DataFolder, "voter")
	if err := os.MkdirAll(b.DataFolder, 0o755); err != nil {
		return nil, err
	}
	p.voterLog, err = wal.Open(dir, p.core.Restore)
	if errors.Is(err, wal.ErrCorrupt) {
		// What this voter once said can't be known any more: it is a voter
		// without a disk, and joins anew (design 3.3).
		to, aside := wal.Quarantine(dir)
		log.WithFields(log.Fields{"code": int(result.LogDamaged), "kept_in": to}).WithError(err).Error(result.LogDamaged.String())
		if aside != nil {
			return nil, aside
		}
		p.core = newCore()
		p.voterLog, err = wal.Open(dir, p.core.Restore)
	}
	return p, err
}

// SetTokens replaces the partners' tokens.
func (p *Process) SetTokens(m map[string]string) {
	t := make(map[string]string, len(m))
	for k, v := range m {
		t[v] = k
	}
	p.tokens.Store(&t)
}

// Run serves until the context ends.
func (p *Process) Run(ctx context.Context) (err error) {
	var cleanups cleanup.Stack
	defer func() { err = errors.Join(err, cleanups.Run()) }()
	cleanups.Push(p.voterLog.Close)
	work, stop := context.WithCancelCause(context.WithoutCancel(ctx))
	p.ctx, p.fail = work, func(err error) { stop(err) }
	p.links = transport.New(work, p.boot.Listen, transport.LocalAddress(p.boot.Bind, p.boot.Listen), func(e *schema.Envelope) { p.loop.TryPost(e) })
	nodeListener, httpListener, err := config.Listen(p.boot)
	if err != nil {
		return err
	}
	httpServer := &http.Server{Handler: p.handler(), ReadHeaderTimeout: 10 * time.Second}
	cleanups.Push(httpServer.Close)
	go p.runWallClock(work)
	ended := make(chan struct{})
	go func() { p.fail(p.links.Serve(nodeListener)) }()
	go func() { p.fail(httpServer.Serve(httpListener)) }()
	go func() { p.loop.Run(work, tickInterval, p.step); close(ended) }()
	cleanups.Push(func() error { stop(nil); <-ended; return nil })
	log.WithFields(log.Fields{"name": p.boot.Name, "listen": p.boot.Listen, "http": p.boot.Http}).Info("stoneford-control is up")
	select {
	case <-work.Done():
		return context.Cause(work)
	case <-ctx.Done():
	}
	// Duties are handed over first; a second is enough for that or for never.
	p.loop.Post(Stop{})
	<-p.clock.After(time.Second)
	return nil
}

// step runs the core. What it logs is synced before anything it says leaves.
func (p *Process) step(now int64, events []any) {
	var coreEvents []any
	var inspections []inspection
	for _, e := range events {
		if k, ok := e.(inspection); ok {
			inspections = append(inspections, k)
		} else {
			coreEvents = append(coreEvents, e)
		}
	}
	effects := p.core.Step(now, coreEvents...)
	if err := p.voterLog.Write(effects.Log, p.core.Snapshot); err != nil {
		// A voter that cannot keep its word must not speak.
		p.fail(errs.New("voter's log: %w", err))
		return
	}
	for _, s := range effects.Send {
		p.links.Send(s.To, s.Envelope)
	}
	for _, d := range effects.Do {
		switch d := d.(type) {
		case ConfigurationResult:
			if ch, ok := p.waiters.LoadAndDelete(d.ID); ok {
				ch.(chan ConfigurationResult) <- d
			}
		case CommandResult:
			if ch, ok := p.waiters.LoadAndDelete(d.ID); ok {
				ch.(chan CommandResult) <- d
			}
		case ReplaceDatabase:
			go p.callPlatform("replace", func(ctx context.Context) error {
				return p.databases.Replace(ctx, p.boot.Platform, d.Database, d.Address, d.Identity)
			})
		case StopMachine:
			go p.callPlatform("stop", func(ctx context.Context) error { return p.databases.StopMachine(ctx, p.boot.Platform, d.Machine) })
		case DatabaseCall:
			go p.callDatabase(d)
		case FailoverRequest:
			go p.requestFailover(d)
		case LogEntry:
			log.WithFields(log.Fields{"code": int(d.Code), "what": d.Text}).Info(d.Code.String())
		}
	}
	for _, k := range inspections {
		k.inspect(p.core, now)
		close(k.done)
	}
}

// runWallClock tells the core the wall clock, which only the calendar goes by.
func (p *Process) runWallClock(ctx context.Context) {
	t := p.clock.NewTicker(time.Second)
	defer t.Stop()
	for {
		p.loop.Post(WallClock{UnixMicro: p.clock.Now().UnixMicro()})
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
	}
}

func (p *Process) callDatabase(d DatabaseCall) {
	ctx, stop := context.WithTimeout(p.ctx, databaseCallTimeout)
	defer stop()
	var s databaseclient.Status
	var err error
	if d.SealEpoch > 0 {
		s, err = p.databases.Seal(ctx, d.Address, d.SealEpoch)
	} else {
		s, err = p.databases.Poll(ctx, d.Address, 0, 0, 0)
	}
	p.loop.Post(DatabaseReply{Group: d.Group, ID: d.ID, Failed: err != nil, Status: sealed.Status{Identity: s.Identity, Role: s.Role, Epoch: s.Epoch,
		LogEpoch: s.LogEpoch, Received: s.Received, Applied: s.Applied, Following: s.Following, Draining: s.Draining}})
}

func (p *Process) requestFailover(d FailoverRequest) {
	ms := make([]databaseclient.Member, len(d.Members))
	for i, m := range d.Members {
		ms[i] = databaseclient.Member(m)
	}
	p.callPlatform("takeover", func(ctx context.Context) error {
		return p.databases.Takeover(ctx, p.boot.Platform, d.Group, d.Target, d.Identity, d.Epoch, ms)
	})
}

// callPlatform asks the platform for something that is asked again until it is
// seen to be done.
func (p *Process) callPlatform(what string, f func(context.Context) error) {
	ctx, stop := context.WithTimeout(p.ctx, platformCallTimeout)
	defer stop()
	if err := f(ctx); err != nil {
		log.WithFields(log.Fields{"asked_for": what}).WithError(err).Warn("the platform did not do it; it is asked again")
	}
}

// await posts an event and waits for its end, which the core always gives.
func await[R any](p *Process, e func(id uint64) any) (R, bool) {
	id := p.lastID.Add(1)
	ch := make(chan R, 1)
	p.waiters.Store(id, ch)
	p.loop.Post(e(id))
	select {
	case r := <-ch:
		return r, true
	case <-p.ctx.Done():
		var r R
		return r, false
	}
}

// inspect runs f on the core between two steps.
func (p *Process) inspect(f func(c *Core, now int64)) {
	k := inspection{inspect: f, done: make(chan struct{})}
	p.loop.Post(k)
	select {
	case <-k.done:
	case <-p.ctx.Done():
	}
}
