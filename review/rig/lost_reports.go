package main

import (
	"syscall"
	"time"
)

func init() { scenarios["lost-reports"] = lostReports }

// lostReports: one replica receives nothing for a while. The pool node through which all
// writes went, while others read, is stopped and started again in good order; then the primary and the other
// replica are down at once.
func lostReports(f *fleet, disrupt bool) verdict {
	if !f.begin() {
		return notRun
	}
	primary, second, behind := f.group.members[0], f.group.members[1], f.group.members[2]
	w := &writer{}
	w.start(f.machines[0], "app-leader", 20*time.Millisecond)
	go f.keepReading(f.machines[1], "app-leader")
	time.Sleep(2 * time.Second)
	if disrupt {
		behind.setDeaf(true)
	}
	time.Sleep(1500 * time.Millisecond)
	w.stop()
	time.Sleep(100 * time.Millisecond)
	record.logf("%d writes are acknowledged", len(w.writes()))
	if len(w.writes()) == 0 {
		return notRun
	}
	if disrupt {
		if err := f.restart(f.machines[0], f.machines[0].pool, syscall.SIGTERM); err != nil {
			return notRun
		}
		primary.crash()
		second.setDark(true)
		behind.setDeaf(false) // the others are down, so it receives nothing all the same
	}
	time.Sleep(4 * time.Second) // the databases stay down for 4.5 s at least
	return f.checkPromoted(w)
}

// keepReading reads through a pool node from time to time until the fleet stops.
func (f *fleet) keepReading(m *machine, host string) {
	for {
		select {
		case <-f.done:
			return
		case <-time.After(100 * time.Millisecond):
		}
		if c, err := openSession(m, host); err == nil {
			c.run(newID(), names["read"]+" 1a4", 2500*time.Millisecond)
			c.conn.Close()
		}
	}
}

// checkPromoted checks the log of each database that was promoted.
func (f *fleet) checkPromoted(w *writer) verdict {
	w.stop()
	time.Sleep(300 * time.Millisecond)
	result := kept
	acknowledged := w.writes()
	for _, call := range f.provider.received() {
		for _, d := range f.group.members {
			if d.id != call.id || !d.isPrimary() {
				continue
			}
			missing := d.lacks(acknowledged)
			record.logf("%s was promoted; its log lacks %d of %d acknowledged writes", d.id, len(missing), len(acknowledged))
			if len(missing) > 0 {
				result = broken
			}
		}
	}
	return result
}
