package sessionpool

import (
	"cmp"
	"slices"
	"strings"

	"stoneford/internal/invariant"
	"stoneford/internal/learner"
	"stoneford/internal/ports"
	"stoneford/internal/routingtable"
	"stoneford/internal/sessiontable"
)

// applyLearnerChanges passes changes in the learner's state to the session table. A new
// routing table or leadership is confirmed to the voters by an immediate poll, because a
// move or a failover may wait for that.
func (c *Core) applyLearnerChanges(now int64, effects *Effects) {
	keys, databasesChanged := c.learner.TakeChanges()
	c.recordNewerTable(now)
	var update sessiontable.Update
	tableChanged := slices.Contains(keys, learner.TableKey) && c.adoptTable()
	if tableChanged {
		update.Table = &c.table
		c.logTable(now, effects)
		c.learner.RequestPoll()
	}
	leadershipChanged := slices.ContainsFunc(keys, func(key string) bool { return strings.HasPrefix(key, learner.LeaderPrefix) })
	if tableChanged || leadershipChanged {
		update.Groups = c.groupStates()
		c.learner.RequestPoll()
	}
	if databasesChanged || leadershipChanged {
		update.Instances = c.instances()
		update.DrainsLateUs = c.drainsLateUs(now)
	}
	changed := tableChanged || leadershipChanged || databasesChanged
	if nodes := c.learner.PoolNodes(); nodes != c.nodes {
		c.nodes, changed = nodes, true
	}
	if leaseUntil := c.learner.LeaseUntil(); leaseUntil != c.leaseUntilUs {
		c.leaseUntilUs, changed = leaseUntil, true
	}
	if changed {
		update.LeaseUntilUs, update.PoolNodes = c.leaseUntilUs, c.nodes
		c.stepTable(now, effects, update)
	}
}

// drainsLateUs returns how much later than drainMargin this node may have learned of a drain
// that a response reports now, in µs. The drain was acknowledged once a majority of the
// voters knew of it, which was after the newest poll that a majority has answered without
// reporting it. That poll is long ago if this node was partitioned.
func (c *Core) drainsLateUs(now int64) int64 {
	confirmedAt := c.leaseUntilUs - learner.LeaseDurationUs
	return max(now-confirmedAt-drainMargin.Microseconds(), 0)
}

// adoptTable puts the committed routing table into force, if it is newer than the current
// one, and reports whether it did.
func (c *Core) adoptTable() bool {
	committed, ok := c.learner.Committed(learner.TableKey)
	if !ok || committed.Revision <= c.tableRevision {
		return false
	}
	table, err := routingtable.Decode(committed.Data)
	if err != nil {
		return false // cannot happen: voters decode a table before they accept it
	}
	if table.Revision < c.table.Revision {
		c.checks.Violated(invariant.TableRevertedToOlder, "from the operators' revision %d to %d", c.table.Revision, table.Revision)
	}
	c.tableRevision, c.table = committed.Revision, table
	return true
}

// groupStates returns the leaderships of all groups, and records their phases.
func (c *Core) groupStates() map[string]sessiontable.GroupState {
	states := map[string]sessiontable.GroupState{}
	c.phases = map[string]ports.Phase{}
	for name, leadership := range c.learner.Leaderships() {
		c.phases[name] = leadership.Phase
		states[name] = sessiontable.GroupState{
			Leadership:      leadership,
			Unconfirmed:     c.learner.Unconfirmed(learner.LeaderPrefix + name),
			NeedsNewerTable: leadership.TableRevision > c.tableRevision,
		}
	}
	return states
}

// instances returns the announced databases and the committed primaries that are not
// announced yet: when all control processes have just started, they know only the
// registers. The result is never nil, because nil means no change in an Update.
func (c *Core) instances() []ports.Instance {
	instances := append([]ports.Instance{}, c.learner.Instances()...)
	for name, leadership := range c.learner.Leaderships() {
		id := leadership.Primary
		isAnnounced := slices.ContainsFunc(instances, func(i ports.Instance) bool { return i.ID == id })
		if id != "" && leadership.Address != "" && !c.learner.Gone(id) && !isAnnounced {
			instances = append(instances, ports.Instance{ID: id, Group: name, Address: leadership.Address, Primary: true, Unannounced: true})
		}
	}
	slices.SortFunc(instances, func(a, b ports.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return instances
}
