package coordinator

import (
	"slices"

	"stoneford/failover/fenced"
	"stoneford/internal/learner"
	"stoneford/schema"
)

// leaseStatusGroup stands in the place of a group's name in the word by which a control
// process says whether it lacks a lease; its revision is 1 if it does.
const leaseStatusGroup = "(lease)"

// singletonRole is how this process stands towards a group's duty (design 16).
func (c *Core) singletonRole(now int64, n string, l *schema.Leadership) fenced.RoleState {
	d := fenced.RoleState{Self: c.config.Name, Run: c.run, Eligible: c.eligible(), Successor: c.isSuccessor(now, n), OwnerPresent: c.ownerPresent(now, l)}
	if c.tableRevision >= l.TableRevision { // under an older routing table nothing is carried out
		d.Lease = fenced.Lease{ConfirmedAt: c.learner.LeaseUntil() - learner.LeaseDurationUs, Until: c.learner.LeaseUntil()}
	}
	return d
}

// eligible says that this process may hold duties.
func (c *Core) eligible() bool {
	return c.isVoting() && !c.draining && slices.Contains(c.learner.Voters(), c.self)
}

// canOwnRoles says that another control process was heard lately and can hold duties.
func (c *Core) canOwnRoles(now int64, o string) bool {
	f := c.pollers[o]
	return f != nil && now-f.lastPoll < ownerTimeout && !f.draining && !f.lacksLease
}

// isSuccessor says that this process is the one to claim a duty whose holder is
// lost: the first, by the group's hash, of those that are able.
func (c *Core) isSuccessor(now int64, n string) bool {
	if now-c.startedAt < ownerTimeout {
		return false // the others had no time to be heard
	}
	for _, o := range c.group(n).successors {
		if o == c.self {
			return !c.draining
		}
		if c.canOwnRoles(now, o) {
			return false
		}
	}
	return false
}

// ownerPresent says that the agreed holder of a duty is able, in the run that
// claimed.
func (c *Core) ownerPresent(now int64, l *schema.Leadership) bool {
	for _, o := range c.learner.Voters() {
		if f := c.pollers[o]; o != c.self && f != nil && f.name == l.RoleOwner && f.run == l.RoleOwnerRun && c.canOwnRoles(now, o) {
			return true
		}
	}
	return false
}

// lacksLease says that no majority returned a look of this process for as long
// as would have others take it for silent.
func (c *Core) lacksLease(now int64) bool {
	return now-max(c.learner.LeaseUntil()-learner.LeaseDurationUs, c.startedAt) > ownerTimeout
}

// appendLeaseStatus notes, and adds whether this process lacks a lease, once it has lacked one.
func (c *Core) appendLeaseStatus(now int64, ws []*schema.GroupStatus) []*schema.GroupStatus {
	if now >= c.learner.LeaseUntil() {
		c.disconnectedAt = now
	}
	w := &schema.GroupStatus{Group: leaseStatusGroup}
	if c.lacksLease(now) {
		c.lackedLease, w.Revision = true, 1
	}
	if !c.lackedLease {
		return ws
	}
	return append(ws, w)
}

// takeLeaseStatus takes another's word of its lease.
func (c *Core) takeLeaseStatus(f *poller, w *schema.GroupStatus) {
	if f.lacksLease != (w.Revision > 0) {
		f.lacksLease = w.Revision > 0
		c.markAllGroupsChanged()
	}
}

// markAllGroupsChanged has every group gone through.
func (c *Core) markAllGroupsChanged() {
	for _, g := range c.groups {
		g.changed = true
	}
}

// ownsGroup says that this process holds a group's duty and has a lease.
func (c *Core) ownsGroup(now int64, n string) bool {
	k := learner.LeaderPrefix + n
	v, ok := c.learner.Committed(k)
	if !ok || !c.isVoting() || c.learner.Unconfirmed(k) {
		return false
	}
	l := learner.DecodeLeadership(v)
	return c.group(n).decider.CanAct(now, fenced.Input{State: l, Revision: v.Revision, Role: c.singletonRole(now, n, l)})
}
