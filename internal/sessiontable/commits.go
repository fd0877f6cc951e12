package sessiontable

import (
	"stoneford/internal/ports"
)

// certainty of a commit that a database answered.
const (
	primaryConfirmed   = iota // its primary is surely the only one now
	primaryUnconfirmed        // that is not known now, and may be in a moment
	primaryReplaced           // it is being replaced, or was
)

// confirmCommit ends a commit that its database answered. It is acknowledged only
// while the database surely leads: nobody else is promoted before every node's
// lease has run out or the node has confirmed the change, so nothing is
// acknowledged after another was (design 14.7).
func (t *Table) confirmCommit(req *request, commit *unconfirmedCommit) {
	group, p := req.group, commit.position
	switch t.commitCertainty(group, commit.primaryTerm, commit.primary) {
	case primaryUnconfirmed:
		req.unconfirmed = commit
		group.unconfirmed = append(group.unconfirmed, req)
		t.arm(&req.timer, commit.untilUs)
		t.requestLease()
		return
	case primaryReplaced:
		t.finish(req, ports.Reply{Code: ports.InDoubt, Text: "the primary was being replaced"})
		return
	}
	if req.session.lastCommitGroup != group {
		req.session.lastCommit, req.session.lastCommitGroup = ports.Position{}, group
	}
	if req.session.lastCommit.Before(p) {
		req.session.lastCommit = p
	}
	if group.acknowledged.Before(p) {
		group.acknowledged = p
	}
	t.finish(req, commit.reply)
}

func (t *Table) commitCertainty(group *databaseGroup, led uint64, by string) int {
	switch {
	case led == 0 || !group.known || group.state.Term != led || group.state.Primary != by,
		group.state.Phase != ports.PhaseServing && group.state.Phase != ports.PhaseDraining:
		return primaryReplaced
	case group.state.Unconfirmed, t.now >= group.confirmedUntil:
		return primaryUnconfirmed
	}
	return primaryConfirmed
}

// unconfirmedCommit is a commit whose database answered, and that waits for the lease.
type unconfirmedCommit struct {
	primaryTerm uint64
	primary     string
	position    ports.Position
	reply       ports.Reply
	untilUs     int64
}

// retryConfirmations goes through the commits of a group that wait for certainty.
func (t *Table) retryConfirmations(group *databaseGroup) {
	requests := group.unconfirmed
	group.unconfirmed = nil
	for _, req := range requests {
		if commit := req.unconfirmed; commit != nil {
			req.unconfirmed = nil
			t.disarm(&req.timer)
			t.confirmCommit(req, commit)
		}
	}
}
