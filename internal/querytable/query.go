package querytable

import (
	"stoneford/result"
)

// queryState is the state of a query. The order of the values matters: up to
// awaitingConnection the query waits for its run, from running on the database may have
// its statements.
type queryState int

const (
	routing            queryState = iota // no database is selected, or a poll must come first
	awaitingPosition                     // the replica has not applied the position that the query needs
	awaitingConnection                   // the database has no free connection
	running                              // the statements were sent to the database
	awaitingMajority                     // no majority has received the position that the query wrote or read
)

// query is a query under way. Times are those of Step.
type query struct {
	Query
	class     Class
	arrivedAt int64
	deadline  int64
	write     bool // only the primary can run the query
	mayCommit bool // the run may commit something
	state     queryState

	database         string   // selected database, "" if none
	onPrimary        bool     // the primary runs this read because no replica was fresh in time
	requiredPosition int64    // position that the replica must have applied
	waitingSince     int64    // when the query was routed or began to wait for a majority
	waitedUs         int64    // sum of the waits before earlier runs
	waitStartedAt    int64    // start of the wait for the next run
	retries          int      // number of times that the read was routed again
	excluded         []string // databases that a read is not routed to again
	connection       uint64   // ID of the assigned connection, 0 if none

	run              uint64 // ID of the newest run
	sentAt           int64  // start of that run
	epoch            uint64 // epoch in which the query was routed or its run started
	commit           commit
	majorityPosition int64 // position that a majority must have received
	reply            Reply // set once the run has succeeded
}

// commit describes what a run committed.
type commit struct {
	position  int64 // 0 if nothing was committed
	tuples    int64
	relations []string
}

// newQuery returns a new query. Only the primary can run it if it is part of a
// transaction or may write.
func newQuery(now int64, e Query, s *session, class Class) *query {
	timeoutUs := e.TimeoutUs
	if timeoutUs <= 0 {
		timeoutUs = class.TimeoutUs
	}
	inTransaction := s.connection != 0
	write := e.Begin || inTransaction || class.isCurrent() && !e.ReadOnly
	return &query{
		Query:         e,
		class:         class,
		arrivedAt:     now,
		deadline:      now + timeoutUs,
		write:         write,
		mayCommit:     e.Commit || write && !e.Begin && !inTransaction,
		waitStartedAt: now,
	}
}

// isWaiting reports whether the query waits for its run.
func (q *query) isWaiting() bool { return q.state <= awaitingConnection }

// maybeSent reports whether a database may have received the query's statements.
func (q *query) maybeSent() bool { return q.state >= running }

// reroute returns the query to the routing state.
func (q *query) reroute() { q.state, q.database = routing, "" }

// maxWaitUs returns the maximum time that the query may wait for its runs.
func (q *query) maxWaitUs() int64 { return q.class.MaxWaitUs + queueTimeout.Microseconds() }

// finish ends a query with a reply.
func (t *Table) finish(now int64, q *query, r Reply) {
	r.ID = q.ID
	s := t.sessions[q.Session]
	s.activeQuery, s.lastUsedAt = 0, now
	r.Token, r.InTransaction = s.token, s.connection != 0
	if q.Name != "" && !r.Code.Retryable() {
		s.remember(q.Name, r)
	}
	t.count(r)
	delete(t.queries, q.ID)
	t.emit(r)
}

// reject ends a query that had no effect: nothing was sent, the database confirmed that
// nothing took effect, or the query is a read. The retry delay is randomized so that
// callers do not retry all at once.
func (t *Table) reject(now int64, q *query, c result.Code, retryAfterUs int64) {
	spread := t.random.Int64N(shortRetryDelay.Microseconds())
	t.finish(now, q, Reply{Code: c, Outcome: result.NoEffect, RetryAfterUs: retryAfterUs + spread})
}

// abandon ends a query in any state. The outcome is uncertain if the query may have been
// sent and may commit. A transaction whose commit was not sent has no effect.
func (t *Table) abandon(now int64, q *query, c result.Code, text string) {
	maybeSent, inTransaction := q.maybeSent(), t.sessions[q.Session].connection != 0
	if c := t.pool.byID[q.connection]; c != nil {
		t.closeConnection(c)
	}
	r := Reply{Code: c, Outcome: result.NoEffect, Text: text}
	switch {
	case maybeSent && q.mayCommit:
		r.Outcome = result.Uncertain
		if r.Code.Retryable() || r.Code == result.TransactionLost {
			r.Code = result.ResponseLost
		}
		if q.state == awaitingMajority {
			r.Code = result.NoMajority
		}
	case inTransaction || q.Begin && maybeSent:
		r.Code = result.TransactionLost
	case c.Retryable():
		r.RetryAfterUs = unavailableRetryDelay.Microseconds() + t.random.Int64N(unavailableRetryDelay.Microseconds())
	}
	t.finish(now, q, r)
}

// runLost handles a run that will give no result. A read is retried, which is safe; a
// write is abandoned.
func (t *Table) runLost(now int64, q *query, c result.Code, text string) {
	if q.write {
		t.abandon(now, q, c, text)
		return
	}
	t.retryRead(now, q, true)
}

// maxRetries is the maximum number of times that a read is routed again.
const maxRetries = 3

// retryRead routes a read again, to another replica if there is one. The read's
// connection is closed or returned to the pool.
func (t *Table) retryRead(now int64, q *query, closeConnection bool) {
	if c := t.pool.byID[q.connection]; c != nil {
		if closeConnection {
			t.closeConnection(c)
		} else {
			t.releaseConnection(now, c)
		}
	}
	q.connection, q.retries, q.waitStartedAt = 0, q.retries+1, now
	if q.database != "" {
		q.excluded = append(q.excluded, q.database)
	}
	t.counts.RetriedReads++
	if q.retries > maxRetries || now-q.arrivedAt > q.maxWaitUs() {
		t.reject(now, q, result.NoFreshReplica, shortRetryDelay.Microseconds())
		return
	}
	q.onPrimary = false
	q.reroute()
}

// endPastDeadline ends queries that can no longer meet their deadline, and queries that
// have waited for maxWaitUs in total, however often they were routed (design 7.2).
func (t *Table) endPastDeadline(now int64) {
	t.eachQuery(func(q *query) {
		leftUs := q.deadline - now
		switch {
		case leftUs <= 0 && q.maybeSent():
			t.abandon(now, q, result.ResponseLost, "no return by the query's expiry")
		case q.isWaiting() && leftUs <= t.averageRunUs(q.class.Name, q.database):
			t.abandon(now, q, result.DeadlineTooNear, "")
		case q.isWaiting() && q.connection == 0 && q.waitedUs+now-q.waitStartedAt > q.maxWaitUs():
			t.reject(now, q, q.waitTimeoutCode(), unavailableRetryDelay.Microseconds())
		}
	})
}

// waitTimeoutCode returns the code for a query that has waited too long for its run.
func (q *query) waitTimeoutCode() result.Code {
	if q.state == awaitingConnection {
		return result.NoConnections
	}
	return result.NoFreshReplica
}
