package fleetsimulation

import (
	"slices"

	"stoneford/internal/ports"
)

func (d *Database) announceLoop(gen int) {
	if !d.up || d.generation != gen {
		return
	}
	d.announce()
	d.fleet.After(d.fleet.Between(1_100_000, 1_300_000), func() { d.announceLoop(gen) })
}

// announce tells a control process how things stand, and the next one where
// nobody acknowledges.
func (d *Database) announce() {
	if !d.up || d.ended {
		return
	}
	if d.calling {
		d.changedDuringCall = true
		return
	}
	d.calling = true
	d.announceTo(0)
}

func (d *Database) announceTo(tries int) {
	f := d.fleet
	if d.target == nil || tries > 0 {
		d.target = f.controls[f.Random.IntN(len(f.controls))]
	}
	d.call++
	i := ports.Instance{ID: d.id, Group: d.group.name, Address: d.address, Zone: d.zone, Capacity: slots, Draining: d.draining, Primary: d.primary, AnnouncementNumber: d.call}
	draining, gen := d.draining, d.generation
	ended := false
	end := func(ok bool) {
		if ended || !d.up || d.generation != gen {
			return
		}
		ended = true
		switch {
		case ok:
			if draining && d.drainAcknowledgedUs == 0 {
				d.drainAcknowledgedUs = f.Now
			}
			d.calling = false
			if d.changedDuringCall {
				d.changedDuringCall = false
				d.announce()
			}
		case tries < 8:
			f.After(int64(tries)*100_000, func() {
				if d.up && d.generation == gen {
					d.announceTo(tries + 1)
				}
			})
		default:
			d.calling, d.changedDuringCall = false, false
		}
	}
	f.callControl(d.ip, d.target, func(c *Control, id uint64) { c.announce(id, i) }, func(v any) { a, _ := v.(announced); end(bool(a)) })
	f.After(1_000_000, func() { end(false) })
	if f.Chance(f.lateCallProbability) {
		// The same word once more, late.
		c, at := d.target, f.Between(300_000, 3_000_000)
		f.After(at, func() {
			f.callControl(d.ip, c, func(c *Control, id uint64) { c.announce(id, i) }, func(any) {})
		})
	}
}

// endForGood is a planned end: the last word, then nobody is there.
func (d *Database) endForGood() {
	if !d.up || d.goneSent {
		return
	}
	f := d.fleet
	d.goneSent = true
	d.call++
	i := ports.Instance{ID: d.id, Draining: true, Gone: true, AnnouncementNumber: d.call}
	f.callControl(d.ip, f.controls[f.Random.IntN(len(f.controls))], func(c *Control, id uint64) { c.announce(id, i) }, func(any) {})
	d.later(f.Between(200_000, 600_000), func() { f.remove(d) })
}

// remove takes a database out for good.
func (f *Fleet) remove(d *Database) {
	d.crash(false)
	d.ended = true
	if f.databaseAt[d.address] == d {
		delete(f.databaseAt, d.address)
	}
	d.group.databases = slices.DeleteFunc(d.group.databases, func(o *Database) bool { return o == d })
	f.logf("%s is gone", d.id)
}
