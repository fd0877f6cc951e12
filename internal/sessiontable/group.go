package sessiontable

import (
	"cmp"
	"maps"
	"slices"

	"stoneford/freshness"
	"stoneford/internal/ports"
)

// databaseGroup is one service of databases as this node knows it.
type databaseGroup struct {
	name           string
	config         ports.Group
	state          GroupState
	pendingState   *GroupState // to be taken in
	known          bool        // there is a view
	confirmedUntil int64       // until when the view's leadership is surely the newest
	failoverSince  int64       // when the change under way began, 0 for none
	deniedRevision uint64
	deniedUs       int64 // when the primary of revision not said that it is none, 0 for never

	commits      freshness.Queue // commits in the primary's order, numbers within qterm
	commitsTerm  uint64
	acknowledged ports.Position
	databases    []*database    // by id
	waiting      heap[*request] // for a primary or a lease
	unconfirmed  []*request     // commits that were answered and wait for a lease
}

// database is one database with this node's line to it.
type database struct {
	ports.Instance
	group            *databaseGroup
	connections      []*connection // opening ones too
	idle             []*connection // the one used last stands last
	opening          int
	running          int // statements without an end
	stuck            int // of these, the ones that took too long for their place to count
	openTransactions int // open transactions on its connections
	queue            heap[*request]
	queuedByRank     [8]int // waiting, by rank
	queueChanged     bool
	removed          bool // no longer announced

	slots         float64 // statements this node runs there at once
	busyUntil     int64   // after it was busy
	backoffUntil  int64   // no connect before
	backUs        int64
	wrongIdentity bool  // another database listens at its address
	failingSince  int64 // since when it cannot be used, 0 if it can
	disconnected  bool
	readsMoved    bool // the reads in its line were placed anew since
	wakeTimer     timer
	drainingSince int64   // when this node learned that it leaves
	useRate       float64 // uses of a connection a second
	lastUseUs     int64

	position     ports.Position // newest its answers named
	runUs        [6]int64       // average by class kind and whether it writes, 0 unknown
	runUpdatedUs [6]int64       // when the average was last fed
	lagUs        int64
}

func (db *database) markChanged(t *Table) {
	if !db.queueChanged {
		db.queueChanged = true
		t.changedQueues = append(t.changedQueues, db)
	}
}

func (t *Table) group(name string) *databaseGroup {
	group := t.groups[name]
	if group == nil {
		group = &databaseGroup{name: name}
		group.waiting = heap[*request]{less: queuedBefore, index: func(req *request) *int { return &req.queueIndex }}
		t.groups[name] = group
		i, _ := slices.BinarySearchFunc(t.groupsByName, name, func(group *databaseGroup, n string) int { return cmp.Compare(group.name, n) })
		t.groupsByName = slices.Insert(t.groupsByName, i, group)
	}
	return group
}

// queuedBefore orders a line: what goes on in a transaction, then by rank, then by
// arrival.
func queuedBefore(req, other *request) bool {
	if x, confirmed := req.hasConnection(), other.hasConnection(); x != confirmed {
		return x
	}
	if req.route.Rank != other.route.Rank {
		return req.route.Rank < other.route.Rank
	}
	return req.seq < other.seq
}

// denied says that the view's primary said lately that it is none.
func (g *databaseGroup) denied(t *Table) bool {
	return g.deniedUs > 0 && g.deniedRevision == g.state.Revision && t.now < g.deniedUs+t.options.PrimaryDenialUs
}

// primary is the instance that may be given something new as the primary.
func (t *Table) primary(group *databaseGroup) *database {
	if !group.known || group.state.Withheld || group.state.Phase != ports.PhaseServing || group.denied(t) {
		return nil
	}
	primary := t.databases[group.state.Primary]
	if primary == nil || primary.group != group || t.drained(primary) {
		return nil
	}
	return primary
}

// drained says that a database announced so long ago that it leaves that nothing
// new may reach it.
func (t *Table) drained(db *database) bool {
	return db.Draining && t.now >= db.drainingSince+t.options.DrainTimeoutUs
}

// failoverSince says since when the group has no primary that works.
func (t *Table) failoverSince(group *databaseGroup) (since int64, yes bool) {
	if primary := t.primary(group); primary == nil {
		return group.failoverSince, true
	} else if primary.failingSince > 0 {
		return primary.failingSince, true
	}
	return 0, false
}

// failoverEnd is when the change under way is expected to end.
func (t *Table) failoverEnd(group *databaseGroup, since int64) int64 {
	expected := group.state.LastFailoverUs
	if expected <= 0 {
		expected = t.options.ExpectedFailoverUs
	}
	return since + expected
}

func (t *Table) update(e Update) {
	t.leaseRequestedUs = 0
	if e.Nodes > 0 {
		t.nodes = e.Nodes
	}
	if e.Table != nil && (t.routingTable == nil || e.Table.Revision >= t.routingTable.Revision) {
		t.setTable(e.Table)
	}
	if e.Instances != nil {
		t.setDatabases(e.Instances)
	}
	t.leaseUntil = max(t.leaseUntil, e.LeaseUntil)
	for n, view := range e.Groups {
		t.group(n).setPending(view)
	}
	for _, group := range t.groupsByName {
		t.updateGroup(group, e)
	}
	for _, group := range t.groupsByName {
		t.requeueWaiting(group)
	}
}

// setPending marks a group's new view; updateGroup takes it in, in order of names.
func (g *databaseGroup) setPending(view GroupState) { g.pendingState = &view }

func (t *Table) setTable(table *ports.RoutingTable) {
	t.routingTable = table
	clear(t.routes)
	for i := range table.Routes {
		r := &table.Routes[i]
		old := t.routes[r.Host]
		if old == nil || len(r.Prefix) < len(old.Prefix) {
			t.routes[r.Host] = r
		}
	}
	for _, g := range table.Groups {
		t.group(g.Name).config = g
	}
}

func (t *Table) setDatabases(instances []ports.Instance) {
	seen := make(map[string]bool, len(instances))
	for _, i := range instances {
		if i.Gone {
			continue
		}
		seen[i.ID] = true
		db := t.databases[i.ID]
		if db == nil {
			db = t.addDatabase(i)
		}
		if db.wrongIdentity && (i.Address != db.Address || i.AnnouncementNumber > db.AnnouncementNumber) {
			db.wrongIdentity = false
		}
		was := db.Draining
		db.Instance = i
		if i.Draining && !was {
			db.drainingSince = t.now
			db.group.commits.RemoveReplica(db.ID)
			t.closeIdle(db)
			t.requeue(db, func(req *request) bool { return !req.hasConnection() && t.primary(db.group) != db })
		}
		db.markChanged(t)
	}
	for _, group := range t.groupsByName {
		for _, db := range slices.Clone(group.databases) {
			if !seen[db.ID] {
				t.removeDatabase(db)
			}
		}
	}
}

// drainingSinceUs is since when an instance leaves that is heard of as leaving and was not
// known. If it was taken for gone in the meantime, its time goes on. Else it may have
// left long before this node started, so its time is held to be over.
func (t *Table) drainingSinceUs(id string) int64 {
	if at, ok := t.drainingSince[id]; ok {
		return at
	}
	return t.now - t.options.DrainTimeoutUs
}

func (t *Table) addDatabase(i ports.Instance) *database {
	group := t.group(i.Group)
	db := &database{Instance: i, group: group}
	db.wakeTimer.owner = db
	db.queue = heap[*request]{less: queuedBefore, index: func(req *request) *int { return &req.queueIndex }}
	n := i.Capacity
	if n <= 0 {
		n = t.options.DefaultCapacity
	}
	db.slots = float64(max(2, n))
	db.drainingSince = t.drainingSinceUs(i.ID)
	t.databases[i.ID] = db
	j, _ := slices.BinarySearchFunc(group.databases, i.ID, func(candidate *database, id string) int { return cmp.Compare(candidate.ID, id) })
	group.databases = slices.Insert(group.databases, j, db)
	if group.commits.Known() {
		group.commits.ObserveReplica(i.ID, 0)
	}
	return db
}

// drainingMemoryUs is how long it is remembered since when an instance leaves that was
// taken out.
const drainingMemoryUs = 120_000_000

// removeDatabase takes an instance out: its connections are closed, and what ran on them
// ends as lost.
func (t *Table) removeDatabase(db *database) {
	db.removed = true
	delete(t.databases, db.ID)
	if db.Draining {
		maps.DeleteFunc(t.drainingSince, func(_ string, at int64) bool { return t.now-at > drainingMemoryUs })
		t.drainingSince[db.ID] = db.drainingSince
	}
	db.group.databases = slices.DeleteFunc(db.group.databases, func(candidate *database) bool { return candidate == db })
	db.group.commits.RemoveReplica(db.ID)
	if db.group.state.Primary == db.ID && db.group.failoverSince == 0 {
		db.group.failoverSince = t.now
	}
	t.disarm(&db.wakeTimer)
	for _, conn := range slices.Clone(db.connections) {
		t.closeConnection(conn)
	}
	t.requeue(db, func(*request) bool { return true })
}

// closeIdle closes the idle connections of an instance that leaves.
func (t *Table) closeIdle(db *database) {
	if t.primary(db.group) == db {
		return
	}
	for _, conn := range slices.Clone(db.idle) {
		t.closeConnection(conn)
	}
}

// updateGroup takes a group's new view and lease in.
func (t *Table) updateGroup(group *databaseGroup, e Update) {
	if view := group.pendingState; view != nil {
		group.pendingState = nil
		previous, had := group.state, group.known
		if had && view.Revision < previous.Revision {
			view = &previous
		}
		group.state, group.known = *view, true
		led := had && (view.Term != previous.Term || view.Primary != previous.Primary)
		if led || !had {
			group.confirmedUntil, group.deniedUs = 0, 0
			group.commits.Reset()
			group.commitsTerm = 0
		}
		if primary := t.databases[previous.Primary]; had && primary != nil && (led || view.Phase != previous.Phase || view.Withheld != previous.Withheld) {
			if led || view.Withheld || view.Phase == ports.PhaseFreezing || view.Phase == ports.PhasePromoting {
				t.endTransactions(primary)
			}
			t.requeue(primary, func(req *request) bool { return !req.hasConnection() })
			t.reportIfQuiescent(primary)
		}
	}
	switch {
	case !group.known:
	case t.primary(group) != nil:
		group.failoverSince = 0
	case group.failoverSince == 0:
		group.failoverSince = t.now
	}
	// A lease that shows the sealing says nothing of how long the old primary is
	// the only one.
	if primary := group.state.Phase; group.known && !group.state.Unconfirmed && !group.state.Withheld && (primary == ports.PhaseServing || primary == ports.PhaseDraining) {
		group.confirmedUntil = max(group.confirmedUntil, e.LeaseUntil)
	}
	if len(group.unconfirmed) > 0 {
		t.retryConfirmations(group)
	}
}

// endTransactions ends the transactions on a primary that was replaced or is about to
// be: what runs may still end, what rests is over (design 14.6).
func (t *Table) endTransactions(primary *database) {
	for _, conn := range slices.Clone(primary.connections) {
		switch {
		case conn.tx == nil && conn.request == nil:
		case len(conn.pending) > 0:
			conn.closeAfterStatement = true
		default:
			t.closeConnection(conn)
		}
	}
}

// requeue places anew what waits in an instance's line.
func (t *Table) requeue(db *database, which func(*request) bool) {
	var requests []*request
	for _, req := range db.queue.items {
		if which(req) {
			requests = append(requests, req)
		}
	}
	slices.SortFunc(requests, func(req, other *request) int { return cmp.Compare(req.seq, other.seq) })
	for _, req := range requests {
		t.dequeue(req)
		t.assign(req)
	}
}

// requeueWaiting places anew what waits for a primary or a lease.
func (t *Table) requeueWaiting(group *databaseGroup) {
	if group.waiting.len() == 0 {
		return
	}
	requests := slices.Clone(group.waiting.items)
	slices.SortFunc(requests, func(req, other *request) int { return cmp.Compare(req.seq, other.seq) })
	for _, req := range requests {
		t.dequeue(req)
		t.assign(req)
	}
}
