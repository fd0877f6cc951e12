package querytable

import (
	"maps"
	"slices"

	"stoneford/result"
)

func (t *Table) open(now int64, e Open) {
	if t.sessions[e.Session] != nil {
		return
	}
	t.sessions[e.Session] = &session{id: e.Session, values: maps.Clone(e.Values), prepared: maps.Clone(e.Prepared), token: e.Token, touched: now}
}

func (t *Table) shut(now int64, id string) {
	s := t.sessions[id]
	if s == nil {
		return
	}
	if q := t.queries[s.busy]; q != nil {
		t.abandon(now, q, result.BadQuery, "the session was ended")
	}
	if s.conn != 0 {
		t.closeConn(t.conns[s.conn])
	}
	delete(t.sessions, id)
}

func (t *Table) change(now int64, e Change) {
	s := t.sessions[e.Session]
	r := Return{ID: e.ID, Outcome: result.NothingKept}
	switch {
	case s == nil:
		r.Code = result.UnknownSession
	case s.busy != 0:
		r.Code = result.SessionInUse
	case s.conn != 0:
		r.Code = result.InTransaction
	default:
		r.Outcome = result.Done
		s.values, s.prepared = merge(s.values, e.Values), merge(s.prepared, e.Prepared)
		s.touched, r.Token = now, s.token
	}
	t.fx = append(t.fx, r)
}

// merge copies before it changes; an empty text takes a name out.
func merge(a, b map[string]string) map[string]string {
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

// allow takes a query into the table or returns it at once.
func (t *Table) allow(now int64, e Query) {
	t.counts.Queries++
	s := t.sessions[e.Session]
	refuse := func(c result.Code, text string, after int64) {
		r := Return{ID: e.ID, Code: c, Outcome: result.NothingKept, Text: text, RetryAfterUs: after}
		if s != nil {
			r.Token, r.Open = s.token, s.conn != 0
		}
		t.count(r)
		t.fx = append(t.fx, r)
	}
	if s == nil {
		refuse(result.UnknownSession, "", 0)
		return
	}
	if i := slices.Index(s.names, e.Name); e.Name != "" && i >= 0 {
		// Asked twice: the return is repeated and nothing runs again.
		r := s.past[i]
		r.ID = e.ID
		t.fx = append(t.fx, r)
		return
	}
	if s.busy != 0 {
		refuse(result.SessionInUse, "", 0)
		return
	}
	s.touched = now
	if s.lost {
		s.lost = false
		refuse(result.TransactionLost, "", 0)
		return
	}
	cl, ok := t.w.Classes[e.Class]
	switch {
	case t.w.Group == "":
		refuse(result.NotConfigured, "", retryPrimary)
		return
	case !ok:
		refuse(result.UnknownClass, e.Class, 0)
		return
	case s.conn == 0 && !e.Begin && (e.Commit || e.Rollback), s.conn != 0 && e.Begin:
		refuse(result.OutsideTransaction, "", 0)
		return
	case e.Commit && e.Rollback, len(e.Statements) == 0 && !e.Begin && !e.Commit && !e.Rollback,
		s.conn == 0 && !e.Begin && len(e.Statements) != 1,
		cl.Kind != "current" && (e.Begin || s.conn != 0):
		refuse(result.BadQuery, "", 0)
		return
	case t.stopping && s.conn == 0:
		refuse(result.Stopping, "", 0)
		return
	}
	for _, st := range e.Statements {
		if st.Prepared == "" {
			continue
		}
		if _, ok := s.prepared[st.Prepared]; !ok {
			refuse(result.UnknownPrepared, st.Prepared, 0)
			return
		}
	}
	q := &query{Query: e, class: cl, came: now, idleAt: now}
	x := e.DeadlineUs
	if x <= 0 {
		x = cl.DeadlineUs
	}
	q.deadline = now + x
	// Inside a transaction, or where something may be written, only the
	// primary will do.
	q.write = e.Begin || s.conn != 0 || cl.Kind == "current" && !e.ReadOnly
	q.ends = e.Commit || q.write && !e.Begin && s.conn == 0
	if s.conn == 0 {
		n, sum := 0, int64(0)
		for _, o := range t.queries {
			if o.state <= lining {
				n++
				sum += t.avgRun(o.class.Name, o.db)
			}
		}
		if n >= t.w.Line {
			refuse(result.LineFull, "", max(retryShort, sum/int64(max(1, t.leases(now)))))
			return
		}
		if est := sum/int64(max(1, t.leases(now))) + t.avgRun(cl.Name, ""); est > x {
			refuse(result.ExpiryTooNear, "", max(retryShort, est-x))
			return
		}
	}
	t.queries[e.ID] = q
	t.order = append(t.order, e.ID)
	s.busy = e.ID
	if s.conn != 0 {
		c := t.conns[s.conn]
		q.db, q.conn, q.state, c.query = c.db, c.id, lining, e.ID
	}
}

func (t *Table) leases(now int64) int {
	n := 0
	for _, m := range t.w.Members {
		n += m.leased(now)
	}
	return n
}

// end hands a query's return out, once, at once.
func (t *Table) end(now int64, q *query, r Return) {
	r.ID = q.ID
	s := t.sessions[q.Session]
	s.busy, s.touched = 0, now
	r.Token, r.Open = s.token, s.conn != 0
	if q.Name != "" && !r.Code.Bounce() {
		s.past, s.names = append(s.past, r), append(s.names, q.Name)
		if len(s.past) > keptReturns {
			s.past, s.names = slices.Clone(s.past[1:]), slices.Clone(s.names[1:])
		}
	}
	t.count(r)
	delete(t.queries, q.ID)
	t.fx = append(t.fx, r)
}

func (t *Table) count(r Return) {
	switch {
	case r.Outcome == result.Done:
		t.counts.Done++
	case r.Outcome == result.Uncertain:
		t.counts.Uncertain++
	case r.Code.Bounce():
		t.counts.Refused++
	default:
		t.counts.Failed++
	}
}

// refuseQuery ends a query of which nothing ever left, or whose end the
// database confirmed.
func (t *Table) refuseQuery(now int64, q *query, c result.Code, after int64) {
	t.end(now, q, Return{Code: c, Outcome: result.NothingKept, RetryAfterUs: after + t.rnd.Int64N(retryShort)})
}

// abandon ends a query wherever it stands. What may have left with a commit in
// it is told as uncertain; a transaction whose commit never left keeps nothing.
func (t *Table) abandon(now int64, q *query, c result.Code, text string) {
	s := t.sessions[q.Session]
	left, inTx := q.state >= running, s.conn != 0
	if c := t.conns[q.conn]; c != nil {
		t.closeConn(c)
	}
	r := Return{Code: c, Outcome: result.NothingKept, Text: text}
	switch {
	case left && q.ends:
		r.Outcome = result.Uncertain
		if r.Code.Bounce() || r.Code == result.TransactionLost {
			r.Code = result.ReturnLost
		}
		if q.state == settling {
			r.Code = result.NoMajority
		}
	case inTx || q.Begin && left:
		r.Code = result.TransactionLost
	case c.Bounce():
		r.RetryAfterUs = retryPrimary + t.rnd.Int64N(retryPrimary)
	}
	t.end(now, q, r)
}
