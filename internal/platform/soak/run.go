package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"stoneford/internal/fleetstate"
	"stoneford/internal/invariant"
)

// report is the result of one seed.
type report struct {
	Seed       uint64   `json:"Seed"`
	Seconds    float64  `json:"Seconds"`
	Counts     counts   `json:"Counts"`
	Violations []string `json:"Violations"`
	Folder     string   `json:"Folder,omitempty"` // of the logs, if they are kept
}

const (
	// convergenceTimeout limits how long the fleet may take to reach a required state after
	// the last fault. It is far longer than that takes on an idle machine, since other work
	// may load the machine.
	convergenceTimeout = 90 * time.Second
	// pollInterval is the time between two checks of a condition in waitUntil.
	pollInterval = 100 * time.Millisecond
)

// soakRun is the run of one seed with its fleet.
type soakRun struct {
	*fleet
	history        *history
	operators      *operators
	services       []*service
	reportedChecks map[string]bool // violated checks of processes that are already in the history
}

// run runs one seed, and returns its report. It deletes the logs if there is no violation,
// unless they are to be kept.
func run(ctx context.Context, options options) report {
	startedAt := time.Now()
	s := &soakRun{history: newHistory(), reportedChecks: map[string]bool{}}
	err := s.execute(ctx, options)
	if err != nil {
		s.history.violations = append(s.history.violations, err.Error())
	}
	r := report{Seed: options.seed, Seconds: time.Since(startedAt).Round(time.Millisecond).Seconds(), Counts: s.history.counts, Violations: s.history.violations}
	switch {
	case s.fleet == nil:
	case len(r.Violations) > 0 || options.keep:
		r.Folder = s.folder
	default:
		_ = os.RemoveAll(s.folder)
	}
	return r
}

// execute starts a fleet, injects faults, removes them, and checks that the final state agrees
// with the acknowledged changes.
func (s *soakRun) execute(ctx context.Context, options options) (err error) {
	if s.fleet, err = newFleet(options); s.fleet != nil {
		defer s.close()
	}
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	defer all.Wait()
	defer stop()
	if err := s.startFleet(ctx, &all); err != nil {
		return err
	}
	s.applyLoad(ctx, time.Duration(options.seconds)*time.Second)
	if err := s.removeFaults(); err != nil {
		return err
	}
	return s.checkFinalState(ctx)
}

// startFleet starts the databases and processes, sends the first table, and waits until it is
// in force.
func (s *soakRun) startFleet(ctx context.Context, all *sync.WaitGroup) error {
	s.operators = newOperators(s.fleet, s.history)
	for i := range serviceCount {
		if err := s.startService(ctx, i, all); err != nil {
			return err
		}
	}
	for _, p := range s.processes() {
		p.ended = func(description string) { s.history.recordViolation("%s", description) }
	}
	if err := s.startAll(); err != nil {
		return err
	}
	first := s.operators.initialTable()
	s.history.recordSent(first.version)
	all.Go(func() { s.watchChecks(ctx) })
	if s.operators.send(ctx, first, s.operators.rand) != 200 {
		return fmt.Errorf("the first table was not acknowledged")
	}
	s.operators.newestAcked = first.version
	if err := s.setBootstrapped(); err != nil {
		return err
	}
	return s.waitUntil(ctx, "the first table is in force everywhere", s.findOutdated)
}

// startService starts the databases of the service with an index: a primary and replicas that
// lag.
func (s *soakRun) startService(ctx context.Context, index int, all *sync.WaitGroup) error {
	data := newService(serviceName(index))
	s.services = append(s.services, data)
	for i := range databasesPerService {
		n := index*databasesPerService + i
		d := &database{id: databaseName(index, i), service: data, primary: i == 0, address: address(s.machines[0].ip, 8100+n)}
		if err := d.serve(ctx); err != nil {
			return err
		}
		all.Go(func() { d.sendHeartbeats(ctx, s.fleet) })
		random := rand.New(rand.NewPCG(s.options.seed, 0x6c61+uint64(n)))
		all.Go(func() { d.varyLag(ctx, random) })
	}
	return nil
}

// applyLoad runs operators, probe and session clients and faults for a time, and then removes the faults.
func (s *soakRun) applyLoad(ctx context.Context, duration time.Duration) {
	ctx, stop := context.WithTimeout(ctx, duration)
	defer stop()
	loadCtx, stopLoad := context.WithCancel(context.WithoutCancel(ctx))
	var background, changes sync.WaitGroup
	for i, m := range s.machines {
		c := newProbeClient(s.fleet, s.history, m, i)
		background.Go(func() { c.run(loadCtx) })
		session := newSessionClient(s.fleet, s.history, m, i)
		background.Go(func() { session.run(loadCtx) })
	}
	background.Go(func() { s.operators.readPeriodically(loadCtx) })
	for i, service := range s.services {
		background.Go(func() { newReplacement(s.fleet, s.history, service, i).run(loadCtx) })
	}
	changes.Go(func() {
		for ctx.Err() == nil {
			// A change in progress continues, after the time is over, until its final reply.
			s.operators.change(loadCtx)
			time.Sleep(time.Duration(s.operators.rand.IntN(300)) * time.Millisecond)
		}
	})
	newFaultInjector(s.fleet, s.history).run(ctx)
	if err := s.removeFaults(); err != nil {
		s.history.mu.Lock()
		s.history.addViolation("%v", err)
		s.history.mu.Unlock()
	}
	waitWithTimeout(&changes, convergenceTimeout, stopLoad)
	stopLoad()
	changes.Wait()
	background.Wait()
}

// waitWithTimeout waits for a group, and calls onTimeout if that takes longer than the timeout.
func waitWithTimeout(group *sync.WaitGroup, timeout time.Duration, onTimeout func()) {
	done := make(chan struct{})
	go func() { group.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(timeout):
		onTimeout()
	}
}

// checkFinalState checks that, without faults, every process uses the newest table and every
// control process returns it.
func (s *soakRun) checkFinalState(ctx context.Context) error {
	if err := s.waitUntil(ctx, "the newest table is in force everywhere", s.findOutdated); err != nil {
		return err
	}
	for _, m := range s.controls() {
		if err := s.waitUntil(ctx, m.name+" returns the newest table", func(ctx context.Context) string {
			if s.operators.read(ctx, m) {
				return ""
			}
			return "the read failed"
		}); err != nil {
			return err
		}
	}
	return nil
}

// waitUntil waits until a condition is met. Check describes what is missing, or returns "" if
// the condition is met.
func (s *soakRun) waitUntil(ctx context.Context, condition string, check func(context.Context) string) error {
	missing := ""
	for end := time.Now().Add(convergenceTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(pollInterval) {
		if missing = check(ctx); missing == "" {
			return nil
		}
	}
	return fmt.Errorf("condition not met in time: %s: %s", condition, missing)
}

// findOutdated describes the first process found that does not answer, has no lease, or uses a
// table that is older than the newest acknowledged one. It returns "" if there is none.
func (s *soakRun) findOutdated(ctx context.Context) string {
	s.history.mu.Lock()
	newest := s.history.newestAcknowledged(time.Now())
	s.history.mu.Unlock()
	for _, r := range fleetstate.FetchAll(ctx, s.stateAddresses(), false) {
		switch {
		case r.Err != nil:
			return r.Err.Error()
		case r.State.Table.OperatorRevision < newest.revision || r.State.LeaseLeftUs <= 0:
			return fmt.Sprintf("%s %s uses revision %d, the newest acknowledged is %d, lease left %d us", r.State.Kind, r.State.Name, r.State.Table.OperatorRevision, newest.revision, r.State.LeaseLeftUs)
		}
	}
	return ""
}

// stateAddresses returns the addresses at which all processes serve their state.
func (s *soakRun) stateAddresses() []string {
	var out []string
	for _, m := range s.machines {
		out = append(out, address(m.ip, poolStatePort))
		if m.control != nil {
			out = append(out, address(m.ip, controlStatePort))
		}
	}
	return out
}

// watchChecks collects the violations of the processes' own checks until the context is
// cancelled.
func (s *soakRun) watchChecks(ctx context.Context) {
	for ctx.Err() == nil {
		for _, r := range fleetstate.FetchAll(ctx, s.stateAddresses(), false) {
			if r.Err == nil {
				s.recordChecks(r.State)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// recordChecks adds each violated check of a process to the history once.
func (s *soakRun) recordChecks(state fleetstate.ProcessState) {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	for _, rule := range invariant.ViolatedRules(state.Violations) {
		if k := state.Kind + " " + state.Name + " " + rule; !s.reportedChecks[k] {
			s.reportedChecks[k] = true
			s.history.addViolation("%s: invariant violated %d times", k, state.Violations[rule])
		}
	}
	slices.Sort(s.history.violations)
}
