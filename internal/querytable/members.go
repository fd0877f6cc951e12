package querytable

import (
	"slices"

	"stoneford/result"
)

func (t *Table) unresponsive(now int64, db string) bool {
	m := t.members[db]
	return m == nil || m.failingSince > 0 && now-m.failingSince >= unresponsiveTimeout
}

// closedToQueries says that no new query goes to a database: it announced that it leaves,
// an agreed move drains it, or it is another copy than the agreed one. A primary
// that is drained goes on with single statements until its transactions have
// ended.
func (t *Table) closedToQueries(m Member) bool {
	s := t.members[m.Name]
	if s != nil && s.otherIdentity {
		return true // whatever runs there, nobody agreed on it
	}
	if m.Draining && !m.Closed && m.Name == t.desired.Primary && s != nil && !s.status.Draining {
		return false
	}
	return m.Draining || m.Closed || s == nil || s.drainingSince > 0
}

// eligible says whether a replica's level counts at all.
func (t *Table) eligible(now int64, db string) bool {
	w, ok := t.desired.member(db)
	if !ok || t.closedToQueries(w) {
		return false
	}
	m := t.members[db]
	return m.known && m.status.Role == "replica" && m.status.Epoch == t.desired.Epoch && m.status.LogEpoch == t.desired.Epoch &&
		now-m.lastSuccessAt < stallTimeout && (m.stalledSince == 0 || now-m.stalledSince < stallTimeout)
}

// finishPoll takes a status. Positions of one copy in one epoch only grow, so of
// two polls that overtook each other the further one is kept.
func (t *Table) finishPoll(now int64, e PollEnded) {
	p, ok := t.polls[e.Poll]
	delete(t.polls, e.Poll)
	m := t.members[p.member]
	if !ok || m == nil {
		return
	}
	if m.quickPoll == e.Poll {
		m.quickPoll = 0
	}
	if m.longPoll == e.Poll {
		m.longPoll = 0
	}
	if e.Err != "" {
		if m.failingSince == 0 {
			m.failingSince = p.startedAt
		}
		return
	}
	m.failingSince, m.lastSuccessAt = 0, now
	w, _ := t.desired.member(m.name)
	s := e.Status
	if s.Identity != w.Identity {
		// A copy on another disk: it counts once that is agreed.
		m.known, m.otherIdentity = false, true
		t.freshness.RemoveReplica(m.name)
		return
	}
	m.otherIdentity = false
	if s.Draining && m.drainingSince == 0 {
		m.drainingSince = now
	} else if !s.Draining && !w.Draining {
		m.drainingSince = 0
	}
	old := m.status
	if m.known && (s.Epoch < old.Epoch || s.Epoch == old.Epoch && (s.Received < old.Received || s.Applied < old.Applied)) {
		if p.startedAt < m.pollStartedAt {
			return // overtaken
		}
	}
	if s.Epoch == old.Epoch && s.Applied > old.Applied && m.rateMeasuredPosition < s.Applied {
		if m.rateMeasuredAt > 0 && old.Applied < t.freshness.PrimaryPosition() {
			m.applyIntervalUs += ((now-m.rateMeasuredAt)/(s.Applied-old.Applied) - m.applyIntervalUs) / 8
		}
		m.rateMeasuredAt, m.rateMeasuredPosition = now, s.Applied
		if at, ok := t.freshness.CommitTime(s.Applied); ok {
			m.lagUs += (now - at - m.lagUs) / 8
		}
	}
	if m.known && s.Applied == old.Applied && s.Applied < t.freshness.PrimaryPosition() {
		if m.stalledSince == 0 {
			m.stalledSince = now
		}
	} else {
		m.stalledSince = 0
	}
	m.status, m.known, m.pollStartedAt = s, true, max(m.pollStartedAt, p.startedAt)
	t.updateFreshness()
	if m.name != t.desired.Primary {
		if t.eligible(now, m.name) {
			t.freshness.ObserveReplica(m.name, s.Applied)
		} else {
			t.freshness.RemoveReplica(m.name)
		}
	}
}

// updateFreshness tells the freshness queue how far the primary was when a majority,
// itself among it, was last seen in one epoch: a primary that nobody follows
// any more proves nothing about now (design 7.4).
func (t *Table) updateFreshness() {
	p := t.members[t.desired.Primary]
	if p == nil || !p.known || p.status.Role != "primary" || p.status.Epoch != t.desired.Epoch {
		return
	}
	at := int64(-1)
	for _, m := range t.desired.Members {
		s := t.members[m.Name]
		if m.Name != t.desired.Primary && s.known && s.status.Epoch == t.desired.Epoch && s.status.LogEpoch == t.desired.Epoch {
			at = max(at, min(p.pollStartedAt, s.pollStartedAt))
		}
	}
	if at >= 0 && (!t.freshness.Known() || at > t.freshness.PolledAt() || p.status.Received > t.freshness.PrimaryPosition()) {
		t.freshness.ObservePrimary(at, p.status.Received)
	}
}

// pollMembers keeps each member's positions known as closely as the queries under
// way need: a quick poll for those that need one begun after they came, a long
// one for those that wait for a position.
func (t *Table) pollMembers(now int64) {
	since := map[string]int64{}
	received, applied := map[string]int64{}, map[string]int64{}
	lower := func(m map[string]int64, k string, v int64) {
		if o, ok := m[k]; !ok || v < o {
			m[k] = v
		}
	}
	t.eachQuery(func(q *query) {
		switch {
		case q.state == placing && !q.write && q.class.Kind == "current":
			for _, m := range t.desired.Members {
				since[m.Name] = max(since[m.Name], q.arrivedAt)
			}
		case q.state == awaitingPosition:
			lower(applied, q.database, q.requiredPosition)
		case q.state == awaitingMajority:
			for _, m := range t.desired.Members {
				if m.Name == t.desired.Primary {
					continue
				}
				if q.class.Kind == "current" {
					since[m.Name] = max(since[m.Name], q.arrivedAt)
				}
				if t.members[m.Name].status.Received < q.majorityPosition {
					lower(received, m.Name, q.majorityPosition)
				}
			}
		}
	})
	for _, w := range t.desired.Members {
		m := t.members[w.Name]
		backingOff := m.failingSince > 0 && now < m.nextPollAt // no hot loop against what is down
		if m.longPoll == 0 && !backingOff && (received[w.Name] > 0 || applied[w.Name] > 0) {
			p := poll{member: w.Name, startedAt: now, long: true, received: received[w.Name], applied: applied[w.Name]}
			if p.received > 0 {
				p.applied = 0
			}
			m.longPoll = t.startPoll(w, p, longPollTimeout)
		}
		// A long poll that waits for a settling query's position, begun late
		// enough, is all the evidence that query needs of this member.
		covered := received[w.Name] > 0 && m.longPoll != 0 && t.polls[m.longPoll].startedAt >= since[w.Name]
		if m.quickPoll == 0 && (now >= m.nextPollAt || since[w.Name] > m.pollStartedAt && !backingOff && !covered) {
			m.quickPoll = t.startPoll(w, poll{member: w.Name, startedAt: now}, 0)
			m.nextPollAt = now + pollInterval
		}
	}
}

func (t *Table) startPoll(w Member, p poll, wait int64) uint64 {
	id := t.newID()
	t.polls[id] = p
	t.counts.Polls++
	t.effects = append(t.effects, Poll{Poll: id, Address: w.Address, Received: p.received, Applied: p.applied, WaitUs: wait})
	return id
}

func runKey(class, db string) string { return class + "|" + db }

// averageRun is the average past run time of a class on a database; "" gives the
// least of the copies'.
func (t *Table) averageRun(class, db string) int64 {
	if db != "" {
		return t.averageRunUs[runKey(class, db)]
	}
	a := int64(-1)
	for _, m := range t.desired.Members {
		if v, ok := t.averageRunUs[runKey(class, m.Name)]; ok && (a < 0 || v < a) {
			a = v
		}
	}
	return max(a, 0)
}

func (t *Table) recordRun(q *query, us int64) {
	k := runKey(q.class.Name, q.database)
	if o, ok := t.averageRunUs[k]; ok {
		us = o + (us-o)/8
	}
	t.averageRunUs[k] = us
}

// load is the remaining time of what runs, or stands in line, at a database.
func (t *Table) load(now int64, db string) int64 {
	var b int64
	for _, q := range t.queries {
		if q.database != db {
			continue
		}
		switch q.state {
		case running:
			b += max(0, t.averageRun(q.class.Name, db)-(now-q.sentAt))
		case awaitingConnection, awaitingPosition:
			b += t.averageRun(q.class.Name, db)
		}
	}
	return b
}

func (t *Table) finishOpen(now int64, e ConnectionOpened) {
	c := t.connections[e.Connection]
	if c == nil {
		if e.Err == "" {
			t.effects = append(t.effects, CloseConnection{Connection: e.Connection, ID: e.ID, Address: e.Address})
		}
		return
	}
	if e.Err != "" {
		delete(t.connections, e.Connection)
		if m := t.members[c.database]; m != nil {
			m.reconnectAt = now + reconnectDelay
		}
		return
	}
	c.remoteID, c.established, c.usedAt = e.ID, true, now
	t.idleConnections[c.database] = append(t.idleConnections[c.database], c.id)
}

// releaseConnection gives a connection back to the idle ones.
func (t *Table) releaseConnection(now int64, c *connection) {
	w, ok := t.desired.member(c.database)
	n := 0
	for _, o := range t.connections {
		if o.database == c.database {
			n++
		}
	}
	if !ok || c.epoch != t.desired.Epoch || c.address != w.Address || t.closedToQueries(w) || n > w.usableLeases(now) || c.sessionID != "" {
		t.closeConnection(c)
		return
	}
	c.queryID, c.usedAt = 0, now
	t.idleConnections[c.database] = append(t.idleConnections[c.database], c.id)
}

func (t *Table) closeConnection(c *connection) {
	t.idleConnections[c.database] = slices.DeleteFunc(t.idleConnections[c.database], func(id uint64) bool { return id == c.id })
	delete(t.connections, c.id)
	if s := t.sessions[c.sessionID]; s != nil && s.connection == c.id {
		s.connection = 0
	}
	if c.established {
		t.effects = append(t.effects, CloseConnection{Connection: c.id, Address: c.address, ID: c.remoteID})
	}
}

// breakConnection closes a connection that may be in use.
func (t *Table) breakConnection(now int64, c *connection) {
	s := t.sessions[c.sessionID]
	switch q := t.queries[c.queryID]; {
	case q != nil:
		t.runLost(now, q, result.TransactionLost, "its connection was closed")
	case s != nil:
		s.transactionLost = true
		t.closeConnection(c)
	default:
		t.closeConnection(c)
	}
}

// closeUnusedConnections closes what nobody may or will use any longer.
func (t *Table) closeUnusedConnections(now int64) {
	n := map[string]int{}
	t.eachConnection(func(c *connection) {
		w, ok := t.desired.member(c.database)
		m := t.members[c.database]
		free := c.queryID == 0 && c.sessionID == ""
		switch {
		case !ok || m == nil || c.address != w.Address:
			t.breakConnection(now, c)
		case m.drainingSince > 0 && now-m.drainingSince > drainGrace && (c.sessionID != "" || t.closedToQueries(w)), t.stopping && now >= t.shutdownAt:
			t.breakConnection(now, c)
		case free && c.established && (t.closedToQueries(w) || now-c.usedAt > idleConnectionTimeout):
			t.closeConnection(c)
		case c.queryID == 0 && c.sessionID != "" && now-c.usedAt > idleTransactionTimeout:
			t.breakConnection(now, c)
		default:
			n[c.database]++
			if free && c.established && n[c.database] > w.usableLeases(now) {
				t.closeConnection(c)
				n[c.database]--
			}
		}
	})
	if now < t.nextIdleCheckAt {
		return
	}
	t.nextIdleCheckAt = now + idleCheckInterval
	for id, s := range t.sessions {
		if s.activeQuery == 0 && s.connection == 0 && now-s.lastUsedAt > idleSessionTimeout {
			delete(t.sessions, id)
		}
	}
}

// DatabaseView is what this node knows of one database, for reports and operators.
type DatabaseView struct {
	Name             string `json:"Name"`
	Known            bool   `json:"Known"`
	UnresponsiveUs   int64  `json:"SilentUs"`
	Status           Status `json:"Status"`
	Draining         bool   `json:"Leaving"`
	BusyConnections  int    `json:"Busy"` // connections in use
	OpenTransactions int    `json:"Open"` // of these, by open transactions
}

// Views returns what the node knows of each database of the group.
func (t *Table) Views(now int64) []DatabaseView {
	var vs []DatabaseView
	busy, open := map[string]int{}, map[string]int{}
	for _, c := range t.connections {
		if c.queryID != 0 || c.sessionID != "" {
			busy[c.database]++
		}
		if c.sessionID != "" {
			open[c.database]++
		}
	}
	for _, w := range t.desired.Members {
		m := t.members[w.Name]
		v := DatabaseView{Name: w.Name, Known: m.known, Status: m.status, Draining: m.drainingSince > 0, BusyConnections: busy[w.Name], OpenTransactions: open[w.Name]}
		if m.failingSince > 0 {
			v.UnresponsiveUs = now - m.failingSince
		}
		vs = append(vs, v)
	}
	return vs
}

// OpenTransactions is how many sessions hold a connection.
func (t *Table) OpenTransactions() int {
	n := 0
	for _, s := range t.sessions {
		if s.connection != 0 {
			n++
		}
	}
	return n
}

// Ready says whether a query allowed now could be served: the node is permitted
// connections to a primary that replies and is followed.
func (t *Table) Ready(now int64) bool {
	p, ok := t.desired.member(t.desired.Primary)
	return ok && p.usableLeases(now) > 0 && t.freshness.Known() && !t.unresponsive(now, p.Name) && t.primaryFollowed(now) && !t.stopping
}
