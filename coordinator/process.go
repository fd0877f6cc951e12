package coordinator

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

	"stoneford/cleanup"
	"stoneford/links"
	"stoneford/ports"
	"stoneford/result"
	"stoneford/schema"
	"stoneford/switchover"
	"stoneford/voterlog"
)

const (
	lineLength  = 4096
	mostAtOnce  = 128
	promoteWait = 1500 * time.Millisecond
	leaveWait   = 400_000 // microseconds
	leaveTick   = 100 * time.Millisecond
	// leaveReserve is what is left of the time until the kill when a process that
	// could not hand its vote over ends.
	leaveReserve = 700_000
	openAgain    = 500 * time.Millisecond
)

// Process is one control process.
type Process struct {
	dbs   ports.Databases
	prov  ports.Provider
	boot  ports.Boot
	core  *Core
	store *writer
	links *links.Links
	in    chan any
	began time.Time
	ids   atomic.Uint64
	wait  sync.Map        // id to chan any
	ctx   context.Context // ends with the process
	stop  context.CancelFunc
}

var _ ports.ControlProcess = (*Process)(nil)

// NewProcess makes a control process; what its disk holds is read when it runs.
func NewProcess(b ports.Boot, dbs ports.Databases, prov ports.Provider) (ports.ControlProcess, error) {
	// Calls may come before it runs.
	ctx, stop := context.WithCancel(context.Background())
	return &Process{dbs: dbs, prov: prov, boot: b, in: make(chan any, lineLength), began: time.Now(), ctx: ctx, stop: stop}, nil
}

// nowUs is this process's monotonic time; it starts at a second, so that 0 can
// stand for never.
func (p *Process) nowUs() int64 { return time.Since(p.began).Microseconds() + 1_000_000 }

// open opens the voter's log, trying on while the disk refuses; what is called
// meanwhile is told that it cannot be done here. It returns nil when the context
// ends first.
func (p *Process) open(ctx context.Context) *Core {
	for {
		c, err := p.restore()
		if err == nil {
			return c
		}
		log.WithFields(log.Fields{"code": int(result.VoterSilent)}).WithError(err).Error(result.VoterSilent.String())
		again := time.After(openAgain)
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return nil
			case <-again:
				waiting = false
			case e := <-p.in:
				p.bounce(e)
			}
		}
	}
}

// bounce ends a call that cannot be served.
func (p *Process) bounce(e any) {
	switch e := e.(type) {
	case Announce:
		p.end(e.ID, Announced{ID: e.ID})
	case Change:
		p.end(e.ID, Changed{ID: e.ID, Result: ports.ChangeResult{Outcome: ports.Unavailable}})
	case Fetch:
		p.end(e.ID, Fetched{ID: e.ID})
	case Move:
		p.end(e.ID, Moved{ID: e.ID, Result: moveUnavailable})
	case CancelMove:
		p.end(e.ID, Moved{ID: e.ID, Result: moveUnavailable})
	case movesAsked:
		p.end(e.id, nil)
	case stateAsked:
		p.end(e.id, nil)
	case ports.Boot:
		p.boot = e
	}
}

// restore opens the voter's log and makes the core of what it holds.
func (p *Process) restore() (*Core, error) {
	// The first number is this disk's identity, should it be empty; the run is told from any other
	// by chance and not by the time of day, which may step back.
	var r [16]byte
	if _, err := rand.Read(r[:]); err != nil {
		return nil, err
	}
	folder := filepath.Join(p.boot.DataFolder, "voter")
	var es []*schema.VoterLog
	keep := func(l *schema.VoterLog) { es = append(es, l) }
	st, err := voterlog.Open(folder, keep)
	if voterlog.ErrDamaged.Has(err) {
		to, moved := voterlog.SetAside(folder)
		log.WithFields(log.Fields{"code": int(result.LogDamaged), "moved_to": to}).WithError(err).Error(result.LogDamaged.String())
		if moved != nil {
			return nil, moved
		}
		es = nil
		st, err = voterlog.Open(folder, keep)
		p.boot.Bootstrap = false // what was here is lost: nothing is founded anew
	}
	if err != nil {
		return nil, err
	}
	st.SetDiskSize(int(p.boot.DiskMB) << 20)
	p.store = newWriter(st, p.post)
	return Restore(p.boot, es, binary.LittleEndian.Uint64(r[:])|1, binary.LittleEndian.Uint64(r[8:])|1), nil
}

// Run serves until the context ends, then leaves in order.
func (p *Process) Run(ctx context.Context) (err error) {
	var cl cleanup.Stack
	defer func() { err = errors.Join(err, cl.Run()) }()
	if p.core = p.open(ctx); p.core == nil {
		p.stop()
		return nil
	}
	cl.Push(p.store.close)
	work := p.ctx
	cl.Push(func() error { p.stop(); return nil })
	p.links = links.New(work, p.boot.ControlNode(), links.Local(p.boot.ControlNode()), p.take)
	ln, err := net.Listen("tcp", p.boot.Listen(p.boot.ControlNode()))
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() { failed <- p.links.Serve(ln) }()
	p.core.Start(p.nowUs())
	go p.serveState(work)
	log.WithFields(log.Fields{"name": p.boot.Name, "listen": p.boot.ControlNode()}).Info("stoneford-control is up")
	t := time.NewTimer(0)
	defer t.Stop()
	done := ctx.Done()
	var leave leaving
	var evs []any
	for {
		evs = evs[:0]
		select {
		case err := <-failed:
			return err
		case <-done:
			done = nil
			evs = append(evs, Stop{})
			leave = p.beginLeaving()
		case <-leave.tick:
		case <-t.C:
		case e := <-p.in:
			evs = append(evs, e)
		}
		for more := true; more && len(evs) < mostAtOnce; {
			select {
			case e := <-p.in:
				evs = append(evs, e)
			default:
				more = false
			}
		}
		p.step(evs)
		if leave.over(p) {
			return nil
		}
		t.Reset(time.Duration(max(p.core.Due()-p.nowUs(), 0)) * time.Microsecond)
	}
}

// leaving is a process's way out: it hands its vote over where another may take it.
type leaving struct {
	tick        <-chan time.Time
	least, most int64 // by the process's monotonic time
}

func (p *Process) beginLeaving() leaving {
	least := p.nowUs() + leaveWait
	return leaving{tick: time.Tick(leaveTick), least: least, most: max(least, p.nowUs()+p.boot.Bounds.GraceUs-leaveReserve)}
}

// over reports whether the process may end: its vote is handed over, or nobody is
// there to take it, or the time that it was given is nearly over.
func (l leaving) over(p *Process) bool {
	if l.tick == nil {
		return false
	}
	now := p.nowUs()
	return now >= l.least && p.core.MayEnd(now) || now >= l.most
}

func (p *Process) take(e *schema.Envelope) {
	select {
	case p.in <- e:
	default: // whatever matters is repeated by its sender
	}
}

func (p *Process) post(e any) {
	select {
	case p.in <- e:
	case <-p.ctx.Done():
	}
}

func (p *Process) step(evs []any) {
	for i, e := range evs {
		switch e := e.(type) {
		case ports.Boot:
			p.core.SetBoot(e)
			evs[i] = nil
		case stateAsked:
			p.end(e.id, p.stateNow(e.whole))
			evs[i] = nil
		case movesAsked:
			now := p.nowUs()
			p.end(e.id, movesKnown{p.core.Moves(now), p.core.inContact(now)})
			evs[i] = nil
		}
	}
	fx := p.core.Step(p.nowUs(), evs...)
	if len(fx.Log) > 0 {
		es := fx.Log
		if p.store.due.Load() && !es[0].Snapshot {
			es = []*schema.VoterLog{p.core.Snapshot()}
		}
		p.store.write(es, fx.Mark)
	}
	for _, s := range fx.Send {
		p.links.Send(s.To, s.Env)
	}
	for _, d := range fx.Do {
		switch d := d.(type) {
		case Announced:
			p.end(d.ID, d)
		case Changed:
			p.end(d.ID, d)
		case Fetched:
			p.end(d.ID, d)
		case Moved:
			p.end(d.ID, d)
		case Ask:
			go p.ask(d)
		case Promote:
			go p.promote(d)
		case Say:
			log.WithFields(log.Fields{"code": int(d.Code), "what": d.Text}).Info(d.Code.String())
		}
	}
}

// leaseLeft bounds a wait by a lease. It is asked right before what rests on the
// lease leaves, which may be long after the step that decided it.
func (p *Process) leaseLeft(until int64, wait time.Duration) time.Duration {
	return min(wait, time.Duration(until-p.nowUs())*time.Microsecond)
}

func (p *Process) ask(d Ask) {
	wait := time.Duration(d.Ask.WaitUs) * time.Microsecond
	if d.Ask.Kind != ports.Status {
		if wait = p.leaseLeft(d.Ask.Until, wait); wait <= 0 {
			p.post(Said{Group: d.Group, Said: switchover.Said{ID: d.Ask.ID, Withdrawn: true}})
			return
		}
	}
	ctx, stop := context.WithTimeout(p.ctx, wait)
	defer stop()
	i := d.Ask.Instance
	st, code, err := p.dbs.Do(ctx, i.Address, i.Group, i.ID, ports.Op{Own: true, St: ports.Statement{Kind: d.Ask.Kind}, Term: d.Ask.Term})
	s := switchover.Said{ID: d.Ask.ID, Status: st}
	switch {
	case err != nil && code != ports.WrongInstance:
		// One that bounces a connection, because it has too many, is there.
		s.Err, s.NotThere = err.Error(), code == ports.Done && !errors.Is(err, context.DeadlineExceeded) && !isTimeout(err)
	case code == ports.WrongInstance:
		s.Err, s.NotThere = "another database is there", true
	case code != ports.Done:
		s.Err = "the database bounced it"
	}
	p.post(Said{Group: d.Group, Said: s})
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

func (p *Process) promote(d Promote) {
	wait := p.leaseLeft(d.Promote.Until, promoteWait)
	if wait <= 0 {
		p.post(Promoted{Group: d.Group})
		return
	}
	ctx, stop := context.WithTimeout(p.ctx, wait)
	defer stop()
	code, err := p.prov.Promote(ctx, d.Group, d.Promote.ID, d.Promote.Owner, d.Promote.Fence)
	log.WithFields(log.Fields{"group": d.Group, "database": d.Promote.ID, "status": code}).Info("the platform was asked for a primary")
	p.post(Promoted{Group: d.Group, OK: err == nil && code == http.StatusOK, Gone: err == nil && code == http.StatusConflict})
}

func (p *Process) end(id uint64, v any) {
	if ch, ok := p.wait.LoadAndDelete(id); ok {
		ch.(chan any) <- v
	}
}

// call posts an event made with a new id and waits for what ends it.
func (p *Process) call(ctx context.Context, build func(id uint64) any) any {
	id := p.ids.Add(1)
	ch := make(chan any, 1)
	p.wait.Store(id, ch)
	p.post(build(id))
	select {
	case v := <-ch:
		return v
	case <-ctx.Done():
	case <-p.ctx.Done():
	}
	p.wait.Delete(id)
	return nil
}

// Announce implements ports.Control.
func (p *Process) Announce(ctx context.Context, i ports.Instance) (bool, string) {
	v, ok := p.call(ctx, func(id uint64) any { return Announce{ID: id, Instance: i} }).(Announced)
	return ok && v.OK, ""
}

// Change implements ports.Control.
func (p *Process) Change(ctx context.Context, c ports.TableChange) ports.ChangeResult {
	v, _ := p.call(ctx, func(id uint64) any { return Change{ID: id, Change: c} }).(Changed)
	return v.Result
}

// Fetch implements ports.Control.
func (p *Process) Fetch(ctx context.Context) (ports.RoutingTable, bool) {
	v, ok := p.call(ctx, func(id uint64) any { return Fetch{ID: id} }).(Fetched)
	return v.Table, ok && v.OK
}

// CutLinks breaks the process's links to others until they are mended, for
// trials; it has to run.
func (p *Process) CutLinks(broken bool) { p.links.Cut(broken) }

// SetBoot implements ports.ControlProcess.
func (p *Process) SetBoot(b ports.Boot) { p.post(b) }
