package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

const (
	// drainTime is the time after the acknowledgement that a database leaves, after which it
	// must get no new statements. It is also the value of Bounds.DrainMs in the settings.
	drainTime = 7 * time.Second
	// maxOvertime is the longest time for which a database serves on after drainTime. A
	// statement that is sent too late shows only while the database runs.
	maxOvertime = 5 * time.Second
	// maxHeartbeatDelay is the longest time by which a heartbeat is late.
	maxHeartbeatDelay = 3 * time.Second
	// deliveryTime is the time that a statement may need from a node to a database.
	deliveryTime = 500 * time.Millisecond
	// replacedDatabasePort is the port of the first database that is replaced.
	replacedDatabasePort = 8200
	// replacementsPerService bounds the number of ports of one service's replaced databases.
	replacementsPerService = 100
)

// replacement keeps replicas of a service that leave and are replaced, as planned work does:
// they announce that they drain, or deregister first, and serve on for a while.
type replacement struct {
	fleet    *fleet
	history  *history
	service  *service
	index    int // of the service
	replaced int // number of replicas so far
	rand     *rand.Rand
}

func newReplacement(f *fleet, h *history, s *service, index int) *replacement {
	return &replacement{fleet: f, history: h, service: s, index: index, rand: rand.New(rand.NewPCG(f.options.seed, 0x7265+uint64(index)))}
}

// run replaces replicas one after the other until the context is cancelled.
func (r *replacement) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.replaceOne(ctx); err != nil {
			r.history.recordViolation("a replaced database of %s: %v", r.service.name, err)
			return
		}
	}
}

// replaceOne starts a replica, has it leave after a while, and ends it.
func (r *replacement) replaceOne(ctx context.Context) error {
	ctx, end := context.WithCancel(ctx)
	defer end()
	d := r.newDatabase()
	if err := d.serve(ctx); err != nil {
		return err
	}
	heartbeats, stopHeartbeats := context.WithCancel(ctx)
	defer stopHeartbeats()
	go d.sendHeartbeats(heartbeats, r.fleet)
	r.sleep(ctx, 500*time.Millisecond, 2*time.Second)
	if r.rand.IntN(2) == 0 {
		d.draining.Store(true)
	} else {
		stopHeartbeats()
		r.deregisterFirst(ctx, d)
	}
	for d.departingFor() == 0 && ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
	r.sleep(ctx, drainTime, drainTime+maxOvertime)
	if d.draining.Load() {
		stopHeartbeats()
		d.deregister(ctx, r.fleet)
	}
	return nil
}

// deregisterFirst has a database deregister that has not drained. In half of the cases a
// heartbeat that was sent before arrives late, if such are enabled.
func (r *replacement) deregisterFirst(ctx context.Context, d *database) {
	number := d.calls.Add(1)
	d.deregister(ctx, r.fleet)
	if r.fleet.options.lateHeartbeats && r.rand.IntN(2) == 0 {
		r.sleep(ctx, 0, maxHeartbeatDelay)
		d.sendHeartbeat(ctx, newControlClient(), r.fleet.controls()[r.rand.IntN(r.fleet.options.controls)], number)
	}
}

// newDatabase returns the next replica.
func (r *replacement) newDatabase() *database {
	n := r.index*replacementsPerService + r.replaced%replacementsPerService
	r.replaced++
	d := &database{id: fmt.Sprintf("%s-replaced%d", r.service.name, r.replaced), service: r.service, history: r.history,
		address: address(r.fleet.machines[0].ip, replacedDatabasePort+n)}
	d.lagUs.Store(r.rand.Int64N(maxReplicaLag.Microseconds()))
	return d
}

// sleep waits for a random time, or until the context is cancelled.
func (r *replacement) sleep(ctx context.Context, lo, hi time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(lo + time.Duration(r.rand.Int64N(int64(hi-lo)))):
	}
}

// deregister announces that the database stops, to one control process after the other, from a
// random one on, until one accepts it.
func (d *database) deregister(ctx context.Context, f *fleet) {
	client := newControlClient()
	for next := rand.IntN(f.options.controls); ctx.Err() == nil; next++ {
		if d.call(ctx, client, f.controls()[next%f.options.controls], "Instances.Deregister", http.NoBody) {
			d.acknowledgeDeparture()
			return
		}
		time.Sleep(minBackoff)
	}
}

// acknowledgeDeparture records that a control process acknowledged that the database leaves.
func (d *database) acknowledgeDeparture() {
	if d.history != nil && d.departingSince.CompareAndSwap(0, time.Now().UnixMicro()) {
		d.history.count(func(c *counts) { c.Departures++ })
	}
}

// departingFor returns the time since the acknowledgement that the database leaves, 0 before it.
func (d *database) departingFor() time.Duration {
	since := d.departingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(time.UnixMicro(since))
}

// checkStatement records a violation if a statement begins work at the database too late after
// the acknowledgement that it leaves.
func (d *database) checkStatement(state string, fields []string) {
	late := d.departingFor() - drainTime - deliveryTime
	if late <= 0 || state != stateIdle || !beginsWork(fields) {
		return
	}
	d.history.recordViolation("%s got %q %v after the acknowledgement that it leaves (deregistered first: %t)",
		d.id, fields, d.departingFor().Round(time.Millisecond), !d.draining.Load())
}

// beginsWork reports whether a statement outside a transaction is a single statement of a
// caller or begins a transaction.
func beginsWork(fields []string) bool {
	if len(fields) > 2 && fields[0] == "AFTERPOS" {
		fields = fields[2:]
	}
	return slices.Contains([]string{"BEGIN", "FETCH", "STORE", "EXECUTE"}, fields[0])
}
