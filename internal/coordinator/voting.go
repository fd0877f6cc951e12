package coordinator

import (
	"stoneford/paxos"
	"stoneford/result"
	"stoneford/schema"
	"stoneford/statemachine"
)

// newcomerCatchUpDelay is how long a voter that is new leaves it to the others to settle what
// was accepted before.
const newcomerCatchUpDelay = 3_000_000

// unsyncedStep is what a voter's step asks for, until its entries are on disk.
type unsyncedStep struct {
	watermark        uint64
	sends            []statemachine.Send
	cells            []*schema.RegisterState
	activeMembership uint64
}

// handleSynced lets go of what waited for entries that are on disk now.
func (c *Core) handleSynced(now int64, mark uint64) {
	if c.diskUnhealthy && mark >= c.repairWatermark && c.repairWatermark > 0 {
		c.diskUnhealthy, c.repairWatermark, c.diskRetryAt = false, 0, 0
		c.logf(result.VoterDiskRecovered, "%s", c.self)
	}
	for len(c.unsynced) > 0 && c.unsynced[0].watermark <= mark {
		h := c.unsynced[0]
		c.unsynced = c.unsynced[1:]
		c.release(now, h)
	}
}

func (c *Core) release(now int64, h unsyncedStep) {
	for _, d := range h.cells {
		c.syncedCells[d.Key] = d
		c.increment(d.Key)
		c.noteAccepted(now, d.Key)
	}
	if h.activeMembership != c.activeMembership {
		c.activeMembership = h.activeMembership
		c.membershipToReport()
		if h.activeMembership > 0 {
			c.activatedAt = now
			c.logf(result.VoterStarted, "%s votes under membership %d", c.self, h.activeMembership)
		}
	}
	c.send(h.sends...)
}

// retryDisk hands out the whole state once more after the disk refused entries.
func (c *Core) retryDisk(now int64) {
	if c.diskUnhealthy && c.diskRetryAt > 0 && now >= c.diskRetryAt {
		c.diskRetryAt = 0
		c.effects.Log = append(c.effects.Log, c.Snapshot())
		c.repairWatermark = c.watermark + 1
	}
}

// acceptorAvailable says whether the voter takes part: not while its disk refuses, nor while
// much waits for it.
func (c *Core) acceptorAvailable() bool {
	return !c.diskUnhealthy && len(c.unsynced) < maxUnsyncedSteps
}

// holdAcceptorEffects holds what a voter's step asks for until its entries, and those of the
// steps before it, are on disk.
func (c *Core) holdAcceptorEffects(now int64, fx paxos.Effects) {
	h := unsyncedStep{sends: fx.Send, activeMembership: c.acceptor.ActiveMembership()}
	for _, k := range fx.AcceptedKeys {
		if k == paxos.MembershipKey {
			continue // told as a membership once it is chosen
		}
		h.cells = append(h.cells, c.acceptor.RegisterState(k))
	}
	c.holdUntilSynced(now, fx.Log, h)
}

func (c *Core) holdUntilSynced(now int64, log []*schema.WALEntry, h unsyncedStep) {
	c.effects.Log = append(c.effects.Log, log...)
	switch {
	case len(log) > 0 || len(c.effects.Log) > 0:
		h.watermark = c.watermark + 1
	case len(c.unsynced) > 0:
		h.watermark = c.unsynced[len(c.unsynced)-1].watermark
	default:
		c.release(now, h)
		return
	}
	if len(log) > 0 || len(h.sends) > 0 || len(h.cells) > 0 || h.activeMembership != c.activeMembership {
		c.unsynced = append(c.unsynced, h)
	}
}

func (c *Core) takeProposerEffects(now int64, fx paxos.ProposerEffects) {
	c.send(fx.Send...)
	for _, o := range fx.Outcomes {
		if o.Value != nil && o.Change.Key != paxos.MembershipKey {
			c.learner.Learn(now, o.Change.Key, o.Value, c.proposer.Membership().Number)
			c.applyLearned(now)
		}
		if f := c.pendingProposals[o.Change.ID]; f != nil {
			delete(c.pendingProposals, o.Change.ID)
			f(now, o)
		}
	}
}

func (c *Core) propose(now int64, ch paxos.Change, f func(int64, paxos.Outcome)) {
	c.pendingProposals[ch.ID] = f
	c.takeProposerEffects(now, c.proposer.Propose(now, ch))
}

func (c *Core) readRegister(now int64, key string, f func(int64, paxos.Outcome)) {
	c.propose(now, paxos.Change{ID: c.proposalName(), Key: key, ReadOnly: true, Deadline: now + changeTimeout}, f)
}

// isVoting reports whether this process's acceptor votes, as far as its disk says so.
func (c *Core) isVoting() bool { return c.activeMembership > 0 }

// catchUpRegisters settles registers of which a voter holds more than is known as agreed:
// whoever made the revision may have died before a majority had it. So it does with
// those that were accepted under an earlier membership.
func (c *Core) catchUpRegisters(now int64) {
	if !c.isVoting() || now < c.nextCatchUp {
		return
	}
	if c.acceptor.IsNewcomer() && now-c.activatedAt < newcomerCatchUpDelay {
		return // the others settle what was accepted before it came
	}
	c.nextCatchUp = now + catchUpInterval/2
	for _, k := range c.acceptor.AcceptedKeys() {
		switch {
		case c.learner.UpToDate(k) || !c.learner.Unconfirmed(k) && !c.acceptor.Stale(k):
			delete(c.catchUpAt, k)
		case c.catchUpAt[k] == 0:
			c.catchUpAt[k] = now + catchUpInterval + int64(statemachine.Hash(c.self, k)%catchUpInterval)
		case now >= c.catchUpAt[k]:
			c.catchUpAt[k] = now + 2*catchUpInterval
			c.readRegister(now, k, func(int64, paxos.Outcome) {})
		}
	}
}

// Snapshot is the whole state of the acceptor as one entry of the log.
func (c *Core) Snapshot() *schema.WALEntry { return c.acceptor.Snapshot() }
