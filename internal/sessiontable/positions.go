package sessiontable

import (
	"stoneford/freshness"
	"stoneford/internal/ports"
)

// Bounds on the commits of a group that are kept for bounded-staleness reads. Above
// maxCommits, the oldest are dropped until keptCommits remain, and replicas that lag
// behind the dropped commits get no such reads.
const (
	maxCommits  = 4096
	keptCommits = 2048
)

// anyCommit is the write set of every commit. The data that a caller's statement touches
// is not known, so any missing commit makes a read stale.
var anyCommit = []freshness.Atom{""}

// recordPosition records a position that a database reported and, for a replica, updates
// its average replication lag.
func (t *Table) recordPosition(db *database, position ports.Position) {
	if !position.Known() {
		return
	}
	group := db.group
	isPrimary := group.state.Primary == db.ID
	if db.position.Before(position) || !isPrimary {
		db.position = position
	}
	if isPrimary || db.Draining || !group.commits.PrimaryKnown() || position.Term != group.commitsTerm {
		return
	}
	group.commits.ObserveReplica(db.ID, position.Number)
	lag := int64(0)
	if at, ok := group.commits.CommitTime(position.Number + 1); ok {
		lag = max(t.now-at, 0)
	}
	db.lagUs += (lag - db.lagUs) / 8
}

// recordPrimaryPosition records the position in the primary's answer to a statement sent
// at sentUs. If the lease was valid at that time, every commit acknowledged before is at
// or below the position (design 14.10). committed reports whether the statement itself
// committed.
func (t *Table) recordPrimaryPosition(conn *connection, sentUs int64, position ports.Position, committed bool) {
	group, db := conn.db.group, conn.db
	if !t.isFromConfirmedPrimary(conn, sentUs, position) {
		return
	}
	if position.Term > group.commitsTerm || !group.commits.PrimaryKnown() {
		t.resetCommits(group, position.Term, db)
	}
	first := !group.commits.PrimaryKnown()
	if committed {
		group.commits.AddCommit(sentUs, position.Number, 1, anyCommit)
	} else {
		group.commits.ObservePrimary(sentUs, position.Number)
	}
	group.trimCommits()
	if first {
		t.reassignQueued(db, func(req *request) bool { return !req.hasConnection() && !req.needsPrimary() })
		t.reassignWaiting(group)
	}
}

// isFromConfirmedPrimary reports whether an answer with a position comes from the group's
// primary, and a lease confirmed the primary when the statement was sent.
func (t *Table) isFromConfirmedPrimary(conn *connection, sentUs int64, position ports.Position) bool {
	group := conn.db.group
	fromPrimary := conn.primaryTerm != 0 && conn.primaryTerm == group.state.Term && group.state.Primary == conn.db.ID
	return position.Known() && fromPrimary && group.confirmedUntilUs > sentUs && position.Term >= group.commitsTerm
}

// resetCommits drops the commits of older terms and starts a new term.
func (t *Table) resetCommits(group *databaseGroup, term uint64, primary *database) {
	group.commits.Reset()
	group.commitsTerm = term
	for _, replica := range group.databases {
		if replica == primary || replica.Draining {
			continue
		}
		applied := int64(0)
		if replica.position.Term == term {
			applied = replica.position.Number
		}
		group.commits.ObserveReplica(replica.ID, applied)
	}
}

// trimCommits bounds the number of kept commits. Without replicas, nothing else would
// remove them.
func (g *databaseGroup) trimCommits() {
	if g.commits.Len() <= maxCommits {
		return
	}
	oldest := g.commits.PrimaryPosition() - keptCommits
	g.commits.ObserveReplica("", oldest)
	for _, replica := range g.databases {
		if applied, ok := g.commits.AppliedPosition(replica.ID); ok && applied < oldest {
			g.commits.RemoveReplica(replica.ID)
		}
	}
}
