package control

import (
	"stoneford/paxos"
	"stoneford/result"
)

// reachesMajority says that no more voters are known to be silent than a majority
// can do without. What is told to operators rests on a reading of its own; this is
// only how a process that is cut off refuses at once (design 17).
func (c *Core) reachesMajority() bool {
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
