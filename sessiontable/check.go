package sessiontable

import "fmt"

// checkTouched stops the process where a connection is tied wrongly; it looks
// at what this step touched.
func (t *Table) checkTouched() {
	for _, c := range t.touched {
		c.seen = false
		if t.conns[c.id] == c {
			if m := c.wrong(); m != "" {
				panic(fmt.Sprintf("sessiontable: connection %d: %s", c.id, m))
			}
		}
	}
	t.touched = t.touched[:0]
}

func (c *conn) wrong() string {
	switch a, x := c.request, c.tx; {
	case a != nil && a.conn != c:
		return "its statement does not know of it"
	case x != nil && x.conn != c:
		return "its transaction does not know of it"
	case a != nil && a.tx != x:
		return "it runs a statement outside its transaction"
	case a != nil && x != nil && a.s != x.s:
		return "two sessions hold it"
	case a != nil && len(c.pend) == 0:
		return "it runs nothing it was sent"
	case x != nil && !x.begun:
		return "its transaction has not begun"
	}
	return ""
}
