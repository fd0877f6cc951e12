package simulation

import (
	"maps"
	"slices"

	"stoneford/internal/control"
	"stoneford/internal/querytable"
)

// observeTable records an effect of a node's table: a call to a database or a reply to a
// caller.
func (f *Fleet) observeTable(n *nodeProcess, group string, effect querytable.Effect) {
	o := f.Plan.Observe
	if o == nil {
		return
	}
	switch e := effect.(type) {
	case querytable.Reply:
		f.observeReply(n, group, e)
	case querytable.OpenConnection:
		o.Call(f.Now, "open connection", n.boot.Name).Text(group).Uint(e.ConnectionID).Text(e.Address)
	case querytable.CloseConnection:
		o.Call(f.Now, "close connection", n.boot.Name).Text(group).Uint(e.ConnectionID).Text(e.Address).Int(e.RemoteID)
	case querytable.Run:
		o.Call(f.Now, "run", n.boot.Name).Text(group).Uint(e.RunID).Uint(e.ConnectionID).Text(e.Address).Int(e.RemoteID).Uint(e.Epoch).Bool(e.ReadOnly).Int(e.DeadlineUs)
		f.observeOps(e.Ops)
	case querytable.Poll:
		o.Call(f.Now, "poll", n.boot.Name).Text(group).Uint(e.PollID).Text(e.Address).Int(e.MinReceived).Int(e.MinApplied).Int(e.WaitUs)
	}
}

// observeReply records a reply to a caller.
func (f *Fleet) observeReply(n *nodeProcess, group string, e querytable.Reply) {
	o := f.Plan.Observe.Answer(f.Now, "return", n.boot.Name).Text(group).Uint(e.ID).Int(int64(e.Code)).Text(string(e.Outcome)).Int(e.RetryAfterUs)
	o.Text(e.Token.Group).Uint(e.Token.Epoch).Int(e.Token.Position).Text(e.Database).Bool(e.FromReplica).Int(e.Position).Bool(e.InTransaction)
	o.Int(int64(len(e.Rows)))
	for _, rows := range e.Rows {
		o.Int(int64(len(rows)))
		for _, row := range rows {
			o.Texts(row)
		}
	}
}

// observeOps adds the operations of a run to the record that was begun last.
func (f *Fleet) observeOps(ops []querytable.Op) {
	o := f.Plan.Observe.Int(int64(len(ops)))
	for _, op := range ops {
		o.Text(op.Op).Text(op.Text).Text(op.Prepared).Texts(op.Params).Int(int64(len(op.Values)))
		for _, name := range slices.Sorted(maps.Keys(op.Values)) {
			o.Text(name).Text(op.Values[name])
		}
	}
}

// observeControl records an effect of a control process: a call to a database, a request to
// the platform, or a reply to an operator.
func (f *Fleet) observeControl(c *controlProcess, effect any) {
	o, name := f.Plan.Observe, c.boot.Name
	if o == nil {
		return
	}
	switch d := effect.(type) {
	case control.ConfigurationResult:
		o.Answer(f.Now, "configuration", name).Uint(d.ID).Int(int64(d.Code)).Uint(d.Revision).Bytes(d.Text).Int(int64(len(d.Problems)))
	case control.CommandResult:
		o.Answer(f.Now, "told", name).Uint(d.ID).Int(int64(d.Code)).Int(int64(len(d.Windows)))
		for _, b := range d.Windows {
			o.Uint(b.Id).Text(b.Kind).Text(b.Target).Text(b.Group).Int(b.AtUs).Text(b.State).Text(b.Identity)
		}
	case control.DatabaseCall:
		o.Call(f.Now, "ask", name).Text(d.Group).Uint(d.ID).Text(d.Address).Uint(d.SealEpoch)
	case control.FailoverRequest:
		o.Call(f.Now, "take over", name).Text(d.Group).Text(d.Target).Text(d.Identity).Uint(d.Epoch).Int(int64(len(d.Members)))
		for _, m := range d.Members {
			o.Text(m.Name).Text(m.Address)
		}
	case control.ReplaceDatabase:
		o.Call(f.Now, "replace", name).Text(d.Database).Text(d.Address).Text(d.Identity)
	case control.StopMachine:
		o.Call(f.Now, "stop machine", name).Text(d.Machine)
	}
}
