package fleetsimulation

import (
	"fmt"
	"maps"
	"slices"

	"stoneford/internal/ports"
)

// statement returns the statement with an identifier, or nil if no caller sent it.
func (o *Oracle) statement(id string) *Statement { return o.statements[id] }

// statementArrived checks a caller's statement that arrives at a database.
func (o *Oracle) statementArrived(d *Database, n *Node, op ports.Op) {
	statement := o.statements[op.Statement.ID]
	if statement == nil {
		return // reported when the database runs it
	}
	statement.group = d.group
	if len(o.possibleRoutes(statement, d.group)) == 0 {
		o.violation("ROUTE: %s of group %s received %q of host %s, which no table that may be in force routes there", d.id, d.group.name, statement.raw, statement.route.host)
	}
	drainedUs := o.fleet.Now - d.drainAcknowledgedUs
	if statement.opensDatabaseWork() && d.drainAcknowledgedUs > 0 && drainedUs > drainTimeoutUs && o.inContact(n) && o.controlsAreStable() {
		o.violation("DRAIN: %s sent %q to %s %.2f s after its draining was acknowledged", n.name, statement.raw, d.id, float64(drainedUs)/1e6)
	}
}

// statementRan checks a read, write or commit that a database runs.
func (o *Oracle) statementRan(c *databaseConnection, statement *Statement) {
	if !maps.Equal(c.values, statement.values) {
		o.violation("PINNED: %q ran on %s with the session values %v, want %v", statement.raw, c.database.id, c.values, statement.values)
	}
	o.checkTransaction(c, statement)
	if statement.isRead() {
		o.Reads++
		o.checkFreshness(c.database, statement)
	}
}

// checkTransaction checks that a statement runs within its own transaction, and on the
// connection of that transaction's first statement.
func (o *Oracle) checkTransaction(c *databaseConnection, statement *Statement) {
	database, tx := c.database.id, statement.transaction
	switch {
	case tx == nil && c.transaction != nil:
		o.violation("PINNED: %q, which has no transaction, ran on %s within one", statement.raw, database)
	case tx != nil && c.transaction == nil:
		o.violation("PINNED: %q ran on %s outside its transaction", statement.raw, database)
	case tx != nil && c.transaction.begin.transaction != tx:
		o.violation("PINNED: %q ran on %s within a different transaction", statement.raw, database)
	case tx != nil && tx.connection != nil && tx.connection != c:
		violationDetail := "on a different connection than its transaction's first statement"
		if statement == tx.first {
			violationDetail = "again, on a different connection"
		}
		o.violation("PINNED: %q ran on %s %s", statement.raw, database, violationDetail)
		tx.connection = c // report it once
	}
	if tx != nil && tx.connection == nil {
		tx.connection = c
	}
}

// checkFreshness checks that the database shows every commit that a read requires.
func (o *Oracle) checkFreshness(d *Database, statement *Statement) {
	visible := d.applied
	if d.primary {
		visible = len(d.log)
	}
	for _, e := range o.requiredEntries(statement, d.group) {
		i := int(e.position.Number)
		if i <= visible && d.log[i-1] == e || d.group.reportedLost[e] { // lost commits are reported already
			continue
		}
		o.violation("STALE: %q of route %s ran on %s at position %v, without the commit at position %v that was acknowledged %d ms before the statement was sent", statement.raw, statement.route.name, d.id,
			d.positionAt(visible), e.position, (statement.sentUs-e.acknowledgedUs)/1000)
	}
}

// preparedRan checks which statement a database runs for a prepared name.
func (o *Oracle) preparedRan(d *Database, statement *Statement, ran preparedStatement) {
	if ran != statement.preparedStatement {
		o.violation("PINNED: %q ran the prepared statement %v on %s, its caller prepared %v", statement.raw, ran, d.id, statement.preparedStatement)
	}
}

// makeResult creates the result that a database returns for a statement.
func (o *Oracle) makeResult(statement *Statement, d *Database) []byte {
	b := fmt.Appendf(nil, "row %s %s\ncomplete %s.%d", statement.id, statement.text, d.id, len(statement.results))
	statement.results = append(statement.results, slices.Clone(b))
	return b
}

// statementEnded counts and checks the reply to a statement.
func (o *Oracle) statementEnded(statement *Statement, r ports.Reply) {
	o.Codes[r.Code]++
	if r.Code == ports.InDoubt || r.Code == ports.Timeout {
		o.InDoubt++
	}
	switch {
	case r.Code.NoEffect():
		o.statementRejected(statement, r)
	case r.Code == ports.Done:
		o.statementDone(statement, r)
	}
}

// statementRejected checks that no part of an attempt took effect if its caller receives
// a rejection that guarantees this.
func (o *Oracle) statementRejected(statement *Statement, r ports.Reply) {
	statement.attempt.rejection = fmt.Sprintf("%d %s (%s)", r.Code, r.Text, statement.raw)
	for _, other := range statement.attempt.statements {
		if len(other.commits) > 0 {
			o.violation("REFUSED: %q is committed at position %v; its caller received a rejection with code %d (%s)", other.raw, other.commits[0].position, r.Code, r.Text)
		}
	}
}

// statementDone checks the reply to a statement that succeeded.
func (o *Oracle) statementDone(statement *Statement, r ports.Reply) {
	switch statement.kind {
	case ports.Read, ports.Write, ports.Execute, ports.Commit:
		if !slices.ContainsFunc(statement.results, func(b []byte) bool { return string(b) == string(r.Body) }) {
			o.violation("MIXED: %q was answered with %q, which no database returned for it", statement.raw, r.Body)
		}
	}
	o.fleet.moves.checkForwardedTable(statement)
	if statement.acknowledgesWrites() {
		o.writeAcknowledged(statement)
	}
}
