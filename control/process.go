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

	"stoneford/bootfile"
	"stoneford/cleanup"
	"stoneford/databaseclient"
	"stoneford/links"
	"stoneford/loop"
	"stoneford/result"
	"stoneford/schema"
	"stoneford/takeover"
	"stoneford/voterlog"
)

const (
	tick         = 20 * time.Millisecond
	lineLength   = 16384
	askTime      = 500 * time.Millisecond
	platformTime = 2 * time.Second
)

// Process is one control process: the core, its log on disk, links and HTTP.
type Process struct {
	boot    *schema.Boot
	tokens  atomic.Pointer[map[string]string]
	clock   clockwork.Clock
	core    *Core
	l       *loop.Loop
	links   *links.Links
	dbs     *databaseclient.Client
	disk    *voterlog.Log
	waiters sync.Map // id to chan any
	id      atomic.Uint64
	ctx     context.Context
	fail    func(error)
}

// look has the loop run f between two steps; operators' questions use it.
type look struct {
	f    func(c *Core, now int64)
	done chan struct{}
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
	p := &Process{boot: b, clock: clock, l: loop.New(clock, clock.Now(), lineLength), dbs: databaseclient.New(links.Local(b.Bind, b.Listen))}
	p.SetTokens(b.Tokens)
	newCore := func() *Core {
		return NewCore(b, uint64(clock.Now().UnixMicro()), binary.LittleEndian.Uint64(n[:])|1)
	}
	p.core = newCore()
	dir := filepath.Join(b.DataFolder, "voter")
	if err := os.MkdirAll(b.DataFolder, 0o755); err != nil {
		return nil, err
	}
	p.disk, err = voterlog.Open(dir, p.core.Restore)
	if voterlog.ErrDamaged.Has(err) {
		// What this voter once said can't be known any more: it is a voter
		// without a disk, and joins anew (design 3.3).
		to, aside := voterlog.SetAside(dir)
		log.WithFields(log.Fields{"code": int(result.LogDamaged), "kept_in": to}).WithError(err).Error(result.LogDamaged.String())
		if aside != nil {
			return nil, aside
		}
		p.core = newCore()
		p.disk, err = voterlog.Open(dir, p.core.Restore)
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
	var cl cleanup.Stack
	defer func() { err = errors.Join(err, cl.Run()) }()
	cl.Push(p.disk.Close)
	work, stop := context.WithCancelCause(context.WithoutCancel(ctx))
	p.ctx, p.fail = work, func(err error) { stop(err) }
	p.links = links.New(work, p.boot.Listen, links.Local(p.boot.Bind, p.boot.Listen), func(e *schema.Envelope) { p.l.Offer(e) })
	ln, hl, err := bootfile.Listen(p.boot)
	if err != nil {
		return err
	}
	hs := &http.Server{Handler: p.handler(), ReadHeaderTimeout: 10 * time.Second}
	cl.Push(hs.Close)
	go p.tellWall(work)
	ended := make(chan struct{})
	go func() { p.fail(p.links.Serve(ln)) }()
	go func() { p.fail(hs.Serve(hl)) }()
	go func() { p.l.Run(work, tick, p.step); close(ended) }()
	cl.Push(func() error { stop(nil); <-ended; return nil })
	log.WithFields(log.Fields{"name": p.boot.Name, "listen": p.boot.Listen, "http": p.boot.Http}).Info("stoneford-control is up")
	select {
	case <-work.Done():
		return context.Cause(work)
	case <-ctx.Done():
	}
	// Duties are handed over first; a second is enough for that or for never.
	p.l.Post(Stop{})
	<-p.clock.After(time.Second)
	return nil
}

// step runs the core. What it logs is synced before anything it says leaves.
func (p *Process) step(now int64, evs []any) {
	var in []any
	var looks []look
	for _, e := range evs {
		if k, ok := e.(look); ok {
			looks = append(looks, k)
		} else {
			in = append(in, e)
		}
	}
	fx := p.core.Step(now, in...)
	if err := p.disk.Write(fx.Log, p.core.Snapshot); err != nil {
		// A voter that cannot keep its word must not speak.
		p.fail(errs.New("voter's log: %w", err))
		return
	}
	for _, s := range fx.Send {
		p.links.Send(s.To, s.Env)
	}
	for _, d := range fx.Do {
		switch d := d.(type) {
		case Return:
			if ch, ok := p.waiters.LoadAndDelete(d.ID); ok {
				ch.(chan Return) <- d
			}
		case Told:
			if ch, ok := p.waiters.LoadAndDelete(d.ID); ok {
				ch.(chan Told) <- d
			}
		case Replace:
			go p.tellPlatform("replace", func(ctx context.Context) error {
				return p.dbs.Replace(ctx, p.boot.Platform, d.Database, d.Address, d.Identity)
			})
		case StopMachine:
			go p.tellPlatform("stop", func(ctx context.Context) error { return p.dbs.StopMachine(ctx, p.boot.Platform, d.Machine) })
		case AskDatabase:
			go p.askDatabase(d)
		case Platform:
			go p.platform(d)
		case Say:
			log.WithFields(log.Fields{"code": int(d.Code), "what": d.Text}).Info(d.Code.String())
		}
	}
	for _, k := range looks {
		k.f(p.core, now)
		close(k.done)
	}
}

// tellWall tells the core the wall clock, which only the calendar goes by.
func (p *Process) tellWall(ctx context.Context) {
	t := p.clock.NewTicker(time.Second)
	defer t.Stop()
	for {
		p.l.Post(Wall{Us: p.clock.Now().UnixMicro()})
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
	}
}

func (p *Process) askDatabase(d AskDatabase) {
	ctx, stop := context.WithTimeout(p.ctx, askTime)
	defer stop()
	var s databaseclient.Status
	var err error
	if d.Seal > 0 {
		s, err = p.dbs.Seal(ctx, d.Address, d.Seal)
	} else {
		s, err = p.dbs.Poll(ctx, d.Address, 0, 0, 0)
	}
	p.l.Post(DatabaseSaid{Group: d.Group, ID: d.ID, Err: err != nil, Status: takeover.Status{Identity: s.Identity, Role: s.Role, Epoch: s.Epoch,
		LogEpoch: s.LogEpoch, Received: s.Received, Applied: s.Applied, Following: s.Following, Leaving: s.Leaving}})
}

func (p *Process) platform(d Platform) {
	ms := make([]databaseclient.Member, len(d.Members))
	for i, m := range d.Members {
		ms[i] = databaseclient.Member(m)
	}
	p.tellPlatform("takeover", func(ctx context.Context) error {
		return p.dbs.Takeover(ctx, p.boot.Platform, d.Group, d.Target, d.Identity, d.Epoch, ms)
	})
}

// tellPlatform asks the platform for something that is asked again until it is
// seen to be done.
func (p *Process) tellPlatform(what string, f func(context.Context) error) {
	ctx, stop := context.WithTimeout(p.ctx, platformTime)
	defer stop()
	if err := f(ctx); err != nil {
		log.WithFields(log.Fields{"asked_for": what}).WithError(err).Warn("the platform did not do it; it is asked again")
	}
}

// wait posts an event and waits for its end, which the core always gives.
func wait[R any](p *Process, e func(id uint64) any) (R, bool) {
	id := p.id.Add(1)
	ch := make(chan R, 1)
	p.waiters.Store(id, ch)
	p.l.Post(e(id))
	select {
	case r := <-ch:
		return r, true
	case <-p.ctx.Done():
		var r R
		return r, false
	}
}

// see runs f on the core between two steps.
func (p *Process) see(f func(c *Core, now int64)) {
	k := look{f: f, done: make(chan struct{})}
	p.l.Post(k)
	select {
	case <-k.done:
	case <-p.ctx.Done():
	}
}
