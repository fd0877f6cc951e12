package sessiontable

import (
	"time"

	"stoneford/internal/ports"
)

// Intervals of the health checks of a failing database. Shorter ones detect its recovery
// sooner, and cause more connects that fail.
const (
	// firstHealthCheckDelay is the time from a failure to the first health check.
	firstHealthCheckDelay = 50 * time.Millisecond
	// healthCheckInterval is the time to the next check if the connection limit prevents
	// this one.
	healthCheckInterval = 500 * time.Millisecond
	// minConnectBackoff is the backoff after the first failed connect. It doubles with
	// each consecutive failure, up to maxConnectBackoff.
	minConnectBackoff = 50 * time.Millisecond
	maxConnectBackoff = time.Second
	// rejectedConnectBackoff is the backoff after a connect was rejected because of too
	// many connections.
	rejectedConnectBackoff = 300 * time.Millisecond
)

// setFailing records that a database has been unusable since a moment, which is reported
// to the voters at once, and schedules its health check.
func (t *Table) setFailing(db *database, since int64, disconnected bool) {
	if db.failingSinceUs == 0 || disconnected && !db.disconnected {
		t.reportChanged = true
	}
	if db.failingSinceUs == 0 {
		db.failingSinceUs = max(since, 1)
	}
	db.disconnected = db.disconnected || disconnected
	t.scheduleDispatch(db)
	t.wakeAt(db, max(db.backoffUntilUs, t.now+firstHealthCheckDelay.Microseconds()))
}

// setWorking clears the failure of a database that answered or accepted a connection.
func (t *Table) setWorking(db *database) {
	if db.failingSinceUs > 0 {
		db.failingSinceUs, db.disconnected, db.readsReassigned = 0, false, false
		t.scheduleDispatch(db)
	}
	db.wrongIdentity = false
}

// setWrongIdentity records that another instance answers at the database's address.
func (t *Table) setWrongIdentity(db *database) {
	db.wrongIdentity = true
	t.setFailing(db, t.now, true)
}

// checkHealth connects to a failing database to detect its recovery.
func (t *Table) checkHealth(db *database) {
	if db.failingSinceUs == 0 || db.removed || db.Draining || db.wrongIdentity || db.openingConnections > 0 {
		return
	}
	if t.now < db.backoffUntilUs {
		t.wakeAt(db, db.backoffUntilUs)
		return
	}
	if len(db.connections)-db.overdue < t.connectionLimit(db) {
		t.growBackoff(db)
		t.connect(db)
		return
	}
	t.wakeAt(db, t.now+healthCheckInterval.Microseconds())
}

// growBackoff doubles the connect backoff, and starts it.
func (t *Table) growBackoff(db *database) {
	db.backoffUs = min(max(db.backoffUs*2, minConnectBackoff.Microseconds()), maxConnectBackoff.Microseconds())
	db.backoffUntilUs = t.now + db.backoffUs
}

// reassignReads reassigns the reads queued for a failing database, once per failure.
func (t *Table) reassignReads(db *database) {
	if db.readsReassigned {
		return
	}
	db.readsReassigned = true
	t.reassignQueued(db, func(req *request) bool { return !req.hasConnection() && !req.needsPrimary() })
}

// connectFinished processes the result of a connect.
func (t *Table) connectFinished(e ConnectFinished) {
	conn := t.connections[e.Conn]
	if conn == nil || conn.open {
		return
	}
	if e.Err == "" && e.Code == ports.Done {
		t.connected(conn, e.Position)
		return
	}
	t.removeConnection(conn)
	t.connectFailed(conn.db, e)
}

// connected makes a newly opened connection idle.
func (t *Table) connected(conn *connection, position ports.Position) {
	db := conn.db
	db.openingConnections--
	conn.open = true
	db.backoffUs, db.backoffUntilUs = 0, 0
	t.setWorking(db)
	t.recordPosition(db, position)
	t.recycle(conn)
}

// connectFailed starts the backoff after a failed connect, and records whether the database
// is failing. A connect to an oversubscribed database that is rejected is no failure.
func (t *Table) connectFailed(db *database, e ConnectFinished) {
	oversubscribed := t.connectionQuota(db) < 1
	switch {
	case oversubscribed && (e.Code == ports.TooManyConnections || e.Disconnected && !e.ConnectionRefused):
		// The connect can succeed once another node closes a connection.
		delay := oversubscribedRetryDelay.Microseconds()
		db.backoffUntilUs = t.now + delay + t.rand.Int64N(delay)
		t.wakeAt(db, db.backoffUntilUs)
		return
	case e.Code == ports.TooManyConnections:
		db.backoffUntilUs = t.now + rejectedConnectBackoff.Microseconds()
	default:
		t.growBackoff(db)
	}
	switch {
	case e.Code == ports.WrongInstance:
		t.setWrongIdentity(db)
	case e.Code == ports.Done || e.ConnectionRefused:
		t.setFailing(db, t.now, e.ConnectionRefused)
	}
	if db.failingSinceUs > 0 || db.queue.len() > 0 {
		t.wakeAt(db, db.backoffUntilUs)
	}
}
