package fleetsimulation

import (
	"fmt"
	"slices"

	"stoneford/internal/ports"
	"stoneford/internal/sessiontable"
)

// stream is a connection from a node to a database.
type stream struct {
	fleet              *Fleet
	node               *Node
	generation         int // run of the node
	id                 uint64
	ip                 string // of the database
	database           *Database
	databaseGeneration int
	connection         *databaseConnection // database's end of the connection, once accepted
	established        bool                // the node knows that the connection is open
	atNode             bool                // the node has not closed the connection
	brokenSinceUs      int64               // time from which on the two sides cannot reach each other, 0 if they can
}

// source returns the name of a connection's event source at its node.
func (n *Node) source(connection uint64) string { return fmt.Sprint("conn", connection) }

// connect opens a connection to a database.
func (n *Node) connect(d sessiontable.Connect) {
	f := n.fleet
	s := &stream{fleet: f, node: n, generation: n.generation, id: d.Conn, ip: hostOf(d.Address), atNode: true}
	n.streams[d.Conn] = s
	f.streams = append(f.streams, s)
	f.After(int64(float64(d.TimeoutUs)/n.clockRate), func() { s.connectEnded(sessiontable.ConnectFinished{Conn: d.Conn, Err: "timed out"}) })
	f.network.transmit(n.ip, s.ip, func() { s.arrive(d) })
}

// connectEnded completes the opening of the connection at the node.
func (s *stream) connectEnded(e sessiontable.ConnectFinished) {
	n := s.node
	if !s.atNode || s.established {
		return
	}
	n.handle(n.source(s.id), func() {
		if n.streams[s.id] != s || n.generation != s.generation || s.established {
			return
		}
		if e.Err != "" {
			s.atNode = false
			delete(n.streams, s.id)
			if s.connection != nil {
				s.fleet.network.transmit(n.ip, s.ip, s.closeAtDatabase)
			}
		} else {
			s.established = true
		}
		n.step(e)
	})
}

// replyConnect sends the result of opening the connection to the node.
func (s *stream) replyConnect(e sessiontable.ConnectFinished) {
	s.fleet.network.transmit(s.ip, s.node.ip, func() { s.connectEnded(e) })
}

// arrive opens the connection at the database.
func (s *stream) arrive(d sessiontable.Connect) {
	db := s.fleet.databaseAt[d.Address]
	switch {
	case db != nil && db.unresponsive && !db.up:
		return
	case db == nil || !db.up:
		s.replyConnect(sessiontable.ConnectFinished{Conn: d.Conn, Err: "connection refused", ConnectionRefused: true})
		return
	}
	s.database, s.databaseGeneration = db, db.generation
	code, c := db.accept(d.Group, d.ID, s)
	if code != ports.Done {
		s.replyConnect(sessiontable.ConnectFinished{Conn: d.Conn, Err: "rejected", Code: code})
		return
	}
	s.connection = c
	db.runInSlot(connectTimeUs, true, func() {
		if c.open {
			s.replyConnect(sessiontable.ConnectFinished{Conn: d.Conn, Position: db.position()})
		}
	})
}

// transmission is a batch of operations on its way to a database.
type transmission struct {
	stream   *stream
	ops      []ports.Op
	sentUs   int64
	received bool
}

// send sends operations to the database. If the database's machine does not acknowledge
// them in time, the connection breaks.
func (s *stream) send(ops []ports.Op) {
	f, n := s.fleet, s.node
	t := &transmission{stream: s, sentUs: f.Now}
	for _, op := range ops {
		if statement := f.oracle.statement(op.Statement.ID); statement != nil {
			statement.forwarded = true
			statement.forwardedUs, statement.forwardedTable = f.Now, n.core.TableRevision()
		}
		if f.Plan.Mutation == OwnCommitsForgotten && f.oracle.committedInSeveralGroups(op) {
			op.MinPosition = ports.Position{}
		}
		op.Statement.Raw = slices.Clone(op.Statement.Raw)
		if f.Plan.Mutation == TextChanged && !op.Internal && f.Chance(0.01) {
			op.Statement.Raw = append(op.Statement.Raw, '!')
		}
		t.ops = append(t.ops, op)
	}
	f.network.transmit(n.ip, s.ip, t.deliver)
	f.After(unackedBytesTimeoutUs, func() {
		if !t.received && s.atNode {
			s.notifyLost(false, "timed out")
		}
	})
}

// deliver passes the operations to the database if the connection is open there.
// Operations for an unresponsive machine are retransmitted.
func (t *transmission) deliver() {
	s, f := t.stream, t.stream.fleet
	if s.database == nil || s.connection == nil {
		return
	}
	switch {
	case s.databaseServes():
		t.received = true
		if s.connection.open {
			s.connection.enqueue(t.ops, s.node)
		} else {
			s.reset()
		}
	case s.database.unresponsive && !s.database.up:
		if f.Now-t.sentUs < unackedBytesTimeoutUs {
			f.After(retransmissionIntervalUs, t.deliver)
		}
	default:
		t.received = true
		s.reset()
	}
}

// databaseServes reports whether the database still is in the run in which it accepted
// the connection.
func (s *stream) databaseServes() bool {
	return s.database.up && s.database.generation == s.databaseGeneration
}

// reset resets the connection from the database's side.
func (s *stream) reset() {
	s.fleet.network.transmit(s.ip, s.node.ip, func() { s.notifyLost(true, "reset") })
}

// notifyLost notifies the node that the connection broke. disconnected reports that the
// database's side is known to have closed it.
func (s *stream) notifyLost(disconnected bool, err string) {
	n := s.node
	if !s.atNode {
		return
	}
	n.handle(n.source(s.id), func() {
		if !s.atNode || n.generation != s.generation || n.streams[s.id] != s {
			return
		}
		s.atNode = false
		delete(n.streams, s.id)
		if !s.established {
			n.step(sessiontable.ConnectFinished{Conn: s.id, Err: err, ConnectionRefused: false})
			return
		}
		n.step(sessiontable.ConnectionLost{Conn: s.id, Err: err, Disconnected: disconnected})
	})
}

// closeFromNode closes the connection on behalf of the node. The database closes its end
// after the operations that were sent before.
func (s *stream) closeFromNode() {
	s.atNode = false
	s.fleet.network.transmit(s.node.ip, s.ip, s.closeAtDatabase)
}

// closeAtDatabase closes the connection at the database after the operations that have
// arrived.
func (s *stream) closeAtDatabase() {
	if s.connection != nil && s.database.generation == s.databaseGeneration {
		s.connection.closeWhenIdle()
	}
}

// sendResponse delivers a database's response to the node.
func (s *stream) sendResponse(response ports.Response) {
	n := s.node
	s.fleet.network.transmit(s.ip, n.ip, func() {
		if !s.atNode {
			return
		}
		n.handle(n.source(s.id), func() {
			if s.atNode && n.generation == s.generation && n.streams[s.id] == s {
				response.Body = slices.Clone(response.Body)
				n.step(sessiontable.AnswerReceived{Conn: s.id, Answer: response})
			}
		})
	})
}

// sweepStreams drops connections whose peer has been unreachable for too long, as TCP
// keep-alive does on both sides.
func (f *Fleet) sweepStreams() {
	f.streams = slices.DeleteFunc(f.streams, func(s *stream) bool {
		return !s.atNode && (s.connection == nil || !s.connection.open)
	})
	for _, s := range f.streams {
		s.checkAlive()
	}
	f.After(streamSweepIntervalUs, f.sweepStreams)
}

// checkAlive drops the connection of two sides that cannot reach each other: at the
// database after unreachableNodeTimeoutUs, at the node after unreachableDatabaseTimeoutUs.
func (s *stream) checkAlive() {
	now := s.fleet.Now
	if s.intact() {
		s.brokenSinceUs = 0
		return
	}
	if s.brokenSinceUs == 0 {
		s.brokenSinceUs = now
	}
	if now-s.brokenSinceUs >= unreachableNodeTimeoutUs && s.connection != nil && s.connection.open && s.databaseServes() {
		s.connection.drop()
	}
	if now-s.brokenSinceUs >= unreachableDatabaseTimeoutUs && s.established {
		s.notifyLost(false, "timed out")
	}
}

// intact reports whether the two sides can reach each other.
func (s *stream) intact() bool {
	return s.fleet.network.connected(s.node.ip, s.ip) && (s.database == nil || s.database.up || !s.database.unresponsive) && s.node.up && s.node.generation == s.generation
}
