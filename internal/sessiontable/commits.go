package sessiontable

import "stoneford/internal/ports"

// primaryStatus classifies whether the database that answered a commit is still the
// group's only primary.
type primaryStatus int

const (
	primaryConfirmed   primaryStatus = iota // a lease confirms that it is the only primary
	primaryUnconfirmed                      // no valid lease now; a renewal may confirm it
	primaryReplaced                         // it was replaced, or its replacement has begun
)

// unconfirmedCommit is a commit that the database completed and that is not acknowledged
// to the caller yet, because the primary is not confirmed.
type unconfirmedCommit struct {
	primaryTerm uint64
	primary     string
	position    ports.Position
	reply       ports.Reply
	deadlineUs  int64 // after it, the caller is replied InDoubt
}

// confirmCommit acknowledges a commit that its database completed, if a lease confirms
// that the database is the primary. Otherwise the commit waits for a lease, or is in doubt.
// A new primary is promoted only after each node's lease has run out or the node has
// confirmed the change, so no commit is acknowledged after a promotion (design 14.7).
func (t *Table) confirmCommit(req *request, commit *unconfirmedCommit) {
	group := req.group
	switch t.primaryStatusOf(group, commit) {
	case primaryUnconfirmed:
		req.unconfirmed = commit
		group.awaitingConfirmation = append(group.awaitingConfirmation, req)
		t.timers.arm(&req.timer, commit.deadlineUs)
		t.requestLease()
		return
	case primaryReplaced:
		t.finish(req, ports.Reply{Code: ports.InDoubt, Text: "the primary was being replaced"})
		return
	}
	req.session.commits.record(group, commit.position)
	if group.acknowledged.Before(commit.position) {
		group.acknowledged = commit.position
	}
	t.finish(req, commit.reply)
}

// primaryStatusOf returns whether the primary that completed a commit is still the only one.
func (t *Table) primaryStatusOf(group *databaseGroup, commit *unconfirmedCommit) primaryStatus {
	state := group.state
	isPrimary := commit.primaryTerm != 0 && group.hasLeadership && state.Term == commit.primaryTerm && state.Primary == commit.primary
	switch {
	case !isPrimary:
		return primaryReplaced
	case state.Phase != ports.PhaseServing && state.Phase != ports.PhaseDraining:
		return primaryReplaced
	case state.Unconfirmed, t.now >= group.confirmedUntilUs:
		return primaryUnconfirmed
	}
	return primaryConfirmed
}

// retryConfirmations tries to confirm the commits of a group that wait for a lease.
func (t *Table) retryConfirmations(group *databaseGroup) {
	requests := group.awaitingConfirmation
	group.awaitingConfirmation = nil
	for _, req := range requests {
		commit := req.unconfirmed
		if commit == nil {
			continue // its request has already been replied to
		}
		req.unconfirmed = nil
		t.timers.disarm(&req.timer)
		t.confirmCommit(req, commit)
	}
}
