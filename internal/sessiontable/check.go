package sessiontable

import "fmt"

// checkTouched stops the process where a connection is tied wrongly; it looks
// at what this step touched.
func (t *Table) checkTouched() {
	for _, conn := range t.touchedConnections {
		conn.touched = false
		if t.connections[conn.id] == conn {
			if m := conn.inconsistency(); m != "" {
				panic(fmt.Sprintf("sessiontable: connection %d: %s", conn.id, m))
			}
		}
	}
	t.touchedConnections = t.touchedConnections[:0]
}

func (c *connection) inconsistency() string {
	switch req, tx := c.request, c.tx; {
	case req != nil && req.connection != c:
		return "its statement does not know of it"
	case tx != nil && tx.connection != c:
		return "its transaction does not know of it"
	case req != nil && req.tx != tx:
		return "it runs a statement outside its transaction"
	case req != nil && tx != nil && req.session != tx.session:
		return "two sessions hold it"
	case req != nil && len(c.pending) == 0:
		return "it runs nothing it was sent"
	case tx != nil && !tx.begun:
		return "its transaction has not begun"
	}
	return ""
}
