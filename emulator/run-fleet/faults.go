package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"stoneford/emulator/fleet"
)

// injectedFault is a fault of the schedule and the result of its injection.
type injectedFault struct {
	fault     fleet.Fault
	target    string    // process that it acted on
	startedAt time.Time // start of the injection
	endedAt   time.Time // end of the injection
	err       error
}

// faultSchedule injects the faults of a run at their times.
type faultSchedule struct {
	running sync.WaitGroup
	faults  []injectedFault
}

// startFaults starts to inject faults, each at its time after now unless loadCtx ends first.
func startFaults(ctx, loadCtx context.Context, f *fleet.Fleet, faults []fleet.Fault) *faultSchedule {
	s := &faultSchedule{faults: make([]injectedFault, len(faults))}
	for i, ft := range faults {
		s.running.Go(func() { s.faults[i] = inject(ctx, loadCtx, f, ft) })
	}
	return s
}

// inject waits until a fault is due and injects it.
func inject(ctx, loadCtx context.Context, f *fleet.Fleet, ft fleet.Fault) injectedFault {
	t := time.NewTimer(ft.At)
	defer t.Stop()
	select {
	case <-loadCtx.Done():
		return injectedFault{err: fmt.Errorf("fault %s: not injected: the load ended before it was due", ft)}
	case <-t.C:
	}
	at := time.Now()
	target, err := f.Inject(ctx, ft)
	return injectedFault{fault: ft, target: target, startedAt: at, endedAt: time.Now(), err: err}
}

// wait waits for the injection of all faults, and returns their results and errors.
func (s *faultSchedule) wait() ([]injectedFault, error) {
	s.running.Wait()
	var err error
	for _, ft := range s.faults {
		err = errors.Join(err, ft.err)
	}
	return s.faults, err
}

// nodeWatch caches the list of ready pool nodes that the platform returns.
type nodeWatch struct {
	mu    sync.Mutex
	nodes []string
}

// nodeWatchInterval is the time between two readings of the ready nodes.
const nodeWatchInterval = 200 * time.Millisecond

// watchNodes reads the ready nodes from the platform at once, and again at an interval until
// the context ends.
func watchNodes(ctx context.Context, f *fleet.Fleet) *nodeWatch {
	w := &nodeWatch{}
	w.read(f)
	go func() {
		t := time.NewTicker(nodeWatchInterval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				w.read(f)
			}
		}
	}()
	return w
}

// read updates the list. It keeps the previous list if the platform returns no nodes.
func (w *nodeWatch) read(f *fleet.Fleet) {
	if nodes := f.ReadyNodes(); len(nodes) > 0 {
		w.mu.Lock()
		w.nodes = nodes
		w.mu.Unlock()
	}
}

func (w *nodeWatch) get() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes
}
