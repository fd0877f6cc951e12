package querytable

import (
	"maps"
	"slices"

	"github.com/samber/lo"

	"stoneford/freshness"
	"stoneford/result"
)

// each goes over the queries by arrival; f may end the query it is given.
func (t *Table) each(f func(*query)) {
	for _, id := range t.order {
		if q := t.queries[id]; q != nil {
			f(q)
		}
	}
}

// passEpoch ends or places again what a takeover cut off.
func (t *Table) passEpoch(now int64) {
	t.each(func(q *query) {
		switch {
		case q.state >= running && q.epoch != t.w.Epoch:
			t.cutOff(now, q, result.ReturnLost, "the group went on to a new epoch")
		case (q.state == level || q.state == lining && q.conn == 0) && q.epoch != t.w.Epoch:
			q.state, q.db = placing, ""
		case q.state == running && t.silent(now, q.db) && now-q.sent >= silentAfter:
			t.cutOff(now, q, result.ReturnLost, "the database fell silent")
		case q.state == running && now-q.sent >= t.runMost(q):
			// The database is there and its return does not come.
			t.learnRun(q, now-q.sent)
			t.cutOff(now, q, result.ReturnLost, "no return of the run")
		}
	})
	t.eachConn(func(c *conn) {
		if c.epoch != t.w.Epoch {
			t.loseConn(now, c)
		}
	})
}

// cutOff ends a query whose run can no longer be heard of; a read is placed
// again, since running it twice does no harm.
func (t *Table) cutOff(now int64, q *query, c result.Code, text string) {
	if q.write {
		t.abandon(now, q, c, text)
		return
	}
	t.again(now, q, true)
}

// again places a read once more, on another copy where one is left.
func (t *Table) again(now int64, q *query, closeConn bool) {
	if c := t.conns[q.conn]; c != nil {
		if closeConn {
			t.closeConn(c)
		} else {
			t.release(now, c)
		}
	}
	q.conn, q.tries, q.idleAt = 0, q.tries+1, now
	if q.db != "" {
		q.avoid = append(q.avoid, q.db)
	}
	t.counts.Replaced++
	if q.tries > 3 || now-q.came > q.class.WaitUs+lineWait {
		t.refuseQuery(now, q, result.NotFresh, retryShort)
		return
	}
	q.state, q.primary, q.db = placing, false, ""
}

// runMost is how long a run may take before its return counts as lost.
func (t *Table) runMost(q *query) int64 {
	avg := t.avgRun(q.class.Name, q.db)
	most := min(max(readMost, 8*avg), max(readSlow, 2*avg))
	if q.write {
		most = max(writeMost, 8*avg)
	}
	// Near its deadline it would be of no use.
	return min(most, max((q.deadline-q.came)*3/5, 2*avg))
}

// endPastDeadline gives up, at once, what cannot make its deadline any more and what
// has waited as long as a query may before its runs, however often it was placed
// anew (design 7.2).
func (t *Table) endPastDeadline(now int64) {
	t.each(func(q *query) {
		left := q.deadline - now
		switch {
		case left <= 0 && q.state >= running:
			t.abandon(now, q, result.ReturnLost, "no return by the query's expiry")
		case q.state <= lining && left <= t.avgRun(q.class.Name, q.db):
			t.abandon(now, q, result.ExpiryTooNear, "")
		case q.state <= lining && q.conn == 0 && q.idle+now-q.idleAt > q.class.WaitUs+lineWait:
			t.refuseQuery(now, q, lo.Ternary(q.state == lining, result.NoConnections, result.NotFresh), retryPrimary)
		}
	})
}

// passPlace chooses the copy and the level for each query that has none.
func (t *Table) passPlace(now int64) {
	t.each(func(q *query) {
		if q.state == level {
			t.waitLevel(now, q)
		}
		if q.state != placing {
			return
		}
		if q.write || q.primary {
			t.toPrimary(now, q)
			return
		}
		if q.class.Kind == "current" && t.fresh.SeenUs() < q.came || !t.fresh.Known() {
			if now-q.came > q.class.WaitUs {
				t.refuseQuery(now, q, result.NotFresh, retryPrimary)
			}
			return
		}
		floor := int64(0)
		if q.class.Kind == "pinned" {
			floor = t.sessions[q.Session].token.Position
		}
		var cs []freshness.Copy
		for _, m := range t.w.Members {
			if m.Name == t.w.Primary || m.leased(now) == 0 || slices.Contains(q.avoid, m.Name) || !t.takesPart(now, m.Name) {
				continue
			}
			cs = append(cs, freshness.Copy{Name: m.Name, Level: t.members[m.Name].status.Applied, BurdenUs: t.load(now, m.Name),
				RunUs: t.avgRun(q.class.Name, m.Name), RateUs: t.members[m.Name].rateUs, LagUs: t.members[m.Name].lagUs})
		}
		ch, ok := t.choose(q.class.formula(q.class.MarginUs), floor, now, cs)
		switch {
		case ok && ch.WaitUs > q.class.WaitUs, len(cs) == 0:
			q.primary = true
			t.decide(now, q, t.w.Primary, lo.Ternary(ok, waitTooLong, noCopy), floor, cs)
			t.toPrimary(now, q)
		case ok:
			t.decide(now, q, ch.Copy, leastSum, floor, cs)
			q.db, q.need, q.waited, q.epoch, q.state = ch.Copy, ch.Level, now, t.w.Epoch, level
			t.waitLevel(now, q)
		case now-q.came > q.class.WaitUs:
			// No level known here would do: no round has come through lately.
			t.refuseQuery(now, q, result.NotFresh, retryPrimary)
		}
	})
}

// Reasons of a choice.
const (
	leastSum    = "least burden, run time and wait together"
	waitTooLong = "the primary, for the least sum's wait is longer than its class allows"
	noCopy      = "the primary, for no replica takes part"
	cameUpLate  = "the primary, for the copy chosen did not come up in time"
)

// decide keeps a choice for whoever asks why.
func (t *Table) decide(now int64, q *query, chosen, reason string, floor int64, cs []freshness.Copy) {
	d := Decision{Name: q.Name, Class: q.class.Name, AtUs: now, Copy: chosen, Reason: reason, Floor: floor, Copies: cs}
	if len(t.decided) < keptChoices {
		t.decided = append(t.decided, d)
		return
	}
	t.decided[t.decideAt] = d
	t.decideAt = (t.decideAt + 1) % keptChoices
}

// why is the newest choices for one query's id, or the newest of each class.
func (t *Table) why(name string) []Decision {
	var ds []Decision
	for i := range t.decided {
		d := t.decided[(t.decideAt+i)%len(t.decided)]
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

func (t *Table) choose(f freshness.Formula, floor, now int64, cs []freshness.Copy) (freshness.Choice, bool) {
	switch t.w.Choice {
	case "random":
		if len(cs) > 0 {
			cs = []freshness.Copy{cs[t.rnd.IntN(len(cs))]}
		}
	case "least-burden":
		for i := range cs {
			cs[i].RunUs, cs[i].RateUs, cs[i].LagUs = 0, 0, 0
		}
	}
	return freshness.Choose(&t.fresh, f, floor, now, cs, t.rnd.IntN)
}

// waitLevel lets a read go on once its copy has applied what it needs.
func (t *Table) waitLevel(now int64, q *query) {
	switch {
	case !t.takesPart(now, q.db):
		q.state, q.db = placing, ""
	case t.members[q.db].status.Applied >= q.need:
		q.state = lining
	case now-q.waited > q.class.WaitUs:
		q.state, q.primary = placing, true
		t.decide(now, q, t.w.Primary, cameUpLate, 0, nil)
	}
}

func (t *Table) toPrimary(now int64, q *query) {
	p, ok := t.w.member(t.w.Primary)
	switch {
	case !ok, t.silent(now, p.Name), !t.followed(now):
		t.refuseQuery(now, q, result.NoPrimary, t.comeBack(now))
	case t.away(p), p.Drained && q.Begin && !q.Commit:
		t.refuseQuery(now, q, result.Leaving, t.comeBack(now))
	case p.leased(now) == 0:
		t.refuseQuery(now, q, result.NoConnections, retryPrimary)
	default:
		q.db, q.state, q.waited, q.epoch = p.Name, lining, now, t.w.Epoch
	}
}

// comeBack is when the primary may be expected to take queries again: this
// outage has lasted some time, and the earlier ones that this node saw tell how
// long one lasts.
func (t *Table) comeBack(now int64) int64 {
	if t.outage == 0 {
		t.outage = now
	}
	return max(retryShort, t.outage+t.usualUs-now)
}

// watchOutage learns how long the primary took nothing new.
func (t *Table) watchOutage(now int64) {
	p, ok := t.w.member(t.w.Primary)
	if t.outage == 0 || !ok || t.away(p) || t.silent(now, p.Name) || !t.followed(now) || t.members[p.Name].start <= t.outage {
		return
	}
	t.usualUs += (now - t.outage - t.usualUs) / 4
	t.outage = 0
}

// followed says whether any replica still replies in the epoch: without one
// nothing the primary does could be vouched for.
func (t *Table) followed(now int64) bool {
	return slices.ContainsFunc(t.w.Members, func(w Member) bool {
		m := t.members[w.Name]
		return w.Name != t.w.Primary && m.known && m.status.Epoch == t.w.Epoch && m.status.LogEpoch == t.w.Epoch && !t.silent(now, w.Name)
	})
}

// passConnect gives connections to those in line, first come first served.
func (t *Table) passConnect(now int64) {
	want := map[string]int{}
	t.each(func(q *query) {
		if q.state != lining {
			return
		}
		if q.conn != 0 {
			t.dispatch(now, q, t.conns[q.conn])
			return
		}
		m, ok := t.w.member(q.db)
		if !ok || t.away(m) || t.silent(now, q.db) || now-q.waited > lineWait {
			if q.write || now-q.waited > lineWait {
				t.refuseQuery(now, q, result.NoConnections, retryPrimary)
			} else {
				t.again(now, q, false)
			}
			return
		}
		if q.class.Kind != "current" && !q.primary && !t.stillFresh(q, q.class.MarginUs, t.members[q.db].status.Applied, now) {
			q.state, q.db = placing, ""
			return
		}
		if ids := t.idle[q.db]; len(ids) > 0 {
			c := t.conns[ids[len(ids)-1]]
			t.idle[q.db] = slices.Clone(ids[:len(ids)-1])
			c.query, q.conn = q.ID, c.id
			t.dispatch(now, q, c)
			return
		}
		want[q.db]++
	})
	if len(want) == 0 {
		return
	}
	for _, m := range t.w.Members {
		n, opening := 0, 0
		for _, c := range t.conns {
			if c.db == m.Name {
				n++
				if !c.ready {
					opening++
				}
			}
		}
		for ; opening < want[m.Name] && n < m.leased(now) && now >= t.members[m.Name].openAgain; opening, n = opening+1, n+1 {
			id := t.id()
			t.conns[id] = &conn{id: id, db: m.Name, address: m.Address, epoch: t.w.Epoch, since: now}
			t.connIDs = append(t.connIDs, id)
			t.counts.Opens++
			t.fx = append(t.fx, OpenConnection{Conn: id, Address: m.Address})
		}
	}
}

// dispatch sends a query's statements over a connection that carries exactly
// its session's values and prepared names.
func (t *Table) dispatch(now int64, q *query, c *conn) {
	s := t.sessions[q.Session]
	var ops []Op
	if c.session == "" {
		if c.dirty {
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
		c.session, s.conn = s.id, c.id
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
	if c.session == "" || q.Commit || q.Rollback {
		ops = append(ops, Op{Op: "reset"})
	}
	c.dirty, c.since = true, now
	id := t.id()
	t.runs[id] = q.ID
	q.run, q.state, q.sent, q.epoch = id, running, now, t.w.Epoch
	q.idle, q.idleAt = q.idle+now-q.idleAt, now
	t.counts.Runs++
	t.fx = append(t.fx, Run{Run: id, Conn: c.id, Address: c.address, ID: c.remote, Epoch: t.w.Epoch, Ops: ops, ReadOnly: !q.write, UntilUs: q.deadline})
}

// ran takes a run's return.
func (t *Table) ran(now int64, e Ran) {
	q := t.queries[t.runs[e.Run]]
	delete(t.runs, e.Run)
	if q == nil || q.run != e.Run || q.state != running {
		return
	}
	c := t.conns[q.conn]
	s := t.sessions[q.Session]
	inTx := s.conn != 0
	switch {
	case e.Refused != "" || e.Err != "" && !e.Left:
		// The database took nothing of it, or never heard of it.
		t.members[q.db].next = 0
		if !q.write {
			t.again(now, q, true)
			return
		}
		t.closeConn(c)
		s.conn = 0
		if inTx && !q.Begin {
			t.end(now, q, Return{Code: result.TransactionLost, Outcome: result.NothingKept, Text: e.Refused + e.Err})
		} else {
			t.refuseQuery(now, q, result.DatabaseAway, t.comeBack(now))
		}
		return
	case e.Err != "":
		t.cutOff(now, q, result.ReturnLost, e.Err)
		return
	}
	// Which result belongs to which op: what leads up to the statements comes
	// first, and a run stops behind the first error.
	n := len(e.Results)
	if n == 0 {
		t.cutOff(now, q, result.ReturnLost, "an empty return")
		return
	}
	t.learnRun(q, now-q.sent)
	last := e.Results[n-1]
	if last.Error != "" {
		t.failed(now, q, c, last.Error)
		return
	}
	var pos, tuples int64
	var rel []string
	var rows [][][]string
	for _, r := range e.Results {
		if r.Position > pos {
			pos, tuples, rel = r.Position, r.Tuples, r.Relations
		}
		if r.Rows != nil {
			rows = append(rows, r.Rows)
		}
	}
	q.ret = Return{Outcome: result.Done, Rows: rows, Copy: q.db, Replica: q.db != t.w.Primary, Position: e.Applied}
	ended := q.Commit || q.Rollback || c.session == ""
	if ended {
		c.dirty, c.session, s.conn = false, "", 0
		t.release(now, c)
		q.conn = 0
	} else {
		c.query = 0
	}
	if !q.write && !q.primary {
		t.counts.OnReplica++
		t.readDone(now, q, e)
		return
	}
	t.counts.OnPrimary++
	if q.Rollback || q.Begin && len(q.Statements) == 0 && !q.Commit {
		t.end(now, q, q.ret)
		return
	}
	q.state, q.held = settling, max(pos, e.Applied)
	q.commit = commit{pos: pos, tuples: tuples, relations: rel}
	q.waited = now
}

// failed ends a query whose statement the database bounced; it confirmed that
// nothing of it was kept.
func (t *Table) failed(now int64, q *query, c *conn, text string) {
	s := t.sessions[q.Session]
	if c.session == "" || q.Begin || q.Commit || q.Rollback {
		t.closeConn(c) // a failed batch is not left half open
		s.conn = 0
	} else {
		c.query = 0
	}
	t.end(now, q, Return{Code: result.StatementFailed, Outcome: result.NothingKept, Text: text})
}

// readDone looks once more at what a copy's read showed: a paused node may
// have slept over its promise.
func (t *Table) readDone(now int64, q *query, e Ran) {
	ok := e.Epoch == t.w.Epoch && e.Applied >= q.need
	if ok && q.class.Kind != "current" {
		ok = t.stillFresh(q, 0, e.Applied, now)
	}
	if !ok {
		t.again(now, q, false)
		return
	}
	t.end(now, q, q.ret)
}

func (t *Table) stillFresh(q *query, margin, applied, now int64) bool {
	l, ok := t.fresh.Needed(q.class.formula(margin), applied, now)
	return ok && l <= applied
}

// passSettle hands out returns that a majority of copies vouch for in the
// epoch they were made in (design 8.1).
func (t *Table) passSettle(now int64) {
	t.each(func(q *query) {
		if q.state != settling {
			return
		}
		since := int64(0)
		if q.class.Kind == "current" {
			since = q.came
		}
		if !t.majority(q.epoch, q.held, since) {
			if now-q.waited > lo.Ternary(q.write, int64(settleWait), lineWait) {
				if q.write {
					t.abandon(now, q, result.NoMajority, "")
				} else {
					t.refuseQuery(now, q, result.NotFresh, retryPrimary)
				}
			}
			return
		}
		if q.commit.pos > 0 {
			s := t.sessions[q.Session]
			s.token = Token{Group: t.w.Group, Epoch: q.epoch, Position: max(s.token.Position, q.commit.pos)}
			class := []freshness.Atom{""}
			if len(q.commit.relations) > 0 {
				class = nil
				for _, r := range q.commit.relations {
					class = append(class, freshness.Atom(r))
				}
			}
			if !t.w.Position {
				t.fresh.Committed(q.sent, q.commit.pos, q.commit.tuples, class)
			}
		}
		if q.class.Kind != "current" && !t.stillFresh(q, 0, q.held, now) {
			t.again(now, q, false)
			return
		}
		t.end(now, q, q.ret)
	})
}

// majority: the primary holds the position, since it ran the query; one
// replica that counts as a member has to hold it too, in the same epoch, by a
// poll begun no earlier than since.
func (t *Table) majority(epoch uint64, pos, since int64) bool {
	for _, m := range t.w.Members {
		s := t.members[m.Name]
		if m.Name != t.w.Primary && s.known && s.status.Epoch == epoch && s.status.LogEpoch == epoch && s.status.Received >= pos && s.start >= since {
			return true
		}
	}
	return false
}
