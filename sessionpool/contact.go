package sessionpool

import (
	"fmt"

	"stoneford/invariant"
	"stoneford/result"
	"stoneford/sessiontable"
	"stoneford/voterview"
)

// contactLostUs is how long a node is without a lease until it says so in its log.
const contactLostUs = 1_000_000

// contact is what the log was told of the node's contact with the voters.
type contact struct {
	lost     bool  // the log was told that there is none
	since    int64 // when the lease that is over ran out
	behindUs int64 // when a voter was first seen with a newer routing table, 0 if none is
}

// noteContact says when no majority has vouched for long for what the node works
// by, with what is known of each voter, and when that is over.
func (c *Core) noteContact(now int64, fx *Effects) {
	until := c.view.LeaseUntil()
	switch {
	case now < until && c.contact.lost:
		c.contact.lost = false
		c.log(fx, result.ContactBack, "after %d ms", (now-c.contact.since)/1000)
	case now >= until+contactLostUs && until > 0 && !c.contact.lost:
		c.contact.lost, c.contact.since = true, until
		c.log(fx, result.ContactLost, "the lease was over %d ms ago; %s", (now-until)/1000, c.view.Standing(now, voterview.TableKey))
	}
}

// noteTable says that another routing table is in force here, and how long after a
// voter was first seen with it.
func (c *Core) noteTable(now int64, fx *Effects) {
	late := int64(0)
	if c.contact.behindUs > 0 {
		late = (now - c.contact.behindUs) / 1000
	}
	c.contact.behindUs = 0
	c.log(fx, result.RevisionApplied, "routes revision %d, the operators' %d, %d ms after it was first heard of", c.rev, c.table.Revision, late)
}

// noteBehind takes down since when a voter is known to hold a newer routing table.
func (c *Core) noteBehind(now int64) {
	if c.contact.behindUs == 0 && c.view.Doubt(voterview.TableKey) {
		c.contact.behindUs = now
	}
}

// noteViolations says which checks failed for the first time.
func (c *Core) noteViolations(fx *Effects) {
	for _, checks := range []*invariant.Checks{&c.checks, c.view.Checks(), c.Table.Checks()} {
		for _, v := range checks.Take() {
			c.log(fx, result.InvariantBroken, "%s: %s", v.Rule, v.Text)
		}
	}
}

// Violations counts the checks that failed in this run, by rule.
func (c *Core) Violations() map[string]int64 {
	return invariant.Merge(c.checks.Counts(), c.view.Checks().Counts(), c.Table.Checks().Counts())
}

func (c *Core) log(fx *Effects, code result.Code, format string, a ...any) {
	fx.Do = append(fx.Do, sessiontable.Say{Code: code, Text: fmt.Sprintf(format, a...)})
}
