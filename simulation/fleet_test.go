package simulation_test

import (
	"flag"
	"strings"
	"sync"
	"testing"

	"stoneford/simulation"
	"stoneford/standin/checker"
)

var (
	seeds = flag.Uint64("seeds", 0, "how many seeds of the whole fleet to run (default: CI's)")
	from  = flag.Uint64("from", 0, "first seed")
	tell  = flag.Bool("tell", false, "print what happened in each seed")
)

func plan(seed uint64) simulation.Plan {
	return simulation.Plan{Seed: seed, Machines: 4, Groups: []string{"inventory-1", "inventory-2"}, Zones: []string{"cluj", "iasi", "brasov"}, Connections: 20,
		Sessions: 16, ThinkUs: 120_000, ServiceUs: 1_000, Servers: 8, LagUs: 5_000}
}

// faulty runs one seed under random faults.
func faulty(p simulation.Plan) (*simulation.Fleet, checker.Verdict) {
	f := simulation.NewFleet(p)
	f.PutSettings(nil)
	f.Run(3_000_000)
	f.Callers()
	f.RandomFaults(f.Now+30_000_000, 1_500_000)
	f.Run(f.Now + 30_000_000)
	return f, f.Finish()
}

// each runs seeds on a few threads; every seed is its own world.
func each(n, first uint64, do func(seed uint64)) {
	var wg sync.WaitGroup
	ch := make(chan uint64)
	for range 8 {
		wg.Go(func() {
			for s := range ch {
				do(s)
			}
		})
	}
	for s := first; s < first+n; s++ {
		ch <- s
	}
	close(ch)
	wg.Wait()
}

// TestFleetUnderFaults: nothing that must never happen happens, whatever
// faults the seeds bring about within what has to be borne.
func TestFleetUnderFaults(t *testing.T) {
	n := uint64(48)
	if *seeds > 0 {
		n = *seeds
	}
	var mu sync.Mutex
	acked, served, all, unsure := 0, 0.0, 0, 0
	each(n, *from, func(seed uint64) {
		f, v := faulty(plan(seed))
		mu.Lock()
		defer mu.Unlock()
		acked, unsure, all = acked+v.Acked, unsure+v.Unsure, all+len(f.Truth.Samples)
		served += simulation.Served(f.Truth.Samples) / float64(n)
		if len(v.Violations) > 0 {
			t.Errorf("seed %d: %d violations:\n%s", seed, len(v.Violations), strings.Join(v.Violations[:min(5, len(v.Violations))], "\n"))
		}
		if *tell {
			t.Logf("seed %d:\n%s", seed, strings.Join(f.Says, "\n"))
		}
	})
	t.Logf("%d seeds: %d queries, %.4f served on average, %d writes acknowledged, %d uncertain", n, all, served, acked, unsure)
	if acked < int(n)*500 {
		t.Errorf("only %d writes were acknowledged: the runs show little", acked)
	}
}
