package sessionpool

import (
	"stoneford/internal/learner"
	"stoneford/internal/ports"
	"stoneford/internal/sessiontable"
	"stoneford/schema"
)

// report is what the next poll reports to the voters.
func (c *Core) report(now int64) learner.Report {
	tableReport := c.Table.Report(now)
	report := learner.Report{Draining: c.draining, TableRevision: c.tableRevision}
	for _, health := range tableReport.HealthReports {
		report.HealthReports = append(report.HealthReports, &schema.HealthReport{DatabaseId: health.ID, FailingUs: health.FailingUs, Disconnected: health.Disconnected})
	}
	for _, status := range tableReport.GroupStatuses {
		report.GroupStatuses = append(report.GroupStatuses, c.groupStatus(status))
	}
	return report
}

// groupStatus is a group's status as it is reported. That the primary is idle matters only
// while it is being replaced. While a newer leadership is not confirmed, the node reports
// its revision: it knows that one is coming, and nothing depends on an older one.
func (c *Core) groupStatus(status sessiontable.GroupStatus) *schema.GroupStatus {
	revision, idle := status.Revision, status.Quiescent && c.phases[status.Group] != ports.PhaseServing
	if key := learner.LeaderPrefix + status.Group; c.learner.Unconfirmed(key) {
		revision, idle = c.learner.HighestSeen(key), false
	}
	return &schema.GroupStatus{
		Group:       status.Group,
		Revision:    revision,
		AckedTerm:   status.Acknowledged.Term,
		AckedNumber: status.Acknowledged.Number,
		Idle:        idle,
	}
}
