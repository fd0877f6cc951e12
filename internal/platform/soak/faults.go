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

// maxFaults is how many faults overlap at most.
const maxFaults = 3

// fault is one kind of fault. Inject injects it and returns what removes it.
type fault struct {
	name   string
	inject func(t *faultInjector) (end func())
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

func (t *faultInjector) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(t.rand.Int64N(int64(hi-lo)+1))
}

func (t *faultInjector) anyControl() *machine {
	return t.fleet.controls()[t.rand.IntN(t.fleet.options.controls)]
}

func (t *faultInjector) anyMachine() *machine {
	return t.fleet.machines[t.rand.IntN(len(t.fleet.machines))]
}

// restart starts a process that was killed.
func (t *faultInjector) restart(p *process) {
	if err := p.start(); err != nil {
		t.history.mu.Lock()
		t.history.violate("%s does not start: %v", p.path, err)
		t.history.mu.Unlock()
	}
}

// someControls draws so many machines with a control process.
func (t *faultInjector) someControls(n int) []*machine {
	all := slices.Clone(t.fleet.controls())
	t.rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:n]
}

// partition breaks the links between some machines and the rest of some others, in one
// direction or both.
func (t *faultInjector) partition(isolated, others []*machine, from, to bool) (end func()) {
	set := func(broken bool) {
		for _, a := range isolated {
			for _, b := range others {
				if slices.Contains(isolated, b) {
					continue
				}
				if from {
					t.fleet.partition(a, b, broken)
				}
				if to {
					t.fleet.partition(b, a, broken)
				}
			}
		}
	}
	set(true)
	return func() { set(false) }
}

// allFaults are the faults that are drawn from.
var allFaults = []fault{
	{"a control process is killed", func(t *faultInjector) func() {
		p := t.anyControl().control
		p.kill()
		return func() { t.restart(p) }
	}},
	{"a pool node is killed", func(t *faultInjector) func() {
		p := t.anyMachine().pool
		p.kill()
		return func() { t.restart(p) }
	}},
	{"half of the pool nodes are killed at once", func(t *faultInjector) func() {
		var killed []*process
		for _, m := range t.fleet.machines {
			if t.rand.IntN(2) == 0 {
				m.pool.kill()
				killed = append(killed, m.pool)
			}
		}
		return func() {
			for _, p := range killed {
				t.restart(p)
			}
		}
	}},
	{"a control process stands still", func(t *faultInjector) func() {
		p := t.anyControl().control
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}},
	{"a pool node stands still", func(t *faultInjector) func() {
		p := t.anyMachine().pool
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}},
	{"a machine is cut off", func(t *faultInjector) func() {
		direction := t.rand.IntN(3)
		return t.partition([]*machine{t.anyMachine()}, t.fleet.machines, direction != 1, direction != 2)
	}},
	{"two control machines are cut off", func(t *faultInjector) func() { return t.partition(t.someControls(2), t.fleet.machines, true, true) }},
	{"the core is cut into halves", func(t *faultInjector) func() {
		return t.partition(t.someControls(t.fleet.options.controls/2), t.fleet.controls(), true, true)
	}},
	{"connections are reset", func(t *faultInjector) func() {
		for _, m := range t.fleet.machines {
			if t.rand.IntN(2) == 0 {
				for _, r := range m.relays {
					r.Reset()
				}
			}
		}
		return func() {}
	}},
	{"links are slow", func(t *faultInjector) func() {
		m := t.anyControl()
		for _, r := range m.relays {
			r.SetLoss(0.3)
		}
		return func() {
			for _, r := range m.relays {
				r.SetLoss(0)
			}
		}
	}},
	{"answers to operators are lost", func(t *faultInjector) func() {
		some := t.someControls(t.fleet.options.controls / 2)
		set := func(broken bool) {
			for _, m := range some {
				m.operatorRelay.SetPartition(link.Direction{Response: true}, broken)
			}
		}
		set(true)
		return func() { set(false) }
	}},
}

// run injects faults until the context ends, and then removes every one.
func (t *faultInjector) run(ctx context.Context) {
	var background sync.WaitGroup
	defer background.Wait()
	slots := make(chan struct{}, maxFaults)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(t.between(100*time.Millisecond, 900*time.Millisecond)):
		}
		select {
		case <-ctx.Done():
			return
		case slots <- struct{}{}:
		}
		fault, last := allFaults[t.rand.IntN(len(allFaults))], t.between(200*time.Millisecond, 4*time.Second)
		if t.fleet.options.verbose {
			fmt.Fprintf(os.Stderr, "%s seed %d: %s for %v\n", time.Now().UTC().Format("15:04:05.000"), t.fleet.options.seed, fault.name, last.Round(time.Millisecond))
		}
		t.history.count(func(c *counts) { c.Faults++ })
		end := fault.inject(t)
		background.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(last):
			}
			end()
			<-slots
		})
	}
}
