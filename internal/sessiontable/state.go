package sessiontable

import "stoneford/internal/fleetstate"

// State is what operators are told of the table.
func (t *Table) State(now int64) fleetstate.PoolState {
	group, counts := t.Gauges(), t.Counts()
	state := fleetstate.PoolState{Nodes: t.nodes, Sessions: group.Sessions, Connections: group.Connections, Running: group.Running, Waiting: group.Waiting, OpenTransactions: group.OpenTransactions,
		StatementsByResult: fleetstate.CountsByResult(counts.Results), AnsweredLocally: counts.AnsweredLocally, Rejected: counts.Rejected, Retried: counts.Retries, Connects: counts.Connects, Resets: counts.Resets,
		PlacedAtReplicas: counts.AtReplica, PlacedAtPrimaries: counts.AtPrimary, Groups: []fleetstate.PoolGroup{}}
	for _, group := range t.groupsByName {
		state.Groups = append(state.Groups, t.groupState(now, group))
	}
	return state
}

func (t *Table) groupState(now int64, group *databaseGroup) fleetstate.PoolGroup {
	state := fleetstate.PoolGroup{Group: group.name, Phase: "none", Waiting: group.waiting.len(), Acknowledged: group.acknowledged, PrimaryPosition: fleetstate.Unknown,
		PendingCommits: group.commits.Len(), Databases: []fleetstate.PoolDatabase{}}
	if group.known {
		view := group.state
		state.Revision, state.Unconfirmed, state.Term, state.Primary, state.Phase, state.ConfirmedForUs = view.Revision, view.Unconfirmed, view.Term, view.Primary, fleetstate.PhaseName(view.Phase), group.confirmedUntil-now
	}
	if group.commits.Known() {
		state.PrimaryPosition = group.commits.PrimaryPosition()
	}
	for _, db := range group.databases {
		dbState := fleetstate.PoolDatabase{ID: db.ID, Address: db.Address, Zone: db.Zone, Draining: db.Draining, Connections: len(db.connections), MaxConnections: t.connectionLimit(db),
			Opening: db.opening, Idle: len(db.idle), Running: db.running, Slots: db.slots, Waiting: db.queue.len(), OpenTransactions: db.openTransactions,
			FailingUs: fleetstate.Unknown, AppliedPosition: fleetstate.Unknown, HighestNamed: db.position}
		if db.failingSince > 0 {
			dbState.FailingUs = max(now-db.failingSince, 0)
		}
		if limit, ok := group.commits.AppliedPosition(db.ID); ok {
			dbState.AppliedPosition = limit
		}
		state.Databases = append(state.Databases, dbState)
	}
	return state
}
