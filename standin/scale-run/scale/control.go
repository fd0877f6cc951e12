package scale

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"net"
	"path/filepath"
	"sync/atomic"
	"time"

	"stoneford/cleanup"
	"stoneford/coordinator"
	"stoneford/links"
	"stoneford/ports"
	"stoneford/schema"
	"stoneford/switchover"
	"stoneford/voterlog"
)

const (
	lineLength = 4096
	mostAtOnce = 128
	jobLine    = 256
)

// Control is a control process: the core, the voter's log and the links of the
// product behind an edge that counts (coordinator.Process has the same loop
// without).
type Control struct {
	Traffic Traffic
	boot    ports.Boot
	ask     Asker
	core    *coordinator.Core
	store   *voterlog.Log
	links   *links.Links
	in      chan any
	jobs    chan job
	ctx     context.Context
	ids     uint64
	waits   map[uint64]func(any)
	steps   atomic.Int64
	stepNs  atomic.Int64
	logged  atomic.Int64
	dropped atomic.Int64
}

// Asker reaches the databases and the platform.
type Asker interface {
	Do(id string, kind ports.Kind, term uint64) (ports.DatabaseStatus, ports.Code, error)
	Promote(group, id string) (status int, err error)
}

// NewControl makes one.
func NewControl(b ports.Boot, a Asker) *Control {
	return &Control{boot: b, ask: a, in: make(chan any, lineLength), jobs: make(chan job, jobLine), waits: map[uint64]func(any){}}
}

func (c *Control) restore() error {
	var r [16]byte
	if _, err := rand.Read(r[:]); err != nil {
		return err
	}
	var es []*schema.VoterLog
	var err error
	if c.store, err = voterlog.Open(filepath.Join(c.boot.DataFolder, "voter"), func(l *schema.VoterLog) { es = append(es, l) }); err != nil {
		return err
	}
	c.core = coordinator.Restore(c.boot, es, binary.LittleEndian.Uint64(r[:])|1, binary.LittleEndian.Uint64(r[8:])|1)
	return nil
}

// job is entries for the disk, and the mark that says that they are there.
type job struct {
	es   []*schema.VoterLog
	mark uint64
}

// write has the disk to itself, and writes together what came while it did.
func (c *Control) write(jobs <-chan job) error {
	for j := range jobs {
		for more := true; more; {
			select {
			case k, ok := <-jobs:
				if more = ok; ok {
					j = job{append(j.es, k.es...), k.mark}
				}
			default:
				more = false
			}
		}
		if err := c.store.Write(j.es, nil); err != nil {
			return err
		}
		c.logged.Add(int64(len(j.es)))
		c.post(coordinator.Synced{Mark: j.mark})
	}
	return c.store.Close()
}

// Run serves until the context ends; up is closed once it does.
func (c *Control) Run(ctx context.Context, up chan<- struct{}) (err error) {
	var cl cleanup.Stack
	defer func() { err = errors.Join(err, cl.Run()) }()
	if err := c.restore(); err != nil {
		return err
	}
	c.ctx = ctx
	wrote := make(chan error, 1)
	go func() { wrote <- c.write(c.jobs) }()
	cl.Push(func() error { close(c.jobs); return <-wrote })
	self := c.boot.ControlNode()
	c.links = links.New(ctx, self, links.Local(self), func(e *schema.Envelope) {
		c.Traffic.Came(e)
		select {
		case c.in <- e:
		default:
			c.dropped.Add(1)
		}
	})
	ln, err := net.Listen("tcp", self)
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() { failed <- c.links.Serve(ln) }()
	c.core.Start(NowUs())
	close(up)
	t := time.NewTimer(0)
	defer t.Stop()
	var evs []any
	for {
		evs = evs[:0]
		select {
		case err := <-failed:
			return err
		case err := <-wrote:
			wrote <- err
			return err
		case <-ctx.Done():
			return nil
		case <-t.C:
		case e := <-c.in:
			evs = c.take(evs, e)
		}
		for more := true; more && len(evs) < mostAtOnce; {
			select {
			case e := <-c.in:
				evs = c.take(evs, e)
			default:
				more = false
			}
		}
		c.step(evs)
		t.Reset(time.Duration(max(c.core.Due()-NowUs(), 0)) * time.Microsecond)
	}
}

// take makes an event of a call.
func (c *Control) take(evs []any, e any) []any {
	f, ok := e.(func() any)
	if !ok {
		return append(evs, e)
	}
	if e := f(); e != nil {
		evs = append(evs, e)
	}
	return evs
}

func (c *Control) step(evs []any) {
	began := time.Now()
	fx := c.core.Step(NowUs(), evs...)
	c.steps.Add(1)
	c.stepNs.Add(int64(time.Since(began)))
	if len(fx.Log) > 0 {
		c.jobs <- job{fx.Log, fx.Mark}
	}
	for _, s := range fx.Send {
		c.Traffic.Left(s.Env)
		c.links.Send(s.To, s.Env)
	}
	for _, d := range fx.Do {
		switch d := d.(type) {
		case coordinator.Announced:
			c.end(d.ID, d)
		case coordinator.Changed:
			c.end(d.ID, d)
		case coordinator.Fetched:
			c.end(d.ID, d)
		case coordinator.Ask:
			go c.question(d)
		case coordinator.Promote:
			go func() {
				status, err := c.ask.Promote(d.Group, d.Promote.ID)
				c.post(coordinator.Promoted{Group: d.Group, OK: err == nil && status == 200, Gone: err == nil && status == 409})
			}()
		}
	}
}

func (c *Control) question(d coordinator.Ask) {
	st, code, err := c.ask.Do(d.Ask.Instance.ID, d.Ask.Kind, d.Ask.Term)
	s := switchover.Said{ID: d.Ask.ID, Status: st}
	if err != nil || code != ports.Done {
		s.Err, s.NotThere = "no", code == ports.WrongInstance
	}
	c.post(coordinator.Said{Group: d.Group, Said: s})
}

func (c *Control) end(id uint64, v any) {
	if f := c.waits[id]; f != nil {
		delete(c.waits, id)
		f(v)
	}
}

func (c *Control) post(e any) {
	select {
	case c.in <- e:
	case <-c.ctx.Done():
	}
}

// Announce takes databases' words and does not wait.
func (c *Control) Announce(is []ports.Instance) {
	for _, i := range is {
		c.post(func() any { c.ids++; return coordinator.Announce{ID: c.ids, Instance: i} })
	}
}

// call makes an event with an id and waits for its end.
func call[T any](ctx context.Context, c *Control, build func(id uint64) any) (T, error) {
	ch := make(chan T, 1)
	c.post(func() any {
		c.ids++
		c.waits[c.ids] = func(v any) { ch <- v.(T) }
		return build(c.ids)
	})
	select {
	case v := <-ch:
		return v, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// Change changes the routing table.
func (c *Control) Change(ctx context.Context, ch ports.TableChange) (ports.ChangeResult, error) {
	v, err := call[coordinator.Changed](ctx, c, func(id uint64) any { return coordinator.Change{ID: id, Change: ch} })
	return v.Result, err
}

// Fetch reads the table's revision through a majority.
func (c *Control) Fetch(ctx context.Context) (uint64, bool) {
	v, err := call[coordinator.Fetched](ctx, c, func(id uint64) any { return coordinator.Fetch{ID: id} })
	return v.Table.Revision, err == nil && v.OK
}

// Known is what this process holds.
type Known struct {
	Formed         bool
	Open, Members  int // groups that are open, and whose members are agreed
	Steps, StepNs  int64
	Logged, Missed int64 // entries of the log, and events that found the line full
}

// Known reads it on the core's own turn.
func (c *Control) Known(ctx context.Context, s Shape) (Known, error) {
	ch := make(chan Known, 1)
	c.post(func() any {
		k := Known{Steps: c.steps.Load(), StepNs: c.stepNs.Load(), Logged: c.logged.Load(), Missed: c.dropped.Load()}
		for g := range s.Groups {
			n := GroupName(g)
			if l, ok := c.core.View().Agreed("leader/" + n); ok && leadership(l.Data).Phase == uint32(ports.PhaseOpen) {
				k.Open++
			}
			if _, ok := c.core.View().Agreed("members/" + n); ok {
				k.Members++
			}
		}
		k.Formed = c.core.View().LeaseUntil() > 0
		ch <- k
		return nil
	})
	select {
	case k := <-ch:
		return k, nil
	case <-ctx.Done():
		return Known{}, ctx.Err()
	}
}
