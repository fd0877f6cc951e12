package querytable

import (
	"stoneford/freshness"
	"stoneford/result"
)

// Effect is an output of Table.Step.
type Effect interface{ isEffect() }

type (
	// OpenConnection opens a connection to a database. It ends in ConnectionOpened.
	OpenConnection struct {
		ConnectionID uint64
		Address      string
	}
	// CloseConnection closes a connection. Whatever still runs on it is aborted.
	CloseConnection struct {
		ConnectionID uint64
		Address      string
		RemoteID     int64 // connection ID assigned by the database
	}
	// Run executes ops on a connection. It ends in RunEnded, at the latest at DeadlineUs.
	Run struct {
		RunID        uint64
		ConnectionID uint64
		Address      string
		RemoteID     int64  // connection ID assigned by the database
		Epoch        uint64 // a database in another epoch rejects the run
		Ops          []Op
		ReadOnly     bool // the database rejects writes
		DeadlineUs   int64
	}
	// Poll requests a database's status. With WaitUs, the database replies once it has
	// reached MinReceived and MinApplied, or after WaitUs. It ends in PollEnded.
	Poll struct {
		PollID      uint64
		Address     string
		MinReceived int64
		MinApplied  int64
		WaitUs      int64
	}
	// Reply ends a Query or ChangeSession.
	Reply struct {
		ID            uint64
		Code          result.Code
		Outcome       result.Outcome
		Text          string
		Rows          [][][]string // one table for each statement that returned rows
		RetryAfterUs  int64        // delay after which a rejected query should be retried
		Token         Token
		Database      string // database that ran the query
		FromReplica   bool   // Database is a replica
		Position      int64  // position of the data that a read returned
		InTransaction bool   // the session has an open transaction
	}
	// Decisions ends a DecisionsRequest.
	Decisions struct {
		ID        uint64
		Decisions []Decision // oldest first
	}
	// LogEntry is a line for the node's log.
	LogEntry struct {
		Code result.Code
		Text string
	}
)

func (OpenConnection) isEffect()  {}
func (CloseConnection) isEffect() {}
func (Run) isEffect()             {}
func (Poll) isEffect()            {}
func (Reply) isEffect()           {}
func (Decisions) isEffect()       {}
func (LogEntry) isEffect()        {}

// Op is one operation of a run.
type Op struct {
	Op       string // one of opReset to opRollback
	Text     string
	Prepared string
	Params   []string
	Values   map[string]string
}

// Values of Op.Op. They are part of the protocol between node and database.
const (
	opReset     = "reset"     // discard all values and prepared statements
	opSet       = "set"       // set Values
	opPrepare   = "prepare"   // prepare Text under the name Prepared
	opBegin     = "begin"     // begin a transaction
	opStatement = "statement" // run Text, or the prepared statement Prepared with Params
	opCommit    = "commit"
	opRollback  = "rollback"
)

// Decision records which database was selected for a read, and why.
type Decision struct {
	QueryName   string // Query.Name, "" if the caller gave none
	Class       string
	AtUs        int64
	Database    string
	Reason      string
	MinPosition int64 // position that the read must show, for a class of readYourWritesKind
	Candidates  []freshness.Replica
}
