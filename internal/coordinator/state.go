package coordinator

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"stoneford/internal/fleetstate"
	"stoneford/internal/learner"
	"stoneford/internal/ports"
	"stoneford/schema"
)

// State is what this process knows of the fleet; whole brings the routing
// table's items.
func (c *Core) State(now int64, whole bool) fleetstate.ProcessState {
	s := fleetstate.ProcessState{Name: c.config.Name, Kind: fleetstate.KindControl, Zone: c.config.Zone, Node: c.self, Run: c.run, Draining: c.draining,
		Ready: c.isVoting(), Membership: c.learner.Membership().Number, Candidates: c.candidateStates(now), Voters: c.learner.VoterStates(now), LeaseLeftUs: c.learner.LeaseUntil() - now,
		Registers: c.learner.RegisterStates(), Table: fleetstate.DescribeTable(c.routingTable, c.tableRevision, whole), Violations: c.Violations()}
	for i := range s.Registers {
		r := &s.Registers[i]
		if v := c.acceptor.RegisterState(r.Key).GetValue(); v != nil {
			r.Accepted, r.Changes = v.Revision, slices.Clone(v.ChangeIds)
		}
	}
	s.Control = &fleetstate.ControlState{Databases: c.databaseStates(now), Leaders: c.leaderStates(now), Nodes: c.nodeStates(now)}
	return s
}

func (c *Core) candidateStates(now int64) []fleetstate.Candidate {
	var out []fleetstate.Candidate
	for _, o := range c.acceptor.Candidates(now, candidateTimeout) {
		out = append(out, fleetstate.Candidate{Node: o.Address, Zone: o.Zone, Disk: fleetstate.DiskName(o.DiskID), CountsForQuorum: o.Eligible, HeardUs: now - o.RequestedAt})
	}
	return out
}

func (c *Core) databaseStates(now int64) []fleetstate.Database {
	ds := []fleetstate.Database{}
	c.databases.ForEach(learner.DatabasePrefix, func(r *schema.Record) {
		i := learner.DecodeInstance(r)
		ds = append(ds, fleetstate.Database{ID: i.ID, Group: i.Group, Address: i.Address, Zone: i.Zone, Capacity: i.Capacity,
			Primary: i.Primary, Draining: i.Draining, Gone: i.Gone, HeardUs: max(c.databases.AgeUs(now, r.Key), 0)})
	})
	slices.SortFunc(ds, func(a, b fleetstate.Database) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.ID, b.ID))
	})
	return ds
}

func (c *Core) leaderStates(now int64) []fleetstate.Leadership {
	ls := []fleetstate.Leadership{}
	for _, n := range slices.Sorted(maps.Keys(c.groups)) {
		k := learner.LeaderPrefix + n
		s := fleetstate.Leadership{Group: n, Unconfirmed: c.learner.Unconfirmed(k), Phase: "none", CanAct: c.ownsGroup(now, n)}
		if v, ok := c.learner.Committed(k); ok {
			l := learner.DecodeLeadership(v)
			s.Revision, s.Term, s.Primary, s.Address, s.Phase = v.Revision, l.Term, l.Primary, l.Address, fleetstate.PhaseName(ports.Phase(l.Phase))
			s.Cause, s.RoleOwner, s.FencingToken, s.PreviousPrimary, s.LastFailoverUs = l.Cause, l.RoleOwner, l.FencingToken, l.PreviousPrimary, l.LastFailoverUs
		}
		if v, ok := c.learner.Committed(learner.MembersPrefix + n); ok {
			m := &schema.GroupMembers{}
			if proto.Unmarshal(v.Data, m) == nil {
				s.Members = m.DatabaseIds
			}
		}
		ls = append(ls, s)
	}
	return ls
}

func (c *Core) nodeStates(now int64) []fleetstate.Node {
	ns := []fleetstate.Node{}
	for _, a := range slices.Sorted(maps.Keys(c.pollers)) {
		f := c.pollers[a]
		s := fleetstate.Node{Name: f.name, Node: a, Kind: f.kind, Run: f.run, HeardUs: max(now-f.lastPoll, 0), Draining: f.draining}
		for _, g := range f.healthReports {
			s.HealthReports = append(s.HealthReports, fleetstate.HealthReport{DatabaseID: g.DatabaseId, FailingUs: g.FailingUs, Disconnected: g.Disconnected})
		}
		for _, n := range slices.Sorted(maps.Keys(f.groupStatuses)) {
			w := f.groupStatuses[n]
			s.Groups = append(s.Groups, fleetstate.GroupStatus{Group: n, Revision: w.Revision, Acknowledged: ports.Position{Term: w.AckedTerm, Number: w.AckedNumber}, Idle: w.Idle})
		}
		ns = append(ns, s)
	}
	slices.SortStableFunc(ns, func(a, b fleetstate.Node) int {
		return cmp.Or(strings.Compare(a.Kind, b.Kind), strings.Compare(a.Name, b.Name))
	})
	return ns
}

// stateRequest asks the loop for the state.
type stateRequest struct {
	id        uint64
	withItems bool
}

// State is what this process knows, put together now by its loop.
func (p *Process) State(ctx context.Context, whole bool) (fleetstate.ProcessState, bool) {
	s, ok := p.call(ctx, func(id uint64) any { return stateRequest{id, whole} }).(fleetstate.ProcessState)
	return s, ok
}

func (p *Process) stateNow(whole bool) fleetstate.ProcessState {
	now := p.nowUs()
	s := p.core.State(now, whole)
	s.UpUs = now - 1_000_000
	return s
}

// serveState tells operators the state; the process runs without that too.
func (p *Process) serveState(ctx context.Context) {
	at, ok := p.config.StateAddress(p.config.PortFirst)
	if !ok {
		return
	}
	if err := fleetstate.Serve(ctx, at, p.State, p.MountMoves); err != nil {
		log.WithError(err).Error("operators are not told the state")
	}
}
