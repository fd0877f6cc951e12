package querytable

import (
	"time"

	"stoneford/result"
)

const (
	// shortRetryDelay is the minimum retry delay of a rejected query. With a shorter one
	// callers would retry in a busy loop.
	shortRetryDelay = 50 * time.Millisecond
	// unavailableRetryDelay is the retry delay of a query that was rejected because the
	// table is not configured, or no connection or fresh replica was available. Without a
	// primary the delay is the expected remaining time of the outage. A query that is
	// abandoned before it is sent gets at least this delay.
	unavailableRetryDelay = 300 * time.Millisecond
)

// rejection holds the reply code, text and retry delay of a query that is not admitted.
type rejection struct {
	code         result.Code
	text         string
	retryAfterUs int64
}

// admit adds a query to the table. A query that repeats an earlier one or is rejected
// gets its reply at once.
func (t *Table) admit(now int64, e Query) {
	t.counts.Queries++
	s := t.sessions[e.Session]
	if s == nil {
		t.replyRejected(e, nil, rejection{code: result.UnknownSession})
		return
	}
	if r, ok := s.recentReply(e.Name); ok {
		r.ID = e.ID
		t.emit(r)
		return
	}
	if r := t.checkSession(now, s); r != nil {
		t.replyRejected(e, s, *r)
		return
	}
	if r := t.checkQuery(s, e); r != nil {
		t.replyRejected(e, s, *r)
		return
	}
	q := newQuery(now, e, s, t.desired.Classes[e.Class])
	if r := t.checkQueue(now, s, q); r != nil {
		t.replyRejected(e, s, *r)
		return
	}
	t.addQuery(q, s)
}

// replyRejected sends the reply to a query that was not admitted. s is nil if the session
// is unknown.
func (t *Table) replyRejected(e Query, s *session, why rejection) {
	r := Reply{ID: e.ID, Code: why.code, Outcome: result.NoEffect, Text: why.text, RetryAfterUs: why.retryAfterUs}
	if s != nil {
		r.Token, r.InTransaction = s.token, s.connection != 0
	}
	t.count(r)
	t.emit(r)
}

// checkSession returns a rejection if the session already runs a query or has lost its
// transaction. A lost transaction is reported once, to the first query after the loss.
func (t *Table) checkSession(now int64, s *session) *rejection {
	if s.activeQuery != 0 {
		return &rejection{code: result.SessionInUse}
	}
	s.lastUsedAt = now
	if s.transactionLost {
		s.transactionLost = false
		return &rejection{code: result.TransactionLost}
	}
	return nil
}

// checkQuery returns a rejection if the query is invalid by itself or in the current
// state of its session's transaction.
func (t *Table) checkQuery(s *session, e Query) *rejection {
	class, known := t.desired.Classes[e.Class]
	inTransaction := s.connection != 0
	switch {
	case t.desired.Group == "":
		return &rejection{code: result.NotConfigured, retryAfterUs: unavailableRetryDelay.Microseconds()}
	case !known:
		return &rejection{code: result.UnknownClass, text: e.Class}
	case !inTransaction && !e.Begin && (e.Commit || e.Rollback), inTransaction && e.Begin:
		return &rejection{code: result.OutsideTransaction}
	case !e.isWellFormed(inTransaction), !class.isCurrent() && (e.Begin || inTransaction):
		return &rejection{code: result.BadQuery}
	case t.stopping && !inTransaction:
		return &rejection{code: result.Stopping}
	}
	for _, statement := range e.Statements {
		if statement.Prepared == "" {
			continue
		}
		if _, ok := s.prepared[statement.Prepared]; !ok {
			return &rejection{code: result.UnknownPreparedStatement, text: statement.Prepared}
		}
	}
	return nil
}

// isWellFormed reports whether the parts of a query may be combined. A query outside a
// transaction has exactly one statement. A query in a transaction has at least a
// statement, a begin, a commit or a rollback, but never both a commit and a rollback.
func (e Query) isWellFormed(inTransaction bool) bool {
	switch {
	case e.Commit && e.Rollback:
		return false
	case !inTransaction && !e.Begin:
		return len(e.Statements) == 1
	}
	return len(e.Statements) > 0 || e.Begin || e.Commit || e.Rollback
}

// checkQueue returns a rejection if a query outside a transaction would exceed the queue
// limit, or is expected to wait beyond its deadline.
func (t *Table) checkQueue(now int64, s *session, q *query) *rejection {
	if s.connection != 0 {
		return nil
	}
	waiting, runUs := 0, int64(0)
	for _, o := range t.queries {
		if o.isWaiting() {
			waiting++
			runUs += t.averageRunUs(o.class.Name, o.database)
		}
	}
	waitUs := runUs / int64(max(1, t.totalUsableConnections(now)))
	if waiting >= t.desired.QueueLimit {
		return &rejection{code: result.QueueFull, retryAfterUs: max(shortRetryDelay.Microseconds(), waitUs)}
	}
	timeoutUs := q.deadline - now
	if endUs := waitUs + t.averageRunUs(q.class.Name, ""); endUs > timeoutUs {
		return &rejection{code: result.DeadlineTooNear, retryAfterUs: max(shortRetryDelay.Microseconds(), endUs-timeoutUs)}
	}
	return nil
}

// addQuery adds an admitted query to the table. A query inside a transaction uses the
// transaction's connection and needs no routing.
func (t *Table) addQuery(q *query, s *session) {
	t.queries[q.ID] = q
	t.queryOrder = append(t.queryOrder, q.ID)
	s.activeQuery = q.ID
	if s.connection != 0 {
		c := t.pool.byID[s.connection]
		q.database, q.connection, q.state, c.queryID = c.database, c.id, awaitingConnection, q.ID
	}
}

// totalUsableConnections returns the number of connections that the node may have open to
// all databases together.
func (t *Table) totalUsableConnections(now int64) int {
	n := 0
	for _, m := range t.desired.Members {
		n += m.usableConnections(now)
	}
	return n
}
