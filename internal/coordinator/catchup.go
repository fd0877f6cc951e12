package coordinator

import (
	"math"
	"time"

	"stoneford/paxos"
	"stoneford/statemachine"
)

const (
	// catchUpInterval is the minimum delay between finding that a register is not up to
	// date and reading it through a majority. Each voter adds a different delay of up to
	// the same length, because it is enough that one of them reads the register.
	catchUpInterval = 400 * time.Millisecond
	// newcomerCatchUpDelay is how long a new voter waits for the other voters to commit
	// the values again that were accepted before it joined.
	newcomerCatchUpDelay = 3 * time.Second
)

// catchUp schedules reads of registers that are not up to date.
type catchUp struct {
	readAt     map[string]int64 // time of the next read, by key
	nextScanAt int64            // time of the next check of all registers
}

// catchUpRegisters reads, and thereby commits, each register of which a voter has
// accepted a newer revision than is known to be committed: its proposer may have died
// before a majority accepted it. It does the same for registers that were accepted under
// an earlier membership.
func (c *Core) catchUpRegisters(now int64) {
	if !c.isVoting() || now < c.catchUp.nextScanAt {
		return
	}
	if c.acceptor.IsNewcomer() && now-c.disk.activatedAt < newcomerCatchUpDelay.Microseconds() {
		return
	}
	interval := catchUpInterval.Microseconds()
	c.catchUp.nextScanAt = now + interval/2
	for _, key := range c.acceptor.AcceptedKeys() {
		switch {
		case c.learner.UpToDate(key) || !c.learner.Unconfirmed(key) && !c.acceptor.AcceptedUnderEarlierMembership(key):
			delete(c.catchUp.readAt, key)
		case c.catchUp.readAt[key] == 0:
			c.catchUp.readAt[key] = now + interval + int64(statemachine.Hash(c.self, key)%uint64(interval))
		case now >= c.catchUp.readAt[key]:
			c.catchUp.readAt[key] = now + 2*interval
			c.readRegister(now, key, func(int64, paxos.Outcome) {}) // a read commits the accepted value
		}
	}
}

// catchUpDue returns the time at which catchUpRegisters reads an unconfirmed register
// next.
func (c *Core) catchUpDue() int64 {
	due := int64(math.MaxInt64)
	for key, at := range c.catchUp.readAt {
		if c.learner.Unconfirmed(key) {
			due = min(due, max(at, c.catchUp.nextScanAt))
		}
	}
	return due
}
