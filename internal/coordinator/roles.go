package coordinator

import (
	"slices"

	"stoneford/failover/fenced"
	"stoneford/internal/learner"
	"stoneford/schema"
)

// Each group has a singleton role: only one control process at a time commands its
// databases (design 16). Package failover/fenced claims and hands over the role. This file
// determines which control processes may own it.

// leaseStatusGroup is the group name in the status entry by which a control process
// reports whether it lacks a lease: revision 1 means that it does. No group of the routing
// table can have this name.
const leaseStatusGroup = "(lease)"

// roleState returns this process's state with regard to a group's role.
func (c *Core) roleState(now int64, name string, leadership *schema.Leadership) fenced.RoleState {
	state := fenced.RoleState{
		Self:         c.config.Name,
		Run:          c.run,
		Eligible:     c.eligible(),
		Successor:    c.isSuccessor(now, name),
		OwnerPresent: c.ownerPresent(now, leadership),
	}
	if c.table.revision >= leadership.TableRevision { // with an older table this process must not act for the group
		until := c.learner.LeaseUntil()
		state.Lease = fenced.Lease{ConfirmedAtUs: until - learner.LeaseDurationUs, ExpiresAtUs: until}
	}
	return state
}

// eligible reports whether this process may own singleton roles.
func (c *Core) eligible() bool {
	return c.isVoting() && !c.shutdown.draining && slices.Contains(c.learner.Voters(), c.self)
}

// canOwnRoles reports whether another control process may own roles: it has polled within
// ownerTimeout, is not draining and does not report that it lacks a lease.
func (c *Core) canOwnRoles(now int64, address string) bool {
	p := c.pollers[address]
	return p != nil && now-p.lastPoll < ownerTimeout.Microseconds() && !p.draining && !p.lacksLease
}

// isSuccessor reports whether this process should claim a role whose owner is lost. The
// successor is the first process in the group's ranking that may own roles.
func (c *Core) isSuccessor(now int64, name string) bool {
	if now-c.startedAt < ownerTimeout.Microseconds() {
		return false // the other processes may not have polled yet
	}
	for _, address := range c.group(name).successors {
		if address == c.self {
			return !c.shutdown.draining
		}
		if c.canOwnRoles(now, address) {
			return false
		}
	}
	return false
}

// ownerPresent reports whether the committed owner of a role can still own it and is in
// the same run as when it claimed the role.
func (c *Core) ownerPresent(now int64, leadership *schema.Leadership) bool {
	return slices.ContainsFunc(c.learner.Voters(), func(address string) bool {
		p := c.pollers[address]
		return address != c.self && p != nil && p.name == leadership.RoleOwner && p.run == leadership.RoleOwnerRun && c.canOwnRoles(now, address)
	})
}

// ownsGroup reports whether this process owns a group's role and holds a lease.
func (c *Core) ownsGroup(now int64, name string) bool {
	key := learner.LeaderPrefix + name
	committed, ok := c.learner.Committed(key)
	if !ok || !c.isVoting() || c.learner.Unconfirmed(key) {
		return false
	}
	leadership := learner.DecodeLeadership(committed)
	return c.group(name).decider.CanAct(now, fenced.Input{State: leadership, Revision: committed.Revision, Role: c.roleState(now, name, leadership)})
}

// lacksLease reports whether no majority has answered this process's polls for
// ownerTimeout, after which other processes consider an owner lost.
func (c *Core) lacksLease(now int64) bool {
	return now-max(c.learner.LeaseUntil()-learner.LeaseDurationUs, c.startedAt) > ownerTimeout.Microseconds()
}

// appendLeaseStatus adds the status that reports whether this process lacks a lease. It
// adds none as long as this process has never lacked one.
func (c *Core) appendLeaseStatus(now int64, statuses []*schema.GroupStatus) []*schema.GroupStatus {
	if now >= c.learner.LeaseUntil() {
		c.contact.disconnectedAt = now
	}
	status := &schema.GroupStatus{Group: leaseStatusGroup}
	if c.lacksLease(now) {
		c.contact.everLackedLease, status.Revision = true, 1
	}
	if !c.contact.everLackedLease {
		return statuses
	}
	return append(statuses, status)
}

// handleLeaseStatus records whether another control process lacks a lease.
func (c *Core) handleLeaseStatus(p *poller, status *schema.GroupStatus) {
	if lacksLease := status.Revision > 0; p.lacksLease != lacksLease {
		p.lacksLease = lacksLease
		c.requestAllGroupSteps()
	}
}
