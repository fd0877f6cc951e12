package querytable

import "slices"

// connection is a connection to a database, open or being opened. Times are those of Step.
type connection struct {
	id          uint64
	database    string
	address     string
	epoch       uint64 // epoch of the group at opening; the connection is not used in any other epoch
	remoteID    int64  // connection ID assigned by the database
	established bool
	needsReset  bool   // the connection may still have a session's values or prepared statements
	queryID     uint64 // query that uses the connection, 0 if none
	sessionID   string // session with a transaction open on the connection, "" if none
	usedAt      int64  // when the connection was requested, opened, assigned to a run or released, whichever was last
}

// isIdle reports whether no query and no transaction uses the connection.
func (c *connection) isIdle() bool { return c.queryID == 0 && c.sessionID == "" }

// connectionPool holds all connections of a table.
type connectionPool struct {
	byID  map[uint64]*connection
	order []uint64            // in order of opening; may include IDs of closed connections
	idle  map[string][]uint64 // established and unused connections by database, the most recently used last
}

// each calls f for each connection in order of opening. f may close any connection.
func (p *connectionPool) each(f func(*connection)) {
	for _, id := range p.order {
		if c := p.byID[id]; c != nil {
			f(c)
		}
	}
}

func (p *connectionPool) add(c *connection) {
	p.byID[c.id] = c
	p.order = append(p.order, c.id)
}

func (p *connectionPool) remove(c *connection) {
	p.idle[c.database] = slices.DeleteFunc(p.idle[c.database], func(id uint64) bool { return id == c.id })
	delete(p.byID, c.id)
}

func (p *connectionPool) addIdle(c *connection) {
	p.idle[c.database] = append(p.idle[c.database], c.id)
}

// takeIdle removes the most recently used idle connection to a database from the idle
// list and returns it, or nil if there is none.
func (p *connectionPool) takeIdle(database string) *connection {
	ids := p.idle[database]
	if len(ids) == 0 {
		return nil
	}
	p.idle[database] = slices.Clone(ids[:len(ids)-1])
	return p.byID[ids[len(ids)-1]]
}

// count returns the number of connections to a database and how many of them are still
// being opened.
func (p *connectionPool) count(database string) (total, opening int) {
	for _, c := range p.byID {
		if c.database != database {
			continue
		}
		total++
		if !c.established {
			opening++
		}
	}
	return total, opening
}

// removeClosed removes the IDs of closed connections from the opening order.
func (p *connectionPool) removeClosed() {
	if len(p.order) > len(p.byID) {
		p.order = slices.DeleteFunc(p.order, func(id uint64) bool { return p.byID[id] == nil })
	}
}
