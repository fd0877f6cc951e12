package fleetsimulation

import (
	"maps"

	"stoneford/internal/ports"
)

// lostPrimaryRole reports whether a transaction that may write is open, but its database
// is no longer the primary of the term in which it began.
func (c *databaseConnection) lostPrimaryRole() bool {
	return c.transaction != nil && c.transaction.mayWrite && (!c.database.primary || c.database.term != c.transaction.term)
}

// lacksPosition reports whether a statement requires a position that the database does
// not show yet.
func (c *databaseConnection) lacksPosition(p ports.Position) bool {
	return p.Known() && c.database.fleet.Plan.Mutation != AfterIgnored && c.database.position().Before(p)
}

// failStatement returns the response to a failed statement, and fails its transaction.
func (c *databaseConnection) failStatement(code ports.Code, text string) ports.Response {
	if c.transaction != nil {
		c.state = ports.TransactionFailed
	}
	return errorResponse(code, text)
}

// beginTimeUs is the time that a database takes to begin a transaction.
const beginTimeUs = 50

// exec runs one operation. It passes the response to done, unless the connection is
// dropped before.
func (c *databaseConnection) exec(op ports.Op, done func(ports.Response)) {
	d, f := c.database, c.database.fleet
	if op.Internal {
		c.execInternal(op, done)
		return
	}
	sent := f.oracle.statement(op.Statement.ID)
	if sent == nil {
		f.oracle.violation("UNASKED: %s received the statement %q, which no caller sent", d.id, op.Statement.ID)
		done(errorResponse(ports.Malformed, "unknown"))
		return
	}
	if string(op.Statement.Raw) != sent.raw {
		f.oracle.violation("UNASKED: %s received %q with the changed text %q", d.id, sent.raw, op.Statement.Raw)
	}
	if c.state == ports.TransactionFailed {
		done(c.endFailedTransaction(op.Statement.Kind))
		return
	}
	switch op.Statement.Kind {
	case ports.Begin, ports.BeginRead:
		f.After(beginTimeUs, func() { done(c.begin(op, sent)) })
	case ports.Read, ports.Write, ports.Execute:
		c.startStatement(op, sent, done)
	case ports.Commit:
		c.startCommit(sent, done)
	default:
		f.oracle.violation("%s received %q, which is not a database statement", d.id, sent.raw)
		done(errorResponse(ports.Malformed, "not a statement"))
	}
}

// endFailedTransaction handles a statement in a failed transaction, which accepts only
// its end.
func (c *databaseConnection) endFailedTransaction(kind ports.StatementKind) ports.Response {
	if kind != ports.Commit {
		return errorResponse(ports.Malformed, "only its end is taken")
	}
	c.transaction, c.state = nil, ports.Idle
	return errorResponse(ports.RolledBack, "failed before")
}

// begin begins a transaction.
func (c *databaseConnection) begin(op ports.Op, sent *Statement) ports.Response {
	d := c.database
	mayWrite := op.Statement.Kind == ports.Begin
	switch {
	case c.state != ports.Idle:
		return errorResponse(ports.Malformed, "inside a transaction")
	case c.lacksPosition(op.MinPosition):
		return c.failBegin(ports.Lagging)
	case mayWrite && !d.primary:
		return c.failBegin(ports.ReadOnly)
	}
	c.transaction = &databaseTransaction{begin: sent, mayWrite: mayWrite, term: d.term}
	c.state = ports.InTransaction
	return ports.Response{Body: []byte("complete -")}
}

// failBegin rejects a Begin. Some databases then run the statements pipelined after it
// outside a transaction, others reject them until the transaction ends.
func (c *databaseConnection) failBegin(code ports.Code) ports.Response {
	if c.database.fleet.failedBeginBreaksConnection {
		c.state = ports.TransactionFailed
	}
	return errorResponse(code, c.database.id)
}

// startStatement runs a read, a write or a prepared statement once the database has a
// free slot.
func (c *databaseConnection) startStatement(op ports.Op, sent *Statement, done func(ports.Response)) {
	writes := op.Statement.Kind == ports.Write
	if op.Statement.Kind == ports.Execute {
		prepared, ok := c.prepared[op.PreparedName]
		if !ok {
			done(c.failStatement(ports.UnknownPreparedStatement, "no such name"))
			return
		}
		writes = prepared.writes
		c.database.fleet.oracle.preparedRan(c.database, sent, prepared)
	}
	transaction := c.transaction
	accepted := c.database.runInSlot(sent.workUs, false, func() {
		if c.transaction == transaction { // otherwise it was rolled back meanwhile
			c.execStatement(op, sent, writes, done)
		}
	})
	if !accepted {
		done(errorResponse(ports.Busy, "the line is full"))
	}
}

// startCommit runs a commit once the database has a free slot.
func (c *databaseConnection) startCommit(sent *Statement, done func(ports.Response)) {
	if c.transaction == nil {
		done(errorResponse(ports.Malformed, "no transaction"))
		return
	}
	if !c.database.runInSlot(c.database.fleet.Between(500, 2_000), false, func() { c.execCommit(sent, done) }) {
		done(errorResponse(ports.Busy, "the line is full"))
	}
}

// execStatement runs a read, a write or a prepared statement in its slot.
func (c *databaseConnection) execStatement(op ports.Op, statement *Statement, writes bool, done func(ports.Response)) {
	d, f := c.database, c.database.fleet
	switch {
	case c.lostPrimaryRole():
		done(c.failStatement(ports.ReadOnly, d.id))
		return
	case c.lacksPosition(op.MinPosition):
		done(c.failStatement(ports.Lagging, d.id))
		return
	case writes && (!d.primary || c.transaction != nil && !c.transaction.mayWrite):
		done(c.failStatement(ports.ReadOnly, d.id))
		return
	}
	f.oracle.statementRan(c, statement)
	if f.Chance(d.failureProbability) {
		if writes && c.transaction == nil && f.Chance(0.5) {
			d.append(statement, []*Statement{statement})
		}
		done(c.failStatement(ports.Failed, "it failed"))
		return
	}
	if f.Chance(f.Plan.ConflictProbability) {
		c.state = ports.Idle
		if c.transaction != nil {
			c.state = ports.TransactionFailed
		}
		done(errorResponse(ports.RolledBack, "a conflict"))
		return
	}
	body := f.oracle.makeResult(statement, d)
	switch {
	case writes && c.transaction != nil:
		c.transaction.writes = append(c.transaction.writes, statement)
		done(ports.Response{Stamped: true, Body: body})
	case writes:
		e := d.append(statement, []*Statement{statement})
		if f.Plan.Mutation == BusyThatRan && f.Chance(0.05) {
			done(errorResponse(ports.Busy, "mutation"))
			return
		}
		if f.Plan.Mutation == RunsTwice && f.Chance(0.01) {
			d.append(statement, []*Statement{statement})
		}
		c.respondWhenConfirmed(e, body, done)
	default:
		done(ports.Response{Stamped: true, Body: body})
	}
}

// execCommit commits the open transaction.
func (c *databaseConnection) execCommit(statement *Statement, done func(ports.Response)) {
	d, f := c.database, c.database.fleet
	tx := c.transaction
	if tx == nil { // the transaction was dropped meanwhile
		done(errorResponse(ports.RolledBack, "gone"))
		return
	}
	if len(tx.writes) > 0 && c.lostPrimaryRole() {
		done(c.failStatement(ports.ReadOnly, d.id))
		return
	}
	f.oracle.statementRan(c, statement)
	c.transaction, c.state = nil, ports.Idle
	if f.Chance(f.Plan.ConflictProbability) {
		done(errorResponse(ports.RolledBack, "a conflict"))
		return
	}
	body := f.oracle.makeResult(statement, d)
	if len(tx.writes) == 0 {
		done(ports.Response{Stamped: true, Body: body})
		return
	}
	c.respondWhenConfirmed(d.append(statement, tx.writes), body, done)
}

// internalTimeUs is the time that a database takes for an internal operation.
const internalTimeUs = 30

// execInternal runs an operation that the node issues itself. It changes only the
// connection's state.
func (c *databaseConnection) execInternal(op ports.Op, done func(ports.Response)) {
	d, f := c.database, c.database.fleet
	statement := op.Statement
	name := statement.Name
	if op.PreparedName != "" {
		name = op.PreparedName
	}
	f.After(internalTimeUs, func() {
		ok := ports.Response{Body: []byte("complete -")}
		if c.state == ports.TransactionFailed && statement.Kind != ports.Rollback {
			done(errorResponse(ports.Malformed, "only its end is taken"))
			return
		}
		switch statement.Kind {
		case ports.SetValue:
			c.values = maps.Clone(c.values)
			c.values[name] = statement.Text
		case ports.Prepare:
			c.prepared[name] = preparedStatement{statement.Text, statement.Writes}
		case ports.Deallocate:
			delete(c.prepared, name)
		case ports.Reset:
			if f.Plan.Mutation != ResetIgnored {
				c.values, c.prepared = map[string]string{}, map[string]preparedStatement{}
			}
		case ports.Rollback:
			c.transaction, c.state = nil, ports.Idle
		default:
			f.oracle.violation("%s received an internal statement of unknown kind %d", d.id, statement.Kind)
		}
		done(ok)
	})
}
