package querytable

import (
	"maps"
	"math/rand/v2"
	"slices"

	"stoneford/freshness"
	"stoneford/result"
)

// Table holds the sessions, queries, connections and database states of one group.
type Table struct {
	desired    DesiredState
	sessions   map[string]*session
	queries    map[uint64]*query
	queryOrder []uint64 // in order of arrival; may include IDs of queries that have ended
	pool       connectionPool
	polls      map[uint64]poll    // under way, by ID
	runs       map[uint64]uint64  // query ID of each run under way, by run ID
	members    map[string]*member // by name
	freshness  freshness.Queue
	runTimes   runTimes
	decisions  decisionLog
	outage     outage
	counts     Counts

	stopping               bool
	shutdownAt             int64 // when open transactions are aborted, if stopping
	nextIdleSessionCheckAt int64
	lastID                 uint64
	random                 *rand.Rand
	effects                []Effect // of the current step
}

// New returns an empty table. The seed determines the random choices, which break ties
// between replicas and randomize retry delays.
func New(seed uint64) *Table {
	return &Table{
		sessions: map[string]*session{},
		queries:  map[uint64]*query{},
		pool:     connectionPool{byID: map[uint64]*connection{}, idle: map[string][]uint64{}},
		polls:    map[uint64]poll{},
		runs:     map[uint64]uint64{},
		members:  map[string]*member{},
		runTimes: runTimes{},
		outage:   outage{averageUs: initialOutageEstimate.Microseconds()},
		random:   rand.New(rand.NewPCG(seed, 0)),
	}
}

// Step handles the events and then runs all passes. now is the time in microseconds of
// the process's monotonic clock.
func (t *Table) Step(now int64, events ...Event) []Effect {
	t.effects = nil
	for _, e := range events {
		t.handleEvent(now, e)
	}
	t.runPasses(now)
	return t.effects
}

// runPasses runs the passes in the order of the states of a query. The order must not
// change, because simulations reproduce recorded behaviour only with the same order.
func (t *Table) runPasses(now int64) {
	t.endInterruptedRuns(now)
	t.endPastDeadline(now)
	t.routeQueries(now)
	t.assignConnections(now)
	t.finishConfirmedQueries(now)
	t.closeUnusedConnections(now)
	t.closeIdleSessions(now)
	t.pollMembers(now)
	t.checkOutageEnd(now)
	t.removeEnded()
	t.checkInvariants()
}

func (t *Table) handleEvent(now int64, event Event) {
	switch e := event.(type) {
	case SetDesired:
		t.setDesired(now, e.Desired)
	case OpenSession:
		t.openSession(now, e)
	case CloseSession:
		t.closeSession(now, e.Session)
	case ChangeSession:
		t.changeSession(now, e)
	case Query:
		t.admit(now, e)
	case ConnectionOpened:
		t.finishOpen(now, e)
	case RunEnded:
		t.finishRun(now, e)
	case PollEnded:
		t.finishPoll(now, e)
	case DecisionsRequest:
		t.emit(Decisions{ID: e.ID, Decisions: t.decisions.recent(e.QueryName)})
	case Stop:
		t.stopping, t.shutdownAt = true, now+e.GraceUs
	case Tick:
		// The passes do the periodic work.
	}
}

// setDesired replaces the desired state, unless the new one is of an older epoch. A new
// epoch resets the freshness queue, since positions of different epochs are not
// comparable.
func (t *Table) setDesired(now int64, d DesiredState) {
	if d.Epoch < t.desired.Epoch {
		return
	}
	if d.Epoch > t.desired.Epoch {
		t.freshness.Reset()
		for _, m := range t.members {
			m.statusValid, m.nextPollAt = false, 0
		}
		t.log(result.EpochSeen, d.Group+": primary "+d.Primary)
	}
	old := t.desired
	t.desired = d
	for _, m := range d.Members {
		before, existed := old.member(m.Name)
		t.updateMember(now, m, before, existed)
	}
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		if _, ok := d.member(name); !ok {
			delete(t.members, name)
			t.freshness.RemoveReplica(name)
		}
	}
}

// updateMember updates a member from a new desired state. The status of the database
// becomes invalid if its address or identity has changed.
func (t *Table) updateMember(now int64, m, before Member, existed bool) {
	if !existed || t.members[m.Name] == nil {
		t.members[m.Name] = &member{name: m.Name}
	}
	state := t.members[m.Name]
	if (m.Draining || m.Closed) && state.drainingSince == 0 {
		state.drainingSince = now
	}
	if existed && (before.Address != m.Address || before.Identity != m.Identity) {
		state.statusValid = false
		t.freshness.RemoveReplica(m.Name)
	}
}

// emit adds an effect to the current step.
func (t *Table) emit(e Effect) { t.effects = append(t.effects, e) }

func (t *Table) log(c result.Code, text string) { t.emit(LogEntry{Code: c, Text: text}) }

// newID returns an ID for a connection, run or poll.
func (t *Table) newID() uint64 {
	t.lastID++
	return t.lastID
}

// eachQuery calls f for each query in order of arrival. f may end the query that it gets.
func (t *Table) eachQuery(f func(*query)) {
	for _, id := range t.queryOrder {
		if q := t.queries[id]; q != nil {
			f(q)
		}
	}
}

// removeEnded removes ended queries and closed connections from the lists that keep their
// order.
func (t *Table) removeEnded() {
	if len(t.queryOrder) > len(t.queries) {
		t.queryOrder = slices.DeleteFunc(t.queryOrder, func(id uint64) bool { return t.queries[id] == nil })
	}
	t.pool.removeClosed()
}
