package coordinator

import (
	"stoneford/paxos"
	"stoneford/result"
	"stoneford/schema"
	"stoneford/step"
)

// newcomerWait is how long a voter that is new leaves it to the others to settle what
// was accepted before.
const newcomerWait = 3_000_000

// held is what a voter's step asks for, until its entries are on disk.
type held struct {
	mark   uint64
	sends  []step.Send
	cells  []*schema.Cell
	active uint64
}

// synced lets go of what waited for entries that are on disk now.
func (c *Core) synced(now int64, mark uint64) {
	if c.ill && mark >= c.mend && c.mend > 0 {
		c.ill, c.mend, c.diskAt = false, 0, 0
		c.say(result.VoterBack, "%s", c.self)
	}
	for len(c.held) > 0 && c.held[0].mark <= mark {
		h := c.held[0]
		c.held = c.held[1:]
		c.release(now, h)
	}
}

func (c *Core) release(now int64, h held) {
	for _, d := range h.cells {
		c.cells[d.Key] = d
		c.bump(d.Key)
		c.accepted(now, d.Key)
	}
	if h.active != c.active {
		c.active = h.active
		c.noteMembership()
		if h.active > 0 {
			c.activated = now
			c.say(result.VoterFormed, "%s votes under membership %d", c.self, h.active)
		}
	}
	c.send(h.sends...)
}

// tryDisk hands out the whole state once more after the disk refused entries.
func (c *Core) tryDisk(now int64) {
	if c.ill && c.diskAt > 0 && now >= c.diskAt {
		c.diskAt = 0
		c.fx.Log = append(c.fx.Log, c.Snapshot())
		c.mend = c.mark + 1
	}
}

// takes says whether the voter takes part: not while its disk refuses, nor while
// much waits for it.
func (c *Core) takes() bool { return !c.ill && len(c.held) < mostHeld }

// voted holds what a voter's step asks for until its entries, and those of the
// steps before it, are on disk.
func (c *Core) voted(now int64, fx paxos.Effects) {
	h := held{sends: fx.Send, active: c.voter.Active()}
	for _, k := range fx.Accepted {
		if k == paxos.MembershipKey {
			continue // told as a membership once it is chosen
		}
		h.cells = append(h.cells, c.voter.Cell(k))
	}
	c.hold(now, fx.Log, h)
}

func (c *Core) hold(now int64, log []*schema.VoterLog, h held) {
	c.fx.Log = append(c.fx.Log, log...)
	switch {
	case len(log) > 0 || len(c.fx.Log) > 0:
		h.mark = c.mark + 1
	case len(c.held) > 0:
		h.mark = c.held[len(c.held)-1].mark
	default:
		c.release(now, h)
		return
	}
	if len(log) > 0 || len(h.sends) > 0 || len(h.cells) > 0 || h.active != c.active {
		c.held = append(c.held, h)
	}
}

func (c *Core) proposed(now int64, fx paxos.ProposerEffects) {
	c.send(fx.Send...)
	for _, o := range fx.Outcomes {
		if o.Value != nil && o.Change.Key != paxos.MembershipKey {
			c.view.Learn(now, o.Change.Key, o.Value, c.proposer.Membership().Number)
			c.learned(now)
		}
		if f := c.pending[o.Change.Name]; f != nil {
			delete(c.pending, o.Change.Name)
			f(now, o)
		}
	}
}

func (c *Core) ask(now int64, ch paxos.Change, f func(int64, paxos.Outcome)) {
	c.pending[ch.Name] = f
	c.proposed(now, c.proposer.Ask(now, ch))
}

func (c *Core) read(now int64, key string, f func(int64, paxos.Outcome)) {
	c.ask(now, paxos.Change{Name: c.name(), Key: key, Read: true, Deadline: now + changeExpiry}, f)
}

// votes reports whether this process's acceptor votes, as far as its disk says so.
func (c *Core) votes() bool { return c.active > 0 }

// catchUp settles registers of which a voter holds more than is known as agreed:
// whoever made the revision may have died before a majority had it. So it does with
// those that were accepted under an earlier membership.
func (c *Core) catchUp(now int64) {
	if !c.votes() || now < c.nextCatch {
		return
	}
	if c.voter.Newcomer() && now-c.activated < newcomerWait {
		return // the others settle what was accepted before it came
	}
	c.nextCatch = now + catchUpEvery/2
	for _, k := range c.voter.Keys() {
		switch {
		case c.view.Settled(k) || !c.view.Doubt(k) && !c.voter.Stale(k):
			delete(c.catching, k)
		case c.catching[k] == 0:
			c.catching[k] = now + catchUpEvery + int64(step.Hash(c.self, k)%catchUpEvery)
		case now >= c.catching[k]:
			c.catching[k] = now + 2*catchUpEvery
			c.read(now, k, func(int64, paxos.Outcome) {})
		}
	}
}

// Snapshot is the whole state of the acceptor as one entry of the log.
func (c *Core) Snapshot() *schema.VoterLog { return c.voter.Snapshot() }
