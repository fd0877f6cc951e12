package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"stoneford/internal/ports"
	"stoneford/internal/sessionpool"
	"stoneford/internal/sessiontable"
)

// observeInterval is the time between two checks of a condition (see until).
const observeInterval = 5 * time.Millisecond

// frontend replaces a node's interface for callers. It passes on the handler of the callers'
// sessions, which the callers of this program call directly.
type frontend struct {
	handlers chan sessionpool.SessionHandler
}

func (f frontend) Serve(ctx context.Context, handler sessionpool.SessionHandler) error {
	f.handlers <- handler
	<-ctx.Done()
	return nil
}

// idleReadiness replaces a node's readiness interface. It serves nothing.
type idleReadiness struct{}

func (idleReadiness) Serve(ctx context.Context, _ func() bool) error { <-ctx.Done(); return nil }

// run starts the processes, runs the moves under load and returns the report.
func run(ctx context.Context, o options) (r report, err error) {
	r.Callers = o.Callers
	w := &siteMove{options: o, group: newDatabaseGroup(sites), acknowledged: map[string]bool{}, ended: make(chan error, 16)}
	folder, err := os.MkdirTemp("", "site-move")
	if err != nil {
		return r, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(folder)) }()
	ctx, stop := context.WithCancel(ctx)
	defer func() {
		stop()
		err = errors.Join(err, w.awaitEnd())
	}()
	if err := w.startProcesses(ctx, folder); err != nil {
		return r, err
	}
	w.startTask(func() error { w.announce(ctx); return nil })
	if err := w.configure(ctx); err != nil {
		return r, err
	}
	err = w.runMoves(ctx, &r)
	return r, err
}

// startTask runs a function on a goroutine. awaitEnd waits for its end.
func (w *siteMove) startTask(run func() error) {
	w.running++
	go func() { w.ended <- run() }()
}

// awaitEnd waits for the end of all tasks, whose context has ended, and then stops the
// control processes. It returns their errors.
func (w *siteMove) awaitEnd() (err error) {
	for range w.running {
		err = errors.Join(err, <-w.ended)
	}
	for _, c := range w.controls {
		c.stop()
		err = errors.Join(err, <-c.done)
	}
	return err
}

// machinesPerSite is the number of machines in each site: one with a control process and
// two with a pool node.
const machinesPerSite = 3

// startProcesses starts a control process and two pool nodes in each site.
func (w *siteMove) startProcesses(ctx context.Context, folder string) error {
	var ips []string
	for i := range sites {
		for j := range machinesPerSite {
			ips = append(ips, fmt.Sprintf("127.0.%d.%d", 10+i, 1+j))
		}
	}
	firstPort, err := freePorts(ips)
	if err != nil {
		return err
	}
	for i := range sites {
		c := &control{group: w.group, boot: processConfig(folder, ips, firstPort, i, 0, fmt.Sprintf("control-%d", i+1))}
		if err := c.start(); err != nil {
			return err
		}
		w.controls = append(w.controls, c)
		c.boot.Bootstrap = false
	}
	for n := range 2 * len(sites) {
		if err := w.startNode(ctx, processConfig(folder, ips, firstPort, n%3, 1+n/3, fmt.Sprintf("pool-%d", n+1))); err != nil {
			return err
		}
	}
	return nil
}

// processConfig returns the configuration of the process on machine j of site i.
func processConfig(folder string, ips []string, firstPort, i, j int, name string) ports.ProcessConfig {
	b := ports.ProcessConfig{Name: name, Zone: sites[i], IP: ips[i*machinesPerSite+j], PortFirst: firstPort, PortLast: firstPort + 3, Bootstrap: true, AnnouncementIntervalUs: 500_000,
		DataFolder: filepath.Join(folder, name)}
	for k := range sites {
		b.Seeds = append(b.Seeds, ips[k*machinesPerSite]+":1")
	}
	b.Bounds.GraceUs = 1_000_000
	return b
}

// startNode starts a pool node and waits until it serves callers.
func (w *siteMove) startNode(ctx context.Context, config ports.ProcessConfig) error {
	e := frontend{make(chan sessionpool.SessionHandler, 1)}
	d := &dialer{group: w.group}
	p := sessionpool.NewProcess(config, clockwork.NewRealClock(), sessionpool.Adapters{Frontend: e, Readiness: idleReadiness{}, Dialer: d}, sessiontable.Options{})
	d.table = p.TableRevision
	w.nodes = append(w.nodes, p)
	w.startTask(func() error { return p.Run(ctx) })
	select {
	case handler := <-e.handlers:
		w.handlers = append(w.handlers, handler)
		return nil
	case <-time.After(w.options.WaitTimeout):
		return fmt.Errorf("pool node %s does not serve callers within %v", config.Name, w.options.WaitTimeout)
	}
}

// runMoves moves the group to each site in turn while callers run, and then checks the
// confirmations.
func (w *siteMove) runMoves(ctx context.Context, r *report) error {
	var callersDone sync.WaitGroup
	work, stop := context.WithCancel(ctx)
	defer stop()
	for i := range w.options.Callers {
		callersDone.Go(func() { w.runCaller(work, i) })
	}
	if err := w.until(ctx, "every caller was served", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.acknowledgedAt) > 2*w.options.Callers
	}); err != nil {
		return err
	}
	for i, to := range []string{"site-b", "site-c", "site-a"} {
		m, err := w.move(ctx, i, to)
		r.Moves = append(r.Moves, m)
		if err != nil {
			r.Problems = append(r.Problems, err.Error())
			break
		}
	}
	stop()
	callersDone.Wait()
	w.check(r)
	return nil
}

// until waits for at most WaitTimeout until a condition is true. The error contains what, the
// description of the condition.
func (w *siteMove) until(ctx context.Context, what string, ok func() bool) error {
	end := time.After(w.options.WaitTimeout)
	t := time.NewTicker(observeInterval)
	defer t.Stop()
	for !ok() {
		select {
		case <-t.C:
		case <-end:
			return errors.New("never seen: " + what)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// announceTimeout bounds the announcement of a database to one control process.
const announceTimeout = 300 * time.Millisecond

// announceInterval is the time between two announcements of all databases.
const announceInterval = 400 * time.Millisecond

// announce announces all databases to the control processes at an interval, and a database
// whenever it changes, until the context ends.
func (w *siteMove) announce(ctx context.Context) {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for {
		databases := w.group.databases
		select {
		case <-ctx.Done():
			return
		case d := <-w.group.changed:
			databases = []*database{d}
		case <-t.C:
		}
		for _, d := range databases {
			w.group.mu.Lock()
			d.announcements++
			i := ports.Instance{ID: d.id, Group: group, Address: d.id, Zone: d.zone, Capacity: 64, Primary: d.primary, AnnouncementNumber: d.announcements}
			w.group.mu.Unlock()
			for _, k := range rand.Perm(len(w.controls)) {
				c, stop := context.WithTimeout(ctx, announceTimeout)
				ok, _ := w.controls[k].process.Load().Announce(c, i)
				stop()
				if ok {
					break
				}
			}
		}
	}
}

// configure submits the first routing table, and retries until it is committed.
func (w *siteMove) configure(ctx context.Context) error {
	c := ports.TableChange{Revision: 1, Complete: true, Digest: "first",
		Routes: []ports.Route{{Name: "pickups", Host: "pickups", Prefix: "/", Class: ports.CurrentRead, Group: group, TimeoutUs: 4_000_000, LatencyTargetUs: 2_000_000, MaxAttempts: 2}},
		Groups: []ports.Group{{Name: group, ConnectionLimit: 400, RequiredReplicaAcks: 1}}, Limits: &ports.Limits{}}
	return w.until(ctx, "the first routing table was taken", func() bool {
		callCtx, stop := context.WithTimeout(ctx, time.Second)
		defer stop()
		return w.controls[0].process.Load().Change(callCtx, c).Outcome == ports.Committed
	})
}
