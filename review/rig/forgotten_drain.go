package main

import (
	"sync"
	"syscall"
	"time"
)

// contactTime is how long after their start machines are in touch again.
const contactTime = 4 * time.Second

func init() { scenarios["forgotten-drain"] = forgottenDrain }

// forgottenDrain: a replica is lost for good, the primary drains, and then the processes of
// all machines are killed at once and start again. The primary serves on.
func forgottenDrain(f *fleet, disrupt bool) verdict {
	if !f.begin() {
		return notRun
	}
	d, lost := f.group.members[0], f.group.members[1]
	stop := make(chan struct{})
	var readers sync.WaitGroup
	for i := range 6 {
		readers.Go(func() { readUntil(f.machines[i%machineCount], "app-leader", stop) })
	}
	time.Sleep(2 * time.Second)
	if disrupt {
		lost.crash()
		time.Sleep(time.Second)
	}
	acknowledgedAt, ok := f.drain(d)
	if !ok {
		return notRun
	}
	from := acknowledgedAt.Add(drainTime)
	if disrupt {
		time.Sleep(2500 * time.Millisecond)
		if err := f.restartAll(syscall.SIGKILL); err != nil {
			return notRun
		}
		if inTouch := time.Now().Add(contactTime); inTouch.After(from) {
			from = inTouch
		}
	}
	time.Sleep(time.Until(acknowledgedAt.Add(10 * time.Second)))
	close(stop)
	readers.Wait()
	return f.checkLateReads(d, acknowledgedAt, from)
}

// drain makes a database announce that it drains, and returns the time at which that was
// acknowledged.
func (f *fleet) drain(d *database) (time.Time, bool) {
	f.group.mu.Lock()
	d.draining = true
	f.group.mu.Unlock()
	d.wakeUp()
	acknowledged := func() bool {
		f.group.mu.Lock()
		defer f.group.mu.Unlock()
		return !d.drainAcknowledgedAt.IsZero()
	}
	if !waitFor(3*time.Second, acknowledged) {
		record.logf("the drain was not acknowledged")
		return time.Time{}, false
	}
	record.logf("database %s: its drain is acknowledged", d.id)
	return d.drainAcknowledgedAt, true
}

// restartAll sends a signal to all processes at once, and starts them half a second later.
func (f *fleet) restartAll(s syscall.Signal) error {
	for _, m := range f.machines {
		m.pool.signal(s)
		m.control.signal(s)
	}
	for _, m := range f.machines {
		<-m.pool.exited
		<-m.control.exited
	}
	time.Sleep(500 * time.Millisecond)
	for _, m := range f.machines {
		if err := f.start(m, m.pool, false); err != nil {
			return err
		}
		if err := f.start(m, m.control, false); err != nil {
			return err
		}
	}
	return nil
}

// checkLateReads checks that no read reached a database after a time. The acknowledgement that
// it is draining or gone was drainTime earlier, or the machines were not in touch until then.
func (f *fleet) checkLateReads(d *database, acknowledgedAt, from time.Time) verdict {
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	record.logf("reads at %s: %d", d.id, len(d.readAt))
	if len(d.readAt) == 0 {
		return notRun
	}
	late := 0
	for _, at := range d.readAt {
		if at.After(from) {
			late++
		}
	}
	last := d.readAt[len(d.readAt)-1].Sub(acknowledgedAt).Round(time.Millisecond)
	record.logf("%d reads reached %s more than %v after the acknowledgement, the last one after %v", late, d.id, from.Sub(acknowledgedAt).Round(time.Millisecond), last)
	if late > 0 {
		return broken
	}
	return kept
}
