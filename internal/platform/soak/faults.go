package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"stoneford/emulator/link"
)

// maxFaults is the maximum number of concurrent faults.
const maxFaults = 3

// fault is a kind of fault. The inject function injects one, and returns a function that
// removes it.
type fault struct {
	name   string
	inject func(inj *faultInjector) (remove func())
}

// faultInjector injects faults at random.
type faultInjector struct {
	fleet   *fleet
	history *history
	rand    *rand.Rand
}

func newFaultInjector(f *fleet, h *history) *faultInjector {
	return &faultInjector{fleet: f, history: h, rand: rand.New(rand.NewPCG(f.options.seed, 0x7472))}
}

// randomDuration returns a random duration from lo to hi.
func (inj *faultInjector) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(inj.rand.Int64N(int64(hi-lo)+1))
}

// randomControl returns a random machine with a control process.
func (inj *faultInjector) randomControl() *machine {
	return inj.fleet.controls()[inj.rand.IntN(inj.fleet.options.controls)]
}

// randomMachine returns a random machine.
func (inj *faultInjector) randomMachine() *machine {
	return inj.fleet.machines[inj.rand.IntN(len(inj.fleet.machines))]
}

const (
	// maxSignalsInShutdown is the number of signals that a process gets at most after SIGTERM.
	maxSignalsInShutdown = 4
	// maxTerminated is the number of pool nodes that are ended one shortly after the other.
	maxTerminated = 3
	// terminationTimeout limits the time in which a process has to end after SIGTERM. It is
	// longer than Bounds.GraceS, since the process may be stopped by SIGSTOP meanwhile.
	terminationTimeout = 20 * time.Second
)

// shutdownSignals are sent to processes that shut down.
var shutdownSignals = []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}

// terminate sends SIGTERM to a process, and then random signals to a process that may be
// shutting down. The returned function waits for its end, and starts it
// again.
func (inj *faultInjector) terminate(p *process) (remove func()) {
	incarnation, _ := p.currentIncarnation()
	p.signal(syscall.SIGTERM)
	for range inj.rand.IntN(maxSignalsInShutdown + 1) {
		time.Sleep(inj.randomDuration(0, 150*time.Millisecond))
		p.signal(shutdownSignals[inj.rand.IntN(len(shutdownSignals))])
	}
	return func() {
		for end := time.Now().Add(terminationTimeout); ; time.Sleep(20 * time.Millisecond) {
			current, running := p.currentIncarnation()
			switch {
			case current != incarnation:
				return // another fault has killed and restarted it
			case !running:
				inj.restart(p)
				return
			case time.Now().After(end):
				inj.history.recordViolation("%s still runs %v after SIGTERM", p.programPath, terminationTimeout)
				p.kill()
				inj.restart(p)
				return
			}
		}
	}
}

// runAll calls functions concurrently, and waits until all have returned.
func runAll(functions []func()) {
	var all sync.WaitGroup
	for _, function := range functions {
		all.Go(function)
	}
	all.Wait()
}

// randomMachines returns n different random machines, or all if there are fewer.
func (inj *faultInjector) randomMachines(n int) []*machine {
	all := slices.Clone(inj.fleet.machines)
	inj.rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// restart starts a killed process, and records a violation if it does not start.
func (inj *faultInjector) restart(p *process) {
	if err := p.start(); err != nil {
		inj.history.recordViolation("%s did not start after it was killed: %v", p.programPath, err)
	}
}

// randomControls returns n different random machines with a control process.
func (inj *faultInjector) randomControls(n int) []*machine {
	all := slices.Clone(inj.fleet.controls())
	inj.rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:n]
}

// partition breaks the links between the isolated machines and the remaining machines among
// others. From and to select the directions relative to the isolated machines.
func (inj *faultInjector) partition(isolated, others []*machine, from, to bool) (remove func()) {
	set := func(broken bool) {
		for _, a := range isolated {
			for _, b := range others {
				if slices.Contains(isolated, b) {
					continue
				}
				if from {
					inj.fleet.partition(a, b, broken)
				}
				if to {
					inj.fleet.partition(b, a, broken)
				}
			}
		}
	}
	set(true)
	return func() { set(false) }
}

// allFaults lists the faults from which the injector chooses.
var allFaults = []fault{
	{"a control process is killed", func(inj *faultInjector) func() {
		p := inj.randomControl().control
		p.kill()
		return func() { inj.restart(p) }
	}},
	{"a pool node is killed", func(inj *faultInjector) func() {
		p := inj.randomMachine().pool
		p.kill()
		return func() { inj.restart(p) }
	}},
	{"half of the pool nodes are killed at once", func(inj *faultInjector) func() {
		var killed []*process
		for _, m := range inj.fleet.machines {
			if inj.rand.IntN(2) == 0 {
				m.pool.kill()
				killed = append(killed, m.pool)
			}
		}
		return func() {
			for _, p := range killed {
				inj.restart(p)
			}
		}
	}},
	{"all processes are killed at once", func(inj *faultInjector) func() {
		all := inj.fleet.processes()
		for _, p := range all {
			p.kill()
		}
		return func() {
			for _, p := range all {
				inj.restart(p)
			}
		}
	}},
	{"a control process is stopped by SIGSTOP", func(inj *faultInjector) func() {
		p := inj.randomControl().control
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}},
	{"a pool node is stopped by SIGSTOP", func(inj *faultInjector) func() {
		p := inj.randomMachine().pool
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}},
	{"pool nodes are ended by SIGTERM, one shortly after the other", func(inj *faultInjector) func() {
		var removals []func()
		for _, m := range inj.randomMachines(maxTerminated) {
			removals = append(removals, inj.terminate(m.pool))
			time.Sleep(inj.randomDuration(0, 300*time.Millisecond))
		}
		return func() { runAll(removals) }
	}},
	{"a control process is ended by SIGTERM", func(inj *faultInjector) func() { return inj.terminate(inj.randomControl().control) }},
	{"both processes of a machine are ended by SIGTERM", func(inj *faultInjector) func() {
		m := inj.randomControl()
		removals := []func(){inj.terminate(m.pool), inj.terminate(m.control)}
		return func() { runAll(removals) }
	}},
	{"all processes are told several times to read their settings", func(inj *faultInjector) func() {
		for range 3 {
			for _, p := range inj.fleet.processes() {
				p.signal(syscall.SIGHUP)
			}
			time.Sleep(inj.randomDuration(0, 200*time.Millisecond))
		}
		return func() {}
	}},
	{"a machine is partitioned from all others, in one direction or both", func(inj *faultInjector) func() {
		direction := inj.rand.IntN(3)
		return inj.partition([]*machine{inj.randomMachine()}, inj.fleet.machines, direction != 1, direction != 2)
	}},
	{"two machines with control processes are partitioned from all others", func(inj *faultInjector) func() {
		return inj.partition(inj.randomControls(2), inj.fleet.machines, true, true)
	}},
	{"the control processes are partitioned into halves", func(inj *faultInjector) func() {
		return inj.partition(inj.randomControls(inj.fleet.options.controls/2), inj.fleet.controls(), true, true)
	}},
	{"connections are reset", func(inj *faultInjector) func() {
		for _, m := range inj.fleet.machines {
			if inj.rand.IntN(2) == 0 {
				for _, r := range m.relays {
					r.Reset()
				}
			}
		}
		return func() {}
	}},
	{"links to a machine are slow, as with packet loss", func(inj *faultInjector) func() {
		m := inj.randomControl()
		for _, r := range m.relays {
			r.SetLoss(0.3)
		}
		return func() {
			for _, r := range m.relays {
				r.SetLoss(0)
			}
		}
	}},
	{"replies to operators are lost", func(inj *faultInjector) func() {
		controls := inj.randomControls(inj.fleet.options.controls / 2)
		set := func(broken bool) {
			for _, m := range controls {
				m.operatorRelay.SetPartition(link.Direction{Response: true}, broken)
			}
		}
		set(true)
		return func() { set(false) }
	}},
}

// run injects faults until the context is cancelled, and then removes all of them.
func (inj *faultInjector) run(ctx context.Context) {
	var background sync.WaitGroup
	defer background.Wait()
	slots := make(chan struct{}, maxFaults)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(inj.randomDuration(100*time.Millisecond, 900*time.Millisecond)):
		}
		select {
		case <-ctx.Done():
			return
		case slots <- struct{}{}:
		}
		fault, duration := allFaults[inj.rand.IntN(len(allFaults))], inj.randomDuration(200*time.Millisecond, 4*time.Second)
		if inj.fleet.options.verbose {
			fmt.Fprintf(os.Stderr, "%s seed %d: %s for %v\n", time.Now().UTC().Format("15:04:05.000"), inj.fleet.options.seed, fault.name, duration.Round(time.Millisecond))
		}
		inj.history.count(func(c *counts) { c.Faults++ })
		remove := fault.inject(inj)
		background.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(duration):
			}
			remove()
			<-slots
		})
	}
}
