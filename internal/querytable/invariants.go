package querytable

import "fmt"

// checkInvariants panics if the table is inconsistent. That is a bug, and continuing
// could run a statement in another session's transaction (design 7.6).
func (t *Table) checkInvariants() {
	for id, c := range t.pool.byID {
		t.checkConnection(id, c)
	}
	for database, ids := range t.pool.idle {
		for _, id := range ids {
			if c := t.pool.byID[id]; c == nil || c.database != database || !c.isIdle() {
				panic(fmt.Sprintf("querytable: idle list of database %q contains connection %d, which is closed, in use or of another database", database, id))
			}
		}
	}
	for id, q := range t.queries {
		if s := t.sessions[q.Session]; s == nil || s.activeQuery != id {
			panic(fmt.Sprintf("querytable: query %d is not the active query of its session %q", id, q.Session))
		}
	}
}

func (t *Table) checkConnection(id uint64, c *connection) {
	if c.queryID != 0 {
		q := t.queries[c.queryID]
		if q == nil || q.connection != id {
			panic(fmt.Sprintf("querytable: connection %d is assigned to query %d, which has ended or uses another connection", id, c.queryID))
		}
		if c.sessionID != "" && q.Session != c.sessionID {
			panic(fmt.Sprintf("querytable: query %d of session %q uses connection %d, where session %q has a transaction open", c.queryID, q.Session, id, c.sessionID))
		}
	}
	if c.sessionID != "" {
		if s := t.sessions[c.sessionID]; s == nil || s.connection != id {
			panic(fmt.Sprintf("querytable: connection %d has a transaction of session %q open, but the session does not use the connection", id, c.sessionID))
		}
	}
}
