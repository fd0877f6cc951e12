package querytable

import (
	"maps"
	"slices"
	"time"

	"stoneford/result"
	"stoneford/statemachine"
)

const (
	// idleSessionTimeout bounds the time that a session without queries stays open.
	idleSessionTimeout = time.Hour
	// idleSessionCheckInterval is the time between two checks for idle sessions.
	idleSessionCheckInterval = time.Second
	// maxRecentReplies is the number of replies kept for each session in case the caller
	// repeats a query. More replies cost more memory for each session.
	maxRecentReplies = 8
)

// session is a caller's session. Times are those of Step.
type session struct {
	id              string
	values          map[string]string
	prepared        map[string]string // text of prepared statements, by name
	token           Token
	activeQuery     uint64 // ID of the query under way, 0 if none
	connection      uint64 // ID of the connection of the open transaction, 0 if none is open
	transactionLost bool   // a transaction was lost and the loss was not yet reported
	lastUsedAt      int64
	recentReplies   []Reply  // oldest first
	recentNames     []string // names of the queries of recentReplies
}

// recentReply returns the reply to an earlier query with the same name.
func (s *session) recentReply(name string) (Reply, bool) {
	if name == "" {
		return Reply{}, false
	}
	i := slices.Index(s.recentNames, name)
	if i < 0 {
		return Reply{}, false
	}
	return s.recentReplies[i], true
}

// remember keeps a reply for repetitions of the query. The slices are replaced rather
// than shifted, because replies in them may still be in use elsewhere.
func (s *session) remember(name string, r Reply) {
	s.recentReplies, s.recentNames = append(s.recentReplies, r), append(s.recentNames, name)
	if len(s.recentReplies) > maxRecentReplies {
		s.recentReplies, s.recentNames = slices.Clone(s.recentReplies[1:]), slices.Clone(s.recentNames[1:])
	}
}

func (t *Table) openSession(now int64, e OpenSession) {
	if t.sessions[e.Session] != nil {
		return
	}
	t.sessions[e.Session] = &session{
		id:         e.Session,
		values:     maps.Clone(e.Values),
		prepared:   maps.Clone(e.Prepared),
		token:      e.Token,
		lastUsedAt: now,
	}
}

func (t *Table) closeSession(now int64, id string) {
	s := t.sessions[id]
	if s == nil {
		return
	}
	if q := t.queries[s.activeQuery]; q != nil {
		t.abandon(now, q, result.BadQuery, "the session was ended")
	}
	if s.connection != 0 {
		t.closeConnection(t.pool.byID[s.connection])
	}
	delete(t.sessions, id)
}

func (t *Table) changeSession(now int64, e ChangeSession) {
	s := t.sessions[e.Session]
	r := Reply{ID: e.ID, Outcome: result.NoEffect}
	switch {
	case s == nil:
		r.Code = result.UnknownSession
	case s.activeQuery != 0:
		r.Code = result.SessionInUse
	case s.connection != 0:
		r.Code = result.InTransaction
	default:
		r.Outcome = result.Done
		s.values, s.prepared = mergeValues(s.values, e.Values), mergeValues(s.prepared, e.Prepared)
		s.lastUsedAt, r.Token = now, s.token
	}
	t.emit(r)
}

// mergeValues returns a copy of values with the changes applied. An empty string removes
// a name.
func mergeValues(values, changes map[string]string) map[string]string {
	merged := maps.Clone(values)
	if merged == nil {
		merged = map[string]string{}
	}
	for name, v := range changes {
		if v == "" {
			delete(merged, name)
		} else {
			merged[name] = v
		}
	}
	return merged
}

// closeIdleSessions closes sessions that were idle for idleSessionTimeout.
func (t *Table) closeIdleSessions(now int64) {
	if !statemachine.Due(now, &t.nextIdleSessionCheckAt, idleSessionCheckInterval) {
		return
	}
	maps.DeleteFunc(t.sessions, func(_ string, s *session) bool {
		return s.activeQuery == 0 && s.connection == 0 && now-s.lastUsedAt > idleSessionTimeout.Microseconds()
	})
}

// OpenTransactions returns the number of sessions with an open transaction.
func (t *Table) OpenTransactions() int {
	n := 0
	for _, s := range t.sessions {
		if s.connection != 0 {
			n++
		}
	}
	return n
}
