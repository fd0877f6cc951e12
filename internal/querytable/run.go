package querytable

import (
	"maps"
	"slices"
	"time"

	"stoneford/result"
)

const (
	// runFactor is the multiple of its average time after which a run counts as lost.
	runFactor = 8
	// minReadTimeout is the minimum timeout of a read's run, whatever its average. With a
	// shorter one more reads would run twice.
	minReadTimeout = 500 * time.Millisecond
	// maxReadTimeout is the maximum timeout of a read's run, unless twice the average is
	// longer. Retrying a read elsewhere costs little.
	maxReadTimeout = time.Second
	// minWriteTimeout is the minimum timeout of a write's run. The outcome of a write
	// that times out is uncertain to the caller, which costs more than waiting.
	minWriteTimeout = 2 * time.Second
)

// runTimeoutUs returns the time in microseconds after which a query's run counts as lost.
// It is limited to three fifths of the time from the query's arrival to its deadline,
// unless twice the average is longer, since a later result would be of no use.
func (t *Table) runTimeoutUs(q *query) int64 {
	averageUs := t.averageRunUs(q.class.Name, q.database)
	limitUs := min(max(minReadTimeout.Microseconds(), runFactor*averageUs), max(maxReadTimeout.Microseconds(), 2*averageUs))
	if q.write {
		limitUs = max(minWriteTimeout.Microseconds(), runFactor*averageUs)
	}
	return min(limitUs, max((q.deadline-q.arrivedAt)*3/5, 2*averageUs))
}

// endInterruptedRuns ends the runs of an older epoch, of an unresponsive database and past
// their timeout. It routes queries again that were routed in an older epoch, and closes
// the connections of older epochs.
func (t *Table) endInterruptedRuns(now int64) {
	t.eachQuery(func(q *query) {
		switch {
		case q.maybeSent() && q.epoch != t.desired.Epoch:
			t.runLost(now, q, result.ResponseLost, "the group went on to a new epoch")
		case (q.state == awaitingPosition || q.state == awaitingConnection && q.connection == 0) && q.epoch != t.desired.Epoch:
			q.reroute()
		case q.state == running && t.unresponsive(now, q.database) && now-q.sentAt >= unresponsiveTimeout.Microseconds():
			t.runLost(now, q, result.ResponseLost, "the database fell silent")
		case q.state == running && now-q.sentAt >= t.runTimeoutUs(q):
			// The database responds to polls, but not to this run.
			t.recordRun(q, now-q.sentAt)
			t.runLost(now, q, result.ResponseLost, "no return of the run")
		}
	})
	t.pool.each(func(c *connection) {
		if c.epoch != t.desired.Epoch {
			t.forceClose(now, c)
		}
	})
}

// startRun sends a query's statements over a connection that is assigned to the query.
func (t *Table) startRun(now int64, q *query, c *connection) {
	s := t.sessions[q.Session]
	var ops []Op
	if c.sessionID == "" {
		ops = sessionOps(s, c.needsReset)
	}
	if q.Begin {
		c.sessionID, s.connection = s.id, c.id
	}
	ops = append(ops, q.ops(c.sessionID != "")...)
	c.needsReset, c.usedAt = true, now
	id := t.newID()
	t.runs[id] = q.ID
	q.run, q.state, q.sentAt, q.epoch = id, running, now, t.desired.Epoch
	q.waitedUs, q.waitStartedAt = q.waitedUs+now-q.waitStartedAt, now
	t.counts.Runs++
	t.emit(Run{
		RunID:        id,
		ConnectionID: c.id,
		Address:      c.address,
		RemoteID:     c.remoteID,
		Epoch:        t.desired.Epoch,
		Ops:          ops,
		ReadOnly:     !q.write,
		DeadlineUs:   q.deadline,
	})
}

// sessionOps returns the ops that give a connection exactly the values and prepared
// statements of a session.
func sessionOps(s *session, needsReset bool) []Op {
	var ops []Op
	if needsReset {
		ops = append(ops, Op{Op: opReset})
	}
	if len(s.values) > 0 {
		ops = append(ops, Op{Op: opSet, Values: s.values})
	}
	for _, name := range slices.Sorted(maps.Keys(s.prepared)) {
		ops = append(ops, Op{Op: opPrepare, Prepared: name, Text: s.prepared[name]})
	}
	return ops
}

// ops returns the ops of a query. They end with a reset if no transaction stays open on
// the connection.
func (q *query) ops(inTransaction bool) []Op {
	var ops []Op
	if q.Begin {
		ops = append(ops, Op{Op: opBegin})
	}
	for _, s := range q.Statements {
		ops = append(ops, Op{Op: opStatement, Text: s.Text, Prepared: s.Prepared, Params: s.Params})
	}
	switch {
	case q.Commit:
		ops = append(ops, Op{Op: opCommit})
	case q.Rollback:
		ops = append(ops, Op{Op: opRollback})
	}
	if !inTransaction || q.endsTransaction() {
		ops = append(ops, Op{Op: opReset})
	}
	return ops
}

func (q *query) endsTransaction() bool { return q.Commit || q.Rollback }

// finishRun handles the end of a run.
func (t *Table) finishRun(now int64, e RunEnded) {
	q := t.queries[t.runs[e.RunID]]
	delete(t.runs, e.RunID)
	if q == nil || q.run != e.RunID || q.state != running {
		return
	}
	switch {
	case e.RejectionReason != "" || e.Err != "" && !e.MaybeSent:
		t.runRejected(now, q, e)
		return
	case e.Err != "":
		t.runLost(now, q, result.ResponseLost, e.Err)
		return
	case len(e.Results) == 0:
		t.runLost(now, q, result.ResponseLost, "an empty return")
		return
	}
	t.recordRun(q, now-q.sentAt)
	// A run stops after the first op that fails.
	if last := e.Results[len(e.Results)-1]; last.Error != "" {
		t.statementFailed(now, q, last.Error)
		return
	}
	t.runSucceeded(now, q, e)
}

// runRejected handles a run that the database rejected or never received.
func (t *Table) runRejected(now int64, q *query, e RunEnded) {
	t.members[q.database].nextPollAt = 0
	if !q.write {
		t.retryRead(now, q, true)
		return
	}
	s := t.sessions[q.Session]
	inTransaction := s.connection != 0
	t.closeConnection(t.pool.byID[q.connection])
	s.connection = 0
	if inTransaction && !q.Begin {
		t.finish(now, q, Reply{Code: result.TransactionLost, Outcome: result.NoEffect, Text: e.RejectionReason + e.Err})
	} else {
		t.reject(now, q, result.DatabaseUnreachable, t.outage.retryAfterUs(now))
	}
}

// statementFailed ends a query of which a statement failed. The database has confirmed
// that the query had no effect. An open transaction continues, unless the query was to
// begin or end it.
func (t *Table) statementFailed(now int64, q *query, text string) {
	c, s := t.pool.byID[q.connection], t.sessions[q.Session]
	if c.sessionID == "" || q.Begin || q.endsTransaction() {
		t.closeConnection(c)
		s.connection = 0
	} else {
		c.queryID = 0
	}
	t.finish(now, q, Reply{Code: result.StatementFailed, Outcome: result.NoEffect, Text: text})
}

// runSucceeded handles the results of a run. A read on a replica ends if its data is
// still fresh. A run on the primary waits for a majority, unless it only began a
// transaction or rolled one back.
func (t *Table) runSucceeded(now int64, q *query, e RunEnded) {
	var rows [][][]string
	q.commit, rows = readResults(e.Results)
	q.reply = Reply{Outcome: result.Done, Rows: rows, Database: q.database, FromReplica: q.database != t.desired.Primary, Position: e.Applied}
	t.finishConnection(now, q)
	if !q.write && !q.onPrimary {
		t.counts.ReplicaRuns++
		t.finishRead(now, q, e)
		return
	}
	t.counts.PrimaryRuns++
	if q.Rollback || q.Begin && len(q.Statements) == 0 && !q.Commit {
		t.finish(now, q, q.reply)
		return
	}
	q.state, q.waitingSince = awaitingMajority, now
	q.majorityPosition = max(q.commit.position, e.Applied)
}

// readResults returns what a run committed and the rows of its statements.
func readResults(results []Result) (commit, [][][]string) {
	var committed commit
	var rows [][][]string
	for _, r := range results {
		if r.Position > committed.position {
			committed = commit{position: r.Position, tuples: r.Tuples, relations: r.Relations}
		}
		if r.Rows != nil {
			rows = append(rows, r.Rows)
		}
	}
	return committed, rows
}

// finishConnection returns the connection of a successful run to the pool, or keeps it
// for the session's open transaction. The last op of the run has reset the connection.
func (t *Table) finishConnection(now int64, q *query) {
	c := t.pool.byID[q.connection]
	if c.sessionID != "" && !q.endsTransaction() {
		c.queryID = 0
		return
	}
	c.needsReset, c.sessionID, t.sessions[q.Session].connection = false, "", 0
	t.releaseConnection(now, c)
	q.connection = 0
}

// finishRead ends a read on a replica. If the data that it returned is no longer fresh,
// for example because the node was paused, the read is routed again.
func (t *Table) finishRead(now int64, q *query, e RunEnded) {
	fresh := e.Epoch == t.desired.Epoch && e.Applied >= q.requiredPosition
	if !fresh || !q.class.isCurrent() && !t.isFresh(q, 0, e.Applied, now) {
		t.retryRead(now, q, false)
		return
	}
	t.finish(now, q, q.reply)
}

// isFresh reports whether a read at an applied position is as fresh as its class
// requires, with a margin in microseconds.
func (t *Table) isFresh(q *query, marginUs, applied, now int64) bool {
	required, ok := t.freshness.RequiredPosition(q.class.formula(marginUs), applied, now)
	return ok && required <= applied
}
