package fleetsimulation

import "stoneford/internal/sessiontable"

// burst multiplies the load of the callers for a while.
func (f *Fleet) burst() bool {
	f.loadFactor = 2 + 3*f.Random.Float64()
	f.afterRandom(1_000_000, 4_000_000, func() { f.loadFactor = 1 })
	return true
}

// resetConnections resets connections from pool nodes to databases and from callers to
// pool nodes.
func (f *Fleet) resetConnections() bool {
	p := 0.2 + f.Random.Float64()*0.8
	for _, s := range f.streams {
		if s.atNode && s.established && f.Chance(p) {
			if s.connection != nil && s.database.up && s.database.generation == s.databaseGeneration {
				s.connection.drop()
			}
			s.notifyLost(true, "reset")
		}
	}
	for _, n := range f.nodes {
		for _, id := range sortedKeys(n.sessions) {
			if s := n.sessions[id]; f.Chance(p) {
				s.reset()
			}
		}
	}
	return true
}

// reset resets a session's connection; both the node and the caller learn of it.
func (s *Session) reset() {
	n := s.node
	n.handle(s.source(), func() {
		if n.sessions[s.id] == s {
			delete(n.sessions, s.id)
			n.step(sessiontable.SessionClosed{Session: s.id})
		}
	})
	s.fleet.After(toCallerDelayUs, s.connectionBroke)
}
