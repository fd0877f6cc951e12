package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math"
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

// Bounds of each wait; what does not come within them is said to be missing.
const (
	formWait   = 10 * time.Second
	foundWait  = 40 * time.Second
	herdWait   = 30 * time.Second
	changeWait = 6 * time.Second
	switchWait = 12 * time.Second
	poll       = 10 * time.Millisecond
	rampStep   = 20
	beatParts  = 12 // parts that the databases' announcements are spread over
)

// sample is one run's figures.
type sample struct {
	Nodes, Controls, Repeat int
	At                      string
	Figures                 map[string]float64
	Missing                 []string
}

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

func fleet(ctx context.Context, o options) error {
	var all []sample
	for _, k := range o.controls {
		for _, n := range o.sizes {
			for r := range o.repeats {
				began := time.Now()
				s, err := measure(ctx, o, n, k, r)
				if err != nil {
					return fmt.Errorf("%d nodes, %d control processes: %w", n, k, err)
				}
				all = append(all, s)
				fmt.Fprintf(os.Stderr, "%d nodes, %d control processes, run %d: %.0f s, missing %v\n", n, k, r+1, time.Since(began).Seconds(), s.Missing)
				if err := keep(o.out, s); err != nil {
					return err
				}
			}
		}
	}
	for _, k := range o.controls {
		table(all, k, o.sizes)
	}
	return nil
}

// tables prints the figures of all runs that a file holds.
func tables(o options) error {
	f, err := os.Open(o.out)
	if err != nil {
		return err
	}
	defer f.Close()
	var all []sample
	for d := json.NewDecoder(f); ; {
		var s sample
		if err := d.Decode(&s); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return err
		}
		all = append(all, s)
	}
	for _, k := range o.controls {
		table(all, k, o.sizes)
	}
	return nil
}

func keep(path string, s sample) error {
	if path == "" {
		return nil
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	return errors.Join(json.NewEncoder(f).Encode(s), f.Close())
}

// table prints each figure by size, median (least to greatest), and its line.
func table(all []sample, k int, sizes []int) {
	names := map[string]bool{}
	for _, s := range all {
		for n := range s.Figures {
			names[n] = true
		}
	}
	fmt.Printf("\n%d control processes\n| figure |", k)
	for _, n := range sizes {
		fmt.Printf(" %d |", n)
	}
	fmt.Println(" slope a node (standard error) | at 690 by the line | exponent |")
	for _, name := range slices.Sorted(func(y func(string) bool) {
		for n := range names {
			if !y(n) {
				return
			}
		}
	}) {
		fmt.Printf("| %s |", name)
		var ps []scale.Point
		for _, n := range sizes {
			p := scale.Point{X: float64(n)}
			for _, s := range all {
				if v, ok := s.Figures[name]; ok && s.Nodes == n && s.Controls == k {
					p.Ys = append(p.Ys, v)
				}
			}
			if len(p.Ys) == 0 {
				fmt.Print(" - |")
				continue
			}
			fmt.Printf(" %.4g (%.4g to %.4g) |", scale.Median(p.Ys), slices.Min(p.Ys), slices.Max(p.Ys))
			ps = append(ps, p)
		}
		l := scale.Fit(ps)
		fmt.Printf(" %.3g (%.2g) | %.4g | %.2f |\n", l.Slope, l.Error, l.At(scale.FullNodes), l.Power)
	}
}

// wait polls until something holds.
func wait(ctx context.Context, most time.Duration, f func() bool) bool {
	ctx, stop := context.WithTimeout(ctx, most)
	defer stop()
	t := time.NewTicker(poll)
	defer t.Stop()
	for !f() {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
	}
	return true
}

// measure makes one run. One that a bound ends keeps the figures it has.
func measure(ctx context.Context, o options, nodes, controls, repeat int) (s sample, err error) {
	outer := ctx
	ctx, stop := context.WithTimeout(ctx, o.bound)
	defer stop()
	began := time.Now()
	w := &world{o: o, shape: scale.ShapeOf(nodes), k: controls, s: &s}
	s = sample{Nodes: nodes, Controls: controls, Repeat: repeat, At: time.Now().UTC().Format(time.RFC3339), Figures: map[string]float64{}}
	if err := w.begin(ctx); err != nil {
		w.end()
		return s, err
	}
	defer w.end()
	for _, f := range []struct {
		name string
		do   func(context.Context) error
	}{{"founding", w.found}, {"the first start of nodes", w.ramp}, {"the steady state", w.steady}, {"changes of the table", w.change},
		{"changes of primary", w.switchPrimary}, {"the restart of a control process", w.restartControl}, {"the restart of all nodes", w.restartNodes}} {
		if err := f.do(ctx); err != nil {
			if outer.Err() != nil {
				return s, outer.Err()
			}
			w.miss(fmt.Sprintf("%s: %v (%s over its memory, after %.0f s)", f.name, err, w.over(), time.Since(began).Seconds()))
			return s, nil
		}
	}
	return s, nil
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

// steady measures a while in which nothing changes.
func (w *world) steady(ctx context.Context) error {
	settle(ctx, 2*time.Second)
	if w.o.profile != "" {
		path := filepath.Join(w.o.profile, fmt.Sprintf("control-%d-%d.pprof", w.shape.Nodes, w.k))
		if _, err := call[int](w.cs[0], "Profile", path); err != nil {
			return err
		}
		defer call[int](w.cs[0], "Profile", "")
	}
	var ps1, ps2 []Report
	c1, err := w.useControls(false)
	if err != nil {
		return err
	}
	known1, err := call[scale.Known](w.cs[0], "Known", w.shape)
	if err != nil {
		return err
	}
	h1, err := call[Report](w.h, "Use", false)
	if err != nil {
		return err
	}
	use := func() (rs []Report, err error) {
		for _, p := range w.pools {
			r, err := call[Report](p, "Use", false)
			if err != nil {
				return nil, err
			}
			rs = append(rs, r)
		}
		return rs, nil
	}
	if ps1, err = use(); err != nil {
		return err
	}
	settle(ctx, time.Duration(w.o.seconds)*time.Second)
	c2, err := w.useControls(false)
	if err != nil {
		return err
	}
	known2, err := call[scale.Known](w.cs[0], "Known", w.shape)
	if err != nil {
		return err
	}
	h2, err := call[Report](w.h, "Use", false)
	if err != nil {
		return err
	}
	if ps2, err = use(); err != nil {
		return err
	}
	w.rates("control", c1, c2, 1)
	w.rates("hollow node", []Report{h1}, []Report{h2}, w.hollow())
	w.rates("real node", ps1, ps2, 1)
	if d := known2.Steps - known1.Steps; d > 0 {
		w.set("control: steps/s", float64(d)/float64(w.o.seconds))
		w.set("control: ms a step", float64(known2.StepNs-known1.StepNs)/float64(d)/1e6)
	}
	w.set("control: events/s that found the line full", float64(known2.Missed-known1.Missed)/float64(w.o.seconds))
	m, err := call[scale.Moments](w.h, "Ready", 0)
	if err != nil {
		return err
	}
	w.set("steady: share of nodes that became ready", float64(m.Count)/w.hollow())
	return w.state(ctx)
}

// rates sets the means of what processes used between two reports.
func (w *world) rates(who string, a, b []Report, nodes float64) {
	sum := map[string]float64{}
	for i := range a {
		x, y := a[i], b[i]
		per := 1e6 / float64(y.AtUs-x.AtUs) / nodes / float64(len(a))
		sum["CPU, % of a core"] += float64(y.CPUUs-x.CPUUs) / 1e6 * 100 * per
		sum["read, KB/s"] += float64(y.ReadBytes-x.ReadBytes) / 1e3 * per
		sum["written, KB/s"] += float64(y.WroteBytes-x.WroteBytes) / 1e3 * per
		sum["reads and writes/s"] += float64(y.ReadCalls-x.ReadCalls+y.Writes-x.Writes) * per
		for _, d := range []struct {
			way  string
			m, o map[string]scale.Flow
		}{{"in", y.In, x.In}, {"out", y.Out, x.Out}} {
			if d.m == nil {
				continue
			}
			fs := scale.Since(d.m, d.o)
			all := scale.Sum(fs)
			sum["envelopes/s "+d.way] += float64(all.Envelopes) * per
			sum["envelopes, KB/s "+d.way] += float64(all.Bytes) / 1e3 * per
			for k, f := range fs {
				if f.Envelopes > 0 {
					sum["envelopes, KB/s "+d.way+", "+k] += float64(f.Bytes) / 1e3 * per
				}
			}
		}
	}
	for k, v := range sum {
		w.set(who+": "+k, v)
	}
}

// state sets what processes hold.
func (w *world) state(context.Context) error {
	cs, err := w.useControls(true)
	if err != nil {
		return err
	}
	h, err := call[Report](w.h, "Use", true)
	if err != nil {
		return err
	}
	var heap, resident, disk float64
	for i, c := range cs {
		heap += float64(c.HeapBytes+c.StackBytes) / 1e6 / float64(w.k)
		resident += float64(c.ResidentBytes) / 1e6 / float64(w.k)
		filepath.WalkDir(w.folder(i), func(_ string, d fs.DirEntry, err error) error {
			if err == nil && !d.IsDir() {
				if f, err := d.Info(); err == nil {
					disk += float64(f.Size()) / 1e6 / float64(w.k)
				}
			}
			return nil
		})
	}
	w.set("control: heap and stacks, MB", heap)
	w.set("control: resident, MB", resident)
	w.set("control: disk, MB", disk)
	w.set("hollow node: heap and stacks, MB", float64(h.HeapBytes+h.StackBytes)/1e6/w.hollow())
	heap, resident = 0, 0
	for _, p := range w.pools {
		r, err := call[Report](p, "Use", true)
		if err != nil {
			return err
		}
		heap += float64(r.HeapBytes+r.StackBytes) / 1e6 / float64(len(w.pools))
		resident += float64(r.ResidentBytes) / 1e6 / float64(len(w.pools))
	}
	if len(w.pools) > 0 {
		w.set("real node: heap and stacks, MB", heap)
		w.set("real node: resident, MB", resident)
	}
	return nil
}

func settle(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// change changes one route at a time, at each control process in turn.
func (w *world) change(ctx context.Context) error {
	var last, half, agree, whole, kb []float64
	for i := range w.o.changes {
		r := scale.Route(i%w.shape.Groups, 0, ports.Current)
		r.ExpiryUs += int64(i+1) * 1000
		before, err := call[Report](w.h, "Use", false)
		if err != nil {
			return err
		}
		c := ports.TableChange{Base: w.rev, Revision: w.rev + 1, Name: fmt.Sprint("change ", w.rev), Routes: []ports.Route{r}}
		began := scale.NowUs()
		res, err := call[ports.ChangeResult](w.cs[i%w.k], "Change", c)
		acked := scale.NowUs()
		if err != nil || res.Outcome != ports.Agreed {
			w.miss(fmt.Sprintf("change %d: %v %v", i, res, err))
			continue
		}
		w.rev++
		var m scale.Moments
		if !wait(ctx, changeWait, func() bool {
			m, err = call[scale.Moments](w.h, "InForce", w.rev)
			return err == nil && m.Count == int(w.hollow())
		}) {
			w.miss(fmt.Sprintf("change %d: in force on %d", i, m.Count))
			continue
		}
		after, err := call[Report](w.h, "Use", false)
		if err != nil {
			return err
		}
		agree = append(agree, float64(acked-began)/1e3)
		last = append(last, float64(m.Last-acked)/1e3)
		whole = append(whole, float64(m.Last-began)/1e3)
		half = append(half, float64(m.Median-acked)/1e3)
		kb = append(kb, float64(scale.Since(after.In, before.In)["news"].Bytes)/1e3/w.hollow())
		settle(ctx, 300*time.Millisecond)
	}
	if len(last) > 0 {
		w.set("change of the table: ms from call to acknowledgement, median", scale.Median(agree))
		w.set("change of the table: ms from there until in force on half", scale.Median(half))
		w.set("change of the table: ms until in force on all, median", scale.Median(last))
		w.set("change of the table: ms until in force on all, greatest", slices.Max(last))
		w.set("change of the table: ms from call until in force on all, greatest", slices.Max(whole))
		w.set("change of the table: KB in a node", scale.Median(kb))
	}
	return nil
}

// switchPrimary has primaries leave, one after the other.
func (w *world) switchPrimary(ctx context.Context) error {
	var seal, spread, open, total, envelopes []float64
	for i := range min(w.o.switches, w.shape.Groups) {
		g := scale.GroupName(i * w.shape.Groups / w.o.switches)
		old, term, _ := w.dbs.Primary(g)
		if _, err := call[int](w.h, "Watch", WatchArgs{g, term}); err != nil {
			return err
		}
		before, err := call[Report](w.h, "Use", false)
		if err != nil {
			return err
		}
		w.dbs.SetLeaving(old, true)
		began := scale.NowUs()
		if _, err := call[int](w.cs[i%w.k], "Announce", []ports.Instance{w.dbs.Announcement(old)}); err != nil {
			return err
		}
		var m scale.Moments
		done := wait(ctx, switchWait, func() bool {
			m, err = call[scale.Moments](w.h, "Opened", 0)
			return err == nil && m.Count == int(w.hollow())
		})
		w.dbs.SetLeaving(old, false)
		if !done {
			w.miss(fmt.Sprintf("change of primary %d: known on %d", i, m.Count))
			continue
		}
		s, err := call[scale.Moments](w.h, "Sealed", 0)
		if err != nil {
			return err
		}
		after, err := call[Report](w.h, "Use", false)
		if err != nil {
			return err
		}
		in, out := scale.Sum(scale.Since(after.In, before.In)), scale.Sum(scale.Since(after.Out, before.Out))
		_, _, promoted := w.dbs.Primary(g)
		seal = append(seal, float64(s.First-began)/1e3)
		spread = append(spread, float64(s.Last-s.First)/1e3)
		open = append(open, float64(m.Last-promoted)/1e3)
		total = append(total, float64(m.Last-began)/1e3)
		secs := float64(after.AtUs-before.AtUs) / 1e6
		steady := w.s.Figures["hollow node: envelopes/s in"] + w.s.Figures["hollow node: envelopes/s out"]
		envelopes = append(envelopes, float64(in.Envelopes+out.Envelopes)/w.hollow()-steady*secs)
		settle(ctx, 500*time.Millisecond)
	}
	if len(total) > 0 {
		w.set("change of primary: ms from its word until a node knows of the sealing", scale.Median(seal))
		w.set("change of primary: ms from the first node to all knowing of the sealing", scale.Median(spread))
		w.set("change of primary: ms from promotion until open on all", scale.Median(open))
		w.set("change of primary: ms from its word until open on all", scale.Median(total))
		w.set("change of primary: envelopes a node beyond the steady state", scale.Median(envelopes))
	}
	return nil
}

// restartNodes ends all hollow nodes and starts them at once.
func (w *world) restartNodes(ctx context.Context) error {
	if _, err := call[int](w.h, "Stop", 0); err != nil {
		return err
	}
	return w.startNodes(ctx, "restart of all nodes")
}

// restartControl kills a control process and starts it on its disk.
func (w *world) restartControl(ctx context.Context) error {
	settle(ctx, time.Second)
	i := w.k - 1
	w.control(i).kill()
	began := scale.NowUs()
	c, err := start(ctx, "control", i, 0, w.k, w.folder(i), w.addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.cs[i] = c
	w.mu.Unlock()
	if !wait(ctx, herdWait, func() bool {
		_, err := call[uint64](c, "Fetch", 0)
		return err == nil
	}) {
		w.miss("a control process' restart")
		return nil
	}
	w.set("restart of a control process: s until it reads through a majority", float64(scale.NowUs()-began)/1e6)
	var m scale.Moments
	if !wait(ctx, herdWait, func() bool {
		m, err = call[scale.Moments](w.h, "Heard", HeardArgs{i, began})
		return err == nil && m.Count == int(w.hollow())
	}) {
		w.miss(fmt.Sprintf("a control process' restart: heard by %d", m.Count))
		return nil
	}
	if s := float64(m.Last-began) / 1e6; !math.IsNaN(s) {
		w.set("restart of a control process: s until all nodes heard it", s)
	}
	return nil
}
