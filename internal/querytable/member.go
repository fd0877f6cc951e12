package querytable

import (
	"slices"
	"time"
)

const (
	// unresponsiveTimeout is the time for which polls of a database must have failed
	// before it gets no new queries. A single lost poll must not cause rejections.
	unresponsiveTimeout = 600 * time.Millisecond
	// stallTimeout is the time after which a replica gets no more reads if no poll
	// succeeded, or if its applied position did not advance although it is behind the
	// primary's.
	stallTimeout = time.Second
)

// member is the table's knowledge of a database of the group. Times are those of Step.
type member struct {
	name             string
	statusValid      bool   // status was reported by the database with the desired address and identity
	status           Status // newest status received
	pollStartedAt    int64  // start of the newest poll that status takes into account
	lastSuccessAt    int64  // end of the last successful poll
	failingSince     int64  // start of the first failed poll since the last success, 0 if none failed
	identityMismatch bool   // the database has other data than the group's
	drainingSince    int64  // 0 if the database is not draining
	stalledSince     int64  // when applied stopped advancing behind the primary, 0 if it advances
	applyTime        applyTime
	lagUs            int64  // moving average of the time from a commit until the database applied it
	shortPoll        uint64 // ID of the poll under way that returns at once, 0 if none
	longPoll         uint64 // ID of the poll under way that waits for a position, 0 if none
	nextPollAt       int64  // when the next periodic short poll is due
	reconnectAt      int64  // no connection is opened before this time
}

// applyTime is a moving average of the time in which a replica applies one position.
// Times are in microseconds.
type applyTime struct {
	averageUs  int64
	measuredAt int64 // when position was observed, 0 before the first
	position   int64
}

// observe records a newly applied position. The time since the previous one counts only
// if the replica had something to apply during all of it.
func (a *applyTime) observe(now, before, applied int64, wasBehind bool) {
	if a.measuredAt > 0 && wasBehind {
		a.averageUs += ((now-a.measuredAt)/(applied-before) - a.averageUs) / averageWeight
	}
	a.measuredAt, a.position = now, applied
}

// unresponsive reports whether a database is unknown or has failed all polls for
// unresponsiveTimeout.
func (t *Table) unresponsive(now int64, database string) bool {
	m := t.members[database]
	return m == nil || m.failingSince > 0 && now-m.failingSince >= unresponsiveTimeout.Microseconds()
}

// closedToQueries reports whether a database gets no new queries because it is draining,
// closed or has other data than the group's. A primary that drains for a maintenance
// window still gets single statements until its transactions have ended.
func (t *Table) closedToQueries(m Member) bool {
	state := t.members[m.Name]
	if state != nil && state.identityMismatch {
		return true // its data is not the group's
	}
	if m.Draining && !m.Closed && m.Name == t.desired.Primary && state != nil && !state.status.Draining {
		return false
	}
	return m.Draining || m.Closed || state == nil || state.drainingSince > 0
}

// eligible reports whether a replica may get reads.
func (t *Table) eligible(now int64, database string) bool {
	m, ok := t.desired.member(database)
	if !ok || t.closedToQueries(m) {
		return false
	}
	state := t.members[database]
	recent := now-state.lastSuccessAt < stallTimeout.Microseconds()
	stalled := state.stalledSince != 0 && now-state.stalledSince >= stallTimeout.Microseconds()
	return t.inEpoch(state, t.desired.Epoch) && state.status.Role == replicaRole && recent && !stalled
}

// inEpoch reports whether a database works in an epoch and the newest commit in its log
// is of that epoch.
func (t *Table) inEpoch(m *member, epoch uint64) bool {
	return m.statusValid && m.status.Epoch == epoch && m.status.LogEpoch == epoch
}

// primaryFollowed reports whether at least one replica responds in the current epoch.
// Without one, no majority could confirm anything that the primary does.
func (t *Table) primaryFollowed(now int64) bool {
	return slices.ContainsFunc(t.desired.Members, func(m Member) bool {
		return m.Name != t.desired.Primary && t.inEpoch(t.members[m.Name], t.desired.Epoch) && !t.unresponsive(now, m.Name)
	})
}

// majorityReceived reports whether a majority of the databases has received a position in
// an epoch. The primary has it because it ran the query, so with three databases one
// replica is enough. A replica counts only if it was polled at or after since.
func (t *Table) majorityReceived(epoch uint64, position, since int64) bool {
	return slices.ContainsFunc(t.desired.Members, func(m Member) bool {
		state := t.members[m.Name]
		return m.Name != t.desired.Primary && t.inEpoch(state, epoch) && state.status.Received >= position && state.pollStartedAt >= since
	})
}

// Ready reports whether a query admitted now could be served: the node may open
// connections to the primary and knows its position, and the primary is responsive and
// followed by a replica.
func (t *Table) Ready(now int64) bool {
	p, ok := t.desired.member(t.desired.Primary)
	return ok && p.usableConnections(now) > 0 && t.freshness.PrimaryKnown() && !t.unresponsive(now, p.Name) && t.primaryFollowed(now) && !t.stopping
}
