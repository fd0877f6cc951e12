package sessiontable

import "fmt"

// checkTouched panics if a connection that changed in this step is inconsistent with its
// request or transaction, because a reply could then reach the wrong session.
func (t *Table) checkTouched() {
	for _, conn := range t.touchedConnections {
		conn.touched = false
		if t.connections[conn.id] == conn {
			if problem := conn.inconsistency(); problem != "" {
				panic(fmt.Sprintf("sessiontable: connection %d: %s", conn.id, problem))
			}
		}
	}
	t.touchedConnections = t.touchedConnections[:0]
}

// inconsistency describes the first inconsistency between the connection and its request
// or transaction, or returns "" if there is none.
func (c *connection) inconsistency() string {
	switch req, tx := c.request, c.tx; {
	case req != nil && req.conn != c:
		return "its request does not refer to it"
	case tx != nil && tx.conn != c:
		return "its transaction does not refer to it"
	case req != nil && req.tx != tx:
		return "its request belongs to another transaction"
	case req != nil && tx != nil && req.session != tx.session:
		return "its request and its transaction belong to different sessions"
	case req != nil && len(c.pending) == 0:
		return "it has a request but no pending operation"
	case tx != nil && !tx.beginSent:
		return "the begin of its transaction was not sent"
	}
	return ""
}
