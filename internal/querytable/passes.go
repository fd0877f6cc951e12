package querytable

import (
	"maps"
	"slices"

	"github.com/samber/lo"

	"stoneford/freshness"
	"stoneford/result"
)

// eachQuery goes over the queries by arrival; f may end the query it is given.
func (t *Table) eachQuery(f func(*query)) {
	for _, id := range t.queryOrder {
		if q := t.queries[id]; q != nil {
			f(q)
		}
	}
}

// endInterruptedRuns ends or places again what a takeover cut off.
func (t *Table) endInterruptedRuns(now int64) {
	t.eachQuery(func(q *query) {
		switch {
		case q.state >= running && q.epoch != t.desired.Epoch:
			t.runLost(now, q, result.ResponseLost, "the group went on to a new epoch")
		case (q.state == awaitingPosition || q.state == awaitingConnection && q.connection == 0) && q.epoch != t.desired.Epoch:
			q.state, q.database = placing, ""
		case q.state == running && t.unresponsive(now, q.database) && now-q.sentAt >= unresponsiveTimeout:
			t.runLost(now, q, result.ResponseLost, "the database fell silent")
		case q.state == running && now-q.sentAt >= t.runTimeout(q):
			// The database is there and its return does not come.
			t.recordRun(q, now-q.sentAt)
			t.runLost(now, q, result.ResponseLost, "no return of the run")
		}
	})
	t.eachConnection(func(c *connection) {
		if c.epoch != t.desired.Epoch {
			t.breakConnection(now, c)
		}
	})
}

// runLost ends a query whose run can no longer be heard of; a read is placed
// again, since running it twice does no harm.
func (t *Table) runLost(now int64, q *query, c result.Code, text string) {
	if q.write {
		t.abandon(now, q, c, text)
		return
	}
	t.retryRead(now, q, true)
}

// retryRead places a read once more, on another copy where one is left.
func (t *Table) retryRead(now int64, q *query, closeConn bool) {
	if c := t.connections[q.connection]; c != nil {
		if closeConn {
			t.closeConnection(c)
		} else {
			t.releaseConnection(now, c)
		}
	}
	q.connection, q.attempts, q.waitStartedAt = 0, q.attempts+1, now
	if q.database != "" {
		q.excluded = append(q.excluded, q.database)
	}
	t.counts.Retried++
	if q.attempts > 3 || now-q.arrivedAt > q.class.MaxWaitUs+queueTimeout {
		t.reject(now, q, result.NoFreshReplica, shortRetryDelay)
		return
	}
	q.state, q.onPrimary, q.database = placing, false, ""
}

// runTimeout is how long a run may take before its return counts as lost.
func (t *Table) runTimeout(q *query) int64 {
	average := t.averageRun(q.class.Name, q.database)
	limit := min(max(minReadTimeout, 8*average), max(maxReadTimeout, 2*average))
	if q.write {
		limit = max(minWriteTimeout, 8*average)
	}
	// Near its deadline it would be of no use.
	return min(limit, max((q.deadline-q.arrivedAt)*3/5, 2*average))
}

// endPastDeadline gives up, at once, what cannot make its deadline any more and what
// has waited as long as a query may before its runs, however often it was placed
// anew (design 7.2).
func (t *Table) endPastDeadline(now int64) {
	t.eachQuery(func(q *query) {
		left := q.deadline - now
		switch {
		case left <= 0 && q.state >= running:
			t.abandon(now, q, result.ResponseLost, "no return by the query's expiry")
		case q.state <= awaitingConnection && left <= t.averageRun(q.class.Name, q.database):
			t.abandon(now, q, result.DeadlineTooNear, "")
		case q.state <= awaitingConnection && q.connection == 0 && q.waitedUs+now-q.waitStartedAt > q.class.MaxWaitUs+queueTimeout:
			t.reject(now, q, lo.Ternary(q.state == awaitingConnection, result.NoConnections, result.NoFreshReplica), primaryRetryDelay)
		}
	})
}

// placeQueries chooses the copy and the level for each query that has none.
func (t *Table) placeQueries(now int64) {
	t.eachQuery(func(q *query) {
		if q.state == awaitingPosition {
			t.checkPosition(now, q)
		}
		if q.state != placing {
			return
		}
		if q.write || q.onPrimary {
			t.placeOnPrimary(now, q)
			return
		}
		if q.class.Kind == "current" && t.freshness.PolledAt() < q.arrivedAt || !t.freshness.Known() {
			if now-q.arrivedAt > q.class.MaxWaitUs {
				t.reject(now, q, result.NoFreshReplica, primaryRetryDelay)
			}
			return
		}
		floor := int64(0)
		if q.class.Kind == "pinned" {
			floor = t.sessions[q.Session].token.Position
		}
		var candidates []freshness.Replica
		for _, m := range t.desired.Members {
			if m.Name == t.desired.Primary || m.usableLeases(now) == 0 || slices.Contains(q.excluded, m.Name) || !t.eligible(now, m.Name) {
				continue
			}
			candidates = append(candidates, freshness.Replica{Name: m.Name, AppliedPosition: t.members[m.Name].status.Applied, LoadUs: t.load(now, m.Name),
				AverageRunUs: t.averageRun(q.class.Name, m.Name), ApplyTimeUs: t.members[m.Name].applyIntervalUs, LagUs: t.members[m.Name].lagUs})
		}
		choice, ok := t.chooseReplica(q.class.formula(q.class.MarginUs), floor, now, candidates)
		switch {
		case ok && choice.WaitUs > q.class.MaxWaitUs, len(candidates) == 0:
			q.onPrimary = true
			t.recordDecision(now, q, t.desired.Primary, lo.Ternary(ok, waitExceedsClass, noReplica), floor, candidates)
			t.placeOnPrimary(now, q)
		case ok:
			t.recordDecision(now, q, choice.Replica, leastSum, floor, candidates)
			q.database, q.requiredPosition, q.waitingSince, q.epoch, q.state = choice.Replica, choice.Position, now, t.desired.Epoch, awaitingPosition
			t.checkPosition(now, q)
		case now-q.arrivedAt > q.class.MaxWaitUs:
			// No level known here would do: no round has come through lately.
			t.reject(now, q, result.NoFreshReplica, primaryRetryDelay)
		}
	})
}

// Reasons of a choice.
const (
	leastSum         = "least burden, run time and wait together"
	waitExceedsClass = "the primary, for the least sum's wait is longer than its class allows"
	noReplica        = "the primary, for no replica takes part"
	replicaTooSlow   = "the primary, for the copy chosen did not come up in time"
)

// recordDecision keeps a choice for whoever asks why.
func (t *Table) recordDecision(now int64, q *query, chosen, reason string, floor int64, candidates []freshness.Replica) {
	d := Decision{Name: q.Name, Class: q.class.Name, AtUs: now, Database: chosen, Reason: reason, Floor: floor, Candidates: candidates}
	if len(t.decisions) < maxDecisions {
		t.decisions = append(t.decisions, d)
		return
	}
	t.decisions[t.oldestDecision] = d
	t.oldestDecision = (t.oldestDecision + 1) % maxDecisions
}

// recentDecisions is the newest choices for one query's id, or the newest of each class.
func (t *Table) recentDecisions(name string) []Decision {
	var ds []Decision
	for i := range t.decisions {
		d := t.decisions[(t.oldestDecision+i)%len(t.decisions)]
		if name != "" && d.Name != name {
			continue
		}
		if name == "" {
			ds = slices.DeleteFunc(ds, func(o Decision) bool { return o.Class == d.Class })
		}
		ds = append(ds, d)
	}
	return ds
}

func (t *Table) chooseReplica(formula freshness.Formula, floor, now int64, candidates []freshness.Replica) (freshness.Choice, bool) {
	switch t.desired.Selection {
	case "random":
		if len(candidates) > 0 {
			candidates = []freshness.Replica{candidates[t.random.IntN(len(candidates))]}
		}
	case "least-burden":
		for i := range candidates {
			candidates[i].AverageRunUs, candidates[i].ApplyTimeUs, candidates[i].LagUs = 0, 0, 0
		}
	}
	return freshness.Choose(&t.freshness, formula, floor, now, candidates, t.random.IntN)
}

// checkPosition lets a read go on once its copy has applied what it needs.
func (t *Table) checkPosition(now int64, q *query) {
	switch {
	case !t.eligible(now, q.database):
		q.state, q.database = placing, ""
	case t.members[q.database].status.Applied >= q.requiredPosition:
		q.state = awaitingConnection
	case now-q.waitingSince > q.class.MaxWaitUs:
		q.state, q.onPrimary = placing, true
		t.recordDecision(now, q, t.desired.Primary, replicaTooSlow, 0, nil)
	}
}

func (t *Table) placeOnPrimary(now int64, q *query) {
	p, ok := t.desired.member(t.desired.Primary)
	switch {
	case !ok, t.unresponsive(now, p.Name), !t.primaryFollowed(now):
		t.reject(now, q, result.NoPrimary, t.retryAfter(now))
	case t.closedToQueries(p), p.Draining && q.Begin && !q.Commit:
		t.reject(now, q, result.DatabaseDraining, t.retryAfter(now))
	case p.usableLeases(now) == 0:
		t.reject(now, q, result.NoConnections, primaryRetryDelay)
	default:
		q.database, q.state, q.waitingSince, q.epoch = p.Name, awaitingConnection, now, t.desired.Epoch
	}
}

// retryAfter is when the primary may be expected to take queries again: this
// outage has lasted some time, and the earlier ones that this node saw tell how
// long one lasts.
func (t *Table) retryAfter(now int64) int64 {
	if t.outageSince == 0 {
		t.outageSince = now
	}
	return max(shortRetryDelay, t.outageSince+t.usualOutageUs-now)
}

// watchOutage learns how long the primary took nothing new.
func (t *Table) watchOutage(now int64) {
	p, ok := t.desired.member(t.desired.Primary)
	if t.outageSince == 0 || !ok || t.closedToQueries(p) || t.unresponsive(now, p.Name) || !t.primaryFollowed(now) || t.members[p.Name].pollStartedAt <= t.outageSince {
		return
	}
	t.usualOutageUs += (now - t.outageSince - t.usualOutageUs) / 4
	t.outageSince = 0
}

// primaryFollowed says whether any replica still replies in the epoch: without one
// nothing the primary does could be vouched for.
func (t *Table) primaryFollowed(now int64) bool {
	return slices.ContainsFunc(t.desired.Members, func(w Member) bool {
		m := t.members[w.Name]
		return w.Name != t.desired.Primary && m.known && m.status.Epoch == t.desired.Epoch && m.status.LogEpoch == t.desired.Epoch && !t.unresponsive(now, w.Name)
	})
}

// assignConnections gives connections to those in line, first come first served.
func (t *Table) assignConnections(now int64) {
	wanted := map[string]int{}
	t.eachQuery(func(q *query) {
		if q.state != awaitingConnection {
			return
		}
		if q.connection != 0 {
			t.dispatch(now, q, t.connections[q.connection])
			return
		}
		m, ok := t.desired.member(q.database)
		if !ok || t.closedToQueries(m) || t.unresponsive(now, q.database) || now-q.waitingSince > queueTimeout {
			if q.write || now-q.waitingSince > queueTimeout {
				t.reject(now, q, result.NoConnections, primaryRetryDelay)
			} else {
				t.retryRead(now, q, false)
			}
			return
		}
		if q.class.Kind != "current" && !q.onPrimary && !t.stillFresh(q, q.class.MarginUs, t.members[q.database].status.Applied, now) {
			q.state, q.database = placing, ""
			return
		}
		if ids := t.idleConnections[q.database]; len(ids) > 0 {
			c := t.connections[ids[len(ids)-1]]
			t.idleConnections[q.database] = slices.Clone(ids[:len(ids)-1])
			c.queryID, q.connection = q.ID, c.id
			t.dispatch(now, q, c)
			return
		}
		wanted[q.database]++
	})
	if len(wanted) == 0 {
		return
	}
	for _, m := range t.desired.Members {
		n, opening := 0, 0
		for _, c := range t.connections {
			if c.database == m.Name {
				n++
				if !c.established {
					opening++
				}
			}
		}
		for ; opening < wanted[m.Name] && n < m.usableLeases(now) && now >= t.members[m.Name].reconnectAt; opening, n = opening+1, n+1 {
			id := t.newID()
			t.connections[id] = &connection{id: id, database: m.Name, address: m.Address, epoch: t.desired.Epoch, usedAt: now}
			t.connectionOrder = append(t.connectionOrder, id)
			t.counts.Opens++
			t.effects = append(t.effects, OpenConnection{Connection: id, Address: m.Address})
		}
	}
}

// dispatch sends a query's statements over a connection that carries exactly
// its session's values and prepared names.
func (t *Table) dispatch(now int64, q *query, c *connection) {
	s := t.sessions[q.Session]
	var ops []Op
	if c.sessionID == "" {
		if c.needsReset {
			ops = append(ops, Op{Op: "reset"})
		}
		if len(s.values) > 0 {
			ops = append(ops, Op{Op: "set", Values: s.values})
		}
		for _, n := range slices.Sorted(maps.Keys(s.prepared)) {
			ops = append(ops, Op{Op: "prepare", Prepared: n, Text: s.prepared[n]})
		}
	}
	if q.Begin {
		ops = append(ops, Op{Op: "begin"})
		c.sessionID, s.connection = s.id, c.id
	}
	for _, st := range q.Statements {
		ops = append(ops, Op{Op: "statement", Text: st.Text, Prepared: st.Prepared, Params: st.Params})
	}
	switch {
	case q.Commit:
		ops = append(ops, Op{Op: "commit"})
	case q.Rollback:
		ops = append(ops, Op{Op: "rollback"})
	}
	if c.sessionID == "" || q.Commit || q.Rollback {
		ops = append(ops, Op{Op: "reset"})
	}
	c.needsReset, c.usedAt = true, now
	id := t.newID()
	t.runs[id] = q.ID
	q.run, q.state, q.sentAt, q.epoch = id, running, now, t.desired.Epoch
	q.waitedUs, q.waitStartedAt = q.waitedUs+now-q.waitStartedAt, now
	t.counts.Runs++
	t.effects = append(t.effects, Run{Run: id, Connection: c.id, Address: c.address, ID: c.remoteID, Epoch: t.desired.Epoch, Ops: ops, ReadOnly: !q.write, UntilUs: q.deadline})
}

// finishRun takes a run's return.
func (t *Table) finishRun(now int64, e RunEnded) {
	q := t.queries[t.runs[e.Run]]
	delete(t.runs, e.Run)
	if q == nil || q.run != e.Run || q.state != running {
		return
	}
	c := t.connections[q.connection]
	s := t.sessions[q.Session]
	inTx := s.connection != 0
	switch {
	case e.Rejected != "" || e.Err != "" && !e.MaybeSent:
		// The database took nothing of it, or never heard of it.
		t.members[q.database].nextPollAt = 0
		if !q.write {
			t.retryRead(now, q, true)
			return
		}
		t.closeConnection(c)
		s.connection = 0
		if inTx && !q.Begin {
			t.finish(now, q, Reply{Code: result.TransactionLost, Outcome: result.NoEffect, Text: e.Rejected + e.Err})
		} else {
			t.reject(now, q, result.DatabaseUnreachable, t.retryAfter(now))
		}
		return
	case e.Err != "":
		t.runLost(now, q, result.ResponseLost, e.Err)
		return
	}
	// Which result belongs to which op: what leads up to the statements comes
	// first, and a run stops behind the first error.
	count := len(e.Results)
	if count == 0 {
		t.runLost(now, q, result.ResponseLost, "an empty return")
		return
	}
	t.recordRun(q, now-q.sentAt)
	last := e.Results[count-1]
	if last.Error != "" {
		t.statementFailed(now, q, c, last.Error)
		return
	}
	var position, tuples int64
	var relations []string
	var rows [][][]string
	for _, r := range e.Results {
		if r.Position > position {
			position, tuples, relations = r.Position, r.Tuples, r.Relations
		}
		if r.Rows != nil {
			rows = append(rows, r.Rows)
		}
	}
	q.reply = Reply{Outcome: result.Done, Rows: rows, Database: q.database, FromReplica: q.database != t.desired.Primary, Position: e.Applied}
	ended := q.Commit || q.Rollback || c.sessionID == ""
	if ended {
		c.needsReset, c.sessionID, s.connection = false, "", 0
		t.releaseConnection(now, c)
		q.connection = 0
	} else {
		c.queryID = 0
	}
	if !q.write && !q.onPrimary {
		t.counts.OnReplica++
		t.finishRead(now, q, e)
		return
	}
	t.counts.OnPrimary++
	if q.Rollback || q.Begin && len(q.Statements) == 0 && !q.Commit {
		t.finish(now, q, q.reply)
		return
	}
	q.state, q.majorityPosition = awaitingMajority, max(position, e.Applied)
	q.commit = commit{position: position, tuples: tuples, relations: relations}
	q.waitingSince = now
}

// statementFailed ends a query whose statement the database bounced; it confirmed that
// nothing of it was kept.
func (t *Table) statementFailed(now int64, q *query, c *connection, text string) {
	s := t.sessions[q.Session]
	if c.sessionID == "" || q.Begin || q.Commit || q.Rollback {
		t.closeConnection(c) // a failed batch is not left half open
		s.connection = 0
	} else {
		c.queryID = 0
	}
	t.finish(now, q, Reply{Code: result.StatementFailed, Outcome: result.NoEffect, Text: text})
}

// finishRead looks once more at what a copy's read showed: a paused node may
// have slept over its promise.
func (t *Table) finishRead(now int64, q *query, e RunEnded) {
	ok := e.Epoch == t.desired.Epoch && e.Applied >= q.requiredPosition
	if ok && q.class.Kind != "current" {
		ok = t.stillFresh(q, 0, e.Applied, now)
	}
	if !ok {
		t.retryRead(now, q, false)
		return
	}
	t.finish(now, q, q.reply)
}

func (t *Table) stillFresh(q *query, margin, applied, now int64) bool {
	l, ok := t.freshness.RequiredPosition(q.class.formula(margin), applied, now)
	return ok && l <= applied
}

// releaseConfirmed hands out returns that a majority of copies vouch for in the
// epoch they were made in (design 8.1).
func (t *Table) releaseConfirmed(now int64) {
	t.eachQuery(func(q *query) {
		if q.state != awaitingMajority {
			return
		}
		since := int64(0)
		if q.class.Kind == "current" {
			since = q.arrivedAt
		}
		if !t.majorityHas(q.epoch, q.majorityPosition, since) {
			if now-q.waitingSince > lo.Ternary(q.write, int64(majorityTimeout), queueTimeout) {
				if q.write {
					t.abandon(now, q, result.NoMajority, "")
				} else {
					t.reject(now, q, result.NoFreshReplica, primaryRetryDelay)
				}
			}
			return
		}
		if q.commit.position > 0 {
			s := t.sessions[q.Session]
			s.token = Token{Group: t.desired.Group, Epoch: q.epoch, Position: max(s.token.Position, q.commit.position)}
			class := []freshness.Atom{""}
			if len(q.commit.relations) > 0 {
				class = nil
				for _, r := range q.commit.relations {
					class = append(class, freshness.Atom(r))
				}
			}
			if !t.desired.PositionOnly {
				t.freshness.AddCommit(q.sentAt, q.commit.position, q.commit.tuples, class)
			}
		}
		if q.class.Kind != "current" && !t.stillFresh(q, 0, q.majorityPosition, now) {
			t.retryRead(now, q, false)
			return
		}
		t.finish(now, q, q.reply)
	})
}

// majorityHas: the primary holds the position, since it ran the query; one
// replica that counts as a member has to hold it too, in the same epoch, by a
// poll begun no earlier than since.
func (t *Table) majorityHas(epoch uint64, position, since int64) bool {
	for _, m := range t.desired.Members {
		s := t.members[m.Name]
		if m.Name != t.desired.Primary && s.known && s.status.Epoch == epoch && s.status.LogEpoch == epoch && s.status.Received >= position && s.pollStartedAt >= since {
			return true
		}
	}
	return false
}
