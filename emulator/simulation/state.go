package simulation

import (
	"stoneford/internal/control"
	"stoneford/internal/querytable"
	"stoneford/maintenance"
	"stoneford/schema"
)

// Primary returns the database that a group's register names as the primary, if this
// database is up and is itself in the role of primary in the register's epoch. Otherwise it
// returns nil.
func (f *Fleet) Primary(group string) *Database {
	for _, c := range f.Controls {
		if st := control.GroupState(c.core.CommittedValue(control.GroupKeyPrefix + f.partnerOf[group] + "/" + group)); st.Primary != "" {
			d := f.Databases[st.Primary]
			if d != nil && d.up && d.state.Primary && d.state.Epoch == st.Epoch {
				return d
			}
		}
	}
	return nil
}

// MinAppliedRevision returns the lowest revision of a partner's configuration that is
// applied on any running node, or the greatest uint64 if no node runs.
func (f *Fleet) MinAppliedRevision(partner string) uint64 {
	least := ^uint64(0)
	for _, n := range f.Nodes {
		if n.up {
			least = min(least, n.core.AppliedRevisions()[control.ConfigurationKeyPrefix+partner])
		}
	}
	return least
}

// Calendar returns the newest committed maintenance calendar that any control process
// knows.
func (f *Fleet) Calendar() *schema.MaintenanceCalendar {
	var v *schema.Value
	for _, c := range f.Controls {
		if committed := c.core.CommittedValue(control.MaintenanceKey); committed.GetRevision() > v.GetRevision() {
			v = committed
		}
	}
	return maintenance.Decode(v.GetData())
}

// GroupLeader returns the index of the control process that leads a group, or 0 if none
// does.
func (f *Fleet) GroupLeader(group string) int {
	for i, c := range f.Controls {
		if c.up && c.core.GroupLeaders()[group] == c.boot.Listen {
			return i
		}
	}
	return 0
}

// LastRead returns the name of the last read that was sent on a route.
func (f *Fleet) LastRead(route string) string { return f.lastRead[route] }

// Name returns the database's name.
func (d *Database) Name() string { return d.name }

// Counts returns the sums of the numbers of queries, polls, runs and opened connections
// over the tables of all nodes. The counters of a node start at 0 with each start of the
// node, and remain while it is down.
func (f *Fleet) Counts() querytable.Counts {
	var s querytable.Counts
	for _, n := range f.Nodes {
		for _, t := range n.tables {
			c := t.Counts()
			s.Queries, s.Polls, s.Runs, s.ConnectionsOpened = s.Queries+c.Queries, s.Polls+c.Polls, s.Runs+c.Runs, s.ConnectionsOpened+c.ConnectionsOpened
		}
	}
	return s
}
