package coordinator

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"stoneford/failover/fenced"
	"stoneford/internal/learner"
	"stoneford/schema"
)

// addGroupInput adds the recent reports of databases and pool nodes to a decider's input.
func (c *Core) addGroupInput(now int64, name string, g *group, input *fenced.Input) {
	c.addDatabases(now, g, input)
	input.InventoryComplete = c.inventoryComplete(now)
	c.addMembers(name, input)
	input.HealthReports = map[string]fenced.HealthReport{}
	input.PrimaryIdle, input.AllNotified = true, true
	for _, p := range c.pollers {
		if p.isPoolNode() && now-p.lastPoll <= pollerTimeout.Microseconds() {
			addPoolNode(now, p, input)
		}
	}
	input.NoOlderRevisionInUse = c.majorityCleared(name, g, input.State.FreezeRevision)
	c.addAcknowledged(now, name, g, input)
}

// addDatabases adds the group's databases with the times of their last announcements, and
// those that are gone.
func (c *Core) addDatabases(now int64, g *group, input *fenced.Input) {
	input.LastAnnouncedUs, input.Gone = map[string]int64{}, map[string]fenced.GoneDatabase{}
	for _, id := range slices.Sorted(maps.Keys(g.databases)) {
		instance := g.databases[id]
		if instance.Gone {
			deregistered := instance.AnnouncementNumber == learner.FinalAnnouncementNumber
			input.Gone[id] = fenced.GoneDatabase{Instance: instance, Deregistered: deregistered}
			continue
		}
		input.Instances = append(input.Instances, instance)
		input.LastAnnouncedUs[id] = now - c.databases.AgeUs(now, learner.DatabasePrefix+id)
	}
}

// addMembers adds the group's committed members, if there are any.
func (c *Core) addMembers(name string, input *fenced.Input) {
	committed, ok := c.learner.Committed(learner.MembersPrefix + name)
	if !ok {
		return
	}
	members := &schema.GroupMembers{}
	if proto.Unmarshal(committed.Data, members) == nil {
		input.Members, input.MembersRevision = members.DatabaseIds, committed.Revision
	}
}

// addPoolNode adds one pool node's reports about the group and about databases that it
// cannot use.
func addPoolNode(now int64, p *poller, input *fenced.Input) {
	input.ReportingNodes++
	if now-p.lastPoll <= ownerTimeout.Microseconds() {
		for _, report := range p.healthReports {
			addHealthReport(now, p, report, input)
		}
	}
	status := p.groupStatuses[input.Group]
	input.PrimaryIdle = input.PrimaryIdle && status.GetIdle() && status.GetRevision() >= input.Revision
	input.AllNotified = input.AllNotified && status.GetRevision() >= input.State.FreezeRevision
}

// addHealthReport adds one pool node's report about a database to the totals.
func addHealthReport(now int64, p *poller, report *schema.HealthReport, input *fenced.Input) {
	total := input.HealthReports[report.DatabaseId]
	total.UnreachableFrom++
	if report.Disconnected {
		total.DisconnectedFrom++
	}
	total.LongestFailingUs = max(total.LongestFailingUs, report.FailingUs+now-p.lastPoll)
	input.HealthReports[report.DatabaseId] = total
}
