package fleetsimulation

import (
	"slices"

	"stoneford/internal/ports"
)

// databaseConnection is the database's end of a connection. It runs its operations one at
// a time, in order.
type databaseConnection struct {
	database    *Database
	stream      *stream // to the node; nil on a connection of a control process
	open        bool
	values      map[string]string
	prepared    map[string]preparedStatement
	state       ports.TransactionState
	transaction *databaseTransaction
	queue       []ports.Op
	running     bool
	closing     bool // closed by the other end; operations that arrived before still run
}

// preparedStatement is the statement that a prepared name refers to.
type preparedStatement struct {
	text   string
	writes bool
}

// databaseTransaction is an open transaction of a connection.
type databaseTransaction struct {
	begin    *Statement
	mayWrite bool
	term     uint64
	writes   []*Statement
}

// accept opens a connection. It rejects a connection meant for another group or database,
// and one beyond the group's connection limit.
func (d *Database) accept(group, id string, s *stream) (ports.Code, *databaseConnection) {
	switch {
	case group != d.group.name || id != "" && id != d.id:
		return ports.WrongInstance, nil
	case len(d.connections) >= d.group.connectionLimit:
		return ports.TooManyConnections, nil
	}
	c := &databaseConnection{database: d, stream: s, open: true, values: map[string]string{}, prepared: map[string]preparedStatement{}}
	d.connections = append(d.connections, c)
	d.fleet.oracle.connections++
	return ports.Done, c
}

// closeWhenIdle closes the connection after the operations that have arrived.
func (c *databaseConnection) closeWhenIdle() {
	c.closing = true
	if !c.running && len(c.queue) == 0 {
		c.drop()
	}
}

// drop closes the connection at once and rolls its transaction back.
func (c *databaseConnection) drop() {
	if !c.open {
		return
	}
	c.open, c.transaction, c.queue = false, nil, nil
	c.database.connections = slices.DeleteFunc(c.database.connections, func(o *databaseConnection) bool { return o == c })
}

// enqueue queues operations sent by a node and starts the first one if none runs.
func (c *databaseConnection) enqueue(ops []ports.Op, n *Node) {
	for _, op := range ops {
		if !op.Internal {
			c.database.fleet.oracle.statementArrived(c.database, n, op)
		}
	}
	c.queue = append(c.queue, ops...)
	c.next()
}

// next starts the next queued operation unless one is running.
func (c *databaseConnection) next() {
	if c.running || !c.open {
		return
	}
	if len(c.queue) == 0 {
		if c.closing {
			c.drop()
		}
		return
	}
	op := c.queue[0]
	c.queue = c.queue[1:]
	c.running = true
	gen := c.database.generation
	c.exec(op, func(response ports.Response) {
		if !c.database.up || c.database.generation != gen {
			return
		}
		c.running = false
		if !c.open {
			return
		}
		response.State, response.Position = c.state, c.database.position()
		if c.stream != nil {
			c.reply(op, response)
		}
		c.next()
	})
}

// reply sends a response to the node. The fault that loses replies either drops it or
// resets the connection.
func (c *databaseConnection) reply(op ports.Op, response ports.Response) {
	d := c.database
	if !op.Internal && op.Statement.Kind != ports.Begin && op.Statement.Kind != ports.BeginRead && d.fleet.Chance(d.lostReplyProbability) {
		if d.lostReplyKind == 0 {
			return // the node never receives the response
		}
		s := c.stream
		c.drop()
		d.fleet.network.transmit(d.ip, s.node.ip, func() { s.notifyLost(true, "reset") })
		return
	}
	c.stream.sendResponse(response)
}

// errorResponse returns the response to a statement that failed.
func errorResponse(code ports.Code, text string) ports.Response {
	return ports.Response{Code: code, Text: text, Body: []byte("error " + text)}
}

// respondWhenConfirmed responds once enough replicas have received a commit. If the
// database stops being primary first, the outcome of the commit is unknown and the
// connection is reset.
func (c *databaseConnection) respondWhenConfirmed(e *entry, body []byte, done func(ports.Response)) {
	d := c.database
	d.whenConfirmed(e, func(ok bool) {
		if ok {
			done(ports.Response{Stamped: true, Body: body})
			return
		}
		if s := c.stream; s != nil {
			c.drop()
			d.fleet.network.transmit(d.ip, s.node.ip, func() { s.notifyLost(true, "reset") })
		}
	})
}
