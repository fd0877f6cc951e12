package control

import (
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"stoneford/connectionlease"
	"stoneford/failover/sealed"
	"stoneford/internal/membership"
	"stoneford/paxos"
	"stoneford/result"
	"stoneford/schema"
	"stoneford/statemachine"
)

const (
	// roleInterval is the time between two passes over all groups. A pass is too
	// expensive to run for every envelope.
	roleInterval = 10 * time.Millisecond
	// reportMaxAge is the maximum age of a pool node's database report that is used in
	// decisions. Reports arrive about every 500 ms, so two may be lost.
	reportMaxAge = 1500 * time.Millisecond
)

// groupRole holds the state for leading the singleton role of a group. Every process has
// a groupRole for each group and acts on it only while it leads the role.
type groupRole struct {
	setting          *schema.GroupSetting
	databases        []sealed.Endpoint
	connectionLimits map[string]int32 // by database
	failover         *sealed.Group
	lessor           *connectionlease.Lessor // grants the connections; nil until the first request, replaced at the first request of another term
	term             uint64                  // term of the leadership in which lessor was created
}

// configure sets a group's databases from its partner's configuration.
func (g *groupRole) configure(configuration *schema.Configuration, name string) {
	g.setting, g.databases, g.connectionLimits = configuration.Groups[name], nil, map[string]int32{}
	for _, member := range configuration.Groups[name].Members {
		database := configuration.Databases[member]
		g.databases = append(g.databases, sealed.Endpoint{Name: member, Address: database.Address})
		g.connectionLimits[member] = database.Connections
	}
}

// GroupState decodes a group's state from the value of its register. It returns an empty
// state if v is nil or corrupt.
func GroupState(v *schema.Value) *schema.GroupState {
	s := &schema.GroupState{}
	if v != nil && proto.Unmarshal(v.Data, s) != nil {
		return &schema.GroupState{}
	}
	return s
}

// groupState returns the newest known committed state of a group.
func (c *Core) groupState(group string) *schema.GroupState {
	return GroupState(c.relay.Value(GroupKeyPrefix + group))
}

// tickRoles competes for the leadership of the singleton roles and does the work of the
// roles that this process leads.
func (c *Core) tickRoles(now int64) {
	if !c.voting {
		return
	}
	for _, change := range c.roles.Tick(now, c.isAlive).Changes {
		c.propose(now, change, func(now int64, o paxos.Outcome) {
			for _, role := range c.roles.HandleOutcome(now, o).Acquired {
				c.logf(result.RoleOwnerChanged, "%s", role)
			}
		})
	}
	for _, key := range slices.Sorted(maps.Keys(c.groups)) {
		c.tickGroup(now, key, c.groups[key])
	}
	c.tickMaintenance(now)
}

// tickGroup runs a step of a group's failover decision.
func (c *Core) tickGroup(now int64, key string, group *groupRole) {
	leads := c.roles.IsLeader(roleKeyPrefix+key, now)
	value := c.relay.Value(GroupKeyPrefix + key)
	input := sealed.Input{
		Endpoints:      group.databases,
		InitialPrimary: group.setting.Primary,
		State:          GroupState(value),
		Revision:       value.GetRevision(),
		UpToDate:       true,
		HasRole:        leads,
	}
	if leads {
		input.HealthReports = c.databaseReports(now, key)
		input.SwitchAwayFrom, input.MemberToSetAside, input.ReadmitIdentity = c.groupMaintenance(key, input.State)
	}
	for _, effect := range group.failover.Step(now, input) {
		c.applyGroupEffect(now, key, group, effect)
	}
}

func (c *Core) applyGroupEffect(now int64, key string, group *groupRole, effect sealed.Effect) {
	switch e := effect.(type) {
	case sealed.DatabaseCall:
		c.emit(DatabaseCall{Group: key, ID: e.ID, Address: e.Address, SealEpoch: e.SealEpoch})
	case sealed.ProposeState:
		c.proposeValue(now, GroupKeyPrefix+key, e.BaseRevision, e.Data, func(int64, paxos.Outcome) { group.failover.ProposalDone() })
	case sealed.Reparent:
		c.emit(FailoverRequest{Group: key, Target: e.Target, Identity: e.Identity, Epoch: e.Epoch, Members: e.Endpoints})
	case sealed.LogEntry:
		c.logf(e.Code, "%s %s", key, e.Message)
	}
}

func (c *Core) handleDatabaseReply(e DatabaseReply) {
	if group := c.groups[e.Group]; group != nil {
		group.failover.HandleReply(e.ID, e.Failed, e.Status)
	}
}

// databaseReports aggregates the pool nodes' recent reports of a group's databases, by
// database.
func (c *Core) databaseReports(now int64, group string) map[string]sealed.HealthReport {
	sums := map[string]sealed.HealthReport{}
	prefix := membership.ReportPrefix + group + "/"
	c.records.ForEach(prefix, func(r *schema.Record) {
		report := &schema.DatabaseReport{}
		if c.records.AgeUs(now, r.Key) > reportMaxAge.Microseconds() || proto.Unmarshal(r.Data, report) != nil {
			return
		}
		database, _, _ := strings.Cut(strings.TrimPrefix(r.Key, prefix), "/")
		sum := sums[database]
		if report.Reachable {
			sum.ReachableFrom++
		} else {
			sum.UnreachableFrom++
		}
		sum.BusyConnections += int(report.BusyConnections)
		sum.OpenTransactions += int(report.OpenTransactions)
		sums[database] = sum
	})
	return sums
}

// handleLeaseRequest grants a pool node leases of connections to a group's databases, if
// this process has the exclusive right to do so now.
func (c *Core) handleLeaseRequest(now int64, from string, request *schema.ConnectionLeaseRequest) {
	group, role := c.groups[request.Group], roleKeyPrefix+request.Group
	if group == nil || !c.roles.IsExclusive(role, now) {
		return
	}
	_, term := c.roles.LeadingUs(role, now)
	if group.lessor == nil || group.term != term {
		group.lessor, group.term = connectionlease.NewLessor(now, term == 1), term
		if leases := c.roles.InheritedLeases(role); leases != nil {
			group.lessor = connectionlease.NewLessorFromLeases(now, leases)
		}
	}
	mayReceive := true
	for _, n := range c.nodes {
		if n.Address == from {
			mayReceive = !n.Draining
		}
	}
	grant := group.lessor.HandleRequest(now, from, request, group.connectionLimits, mayReceive)
	c.send(statemachine.Send{To: from, Envelope: &schema.Envelope{From: c.self, Body: &schema.Envelope_ConnectionLeaseResponse{ConnectionLeaseResponse: grant}}})
}

// leaseGrants returns the connection leases that the leader of a group's role hands over
// to its successor. It returns nil while leases may exist that this leader does not know.
func (c *Core) leaseGrants(role string, now int64) *schema.ConnectionLeases {
	group := c.groups[strings.TrimPrefix(role, roleKeyPrefix)]
	_, term := c.roles.LeadingUs(role, now)
	if group == nil || group.lessor == nil || group.term != term || !group.lessor.KnowsAllLeases(now) {
		return nil
	}
	return group.lessor.Leases(now)
}

// GroupLeaders returns the leader of the role of each configured group, "" if none is
// known.
func (c *Core) GroupLeaders() map[string]string {
	leaders := map[string]string{}
	for key := range c.groups {
		leaders[key] = c.roles.Leader(roleKeyPrefix + key)
	}
	return leaders
}
