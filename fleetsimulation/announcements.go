package fleetsimulation

import (
	"slices"

	"stoneford/ports"
)

func (d *DB) announceLoop(gen int) {
	if !d.up || d.gen != gen {
		return
	}
	d.announce()
	d.f.After(d.f.Between(1_100_000, 1_300_000), func() { d.announceLoop(gen) })
}

// announce tells a control process how things stand, and the next one where
// nobody acknowledges.
func (d *DB) announce() {
	if !d.up || d.ended {
		return
	}
	if d.calling {
		d.again = true
		return
	}
	d.calling = true
	d.tell(0)
}

func (d *DB) tell(tries int) {
	f := d.f
	if d.target == nil || tries > 0 {
		d.target = f.controls[f.R.IntN(len(f.controls))]
	}
	d.call++
	i := ports.Instance{ID: d.id, Group: d.group.name, Address: d.addr, Zone: d.zone, Capacity: slots, Leaving: d.leaving, Primary: d.primary, Call: d.call}
	leaving, gen := d.leaving, d.gen
	ended := false
	end := func(ok bool) {
		if ended || !d.up || d.gen != gen {
			return
		}
		ended = true
		switch {
		case ok:
			if leaving && d.ackedUs == 0 {
				d.ackedUs = f.Now
			}
			d.calling = false
			if d.again {
				d.again = false
				d.announce()
			}
		case tries < 8:
			f.After(int64(tries)*100_000, func() {
				if d.up && d.gen == gen {
					d.tell(tries + 1)
				}
			})
		default:
			d.calling, d.again = false, false
		}
	}
	f.callControl(d.ip, d.target, func(c *Control, id uint64) { c.announce(id, i) }, func(v any) { a, _ := v.(announced); end(bool(a)) })
	f.After(1_000_000, func() { end(false) })
	if f.Chance(f.lateCalls) {
		// The same word once more, late.
		c, at := d.target, f.Between(300_000, 3_000_000)
		f.After(at, func() {
			f.callControl(d.ip, c, func(c *Control, id uint64) { c.announce(id, i) }, func(any) {})
		})
	}
}

// endForGood is a planned end: the last word, then nobody is there.
func (d *DB) endForGood() {
	if !d.up || d.goneSent {
		return
	}
	f := d.f
	d.goneSent = true
	d.call++
	i := ports.Instance{ID: d.id, Leaving: true, Gone: true, Call: d.call}
	f.callControl(d.ip, f.controls[f.R.IntN(len(f.controls))], func(c *Control, id uint64) { c.announce(id, i) }, func(any) {})
	d.later(f.Between(200_000, 600_000), func() { f.remove(d) })
}

// remove takes a database out for good.
func (f *Fleet) remove(d *DB) {
	d.crash(false)
	d.ended = true
	if f.dbAt[d.addr] == d {
		delete(f.dbAt, d.addr)
	}
	d.group.dbs = slices.DeleteFunc(d.group.dbs, func(o *DB) bool { return o == d })
	f.say("%s is gone", d.id)
}
