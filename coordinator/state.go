package coordinator

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"stoneford/fleetstate"
	"stoneford/ports"
	"stoneford/schema"
	"stoneford/voterview"
)

// State is what this process knows of the fleet; whole brings the routing
// table's items.
func (c *Core) State(now int64, whole bool) fleetstate.State {
	s := fleetstate.State{Name: c.boot.Name, Kind: fleetstate.KindControl, Zone: c.boot.Zone, Node: c.self, Run: c.run, Leaving: c.leaving,
		Ready: c.votes(), Membership: c.view.Membership().Number, Candidates: c.candidateStates(now), Voters: c.view.VoterStates(now), LeaseLeftUs: c.view.LeaseUntil() - now,
		Registers: c.view.RegisterStates(), Table: fleetstate.Routing(c.table, c.tableRev, whole), Violations: c.Violations()}
	for i := range s.Registers {
		r := &s.Registers[i]
		if v := c.voter.Cell(r.Key).GetValue(); v != nil {
			r.Accepted, r.Changes = v.Revision, slices.Clone(v.Changes)
		}
	}
	s.Control = &fleetstate.Control{Databases: c.databaseStates(now), Leaders: c.leaderStates(now), Nodes: c.nodeStates(now)}
	return s
}

func (c *Core) candidateStates(now int64) []fleetstate.Candidate {
	var out []fleetstate.Candidate
	for _, o := range c.voter.Candidates(now, candidateFor) {
		out = append(out, fleetstate.Candidate{Node: o.Address, Zone: o.Zone, Disk: fleetstate.DiskName(o.Life), Counts: o.Counts, HeardUs: now - o.At})
	}
	return out
}

func (c *Core) databaseStates(now int64) []fleetstate.Database {
	ds := []fleetstate.Database{}
	c.insts.Each(voterview.DatabasePrefix, func(r *schema.Record) {
		i := voterview.Instance(r)
		ds = append(ds, fleetstate.Database{ID: i.ID, Group: i.Group, Address: i.Address, Zone: i.Zone, Capacity: i.Capacity,
			Primary: i.Primary, Leaving: i.Leaving, Gone: i.Gone, HeardUs: max(c.insts.AgeUs(now, r.Key), 0)})
	})
	slices.SortFunc(ds, func(a, b fleetstate.Database) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.ID, b.ID))
	})
	return ds
}

func (c *Core) leaderStates(now int64) []fleetstate.Leadership {
	ls := []fleetstate.Leadership{}
	for _, n := range slices.Sorted(maps.Keys(c.groups)) {
		k := voterview.LeaderPrefix + n
		s := fleetstate.Leadership{Group: n, Doubt: c.view.Doubt(k), Phase: "none", Acts: c.acts(now, n)}
		if v, ok := c.view.Agreed(k); ok {
			l := voterview.Leadership(v)
			s.Revision, s.Term, s.Primary, s.Address, s.Phase = v.Revision, l.Term, l.Primary, l.Address, fleetstate.PhaseName(ports.Phase(l.Phase))
			s.Cause, s.Holder, s.Fence, s.Old, s.ExpectUs = l.Cause, l.Holder, l.Fence, l.Old, l.ExpectUs
		}
		if v, ok := c.view.Agreed(voterview.MembersPrefix + n); ok {
			m := &schema.Members{}
			if proto.Unmarshal(v.Data, m) == nil {
				s.Members = m.Ids
			}
		}
		ls = append(ls, s)
	}
	return ls
}

func (c *Core) nodeStates(now int64) []fleetstate.Node {
	ns := []fleetstate.Node{}
	for _, a := range slices.Sorted(maps.Keys(c.follow)) {
		f := c.follow[a]
		s := fleetstate.Node{Name: f.name, Node: a, Kind: f.kind, Run: f.run, HeardUs: max(now-f.at, 0), Leaving: f.leaving}
		for _, g := range f.sights {
			s.Sightings = append(s.Sightings, fleetstate.Sighting{ID: g.Id, FailingUs: g.FailingUs, Cut: g.Cut})
		}
		for _, n := range slices.Sorted(maps.Keys(f.words)) {
			w := f.words[n]
			s.Groups = append(s.Groups, fleetstate.Word{Group: n, Revision: w.Revision, Acked: ports.Position{Term: w.AckedTerm, Number: w.AckedNumber}, Quiet: w.Quiet})
		}
		ns = append(ns, s)
	}
	slices.SortStableFunc(ns, func(a, b fleetstate.Node) int {
		return cmp.Or(strings.Compare(a.Kind, b.Kind), strings.Compare(a.Name, b.Name))
	})
	return ns
}

// stateAsked asks the loop for the state.
type stateAsked struct {
	id    uint64
	whole bool
}

// State is what this process knows, put together now by its loop.
func (p *Process) State(ctx context.Context, whole bool) (fleetstate.State, bool) {
	s, ok := p.call(ctx, func(id uint64) any { return stateAsked{id, whole} }).(fleetstate.State)
	return s, ok
}

func (p *Process) stateNow(whole bool) fleetstate.State {
	now := p.nowUs()
	s := p.core.State(now, whole)
	s.UpUs = now - 1_000_000
	return s
}

// serveState tells operators the state; the process runs without that too.
func (p *Process) serveState(ctx context.Context) {
	at, ok := p.boot.State(p.boot.PortFirst)
	if !ok {
		return
	}
	if err := fleetstate.Serve(ctx, at, p.State, p.MountMoves); err != nil {
		log.WithError(err).Error("operators are not told the state")
	}
}
