package leaderelection

import "stoneford/schema"

// role is what a candidate knows of one role. Times are microseconds.
type role struct {
	key      string            // of its register
	state    *schema.RoleState // as last seen
	revision uint64            // of state
	known    bool              // state is the newest, as far as known: no change is under way

	nextPollAt  int64 // when the register is read next
	requestedAt int64 // when the read or change under way was started, 0 if none is
	vacantSince int64 // since when the role has had no live leader, 0 if it has one

	leaderSince int64 // since when this process leads, if it does
	leaseUntil  int64 // until when it may act

	resigned          bool                     // this process hands the role over
	exclusiveAtResign bool                     // it was certainly the only leader when it resigned
	handedLeases      *schema.ConnectionLeases // passed to the successor
}

// requested notes that a read or change was started.
func (r *role) requested(now int64) {
	r.requestedAt, r.nextPollAt = now, now+pollInterval.Microseconds()
}
