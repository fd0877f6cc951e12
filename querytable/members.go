package querytable

import (
	"slices"

	"stoneford/result"
)

func (t *Table) silent(now int64, db string) bool {
	m := t.members[db]
	return m == nil || m.failing > 0 && now-m.failing >= silentAfter
}

// away says that no new query goes to a database: it announced that it leaves,
// an agreed move drains it, or it is another copy than the agreed one. A primary
// that is drained goes on with single statements until its transactions have
// ended.
func (t *Table) away(m Member) bool {
	s := t.members[m.Name]
	if s != nil && s.other {
		return true // whatever runs there, nobody agreed on it
	}
	if m.Drained && !m.Closed && m.Name == t.w.Primary && s != nil && !s.status.Leaving {
		return false
	}
	return m.Drained || m.Closed || s == nil || s.leaving > 0
}

// takesPart says whether a replica's level counts at all.
func (t *Table) takesPart(now int64, db string) bool {
	w, ok := t.w.member(db)
	if !ok || t.away(w) {
		return false
	}
	m := t.members[db]
	return m.known && m.status.Role == "replica" && m.status.Epoch == t.w.Epoch && m.status.LogEpoch == t.w.Epoch &&
		now-m.okAt < stallAfter && (m.stuck == 0 || now-m.stuck < stallAfter)
}

// polled takes a status. Positions of one copy in one epoch only grow, so of
// two polls that overtook each other the further one is kept.
func (t *Table) polled(now int64, e Polled) {
	p, ok := t.polls[e.Poll]
	delete(t.polls, e.Poll)
	m := t.members[p.member]
	if !ok || m == nil {
		return
	}
	if m.quick == e.Poll {
		m.quick = 0
	}
	if m.long == e.Poll {
		m.long = 0
	}
	if e.Err != "" {
		if m.failing == 0 {
			m.failing = p.start
		}
		return
	}
	m.failing, m.okAt = 0, now
	w, _ := t.w.member(m.name)
	s := e.Status
	if s.Identity != w.Identity {
		// A copy on another disk: it counts once that is agreed.
		m.known, m.other = false, true
		t.fresh.Drop(m.name)
		return
	}
	m.other = false
	if s.Leaving && m.leaving == 0 {
		m.leaving = now
	} else if !s.Leaving && !w.Drained {
		m.leaving = 0
	}
	old := m.status
	if m.known && (s.Epoch < old.Epoch || s.Epoch == old.Epoch && (s.Received < old.Received || s.Applied < old.Applied)) {
		if p.start < m.start {
			return // overtaken
		}
	}
	if s.Epoch == old.Epoch && s.Applied > old.Applied && m.rateFrom < s.Applied {
		if m.rateAt > 0 && old.Applied < t.fresh.Master() {
			m.rateUs += ((now-m.rateAt)/(s.Applied-old.Applied) - m.rateUs) / 8
		}
		m.rateAt, m.rateFrom = now, s.Applied
		if at, ok := t.fresh.CommittedUs(s.Applied); ok {
			m.lagUs += (now - at - m.lagUs) / 8
		}
	}
	if m.known && s.Applied == old.Applied && s.Applied < t.fresh.Master() {
		if m.stuck == 0 {
			m.stuck = now
		}
	} else {
		m.stuck = 0
	}
	m.status, m.known, m.start = s, true, max(m.start, p.start)
	t.round()
	if m.name != t.w.Primary {
		if t.takesPart(now, m.name) {
			t.fresh.Applied(m.name, s.Applied)
		} else {
			t.fresh.Drop(m.name)
		}
	}
}

// round tells the freshness queue how far the primary was when a majority,
// itself among it, was last seen in one epoch: a primary that nobody follows
// any more proves nothing about now (design 7.4).
func (t *Table) round() {
	p := t.members[t.w.Primary]
	if p == nil || !p.known || p.status.Role != "primary" || p.status.Epoch != t.w.Epoch {
		return
	}
	at := int64(-1)
	for _, m := range t.w.Members {
		s := t.members[m.Name]
		if m.Name != t.w.Primary && s.known && s.status.Epoch == t.w.Epoch && s.status.LogEpoch == t.w.Epoch {
			at = max(at, min(p.start, s.start))
		}
	}
	if at >= 0 && (!t.fresh.Known() || at > t.fresh.SeenUs() || p.status.Received > t.fresh.Master()) {
		t.fresh.Seen(at, p.status.Received)
	}
}

// passPoll keeps each member's positions known as closely as the queries under
// way need: a quick poll for those that need one begun after they came, a long
// one for those that wait for a position.
func (t *Table) passPoll(now int64) {
	since := map[string]int64{}
	rec, app := map[string]int64{}, map[string]int64{}
	lower := func(m map[string]int64, k string, v int64) {
		if o, ok := m[k]; !ok || v < o {
			m[k] = v
		}
	}
	t.each(func(q *query) {
		switch {
		case q.state == placing && !q.write && q.class.Kind == "current":
			for _, m := range t.w.Members {
				since[m.Name] = max(since[m.Name], q.came)
			}
		case q.state == level:
			lower(app, q.db, q.need)
		case q.state == settling:
			for _, m := range t.w.Members {
				if m.Name == t.w.Primary {
					continue
				}
				if q.class.Kind == "current" {
					since[m.Name] = max(since[m.Name], q.came)
				}
				if t.members[m.Name].status.Received < q.held {
					lower(rec, m.Name, q.held)
				}
			}
		}
	})
	for _, w := range t.w.Members {
		m := t.members[w.Name]
		hold := m.failing > 0 && now < m.next // no hot loop against what is down
		if m.long == 0 && !hold && (rec[w.Name] > 0 || app[w.Name] > 0) {
			p := poll{member: w.Name, start: now, long: true, rec: rec[w.Name], app: app[w.Name]}
			if p.rec > 0 {
				p.app = 0
			}
			m.long = t.poll(w, p, pollWait)
		}
		// A long poll that waits for a settling query's position, begun late
		// enough, is all the evidence that query needs of this member.
		covered := rec[w.Name] > 0 && m.long != 0 && t.polls[m.long].start >= since[w.Name]
		if m.quick == 0 && (now >= m.next || since[w.Name] > m.start && !hold && !covered) {
			m.quick = t.poll(w, poll{member: w.Name, start: now}, 0)
			m.next = now + pollEvery
		}
	}
}

func (t *Table) poll(w Member, p poll, wait int64) uint64 {
	id := t.id()
	t.polls[id] = p
	t.counts.Polls++
	t.fx = append(t.fx, Poll{Poll: id, Address: w.Address, Received: p.rec, Applied: p.app, WaitUs: wait})
	return id
}

func key(class, db string) string { return class + "|" + db }

// avgRun is the average past run time of a class on a database; "" gives the
// least of the copies'.
func (t *Table) avgRun(class, db string) int64 {
	if db != "" {
		return t.runUs[key(class, db)]
	}
	a := int64(-1)
	for _, m := range t.w.Members {
		if v, ok := t.runUs[key(class, m.Name)]; ok && (a < 0 || v < a) {
			a = v
		}
	}
	return max(a, 0)
}

func (t *Table) learnRun(q *query, us int64) {
	k := key(q.class.Name, q.db)
	if o, ok := t.runUs[k]; ok {
		us = o + (us-o)/8
	}
	t.runUs[k] = us
}

// load is the remaining time of what runs, or stands in line, at a database.
func (t *Table) load(now int64, db string) int64 {
	var b int64
	for _, q := range t.queries {
		if q.db != db {
			continue
		}
		switch q.state {
		case running:
			b += max(0, t.avgRun(q.class.Name, db)-(now-q.sent))
		case lining, level:
			b += t.avgRun(q.class.Name, db)
		}
	}
	return b
}

func (t *Table) opened(now int64, e Opened) {
	c := t.conns[e.Conn]
	if c == nil {
		if e.Err == "" {
			t.fx = append(t.fx, CloseConnection{Conn: e.Conn, ID: e.ID, Address: e.Address})
		}
		return
	}
	if e.Err != "" {
		delete(t.conns, e.Conn)
		if m := t.members[c.db]; m != nil {
			m.openAgain = now + openBackoff
		}
		return
	}
	c.remote, c.ready, c.since = e.ID, true, now
	t.idle[c.db] = append(t.idle[c.db], c.id)
}

// release gives a connection back to the idle ones.
func (t *Table) release(now int64, c *conn) {
	w, ok := t.w.member(c.db)
	n := 0
	for _, o := range t.conns {
		if o.db == c.db {
			n++
		}
	}
	if !ok || c.epoch != t.w.Epoch || c.address != w.Address || t.away(w) || n > w.leased(now) || c.session != "" {
		t.closeConn(c)
		return
	}
	c.query, c.since = 0, now
	t.idle[c.db] = append(t.idle[c.db], c.id)
}

func (t *Table) closeConn(c *conn) {
	t.idle[c.db] = slices.DeleteFunc(t.idle[c.db], func(id uint64) bool { return id == c.id })
	delete(t.conns, c.id)
	if s := t.sessions[c.session]; s != nil && s.conn == c.id {
		s.conn = 0
	}
	if c.ready {
		t.fx = append(t.fx, CloseConnection{Conn: c.id, Address: c.address, ID: c.remote})
	}
}

// loseConn closes a connection that may be in use.
func (t *Table) loseConn(now int64, c *conn) {
	s := t.sessions[c.session]
	switch q := t.queries[c.query]; {
	case q != nil:
		t.cutOff(now, q, result.TransactionLost, "its connection was closed")
	case s != nil:
		s.lost = true
		t.closeConn(c)
	default:
		t.closeConn(c)
	}
}

// passClean closes what nobody may or will use any longer.
func (t *Table) passClean(now int64) {
	n := map[string]int{}
	t.eachConn(func(c *conn) {
		w, ok := t.w.member(c.db)
		m := t.members[c.db]
		free := c.query == 0 && c.session == ""
		switch {
		case !ok || m == nil || c.address != w.Address:
			t.loseConn(now, c)
		case m.leaving > 0 && now-m.leaving > leaveGrace && (c.session != "" || t.away(w)), t.stopping && now >= t.stopAt:
			t.loseConn(now, c)
		case free && c.ready && (t.away(w) || now-c.since > idleConn):
			t.closeConn(c)
		case c.query == 0 && c.session != "" && now-c.since > idleTx:
			t.loseConn(now, c)
		default:
			n[c.db]++
			if free && c.ready && n[c.db] > w.leased(now) {
				t.closeConn(c)
				n[c.db]--
			}
		}
	})
	if now < t.nextIdle {
		return
	}
	t.nextIdle = now + idleEvery
	for id, s := range t.sessions {
		if s.busy == 0 && s.conn == 0 && now-s.touched > idleSession {
			delete(t.sessions, id)
		}
	}
}

// View is what this node knows of one database, for reports and operators.
type View struct {
	Name     string `json:"Name"`
	Known    bool   `json:"Known"`
	SilentUs int64  `json:"SilentUs"`
	Status   Status `json:"Status"`
	Leaving  bool   `json:"Leaving"`
	Busy     int    `json:"Busy"` // connections in use
	Open     int    `json:"Open"` // of these, by open transactions
}

// Views returns what the node knows of each database of the group.
func (t *Table) Views(now int64) []View {
	var vs []View
	busy, open := map[string]int{}, map[string]int{}
	for _, c := range t.conns {
		if c.query != 0 || c.session != "" {
			busy[c.db]++
		}
		if c.session != "" {
			open[c.db]++
		}
	}
	for _, w := range t.w.Members {
		m := t.members[w.Name]
		v := View{Name: w.Name, Known: m.known, Status: m.status, Leaving: m.leaving > 0, Busy: busy[w.Name], Open: open[w.Name]}
		if m.failing > 0 {
			v.SilentUs = now - m.failing
		}
		vs = append(vs, v)
	}
	return vs
}

// OpenTransactions is how many sessions hold a connection.
func (t *Table) OpenTransactions() int {
	n := 0
	for _, s := range t.sessions {
		if s.conn != 0 {
			n++
		}
	}
	return n
}

// Ready says whether a query allowed now could be served: the node is permitted
// connections to a primary that replies and is followed.
func (t *Table) Ready(now int64) bool {
	p, ok := t.w.member(t.w.Primary)
	return ok && p.leased(now) > 0 && t.fresh.Known() && !t.silent(now, p.Name) && t.followed(now) && !t.stopping
}
