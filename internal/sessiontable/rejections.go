package sessiontable

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"stoneford/internal/ports"
	"stoneford/result"
)

const (
	// rejectionLogInterval is the minimum time between log entries about rejections. A
	// longer interval summarizes more of them in one entry, but logs an overload later.
	rejectionLogInterval = time.Second
	// minRetryAfter is the minimum retry delay suggested to a rejected caller. A shorter
	// delay lets callers that cannot be served load the node.
	minRetryAfter = 20 * time.Millisecond
)

// rejectionLog counts this node's rejections by cause until the next log entry.
type rejectionLog struct {
	byCause  map[string]int
	loggedUs int64
}

// reject replies to a request that no database runs: with the last database's answer, or
// with Busy and a suggested retry delay.
func (t *Table) reject(req *request) {
	if last := req.rejection; last != nil && last.Code != ports.Busy {
		t.finish(req, ports.Reply{Code: last.Code, Text: last.Text, Body: last.Body})
		return
	}
	t.counts.Rejected++
	t.countRejectionCause(req.group.name + ": " + t.rejectionCause(req))
	retryAfterUs := req.retryAfterUs
	if since, ok := t.failoverSince(req.group); ok {
		retryAfterUs = max(retryAfterUs, t.failoverEndUs(req.group, since)-t.now)
	}
	ms := max(retryAfterUs/1000, minRetryAfter.Milliseconds())
	t.finish(req, ports.Reply{Code: ports.Busy, Text: "no database can take it now; retry after " + strconv.FormatInt(ms, 10) + " ms"})
}

// rejectionCause returns the reason why no database runs a request, for the log.
func (t *Table) rejectionCause(req *request) string {
	switch primary := t.primary(req.group); {
	case req.retryAfterUs > 0:
	case primary == nil && t.primaryDeniesRole(req.group):
		return "the primary denies its role"
	case primary == nil && req.group.hasLeadership && req.group.state.Phase == ports.PhaseServing:
		return "the primary is not announced"
	case primary == nil:
		return "the primary is being changed"
	case primary.failingSinceUs > 0:
		return "the primary cannot be used"
	case t.now < primary.backoffUntilUs:
		return "the primary accepts no more connections"
	case t.lacksLease(req):
		return "no lease"
	}
	return "the queue is too long"
}

// countRejectionCause counts a rejection, and logs the counts at most once per
// rejectionLogInterval.
func (t *Table) countRejectionCause(cause string) {
	if t.rejections.byCause == nil {
		t.rejections.byCause = map[string]int{}
	}
	t.rejections.byCause[cause]++
	if t.now < t.rejections.loggedUs+rejectionLogInterval.Microseconds() {
		return
	}
	t.rejections.loggedUs = t.now
	for _, cause := range slices.Sorted(maps.Keys(t.rejections.byCause)) {
		t.emit(LogEntry{Code: result.StatementsRejected, Text: strconv.Itoa(t.rejections.byCause[cause]) + " for " + cause})
	}
	clear(t.rejections.byCause)
}
