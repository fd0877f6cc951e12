package fleetsimulation

import "stoneford/internal/sessiontable"

// burst has callers send a multiple of their usual load.
func (f *Fleet) burst() bool {
	f.loadFactor = 2 + 3*f.Random.Float64()
	f.later(1_000_000, 4_000_000, func() { f.loadFactor = 1 })
	return true
}

// resetConnections resets connections of pool nodes to databases, and of callers to pool nodes.
func (f *Fleet) resetConnections() bool {
	p := 0.2 + f.Random.Float64()*0.8
	for _, s := range f.streams {
		if s.atNode && s.up && f.Chance(p) {
			if s.connection != nil && s.database.up && s.database.generation == s.databaseGeneration {
				s.connection.drop()
			}
			s.lost(true, "reset")
		}
	}
	for _, n := range f.nodes {
		for _, id := range sortedKeys(n.sessions) {
			if s := n.sessions[id]; f.Chance(p) {
				n.enter(s.source(), func() {
					if n.sessions[id] == s {
						delete(n.sessions, id)
						n.step(sessiontable.SessionClosed{Session: id})
					}
				})
				f.After(toCallerDelayUs, s.connectionBroke)
			}
		}
	}
	return true
}
