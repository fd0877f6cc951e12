package coordinator

import (
	"maps"
	"math"
	"slices"

	"stoneford/invariant"
	"stoneford/ports"
	"stoneford/result"
	"stoneford/voterview"
)

// Contact with a majority before serving (design 17). Whatever only the newest
// state can justify is said on the word of a majority of the voters, and a
// process that has no such word says at once that it cannot serve.

const (
	// answerWithin is how long a caller waits at most for an answer. Callers move
	// on to another process after a second of silence.
	answerWithin = 800_000
	// answerPerRoute is added for each route of an order: callers wait longer for
	// large ones.
	answerPerRoute = 3_000
)

// call is a caller that waits for an answer that rests on a majority.
type call struct {
	until   int64
	refusal any // the effect that says that this process cannot serve now
}

// inContact says that this process holds a lease: a majority of the voters
// returned a look that it sent within the last voterview.LeaseUs, and none of
// them holds a newer routing table than this process works by.
func (c *Core) inContact(now int64) bool { return now < c.view.LeaseUntil() }

// admit registers a caller, or refuses it at once if there is no contact with a
// majority. The refusal is what the caller is told if the contact is lost, or the
// time is over, before answer is called.
func (c *Core) admit(now int64, id uint64, within int64, refusal any) bool {
	if !c.inContact(now) {
		c.fx.Do = append(c.fx.Do, refusal)
		return false
	}
	c.calls[id] = &call{until: now + within, refusal: refusal}
	return true
}

// answer ends a call, unless it was refused before. An answer that comes after
// the call's time may be out of date, so the call is refused then.
func (c *Core) answer(now int64, id uint64, effect any) {
	k := c.calls[id]
	if k == nil {
		return
	}
	delete(c.calls, id)
	if now >= k.until {
		effect = k.refusal
	}
	c.fx.Do = append(c.fx.Do, effect)
}

// refuseCalls ends the calls whose time is over, and all of them once the contact
// with a majority is lost.
func (c *Core) refuseCalls(now int64) {
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		if k := c.calls[id]; now >= k.until || !c.inContact(now) {
			delete(c.calls, id)
			c.fx.Do = append(c.fx.Do, k.refusal)
		}
	}
}

// contactLostUs is how long this process is without a lease until it says so in its
// log.
const contactLostUs = 1_500_000

// noteContact says when no majority has vouched for long for what this process knows,
// with what is known of each voter, and when that is over.
func (c *Core) noteContact(now int64) {
	until := c.view.LeaseUntil()
	switch {
	case now < until && c.lost:
		c.lost = false
		c.say(result.ContactBack, "%s", c.self)
	case now >= until+contactLostUs && until > 0 && !c.lost:
		c.lost = true
		c.say(result.ContactLost, "the lease was over %d ms ago; %s", (now-until)/1000, c.view.Standing(now, voterview.TableKey))
	}
}

// noteViolations says which checks failed for the first time.
func (c *Core) noteViolations() {
	for _, checks := range []*invariant.Checks{&c.checks, c.view.Checks()} {
		for _, v := range checks.Take() {
			c.say(result.InvariantBroken, "%s: %s", v.Rule, v.Text)
		}
	}
}

// Violations counts the checks that failed in this run, by rule.
func (c *Core) Violations() map[string]int64 {
	return invariant.Merge(c.checks.Counts(), c.view.Checks().Counts())
}

// callsDue is when refuseCalls has something to do next.
func (c *Core) callsDue() int64 {
	due := int64(math.MaxInt64)
	for _, k := range c.calls {
		due = min(due, k.until, c.view.LeaseUntil())
	}
	return due
}

// unavailable is the result of an order that this process cannot decide now. The
// order may or may not be in force.
var unavailable = ports.ChangeResult{Outcome: ports.Unavailable}
