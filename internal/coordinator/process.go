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

	"stoneford/failover/fenced"
	"stoneford/internal/cleanup"
	"stoneford/internal/ports"
	"stoneford/internal/transport"
	"stoneford/internal/wal"
	"stoneford/result"
	"stoneford/schema"
)

const (
	inboxLength        = 4096
	maxEventsPerStep   = 128
	promoteTimeout     = 1500 * time.Millisecond
	minDrainDuration   = 400_000 // microseconds
	drainCheckInterval = 100 * time.Millisecond
	// drainReserve is what is left of the time until the kill when a process that
	// could not hand its vote over ends.
	drainReserve      = 700_000
	openRetryInterval = 500 * time.Millisecond
)

// Process is one control process.
type Process struct {
	databases    ports.Databases
	provider     ports.Provider
	config       ports.ProcessConfig
	core         *Core
	logWriter    *writer
	links        *transport.Transport
	inbox        chan any
	startedAt    time.Time
	lastCallID   atomic.Uint64
	waitingCalls sync.Map        // id to chan any
	ctx          context.Context // ends with the process
	cancel       context.CancelFunc
}

var _ ports.ControlProcess = (*Process)(nil)

// NewProcess makes a control process; what its disk holds is read when it runs.
func NewProcess(b ports.ProcessConfig, dbs ports.Databases, prov ports.Provider) (ports.ControlProcess, error) {
	// Calls may come before it runs.
	ctx, stop := context.WithCancel(context.Background())
	return &Process{databases: dbs, provider: prov, config: b, inbox: make(chan any, inboxLength), startedAt: time.Now(), ctx: ctx, cancel: stop}, nil
}

// nowUs is this process's monotonic time; it starts at a second, so that 0 can
// stand for never.
func (p *Process) nowUs() int64 { return time.Since(p.startedAt).Microseconds() + 1_000_000 }

// openLog opens the voter's log, trying on while the disk refuses; what is called
// meanwhile is told that it cannot be done here. It returns nil when the context
// ends first.
func (p *Process) openLog(ctx context.Context) *Core {
	for {
		c, err := p.restore()
		if err == nil {
			return c
		}
		log.WithFields(log.Fields{"code": int(result.VoterDiskFailed)}).WithError(err).Error(result.VoterDiskFailed.String())
		again := time.After(openRetryInterval)
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return nil
			case <-again:
				waiting = false
			case e := <-p.inbox:
				p.rejectCall(e)
			}
		}
	}
}

// rejectCall ends a call that cannot be served.
func (p *Process) rejectCall(e any) {
	switch e := e.(type) {
	case Announce:
		p.finishCall(e.ID, AnnounceDone{ID: e.ID})
	case ChangeTable:
		p.finishCall(e.ID, ChangeTableDone{ID: e.ID, Result: ports.ChangeResult{Outcome: ports.Unavailable}})
	case FetchTable:
		p.finishCall(e.ID, FetchTableDone{ID: e.ID})
	case Move:
		p.finishCall(e.ID, MoveDone{ID: e.ID, Result: moveUnavailable})
	case CancelMove:
		p.finishCall(e.ID, MoveDone{ID: e.ID, Result: moveUnavailable})
	case movesRequest:
		p.finishCall(e.id, nil)
	case stateRequest:
		p.finishCall(e.id, nil)
	case ports.ProcessConfig:
		p.config = e
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
	folder := filepath.Join(p.config.DataFolder, "voter")
	var es []*schema.WALEntry
	keep := func(l *schema.WALEntry) { es = append(es, l) }
	st, err := wal.Open(folder, keep)
	if errors.Is(err, wal.ErrCorrupt) {
		to, moved := wal.Quarantine(folder)
		log.WithFields(log.Fields{"code": int(result.LogDamaged), "moved_to": to}).WithError(err).Error(result.LogDamaged.String())
		if moved != nil {
			return nil, moved
		}
		es = nil
		st, err = wal.Open(folder, keep)
		p.config.Bootstrap = false // what was here is lost: nothing is founded anew
	}
	if err != nil {
		return nil, err
	}
	st.SetDiskSize(int(p.config.DiskMB) << 20)
	p.logWriter = newWriter(st, p.post)
	return Restore(p.config, es, binary.LittleEndian.Uint64(r[:])|1, binary.LittleEndian.Uint64(r[8:])|1), nil
}

// Run serves until the context ends, then leaves in order.
func (p *Process) Run(ctx context.Context) (err error) {
	var cl cleanup.Stack
	defer func() { err = errors.Join(err, cl.Run()) }()
	if p.core = p.openLog(ctx); p.core == nil {
		p.cancel()
		return nil
	}
	cl.Push(p.logWriter.close)
	work := p.ctx
	cl.Push(func() error { p.cancel(); return nil })
	p.links = transport.New(work, p.config.ControlNodeAddress(), transport.LocalAddress(p.config.ControlNodeAddress()), p.deliver)
	ln, err := net.Listen("tcp", p.config.ListenAddress(p.config.ControlNodeAddress()))
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() { failed <- p.links.Serve(ln) }()
	p.core.Start(p.nowUs())
	go p.serveState(work)
	log.WithFields(log.Fields{"name": p.config.Name, "listen": p.config.ControlNodeAddress()}).Info("stoneford-control is up")
	t := time.NewTimer(0)
	defer t.Stop()
	done := ctx.Done()
	var leave draining
	var evs []any
	for {
		evs = evs[:0]
		select {
		case err := <-failed:
			return err
		case <-done:
			done = nil
			evs = append(evs, Stop{})
			leave = p.beginDraining()
		case <-leave.tick:
		case <-t.C:
		case e := <-p.inbox:
			evs = append(evs, e)
		}
		for more := true; more && len(evs) < maxEventsPerStep; {
			select {
			case e := <-p.inbox:
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

// draining is a process's way out: it hands its vote over where another may take it.
type draining struct {
	tick                   <-chan time.Time
	earliestEnd, latestEnd int64 // by the process's monotonic time
}

func (p *Process) beginDraining() draining {
	least := p.nowUs() + minDrainDuration
	return draining{tick: time.Tick(drainCheckInterval), earliestEnd: least, latestEnd: max(least, p.nowUs()+p.config.Bounds.GraceUs-drainReserve)}
}

// over reports whether the process may end: its vote is handed over, or nobody is
// there to take it, or the time that it was given is nearly over.
func (l draining) over(p *Process) bool {
	if l.tick == nil {
		return false
	}
	now := p.nowUs()
	return now >= l.earliestEnd && p.core.MayStop(now) || now >= l.latestEnd
}

func (p *Process) deliver(e *schema.Envelope) {
	select {
	case p.inbox <- e:
	default: // whatever matters is repeated by its sender
	}
}

func (p *Process) post(e any) {
	select {
	case p.inbox <- e:
	case <-p.ctx.Done():
	}
}

func (p *Process) step(evs []any) {
	for i, e := range evs {
		switch e := e.(type) {
		case ports.ProcessConfig:
			p.core.UpdateConfig(e)
			evs[i] = nil
		case stateRequest:
			p.finishCall(e.id, p.stateNow(e.withItems))
			evs[i] = nil
		case movesRequest:
			now := p.nowUs()
			p.finishCall(e.id, movesReply{p.core.Moves(now), p.core.inContact(now)})
			evs[i] = nil
		}
	}
	fx := p.core.Step(p.nowUs(), evs...)
	if len(fx.Log) > 0 {
		es := fx.Log
		if p.logWriter.snapshotDue.Load() && !es[0].Snapshot {
			es = []*schema.WALEntry{p.core.Snapshot()}
		}
		p.logWriter.write(es, fx.Watermark)
	}
	for _, s := range fx.Send {
		p.links.Send(s.To, s.Envelope)
	}
	for _, d := range fx.Do {
		switch d := d.(type) {
		case AnnounceDone:
			p.finishCall(d.ID, d)
		case ChangeTableDone:
			p.finishCall(d.ID, d)
		case FetchTableDone:
			p.finishCall(d.ID, d)
		case MoveDone:
			p.finishCall(d.ID, d)
		case DatabaseCall:
			go p.callDatabase(d)
		case Promote:
			go p.promote(d)
		case LogEntry:
			log.WithFields(log.Fields{"code": int(d.Code), "what": d.Text}).Info(d.Code.String())
		}
	}
}

// leaseLeft bounds a wait by a lease. It is asked right before what rests on the
// lease leaves, which may be long after the step that decided it.
func (p *Process) leaseLeft(until int64, wait time.Duration) time.Duration {
	return min(wait, time.Duration(until-p.nowUs())*time.Microsecond)
}

func (p *Process) callDatabase(d DatabaseCall) {
	wait := time.Duration(d.Call.TimeoutUs) * time.Microsecond
	if d.Call.Kind != ports.Status {
		if wait = p.leaseLeft(d.Call.Until, wait); wait <= 0 {
			p.post(DatabaseReply{Group: d.Group, Reply: fenced.DatabaseReply{ID: d.Call.ID, NotSent: true}})
			return
		}
	}
	ctx, stop := context.WithTimeout(p.ctx, wait)
	defer stop()
	i := d.Call.Instance
	st, code, err := p.databases.Do(ctx, i.Address, i.Group, i.ID, ports.Op{Internal: true, Statement: ports.Statement{Kind: d.Call.Kind}, Term: d.Call.Term})
	s := fenced.DatabaseReply{ID: d.Call.ID, Status: st}
	switch {
	case err != nil && code != ports.WrongInstance:
		// One that bounces a connection, because it has too many, is there.
		s.Err, s.Absent = err.Error(), code == ports.Done && !errors.Is(err, context.DeadlineExceeded) && !isTimeout(err)
	case code == ports.WrongInstance:
		s.Err, s.Absent = "another database is there", true
	case code != ports.Done:
		s.Err = "the database bounced it"
	}
	p.post(DatabaseReply{Group: d.Group, Reply: s})
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

func (p *Process) promote(d Promote) {
	wait := p.leaseLeft(d.Promote.Until, promoteTimeout)
	if wait <= 0 {
		p.post(PromoteDone{Group: d.Group})
		return
	}
	ctx, stop := context.WithTimeout(p.ctx, wait)
	defer stop()
	code, err := p.provider.Promote(ctx, d.Group, d.Promote.ID, d.Promote.Owner, d.Promote.FencingToken)
	log.WithFields(log.Fields{"group": d.Group, "database": d.Promote.ID, "status": code}).Info("the platform was asked for a primary")
	p.post(PromoteDone{Group: d.Group, OK: err == nil && code == http.StatusOK, Gone: err == nil && code == http.StatusConflict})
}

func (p *Process) finishCall(id uint64, v any) {
	if ch, ok := p.waitingCalls.LoadAndDelete(id); ok {
		ch.(chan any) <- v
	}
}

// call posts an event made with a new id and waits for what ends it.
func (p *Process) call(ctx context.Context, build func(id uint64) any) any {
	id := p.lastCallID.Add(1)
	ch := make(chan any, 1)
	p.waitingCalls.Store(id, ch)
	p.post(build(id))
	select {
	case v := <-ch:
		return v
	case <-ctx.Done():
	case <-p.ctx.Done():
	}
	p.waitingCalls.Delete(id)
	return nil
}

// Announce implements ports.ControlAddress.
func (p *Process) Announce(ctx context.Context, i ports.Instance) (bool, string) {
	v, ok := p.call(ctx, func(id uint64) any { return Announce{ID: id, Instance: i} }).(AnnounceDone)
	return ok && v.OK, ""
}

// Change implements ports.ControlAddress.
func (p *Process) Change(ctx context.Context, c ports.TableChange) ports.ChangeResult {
	v, _ := p.call(ctx, func(id uint64) any { return ChangeTable{ID: id, Change: c} }).(ChangeTableDone)
	return v.Result
}

// Fetch implements ports.ControlAddress.
func (p *Process) Fetch(ctx context.Context) (ports.RoutingTable, bool) {
	v, ok := p.call(ctx, func(id uint64) any { return FetchTable{ID: id} }).(FetchTableDone)
	return v.Table, ok && v.OK
}

// SetLinksBroken breaks the process's links to others until they are mended, for
// trials; it has to run.
func (p *Process) SetLinksBroken(broken bool) { p.links.SetPartitioned(broken) }

// UpdateConfig implements ports.ControlProcess.
func (p *Process) UpdateConfig(b ports.ProcessConfig) { p.post(b) }
