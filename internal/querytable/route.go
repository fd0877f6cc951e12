package querytable

import (
	"slices"

	"stoneford/freshness"
	"stoneford/result"
)

// routeQueries selects a database for each query that has none. Queries whose replica has
// applied the required position proceed to awaitingConnection.
func (t *Table) routeQueries(now int64) {
	t.eachQuery(func(q *query) {
		if q.state == awaitingPosition {
			t.checkPosition(now, q)
		}
		if q.state != routing {
			return
		}
		if q.write || q.onPrimary {
			t.routeToPrimary(now, q)
			return
		}
		t.routeRead(now, q)
	})
}

// routeRead selects a replica for a read. The primary runs it if no replica will be fresh
// enough in time.
func (t *Table) routeRead(now int64, q *query) {
	if !t.freshness.PrimaryKnown() || q.class.isCurrent() && t.freshness.PolledAt() < q.arrivedAt {
		t.rejectOnWaitTimeout(now, q) // needs a poll first
		return
	}
	minPosition := int64(0)
	if q.class.Kind == readYourWritesKind {
		token := t.sessions[q.Session].token
		if token.Epoch > t.desired.Epoch {
			// The databases of an older epoch need not have the session's commit, whatever
			// their positions.
			t.rejectOnWaitTimeout(now, q)
			return
		}
		minPosition = token.Position
	}
	candidates := t.candidates(now, q)
	choice, ok := t.chooseReplica(q.class.formula(q.class.MarginUs), minPosition, now, candidates)
	switch {
	case len(candidates) == 0, ok && choice.WaitUs > q.class.MaxWaitUs:
		reason := reasonNoReplica
		if ok {
			reason = reasonWaitTooLong
		}
		q.onPrimary = true
		t.recordDecision(now, q, t.desired.Primary, reason, minPosition, candidates)
		t.routeToPrimary(now, q)
	case ok:
		t.recordDecision(now, q, choice.Replica, reasonLowestCost, minPosition, candidates)
		q.database, q.requiredPosition, q.epoch = choice.Replica, choice.Position, t.desired.Epoch
		q.state, q.waitingSince = awaitingPosition, now
		t.checkPosition(now, q)
	default:
		t.rejectOnWaitTimeout(now, q) // no known position is fresh enough
	}
}

// rejectOnWaitTimeout rejects a read that has waited longer than its class allows.
func (t *Table) rejectOnWaitTimeout(now int64, q *query) {
	if now-q.arrivedAt > q.class.MaxWaitUs {
		t.reject(now, q, result.NoFreshReplica, unavailableRetryDelay.Microseconds())
	}
}

// candidates returns the replicas that may run a read.
func (t *Table) candidates(now int64, q *query) []freshness.Replica {
	var candidates []freshness.Replica
	for _, m := range t.desired.Members {
		if m.Name == t.desired.Primary || m.usableConnections(now) == 0 || slices.Contains(q.excluded, m.Name) || !t.eligible(now, m.Name) {
			continue
		}
		state := t.members[m.Name]
		candidates = append(candidates, freshness.Replica{
			Name:            m.Name,
			AppliedPosition: state.status.Applied,
			LoadUs:          t.loadUs(now, m.Name),
			AverageRunUs:    t.averageRunUs(q.class.Name, m.Name),
			ApplyTimeUs:     state.applyTime.averageUs,
			LagUs:           state.lagUs,
		})
	}
	return candidates
}

// chooseReplica selects a replica for a read and records the result of the evaluation in
// the candidates. With selectRandom it evaluates only a copy of the candidate that it
// draws, and the candidates stay as they are.
func (t *Table) chooseReplica(formula freshness.Formula, minPosition, now int64, candidates []freshness.Replica) (freshness.Choice, bool) {
	switch t.desired.ReplicaSelection {
	case selectRandom:
		if len(candidates) > 0 {
			candidates = []freshness.Replica{candidates[t.random.IntN(len(candidates))]}
		}
	case selectLeastLoad:
		for i := range candidates {
			candidates[i].AverageRunUs, candidates[i].ApplyTimeUs, candidates[i].LagUs = 0, 0, 0
		}
	}
	return freshness.Choose(&t.freshness, formula, minPosition, now, candidates, t.random.IntN)
}

// checkPosition lets a read proceed to awaitingConnection once its replica has applied
// the required position. If that takes too long, the primary runs the read.
func (t *Table) checkPosition(now int64, q *query) {
	switch {
	case !t.eligible(now, q.database):
		q.reroute()
	case t.members[q.database].status.Applied >= q.requiredPosition:
		q.state = awaitingConnection
	case now-q.waitingSince > q.class.MaxWaitUs:
		q.state, q.onPrimary = routing, true
		t.recordDecision(now, q, t.desired.Primary, reasonReplicaTooSlow, 0, nil)
	}
}

// routeToPrimary routes a query to the primary, or rejects the query if the primary
// cannot run it.
func (t *Table) routeToPrimary(now int64, q *query) {
	p, ok := t.desired.member(t.desired.Primary)
	switch {
	case !ok, t.unresponsive(now, p.Name), !t.primaryFollowed(now):
		t.reject(now, q, result.NoPrimary, t.outage.retryAfterUs(now))
	case t.closedToQueries(p), p.Draining && q.Begin && !q.Commit:
		t.reject(now, q, result.DatabaseDraining, t.outage.retryAfterUs(now))
	case p.usableConnections(now) == 0:
		t.reject(now, q, result.NoConnections, unavailableRetryDelay.Microseconds())
	default:
		q.database, q.epoch = p.Name, t.desired.Epoch
		q.state, q.waitingSince = awaitingConnection, now
	}
}
