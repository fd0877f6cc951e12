package sessionpool

import (
	"fmt"
	"time"

	"stoneford/internal/invariant"
	"stoneford/internal/learner"
	"stoneford/internal/sessiontable"
	"stoneford/result"
)

// contactLostThreshold is the time after the end of the lease at which the node logs that it
// lost contact with a majority. A shorter time logs short outages too.
const contactLostThreshold = time.Second

// voterContact is the logged state of the node's contact with the voters.
type voterContact struct {
	lostLogged       bool  // the loss was logged
	lostSinceUs      int64 // end of the last lease
	newerTableSeenUs int64 // when a newer routing table was first reported by a voter, 0 if none is known
}

// logContact logs that the contact with a majority was lost for contactLostThreshold,
// with the last known state of each voter, and that it was restored.
func (c *Core) logContact(now int64, effects *Effects) {
	until := c.learner.LeaseUntil()
	switch {
	case now < until && c.contact.lostLogged:
		c.contact.lostLogged = false
		c.logf(effects, result.QuorumContactRestored, "lease renewed %d ms after the previous one expired", (now-c.contact.lostSinceUs)/1000)
	case now >= until+contactLostThreshold.Microseconds() && until > 0 && !c.contact.lostLogged:
		c.contact.lostLogged, c.contact.lostSinceUs = true, until
		c.logf(effects, result.QuorumContactLost, "lease expired %d ms ago; %s", (now-until)/1000, c.learner.DescribeRegister(now, learner.TableKey))
	}
}

// logTable logs that this node has applied a new routing table, and the time since a voter
// first reported that table. That time is 0 if the table was never unconfirmed here.
func (c *Core) logTable(now int64, effects *Effects) {
	delayMs := int64(0)
	if c.contact.newerTableSeenUs > 0 {
		delayMs = (now - c.contact.newerTableSeenUs) / 1000
	}
	c.contact.newerTableSeenUs = 0
	c.logf(effects, result.RevisionApplied, "routing table: register revision %d, operators' revision %d; applied %d ms after a voter first reported it", c.tableRevision, c.table.Revision, delayMs)
}

// recordNewerTable records when a voter first reported a newer routing table.
func (c *Core) recordNewerTable(now int64) {
	if c.contact.newerTableSeenUs == 0 && c.learner.Unconfirmed(learner.TableKey) {
		c.contact.newerTableSeenUs = now
	}
}

// logViolations logs invariants that were violated for the first time.
func (c *Core) logViolations(effects *Effects) {
	for _, checks := range []*invariant.Checks{&c.checks, c.learner.Checks(), c.Table.Checks()} {
		for _, v := range checks.TakeUnreported() {
			c.logf(effects, result.InvariantViolated, "%s: %s", v.Rule, v.Detail)
		}
	}
}

// Violations returns the numbers of invariant violations in this run, by rule.
func (c *Core) Violations() map[string]int64 {
	return invariant.MergeCounts(c.checks.Counts(), c.learner.Checks().Counts(), c.Table.Checks().Counts())
}

// logf adds an entry for the process's log to the effects.
func (c *Core) logf(effects *Effects, code result.Code, format string, a ...any) {
	effects.Table = append(effects.Table, sessiontable.LogEntry{Code: code, Text: fmt.Sprintf(format, a...)})
}
