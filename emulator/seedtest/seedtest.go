// Package seedtest supports tests that run a simulation with many seeds: it has the flags
// that select the seeds, runs them in parallel, and prints the log of a run on request. It
// registers flags, so only test files may import it.
package seedtest

import (
	"flag"
	"strings"
	"sync"
	"testing"
)

var (
	count   = flag.Uint64("seeds", 0, "number of seeds to run (default: as many as CI runs)")
	first   = flag.Uint64("from", 0, "first seed to run")
	printed = flag.Bool("tell", false, "print the log of each seed's run")
)

// Count returns the number of seeds to run: the value of the flag -seeds if it is set,
// byDefault otherwise.
func Count(byDefault uint64) uint64 {
	if *count > 0 {
		return *count
	}
	return byDefault
}

// First returns the first seed to run, the value of the flag -from.
func First() uint64 { return *first }

// Run calls run for the n seeds from first on, on the given number of goroutines, and waits
// until all calls have returned. Seeds run concurrently: run must synchronize access to
// data that its calls share.
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

// PrintLog prints the log of a seed's run if its flag is set.
func PrintLog(t testing.TB, seed uint64, log []string) {
	t.Helper()
	if *printed {
		t.Logf("seed %d:\n%s", seed, strings.Join(log, "\n"))
	}
}
