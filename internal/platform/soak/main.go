// Command soak runs stoneford-pool and stoneford-control as real processes with the platform's
// settings. While operators change the routing table, it injects overlapping faults: processes
// are killed, one or all at once, or stopped, links are partitioned, and replies are lost.
// Meanwhile replicas drain or deregister, serve on, and are replaced. It checks that replies to
// callers and operators agree with the acknowledged changes, that no statement reaches a
// database too late after its departure was acknowledged, and that the processes' own
// invariant checks report no violation.
//
// The seed determines the random choice of faults and changes. The processes run in real time,
// so two runs with the same seed differ. The command prints a report of each seed as a line of
// JSON, and fails if there is a violation.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// options holds the flags, and the values derived from them for one fleet.
type options struct {
	programFolder string // folder that contains the two programs
	controls      int
	pools         int
	seed          uint64
	seconds       int
	addressBlock  int // second byte of the fleet's addresses, 127.BLOCK.1.x
	keep          bool
	verbose       bool
	// lateHeartbeats has heartbeats arrive after a deregistration that was sent later.
	lateHeartbeats bool
}

func main() {
	options := options{lateHeartbeats: true}
	seeds, fleets := 1, 1
	flag.IntVar(&options.controls, "controls", 6, "number of machines with a control process and a pool node")
	flag.IntVar(&options.pools, "pools", 4, "number of machines with only a pool node")
	flag.Uint64Var(&options.seed, "from", 1, "first seed")
	flag.IntVar(&seeds, "seeds", 1, "number of seeds")
	flag.IntVar(&fleets, "at-once", 1, "number of fleets that run concurrently, at most 8")
	flag.IntVar(&options.seconds, "seconds", 20, "seconds during which faults are injected, for each seed")
	flag.BoolVar(&options.keep, "keep", false, "keep the logs of fleets without violations too")
	flag.BoolVar(&options.verbose, "tell", false, "print each fault")
	flag.Parse()
	if err := soak(options, seeds, min(max(fleets, 1), 8)); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// soak runs the seeds, and prints a report of each as a line of JSON. It returns an error if
// there is a violation.
func soak(options options, seeds, fleets int) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	folder, err := os.MkdirTemp("", "soak-programs")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	if err := buildPrograms(ctx, folder); err != nil {
		return err
	}
	options.programFolder = folder
	reports := make(chan report)
	seedQueue := make(chan uint64)
	var workers sync.WaitGroup
	for worker := range fleets {
		workers.Go(func() {
			for seed := range seedQueue {
				seedOptions := options
				seedOptions.seed, seedOptions.addressBlock = seed, 40+worker
				reports <- run(ctx, seedOptions)
			}
		})
	}
	go func() {
		for i := range seeds {
			seedQueue <- options.seed + uint64(i)
		}
		close(seedQueue)
		workers.Wait()
		close(reports)
	}()
	failed := 0
	for r := range reports {
		line, err := json.Marshal(r)
		if err != nil {
			return err
		}
		fmt.Println(string(line))
		if len(r.Violations) > 0 {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds had violations", failed, seeds)
	}
	return nil
}

// buildPrograms builds the two programs into a folder.
func buildPrograms(ctx context.Context, folder string) error {
	ctx, stop := context.WithTimeout(ctx, 5*time.Minute)
	defer stop()
	cmd := exec.CommandContext(ctx, "go", "build", "-o", folder+string(filepath.Separator), "stoneford/cmd/stoneford-pool", "stoneford/cmd/stoneford-control")
	cmd.Stderr = os.Stderr
	return cmd.Run()
}
