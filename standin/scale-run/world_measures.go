package main

import (
	"context"
	"fmt"
	"io/fs"
	"math"
	"path/filepath"
	"slices"
	"time"

	"stoneford/ports"
	"stoneford/standin/scale-run/scale"
)

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
