package control

import (
	"stoneford/paxos"
	"stoneford/result"
)

// majorityLossDelay is how long so many voters have to be silent until calls are refused at
// once: a few lost envelopes have a voter suspected for a moment.
const majorityLossDelay = 500_000

// watchMajority notes since when this process hears no majority.
func (c *Core) watchMajority(now int64) {
	switch {
	case c.hearsMajority():
		c.majorityLostAt = 0
	case c.majorityLostAt == 0:
		c.majorityLostAt = now
	}
}

// reachesMajority reports whether this process has not been without a majority for
// some time. What is told to operators rests on a reading of its own; this is
// only how a process that is cut off refuses at once (design 17).
func (c *Core) reachesMajority() bool {
	return c.majorityLostAt == 0 || c.lastTickAt-c.majorityLostAt < majorityLossDelay
}

// hearsMajority reports whether no more voters are known to be silent than a majority
// can do without.
func (c *Core) hearsMajority() bool {
	unresponsive := 0
	for _, v := range c.config.Seeds {
		if v != c.self && c.unresponsive[v] {
			unresponsive++
		}
	}
	return len(c.config.Seeds)-unresponsive > len(c.config.Seeds)/2
}

// getConfiguration reads a partner's configuration through a majority.
func (c *Core) getConfiguration(now int64, e GetConfiguration) {
	if !c.reachesMajority() {
		c.effects.Do = append(c.effects.Do, ConfigurationResult{ID: e.ID, Code: result.NoVoterMajority})
		return
	}
	c.readRegister(now, ConfigurationKeyPrefix+e.Partner, func(_ int64, o paxos.Outcome) {
		c.effects.Do = append(c.effects.Do, ConfigurationResult{ID: e.ID, Code: verdictCode(o.Verdict, false), Revision: o.Value.GetRevision(), Text: valueData(o.Value)})
	})
}
