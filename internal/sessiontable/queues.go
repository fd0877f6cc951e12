package sessiontable

import (
	"cmp"
	"slices"
)

// maxRank is the greatest rank with its own count in a queue; greater ranks are counted
// as this one.
const maxRank = 7

// newRequestQueue returns an empty queue. A request is in one queue at a time.
func newRequestQueue() heap[*request] {
	return heap[*request]{less: queuedBefore, index: func(req *request) *int { return &req.queueIndex }}
}

// queuedBefore is the order of a queue: requests of transactions that have a connection
// first, then by rank, then by arrival.
func queuedBefore(a, b *request) bool {
	if hasConnection := a.hasConnection(); hasConnection != b.hasConnection() {
		return hasConnection
	}
	if a.route.Rank != b.route.Rank {
		return a.route.Rank < b.route.Rank
	}
	return a.sequence < b.sequence
}

// rank returns the priority of a request, 0 being the most urgent.
func (r *request) rank() int { return min(max(r.route.Rank, 0), maxRank) }

// enqueue adds a request to a database's queue, or rejects it if the queue is full or so
// long that the request would miss its latency target. A request whose transaction has a
// connection can run nowhere else, so it is always queued.
func (t *Table) enqueue(req *request, db *database) {
	if !req.hasConnection() {
		delay := t.queueDelayUs(req, db)
		late := delay > 0 && t.now+delay > req.latencyDeadlineUs && t.now < req.latencyDeadlineUs
		if db.queue.len() >= t.options.MaxQueue || late {
			req.retryAfterUs = delay
			t.reject(req)
			return
		}
	}
	t.waiting++
	req.db = db
	db.queue.push(req)
	db.queuedByRank[req.rank()]++
	t.timers.arm(&req.timer, max(min(t.waitLimitUs(req), req.deadlineUs), t.now+1))
	t.scheduleDispatch(db)
}

// waitInGroup adds a request to the queue of its group, and arms its timer for until.
func (t *Table) waitInGroup(req *request, until int64) {
	t.waiting++
	req.db = nil
	req.group.waiting.push(req)
	t.timers.arm(&req.timer, until)
}

// dequeue removes a request from its queue, if it is in one.
func (t *Table) dequeue(req *request) {
	req.waitsForReplica = false
	if req.queueIndex == 0 {
		return
	}
	t.waiting--
	if req.db != nil {
		req.db.queue.remove(req)
		req.db.queuedByRank[req.rank()]--
		req.db = nil
		return
	}
	req.group.waiting.remove(req)
}

// reassignQueued reassigns the requests in a database's queue that satisfy a condition.
func (t *Table) reassignQueued(db *database, condition func(*request) bool) {
	var requests []*request
	for _, req := range db.queue.items {
		if condition(req) {
			requests = append(requests, req)
		}
	}
	t.reassign(requests)
}

// reassignWaiting reassigns the requests in the queue of a group.
func (t *Table) reassignWaiting(group *databaseGroup) {
	if group.waiting.len() > 0 {
		t.reassign(slices.Clone(group.waiting.items))
	}
}

// reassign removes requests from their queues and assigns them again, in the order of
// arrival.
func (t *Table) reassign(requests []*request) {
	slices.SortFunc(requests, func(a, b *request) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, req := range requests {
		t.dequeue(req)
		t.assign(req)
	}
}

// queueDelayUs returns how long a request is expected to wait in a database's queue, in µs.
func (t *Table) queueDelayUs(req *request, db *database) int64 {
	ahead := db.running - db.overdue
	for rank := range req.rank() + 1 {
		ahead += db.queuedByRank[rank]
	}
	excess := ahead + 1 - int(db.concurrencyLimit)
	if excess <= 0 {
		return 0
	}
	return int64(float64(excess) * float64(t.expectedRunTimeUs(db, req.runClass())) / max(db.concurrencyLimit, 1))
}

// waitLimitUs returns until when a request may wait in its queue. A request that no
// database can run may wait for UnavailableWait, and before its first attempt for no more
// than a quarter of its latency target. In the queue of a working database it may wait
// until its latency target, less the expected run time. During a failover that should end
// before its latency target, it may wait until then, and for a quarter of the failover's
// duration longer. The last tenth of the time until its deadline is always reserved for
// the reply.
func (t *Table) waitLimitUs(req *request) int64 {
	wait := t.options.UnavailableWait.Microseconds()
	limit := req.arrivedUs + min(req.latencyTargetUs/4, wait)
	if req.attempts > 0 {
		limit = max(limit, req.assignedUs+wait)
	}
	if db := req.db; db != nil && db.failingSinceUs == 0 && len(db.connections) > db.openingConnections {
		limit = max(limit, req.latencyDeadlineUs-t.expectedRunTimeUs(db, req.runClass()))
	} else if since, ok := t.failoverSince(req.group); ok && (req.needsPrimary() || req.db == nil) {
		if end := t.failoverEndUs(req.group, since); end < req.latencyDeadlineUs {
			limit = max(limit, min(req.latencyDeadlineUs, end+(end-since)/4))
		}
	}
	return min(limit, req.deadlineUs-(req.deadlineUs-req.arrivedUs)/10)
}
