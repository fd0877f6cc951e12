package fleetsimulation

import "stoneford/internal/ports"

// announceLoop announces the database every 1.1 to 1.3 s while this run of its process
// lasts.
func (d *Database) announceLoop(generation int) {
	if !d.up || d.generation != generation {
		return
	}
	d.announce()
	d.fleet.After(d.fleet.Between(1_100_000, 1_300_000), func() { d.announceLoop(generation) })
}

// announce reports the database's state to a control process, and tries others if none
// acknowledges. Only one announcement is in flight at a time; a change meanwhile is
// announced afterwards.
func (d *Database) announce() {
	if !d.up || d.removed || d.deregistered {
		return
	}
	if d.announcing {
		d.changedWhileAnnouncing = true
		return
	}
	d.announcing = true
	d.announceTo(0)
}

// maxAnnouncementRetries bounds the retries of one announcement. The next periodic
// announcement is due about a second later.
const maxAnnouncementRetries = 8

// announcementTimeoutUs limits a database's wait for an acknowledgement of its
// announcement. After that it tries another control process.
const announcementTimeoutUs = 1_000_000

// announceTo sends an announcement to the current target, or on a retry to another
// control process.
func (d *Database) announceTo(attempts int) {
	f := d.fleet
	if d.target == nil || attempts > 0 {
		d.target = f.controls[f.Random.IntN(len(f.controls))]
	}
	d.announcementNumber++
	instance := ports.Instance{ID: d.id, Group: d.group.name, Address: d.address, Zone: d.zone, Capacity: slots, Draining: d.draining, Primary: d.primary, AnnouncementNumber: d.announcementNumber}
	draining, generation, ended := d.draining, d.generation, false
	end := func(ok bool) {
		if ended || !d.up || d.generation != generation {
			return
		}
		ended = true
		if ok {
			d.announcementAcknowledged(draining)
		} else {
			d.announcementFailed(attempts)
		}
	}
	f.callControl(d.ip, d.target, func(c *Control, id uint64) { c.announce(id, instance) }, func(v any) { a, _ := v.(announceReply); end(bool(a)) })
	f.After(announcementTimeoutUs, func() { end(false) })
	if f.Chance(f.lateCallProbability) {
		d.announceLate(instance)
	}
}

// announcementAcknowledged records that an announcement was acknowledged, and announces
// changes that were made meanwhile.
func (d *Database) announcementAcknowledged(draining bool) {
	if draining && d.drainAcknowledgedUs == 0 {
		d.drainAcknowledgedUs = d.fleet.Now
	}
	d.announcing = false
	if d.changedWhileAnnouncing {
		d.changedWhileAnnouncing = false
		d.announce()
	}
}

// announcementFailed retries an announcement after a backoff unless its retries are used up.
func (d *Database) announcementFailed(attempts int) {
	if attempts >= maxAnnouncementRetries {
		d.announcing, d.changedWhileAnnouncing = false, false
		return
	}
	d.afterInRun(int64(attempts)*100_000, func() { d.announceTo(attempts + 1) })
}

// announceLate sends an announcement again, late and possibly out of order.
func (d *Database) announceLate(instance ports.Instance) {
	f, target, delay := d.fleet, d.target, d.fleet.Between(300_000, 3_000_000)
	f.After(delay, func() {
		f.callControl(d.ip, target, func(c *Control, id uint64) { c.announce(id, instance) }, func(any) {})
	})
}

// announceRemoval sends a final announcement and then removes the database, as a planned
// shutdown does.
func (d *Database) announceRemoval() {
	if !d.up || d.finalAnnouncementSent {
		return
	}
	f := d.fleet
	d.finalAnnouncementSent = true
	d.announcementNumber++
	instance := ports.Instance{ID: d.id, Draining: true, Gone: true, AnnouncementNumber: d.announcementNumber}
	f.callControl(d.ip, f.controls[f.Random.IntN(len(f.controls))], func(c *Control, id uint64) { c.announce(id, instance) }, func(any) {})
	d.afterInRun(f.Between(200_000, 600_000), func() { f.remove(d) })
}

// deregister announces that the database stops, and tries other control processes until one
// acknowledges. The database serves on, and sends no other announcement.
func (d *Database) deregister() {
	f := d.fleet
	d.deregistered, d.finalAnnouncementSent = true, true
	f.logf("%s deregisters and serves on", d.id)
	d.deregisterAt(f.controls[f.Random.IntN(len(f.controls))])
}

// deregisterAt sends the final announcement to a control process.
func (d *Database) deregisterAt(target *Control) {
	f := d.fleet
	instance := ports.Instance{ID: d.id, Draining: true, Gone: true}
	f.callControl(d.ip, target, func(c *Control, id uint64) { c.announce(id, instance) }, func(v any) {
		if acknowledged, _ := v.(announceReply); bool(acknowledged) && d.drainAcknowledgedUs == 0 {
			d.drainAcknowledgedUs = f.Now
		}
	})
	d.afterInRun(announcementTimeoutUs, func() {
		if d.drainAcknowledgedUs == 0 {
			d.deregisterAt(f.controls[f.Random.IntN(len(f.controls))])
		}
	})
}

// end ends a database that has drained, after its final announcement if that is not sent yet.
func (d *Database) end() {
	if d.deregistered {
		d.fleet.remove(d)
		return
	}
	d.announceRemoval()
}

// remove removes a database permanently.
func (f *Fleet) remove(d *Database) {
	d.crash(false)
	d.removed = true
	f.forget(d)
	f.logf("%s is removed", d.id)
}
