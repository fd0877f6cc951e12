package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"stoneford/internal/fleetstate"
	"stoneford/internal/learner"
	"stoneford/internal/ports"
	"stoneford/schema"
)

// State returns this process's view of the fleet for operators. It lists the items of
// the routing table if withItems is set.
func (c *Core) State(now int64, withItems bool) fleetstate.ProcessState {
	state := fleetstate.ProcessState{
		Name:        c.config.Name,
		Kind:        fleetstate.KindControl,
		Zone:        c.config.Zone,
		NodeAddress: c.self,
		Run:         c.run,
		Draining:    c.shutdown.draining,
		Ready:       c.isVoting(),
		Membership:  c.learner.Membership().Number,
		Candidates:  c.candidateStates(now),
		Voters:      c.learner.VoterStates(now),
		LeaseLeftUs: c.learner.LeaseUntil() - now,
		Registers:   c.learner.RegisterStates(),
		Table:       fleetstate.DescribeTable(c.table.content, c.table.revision, withItems),
		Violations:  c.Violations(),
	}
	for i := range state.Registers {
		register := &state.Registers[i]
		if value := c.acceptor.RegisterState(register.Key).GetValue(); value != nil {
			register.Accepted, register.Changes = value.Revision, slices.Clone(value.ChangeIds)
		}
	}
	state.Control = &fleetstate.ControlState{Databases: c.databaseStates(now), Leaders: c.leadershipStates(now), Nodes: c.nodeStates(now)}
	return state
}

func (c *Core) candidateStates(now int64) []fleetstate.Candidate {
	var states []fleetstate.Candidate
	for _, candidate := range c.acceptor.Candidates(now, candidateTimeout.Microseconds()) {
		states = append(states, fleetstate.Candidate{
			NodeAddress:     candidate.Address,
			Zone:            candidate.Zone,
			Disk:            fleetstate.FormatDiskID(candidate.DiskID),
			CountsForQuorum: candidate.Eligible,
			HeardUs:         now - candidate.RequestedAt,
		})
	}
	return states
}

func (c *Core) databaseStates(now int64) []fleetstate.Database {
	states := []fleetstate.Database{}
	c.databases.ForEach(learner.DatabasePrefix, func(record *schema.Record) {
		instance := learner.DecodeInstance(record)
		states = append(states, fleetstate.Database{
			ID:       instance.ID,
			Group:    instance.Group,
			Address:  instance.Address,
			Zone:     instance.Zone,
			Capacity: instance.Capacity,
			Primary:  instance.Primary,
			Draining: instance.Draining,
			Gone:     instance.Gone,
			HeardUs:  max(c.databases.AgeUs(now, record.Key), 0),
		})
	})
	slices.SortFunc(states, func(a, b fleetstate.Database) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.ID, b.ID))
	})
	return states
}

func (c *Core) leadershipStates(now int64) []fleetstate.Leadership {
	states := []fleetstate.Leadership{}
	for _, name := range slices.Sorted(maps.Keys(c.groups)) {
		states = append(states, c.leadershipState(now, name))
	}
	return states
}

func (c *Core) leadershipState(now int64, name string) fleetstate.Leadership {
	key := learner.LeaderPrefix + name
	state := fleetstate.Leadership{Group: name, Unconfirmed: c.learner.Unconfirmed(key), Phase: "none", CanAct: c.ownsGroup(now, name)}
	if committed, ok := c.learner.Committed(key); ok {
		leadership := learner.DecodeLeadership(committed)
		state.Revision, state.Term = committed.Revision, leadership.Term
		state.Primary, state.Address = leadership.Primary, leadership.Address
		state.Phase, state.Cause = fleetstate.PhaseName(ports.Phase(leadership.Phase)), leadership.Cause
		state.RoleOwner, state.FencingToken = leadership.RoleOwner, leadership.FencingToken
		state.PreviousPrimary, state.LastFailoverUs = leadership.PreviousPrimary, leadership.LastFailoverUs
	}
	if committed, ok := c.learner.Committed(learner.MembersPrefix + name); ok {
		members := &schema.GroupMembers{}
		if proto.Unmarshal(committed.Data, members) == nil {
			state.Members = members.DatabaseIds
		}
	}
	return state
}

func (c *Core) nodeStates(now int64) []fleetstate.Node {
	states := []fleetstate.Node{}
	for _, address := range slices.Sorted(maps.Keys(c.pollers)) {
		states = append(states, c.pollers[address].state(now, address))
	}
	slices.SortStableFunc(states, func(a, b fleetstate.Node) int {
		return cmp.Or(strings.Compare(a.Kind, b.Kind), strings.Compare(a.Name, b.Name))
	})
	return states
}

func (p *poller) state(now int64, address string) fleetstate.Node {
	state := fleetstate.Node{Name: p.name, NodeAddress: address, Kind: p.kind, Run: p.run, HeardUs: max(now-p.lastPoll, 0), Draining: p.draining}
	for _, report := range p.healthReports {
		state.HealthReports = append(state.HealthReports, fleetstate.HealthReport{DatabaseID: report.DatabaseId, FailingUs: report.FailingUs, Disconnected: report.Disconnected})
	}
	for _, name := range slices.Sorted(maps.Keys(p.groupStatuses)) {
		status := p.groupStatuses[name]
		acknowledged := ports.Position{Term: status.AckedTerm, Number: status.AckedNumber}
		state.Groups = append(state.Groups, fleetstate.GroupStatus{Group: name, Revision: status.Revision, Acknowledged: acknowledged, Idle: status.Idle})
	}
	return state
}
