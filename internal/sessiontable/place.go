package sessiontable

import (
	"maps"
	"slices"
	"strconv"

	"stoneford/freshness"
	"stoneford/internal/ports"
	"stoneford/result"
)

// runIndex is the average that a request counts in.
func (r *request) runIndex() int {
	i := int(r.route.Class) * 2
	if r.writes || r.commit {
		i++
	}
	return i
}

func (t *Table) runTime(db *database, i int) int64 {
	durationUs := t.options.RemoteZoneRunUs
	if db.Zone == t.zone {
		durationUs = t.options.LocalZoneRunUs
	}
	if db.runUs[i] == 0 || t.now > db.runUpdatedUs[i]+t.options.RunTimeRetentionUs && db.runUs[i] > durationUs {
		return durationUs // unknown, or so long ago that it is worth a try
	}
	return db.runUs[i]
}

// dequeue takes a request out of the line it waits in.
func (t *Table) dequeue(req *request) {
	req.waitsForReplica = false
	if req.queueIndex == 0 {
		return
	}
	t.waiting--
	if req.database != nil {
		req.database.queue.remove(req)
		req.database.queuedByRank[rankOf(req)]--
		req.database = nil
		return
	}
	req.group.waiting.remove(req)
}

func rankOf(req *request) int { return min(max(req.route.Rank, 0), 7) }

// assign finds where a request is to run (design 14.8, 14.10).
func (t *Table) assign(req *request) {
	if req.attempts != req.requeuedAttempts {
		req.requeuedAttempts, req.requeuedUs = req.attempts, t.now
	}
	if req.hasConnection() {
		t.enqueue(req, req.tx.connection.database)
		return
	}
	if req.group.state.Withheld {
		t.waitForPrimary(req)
		return
	}
	if req.needsPrimary() {
		t.assignPrimary(req)
		return
	}
	t.assignReplica(req)
}

func (t *Table) assignPrimary(req *request) {
	primary := t.primary(req.group)
	if primary == nil {
		t.waitForPrimary(req)
		return
	}
	if req.needsLease() && req.group.confirmedUntil <= req.mustSeeUs(t.options.StalenessMarginUs) {
		t.requestLease()
		t.waitForPrimary(req)
		return
	}
	req.needPosition = ports.Position{}
	if f := req.lastCommit(); f.Term == req.group.state.Term {
		req.needPosition = f // what an older term acknowledged, this primary holds
	}
	t.enqueue(req, primary)
}

// assignReplica is Refresco's choice among the copies (docs/refresco.md): the least sum
// of load, average run, wait for the level it needs, and crossing.
func (t *Table) assignReplica(req *request) {
	group := req.group
	staleness := req.route.MaxStalenessUs - t.options.StalenessMarginUs
	if !group.commits.Known() || staleness <= 0 {
		t.assignPrimary(req)
		return
	}
	i := req.runIndex()
	primary := t.primary(group)
	candidates := t.candidates[:0]
	for _, db := range group.databases {
		if db.ID == group.state.Primary || !t.acceptsReads(db, req) {
			continue
		}
		candidates = append(candidates, t.readCandidate(db, i, 0))
	}
	if primary != nil && group.confirmedUntil > req.mustSeeUs(t.options.StalenessMarginUs) && !slices.Contains(req.triedDatabases, primary.ID) && primary.failingSince == 0 {
		candidate := t.readCandidate(primary, i, t.options.PrimaryReadPenaltyUs)
		candidate.AppliedPosition = group.commits.PrimaryPosition()
		candidates = append(candidates, candidate)
	}
	t.candidates = candidates
	var floor int64
	sessionFloor := req.lastCommit()
	if sessionFloor.Term == group.commitsTerm {
		floor = sessionFloor.Number
	}
	f := freshness.Formula{Measure: freshness.Age, Threshold: staleness}
	choice, ok := freshness.Choose(&group.commits, f, floor, req.arrival(), candidates, t.rand.IntN)
	if !ok || primary != nil && choice.Replica == primary.ID {
		t.assignPrimary(req)
		return
	}
	db := t.databases[choice.Replica]
	req.needPosition = ports.Position{Term: group.commitsTerm, Number: choice.Position}
	if req.needPosition.Before(sessionFloor) {
		req.needPosition = sessionFloor
	}
	if choice.WaitUs > 0 {
		if at := t.now + choice.WaitUs; at <= t.waitLimit(req) {
			// It starts once the copy should have come to the level.
			req.database, req.waitsForReplica = nil, true
			t.waiting++
			group.waiting.push(req)
			t.arm(&req.timer, at)
			return
		}
		if primary != nil {
			t.assignPrimary(req)
			return
		}
	}
	t.enqueue(req, db)
}

func (t *Table) readCandidate(db *database, i int, extra int64) freshness.Replica {
	run := t.runTime(db, i)
	candidate := freshness.Replica{Name: db.ID, AverageRunUs: run + extra, LagUs: db.lagUs}
	candidate.LoadUs = int64(float64(db.running-db.stuck+db.queue.len()) * float64(run) / max(db.slots, 1))
	if db.Zone != t.zone {
		candidate.LoadUs += t.options.CrossZonePenaltyUs
	}
	if db.WarmupUs > 0 {
		candidate.LoadUs += run
	}
	if db.position.Term == db.group.commitsTerm {
		candidate.AppliedPosition = db.position.Number
	}
	return candidate
}

// acceptsReads says that a follower may be given something new.
func (t *Table) acceptsReads(db *database, req *request) bool {
	return !db.Draining && !db.wrongIdentity && db.failingSince == 0 && !slices.Contains(req.triedDatabases, db.ID) &&
		(t.now >= db.backoffUntil || len(db.idle) > 0)
}

// waitForPrimary has a request wait for a primary or a lease.
func (t *Table) waitForPrimary(req *request) {
	limit := t.waitLimit(req)
	if limit <= t.now {
		t.reject(req)
		return
	}
	t.waiting++
	req.database = nil
	req.group.waiting.push(req)
	t.arm(&req.timer, limit)
}

// enqueue has a request wait in an instance's line, unless that is too long for it.
func (t *Table) enqueue(req *request, db *database) {
	if !req.hasConnection() {
		estimate := t.estimate(req, db)
		if db.queue.len() >= t.options.MaxQueue || estimate > 0 && t.now+estimate > req.latencyTarget && t.now < req.latencyTarget {
			req.retryAfterUs = estimate
			t.reject(req)
			return
		}
	}
	t.waiting++
	req.database = db
	db.queue.push(req)
	db.queuedByRank[rankOf(req)]++
	t.arm(&req.timer, max(min(t.waitLimit(req), req.deadline), t.now+1))
	db.markChanged(t)
}

// estimate is how long the line before a request takes.
func (t *Table) estimate(req *request, db *database) int64 {
	n := db.running - db.stuck
	for r := range rankOf(req) + 1 {
		n += db.queuedByRank[r]
	}
	if n = n + 1 - int(db.slots); n <= 0 {
		return 0
	}
	return int64(float64(n) * float64(t.runTime(db, req.runIndex())) / max(db.slots, 1))
}

// waitLimit is until when a request may be held where it is. While no database can
// take it that is a short time; while a change of primary is expected to end
// within its aim, until a little past that; in the line of a database that
// works, its aim.
func (t *Table) waitLimit(req *request) int64 {
	earliest := req.arrivedUs + min(req.latencyTargetUs/4, t.options.UnavailableWaitUs)
	if req.attempts > 0 {
		earliest = max(earliest, req.requeuedUs+t.options.UnavailableWaitUs)
	}
	limit := earliest
	if db := req.database; db != nil && db.failingSince == 0 && len(db.connections) > db.opening {
		limit = max(limit, req.latencyTarget-t.runTime(db, req.runIndex()))
	} else if since, ok := t.failoverSince(req.group); ok && (req.needsPrimary() || req.database == nil) {
		if end := t.failoverEnd(req.group, since); end < req.latencyTarget {
			limit = max(limit, min(req.latencyTarget, end+(end-since)/4))
		}
	}
	return min(limit, req.deadline-(req.deadline-req.arrivedUs)/10)
}

// reject ends a request that no database runs, with what a database said of it or
// with the moment to come back at.
func (t *Table) reject(req *request) {
	if rejection := req.rejection; rejection != nil && rejection.Code != ports.Busy {
		t.finish(req, ports.Reply{Code: rejection.Code, Text: rejection.Text, Body: rejection.Body})
		return
	}
	t.counts.Rejected++
	t.countRejection(req)
	durationUs := req.retryAfterUs
	if since, ok := t.failoverSince(req.group); ok {
		durationUs = max(durationUs, t.failoverEnd(req.group, since)-t.now)
	}
	ms := max(durationUs/1000, 20)
	t.finish(req, ports.Reply{Code: ports.Busy, Text: "no database can take it now; retry after " + strconv.FormatInt(ms, 10) + " ms"})
}

// requestTimerFired is called when a request's moment has come.
func (t *Table) requestTimerFired(req *request) {
	if req.connection != nil {
		t.statementOverdue(req)
		return
	}
	if req.unconfirmed != nil {
		t.finish(req, ports.Reply{Code: ports.InDoubt, Text: "whether its primary still led is not known"})
		return
	}
	if req.waitsForReplica {
		t.dequeue(req)
		t.assign(req) // anew, with what was learned since
		return
	}
	if limit := t.waitLimit(req); limit > t.now {
		t.arm(&req.timer, limit)
		return
	}
	t.reject(req)
}

// countRejection counts why nodes' own refusals come about, and says it once a second.
func (t *Table) countRejection(req *request) {
	cause := "its line is too long"
	switch primary := t.primary(req.group); {
	case req.retryAfterUs > 0:
	case primary == nil && req.group.denied(t):
		cause = "the primary says that it is none"
	case primary == nil && req.group.known && req.group.state.Phase == ports.PhaseServing:
		cause = "the primary is not announced"
	case primary == nil:
		cause = "the primary is being changed"
	case primary.failingSince > 0:
		cause = "the primary cannot be used"
	case t.now < primary.backoffUntil:
		cause = "the primary takes no more connections"
	case req.needsLease() && req.group.confirmedUntil <= req.mustSeeUs(t.options.StalenessMarginUs):
		cause = "no lease"
	}
	t.countRejectionCause(req.group.name + ": " + cause)
}

// countRejectionCause counts what this node refuses itself, by cause, and says it once a
// second.
func (t *Table) countRejectionCause(cause string) {
	if t.rejections == nil {
		t.rejections = map[string]int{}
	}
	t.rejections[cause]++
	if t.now < t.rejectionsLoggedUs+1_000_000 {
		return
	}
	t.rejectionsLoggedUs = t.now
	for _, k := range slices.Sorted(maps.Keys(t.rejections)) {
		t.emit(LogEntry{Code: result.StatementsRejected, Text: strconv.Itoa(t.rejections[k]) + " for " + k})
	}
	clear(t.rejections)
}
