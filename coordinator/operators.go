package coordinator

import (
	"slices"

	"stoneford/paxos"
	"stoneford/ports"
	"stoneford/routingtable"
	"stoneford/voterview"
)

// change reads the newest table through a majority, checks the change against it
// and puts it to the vote.
func (c *Core) change(now int64, e Change) {
	ret := func(o ports.Outcome, rev uint64, ps ...string) {
		c.fx.Do = append(c.fx.Do, Changed{ID: e.ID, Result: ports.ChangeResult{Outcome: o, Revision: rev, Problems: ps}})
	}
	c.read(now, voterview.TableKey, func(now int64, o paxos.Outcome) {
		cur, err := routingtable.Decode(o.Value.GetData())
		switch {
		case o.Verdict != paxos.Agreed || err != nil:
			ret(ports.Unavailable, 0)
			return
		case slices.Contains(o.Value.GetChanges(), e.Change.Name):
			ret(ports.Agreed, cur.Revision) // sent again
			return
		case cur.Revision != e.Change.Base:
			ret(ports.Stale, cur.Revision)
			return
		}
		next, ps := routingtable.Apply(cur, e.Change)
		if len(ps) > 0 {
			ret(ports.Invalid, cur.Revision, ps...)
			return
		}
		// Two processes may be putting the very same change to the vote, sent
		// twice: they share its name, so it is made once.
		name := e.Change.Name
		if c.pending[name] != nil {
			ret(ports.Unavailable, cur.Revision)
			return
		}
		c.ask(now, paxos.Change{Name: name, Key: voterview.TableKey, Base: o.Value.GetRevision(), Data: routingtable.Encode(next), Deadline: now + changeExpiry}, func(now int64, o paxos.Outcome) {
			t, _ := routingtable.Decode(o.Value.GetData())
			switch o.Verdict {
			case paxos.Agreed:
				ret(ports.Agreed, t.Revision)
			case paxos.Lost:
				ret(ports.Stale, t.Revision)
			default:
				ret(ports.Unavailable, 0)
			}
		})
	})
}
