package main

import "time"

func init() { scenarios["departed-replica"] = departedReplica }

// departedReplica: a replica deregisters first and serves on; the other replica receives
// nothing for a while, and the primary crashes meanwhile.
func departedReplica(f *fleet, disrupt bool) verdict {
	if !f.begin() {
		return notRun
	}
	primary, departing, other := f.group.members[0], f.group.members[1], f.group.members[2]
	w := &writer{}
	w.start(f.machines[0], "app-leader", 20*time.Millisecond)
	time.Sleep(2 * time.Second)
	if len(w.writes()) == 0 {
		record.logf("no write succeeded before the disruption")
		return notRun
	}
	if disrupt {
		if !f.depart(departing, false) {
			return notRun
		}
		time.Sleep(2 * time.Second)
		other.setDeaf(true)
		time.Sleep(2 * time.Second)
		record.logf("%d writes are acknowledged", len(w.writes()))
		primary.crash()
	}
	time.Sleep(3 * time.Second) // the crash and the time without commits both last 5 s
	return f.checkPromoted(w)
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
