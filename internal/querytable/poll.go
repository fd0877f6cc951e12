package querytable

import "time"

// Values of Status.Role.
const (
	replicaRole = "replica"
	primaryRole = "primary"
)

const (
	// pollInterval is the time between two polls of a database that no query waits for.
	pollInterval = 100 * time.Millisecond
	// longPollTimeout bounds the time for which a database may delay the reply to a poll
	// until it reaches the requested position. A longer one delays the detection of a
	// failed database.
	longPollTimeout = 250 * time.Millisecond
)

// poll is a poll under way. startedAt is a time of Step.
type poll struct {
	member    string
	startedAt int64
	received  int64 // position to wait for, 0 for none
	applied   int64 // position to wait for, 0 for none
}

// finishPoll handles the end of a poll.
func (t *Table) finishPoll(now int64, e PollEnded) {
	p, ok := t.polls[e.PollID]
	delete(t.polls, e.PollID)
	m := t.members[p.member]
	if !ok || m == nil {
		return
	}
	m.endPoll(e.PollID)
	if e.Err != "" {
		if m.failingSince == 0 {
			m.failingSince = p.startedAt
		}
		return
	}
	m.failingSince, m.lastSuccessAt = 0, now
	desired, _ := t.desired.member(m.name)
	if e.Status.Identity != desired.Identity {
		// Another disk's data may be used only after the group's state names it.
		m.statusValid, m.identityMismatch = false, true
		t.freshness.RemoveReplica(m.name)
		return
	}
	m.identityMismatch = false
	m.updateDraining(now, e.Status, desired)
	if m.isOutdated(p, e.Status) {
		return
	}
	t.updateStatus(now, m, p, e.Status)
}

func (m *member) endPoll(id uint64) {
	if m.shortPoll == id {
		m.shortPoll = 0
	}
	if m.longPoll == id {
		m.longPoll = 0
	}
}

// updateDraining records when a database began to drain. The drain ends once neither the
// database nor the desired state reports one.
func (m *member) updateDraining(now int64, s Status, desired Member) {
	switch {
	case s.Draining && m.drainingSince == 0:
		m.drainingSince = now
	case !s.Draining && !desired.Draining:
		m.drainingSince = 0
	}
}

// isOutdated reports whether a newer poll has already returned a later status. Positions
// of the same data only grow within an epoch.
func (m *member) isOutdated(p poll, s Status) bool {
	old := m.status
	older := s.Epoch < old.Epoch || s.Epoch == old.Epoch && (s.Received < old.Received || s.Applied < old.Applied)
	return m.statusValid && older && p.startedAt < m.pollStartedAt
}

// updateStatus records the newest status of a database and updates the lag statistics,
// the stall detection and the freshness queue.
func (t *Table) updateStatus(now int64, m *member, p poll, s Status) {
	t.updateReplicationStats(now, m, s)
	if m.statusValid && s.Applied == m.status.Applied && s.Applied < t.freshness.PrimaryPosition() {
		if m.stalledSince == 0 {
			m.stalledSince = now
		}
	} else {
		m.stalledSince = 0
	}
	m.status, m.statusValid, m.pollStartedAt = s, true, max(m.pollStartedAt, p.startedAt)
	t.observePrimary()
	if m.name == t.desired.Primary {
		return
	}
	if t.eligible(now, m.name) {
		t.freshness.ObserveReplica(m.name, s.Applied)
	} else {
		t.freshness.RemoveReplica(m.name)
	}
}

// updateReplicationStats updates the averages of a database's apply time and lag, if it
// has applied commits since the previous status.
func (t *Table) updateReplicationStats(now int64, m *member, s Status) {
	before := m.status
	if s.Epoch != before.Epoch || s.Applied <= before.Applied || m.applyTime.position >= s.Applied {
		return
	}
	m.applyTime.observe(now, before.Applied, s.Applied, before.Applied < t.freshness.PrimaryPosition())
	if committedAt, ok := t.freshness.CommitTime(s.Applied); ok {
		m.lagUs += (now - committedAt - m.lagUs) / averageWeight
	}
}

// observePrimary records in the freshness queue the primary's position, and the latest
// time at which a majority including the primary was seen in the current epoch. A primary
// without followers proves nothing about the present, since another one may have replaced
// it (design 7.4).
func (t *Table) observePrimary() {
	primary := t.members[t.desired.Primary]
	if primary == nil || !primary.statusValid || primary.status.Role != primaryRole || primary.status.Epoch != t.desired.Epoch {
		return
	}
	seenAt := int64(-1)
	for _, m := range t.desired.Members {
		state := t.members[m.Name]
		if m.Name != t.desired.Primary && t.inEpoch(state, t.desired.Epoch) {
			seenAt = max(seenAt, min(primary.pollStartedAt, state.pollStartedAt))
		}
	}
	if seenAt < 0 {
		return
	}
	if !t.freshness.PrimaryKnown() || seenAt > t.freshness.PolledAt() || primary.status.Received > t.freshness.PrimaryPosition() {
		t.freshness.ObservePrimary(seenAt, primary.status.Received)
	}
}

// pollNeeds holds what the queries under way need to learn from polls, by database.
type pollNeeds struct {
	since    map[string]int64 // poll that began at or after this time
	received map[string]int64 // long poll until the database has received this position
	applied  map[string]int64 // long poll until the database has applied this position
}

// pollMembers polls the databases as the queries under way need it: a short poll if a
// query needs a poll that began after its arrival, a long poll if a query waits for a
// position, and otherwise a short poll every pollInterval.
func (t *Table) pollMembers(now int64) {
	needs := t.pollNeeds()
	for _, m := range t.desired.Members {
		t.pollMember(now, m, needs)
	}
}

func (t *Table) pollNeeds() pollNeeds {
	needs := pollNeeds{map[string]int64{}, map[string]int64{}, map[string]int64{}}
	t.eachQuery(func(q *query) {
		switch {
		case q.state == routing && !q.write && q.class.isCurrent():
			for _, m := range t.desired.Members {
				needs.since[m.Name] = max(needs.since[m.Name], q.arrivedAt)
			}
		case q.state == awaitingPosition:
			setMin(needs.applied, q.database, q.requiredPosition)
		case q.state == awaitingMajority:
			t.addMajorityNeeds(needs, q)
		}
	})
	return needs
}

// addMajorityNeeds adds the polls of the replicas that a query needs before its reply can
// be sent.
func (t *Table) addMajorityNeeds(needs pollNeeds, q *query) {
	for _, m := range t.desired.Members {
		if m.Name == t.desired.Primary {
			continue
		}
		if q.class.isCurrent() {
			needs.since[m.Name] = max(needs.since[m.Name], q.arrivedAt)
		}
		if t.members[m.Name].status.Received < q.majorityPosition {
			setMin(needs.received, m.Name, q.majorityPosition)
		}
	}
}

// setMin sets m[key] to v unless it already has a lower value.
func setMin(m map[string]int64, key string, v int64) {
	if old, ok := m[key]; !ok || v < old {
		m[key] = v
	}
}

// pollMember starts the polls of a database that are due or needed and not already under
// way.
func (t *Table) pollMember(now int64, desired Member, needs pollNeeds) {
	m := t.members[desired.Name]
	since, received, applied := needs.since[m.name], needs.received[m.name], needs.applied[m.name]
	backingOff := m.failingSince > 0 && now < m.nextPollAt // no busy loop while the database is down
	if m.longPoll == 0 && !backingOff && (received > 0 || applied > 0) {
		p := poll{member: m.name, startedAt: now, received: received}
		if received == 0 {
			p.applied = applied
		}
		m.longPoll = t.startPoll(desired, p, longPollTimeout)
	}
	// A long poll for the position of a query that awaits a majority also serves as the
	// poll after the query's arrival if it began late enough.
	covered := received > 0 && m.longPoll != 0 && t.polls[m.longPoll].startedAt >= since
	needed := since > m.pollStartedAt && !backingOff && !covered
	if m.shortPoll == 0 && (now >= m.nextPollAt || needed) {
		m.shortPoll = t.startPoll(desired, poll{member: m.name, startedAt: now}, 0)
		m.nextPollAt = now + pollInterval.Microseconds()
	}
}

func (t *Table) startPoll(m Member, p poll, wait time.Duration) uint64 {
	id := t.newID()
	t.polls[id] = p
	t.counts.Polls++
	t.emit(Poll{PollID: id, Address: m.Address, MinReceived: p.received, MinApplied: p.applied, WaitUs: wait.Microseconds()})
	return id
}
