// Package seedtest is the scaffolding of tests that run a simulation from many
// seeds: the flags that choose seeds, parallel runs of them, and the report of one
// run. Only test files import it, since it registers flags.
package seedtest

import (
	"flag"
	"strings"
	"sync"
	"testing"
)

var (
	count   = flag.Uint64("seeds", 0, "how many seeds of the whole fleet to run (default: CI's)")
	first   = flag.Uint64("from", 0, "first seed")
	printed = flag.Bool("tell", false, "print what happened in each seed")
)

// Count is the number of seeds to run: that of the flag -seeds, or the given one.
func Count(byDefault uint64) uint64 {
	if *count > 0 {
		return *count
	}
	return byDefault
}

// First is the first seed to run, by the flag -from.
func First() uint64 { return *first }

// Run runs seeds on a few goroutines and waits for all. Each seed is a simulation
// of its own; what the runs share is the caller's to guard.
func Run(workers int, n, first uint64, run func(seed uint64)) {
	var wg sync.WaitGroup
	seeds := make(chan uint64)
	for range workers {
		wg.Go(func() {
			for seed := range seeds {
				run(seed)
			}
		})
	}
	for seed := first; seed < first+n; seed++ {
		seeds <- seed
	}
	close(seeds)
	wg.Wait()
}

// PrintLog prints a run's log if its flag is set.
func PrintLog(t testing.TB, seed uint64, log []string) {
	t.Helper()
	if *printed {
		t.Logf("seed %d:\n%s", seed, strings.Join(log, "\n"))
	}
}
