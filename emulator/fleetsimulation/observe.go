package fleetsimulation

import (
	"stoneford/internal/coordinator"
	"stoneford/internal/ports"
	"stoneford/internal/sessiontable"
)

// observeNode records an effect of a node: a call to a database or a reply to a caller.
func (f *Fleet) observeNode(n *Node, effect sessiontable.Effect) {
	o := f.Plan.Observe
	if o == nil {
		return
	}
	switch d := effect.(type) {
	case sessiontable.Reply:
		o.Answer(f.Now, "reply", n.name).Uint(d.Session).Int(int64(d.Code)).Int(int64(d.State)).Bytes(d.Body).Bool(d.Close)
	case sessiontable.CloseSession:
		o.Answer(f.Now, "shut", n.name).Uint(d.Session)
	case sessiontable.Connect:
		o.Call(f.Now, "connect", n.name).Uint(d.Conn).Text(d.Address).Text(d.Group).Text(d.ID).Int(d.TimeoutUs)
	case sessiontable.Send:
		for _, op := range d.Ops {
			f.observeOp(n, d.Conn, op)
		}
	case sessiontable.CloseConnection:
		o.Call(f.Now, "close", n.name).Uint(d.Conn)
	}
}

// observeOp records an operation that a node sends to a database.
func (f *Fleet) observeOp(n *Node, conn uint64, op ports.Op) {
	o := f.Plan.Observe.Call(f.Now, "op", n.name).Uint(conn)
	o.Bool(op.Internal).Text(op.PreparedName).Uint(op.Term).Uint(op.MinPosition.Term).Int(op.MinPosition.Number)
	statement := op.Statement
	o.Text(statement.ID).Int(int64(statement.Kind)).Text(statement.Name).Text(statement.Text).Bool(statement.Writes).Bytes(statement.Raw)
}

// observeControl records an effect of a control process: a call to a database, a
// promotion requested from the platform, or a response to a database or an operator.
func (f *Fleet) observeControl(c *Control, effect any) {
	o := f.Plan.Observe
	if o == nil {
		return
	}
	switch d := effect.(type) {
	case coordinator.AnnounceDone:
		o.Answer(f.Now, "announced", c.name).Uint(d.ID).Bool(d.OK)
	case coordinator.ChangeTableDone:
		o.Answer(f.Now, "changed", c.name).Uint(d.ID).Int(int64(d.Result.Outcome)).Uint(d.Result.Revision).Int(int64(len(d.Result.Problems)))
	case coordinator.MoveDone:
		o.Answer(f.Now, "moved", c.name).Uint(d.ID).Int(int64(d.Result.Outcome)).Uint(d.Result.TableRevision)
	case coordinator.FetchTableDone:
		o.Answer(f.Now, "fetched", c.name).Uint(d.ID).Bool(d.OK)
		f.observeTable(d.Table)
	case coordinator.DatabaseCall:
		a := d.Call
		o.Call(f.Now, "ask", c.name).Text(d.Group).Uint(a.ID).Text(a.Instance.ID).Text(a.Instance.Address).Text(a.Instance.Group)
		o.Int(int64(a.Kind)).Uint(a.Term).Int(a.TimeoutUs).Int(a.LeaseExpiresAtUs)
	case coordinator.Promote:
		p := d.Promote
		o.Call(f.Now, "promote", c.name).Text(d.Group).Text(p.ID).Text(p.Owner).Uint(p.FencingToken).Int(p.LeaseExpiresAtUs)
	}
}

// observeTable adds a routing table to the current record.
func (f *Fleet) observeTable(t ports.RoutingTable) {
	o := f.Plan.Observe
	o.Uint(t.Revision).Int(t.Limits.IdleTimeoutUs).Int(t.Limits.TransactionIdleTimeoutUs).Uint(t.ForgottenRevision)
	o.Int(int64(len(t.Routes)))
	for _, r := range t.Routes {
		o.Text(r.Name).Text(r.Host).Text(r.Prefix).Int(int64(r.Class)).Text(r.Group)
		o.Int(r.TimeoutUs).Int(r.LatencyTargetUs).Int(r.MaxStalenessUs).Int(int64(r.Rank)).Int(int64(r.MaxAttempts))
	}
	o.Int(int64(len(t.Groups)))
	for _, g := range t.Groups {
		o.Text(g.Name).Int(int64(g.ConnectionLimit)).Int(int64(g.RequiredReplicaAcks))
	}
	o.Int(int64(len(t.Placements)))
	for _, p := range t.Placements {
		o.Text(p.Group).Text(p.Site).Uint(p.TableRevision)
	}
	o.Int(int64(len(t.RecentChanges)))
	for _, r := range t.RecentChanges {
		o.Uint(r.Revision).Text(r.Digest)
	}
}
