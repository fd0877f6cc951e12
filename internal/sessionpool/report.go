package sessionpool

import (
	"stoneford/internal/learner"
	"stoneford/internal/ports"
	"stoneford/internal/sessiontable"
	"stoneford/schema"
)

// report returns the node's report to the voters for the next poll.
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

// groupStatus converts a group's status for the report to the voters. An idle primary is
// reported only while it is being replaced. While a newer leadership is unconfirmed, its
// revision is reported: the node knows of that leadership and acknowledges nothing that
// depends on the older one.
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
