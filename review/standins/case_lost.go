package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// Times of the case "lost", counted from the acknowledgement that a replica ends.
const (
	lostDeafAfter   = 3 * time.Second       // the other replica begins to receive nothing
	lostDeafFor     = 6 * time.Second       // for this long
	lostSwitchAfter = 5 * time.Second       // the primary begins to drain, or crashes
	lostCrashFor    = 7 * time.Second       // for this long, if it crashes
	lostBehind      = 20 * time.Millisecond // what the other replica is behind in the variant "behind"
	lostServesFor   = 13 * time.Second      // the replica that ends serves for this long
)

// Variants of the case "lost", set by VARIANT. By default the primary crashes while the other
// replica receives nothing.
const (
	variantDraining = "draining" // the replica that ends first states that it drains
	variantPlanned  = "planned"  // the primary does not crash, it drains and ends
	variantBehind   = "behind"   // the other replica is not deaf, it is only behind
)

// commitLog holds the commits that were acknowledged to clients.
type commitLog struct {
	mu     sync.Mutex
	stamps map[string]time.Time
}

func (l *commitLog) add(stamp string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stamps[stamp] = time.Now()
}

// missing returns the number of acknowledged commits that a log lacks, and the time of the
// first of them.
func (l *commitLog) missing(log []*entry) (count int, first time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	present := map[string]bool{}
	for _, e := range log {
		present[e.stamp] = true
	}
	for stamp, at := range l.stamps {
		if !present[stamp] {
			count++
			if first.IsZero() || at.Before(first) {
				first = at
			}
		}
	}
	return count, first
}

// playLost plays the case in which a replica that ends without stating before that it drains
// still acknowledges commits, and the other replica, which lacks them, is promoted.
func playLost(ctx context.Context, w *world, disrupt bool) error {
	s := w.newService("stoc", 0)
	acknowledged := &commitLog{stamps: map[string]time.Time{}}
	lost := 0
	s.onPromoted = func(target *database) {
		count, first := acknowledged.missing(target.log)
		w.record.add("CHECK LOST: the log of %s lacks %d acknowledged commits", target.id, count)
		if count > 0 {
			w.record.add("the first of them was acknowledged to its client at %.3f", first.Sub(w.record.started).Seconds())
		}
		lost += count
	}
	if err := w.start([]route{newRoute("orders", "leader", "stoc", 0)}); err != nil {
		return err
	}
	for _, m := range w.machines {
		for i := range 2 {
			go w.writeAlways(ctx, m, "orders", fmt.Sprintf("writer-%s-%d", m.name, i), acknowledged)
		}
	}
	if err := w.sleep(3 * time.Second); err != nil {
		return err
	}
	primary, deaf, ending := s.databases[0], s.databases[1], s.databases[2]
	if err := w.endReplica(ending); err != nil {
		return err
	}
	since := time.Now()
	variant := os.Getenv("VARIANT")
	if disrupt && variant == variantBehind {
		s.mu.Lock()
		deaf.receiveDelay = lostBehind
		s.mu.Unlock()
	} else if disrupt {
		w.at(since, lostDeafAfter, func() { w.setDeaf(deaf, true) })
		w.at(since, lostDeafAfter+lostDeafFor, func() { w.setDeaf(deaf, false) })
	}
	switch {
	case variant == variantPlanned:
		w.at(since, lostSwitchAfter, func() { w.drainAndEnd(primary) })
	case disrupt:
		w.at(since, lostSwitchAfter, func() { w.record.add("CRASH of the primary %s", primary.id); primary.stop() })
		w.at(since, lostSwitchAfter+lostCrashFor, func() { w.record.add("the primary %s returns: %v", primary.id, primary.start()) })
	}
	w.at(since, lostServesFor, func() { w.record.add("%s ends", ending.id); ending.stop() })
	if err := w.sleep(lostServesFor + 4*time.Second); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	acknowledged.mu.Lock()
	defer acknowledged.mu.Unlock()
	w.record.add("TOTAL %d commits acknowledged, %d of them missing in a promoted log", len(acknowledged.stamps), lost)
	switch {
	case lost > 0:
		return errBroken
	case len(acknowledged.stamps) < 100:
		return errors.New("too few commits were acknowledged")
	}
	return nil
}

// endReplica makes a replica state that it ends. With VARIANT=draining it first states that
// it drains, so that the two orders of a planned end can be compared.
func (w *world) endReplica(d *database) error {
	if os.Getenv("VARIANT") == variantDraining {
		d.setDraining()
		w.record.add("DRAINING %s; acknowledged: %t", d.id, d.heartbeat())
		return nil
	}
	d.stopHeartbeats()
	if _, ok := d.deregister(); !ok {
		return errors.New("the end of the replica was not acknowledged")
	}
	return nil
}

// drainAndEnd makes a database drain, serve on for a little longer than drainTime, and end.
func (w *world) drainAndEnd(d *database) {
	d.setDraining()
	w.record.add("DRAINING %s; acknowledged: %t", d.id, d.heartbeat())
	if w.sleep(drainTime+time.Second) != nil {
		return
	}
	d.stopHeartbeats()
	d.deregister()
	w.record.add("%s ends", d.id)
	d.stop()
}

func (w *world) setDeaf(d *database, deaf bool) {
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	d.deaf = deaf
	w.record.add("DEAF %s: %t, log up to %v", d.id, deaf, d.received())
}

// at calls a function at a time after a moment, unless the case has ended.
func (w *world) at(since time.Time, after time.Duration, call func()) {
	time.AfterFunc(time.Until(since.Add(after)), func() {
		if w.ctx.Err() == nil {
			call()
		}
	})
}

// writeAlways writes over sessions at a pool node until the case ends, and records which
// commits were acknowledged.
func (w *world) writeAlways(ctx context.Context, m *machine, host, name string, acknowledged *commitLog) {
	for n := 0; ctx.Err() == nil; {
		s, err := w.openSession(m, host, name)
		if err != nil {
			w.record.add("%v", err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for ctx.Err() == nil {
			n++
			a := s.query(fmt.Sprintf(x("{store} %s-%d data%d"), name, n, n))
			if a.succeeded() {
				acknowledged.add(a.stamp)
			}
			if !a.ok || a.state[0] != 'I' {
				break
			}
			time.Sleep(40 * time.Millisecond)
		}
		s.close()
	}
}
