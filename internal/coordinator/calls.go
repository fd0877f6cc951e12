package coordinator

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// replyTimeout limits how long a caller waits for a reply. It is below one second,
	// after which callers without a reply try another process.
	replyTimeout = 800 * time.Millisecond
	// replyTimeoutPerRoute is added for each route of a change, because callers wait
	// longer for large changes.
	replyTimeoutPerRoute = 3 * time.Millisecond
)

// pendingCall is a call that waits for a reply that depends on a majority.
type pendingCall struct {
	deadline int64
	refusal  Effect // reply that is sent if the call cannot be served
}

// admitCall registers a call, or refuses it at once without contact with a majority. The
// refusal is also the reply if the contact is lost or the timeout passes before
// finishCall.
func (c *Core) admitCall(now int64, id uint64, timeout time.Duration, refusal Effect) bool {
	if !c.inContact(now) {
		c.emit(refusal)
		return false
	}
	c.calls[id] = &pendingCall{deadline: now + timeout.Microseconds(), refusal: refusal}
	return true
}

// finishCall replies to a call, unless the call was refused before. After the deadline it
// sends the refusal instead, because the reply may be out of date.
func (c *Core) finishCall(now int64, id uint64, reply Effect) {
	call := c.calls[id]
	if call == nil {
		return
	}
	delete(c.calls, id)
	if now >= call.deadline {
		reply = call.refusal
	}
	c.emit(reply)
}

// refuseCalls refuses the calls whose deadline has passed, and all calls if the contact
// with a majority is lost.
func (c *Core) refuseCalls(now int64) {
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		if call := c.calls[id]; now >= call.deadline || !c.inContact(now) {
			delete(c.calls, id)
			c.emit(call.refusal)
		}
	}
}

// callsDue returns the time at which refuseCalls has work next.
func (c *Core) callsDue() int64 {
	due := int64(math.MaxInt64)
	for _, call := range c.calls {
		due = min(due, call.deadline, c.learner.LeaseUntil())
	}
	return due
}
