package main

import (
	"sync"
	"time"
)

const (
	// drainTime is the bound of the settings within which nodes stop to use a database
	// that is draining or gone.
	drainTime = 7 * time.Second
	// serveTime is how long a database serves on after its deregistration.
	serveTime = 9 * time.Second
)

func init() { scenarios["departed-in-use"] = departedInUse }

// departedInUse: a replica deregisters at another control process than the one that gets
// its announcements, and serves on. Nothing else happens.
func departedInUse(f *fleet, disrupt bool) verdict {
	if !f.begin() {
		return notRun
	}
	d := f.group.members[1]
	stop := make(chan struct{})
	var readers sync.WaitGroup
	for i := range 6 {
		readers.Go(func() { readUntil(f.machines[i%machineCount], "app-bounded", stop) })
	}
	w := &writer{}
	w.start(f.machines[0], "app-leader", 50*time.Millisecond)
	time.Sleep(2 * time.Second)
	var acknowledgedAt time.Time
	if disrupt {
		// The announcements of a database that nothing changed at are forwarded between
		// the control processes from time to time only.
		if !waitFor(8*time.Second, func() bool { return f.announced(d)%3 == 0 }) {
			return notRun
		}
		if !f.depart(d, true) {
			return notRun
		}
		acknowledgedAt = time.Now()
	}
	time.Sleep(serveTime)
	w.stop()
	close(stop)
	readers.Wait()
	if !disrupt {
		return kept
	}
	return f.checkLateReads(d, acknowledgedAt, acknowledgedAt.Add(drainTime))
}

// announced returns the number of announcements that a database has sent.
func (f *fleet) announced(d *database) uint64 {
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	return d.seq
}

// readUntil reads through a pool node, one read after the other, until stop is closed.
func readUntil(m *machine, host string, stop <-chan struct{}) {
	var c *client
	for {
		select {
		case <-stop:
			if c != nil {
				c.conn.Close()
			}
			return
		case <-time.After(20 * time.Millisecond):
		}
		var err error
		if c == nil {
			if c, err = openSession(m, host); err != nil {
				c = nil
				continue
			}
		}
		if _, err = c.run(newID(), names["read"]+" 1a4", 2500*time.Millisecond); err != nil {
			c.conn.Close()
			c = nil
		}
	}
}
