package simulation

import (
	"slices"
	"strings"

	"stoneford/emulator/databasereplica"
	"stoneford/internal/querytable"
)

// openConnection opens a connection from a node to a database, and passes the result to the
// node's table.
func (f *Fleet) openConnection(n *nodeProcess, group string, e querytable.OpenConnection) {
	generation, run := n.generation, n.run
	f.call(n.boot.Listen, e.Address, connectionTimeoutUs, func(db *Database, reply func(any)) {
		id, ok := db.state.Open(n.boot.Name, run, f.Now)
		if !ok {
			f.Oracle.RefusedConnections++
			reply("limit")
			return
		}
		reply(id)
	}, func(v any, _ bool) {
		o := querytable.ConnectionOpened{ConnectionID: e.ConnectionID, Address: e.Address, Err: "no connection"}
		if id, ok := v.(int64); ok {
			o.RemoteID, o.Err = id, ""
		}
		f.toTable(n, generation, group, o)
	})
}

// run sends a run of a node's table to a database, and passes its end to the table.
func (f *Fleet) run(n *nodeProcess, group string, e querytable.Run) {
	generation, timeoutUs := n.generation, e.DeadlineUs-f.Now
	if f.Plan.Mutation == LostResponseAsNotExecuted {
		timeoutUs = lostResponseUs
	}
	ops := make([]databasereplica.Operation, len(e.Ops))
	for i, o := range e.Ops {
		ops[i] = databasereplica.Operation(o)
	}
	f.call(n.boot.Listen, e.Address, timeoutUs, func(db *Database, reply func(any)) {
		if sinceUs, ok := n.drainingSinceUs[db.address]; ok && f.Now-sinceUs > drainPeriodUs && db.state.Draining {
			f.RecordViolation("%s sent a query to %s %d us after it learned that the database drains, want at most %d us", n.boot.Name, db.name, f.Now-sinceUs, drainPeriodUs)
		}
		f.checkDrained(n, db)
		db.serve(func() { f.executeRun(db, e, ops, reply) })
	}, func(response any, sent bool) {
		f.toTable(n, generation, group, f.runEnded(e, response, sent))
	})
}

// startDraining makes the database report that it drains.
func (d *Database) startDraining() {
	if !d.state.Draining {
		d.state.Draining, d.drainingSinceUs = true, d.fleet.Now
	}
}

// checkDrained checks that no run reaches a database too long after it began to drain,
// whatever the node that sent it knows: the node may have restarted or been partitioned.
func (f *Fleet) checkDrained(n *nodeProcess, db *Database) {
	if drainingUs := f.Now - db.drainingSinceUs; db.state.Draining && drainingUs > drainPeriodUs {
		f.RecordViolation("%s got a query from %s %d us after it began to drain, want at most %d us", db.name, n.boot.Name, drainingUs, drainPeriodUs)
	}
}

// executeRun executes a run's operations on a database and replies, unless a fault loses
// the response.
func (f *Fleet) executeRun(db *Database, e querytable.Run, ops []databasereplica.Operation, reply func(any)) {
	receivedBefore := db.state.Received()
	results, refused := db.state.Run(e.RemoteID, e.Epoch, f.mutateOperations(db, ops), e.ReadOnly, f.Now)
	if f.Plan.Mutation == DuplicateExecution && !e.ReadOnly && f.Chance(0.05) {
		db.state.Run(e.RemoteID, e.Epoch, ops, e.ReadOnly, f.Now)
	}
	if db.state.Received() > receivedBefore {
		db.notifyWaiters()
	}
	if db.lostResponses > 0 {
		db.lostResponses--
		return
	}
	reply(databasereplica.RunResponse{Rejected: refused, Results: results, Epoch: db.state.Epoch, Applied: db.state.Applied(), AtUs: f.Now})
}

// runEnded returns the event that ends a run at its table; response is nil if none arrived.
func (f *Fleet) runEnded(e querytable.Run, response any, sent bool) querytable.RunEnded {
	r := querytable.RunEnded{RunID: e.RunID, MaybeSent: sent && f.Plan.Mutation != LostResponseAsNotExecuted}
	v, ok := response.(databasereplica.RunResponse)
	if !ok {
		r.Err = "no return"
		return r
	}
	r.RejectionReason, r.Epoch, r.Applied = v.Rejected, v.Epoch, v.Applied
	if f.Plan.Mutation == ReceivedAsApplied {
		r.Applied = 1 << 40
	}
	for _, s := range v.Results {
		r.Results = append(r.Results, querytable.Result(s))
	}
	return r
}

// poll requests the status of a database for a node, and passes the response to the node's
// table.
func (f *Fleet) poll(n *nodeProcess, group string, e querytable.Poll) {
	generation := n.generation
	f.call(n.boot.Listen, e.Address, e.WaitUs+pollMarginUs, func(db *Database, reply func(any)) {
		db.waitForPositions(e.MinReceived, e.MinApplied, e.WaitUs, func() { reply(db.state.Status()) })
	}, func(response any, _ bool) {
		p := querytable.PollEnded{PollID: e.PollID}
		if s, ok := response.(databasereplica.Status); ok {
			p.Status = f.polledStatus(n, group, e.Address, s)
			n.recordDraining(e.Address, s.Draining, f.Now)
		} else {
			p.Err = "no return"
		}
		f.toTable(n, generation, group, p)
	})
}

// recordDraining records the time at which the node learned that a database drains, or
// removes it if the database does not drain.
func (n *nodeProcess) recordDraining(address string, draining bool, nowUs int64) {
	if !draining {
		delete(n.drainingSinceUs, address)
	} else if n.drainingSinceUs[address] == 0 {
		n.drainingSinceUs[address] = nowUs
	}
}

// polledStatus converts a database's status to the status that the table receives.
// Mutations change it.
func (f *Fleet) polledStatus(n *nodeProcess, group, address string, s databasereplica.Status) querytable.Status {
	out := querytable.Status{Identity: s.Identity, Role: s.Role, Epoch: s.Epoch, LogEpoch: s.LogEpoch, Received: s.Received, Applied: s.Applied, Draining: s.Draining}
	switch {
	case f.Plan.Mutation == AckBeforeMajority && s.Role == "replica":
		out.Received += 1000
	case f.Plan.Mutation == HiddenCommits && s.Role == "primary":
		out.Received = max(0, s.Received-3)
	case f.Plan.Mutation == ReceivedAsApplied && s.Role == "replica":
		out.Applied = s.Received
	case f.Plan.Mutation == UncheckedIdentity:
		for _, m := range n.desired[group].Members {
			if m.Address == address {
				out.Identity = m.Identity
			}
		}
	case f.Plan.Mutation == HiddenDraining:
		out.Draining = false
	}
	return out
}

// mutateOperations returns the operations that the database executes in place of ops; they
// differ only with a mutation.
func (f *Fleet) mutateOperations(db *Database, ops []databasereplica.Operation) []databasereplica.Operation {
	ops = slices.Clone(ops)
	for i := range ops {
		o := &ops[i]
		switch {
		case f.Plan.Mutation == ChangedStatement && strings.HasPrefix(o.Text, "add ledger") && f.Chance(0.05):
			o.Text = strings.Replace(o.Text, "add ledger ", "add ledger x", 1)
		case f.Plan.Mutation == StalePreparedText && o.Op == "prepare":
			if db.firstPrepared == "" {
				db.firstPrepared = o.Text
			}
			o.Text = db.firstPrepared
		}
	}
	if f.Plan.Mutation == MissingReset {
		ops = slices.DeleteFunc(ops, func(o databasereplica.Operation) bool { return o.Op == "reset" })
	}
	return ops
}
