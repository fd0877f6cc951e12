package control

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/tidwall/wal"
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"stoneford/cleanup"
	"stoneford/databaseclient"
	"stoneford/links"
	"stoneford/loop"
	"stoneford/result"
	"stoneford/schema"
	"stoneford/takeover"
)

const (
	tick         = 20 * time.Millisecond
	lineLength   = 16384
	askTime      = 500 * time.Millisecond
	platformTime = 2 * time.Second
	// compactAt is how many entries the voter's log holds before a snapshot
	// takes their place.
	compactAt = 4096
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
	disk    *voterDisk
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
	var n [4]byte
	if _, err := rand.Read(n[:]); err != nil {
		return nil, err
	}
	p := &Process{boot: b, clock: clock, l: loop.New(clock, lineLength), dbs: databaseclient.New()}
	p.SetTokens(b.Tokens)
	p.core = NewCore(b, uint64(clock.Now().UnixMicro()), binary.LittleEndian.Uint32(n[:]))
	d, err := openDisk(filepath.Join(b.DataFolder, "voter"), p.core.Restore)
	p.disk = d
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
	cl.Push(p.disk.close)
	work, stop := context.WithCancelCause(context.WithoutCancel(ctx))
	p.ctx, p.fail = work, func(err error) { stop(err) }
	p.links = links.New(work, p.boot.Listen, func(e *schema.Envelope) { p.l.Offer(e) })
	ln, err := net.Listen("tcp", p.boot.Listen)
	if err != nil {
		return err
	}
	hl, err := net.Listen("tcp", p.boot.Http)
	if err != nil {
		return errors.Join(err, ln.Close())
	}
	hs := &http.Server{Handler: p.handler(), ReadHeaderTimeout: 10 * time.Second}
	cl.Push(hs.Close)
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
	if err := p.disk.write(fx.Log, p.core.Snapshot); err != nil {
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
	ctx, stop := context.WithTimeout(p.ctx, platformTime)
	defer stop()
	ms := make([]databaseclient.Member, len(d.Members))
	for i, m := range d.Members {
		ms[i] = databaseclient.Member(m)
	}
	if err := p.dbs.Takeover(ctx, p.boot.Platform, d.Group, d.Target, d.Epoch, ms); err != nil {
		log.WithFields(log.Fields{"group": d.Group, "target": d.Target, "epoch": d.Epoch}).WithError(err).Warn("the platform did not carry the takeover out; it is asked again")
	}
}

// ask posts an event and waits for its return; the core ends each by itself.
func (p *Process) ask(e func(id uint64) any) (Return, bool) {
	id := p.id.Add(1)
	ch := make(chan Return, 1)
	p.waiters.Store(id, ch)
	p.l.Post(e(id))
	select {
	case r := <-ch:
		return r, true
	case <-p.ctx.Done():
		return Return{Code: result.ChangeUncertain}, false
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

// voterDisk is the voter's write-ahead log.
type voterDisk struct {
	w     *wal.Log
	next  uint64
	first uint64
}

// openDisk opens the log and plays it back. A last entry torn by a crash was
// never synced, so nothing rests on it: the log drops it on opening. Anything
// else that cannot be read is told, not passed over.
func openDisk(folder string, restore func(*schema.VoterLog)) (*voterDisk, error) {
	w, err := wal.Open(folder, &wal.Options{NoSync: true, SegmentSize: 4 << 20, SegmentCacheSize: 2, LogFormat: wal.Binary})
	if err != nil {
		return nil, errs.New("voter's log in %s: %w", folder, err)
	}
	first, err := w.FirstIndex()
	if err != nil {
		return nil, err
	}
	last, err := w.LastIndex()
	if err != nil {
		return nil, err
	}
	for i := max(first, 1); i <= last; i++ {
		b, err := w.Read(i)
		if err != nil {
			return nil, errs.New("voter's log in %s, entry %d: %w", folder, i, err)
		}
		l := &schema.VoterLog{}
		if err := proto.Unmarshal(b, l); err != nil {
			return nil, errs.New("voter's log in %s, entry %d: %w", folder, i, err)
		}
		restore(l)
	}
	return &voterDisk{w: w, next: last + 1, first: max(first, 1)}, nil
}

// write appends and syncs; past a length a snapshot takes the place of what
// came before.
func (d *voterDisk) write(ls []*schema.VoterLog, snapshot func() *schema.VoterLog) error {
	if len(ls) == 0 {
		return nil
	}
	compact := d.next-d.first > compactAt
	if compact {
		ls = []*schema.VoterLog{snapshot()}
	}
	for _, l := range ls {
		b, err := proto.Marshal(l)
		if err != nil {
			return err
		}
		if err := d.w.Write(d.next, b); err != nil {
			return err
		}
		d.next++
	}
	if err := d.w.Sync(); err != nil {
		return err
	}
	if compact {
		d.first = d.next - 1
		return d.w.TruncateFront(d.first)
	}
	return nil
}

func (d *voterDisk) close() error { return d.w.Close() }
