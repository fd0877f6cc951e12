package control

import (
	"stoneford/paxos"
	"stoneford/result"
)

// aloneAfter is how long so many voters have to be silent until calls are refused at
// once: a few lost envelopes have a voter suspected for a moment.
const aloneAfter = 500_000

// watchMajority notes since when this process hears no majority.
func (c *Core) watchMajority(now int64) {
	switch {
	case c.hearsMajority():
		c.aloneSince = 0
	case c.aloneSince == 0:
		c.aloneSince = now
	}
}

// reachesMajority reports whether this process has not been without a majority for
// some time. What is told to operators rests on a reading of its own; this is
// only how a process that is cut off refuses at once (design 17).
func (c *Core) reachesMajority() bool {
	return c.aloneSince == 0 || c.lastTick-c.aloneSince < aloneAfter
}

// hearsMajority reports whether no more voters are known to be silent than a majority
// can do without.
func (c *Core) hearsMajority() bool {
	silent := 0
	for _, v := range c.boot.Seeds {
		if v != c.self && c.down[v] {
			silent++
		}
	}
	return len(c.boot.Seeds)-silent > len(c.boot.Seeds)/2
}

// getConfiguration reads a partner's configuration through a majority.
func (c *Core) getConfiguration(now int64, e GetConfiguration) {
	if !c.reachesMajority() {
		c.fx.Do = append(c.fx.Do, Return{ID: e.ID, Code: result.NoVoterMajority})
		return
	}
	c.read(now, ConfigPrefix+e.Partner, func(_ int64, o paxos.Outcome) {
		c.fx.Do = append(c.fx.Do, Return{ID: e.ID, Code: verdict(o.Verdict, false), Revision: o.Value.GetRevision(), Text: text(o.Value)})
	})
}
