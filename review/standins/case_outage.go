package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// outageWriters is the number of clients at each pool node: enough that commits of
	// several clients are in flight at a time.
	outageWriters = 12
	// outageBehind is what the replicas are behind. The one that is lost is a little more
	// behind, so that the other one has received each commit that is acknowledged.
	outageBehind = 20 * time.Millisecond
	// outageWait bounds the wait for a new primary.
	outageWait = 45 * time.Second
)

// playOutage plays an entry of the list of known failures: the primary and a replica are lost
// for good, and the other replica, which has all acknowledged commits, is never promoted. No
// rule forbids that as written, so this is no case of the review.
func playOutage(ctx context.Context, w *world, disrupt bool) error {
	s := w.newService("stoc", 0)
	acknowledged := &commitLog{stamps: map[string]time.Time{}}
	primary, survivor, other := s.databases[0], s.databases[1], s.databases[2]
	survivor.receiveDelay, other.receiveDelay = outageBehind, outageBehind*3/2
	if err := w.start([]route{newRoute("orders", "leader", "stoc", 0)}); err != nil {
		return err
	}
	for _, m := range w.machines {
		for i := range outageWriters {
			go w.writeAlways(ctx, m, "orders", fmt.Sprintf("writer-%s-%d", m.name, i), acknowledged)
		}
	}
	if err := w.sleep(5 * time.Second); err != nil {
		return err
	}
	w.record.add("LOST for good: %s", other.id)
	other.stop()
	if disrupt {
		w.record.add("LOST for good: %s, the primary", primary.id)
		primary.stop()
	}
	since := time.Now()
	for time.Since(since) < outageWait {
		if err := w.sleep(3 * time.Second); err != nil {
			return err
		}
		s.mu.Lock()
		leader := s.newestLeader()
		lacking, _ := acknowledged.missing(survivor.log)
		w.record.add("AFTER %.0f s: a leader runs: %t; %s has the log up to %v and lacks %d acknowledged commits; the lost primary had %v",
			time.Since(since).Seconds(), leader != nil, survivor.id, survivor.received(), lacking, primary.received())
		s.mu.Unlock()
		if leader != nil {
			return nil
		}
	}
	return errBroken
}
