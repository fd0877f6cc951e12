package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"
)

const (
	// laggedApply is how much later than usual replicas apply: 60 times as late.
	laggedApply = 60 * applyDelay
	laggedFor   = 6 * time.Second
	staleTries  = 5
	// changeGap is the time between two changes of the configuration.
	changeGap = 350 * time.Millisecond
	// routeWait bounds the wait until a changed route is in force at a node.
	routeWait = 3 * time.Second
)

// readLog holds the position that each read was run at.
type readLog struct {
	mu      sync.Mutex
	byStamp map[string]position
}

func (l *readLog) read(stamp string) position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byStamp[stamp]
}

// playStale plays the case in which a session writes to one service, to another one while
// the operator routes its host there, and then reads from the first one again.
func playStale(ctx context.Context, w *world, disrupt bool) error {
	first := w.newService("stoca", 0)
	w.newService("stocb", 1)
	reads := &readLog{byStamp: map[string]position{}}
	for _, d := range first.databases {
		d.onRead = func(_, _, stamp string, applied position) {
			reads.mu.Lock()
			defer reads.mu.Unlock()
			reads.byStamp[stamp] = applied
		}
	}
	pickup := newRoute("pickup", "pinned", "stoca", 2500)
	if err := w.start([]route{newRoute("orders", "leader", "stoca", 0), pickup}); err != nil {
		return err
	}
	acknowledged := &commitLog{stamps: map[string]time.Time{}}
	for _, m := range w.machines {
		go w.writeAlways(ctx, m, "orders", "writer-"+m.name, acknowledged)
	}
	if err := w.sleep(4 * time.Second); err != nil {
		return err
	}
	c := &staleCase{world: w, first: first, reads: reads, pickup: pickup, revision: 1, disrupt: disrupt}
	lagged := time.Now()
	first.setLag(laggedApply)
	w.at(lagged, laggedFor, func() { first.setLag(applyDelay) })
	for round := range staleTries {
		if err := c.round(round); err != nil {
			return err
		}
	}
	if time.Since(lagged) > laggedFor {
		return errors.New("the tries took longer than the replicas lag")
	}
	w.record.add("CHECK STALE: %d of %d reads lacked a commit of their own session that was acknowledged before", c.stale, c.checked)
	switch {
	case c.stale > 0:
		return errBroken
	case c.checked == 0:
		return errors.New("no read ran at the first service in time")
	}
	return nil
}

// staleCase is the state of the case "stale".
type staleCase struct {
	world          *world
	first          *service
	reads          *readLog
	pickup         route
	revision       int
	disrupt        bool
	stale, checked int
}

// routeTo makes the operator route the host to a service, if the case is disrupted.
func (c *staleCase) routeTo(backend string) error {
	if !c.disrupt {
		return nil
	}
	changed := maps.Clone(c.pickup)
	changed["Backend"] = backend
	base := c.revision
	c.revision += 2
	if status := c.world.amendRoute(base, c.revision, changed); status != 200 {
		return fmt.Errorf("the change of the route got status %d", status)
	}
	return nil
}

// round plays the case once with a session at each pool node.
func (c *staleCase) round(round int) error {
	var sessions []*session
	commits := map[*session]position{}
	for _, m := range c.world.machines {
		s, err := c.world.openSession(m, "pickup", fmt.Sprintf("pickup-%s-%d", m.name, round))
		if err != nil {
			return err
		}
		defer s.close()
		a := s.query(fmt.Sprintf(x("{store} %s taken"), s.name))
		if !a.succeeded() {
			return fmt.Errorf("the first write got %q", a.code)
		}
		sessions = append(sessions, s)
		commits[s] = c.first.positionOf(a.stamp)
	}
	if err := c.routeTo("stocb"); err != nil {
		return err
	}
	for _, s := range sessions {
		if err := c.until(s, "stocb", x("{store} other-")+s.name+" taken", nil); err != nil {
			return err
		}
	}
	if err := c.world.sleep(changeGap); err != nil {
		return err
	}
	if err := c.routeTo("stoca"); err != nil {
		return err
	}
	for _, s := range sessions {
		check := func(a answer) { c.check(s, commits[s], a) }
		if err := c.until(s, "stoca", x("{fetch} ")+s.name, check); err != nil {
			return err
		}
	}
	return c.world.sleep(changeGap)
}

// until sends a statement until it runs at a service.
func (c *staleCase) until(s *session, backend, text string, check func(answer)) error {
	for end := time.Now().Add(routeWait); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		a := s.query(text)
		if !a.ok {
			return errors.New("a session ended")
		}
		if a.succeeded() && (!c.disrupt || strings.HasPrefix(a.stamp, backend+".")) {
			if check != nil {
				check(a)
			}
			return nil
		}
	}
	return errors.New("a changed route did not come into force")
}

// check checks that a read of a session saw the session's own commit.
func (c *staleCase) check(s *session, own position, a answer) {
	c.checked++
	at := c.reads.read(a.stamp)
	c.world.record.add("%s: its commit is at %v, its read ran at %v and returned %q", s.name, own, at, a.row)
	if at.before(own) {
		c.stale++
	}
}

// positionOf returns the position of the commit with a stamp.
func (s *service) positionOf(stamp string) position {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.databases {
		for _, e := range d.log {
			if e.stamp == stamp {
				return e.position
			}
		}
	}
	return position{}
}

// setLag sets how late the followers of the service apply what they receive.
func (s *service) setLag(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.databases {
		if !d.leader {
			d.applyDelay = delay
		}
	}
	s.world.record.add("LAG of the replicas of %s: %v", s.name, delay)
}
