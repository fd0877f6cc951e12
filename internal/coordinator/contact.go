package coordinator

import (
	"time"

	"stoneford/internal/learner"
	"stoneford/result"
)

// contactLostThreshold is the time after the end of the lease at which the process logs
// that it lost contact with a majority.
const contactLostThreshold = 1500 * time.Millisecond

// contact tracks this process's contact with a majority of the voters.
type contact struct {
	disconnectedAt  int64 // last time at which this process had no lease
	everLackedLease bool  // whether lacksLease was true at least once in this run
	lostLogged      bool  // whether the current loss of contact was logged
}

// inContact reports whether this process holds a lease: a majority of the voters
// answered a poll that it sent within the last learner.LeaseDuration, and none of them
// has a newer routing table than this process has applied (design 17).
func (c *Core) inContact(now int64) bool { return now < c.learner.LeaseUntil() }

// logContact logs that the contact with a majority was lost for contactLostThreshold,
// with the last known state of each voter, and that it was restored.
func (c *Core) logContact(now int64) {
	until := c.learner.LeaseUntil()
	switch {
	case now < until && c.contact.lostLogged:
		c.contact.lostLogged = false
		c.logf(result.QuorumContactRestored, "lease renewed at %s", c.self)
	case now >= until+contactLostThreshold.Microseconds() && until > 0 && !c.contact.lostLogged:
		c.contact.lostLogged = true
		c.logf(result.QuorumContactLost, "lease expired %d ms ago; %s", (now-until)/1000, c.learner.DescribeRegister(now, learner.TableKey))
	}
}
