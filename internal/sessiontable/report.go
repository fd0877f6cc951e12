package sessiontable

import "stoneford/internal/ports"

// HealthReport reports a database that this node cannot use.
type HealthReport struct {
	ID           string
	FailingUs    int64 // how long it has been failing
	Disconnected bool  // the database closed a connection or refused a connect; false for a time-out
}

// GroupStatus is the node's report to the voters about one group.
type GroupStatus struct {
	Group        string
	Revision     uint64         // revision of the leadership in force at this node
	Acknowledged ports.Position // newest commit acknowledged to a caller
	Quiescent    bool           // no statement or transaction is in flight at the primary
}

// Report is sent to the voters with the node's next poll.
type Report struct {
	HealthReports []HealthReport
	GroupStatuses []GroupStatus
	// Urgent is set if the report should be sent at once: a health report is new, or a
	// group became quiescent while its failover waits for that.
	Urgent bool
}

// ReportUrgent reports whether the next Report should be sent at once.
func (t *Table) ReportUrgent() bool { return t.reportChanged }

// Report returns the report for the next poll of the voters, and clears ReportUrgent.
func (t *Table) Report(now int64) Report {
	r := Report{Urgent: t.reportChanged}
	t.reportChanged = false
	for _, group := range t.groupsByName {
		for _, db := range group.databases {
			if db.failingSinceUs > 0 {
				r.HealthReports = append(r.HealthReports, HealthReport{ID: db.ID, FailingUs: max(now-db.failingSinceUs, 0), Disconnected: db.disconnected})
			}
		}
		if group.hasLeadership {
			r.GroupStatuses = append(r.GroupStatuses, GroupStatus{Group: group.name, Revision: group.state.Revision, Acknowledged: group.acknowledged, Quiescent: t.quiescent(group)})
		}
	}
	return r
}

// quiescent reports whether no statement or transaction is in flight at the group's
// primary.
func (t *Table) quiescent(group *databaseGroup) bool {
	primary := t.databases[group.state.Primary]
	return primary == nil || primary.running == 0 && primary.openTransactions == 0
}

// reportIfQuiescent makes the next report urgent if the database is a primary that is
// being replaced and has nothing in flight any more.
func (t *Table) reportIfQuiescent(db *database) {
	group := db.group
	isDrainingPrimary := group.hasLeadership && group.state.Phase == ports.PhaseDraining && group.state.Primary == db.ID
	if isDrainingPrimary && db.running == 0 && db.openTransactions == 0 {
		t.reportChanged = true
	}
}
