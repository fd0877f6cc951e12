package coordinator

import (
	"slices"

	"stoneford/schema"
	"stoneford/switchover"
	"stoneford/voterview"
)

// leaseWord stands in the place of a group's name in the word by which a control
// process says whether it lacks a lease; its revision is 1 if it does.
const leaseWord = "(lease)"

// duty is how this process stands towards a group's duty (design 16).
func (c *Core) duty(now int64, n string, l *schema.Leadership) switchover.Duty {
	d := switchover.Duty{Self: c.boot.Name, Run: c.run, Eligible: c.eligible(), Successor: c.successor(now, n), HolderPresent: c.present(now, l)}
	if c.tableRev >= l.Table { // under an older routing table nothing is carried out
		d.Lease = switchover.Lease{From: c.view.LeaseUntil() - voterview.LeaseUs, Until: c.view.LeaseUntil()}
	}
	return d
}

// eligible says that this process may hold duties.
func (c *Core) eligible() bool {
	return c.votes() && !c.leaving && slices.Contains(c.view.Voters(), c.self)
}

// able says that another control process was heard lately and can hold duties.
func (c *Core) able(now int64, o string) bool {
	f := c.follow[o]
	return f != nil && now-f.at < ownerSilent && !f.leaving && !f.unable
}

// successor says that this process is the one to claim a duty whose holder is
// lost: the first, by the group's hash, of those that are able.
func (c *Core) successor(now int64, n string) bool {
	if now-c.began < ownerSilent {
		return false // the others had no time to be heard
	}
	for _, o := range c.group(n).order {
		if o == c.self {
			return !c.leaving
		}
		if c.able(now, o) {
			return false
		}
	}
	return false
}

// present says that the agreed holder of a duty is able, in the run that
// claimed.
func (c *Core) present(now int64, l *schema.Leadership) bool {
	for _, o := range c.view.Voters() {
		if f := c.follow[o]; o != c.self && f != nil && f.name == l.Holder && f.run == l.HolderRun && c.able(now, o) {
			return true
		}
	}
	return false
}

// lacksLease says that no majority returned a look of this process for as long
// as would have others take it for silent.
func (c *Core) lacksLease(now int64) bool {
	return now-max(c.view.LeaseUntil()-voterview.LeaseUs, c.began) > ownerSilent
}

// sayLease notes, and adds whether this process lacks a lease, once it has lacked one.
func (c *Core) sayLease(now int64, ws []*schema.GroupWord) []*schema.GroupWord {
	if now >= c.view.LeaseUntil() {
		c.apart = now
	}
	w := &schema.GroupWord{Group: leaseWord}
	if c.lacksLease(now) {
		c.lacked, w.Revision = true, 1
	}
	if !c.lacked {
		return ws
	}
	return append(ws, w)
}

// heardLease takes another's word of its lease.
func (c *Core) heardLease(f *follower, w *schema.GroupWord) {
	if f.unable != (w.Revision > 0) {
		f.unable = w.Revision > 0
		c.allDirty()
	}
}

// allDirty has every group gone through.
func (c *Core) allDirty() {
	for _, g := range c.groups {
		g.dirty = true
	}
}

// acts says that this process holds a group's duty and has a lease.
func (c *Core) acts(now int64, n string) bool {
	k := voterview.LeaderPrefix + n
	v, ok := c.view.Agreed(k)
	if !ok || !c.votes() || c.view.Doubt(k) {
		return false
	}
	l := voterview.Leadership(v)
	return c.group(n).decider.Acts(now, switchover.Input{State: l, Rev: v.Revision, Duty: c.duty(now, n, l)})
}
