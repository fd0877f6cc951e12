package sessiontable

import (
	"slices"

	"stoneford/freshness"
	"stoneford/internal/ports"
)

// assign decides where a request runs (design 14.8, 14.10): it adds the request to the
// queue of a database or of its group, or rejects it.
func (t *Table) assign(req *request) {
	if req.attempts != req.assignedAttempts {
		req.assignedAttempts, req.assignedUs = req.attempts, t.now
	}
	switch {
	case req.hasConnection():
		t.enqueue(req, req.tx.conn.db)
	case req.group.state.NeedsNewerTable:
		t.waitForPrimary(req)
	case req.needsPrimary():
		t.assignPrimary(req)
	default:
		t.assignRead(req)
	}
}

// waitForPrimary queues a request in its group until there is a primary or a lease, or
// rejects it if it may wait no longer.
func (t *Table) waitForPrimary(req *request) {
	limit := t.waitLimitUs(req)
	if limit <= t.now {
		t.reject(req)
		return
	}
	t.waitInGroup(req, limit)
}

// assignPrimary queues a request at the primary. Until there is a primary and, for a read,
// the lease covers the commits that the request must see, it waits in its group.
func (t *Table) assignPrimary(req *request) {
	primary := t.primary(req.group)
	if primary == nil {
		t.waitForPrimary(req)
		return
	}
	if t.lacksLease(req) {
		t.requestLease()
		t.waitForPrimary(req)
		return
	}
	req.requiredPosition = ports.Position{}
	if own, _ := req.ownCommit(); own.Term == req.group.state.Term {
		req.requiredPosition = own // commits of older terms are contained in this primary's log
	}
	t.enqueue(req, primary)
}

// lacksLease reports whether the request may read and the lease does not cover the
// commits that it must see.
func (t *Table) lacksLease(req *request) bool {
	return req.mayRead() && !t.leaseCovers(req)
}

// leaseCovers reports whether a lease confirms that the primary has every commit
// acknowledged before the request's freshness bound.
func (t *Table) leaseCovers(req *request) bool {
	return req.group.confirmedUntilUs > req.freshnessBoundUs(t.options.StalenessMargin.Microseconds())
}

// assignRead assigns a read to the database with the least cost (Refresco,
// docs/refresco.md): the sum of load, average run time, time until the replica is fresh
// enough, and a penalty for another zone.
func (t *Table) assignRead(req *request) {
	group := req.group
	staleness := req.route.MaxStalenessUs - t.options.StalenessMargin.Microseconds()
	own, ok := req.ownCommit()
	if !ok || !group.commits.PrimaryKnown() || staleness <= 0 {
		t.assignPrimary(req)
		return
	}
	var floor int64
	if own.Term == group.commitsTerm {
		floor = own.Number
	}
	formula := freshness.Formula{Measure: freshness.Age, Threshold: staleness}
	choice, ok := freshness.Choose(&group.commits, formula, floor, req.readArrivedUs(), t.readCandidates(req), t.rand.IntN)
	primary := t.primary(group)
	if !ok || primary != nil && choice.Replica == primary.ID {
		t.assignPrimary(req)
		return
	}
	req.requiredPosition = ports.Position{Term: group.commitsTerm, Number: choice.Position}
	if req.requiredPosition.Before(own) {
		req.requiredPosition = own
	}
	if choice.WaitUs <= 0 {
		t.enqueue(req, t.databases[choice.Replica])
		return
	}
	t.waitForReplica(req, choice)
}

// waitForReplica queues a read in its group until the chosen replica should have caught
// up. If the read may not wait that long, it is assigned to the primary, or, if there is
// none, to the replica at once.
func (t *Table) waitForReplica(req *request, choice freshness.Choice) {
	if at := t.now + choice.WaitUs; at <= t.waitLimitUs(req) {
		req.waitsForReplica = true
		t.waitInGroup(req, at)
		return
	}
	if t.primary(req.group) != nil {
		t.assignPrimary(req)
		return
	}
	t.enqueue(req, t.databases[choice.Replica])
}

// readCandidates returns the databases of the request's group that may run a read. The
// result is valid until the next call.
func (t *Table) readCandidates(req *request) []freshness.Replica {
	group := req.group
	class := req.runClass()
	candidates := t.candidates[:0]
	for _, db := range group.databases {
		if db.ID != group.state.Primary && t.acceptsReads(db, req) {
			candidates = append(candidates, t.readCandidate(db, class, 0))
		}
	}
	primary := t.primary(group)
	if primary != nil && t.leaseCovers(req) && !slices.Contains(req.triedDatabases, primary.ID) && primary.failingSinceUs == 0 {
		candidate := t.readCandidate(primary, class, t.options.PrimaryReadPenalty.Microseconds())
		candidate.AppliedPosition = group.commits.PrimaryPosition()
		candidates = append(candidates, candidate)
	}
	t.candidates = candidates
	return candidates
}

// acceptsReads reports whether a replica may be assigned the read.
func (t *Table) acceptsReads(db *database, req *request) bool {
	return !db.Draining && !db.wrongIdentity && db.failingSinceUs == 0 && !slices.Contains(req.triedDatabases, db.ID) &&
		(t.now >= db.backoffUntilUs || len(db.idle) > 0)
}

// readCandidate returns a database as a candidate for a read of a class, with the costs
// of running it there.
func (t *Table) readCandidate(db *database, class int, penaltyUs int64) freshness.Replica {
	run := t.expectedRunTimeUs(db, class)
	inFlight := db.running - db.overdue + db.queue.len()
	candidate := freshness.Replica{Name: db.ID, AverageRunUs: run + penaltyUs, LagUs: db.lagUs}
	candidate.LoadUs = int64(float64(inFlight) * float64(run) / max(db.concurrencyLimit, 1))
	if db.Zone != t.zone {
		candidate.LoadUs += t.options.CrossZonePenalty.Microseconds()
	}
	if db.WarmupUs > 0 {
		candidate.LoadUs += run
	}
	if db.position.Term == db.group.commitsTerm {
		candidate.AppliedPosition = db.position.Number
	}
	return candidate
}
