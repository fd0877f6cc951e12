package coordinator

import (
	"slices"
	"time"

	"stoneford/internal/invariant"
	"stoneford/internal/learner"
	"stoneford/internal/ports"
	"stoneford/internal/routingtable"
	"stoneford/paxos"
	"stoneford/schema"
)

// pendingChange is an operator's change that this process is deciding, and the callers
// that wait for its outcome. A caller that sends the same change again is added to them.
type pendingChange struct {
	change        ports.TableChange
	knownRevision uint64   // newest register revision known to be committed when the change arrived
	callers       []uint64 // IDs of the waiting calls
	deadline      int64
}

// changeUnavailable is the result of a change that this process cannot decide now. The
// change may or may not have been applied.
var changeUnavailable = ports.ChangeResult{Outcome: ports.Unavailable}

// changeTable handles an operator's change: it reads the newest table through a majority,
// validates the change against it and proposes the new table (design 18).
func (c *Core) changeTable(now int64, e ChangeTable) {
	timeout := replyTimeout + replyTimeoutPerRoute*time.Duration(len(e.Change.Routes))
	if !c.admitCall(now, e.ID, timeout, ChangeTableDone{ID: e.ID, Result: changeUnavailable}) {
		return
	}
	if pending := c.tableChanges[e.Change.Digest]; pending != nil {
		pending.callers = append(pending.callers, e.ID)
		return
	}
	pending := &pendingChange{
		change:        e.Change,
		knownRevision: c.committedTableRevision(),
		callers:       []uint64{e.ID},
		deadline:      now + changeTimeout.Microseconds(),
	}
	c.tableChanges[e.Change.Digest] = pending
	c.readRegister(now, learner.TableKey, func(now int64, read paxos.Outcome) { c.decideChange(now, pending, read) })
}

// decideChange evaluates a change against the newest table, which a read or a conflicting
// proposal returned. Without that table the result is changeUnavailable.
func (c *Core) decideChange(now int64, pending *pendingChange, newest paxos.Outcome) {
	current, err := routingtable.Decode(newest.Value.GetData())
	known := newest.Verdict == paxos.Committed || newest.Value != nil
	known = known && c.checkNotOlder(newest.Value, pending.knownRevision)
	if !known || err != nil || now >= pending.deadline {
		c.finishChange(now, pending, changeUnavailable)
		return
	}
	next, result, decided := evaluateChange(current, newest.Value, pending.change)
	if decided {
		c.finishChange(now, pending, result)
		return
	}
	// Other processes may propose the same change. The proposals share the digest as
	// their ID, so the change is applied once.
	proposal := paxos.Change{
		ID:           pending.change.Digest,
		Key:          learner.TableKey,
		BaseRevision: newest.Value.GetRevision(),
		Data:         routingtable.Encode(next),
		Deadline:     pending.deadline,
	}
	c.propose(now, proposal, func(now int64, outcome paxos.Outcome) { c.changeProposed(now, pending, outcome) })
}

// evaluateChange applies a change to a table. It returns the resulting table to propose,
// or, if decided is true, the final result of the change.
func evaluateChange(current ports.RoutingTable, value *schema.Value, change ports.TableChange) (next ports.RoutingTable, result ports.ChangeResult, decided bool) {
	state := routingtable.StatusOf(current, change)
	if slices.Contains(value.GetChangeIds(), change.Digest) {
		state = routingtable.Applied // by an earlier version of the program, whose tables have no list of applied changes
	}
	switch {
	case state == routingtable.Applied:
		return next, ports.ChangeResult{Outcome: ports.Committed, Revision: current.Revision}, true
	case state == routingtable.Forgotten:
		return next, changeUnavailable, true
	case current.Revision != change.BaseRevision:
		return next, ports.ChangeResult{Outcome: ports.Stale, Revision: current.Revision}, true
	}
	next, problems := routingtable.Apply(current, change)
	if len(problems) > 0 {
		return next, ports.ChangeResult{Outcome: ports.Invalid, Revision: current.Revision, Problems: problems}, true
	}
	return next, result, false
}

// changeProposed handles the outcome of a change's proposal. If another revision was
// committed first, the change is evaluated again: that revision may be the same change,
// proposed by another process, or a move, which does not change the operators' revision.
func (c *Core) changeProposed(now int64, pending *pendingChange, outcome paxos.Outcome) {
	if outcome.Verdict != paxos.Committed {
		c.decideChange(now, pending, outcome)
		return
	}
	table, err := routingtable.Decode(outcome.Value.GetData())
	if err != nil {
		c.finishChange(now, pending, changeUnavailable)
		return
	}
	c.finishChange(now, pending, ports.ChangeResult{Outcome: ports.Committed, Revision: table.Revision})
}

// finishChange sends a change's result to all callers that wait for it.
func (c *Core) finishChange(now int64, pending *pendingChange, result ports.ChangeResult) {
	delete(c.tableChanges, pending.change.Digest)
	for _, id := range pending.callers {
		c.finishCall(now, id, ChangeTableDone{ID: id, Result: result})
	}
}

// fetchTable reads the newest table through a majority.
func (c *Core) fetchTable(now int64, e FetchTable) {
	if !c.admitCall(now, e.ID, replyTimeout, FetchTableDone{ID: e.ID}) {
		return
	}
	known := c.committedTableRevision()
	c.readRegister(now, learner.TableKey, func(now int64, read paxos.Outcome) {
		table, err := routingtable.Decode(read.Value.GetData())
		ok := read.Verdict == paxos.Committed && err == nil && table.Revision > 0 && c.checkNotOlder(read.Value, known)
		c.finishCall(now, e.ID, FetchTableDone{ID: e.ID, Table: table, OK: ok})
	})
}

// committedTableRevision returns the register revision of the newest routing table that
// is known to be committed.
func (c *Core) committedTableRevision() uint64 {
	known, _ := c.learner.Committed(learner.TableKey)
	return known.Revision
}

// checkNotOlder reports whether a table that a majority returned is at least as new as
// the revision that was known to be committed before the read. An older table violates an
// invariant.
func (c *Core) checkNotOlder(returned *schema.Value, known uint64) bool {
	if returned.GetRevision() >= known {
		return true
	}
	c.invariants.Violated(invariant.StaleTableReturned, "a majority returned revision %d of the routing table, but revision %d was known to be committed", returned.GetRevision(), known)
	return false
}
