package sessiontable

import (
	"slices"
	"time"

	"stoneford/internal/ports"
)

// leaseRequestInterval is the minimum time between requests for an Update. A shorter one
// renews a lost lease sooner, but polls the voters more often.
const leaseRequestInterval = 100 * time.Millisecond

// requestLease requests an Update. It repeats an outstanding request only after
// leaseRequestInterval.
func (t *Table) requestLease() {
	if t.leaseRequestedUs != 0 && t.now-t.leaseRequestedUs < leaseRequestInterval.Microseconds() {
		return
	}
	t.leaseRequestedUs = max(t.now, 1)
	t.emit(RenewLease{})
}

// update applies the state committed by the voters: first the routing table and the
// databases, then the groups in order of name. Finally it reassigns the waiting requests.
func (t *Table) update(e Update) {
	t.leaseRequestedUs = 0
	if e.PoolNodes > 0 {
		t.nodes = e.PoolNodes
	}
	if e.Table != nil && (t.routing.table == nil || e.Table.Revision >= t.routing.table.Revision) {
		t.routing.setTable(e.Table)
		for _, config := range e.Table.Groups {
			t.group(config.Name).config = config
		}
	}
	if e.Instances != nil {
		t.setDatabases(e.Instances, e.DrainsLateUs)
	}
	t.routing.leaseUntilUs = max(t.routing.leaseUntilUs, e.LeaseUntilUs)
	for name, state := range e.Groups {
		t.group(name).pendingState = &state
	}
	for _, group := range t.groupsByName {
		t.updateGroup(group, e.LeaseUntilUs)
	}
	for _, group := range t.groupsByName {
		t.reassignWaiting(group)
	}
}

// updateGroup applies a group's new leadership, if there is one, and the lease.
func (t *Table) updateGroup(group *databaseGroup, leaseUntil int64) {
	if state := group.pendingState; state != nil {
		group.pendingState = nil
		t.setGroupState(group, *state)
	}
	switch {
	case !group.hasLeadership:
	case t.primary(group) != nil:
		group.failoverSinceUs = 0
	case group.failoverSinceUs == 0:
		group.failoverSinceUs = t.now
	}
	if group.leaseConfirmsPrimary() {
		group.confirmedUntilUs = max(group.confirmedUntilUs, leaseUntil)
	}
	if len(group.awaitingConfirmation) > 0 {
		t.retryConfirmations(group)
	}
}

// setGroupState applies a leadership. An older one than the current one is ignored.
func (t *Table) setGroupState(group *databaseGroup, state GroupState) {
	previous, known := group.state, group.hasLeadership
	if known && state.Revision < previous.Revision {
		state = previous
	}
	group.state, group.hasLeadership = state, true
	newPrimary := known && (state.Term != previous.Term || state.Primary != previous.Primary)
	if newPrimary || !known {
		group.confirmedUntilUs, group.deniedUs = 0, 0
		group.commits.Reset()
		group.commitsTerm = 0
	}
	primary := t.databases[previous.Primary]
	if !known || primary == nil {
		return
	}
	if !newPrimary && state.Phase == previous.Phase && state.NeedsNewerTable == previous.NeedsNewerTable {
		return
	}
	if newPrimary || state.NeedsNewerTable || state.Phase == ports.PhaseFreezing || state.Phase == ports.PhasePromoting {
		t.endTransactions(primary)
	}
	t.reassignQueued(primary, func(req *request) bool { return !req.hasConnection() })
	t.reportIfQuiescent(primary)
}

// endTransactions ends the transactions on a primary that was replaced or is about to be
// (design 14.6). A statement in flight may still complete; the connections of idle
// transactions are closed.
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
