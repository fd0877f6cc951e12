package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

// Times of the case "drain", counted from the acknowledgement that a replica is gone.
const (
	lateHeartbeatAfter = 3 * time.Second // the heartbeat that was under way arrives
	drainServesFor     = 15 * time.Second
)

// playDrain plays the case in which a heartbeat of a replica arrives late, after the replica
// stated that it ends, and the replica gets new statements again.
func playDrain(ctx context.Context, w *world, disrupt bool) error {
	s := w.newService("stoc", 0)
	if err := w.start([]route{newRoute("orders", "leader", "stoc", 0), newRoute("lookup", "bounded_staleness", "stoc", 1500)}); err != nil {
		return err
	}
	acknowledged := &commitLog{stamps: map[string]time.Time{}}
	for _, m := range w.machines {
		go w.writeAlways(ctx, m, "orders", "writer-"+m.name, acknowledged)
		for i := range 3 {
			go w.readAlways(ctx, m, "lookup", fmt.Sprintf("reader-%s-%d", m.name, i))
		}
	}
	if err := w.sleep(5 * time.Second); err != nil {
		return err
	}
	ending := s.databases[2]
	ending.stopHeartbeats()
	late, sequence := ending.heartbeatBody() // under way when the replica is ordered to end
	w.record.add("%s sends heartbeat %d, which is under way", ending.id, sequence)
	gone, ok := ending.deregister()
	if !ok {
		return errors.New("the end of the replica was not acknowledged")
	}
	var before, after, tooLate atomic.Int64
	ending.watch(func(id, text string) {
		switch since := time.Since(gone); {
		case since > drainTime:
			tooLate.Add(1)
			w.record.add("%s gets %s %s %.3f s after its end was acknowledged", ending.id, id, text, since.Seconds())
		case since > lateHeartbeatAfter:
			after.Add(1)
		default:
			before.Add(1)
		}
	})
	if disrupt {
		w.at(gone, lateHeartbeatAfter, func() {
			w.record.add("LATE heartbeat %d of %s arrives; acknowledged: %t", sequence, ending.id, ending.post(w.machines[0], "Instances.Heartbeat", late))
		})
	}
	if err := w.sleep(drainServesFor); err != nil {
		return err
	}
	ending.stop()
	w.record.add("CHECK DRAIN: %s got %d statements in the first 3 s after its end was acknowledged, %d until 7 s and %d later", ending.id, before.Load(), after.Load(), tooLate.Load())
	acknowledged.mu.Lock()
	defer acknowledged.mu.Unlock()
	switch {
	case tooLate.Load() > 0:
		return errBroken
	case len(acknowledged.stamps) < 100:
		return errors.New("too few commits were acknowledged")
	}
	return nil
}

// watch calls a function for each read or write outside a transaction that arrives.
func (d *database) watch(call func(id, text string)) {
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	d.onStatement = func(c *databaseConn, id, text string) {
		if !c.inTx && (strings.Contains(text, "FETCH ") || strings.Contains(text, "STORE ")) {
			call(id, text)
		}
	}
}

// readAlways reads over sessions at a pool node until the case ends.
func (w *world) readAlways(ctx context.Context, m *machine, host, name string) {
	for n := 0; ctx.Err() == nil; {
		s, err := w.openSession(m, host, name)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for ctx.Err() == nil {
			n++
			a := s.query(fmt.Sprintf("FETCH thing-%d", n%50))
			if !a.ok || a.state[0] != 'I' {
				break
			}
			time.Sleep(15 * time.Millisecond)
		}
		s.close()
	}
}
