package fleetsimulation

import "stoneford/internal/ports"

// Statement is a statement as its caller sent it, with its effects.
type Statement struct {
	id                string
	raw               string
	kind              ports.StatementKind
	name              string
	text              string
	writes            bool
	session           *Session
	attempt           *attempt
	transaction       *transaction
	route             *callerRoute
	values            map[string]string // session values when it was sent
	preparedStatement preparedStatement // statement that Prepare prepares or that the name refers to
	workUs            int64             // duration at the database
	sentUs            int64
	acknowledged      knownCommits

	results   [][]byte // results returned by each database that ran it
	commits   []*entry // commits that contain it
	group     *group   // group of the database that it last reached, nil if it reached none
	forwarded bool     // a node has sent it to a database

	forwardedUs    int64  // time at which it was last sent to a database
	forwardedTable uint64 // revision of the routing table under which it was last sent
}

// transaction is a transaction as its caller defines it.
type transaction struct {
	beginning  knownCommits
	first      *Statement          // first statement after the beginning that a database runs
	connection *databaseConnection // connection on which its first statement ran
}

// opensDatabaseWork reports whether a statement is the first of its transaction that
// reaches a database, or has no transaction.
func (s *Statement) opensDatabaseWork() bool {
	if s.kind == ports.Begin || s.kind == ports.BeginRead {
		return true
	}
	return s.transaction == nil || s.transaction.first == nil || s.transaction.first == s
}

// isRead reports whether a statement only reads rows.
func (s *Statement) isRead() bool {
	return s.kind == ports.Read || s.kind == ports.Execute && !s.writes
}

// known returns what had been acknowledged when the statement, or its transaction, began.
func (s *Statement) known() knownCommits {
	if s.transaction != nil {
		return s.transaction.beginning
	}
	return s.acknowledged
}

// boundUs returns the time at which the statement, or its transaction, began. A route that
// changed later may apply to it, but need not.
func (s *Statement) boundUs() int64 { return s.known().sentUs }

// acknowledgesWrites reports whether the success of a statement acknowledges writes: it
// is a single write, or the commit of a transaction that wrote.
func (s *Statement) acknowledgesWrites() bool {
	if s.transaction == nil && s.writes {
		return true
	}
	return s.kind == ports.Commit && s.attempt.wrote(s.transaction)
}

// reachesDatabase reports whether a database runs the statement for its caller. Other
// statements only change the session.
func (s *Statement) reachesDatabase() bool {
	switch s.kind {
	case ports.Read, ports.Write, ports.Execute, ports.Commit:
		return true
	}
	return false
}
