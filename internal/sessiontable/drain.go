package sessiontable

import (
	"maps"
	"slices"

	"stoneford/internal/ports"
)

// shutdown is the state of the node's graceful shutdown (design 7.7). Idle sessions are
// closed at once. After six tenths of the grace period open transactions are rolled back,
// and after nine tenths every session without a statement in flight is closed.
type shutdown struct {
	active  bool
	startUs int64
	graceUs int64
	timer   timer
}

func (s *shutdown) rollbackAtUs() int64 { return s.startUs + s.graceUs*6/10 }
func (s *shutdown) closeAtUs() int64    { return s.startUs + s.graceUs*9/10 }

// drain starts the graceful shutdown. A second call has no effect.
func (t *Table) drain(e Drain) {
	if t.shutdown.active {
		return
	}
	t.shutdown.active, t.shutdown.startUs, t.shutdown.graceUs = true, t.now, e.GraceUs
	for _, id := range slices.Sorted(maps.Keys(t.sessions)) {
		if session := t.sessions[id]; session.request == nil && session.state == ports.Idle {
			t.closeSession(session)
		}
	}
	t.timers.arm(&t.shutdown.timer, t.shutdown.rollbackAtUs())
}

// closeSession closes a session that has no statement in flight, and removes it.
func (t *Table) closeSession(session *session) {
	t.emit(CloseSession{Session: session.id})
	t.removeSession(session)
}

// timerFired rolls back open transactions, and at the second time-out closes the sessions
// without a statement in flight. The other sessions are closed with the reply to their
// statement.
func (s *shutdown) timerFired(t *Table) {
	last := t.now >= s.closeAtUs()
	for _, id := range slices.Sorted(maps.Keys(t.sessions)) {
		session := t.sessions[id]
		switch {
		case session.request != nil:
		case last:
			t.closeSession(session)
		case session.tx != nil:
			t.abort(session.tx)
		}
	}
	if !last {
		t.timers.arm(&s.timer, s.closeAtUs())
	}
}
