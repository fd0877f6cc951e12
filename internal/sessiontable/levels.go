package sessiontable

import (
	"stoneford/freshness"
	"stoneford/internal/ports"
)

// recordPosition takes a position that an instance showed.
func (t *Table) recordPosition(db *database, p ports.Position) {
	if !p.Known() {
		return
	}
	if db.position.Before(p) || db.group.state.Primary != db.ID {
		db.position = p
	}
	group := db.group
	if group.state.Primary == db.ID || db.Draining || !group.commits.Known() || p.Term != group.commitsTerm {
		return
	}
	group.commits.ObserveReplica(db.ID, p.Number)
	lag := int64(0)
	if at, ok := group.commits.CommitTime(p.Number + 1); ok {
		lag = max(t.now-at, 0)
	}
	db.lagUs += (lag - db.lagUs) / 8
}

// anyCommit is what a commit may have written: of a caller's thing nothing finer is
// known, and any missing commit makes a read stale.
var anyCommit = []freshness.Atom{""}

// recordEvidence takes what the primary's answer proves: all commits acknowledged
// before the statement left lie at or below the position, as the lease held at
// that moment (design 14.10).
func (t *Table) recordEvidence(conn *connection, sent int64, p ports.Position, own bool) {
	group, db := conn.database.group, conn.database
	if !p.Known() || conn.primaryTerm == 0 || conn.primaryTerm != group.state.Term || group.state.Primary != db.ID || group.confirmedUntil <= sent || p.Term < group.commitsTerm {
		return
	}
	if p.Term > group.commitsTerm || !group.commits.Known() {
		group.commits.Reset()
		group.commitsTerm = p.Term
		for _, replica := range group.databases {
			if replica != db && !replica.Draining {
				limit := int64(0)
				if replica.position.Term == p.Term {
					limit = replica.position.Number
				}
				group.commits.ObserveReplica(replica.ID, limit)
			}
		}
	}
	fresh := !group.commits.Known()
	if own {
		group.commits.AddCommit(sent, p.Number, 1, anyCommit)
	} else {
		group.commits.ObservePrimary(sent, p.Number)
	}
	if group.commits.Len() > 4096 {
		group.commits.ObserveReplica("", group.commits.PrimaryPosition()-2048) // where there is no copy
		for _, replica := range group.databases {
			if limit, ok := group.commits.AppliedPosition(replica.ID); ok && limit < group.commits.PrimaryPosition()-2048 {
				group.commits.RemoveReplica(replica.ID)
			}
		}
	}
	if fresh {
		t.requeue(db, func(req *request) bool { return !req.hasConnection() && !req.needsPrimary() })
		t.requeueWaiting(group)
	}
}
