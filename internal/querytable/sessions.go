package querytable

import (
	"maps"
	"slices"

	"stoneford/result"
)

func (t *Table) openSession(now int64, e OpenSession) {
	if t.sessions[e.Session] != nil {
		return
	}
	t.sessions[e.Session] = &session{id: e.Session, values: maps.Clone(e.Values), prepared: maps.Clone(e.Prepared), token: e.Token, lastUsedAt: now}
}

func (t *Table) closeSession(now int64, id string) {
	s := t.sessions[id]
	if s == nil {
		return
	}
	if q := t.queries[s.activeQuery]; q != nil {
		t.abandon(now, q, result.BadQuery, "the session was ended")
	}
	if s.connection != 0 {
		t.closeConnection(t.connections[s.connection])
	}
	delete(t.sessions, id)
}

func (t *Table) changeSession(now int64, e ChangeSession) {
	s := t.sessions[e.Session]
	r := Reply{ID: e.ID, Outcome: result.NoEffect}
	switch {
	case s == nil:
		r.Code = result.UnknownSession
	case s.activeQuery != 0:
		r.Code = result.SessionInUse
	case s.connection != 0:
		r.Code = result.InTransaction
	default:
		r.Outcome = result.Done
		s.values, s.prepared = mergeValues(s.values, e.Values), mergeValues(s.prepared, e.Prepared)
		s.lastUsedAt, r.Token = now, s.token
	}
	t.effects = append(t.effects, r)
}

// mergeValues copies before it changes; an empty text takes a name out.
func mergeValues(a, b map[string]string) map[string]string {
	m := maps.Clone(a)
	if m == nil {
		m = map[string]string{}
	}
	for k, v := range b {
		if v == "" {
			delete(m, k)
		} else {
			m[k] = v
		}
	}
	return m
}

// admit takes a query into the table or returns it at once.
func (t *Table) admit(now int64, e Query) {
	t.counts.Queries++
	s := t.sessions[e.Session]
	reject := func(c result.Code, text string, after int64) {
		r := Reply{ID: e.ID, Code: c, Outcome: result.NoEffect, Text: text, RetryAfterUs: after}
		if s != nil {
			r.Token, r.InTransaction = s.token, s.connection != 0
		}
		t.count(r)
		t.effects = append(t.effects, r)
	}
	if s == nil {
		reject(result.UnknownSession, "", 0)
		return
	}
	if i := slices.Index(s.recentNames, e.Name); e.Name != "" && i >= 0 {
		// Asked twice: the return is repeated and nothing runs again.
		r := s.recentReplies[i]
		r.ID = e.ID
		t.effects = append(t.effects, r)
		return
	}
	if s.activeQuery != 0 {
		reject(result.SessionInUse, "", 0)
		return
	}
	s.lastUsedAt = now
	if s.transactionLost {
		s.transactionLost = false
		reject(result.TransactionLost, "", 0)
		return
	}
	class, ok := t.desired.Classes[e.Class]
	switch {
	case t.desired.Group == "":
		reject(result.NotConfigured, "", primaryRetryDelay)
		return
	case !ok:
		reject(result.UnknownClass, e.Class, 0)
		return
	case s.connection == 0 && !e.Begin && (e.Commit || e.Rollback), s.connection != 0 && e.Begin:
		reject(result.OutsideTransaction, "", 0)
		return
	case e.Commit && e.Rollback, len(e.Statements) == 0 && !e.Begin && !e.Commit && !e.Rollback,
		s.connection == 0 && !e.Begin && len(e.Statements) != 1,
		class.Kind != "current" && (e.Begin || s.connection != 0):
		reject(result.BadQuery, "", 0)
		return
	case t.stopping && s.connection == 0:
		reject(result.Stopping, "", 0)
		return
	}
	for _, statement := range e.Statements {
		if statement.Prepared == "" {
			continue
		}
		if _, ok := s.prepared[statement.Prepared]; !ok {
			reject(result.UnknownPrepared, statement.Prepared, 0)
			return
		}
	}
	q := &query{Query: e, class: class, arrivedAt: now, waitStartedAt: now}
	timeout := e.DeadlineUs
	if timeout <= 0 {
		timeout = class.DeadlineUs
	}
	q.deadline = now + timeout
	// Inside a transaction, or where something may be written, only the
	// primary will do.
	q.write = e.Begin || s.connection != 0 || class.Kind == "current" && !e.ReadOnly
	q.mayCommit = e.Commit || q.write && !e.Begin && s.connection == 0
	if s.connection == 0 {
		n, sum := 0, int64(0)
		for _, o := range t.queries {
			if o.state <= awaitingConnection {
				n++
				sum += t.averageRun(o.class.Name, o.database)
			}
		}
		if n >= t.desired.QueueLimit {
			reject(result.QueueFull, "", max(shortRetryDelay, sum/int64(max(1, t.totalLeases(now)))))
			return
		}
		if estimate := sum/int64(max(1, t.totalLeases(now))) + t.averageRun(class.Name, ""); estimate > timeout {
			reject(result.DeadlineTooNear, "", max(shortRetryDelay, estimate-timeout))
			return
		}
	}
	t.queries[e.ID] = q
	t.queryOrder = append(t.queryOrder, e.ID)
	s.activeQuery = e.ID
	if s.connection != 0 {
		c := t.connections[s.connection]
		q.database, q.connection, q.state, c.queryID = c.database, c.id, awaitingConnection, e.ID
	}
}

func (t *Table) totalLeases(now int64) int {
	n := 0
	for _, m := range t.desired.Members {
		n += m.usableLeases(now)
	}
	return n
}

// finish hands a query's return out, once, at once.
func (t *Table) finish(now int64, q *query, r Reply) {
	r.ID = q.ID
	s := t.sessions[q.Session]
	s.activeQuery, s.lastUsedAt = 0, now
	r.Token, r.InTransaction = s.token, s.connection != 0
	if q.Name != "" && !r.Code.Retryable() {
		s.recentReplies, s.recentNames = append(s.recentReplies, r), append(s.recentNames, q.Name)
		if len(s.recentReplies) > maxRecentReplies {
			s.recentReplies, s.recentNames = slices.Clone(s.recentReplies[1:]), slices.Clone(s.recentNames[1:])
		}
	}
	t.count(r)
	delete(t.queries, q.ID)
	t.effects = append(t.effects, r)
}

func (t *Table) count(r Reply) {
	switch {
	case r.Outcome == result.Done:
		t.counts.Done++
	case r.Outcome == result.Uncertain:
		t.counts.Uncertain++
	case r.Code.Retryable():
		t.counts.Rejected++
	default:
		t.counts.Failed++
	}
}

// reject ends a query of which nothing ever left, or whose end the
// database confirmed.
func (t *Table) reject(now int64, q *query, c result.Code, after int64) {
	t.finish(now, q, Reply{Code: c, Outcome: result.NoEffect, RetryAfterUs: after + t.random.Int64N(shortRetryDelay)})
}

// abandon ends a query wherever it stands. What may have left with a commit in
// it is told as uncertain; a transaction whose commit never left keeps nothing.
func (t *Table) abandon(now int64, q *query, c result.Code, text string) {
	s := t.sessions[q.Session]
	left, inTx := q.state >= running, s.connection != 0
	if c := t.connections[q.connection]; c != nil {
		t.closeConnection(c)
	}
	r := Reply{Code: c, Outcome: result.NoEffect, Text: text}
	switch {
	case left && q.mayCommit:
		r.Outcome = result.Uncertain
		if r.Code.Retryable() || r.Code == result.TransactionLost {
			r.Code = result.ResponseLost
		}
		if q.state == awaitingMajority {
			r.Code = result.NoMajority
		}
	case inTx || q.Begin && left:
		r.Code = result.TransactionLost
	case c.Retryable():
		r.RetryAfterUs = primaryRetryDelay + t.random.Int64N(primaryRetryDelay)
	}
	t.finish(now, q, r)
}
