package querytable

import "time"

const (
	// initialOutageEstimate is the assumed duration of an outage until this node has
	// observed one.
	initialOutageEstimate = time.Second
	// outageWeight replaces averageWeight for outages, of which there are few.
	outageWeight = 4
)

// outage tracks the time during which the primary accepts no new queries. Times are in
// microseconds.
type outage struct {
	since     int64 // start of the current outage, 0 if there is none
	averageUs int64 // moving average of the durations of past outages
}

// retryAfterUs starts an outage if there is none and returns its expected remaining time
// in microseconds: the average duration of past outages less the time since the start.
func (o *outage) retryAfterUs(now int64) int64 {
	if o.since == 0 {
		o.since = now
	}
	return max(shortRetryDelay.Microseconds(), o.since+o.averageUs-now)
}

// end ends the outage and adds its duration to the average.
func (o *outage) end(now int64) {
	o.averageUs += (now - o.since - o.averageUs) / outageWeight
	o.since = 0
}

// checkOutageEnd ends the outage once the primary accepts queries again according to a
// poll that began after the start of the outage.
func (t *Table) checkOutageEnd(now int64) {
	if t.outage.since == 0 {
		return
	}
	p, ok := t.desired.member(t.desired.Primary)
	if ok && !t.closedToQueries(p) && !t.unresponsive(now, p.Name) && t.primaryFollowed(now) && t.members[p.Name].pollStartedAt > t.outage.since {
		t.outage.end(now)
	}
}
