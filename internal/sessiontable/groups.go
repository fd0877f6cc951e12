package sessiontable

import (
	"cmp"
	"slices"

	"stoneford/freshness"
	"stoneford/internal/ports"
)

// databaseGroup is this node's state of one replication group: a primary and its
// replicas.
type databaseGroup struct {
	name             string
	config           ports.Group
	state            GroupState
	hasLeadership    bool        // state contains a leadership
	pendingState     *GroupState // from the Update that is being applied
	confirmedUntilUs int64       // until when a lease confirms state as the newest leadership
	failoverSinceUs  int64       // when the group lost its primary, 0 if it has one
	deniedRevision   uint64      // revision of the leadership whose primary denied its role
	deniedUs         int64       // when the primary denied its role, 0 if never

	commits      freshness.Queue // commits in the primary's order, numbered within commitsTerm
	commitsTerm  uint64
	acknowledged ports.Position // newest commit that this node acknowledged to a caller

	databases            []*database    // sorted by ID
	waiting              heap[*request] // requests waiting for a primary, a lease, or a lagging replica
	awaitingConfirmation []*request     // commits that the database completed, waiting for a lease
}

// group returns the group of a name, and creates it if it does not exist.
func (t *Table) group(name string) *databaseGroup {
	group := t.groups[name]
	if group == nil {
		group = &databaseGroup{name: name, waiting: newRequestQueue()}
		t.groups[name] = group
		i, _ := slices.BinarySearchFunc(t.groupsByName, name, func(g *databaseGroup, name string) int { return cmp.Compare(g.name, name) })
		t.groupsByName = slices.Insert(t.groupsByName, i, group)
	}
	return group
}

// leaseConfirmsPrimary reports whether a lease on the group's state confirms that its
// primary is the only one. In later phases of a failover it does not: the lease does not
// bound how long the old primary remains the only one.
func (g *databaseGroup) leaseConfirmsPrimary() bool {
	if !g.hasLeadership || g.state.Unconfirmed || g.state.NeedsNewerTable {
		return false
	}
	return g.state.Phase == ports.PhaseServing || g.state.Phase == ports.PhaseDraining
}

// primary returns the database that receives new requests as the group's primary, or nil
// if there is none.
func (t *Table) primary(group *databaseGroup) *database {
	if !group.hasLeadership || group.state.NeedsNewerTable || group.state.Phase != ports.PhaseServing || t.primaryDeniesRole(group) {
		return nil
	}
	primary := t.databases[group.state.Primary]
	if primary == nil || primary.group != group || t.drainTimedOut(primary) {
		return nil
	}
	return primary
}

// primaryDeniesRole reports whether the group's primary denied its role within the last
// PrimaryDenialPeriod, and no newer leadership is known.
func (t *Table) primaryDeniesRole(group *databaseGroup) bool {
	return group.deniedUs > 0 && group.deniedRevision == group.state.Revision && t.now < group.deniedUs+t.options.PrimaryDenialPeriod.Microseconds()
}

// recordDenial records that the group's primary answered a write as a replica does, and
// requests an Update.
func (t *Table) recordDenial(group *databaseGroup) {
	group.deniedUs, group.deniedRevision = max(t.now, 1), group.state.Revision
	if group.failoverSinceUs == 0 {
		group.failoverSinceUs = t.now
	}
	t.requestLease()
}

// failoverSince returns when the group lost its working primary. failing is false if the
// primary works.
func (t *Table) failoverSince(group *databaseGroup) (since int64, failing bool) {
	if primary := t.primary(group); primary == nil {
		return group.failoverSinceUs, true
	} else if primary.failingSinceUs > 0 {
		return primary.failingSinceUs, true
	}
	return 0, false
}

// failoverEndUs returns the expected end of a failover that began at since: it should take
// as long as the group's last failover.
func (t *Table) failoverEndUs(group *databaseGroup, since int64) int64 {
	expected := group.state.LastFailoverUs
	if expected <= 0 {
		expected = t.options.ExpectedFailover.Microseconds()
	}
	return since + expected
}
