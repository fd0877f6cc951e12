package coordinator

import (
	"math"
	"time"

	"stoneford/paxos"
	"stoneford/result"
	"stoneford/schema"
	"stoneford/statemachine"
)

const (
	// maxUnsyncedSteps is the number of steps that may wait for the disk before the
	// acceptor stops handling messages. It limits the memory used while a disk hangs.
	maxUnsyncedSteps = 64
	// diskRetryInterval is the time between a failed write and the next attempt.
	diskRetryInterval = 500 * time.Millisecond
)

// voterDisk tracks the part of the acceptor's state that is on disk, and the steps that
// wait for the disk. The acceptor's own state in memory is ahead of it.
type voterDisk struct {
	registers map[string]*schema.RegisterState // accepted values on disk, by key
	// activeMembership is the number of the membership under which this process votes, 0
	// if it does not vote.
	activeMembership uint64
	// activatedAt is the time at which this process began to vote under activeMembership,
	// 0 if it did so from the start of this run.
	activatedAt int64

	watermark uint64 // watermark of the newest entries that were returned to the process
	unsynced  []unsyncedStep

	failed bool // whether a write failed and no complete snapshot was written since
	// repairWatermark is the watermark of the snapshot whose sync ends the failure, 0
	// before the first retry.
	repairWatermark uint64
	retryAt         int64 // time of the next attempt, 0 while one is in flight
}

// unsyncedStep holds the deferred effects of an acceptor step until its entries are on
// disk.
type unsyncedStep struct {
	watermark        uint64
	sends            []statemachine.Send
	registers        []*schema.RegisterState
	activeMembership uint64
}

// available reports whether the acceptor handles messages. It does not while its disk
// fails or too many steps wait for the disk.
func (d *voterDisk) available() bool { return !d.failed && len(d.unsynced) < maxUnsyncedSteps }

// due returns the time of the next attempt to write after a failure.
func (d *voterDisk) due() int64 {
	if d.failed && d.retryAt > 0 {
		return d.retryAt
	}
	return math.MaxInt64
}

// votedSince reports whether this process has voted under its membership for at least a
// period. The answers that voters of earlier memberships gave are unknown here, so the
// caller waits until no lease can depend on them.
func (d *voterDisk) votedSince(now int64, period time.Duration) bool {
	return d.activatedAt == 0 || now-d.activatedAt >= period.Microseconds()
}

// isVoting reports whether this process votes, according to the state on its disk.
func (c *Core) isVoting() bool { return c.disk.activeMembership > 0 }

// deferAcceptorEffects defers the effects of an acceptor step until its entries, and those
// of all earlier steps, are on disk.
func (c *Core) deferAcceptorEffects(now int64, effects paxos.Effects) {
	deferred := unsyncedStep{sends: effects.Send, activeMembership: c.acceptor.ActiveMembership()}
	for _, key := range effects.AcceptedKeys {
		if key != paxos.MembershipKey { // pollers receive the membership separately, once it is committed
			deferred.registers = append(deferred.registers, c.acceptor.RegisterState(key))
		}
	}
	c.deferUntilSynced(now, effects.Log, deferred)
}

// deferUntilSynced adds entries to the log of the current step and defers effects until
// they are on disk. Without new entries, the effects wait for the newest unsynced step, or
// take effect at once if there is none.
func (c *Core) deferUntilSynced(now int64, entries []*schema.WALEntry, deferred unsyncedStep) {
	c.effects.Log = append(c.effects.Log, entries...)
	switch {
	case len(c.effects.Log) > 0:
		deferred.watermark = c.disk.watermark + 1 // watermark of the current step's entries
	case len(c.disk.unsynced) > 0:
		deferred.watermark = c.disk.unsynced[len(c.disk.unsynced)-1].watermark
	default:
		c.releaseSynced(now, deferred)
		return
	}
	if len(entries) > 0 || len(deferred.sends) > 0 || len(deferred.registers) > 0 || deferred.activeMembership != c.disk.activeMembership {
		c.disk.unsynced = append(c.disk.unsynced, deferred)
	}
}

// handleSynced releases the deferred effects of all steps up to a watermark.
func (c *Core) handleSynced(now int64, watermark uint64) {
	d := &c.disk
	if d.failed && watermark >= d.repairWatermark && d.repairWatermark > 0 {
		d.failed, d.repairWatermark, d.retryAt = false, 0, 0
		c.logf(result.VoterDiskRecovered, "%s", c.self)
	}
	for len(d.unsynced) > 0 && d.unsynced[0].watermark <= watermark {
		deferred := d.unsynced[0]
		d.unsynced = d.unsynced[1:]
		c.releaseSynced(now, deferred)
	}
}

// releaseSynced applies the deferred effects of an acceptor step.
func (c *Core) releaseSynced(now int64, deferred unsyncedStep) {
	for _, register := range deferred.registers {
		c.registerSynced(now, register)
	}
	if deferred.activeMembership != c.disk.activeMembership {
		c.disk.activeMembership = deferred.activeMembership
		c.changes.membershipChanged()
		if deferred.activeMembership > 0 {
			c.disk.activatedAt = now
			c.logf(result.VoterStarted, "%s started to vote under membership %d", c.self, deferred.activeMembership)
		}
	}
	c.send(deferred.sends...)
}

// registerSynced records that an accepted value of a register is on disk, so that it is
// sent to pollers.
func (c *Core) registerSynced(now int64, register *schema.RegisterState) {
	c.disk.registers[register.Key] = register
	c.changes.registerChanged(register.Key, register.Value.Revision)
	c.trackFreeze(now, register)
}

// handleSyncFailed stops the acceptor until a snapshot of its complete state is on disk.
func (c *Core) handleSyncFailed(now int64, cause string) {
	if !c.disk.failed {
		c.disk.failed = true
		c.logf(result.VoterDiskFailed, "%s", cause)
	}
	c.disk.retryAt = now + diskRetryInterval.Microseconds()
}

// retryDisk adds a snapshot of the complete state to the log when the next attempt after
// a failed write is due.
func (c *Core) retryDisk(now int64) {
	d := &c.disk
	if d.failed && d.retryAt > 0 && now >= d.retryAt {
		d.retryAt = 0
		c.effects.Log = append(c.effects.Log, c.Snapshot())
		d.repairWatermark = d.watermark + 1
	}
}
