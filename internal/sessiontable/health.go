package sessiontable

// markFailing notes that an instance cannot be used; it is told at once.
func (t *Table) markFailing(db *database, since int64, cut bool) {
	if db.failingSince == 0 || cut && !db.disconnected {
		t.reportChanged = true
	}
	if db.failingSince == 0 {
		db.failingSince = max(since, 1)
	}
	db.disconnected = db.disconnected || cut
	db.markChanged(t)
	t.wakeAt(db, max(db.backoffUntil, t.now+50_000))
}

// markWorking notes that an instance gave a sign.
func (t *Table) markWorking(db *database) {
	if db.failingSince > 0 {
		db.failingSince, db.disconnected, db.readsMoved = 0, false, false
		db.markChanged(t)
	}
	db.wrongIdentity = false
}

// checkHealth connects to an instance that fails, to see when it works again.
func (t *Table) checkHealth(db *database) {
	if db.failingSince == 0 || db.removed || db.Draining || db.wrongIdentity || db.opening > 0 {
		return
	}
	if t.now < db.backoffUntil {
		t.wakeAt(db, db.backoffUntil)
		return
	}
	if len(db.connections)-db.stuck < t.connectionLimit(db) {
		db.backUs = min(max(db.backUs*2, 50_000), 1_000_000)
		db.backoffUntil = t.now + db.backUs
		t.connect(db)
		return
	}
	t.wakeAt(db, t.now+500_000)
}

// moveReads places anew the reads that wait for an instance that fails, once.
func (t *Table) moveReads(db *database) {
	if db.readsMoved {
		return
	}
	db.readsMoved = true
	t.requeue(db, func(req *request) bool { return !req.hasConnection() && !req.needsPrimary() })
}
