package coordinator

import (
	"slices"

	"stoneford/internal/invariant"
	"stoneford/internal/learner"
	"stoneford/internal/ports"
	"stoneford/internal/routingtable"
	"stoneford/paxos"
	"stoneford/schema"
)

// pendingChange is an operator's change that is being decided by this process, and the
// callers that wait for the outcome: the same order sent again joins it.
type pendingChange struct {
	change        ports.TableChange
	knownRevision uint64 // register revision that was known to be agreed when it came
	callers       []uint64
	deadline      int64
}

// requestChange takes an operator's order: it reads the newest table through a majority,
// checks the order against it and puts it to the vote (design 18).
func (c *Core) requestChange(now int64, e ChangeTable) {
	within := replyTimeout + replyTimeoutPerRoute*int64(len(e.Change.Routes))
	if !c.admitCall(now, e.ID, within, ChangeTableDone{ID: e.ID, Result: changeUnavailable}) {
		return
	}
	if o := c.pendingChanges[e.Change.Digest]; o != nil {
		o.callers = append(o.callers, e.ID)
		return
	}
	o := &pendingChange{change: e.Change, knownRevision: c.knownTableRevision(), callers: []uint64{e.ID}, deadline: now + changeTimeout}
	c.pendingChanges[e.Change.Digest] = o
	c.readRegister(now, learner.TableKey, func(now int64, read paxos.Outcome) { c.decideChange(now, o, read) })
}

// decideChange decides an order by the newest table, as a reading or a vote that was
// lost brought it. Without one there is no clear answer.
func (c *Core) decideChange(now int64, o *pendingChange, newest paxos.Outcome) {
	current, err := routingtable.Decode(newest.Value.GetData())
	known := newest.Verdict == paxos.Committed || newest.Value != nil
	known = known && c.notOlder(newest.Value, o.knownRevision)
	if !known || err != nil || now >= o.deadline {
		c.finishChange(now, o, changeUnavailable)
		return
	}
	taken := routingtable.OrderStatus(current, o.change)
	if slices.Contains(newest.Value.GetChangeIds(), o.change.Digest) {
		taken = routingtable.Applied // by a version of the program that kept no list of orders
	}
	switch taken {
	case routingtable.Applied:
		c.finishChange(now, o, ports.ChangeResult{Outcome: ports.Committed, Revision: current.Revision})
		return
	case routingtable.Forgotten:
		c.finishChange(now, o, changeUnavailable)
		return
	}
	if current.Revision != o.change.BaseRevision {
		c.finishChange(now, o, ports.ChangeResult{Outcome: ports.Stale, Revision: current.Revision})
		return
	}
	next, problems := routingtable.Apply(current, o.change)
	if len(problems) > 0 {
		c.finishChange(now, o, ports.ChangeResult{Outcome: ports.Invalid, Revision: current.Revision, Problems: problems})
		return
	}
	// Other processes may put the very same order to the vote. They share its
	// name, so it is made once.
	c.propose(now, paxos.Change{ID: o.change.Digest, Key: learner.TableKey, BaseRevision: newest.Value.GetRevision(), Data: routingtable.Encode(next), Deadline: o.deadline},
		func(now int64, vote paxos.Outcome) { c.changeVoted(now, o, vote) })
}

// changeVoted ends an order that was put to the vote. Where another revision came
// first it is judged once more: that may be the order itself, from another
// process, or a move, which leaves the operators' revision as it is.
func (c *Core) changeVoted(now int64, o *pendingChange, vote paxos.Outcome) {
	if vote.Verdict != paxos.Committed {
		c.decideChange(now, o, vote)
		return
	}
	t, err := routingtable.Decode(vote.Value.GetData())
	if err != nil {
		c.finishChange(now, o, changeUnavailable)
		return
	}
	c.finishChange(now, o, ports.ChangeResult{Outcome: ports.Committed, Revision: t.Revision})
}

// finishChange tells all that wait for an order what became of it.
func (c *Core) finishChange(now int64, o *pendingChange, result ports.ChangeResult) {
	delete(c.pendingChanges, o.change.Digest)
	for _, id := range o.callers {
		c.finishCall(now, id, ChangeTableDone{ID: id, Result: result})
	}
}

// fetchTable reads the newest table through a majority.
func (c *Core) fetchTable(now int64, e FetchTable) {
	if !c.admitCall(now, e.ID, replyTimeout, FetchTableDone{ID: e.ID}) {
		return
	}
	known := c.knownTableRevision()
	c.readRegister(now, learner.TableKey, func(now int64, read paxos.Outcome) {
		t, err := routingtable.Decode(read.Value.GetData())
		ok := read.Verdict == paxos.Committed && err == nil && t.Revision > 0 && c.notOlder(read.Value, known)
		c.finishCall(now, e.ID, FetchTableDone{ID: e.ID, Table: t, OK: ok})
	})
}

// knownTableRevision is the register revision of the newest routing table known to be agreed.
func (c *Core) knownTableRevision() uint64 {
	known, _ := c.learner.Committed(learner.TableKey)
	return known.Revision
}

// notOlder reports whether a table that a majority brought is at least as new as what
// was known to be agreed when it was asked.
func (c *Core) notOlder(brought *schema.Value, known uint64) bool {
	if brought.GetRevision() >= known {
		return true
	}
	c.checks.Violated(invariant.StaleTableReturned, "a majority brought revision %d; %d was known to be agreed", brought.GetRevision(), known)
	return false
}
