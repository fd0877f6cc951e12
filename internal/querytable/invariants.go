package querytable

// checkInvariants panics if the table contradicts itself. That is a defect, and going on
// could run a statement in another session's transaction (design 7.6).
func (t *Table) checkInvariants() {
	for id, c := range t.pool.byID {
		t.checkConnection(id, c)
	}
	for database, ids := range t.pool.idle {
		for _, id := range ids {
			if c := t.pool.byID[id]; c == nil || c.database != database || !c.isIdle() {
				panic("querytable: a connection in use is among the idle ones")
			}
		}
	}
	for id, q := range t.queries {
		if s := t.sessions[q.Session]; s == nil || s.activeQuery != id {
			panic("querytable: a query's session does not know it")
		}
	}
}

func (t *Table) checkConnection(id uint64, c *connection) {
	if c.queryID != 0 {
		q := t.queries[c.queryID]
		if q == nil || q.connection != id {
			panic("querytable: a connection is used by a query that does not have it")
		}
		if c.sessionID != "" && q.Session != c.sessionID {
			panic("querytable: a query runs in another session's transaction")
		}
	}
	if c.sessionID != "" {
		if s := t.sessions[c.sessionID]; s == nil || s.connection != id {
			panic("querytable: a transaction's connection is not its session's")
		}
	}
}
