package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"stoneford/ports"
	"stoneford/standin/scale-run/scale"
)

type world struct {
	o     options
	shape scale.Shape
	k     int
	dbs   *scale.Databases
	addr  string
	dir   string
	mu    sync.Mutex // of cs, once it is full
	cs    []*started
	pools []*started
	h     *started
	rev   uint64
	s     *sample
}

func (w *world) miss(what string)           { w.s.Missing = append(w.s.Missing, what) }
func (w *world) set(name string, v float64) { w.s.Figures[name] = v }

// over names the processes that ended since they went over their memory.
func (w *world) over() string {
	var who []string
	for i, c := range append(slices.Clone(w.cs), w.h) {
		if c == nil {
			continue
		}
		c.cmd.Process.Kill()
		c.cmd.Wait()
		if c.cmd.ProcessState.ExitCode() == overMemory {
			if c == w.h {
				who = append(who, "the hollow nodes")
			} else {
				who = append(who, fmt.Sprint("control process ", i+1))
			}
		}
	}
	if who == nil {
		return "none"
	}
	return strings.Join(who, ", ")
}

func (w *world) begin(ctx context.Context) (err error) {
	if w.dir, err = os.MkdirTemp("", "scale-run-"); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", "127.77.0.1:0")
	if err != nil {
		return err
	}
	w.addr = ln.Addr().String()
	w.dbs = scale.NewDatabases(w.shape, w.addr)
	srv := rpc.NewServer()
	if err := srv.RegisterName("Databases", databasesService{w.dbs}); err != nil {
		return err
	}
	go srv.Accept(ln)
	context.AfterFunc(ctx, func() { ln.Close() })
	for i := range w.k {
		c, err := start(ctx, "control", i, 0, w.k, w.folder(i), w.addr)
		if err != nil {
			return err
		}
		w.cs = append(w.cs, c)
	}
	w.h, err = start(ctx, "hollow", w.o.real, max(w.shape.Nodes-w.o.real, 1), w.k, "", "")
	return err
}

func (w *world) control(i int) *started {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cs[i]
}

func (w *world) folder(i int) string { return filepath.Join(w.dir, fmt.Sprint("control-", i)) }

func (w *world) end() {
	w.h.kill()
	for _, p := range append(slices.Clone(w.pools), w.cs...) {
		p.kill()
	}
	os.RemoveAll(w.dir)
}

// announce has the databases announce themselves, spread over the control
// processes and over 1.2 s.
func (w *world) announce(ctx context.Context) {
	t := time.NewTicker(1200 * time.Millisecond / beatParts)
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for j := range w.k {
			// Each database stays with the control process that it found.
			part := (i%beatParts)*w.k + j
			call[int](w.control(j), "Announce", w.dbs.Announcements(part, beatParts*w.k))
		}
	}
}

func (w *world) found(ctx context.Context) error {
	began := time.Now()
	t := w.shape.Table(1)
	first := ports.TableChange{Whole: true, Revision: 1, Name: "first", Routes: t.Routes, Groups: t.Groups, Limits: &t.Limits}
	if !wait(ctx, formWait, func() bool {
		r, err := call[ports.ChangeResult](w.cs[0], "Change", first)
		return err == nil && r.Outcome == ports.Agreed
	}) {
		return errors.New("the voters did not form")
	}
	w.rev = 1
	w.set("start: s until formed and the first table agreed", time.Since(began).Seconds())
	began = time.Now()
	go w.announce(ctx)
	if !wait(ctx, foundWait, func() bool {
		k, err := call[scale.Known](w.cs[0], "Known", w.shape)
		return err == nil && k.Open == w.shape.Groups && k.Members == w.shape.Groups
	}) {
		return errors.New("the groups were not founded")
	}
	w.set("start: s until all groups are founded", time.Since(began).Seconds())
	return nil
}

func (w *world) hollow() float64 { return float64(max(w.shape.Nodes-w.o.real, 1)) }

// ramp starts the nodes a few at a time, each few once those before are ready.
func (w *world) ramp(ctx context.Context) error {
	for i := range w.o.real {
		p, err := start(ctx, "pool", i, 0, w.k, "", w.addr)
		if err != nil {
			return err
		}
		w.pools = append(w.pools, p)
	}
	n := int(w.hollow())
	began := time.Now()
	for at := 0; at < n; at += rampStep {
		to := min(at+rampStep, n)
		if _, err := call[int](w.h, "Start", StartArgs{at, to}); err != nil {
			return err
		}
		if err := w.allReady(ctx, to); err != nil {
			return err
		}
	}
	w.set(fmt.Sprintf("first start of nodes, %d at a time: s", rampStep), time.Since(began).Seconds())
	var err error
	if !wait(ctx, herdWait, func() bool {
		for _, p := range w.pools {
			var ok bool
			if ok, err = call[bool](p, "Ready", 0); err != nil {
				return true
			} else if !ok {
				return false
			}
		}
		return true
	}) {
		w.miss("real nodes ready")
	}
	return err
}

// allReady waits until so many hollow nodes are ready and work by the newest
// table.
func (w *world) allReady(ctx context.Context, n int) (err error) {
	var m, f scale.Moments
	if !wait(ctx, herdWait, func() bool {
		if m, err = call[scale.Moments](w.h, "Ready", 0); err == nil {
			f, err = call[scale.Moments](w.h, "InForce", w.rev)
		}
		return err != nil || m.Count >= n && f.Count >= n
	}) {
		return fmt.Errorf("%d of %d nodes are ready, %d have the table", m.Count, n, f.Count)
	}
	return err
}

func (w *world) startNodes(ctx context.Context, what string) error {
	before, err := call[Report](w.h, "Use", false)
	if err != nil {
		return err
	}
	ctl, err := w.useControls(false)
	if err != nil {
		return err
	}
	began := scale.NowUs()
	n := int(w.hollow())
	if _, err := call[int](w.h, "Start", StartArgs{0, n}); err != nil {
		return err
	}
	if err := w.allReady(ctx, n); err != nil {
		return err
	}
	m, err := call[scale.Moments](w.h, "Ready", 0)
	if err != nil {
		return err
	}
	w.set(what+": s until all nodes are ready", float64(m.Last-began)/1e6)
	w.set(what+": s until half of them are", float64(m.Median-began)/1e6)
	after, err := call[Report](w.h, "Use", false)
	if err != nil {
		return err
	}
	ctl2, err := w.useControls(false)
	if err != nil {
		return err
	}
	in := scale.Sum(scale.Since(after.In, before.In))
	w.set(what+": KB in a node", float64(in.Bytes)/1e3/w.hollow())
	var us float64
	for i := range ctl {
		us += float64(ctl2[i].CPUUs-ctl[i].CPUUs) / float64(w.k)
	}
	w.set(what+": s of CPU a control process", us/1e6)
	return nil
}

func (w *world) useControls(collect bool) ([]Report, error) {
	var rs []Report
	for _, c := range w.cs {
		r, err := call[Report](c, "Use", collect)
		if err != nil {
			return nil, err
		}
		rs = append(rs, r)
	}
	return rs, nil
}
