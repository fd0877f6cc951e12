package fleetsimulation

import (
	"fmt"
	"maps"
	"slices"

	"stoneford/internal/ports"
)

// operation is a unit of work of a caller: a single statement or a transaction. It is
// attempted and retried as a unit.
type operation struct {
	caller      *caller
	startedAtUs int64
	attempts    int
	triedNodes  []*Node
	plan        []plannedStatement
	readOnly    bool
	counted     bool // counts towards the success ratio
	finished    bool
	session     *Session
	wroteTo     *group // group of its newest acknowledged write, nil if there is none
}

// plannedStatement is one step of an operation.
type plannedStatement struct {
	kind       ports.StatementKind
	text       string
	writes     bool // for Prepare, Deallocate and Execute: selects the prepared write
	waitUs     int64
	endSession bool
}

// attempt is one attempt of an operation.
type attempt struct {
	op         *operation
	statements []*Statement
	rejection  string // rejection that guarantees the caller that the attempt had no effect
	sent       bool   // its commit or its single write was sent
}

// wrote reports whether a database ran a write of the given transaction.
func (t *attempt) wrote(tx *transaction) bool {
	return slices.ContainsFunc(t.statements, func(s *Statement) bool { return s.transaction == tx && s.writes && len(s.results) > 0 })
}

// end ends the operation and schedules the caller's next one. It closes the session if the
// caller cannot or does not keep it.
func (o *operation) end(succeeded bool) {
	if o.finished {
		return
	}
	o.finished = true
	c, f := o.caller, o.caller.fleet
	if s := o.session; s != nil && (s.request != nil || s.state != ports.Idle || !s.ready || !c.longLived || !succeeded && f.Chance(0.5)) {
		s.close()
	}
	if o.counted {
		f.countOperation(o, succeeded)
	}
	c.scheduleNext()
}

// sessionOpenTimeoutUs limits a caller's wait for a new session to open.
const sessionOpenTimeoutUs = 2_000_000

// attempt runs the operation from its beginning. It uses the caller's session, or a new
// one at another node if that session is unusable or the operation is retried.
func (o *operation) attempt() {
	if o.finished {
		return
	}
	o.attempts++
	t := &attempt{op: o}
	s := o.usableSession()
	if s == nil {
		o.retryOrEnd(true)
		return
	}
	o.session = s
	o.triedNodes = append(o.triedNodes, s.node)
	if s.ready {
		o.prepareSession(t, s)
		return
	}
	s.request = &pendingRequest{end: func(r ports.Reply, lost bool) {
		if lost || r.Code != ports.Done {
			s.close()
			o.retryOrEnd(true)
			return
		}
		s.ready = true
		o.prepareSession(t, s)
	}}
	f := o.caller.fleet
	f.After(sessionOpenTimeoutUs, func() {
		if !s.ready && s.open && s.request != nil {
			f.oracle.UnopenedSessions++
			s.connectionBroke()
		}
	})
}

// usableSession returns the session for an attempt, or nil if no node is available.
func (o *operation) usableSession() *Session {
	c := o.caller
	s := c.session
	rightNode := s != nil && (c.node == nil || !c.node.ready || s.node == c.node)
	if rightNode && s.open && s.ready && s.state == ports.Idle && s.request == nil && o.attempts == 1 {
		return s
	}
	if s != nil && s.open {
		s.close()
	}
	n := c.node
	if n == nil || !n.ready {
		n = c.fleet.pickNode(c.zone, o.triedNodes)
	}
	if n == nil {
		return nil
	}
	c.session = c.connect(n)
	return c.session
}

// prepareSession sometimes sets values and prepares names in the session, and then runs
// the operation's plan.
func (o *operation) prepareSession(t *attempt, s *Session) {
	f, c := o.caller.fleet, o.caller
	var preparation []plannedStatement
	if c.setsValues && len(s.values) == 0 {
		preparation = append(preparation, plannedStatement{kind: ports.SetValue}, plannedStatement{kind: ports.SetValue})
	} else if c.setsValues && f.Chance(0.1) {
		preparation = append(preparation, plannedStatement{kind: ports.SetValue})
	}
	if c.setsValues {
		for _, writes := range []bool{false, true} {
			_, prepared := s.prepared[preparedName(writes)]
			if prepared && f.Chance(0.05) {
				preparation = append(preparation, plannedStatement{kind: ports.Deallocate, writes: writes})
				prepared = false
			}
			if !prepared || f.Chance(0.05) {
				preparation = append(preparation, plannedStatement{kind: ports.Prepare, writes: writes})
			}
		}
	}
	o.runPlan(t, s, append(preparation, o.plan...), nil)
}

// preparedName returns the name under which callers prepare a read or a write.
func preparedName(writes bool) string {
	if writes {
		return "put"
	}
	return "get"
}

// runPlan sends the planned statements one after another, each after the end of the one
// before it. tx is the open transaction, or nil.
func (o *operation) runPlan(t *attempt, s *Session, plan []plannedStatement, tx *transaction) {
	if o.finished {
		return
	}
	if len(plan) == 0 {
		o.end(true)
		return
	}
	next := plan[0]
	switch {
	case next.waitUs > 0:
		o.wait(t, s, plan, tx)
	case next.endSession:
		s.close()
		o.end(false)
	case !s.open:
		o.retryOrEnd(!t.sent)
	default:
		o.sendPlanned(t, s, plan, tx)
	}
}

// wait runs the plan after the waiting time of its first statement.
func (o *operation) wait(t *attempt, s *Session, plan []plannedStatement, tx *transaction) {
	next := plan[0]
	o.caller.fleet.After(next.waitUs, func() {
		next.waitUs = 0
		if !o.finished {
			o.runPlan(t, s, append([]plannedStatement{next}, plan[1:]...), tx)
		}
	})
}

// sendPlanned sends the next planned statement.
func (o *operation) sendPlanned(t *attempt, s *Session, plan []plannedStatement, tx *transaction) {
	f := o.caller.fleet
	if plan[0].kind == ports.Begin || plan[0].kind == ports.BeginRead {
		tx = &transaction{}
	}
	statement := o.newStatement(t, s, plan[0], tx)
	if statement.kind == ports.Commit || tx == nil && statement.writes {
		t.sent = true
	}
	t.statements = append(t.statements, statement)
	f.oracle.statements[statement.id] = statement
	s.send(statement, func(r ports.Reply, lost bool) {
		if !lost {
			f.oracle.statementEnded(statement, r)
		}
		switch {
		case o.finished:
		case lost || r.Code != ports.Done:
			o.statementFailed(t, statement, r, lost)
		default:
			o.runPlan(t, s, plan[1:], o.statementDone(statement, r))
		}
	})
}

// newStatement creates a statement from a planned one. tx is its transaction, or nil.
func (o *operation) newStatement(t *attempt, s *Session, p plannedStatement, tx *transaction) *Statement {
	f, c := o.caller.fleet, o.caller
	c.nextID++
	statement := &Statement{id: fmt.Sprintf("%s.%d", c.name, c.nextID), kind: p.kind, text: p.text, writes: p.kind == ports.Write, session: s, attempt: t, route: c.route, sentUs: f.Now}
	switch p.kind {
	case ports.SetValue:
		statement.name, statement.text = fmt.Sprintf("v%d", f.Random.IntN(3)), fmt.Sprint(f.Random.IntN(5))
	case ports.Prepare:
		statement.name, statement.text = preparedName(p.writes), fmt.Sprintf("shape-%d", f.Random.IntN(6))
		statement.preparedStatement = preparedStatement{statement.text, p.writes}
	case ports.Deallocate, ports.Execute:
		statement.name = preparedName(p.writes)
		statement.preparedStatement = s.prepared[statement.name]
		statement.writes = p.kind == ports.Execute && p.writes
	case ports.Begin, ports.BeginRead:
		tx.beginning = f.oracle.knownCommits(s)
	}
	statement.raw = fmt.Sprintf("%s %d %s %s", statement.id, statement.kind, statement.name, statement.text)
	statement.transaction, statement.values = tx, s.values
	switch {
	case tx == nil:
		statement.acknowledged = f.oracle.knownCommits(s)
	case tx.first == nil && statement.reachesDatabase():
		tx.first = statement
	}
	statement.workUs = f.Between(1_000, 6_000)
	if c.route.kind == ports.BoundedStaleness {
		statement.workUs = f.Between(5_000, 30_000)
	}
	return statement
}

// statementDone applies the effect of a successful statement to its session. It returns
// the transaction that is open afterwards.
func (o *operation) statementDone(statement *Statement, r ports.Reply) *transaction {
	s := statement.session
	switch statement.kind {
	case ports.SetValue:
		s.values = maps.Clone(s.values)
		s.values[statement.name] = statement.text
	case ports.Prepare:
		s.prepared[statement.name] = statement.preparedStatement
	case ports.Deallocate:
		delete(s.prepared, statement.name)
	}
	open, want := statement.transaction, ports.InTransaction
	if statement.kind == ports.Commit || statement.kind == ports.Rollback || open == nil {
		open, want = nil, ports.Idle
	}
	if r.State != want {
		o.caller.fleet.oracle.violation("%q was answered in transaction state %d, not %d", statement.raw, r.State, want)
	}
	return open
}

// statementFailed ends an attempt after a statement failed. The operation is retried if
// no part of the attempt can have taken effect.
func (o *operation) statementFailed(t *attempt, statement *Statement, r ports.Reply, lost bool) {
	if !lost {
		switch r.Code {
		case ports.Malformed, ports.DatabaseUnavailable, ports.UnknownPreparedStatement, ports.Denied:
			o.caller.fleet.oracle.violation("%q was answered with the unexpected code %d (%s)", statement.raw, r.Code, r.Text)
		}
	}
	if s := statement.session; s.open && (r.State != ports.Idle || lost) {
		s.close()
	}
	retry := !t.sent
	if !lost && r.Code.NoEffect() || !lost && r.Code == ports.Failed && o.readOnly {
		retry = true
	}
	o.retryOrEnd(retry)
}

// maxAttempts bounds the attempts of one operation.
const maxAttempts = 3

// retryOrEnd retries the operation after a backoff if retry is set and attempts are left;
// otherwise the operation fails.
func (o *operation) retryOrEnd(retry bool) {
	f := o.caller.fleet
	if o.finished {
		return
	}
	if !retry || o.attempts >= maxAttempts {
		o.end(false)
		return
	}
	f.After(f.Between(5_000, 30_000)<<o.attempts, o.attempt)
}
