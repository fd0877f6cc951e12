package sessiontable

import "stoneford/internal/ports"

// Times of the health checks of a failing database, in µs. Shorter ones notice sooner
// that it works again and connect more often in vain.
const (
	firstHealthCheckDelay  = 50_000  // after a database began to fail
	healthCheckInterval    = 500_000 // while no connection to it may be opened
	minConnectBackoff      = 50_000
	maxConnectBackoff      = 1_000_000
	rejectedConnectBackoff = 300_000 // after the database had too many connections
)

// setFailing notes that a database cannot be used since a moment. The voters learn of
// it at once.
func (t *Table) setFailing(db *database, since int64, disconnected bool) {
	if db.failingSince == 0 || disconnected && !db.disconnected {
		t.reportChanged = true
	}
	if db.failingSince == 0 {
		db.failingSince = max(since, 1)
	}
	db.disconnected = db.disconnected || disconnected
	t.scheduleDispatch(db)
	t.wakeAt(db, max(db.backoffUntil, t.now+firstHealthCheckDelay))
}

// setWorking notes that a database answered.
func (t *Table) setWorking(db *database) {
	if db.failingSince > 0 {
		db.failingSince, db.disconnected, db.readsMoved = 0, false, false
		t.scheduleDispatch(db)
	}
	db.wrongIdentity = false
}

// setWrongIdentity notes that another database answers at the address.
func (t *Table) setWrongIdentity(db *database) {
	db.wrongIdentity = true
	t.setFailing(db, t.now, true)
}

// checkHealth connects to a failing database to see whether it works again.
func (t *Table) checkHealth(db *database) {
	if db.failingSince == 0 || db.removed || db.Draining || db.wrongIdentity || db.openingConnections > 0 {
		return
	}
	if t.now < db.backoffUntil {
		t.wakeAt(db, db.backoffUntil)
		return
	}
	if len(db.connections)-db.overdue < t.connectionLimit(db) {
		t.growBackoff(db)
		t.connect(db)
		return
	}
	t.wakeAt(db, t.now+healthCheckInterval)
}

// growBackoff doubles the time until the next connect.
func (t *Table) growBackoff(db *database) {
	db.backoffUs = min(max(db.backoffUs*2, minConnectBackoff), maxConnectBackoff)
	db.backoffUntil = t.now + db.backoffUs
}

// moveReads assigns the reads that wait for a failing database anew, once.
func (t *Table) moveReads(db *database) {
	if db.readsMoved {
		return
	}
	db.readsMoved = true
	t.requeue(db, func(req *request) bool { return !req.hasConnection() && !req.needsPrimary() })
}

// connectEnded takes the result of a connect.
func (t *Table) connectEnded(e ConnectEnded) {
	conn := t.connections[e.Conn]
	if conn == nil || conn.open {
		return
	}
	if e.Err == "" && e.Code == ports.Done {
		t.connected(conn, e.Position)
		return
	}
	t.remove(conn)
	t.connectFailed(conn.db, e)
}

func (t *Table) connected(conn *connection, position ports.Position) {
	db := conn.db
	db.openingConnections--
	conn.open = true
	db.backoffUs, db.backoffUntil = 0, 0
	t.setWorking(db)
	t.recordPosition(db, position)
	t.recycle(conn)
}

func (t *Table) connectFailed(db *database, e ConnectEnded) {
	crowded := t.connectionQuota(db) < 1
	switch {
	case crowded && (e.Code == ports.TooManyConnections || e.Disconnected && !e.ConnectionRefused):
		// A connection gets free once another node has closed one.
		db.backoffUntil = t.now + crowdedRetryDelay + t.rand.Int64N(crowdedRetryDelay)
		t.wakeAt(db, db.backoffUntil)
		return
	case e.Code == ports.TooManyConnections:
		db.backoffUntil = t.now + rejectedConnectBackoff
	default:
		t.growBackoff(db)
	}
	switch {
	case e.Code == ports.WrongInstance:
		t.setWrongIdentity(db)
	case e.Code == ports.Done || e.ConnectionRefused:
		t.setFailing(db, t.now, e.ConnectionRefused)
	}
	if db.failingSince > 0 || db.queue.len() > 0 {
		t.wakeAt(db, db.backoffUntil)
	}
}
