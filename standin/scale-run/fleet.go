package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

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
	Nodes    int                `json:"Nodes"`
	Controls int                `json:"Controls"`
	Repeat   int                `json:"Repeat"`
	At       string             `json:"At"`
	Figures  map[string]float64 `json:"Figures"`
	Missing  []string           `json:"Missing"`
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
