package coordinator

import (
	"slices"

	"stoneford/invariant"
	"stoneford/paxos"
	"stoneford/ports"
	"stoneford/routingtable"
	"stoneford/schema"
	"stoneford/voterview"
)

// order is an operator's change that is being decided by this process, and the
// callers that wait for the outcome: the same order sent again joins it.
type order struct {
	change  ports.TableChange
	known   uint64 // register revision that was known to be agreed when it came
	callers []uint64
	until   int64
}

// change takes an operator's order: it reads the newest table through a majority,
// checks the order against it and puts it to the vote (design 18).
func (c *Core) change(now int64, e Change) {
	within := answerWithin + answerPerRoute*int64(len(e.Change.Routes))
	if !c.admit(now, e.ID, within, Changed{ID: e.ID, Result: unavailable}) {
		return
	}
	if o := c.orders[e.Change.Name]; o != nil {
		o.callers = append(o.callers, e.ID)
		return
	}
	o := &order{change: e.Change, known: c.knownTable(), callers: []uint64{e.ID}, until: now + changeExpiry}
	c.orders[e.Change.Name] = o
	c.read(now, voterview.TableKey, func(now int64, read paxos.Outcome) { c.judge(now, o, read) })
}

// judge decides an order by the newest table, as a reading or a vote that was
// lost brought it. Without one there is no clear answer.
func (c *Core) judge(now int64, o *order, newest paxos.Outcome) {
	current, err := routingtable.Decode(newest.Value.GetData())
	known := newest.Verdict == paxos.Agreed || newest.Value != nil
	known = known && c.notOlder(newest.Value, o.known)
	if !known || err != nil || now >= o.until {
		c.ended(now, o, unavailable)
		return
	}
	taken := routingtable.WasTaken(current, o.change)
	if slices.Contains(newest.Value.GetChanges(), o.change.Name) {
		taken = routingtable.Taken // by a version of the program that kept no list of orders
	}
	switch taken {
	case routingtable.Taken:
		c.ended(now, o, ports.ChangeResult{Outcome: ports.Agreed, Revision: current.Revision})
		return
	case routingtable.Forgotten:
		c.ended(now, o, unavailable)
		return
	}
	if current.Revision != o.change.Base {
		c.ended(now, o, ports.ChangeResult{Outcome: ports.Stale, Revision: current.Revision})
		return
	}
	next, problems := routingtable.Apply(current, o.change)
	if len(problems) > 0 {
		c.ended(now, o, ports.ChangeResult{Outcome: ports.Invalid, Revision: current.Revision, Problems: problems})
		return
	}
	// Other processes may put the very same order to the vote. They share its
	// name, so it is made once.
	c.ask(now, paxos.Change{Name: o.change.Name, Key: voterview.TableKey, Base: newest.Value.GetRevision(), Data: routingtable.Encode(next), Deadline: o.until},
		func(now int64, vote paxos.Outcome) { c.voteEnded(now, o, vote) })
}

// voteEnded ends an order that was put to the vote. Where another revision came
// first it is judged once more: that may be the order itself, from another
// process, or a move, which leaves the operators' revision as it is.
func (c *Core) voteEnded(now int64, o *order, vote paxos.Outcome) {
	if vote.Verdict != paxos.Agreed {
		c.judge(now, o, vote)
		return
	}
	t, err := routingtable.Decode(vote.Value.GetData())
	if err != nil {
		c.ended(now, o, unavailable)
		return
	}
	c.ended(now, o, ports.ChangeResult{Outcome: ports.Agreed, Revision: t.Revision})
}

// ended tells all that wait for an order what became of it.
func (c *Core) ended(now int64, o *order, result ports.ChangeResult) {
	delete(c.orders, o.change.Name)
	for _, id := range o.callers {
		c.answer(now, id, Changed{ID: id, Result: result})
	}
}

// fetch reads the newest table through a majority.
func (c *Core) fetch(now int64, e Fetch) {
	if !c.admit(now, e.ID, answerWithin, Fetched{ID: e.ID}) {
		return
	}
	known := c.knownTable()
	c.read(now, voterview.TableKey, func(now int64, read paxos.Outcome) {
		t, err := routingtable.Decode(read.Value.GetData())
		ok := read.Verdict == paxos.Agreed && err == nil && t.Revision > 0 && c.notOlder(read.Value, known)
		c.answer(now, e.ID, Fetched{ID: e.ID, Table: t, OK: ok})
	})
}

// knownTable is the register revision of the newest routing table known to be agreed.
func (c *Core) knownTable() uint64 {
	known, _ := c.view.Agreed(voterview.TableKey)
	return known.Revision
}

// notOlder reports whether a table that a majority brought is at least as new as what
// was known to be agreed when it was asked.
func (c *Core) notOlder(brought *schema.Value, known uint64) bool {
	if brought.GetRevision() >= known {
		return true
	}
	c.checks.Broken(invariant.OlderHandedOut, "a majority brought revision %d; %d was known to be agreed", brought.GetRevision(), known)
	return false
}
