package sessiontable

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"stoneford/internal/ports"
)

// database is one database instance with this node's connections to it and the queue of
// requests for it.
type database struct {
	ports.Instance
	group   *databaseGroup
	removed bool // the instance is no longer announced

	connections        []*connection // open or being opened
	openingConnections int
	idle               []*connection // least recently used first
	running            int           // statements sent and not answered yet
	overdue            int           // running statements that no longer count against concurrencyLimit
	openTransactions   int           // open on its connections

	queue        heap[*request]
	queuedByRank [maxRank + 1]int
	queueChanged bool // in Table.changedQueues
	wakeTimer    timer

	concurrencyLimit float64 // adaptive limit on the statements that this node runs there at once
	busyUntilUs      int64   // no new statement before this time, after a Busy answer
	backoffUntilUs   int64   // no connect before this time
	backoffUs        int64   // last connect backoff; doubles with each failure
	wrongIdentity    bool    // another instance answers at its address
	failingSinceUs   int64   // when it became unusable, 0 while it is usable
	disconnected     bool    // the failure was a closed or refused connection, not a time-out
	readsReassigned  bool    // the reads in its queue were reassigned during this failure
	drainingSinceUs  int64   // when this node learned that it is draining
	useRate          float64 // average statements sent per second
	lastUseUs        int64

	position ports.Position // newest position in its answers
	lagUs    int64          // average replication lag behind the primary
	runTimes [runClasses]runTime
}

// drainRecordRetention is how long the start of the drain is kept for a database that is
// no longer announced. If a draining database is announced again after that, its drain
// time-out counts as over.
const drainRecordRetention = 2 * time.Minute

// scheduleDispatch schedules the dispatch of the database's queue at the end of the step.
func (t *Table) scheduleDispatch(db *database) {
	if !db.queueChanged {
		db.queueChanged = true
		t.changedQueues = append(t.changedQueues, db)
	}
}

// capacity returns the number of statements that the database can run at once: the
// announced number, or else DefaultCapacity.
func (t *Table) capacity(db *database) int {
	if db.Capacity > 0 {
		return db.Capacity
	}
	return t.options.DefaultCapacity
}

// drainTimedOut reports whether the database has been draining for longer than
// DrainTimeout. It gets no new statements then.
func (t *Table) drainTimedOut(db *database) bool {
	return db.Draining && t.now >= db.drainingSinceUs+t.options.DrainTimeout.Microseconds()
}

// setDatabases replaces the known databases by the announced instances. Drains that this
// reports for the first time may have begun drainsLateUs ago.
func (t *Table) setDatabases(instances []ports.Instance, drainsLateUs int64) {
	announced := make(map[string]bool, len(instances))
	for _, instance := range instances {
		if !instance.Gone {
			announced[instance.ID] = true
			t.setDatabase(instance, drainsLateUs)
		}
	}
	for _, group := range t.groupsByName {
		for _, db := range slices.Clone(group.databases) {
			if !announced[db.ID] {
				t.removeDatabase(db)
			}
		}
	}
}

// setDatabase adds or updates an announced database. The drain of a database that announces
// itself for the first time may have begun at any time, also if the database is known from
// its group's register. When a replica begins to drain, its idle connections are closed and
// its queued requests reassigned.
func (t *Table) setDatabase(instance ports.Instance, drainsLateUs int64) {
	db := t.databases[instance.ID]
	if db == nil {
		db = t.addDatabase(instance)
	}
	if db.wrongIdentity && (instance.Address != db.Address || instance.AnnouncementNumber > db.AnnouncementNumber) {
		db.wrongIdentity = false
	}
	beginsToDrain := instance.Draining && !db.Draining
	announcedBefore := !db.Unannounced
	db.Instance = instance
	if beginsToDrain {
		if announcedBefore {
			db.drainingSinceUs = t.now - drainsLateUs
		}
		db.group.commits.RemoveReplica(db.ID)
		t.closeIdle(db)
		t.reassignQueued(db, func(req *request) bool { return !req.hasConnection() && t.primary(db.group) != db })
	}
	t.scheduleDispatch(db)
}

// addDatabase adds a database that is announced for the first time.
func (t *Table) addDatabase(instance ports.Instance) *database {
	group := t.group(instance.Group)
	db := &database{Instance: instance, group: group, queue: newRequestQueue()}
	db.wakeTimer.owner = db
	db.concurrencyLimit = float64(max(2, t.capacity(db)))
	db.drainingSinceUs = t.initialDrainingSinceUs(instance.ID)
	t.databases[instance.ID] = db
	i, _ := slices.BinarySearchFunc(group.databases, instance.ID, func(other *database, id string) int { return cmp.Compare(other.ID, id) })
	group.databases = slices.Insert(group.databases, i, db)
	if group.commits.PrimaryKnown() {
		group.commits.ObserveReplica(instance.ID, 0)
	}
	return db
}

// initialDrainingSinceUs returns the start of the drain for a newly added database. A
// database that was announced before keeps the recorded start. Any other may have begun
// to drain long before this node started, so its drain time-out counts as over.
func (t *Table) initialDrainingSinceUs(id string) int64 {
	if at, ok := t.drainingSinceUs[id]; ok {
		return at
	}
	return t.now - t.options.DrainTimeout.Microseconds()
}

// removeDatabase removes a database that is no longer announced. Its connections are
// closed, requests that run on them end as interrupted, and queued requests are assigned
// to other databases.
func (t *Table) removeDatabase(db *database) {
	db.removed = true
	delete(t.databases, db.ID)
	if db.Draining {
		maps.DeleteFunc(t.drainingSinceUs, func(_ string, at int64) bool { return t.now-at > drainRecordRetention.Microseconds() })
		t.drainingSinceUs[db.ID] = db.drainingSinceUs
	}
	group := db.group
	group.databases = slices.DeleteFunc(group.databases, func(other *database) bool { return other == db })
	group.commits.RemoveReplica(db.ID)
	if group.state.Primary == db.ID && group.failoverSinceUs == 0 {
		group.failoverSinceUs = t.now
	}
	t.timers.disarm(&db.wakeTimer)
	for _, conn := range slices.Clone(db.connections) {
		t.closeConnection(conn)
	}
	t.reassignQueued(db, func(*request) bool { return true })
}

// closeIdle closes the idle connections of a draining database, unless it is the primary.
func (t *Table) closeIdle(db *database) {
	if t.primary(db.group) == db {
		return
	}
	for _, conn := range slices.Clone(db.idle) {
		t.closeConnection(conn)
	}
}

// timerFired dispatches the database's queue and, if the database is failing, checks its
// health.
func (db *database) timerFired(t *Table) {
	t.scheduleDispatch(db)
	t.checkHealth(db)
}

// wakeAt arms the database's timer for a moment, unless it is already armed for an
// earlier one.
func (t *Table) wakeAt(db *database, at int64) {
	if !db.wakeTimer.armed() || db.wakeTimer.atUs > at {
		t.timers.arm(&db.wakeTimer, at)
	}
}
