package leaderelection

import "stoneford/schema"

// role is the state of one role at a candidate. Times are microseconds.
type role struct {
	key      string            // key of the role's register
	state    *schema.RoleState // last known value of the register
	revision uint64            // revision of state
	known    bool              // the register was read since this process's last change

	nextPollAt  int64 // time of the next read of the register
	requestedAt int64 // start of the pending read or change, 0 if none is pending
	vacantSince int64 // time from which the role has had no live leader, 0 if it has one

	leaderSince int64 // time from which this process has been the leader, if it is
	leaseUntil  int64 // end of this process's lease

	resigned          bool                     // this process is handing the role over
	exclusiveAtResign bool                     // IsExclusive held when this process resigned
	handedLeases      *schema.ConnectionLeases // leases passed to the successor
}

// requested records that a read or change was started.
func (r *role) requested(now int64) {
	r.requestedAt, r.nextPollAt = now, now+pollInterval.Microseconds()
}
