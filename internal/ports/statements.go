package ports

// StatementKind is the kind of a statement.
type StatementKind uint8

// Statement kinds. Callers send the kinds up to Deallocate; only nodes and control
// processes send the others.
const (
	BadStatement StatementKind = iota // could not be parsed; Text gives the reason
	Read                              // a single read
	Write                             // a single write
	Begin                             // opens a read-write transaction
	BeginRead                         // opens a read-only transaction
	Commit
	Rollback
	SetValue          // sets the session value Name to Text
	Prepare           // prepares the statement Text under Name; Writes is set if it writes
	Execute           // runs the prepared statement Name
	Deallocate        // drops the prepared statement Name
	Status            // requests a DatabaseStatus
	Reset             // drops session values and prepared statements
	FreezeReplication // a replica receives nothing until ResumeReplication; has a term
	ResumeReplication // ends a freeze
	StepDown          // a primary of a lower term becomes a replica; has a term
)

// Statement is one message from a caller.
type Statement struct {
	ID     string // assigned by the caller
	Kind   StatementKind
	Name   string
	Text   string
	Writes bool
	// Raw is the received message including its terminator. It is forwarded byte for
	// byte, except that the name of a prepared statement may be replaced.
	Raw []byte
}

// Op is one statement sent over a connection to a database.
type Op struct {
	// Internal is set for the sender's own statements, which have no caller ID:
	// SetValue, Prepare, Deallocate, a node's own Rollback, and every kind that callers
	// cannot send.
	Internal  bool
	Statement Statement
	// MinPosition, unless zero, makes the database reject the statement if its log does
	// not contain that position.
	MinPosition Position
	// PreparedName, if set, replaces the prepared statement's name in Statement.
	PreparedName string
	Term         uint64 // for FreezeReplication and StepDown
}

// Code is the result code of a statement.
type Code uint8

// Result codes. NoEffect and NotRun report what each code guarantees.
const (
	Done                     Code = iota
	Busy                          // the database cannot accept the statement now
	RolledBack                    // the transaction was rolled back
	Lagging                       // the log does not contain the required position
	ReadOnly                      // a write was sent to a replica
	WrongInstance                 // the address belongs to another database
	TooManyConnections            // the database accepts no further connection
	Failed                        // the statement failed
	UnknownPreparedStatement      // the connection has no prepared statement of that name
	Timeout                       // the statement did not end in time
	InDoubt                       // it is unknown whether the statement took effect
	Malformed                     // the statement could not be parsed
	DatabaseUnavailable           // no database could accept the statement
	TooLarge                      // the statement or its result is too large
	Denied                        // the statement is not allowed
	UnknownCode                   // a code that this version does not know
)

// NoEffect reports whether the code guarantees that no part of the attempt took effect.
// This is the only definition of it; docs/caller-interface.md describes it in words.
func (c Code) NoEffect() bool {
	switch c {
	case Busy, RolledBack, Lagging, ReadOnly, WrongInstance, TooManyConnections:
		return true
	}
	return false
}

// NotRun reports whether the code guarantees that the database did not run the statement.
func (c Code) NotRun() bool {
	switch c {
	case Busy, Lagging, ReadOnly, WrongInstance, TooManyConnections, UnknownPreparedStatement:
		return true
	}
	return false
}

// TransactionState is the transaction state of a session or a connection after a
// statement.
type TransactionState uint8

// Transaction states.
const (
	Idle              TransactionState = iota // no transaction is open
	InTransaction                             // a transaction is open
	TransactionFailed                         // the open transaction failed; ending it rolls it back
)

// Response is a database's response to one Op.
type Response struct {
	Code    Code
	Text    string   // error text
	Rows    []string // set for an internal Op only
	Stamped bool     // the response carries the database's stamp
	// Body is the received response without its closing state. It can be passed on to
	// the caller unchanged.
	Body     []byte
	State    TransactionState
	Position Position // zero if the response has none
}

// Reply is the reply to a caller's statement. It holds either the Body that a database
// sent, or the node's own Code and Text.
type Reply struct {
	Code  Code
	Text  string
	Body  []byte
	State TransactionState
}
