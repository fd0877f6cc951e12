package fleetsimulation

import (
	"fmt"

	"stoneford/internal/ports"
	"stoneford/internal/sessiontable"
)

// Session is the caller's end of a session.
type Session struct {
	fleet        *Fleet
	caller       *caller
	node         *Node
	generation   int
	id           uint64
	open         bool // neither side has closed it
	ready        bool // the node has confirmed that it is open
	state        ports.TransactionState
	values       map[string]string
	prepared     map[string]preparedStatement
	request      *pendingRequest
	acknowledged []*entry // commits that were acknowledged to it, in all groups
}

// pendingRequest is the request whose reply a session waits for.
type pendingRequest struct {
	statement   *Statement // nil while the session opens
	arrivedAtUs int64      // time at which the request arrived at the node, 0 before that
	end         func(r ports.Reply, lost bool)
}

// connect opens a session at a node.
func (c *caller) connect(n *Node) *Session {
	f := c.fleet
	s := &Session{fleet: f, caller: c, node: n, generation: n.generation, open: true, values: map[string]string{}, prepared: map[string]preparedStatement{}}
	f.sessionIDs++
	s.id = f.sessionIDs
	f.After(toCallerDelayUs, func() {
		if !s.open {
			return
		}
		if !n.up || n.generation != s.generation {
			f.After(toCallerDelayUs, s.connectionBroke)
			return
		}
		n.sessions[s.id] = s
		n.handle(s.source(), func() {
			if n.generation == s.generation && n.sessions[s.id] == s {
				if s.request != nil {
					s.request.arrivedAtUs = f.Now
				}
				n.step(sessiontable.SessionOpened{Session: s.id, Host: c.route.host})
			}
		})
	})
	return s
}

// source returns the name of the session's event source at its node.
func (s *Session) source() string { return fmt.Sprint("session", s.id) }

// send sends a statement to the node. end receives the reply, or true for lost if the
// session broke.
func (s *Session) send(statement *Statement, end func(ports.Reply, bool)) {
	f, n := s.fleet, s.node
	request := &pendingRequest{statement: statement, end: end}
	s.request = request
	f.After(toCallerDelayUs, func() {
		n.handle(s.source(), func() {
			if n.generation != s.generation || n.sessions[s.id] != s {
				return
			}
			request.arrivedAtUs = f.Now
			n.step(sessiontable.StatementReceived{Session: s.id, Statement: ports.Statement{ID: statement.id, Kind: statement.kind, Name: statement.name, Text: statement.text, Writes: statement.writes || statement.preparedStatement.writes, Raw: []byte(statement.raw)}})
		})
	})
}

// deliverReply delivers a node's reply to the caller. A healthy node must reject in time
// a statement that it does not forward (rule HELD).
func (s *Session) deliverReply(r ports.Reply, closed bool) {
	f := s.fleet
	if request := s.request; request != nil && request.arrivedAtUs > 0 && len(r.Body) == 0 && r.Code.NoEffect() {
		pendingUs := f.Now - request.arrivedAtUs
		f.oracle.RejectionDelays = append(f.oracle.RejectionDelays, pendingUs)
		if pendingUs > rejectTimeoutUs && (request.statement == nil || !request.statement.forwarded) && s.node.lastFaultUs < request.arrivedAtUs && s.node.healthy() {
			f.oracle.violation("HELD: %s rejected a request with code %d (%s) only after %d ms", s.node.name, r.Code, r.Text, pendingUs/1000)
		}
	}
	f.After(toCallerDelayUs, func() {
		if !s.open {
			return
		}
		s.state = r.State
		request := s.request
		if closed {
			s.open = false
		}
		if request == nil {
			f.oracle.violation("%s replied with code %d (%s) without a pending request", s.node.name, r.Code, r.Text)
			s.close()
			return
		}
		s.request = nil
		request.end(r, false)
	})
}

// closeFromNode closes an idle session on behalf of its node.
func (s *Session) closeFromNode() {
	s.fleet.After(toCallerDelayUs, s.connectionBroke)
}

// connectionBroke ends the session because its connection broke.
func (s *Session) connectionBroke() {
	if !s.open {
		return
	}
	s.open = false
	delete(s.node.sessions, s.id)
	if request := s.request; request != nil {
		s.request = nil
		request.end(ports.Reply{}, true)
	}
}

// close closes the session on behalf of its caller.
func (s *Session) close() {
	if !s.open {
		return
	}
	s.open, s.request = false, nil
	n, f := s.node, s.fleet
	f.After(toCallerDelayUs, func() {
		n.handle(s.source(), func() {
			if n.generation == s.generation && n.sessions[s.id] == s {
				delete(n.sessions, s.id)
				n.step(sessiontable.SessionClosed{Session: s.id})
			}
		})
	})
}
