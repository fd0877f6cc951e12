package querytable

import (
	"time"

	"stoneford/result"
)

const (
	// queueTimeout bounds the time from the routing of a query until it gets a
	// connection, and the time that a read waits for a majority. The total wait of a
	// query is bounded by queueTimeout plus the wait for a replica that its class allows.
	queueTimeout = time.Second
	// reconnectDelay is the time between a failed attempt to open a connection and the
	// next attempt to the same database.
	reconnectDelay = 50 * time.Millisecond
	// idleConnectionTimeout bounds the time that an unused connection stays open.
	idleConnectionTimeout = 10 * time.Second
	// idleTransactionTimeout bounds the time that an open transaction may occupy its
	// connection without a query.
	idleTransactionTimeout = 10 * time.Second
	// drainGrace is the time that open transactions on a draining database get to finish.
	drainGrace = 4 * time.Second
)

// assignConnections starts the runs of the queries that wait for a connection, in order
// of arrival, and opens further connections for the queries that got none.
func (t *Table) assignConnections(now int64) {
	missing := map[string]int{}
	t.eachQuery(func(q *query) {
		if q.state == awaitingConnection && !t.assignConnection(now, q) {
			missing[q.database]++
		}
	})
	if len(missing) == 0 {
		return
	}
	for _, m := range t.desired.Members {
		t.openConnections(now, m, missing[m.Name])
	}
}

// assignConnection starts a query's run, rejects the query or routes it again. It returns
// false if the query keeps waiting for a connection.
func (t *Table) assignConnection(now int64, q *query) bool {
	if q.connection != 0 {
		t.startRun(now, q, t.pool.byID[q.connection])
		return true
	}
	m, ok := t.desired.member(q.database)
	timedOut := now-q.waitingSince > queueTimeout.Microseconds()
	switch {
	case timedOut, q.write && (!ok || t.closedToQueries(m) || t.unresponsive(now, q.database)):
		t.reject(now, q, result.NoConnections, unavailableRetryDelay.Microseconds())
		return true
	case !ok, t.closedToQueries(m), t.unresponsive(now, q.database):
		t.retryRead(now, q, false)
		return true
	case !q.class.isCurrent() && !q.onPrimary && !t.isFresh(q, q.class.MarginUs, t.members[q.database].status.Applied, now):
		q.reroute()
		return true
	}
	c := t.pool.takeIdle(q.database)
	if c == nil {
		return false
	}
	c.queryID, q.connection = q.ID, c.id
	t.startRun(now, q, c)
	return true
}

// openConnections opens connections to a database until one is being opened for each
// waiting query, or the limit of the leases is reached.
func (t *Table) openConnections(now int64, m Member, missing int) {
	total, opening := t.pool.count(m.Name)
	if now < t.members[m.Name].reconnectAt {
		return
	}
	for range min(missing-opening, m.usableConnections(now)-total) {
		c := &connection{id: t.newID(), database: m.Name, address: m.Address, epoch: t.desired.Epoch, usedAt: now}
		t.pool.add(c)
		t.counts.ConnectionsOpened++
		t.emit(OpenConnection{ConnectionID: c.id, Address: m.Address})
	}
}

// finishOpen handles the end of an attempt to open a connection.
func (t *Table) finishOpen(now int64, e ConnectionOpened) {
	c := t.pool.byID[e.ConnectionID]
	switch {
	case c == nil && e.Err == "": // the connection was closed in the meantime
		t.emit(CloseConnection{ConnectionID: e.ConnectionID, RemoteID: e.RemoteID, Address: e.Address})
	case c == nil:
	case e.Err != "":
		delete(t.pool.byID, c.id)
		if m := t.members[c.database]; m != nil {
			m.reconnectAt = now + reconnectDelay.Microseconds()
		}
	default:
		c.remoteID, c.established, c.usedAt = e.RemoteID, true, now
		t.pool.addIdle(c)
	}
}

// releaseConnection returns a connection to the pool after a query, or closes it if it
// must not be used again.
func (t *Table) releaseConnection(now int64, c *connection) {
	m, ok := t.desired.member(c.database)
	total, _ := t.pool.count(c.database)
	if !ok || c.epoch != t.desired.Epoch || c.address != m.Address || t.closedToQueries(m) || total > m.usableConnections(now) || c.sessionID != "" {
		t.closeConnection(c)
		return
	}
	c.queryID, c.usedAt = 0, now
	t.pool.addIdle(c)
}

// closeConnection closes a connection, which rolls back the transaction open on it. The
// caller must end the query that uses the connection, if any.
func (t *Table) closeConnection(c *connection) {
	t.pool.remove(c)
	if s := t.sessions[c.sessionID]; s != nil && s.connection == c.id {
		s.connection = 0
	}
	if c.established {
		t.emit(CloseConnection{ConnectionID: c.id, Address: c.address, RemoteID: c.remoteID})
	}
}

// forceClose closes a connection that may be in use. A query that runs on it ends as
// lost. If a transaction is open without a query, the loss is reported with the session's
// next query.
func (t *Table) forceClose(now int64, c *connection) {
	if q := t.queries[c.queryID]; q != nil {
		t.runLost(now, q, result.TransactionLost, "its connection was closed")
		return
	}
	if s := t.sessions[c.sessionID]; s != nil {
		s.transactionLost = true
	}
	t.closeConnection(c)
}

// closeUnusedConnections closes connections that were idle for too long, exceed the
// leases, or belong to a removed, moved or drained database.
func (t *Table) closeUnusedConnections(now int64) {
	kept := map[string]int{}
	t.pool.each(func(c *connection) {
		m, ok := t.desired.member(c.database)
		switch {
		case !ok || c.address != m.Address || t.mustForceClose(now, c, m):
			t.forceClose(now, c)
		case c.isIdle() && c.established && (t.closedToQueries(m) || now-c.usedAt > idleConnectionTimeout.Microseconds()):
			t.closeConnection(c)
		case c.queryID == 0 && c.sessionID != "" && now-c.usedAt > idleTransactionTimeout.Microseconds():
			t.forceClose(now, c)
		case c.isIdle() && c.established && kept[c.database]+1 > m.usableConnections(now):
			t.closeConnection(c)
		default:
			kept[c.database]++
		}
	})
}

// mustForceClose reports whether a connection must be closed even if it is in use,
// because the grace period of its database's drain or of the shutdown is over.
func (t *Table) mustForceClose(now int64, c *connection, m Member) bool {
	drainingSince := t.members[c.database].drainingSince
	drained := drainingSince > 0 && now-drainingSince > drainGrace.Microseconds()
	return drained && (c.sessionID != "" || t.closedToQueries(m)) || t.stopping && now >= t.shutdownAt
}
