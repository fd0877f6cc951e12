package coordinator

import (
	"maps"
	"math"
	"slices"

	"stoneford/internal/invariant"
	"stoneford/internal/learner"
	"stoneford/internal/ports"
	"stoneford/result"
)

// Contact with a majority before serving (design 17). Whatever only the newest
// state can justify is said on the word of a majority of the voters, and a
// process that has no such word says at once that it cannot serve.

const (
	// replyTimeout is how long a caller waits at most for an answer. Callers move
	// on to another process after a second of silence.
	replyTimeout = 800_000
	// replyTimeoutPerRoute is added for each route of an order: callers wait longer for
	// large ones.
	replyTimeoutPerRoute = 3_000
)

// pendingCall is a caller that waits for an answer that rests on a majority.
type pendingCall struct {
	deadline int64
	refusal  any // the effect that says that this process cannot serve now
}

// inContact says that this process holds a lease: a majority of the voters
// returned a look that it sent within the last voterview.LeaseDurationUs, and none of
// them holds a newer routing table than this process works by.
func (c *Core) inContact(now int64) bool { return now < c.learner.LeaseUntil() }

// admitCall registers a caller, or refuses it at once if there is no contact with a
// majority. The refusal is what the caller is told if the contact is lost, or the
// time is over, before answer is called.
func (c *Core) admitCall(now int64, id uint64, within int64, refusal any) bool {
	if !c.inContact(now) {
		c.effects.Do = append(c.effects.Do, refusal)
		return false
	}
	c.pendingCalls[id] = &pendingCall{deadline: now + within, refusal: refusal}
	return true
}

// finishCall ends a call, unless it was refused before. An answer that comes after
// the call's time may be out of date, so the call is refused then.
func (c *Core) finishCall(now int64, id uint64, effect any) {
	k := c.pendingCalls[id]
	if k == nil {
		return
	}
	delete(c.pendingCalls, id)
	if now >= k.deadline {
		effect = k.refusal
	}
	c.effects.Do = append(c.effects.Do, effect)
}

// rejectCalls ends the calls whose time is over, and all of them once the contact
// with a majority is lost.
func (c *Core) rejectCalls(now int64) {
	for _, id := range slices.Sorted(maps.Keys(c.pendingCalls)) {
		if k := c.pendingCalls[id]; now >= k.deadline || !c.inContact(now) {
			delete(c.pendingCalls, id)
			c.effects.Do = append(c.effects.Do, k.refusal)
		}
	}
}

// contactLostThreshold is how long this process is without a lease until it says so in its
// log.
const contactLostThreshold = 1_500_000

// logContact says when no majority has vouched for long for what this process knows,
// with what is known of each voter, and when that is over.
func (c *Core) logContact(now int64) {
	until := c.learner.LeaseUntil()
	switch {
	case now < until && c.contactLostLogged:
		c.contactLostLogged = false
		c.logf(result.QuorumContactRestored, "%s", c.self)
	case now >= until+contactLostThreshold && until > 0 && !c.contactLostLogged:
		c.contactLostLogged = true
		c.logf(result.QuorumContactLost, "the lease was over %d ms ago; %s", (now-until)/1000, c.learner.DescribeRegister(now, learner.TableKey))
	}
}

// logViolations says which checks failed for the first time.
func (c *Core) logViolations() {
	for _, checks := range []*invariant.Checks{&c.checks, c.learner.Checks()} {
		for _, v := range checks.TakeNew() {
			c.logf(result.InvariantBroken, "%s: %s", v.Rule, v.Detail)
		}
	}
}

// Violations counts the checks that failed in this run, by rule.
func (c *Core) Violations() map[string]int64 {
	return invariant.Merge(c.checks.Counts(), c.learner.Checks().Counts())
}

// callsDue is when rejectCalls has something to do next.
func (c *Core) callsDue() int64 {
	due := int64(math.MaxInt64)
	for _, k := range c.pendingCalls {
		due = min(due, k.deadline, c.learner.LeaseUntil())
	}
	return due
}

// changeUnavailable is the result of an order that this process cannot decide now. The
// order may or may not be in force.
var changeUnavailable = ports.ChangeResult{Outcome: ports.Unavailable}
