package sessiontable

import "stoneford/fleetstate"

// State is what operators are told of the table.
func (t *Table) State(now int64) fleetstate.Pool {
	g, n := t.Gauges(), t.Counts()
	s := fleetstate.Pool{Nodes: t.nodes, Sessions: g.Sessions, Connections: g.Connections, Running: g.Running, Waiting: g.Waiting, Open: g.Open,
		Ended: fleetstate.Results(n.Ended), Local: n.Local, Held: n.Held, Again: n.Again, Connects: n.Connects, Resets: n.Resets,
		Follower: n.Follower, Primary: n.Primary, Groups: []fleetstate.PoolGroup{}}
	for _, g := range t.gs {
		s.Groups = append(s.Groups, t.groupState(now, g))
	}
	return s
}

func (t *Table) groupState(now int64, g *group) fleetstate.PoolGroup {
	s := fleetstate.PoolGroup{Group: g.name, Phase: "none", Waiting: g.wait.len(), Acked: g.acked, Master: fleetstate.Never,
		Pending: g.q.Len(), Databases: []fleetstate.PoolDatabase{}}
	if g.has {
		v := g.view
		s.Revision, s.Doubt, s.Term, s.Primary, s.Phase, s.SureUs = v.Revision, v.Doubt, v.Term, v.Primary, fleetstate.PhaseName(v.Phase), g.sure-now
	}
	if g.q.Known() {
		s.Master = g.q.Master()
	}
	for _, in := range g.ins {
		d := fleetstate.PoolDatabase{ID: in.ID, Address: in.Address, Zone: in.Zone, Leaving: in.Leaving, Conns: len(in.conns), Most: t.most(in),
			Opening: in.opening, Idle: len(in.idle), Running: in.running, Slots: in.slots, Waiting: in.line.len(), Open: in.txs,
			FailingUs: fleetstate.Never, Level: fleetstate.Never, Named: in.pos}
		if in.failing > 0 {
			d.FailingUs = max(now-in.failing, 0)
		}
		if l, ok := g.q.Level(in.ID); ok {
			d.Level = l
		}
		s.Databases = append(s.Databases, d)
	}
	return s
}
