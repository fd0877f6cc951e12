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
	// maxUnsyncedSteps is how many steps may wait for the disk until the acceptor takes
	// part in nothing more. It bounds the memory that a hanging disk costs.
	maxUnsyncedSteps = 64
	// diskRetryInterval is the time from a refusal of the disk until it is tried again.
	diskRetryInterval = 500 * time.Millisecond
)

// voterDisk is what the acceptor holds as far as it is on disk, and what waits for the
// disk. The acceptor itself is ahead of it.
type voterDisk struct {
	registers map[string]*schema.RegisterState // accepted, by key
	// activeMembership is the number of the membership that this process votes under, 0
	// for none.
	activeMembership uint64
	// activatedAt is since when it votes under that one, 0 if it did at the start.
	activatedAt int64

	watermark uint64 // of the newest entries handed out
	unsynced  []unsyncedStep

	failed bool // the disk refused entries, and has not taken the state since
	// repairWatermark is that of the snapshot which ends the failure, 0 before it is
	// handed out.
	repairWatermark uint64
	retryAt         int64 // when the disk is tried again, 0 while it is tried
}

// unsyncedStep is what a step of the acceptor asks for, until its entries are on disk.
type unsyncedStep struct {
	watermark        uint64
	sends            []statemachine.Send
	registers        []*schema.RegisterState
	activeMembership uint64
}

// available reports whether the acceptor takes part: not while its disk refuses, nor
// while much waits for it.
func (d *voterDisk) available() bool { return !d.failed && len(d.unsynced) < maxUnsyncedSteps }

// due is when the disk is tried again.
func (d *voterDisk) due() int64 {
	if d.failed && d.retryAt > 0 {
		return d.retryAt
	}
	return math.MaxInt64
}

// votedSince reports whether this process has voted under its membership for a time.
// What the voters of the one before were asked, and answered, is not known here.
func (d *voterDisk) votedSince(now int64, period time.Duration) bool {
	return d.activatedAt == 0 || now-d.activatedAt >= period.Microseconds()
}

// isVoting reports whether this process's acceptor votes, as far as its disk says so.
func (c *Core) isVoting() bool { return c.disk.activeMembership > 0 }

// deferAcceptorEffects defers what a step of the acceptor asks for until its entries, and
// those of the steps before it, are on disk.
func (c *Core) deferAcceptorEffects(now int64, effects paxos.Effects) {
	deferred := unsyncedStep{sends: effects.Send, activeMembership: c.acceptor.ActiveMembership()}
	for _, key := range effects.AcceptedKeys {
		if key != paxos.MembershipKey { // it is reported as a membership once it is committed
			deferred.registers = append(deferred.registers, c.acceptor.RegisterState(key))
		}
	}
	c.deferUntilSynced(now, effects.Log, deferred)
}

func (c *Core) deferUntilSynced(now int64, entries []*schema.WALEntry, deferred unsyncedStep) {
	c.effects.Log = append(c.effects.Log, entries...)
	switch {
	case len(c.effects.Log) > 0:
		deferred.watermark = c.disk.watermark + 1 // of the entries of this step
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

// handleSynced releases what waited for entries that are on disk now.
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

// releaseSynced lets take effect what a step of the acceptor asked for.
func (c *Core) releaseSynced(now int64, deferred unsyncedStep) {
	for _, register := range deferred.registers {
		c.registerSynced(now, register)
	}
	if deferred.activeMembership != c.disk.activeMembership {
		c.disk.activeMembership = deferred.activeMembership
		c.changes.membershipChanged()
		if deferred.activeMembership > 0 {
			c.disk.activatedAt = now
			c.logf(result.VoterStarted, "%s votes under membership %d", c.self, deferred.activeMembership)
		}
	}
	c.send(deferred.sends...)
}

// registerSynced notes that what the acceptor accepted of a register is on disk.
func (c *Core) registerSynced(now int64, register *schema.RegisterState) {
	c.disk.registers[register.Key] = register
	c.changes.registerChanged(register.Key, register.Value.Revision)
	c.trackFreeze(now, register)
}

// handleSyncFailed stops the acceptor until the disk takes its complete state.
func (c *Core) handleSyncFailed(now int64, cause string) {
	if !c.disk.failed {
		c.disk.failed = true
		c.logf(result.VoterDiskFailed, "%s", cause)
	}
	c.disk.retryAt = now + diskRetryInterval.Microseconds()
}

// retryDisk hands out the complete state once more after the disk refused entries.
func (c *Core) retryDisk(now int64) {
	d := &c.disk
	if d.failed && d.retryAt > 0 && now >= d.retryAt {
		d.retryAt = 0
		c.effects.Log = append(c.effects.Log, c.Snapshot())
		d.repairWatermark = d.watermark + 1
	}
}
