package sessiontable

import "stoneford/internal/fleetstate"

// State returns the table's state as shown to operators.
func (t *Table) State(now int64) fleetstate.PoolState {
	gauges, counts := t.Gauges(), t.Counts()
	state := fleetstate.PoolState{
		Nodes:              t.nodes,
		Sessions:           gauges.Sessions,
		Connections:        gauges.Connections,
		Running:            gauges.Running,
		Waiting:            gauges.Waiting,
		OpenTransactions:   gauges.OpenTransactions,
		StatementsByResult: fleetstate.CountsByResult(counts.Results),
		AnsweredLocally:    counts.AnsweredLocally,
		Rejected:           counts.Rejected,
		Retried:            counts.Retries,
		Connects:           counts.Connects,
		Resets:             counts.Resets,
		PlacedAtReplicas:   counts.AtReplica,
		PlacedAtPrimaries:  counts.AtPrimary,
		Groups:             []fleetstate.PoolGroup{},
	}
	for _, group := range t.groupsByName {
		state.Groups = append(state.Groups, t.groupState(now, group))
	}
	return state
}

// groupState returns the state of a group as shown to operators.
func (t *Table) groupState(now int64, group *databaseGroup) fleetstate.PoolGroup {
	state := fleetstate.PoolGroup{
		Group:           group.name,
		Phase:           "none",
		Waiting:         group.waiting.len(),
		Acknowledged:    group.acknowledged,
		PrimaryPosition: fleetstate.Unknown,
		PendingCommits:  group.commits.Len(),
		Databases:       []fleetstate.PoolDatabase{},
	}
	if group.hasLeadership {
		state.Revision, state.Unconfirmed = group.state.Revision, group.state.Unconfirmed
		state.Term, state.Primary = group.state.Term, group.state.Primary
		state.Phase = fleetstate.PhaseName(group.state.Phase)
		state.ConfirmedForUs = group.confirmedUntilUs - now
	}
	if group.commits.PrimaryKnown() {
		state.PrimaryPosition = group.commits.PrimaryPosition()
	}
	for _, db := range group.databases {
		state.Databases = append(state.Databases, t.databaseState(now, db))
	}
	return state
}

// databaseState returns the state of a database as shown to operators.
func (t *Table) databaseState(now int64, db *database) fleetstate.PoolDatabase {
	state := fleetstate.PoolDatabase{
		ID:               db.ID,
		Address:          db.Address,
		Zone:             db.Zone,
		Draining:         db.Draining,
		Connections:      len(db.connections),
		MaxConnections:   t.connectionLimit(db),
		Opening:          db.openingConnections,
		Idle:             len(db.idle),
		Running:          db.running,
		Slots:            db.concurrencyLimit,
		Waiting:          db.queue.len(),
		OpenTransactions: db.openTransactions,
		FailingUs:        fleetstate.Unknown,
		AppliedPosition:  fleetstate.Unknown,
		HighestNamed:     db.position,
	}
	if db.failingSinceUs > 0 {
		state.FailingUs = max(now-db.failingSinceUs, 0)
	}
	if applied, ok := db.group.commits.AppliedPosition(db.ID); ok {
		state.AppliedPosition = applied
	}
	return state
}
