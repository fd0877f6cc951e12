// Package ports has the plain events and effects at the edge of the cores, in
// the product's own words: callers' sessions, connections to databases, what
// databases announce and what operators change (design 14). The HTTP interface
// and platform/ are two implementations; the cores know neither.
package ports

import (
	"cmp"
	"slices"
)

// StatementKind is what a statement does.
type StatementKind uint8

const (
	BadStatement StatementKind = iota // not understood; Text says why
	Read                              // reads one thing
	Write                             // writes one thing
	Begin                             // opens a transaction that may write
	BeginRead                         // opens a transaction that only reads
	Commit
	Rollback
	SetValue   // Name, Text
	Prepare    // Name, Text is the shape, Writes whether it writes
	Execute    // runs the prepared Name
	Deallocate // forgets the prepared Name
	// Only a node's own:
	Status            // a database's Status
	Reset             // drops values and prepared names
	FreezeReplication // Term: a follower receives nothing until Resume
	ResumeReplication
	StepDown // Term: a primary of a lower term follows
)

// Statement is one message of a caller. Raw is the message as it came, with its
// end; it is passed on byte for byte but for a prepared name.
type Statement struct {
	ID     string
	Kind   StatementKind
	Name   string
	Text   string
	Writes bool
	Raw    []byte
}

// Position is a place in a group's log: the term of its primary and the number
// of the commit. The zero Position is none.
type Position struct {
	Term   uint64 `json:"Term"`
	Number int64  `json:"Number"`
}

// Compare orders positions as the log does.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Term, o.Term), cmp.Compare(p.Number, o.Number))
}

// Before says that p lies before o.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }

// Known says that there is one.
func (p Position) Known() bool { return p != Position{} }

// Op is one statement sent over a database connection. After, where known, has
// the database refuse unless its log holds that position. Name, where set,
// stands in for the statement's own prepared name. Own ops (Own true) carry no
// caller's id: SetValue, Prepare, Drop, Reset, Status, Hold, Resume, StepDown
// and a node's own Rollback.
type Op struct {
	Internal  bool
	Statement Statement
	After     Position
	Name      string
	Term      uint64 // of Hold and StepDown
}

// Code is how a statement ended.
type Code uint8

const (
	Done Code = iota
	Busy
	RolledBack
	Lagging
	ReadOnly
	WrongInstance
	TooManyConnections // connections
	Failed
	UnknownPreparedStatement // no such prepared name
	Timeout
	InDoubt
	Malformed
	DatabaseUnavailable
	TooLarge
	Denied
	UnknownCode // a code this revision does not know
)

// TransactionState is a session's or a connection's after a statement.
type TransactionState uint8

const (
	Idle              TransactionState = iota
	InTransaction                      // inside a transaction
	TransactionFailed                  // the transaction failed; its end rolls back
)

// Response is what a database said to one op. Body is the raw answer without its
// closing state, so that it can be passed to the caller as it came.
type Response struct {
	Code     Code
	Text     string   // of an error
	Rows     []string // of the node's own ops only
	Stamped  bool     // carries the database's stamp
	Body     []byte
	State    TransactionState
	Position Position // zero where the database named none
}

// DatabaseStatus is a database's own word on itself.
type DatabaseStatus struct {
	Primary          bool
	Term             uint64
	Received         Position
	FrozenTerm       uint64 // term it is held at, 0 if it is not
	LagUs            int64
	BusyConnections  int
	OpenTransactions int
}

// Reply ends a caller's statement: Body as a database gave it, or Code and Text
// of the node's own.
type Reply struct {
	Code  Code
	Text  string
	Body  []byte
	State TransactionState
}

// NoEffect says whether a code promises that nothing of the try is kept. One
// table for the whole product; docs/caller-interface.md has it as text.
func (c Code) NoEffect() bool {
	switch c {
	case Busy, RolledBack, Lagging, ReadOnly, WrongInstance, TooManyConnections:
		return true
	}
	return false
}

// NotRun says that the database did not run the statement.
func (c Code) NotRun() bool {
	switch c {
	case Busy, Lagging, ReadOnly, WrongInstance, TooManyConnections, UnknownPreparedStatement:
		return true
	}
	return false
}

// ReadClass is what a route promises its reads.
type ReadClass uint8

const (
	CurrentRead      ReadClass = iota // the newest acknowledged commit
	BoundedStaleness                  // at most MaxStalenessUs old
	ReadYourWrites                    // as Bounded, and the session's own commits
)

// Route is one route in force.
type Route struct {
	Name            string
	Host            string // the database's name, by which callers ask
	Prefix          string
	Class           ReadClass
	Group           string
	TimeoutUs       int64 // bounds a statement
	LatencyTargetUs int64 // for the whole operation
	MaxStalenessUs  int64
	Rank            int // 0 is highest
	MaxAttempts     int
	Source          []byte // the item as the operator sent it
}

// Group is one service of databases.
type Group struct {
	Name                string
	ConnectionLimit     int
	RequiredReplicaAcks int // followers that must have received a commit before it is answered
	Source              []byte
}

// Limits bound sessions.
type Limits struct {
	IdleTimeoutUs            int64 // 0: not bounded
	TransactionIdleTimeoutUs int64 // a transaction that rests so long may be ended
	Source                   []byte
}

// RoutingTable is one revision of what operators want.
type RoutingTable struct {
	Revision uint64
	Routes   []Route
	Groups   []Group
	Limits   Limits
	// Placements are in order of their groups; they change by moves only.
	Placements []Placement
	// RecentOrders are the newest operators' orders that were taken, oldest first.
	RecentOrders []AppliedOrder
	// ForgottenRevision is the newest revision whose order is not among them any more.
	ForgottenRevision uint64
}

// AppliedOrder is an operator's order that was taken.
type AppliedOrder struct {
	Revision uint64
	Digest   string // of its exact content
}

// Placement says at which site a group's primary is to serve.
type Placement struct {
	Group         string
	Site          string // a zone or a region
	TableRevision uint64 // register revision of the table that made it
	PreviousSite  string // the site before
	Reverted      bool   // undoes one that did not come about: nothing moves for it
}

// Placement is where a group is to be served, if the table says so.
func (t RoutingTable) Placement(group string) (Placement, bool) {
	i := slices.IndexFunc(t.Placements, func(p Placement) bool { return p.Group == group })
	if i < 0 {
		return Placement{}, false
	}
	return t.Placements[i], true
}

// MovePhase of a group's move between sites.
type MovePhase uint8

const (
	MoveNone      MovePhase = iota
	MoveStaged              // the table names the site; not all work by it yet, or no database there is level
	MoveAgreed              // all work by the table: the switch is carried out
	MoveSwitched            // the primary serves at the site
	MoveFailed              // it serves where it did
	MoveCancelled           // an operator took it back before it was agreed
)

var movePhases = []string{"none", "staged", "agreed", "switched", "failed", "cancelled"}

func (p MovePhase) String() string { return movePhases[min(int(p), len(movePhases)-1)] }

// InProgress says that a move has not ended.
func (p MovePhase) InProgress() bool { return p == MoveStaged || p == MoveAgreed }

// Instance is one database as it announces itself, one life of it.
type Instance struct {
	ID                 string
	Group              string
	Address            string
	Zone               string
	Capacity           int
	Draining           bool
	Primary            bool // as it sees itself
	WarmupUs           int64
	AnnouncementNumber uint64 // rises with each call of it
	Gone               bool
}

// Phase of a group's leadership.
type Phase uint8

const (
	PhaseServing   Phase = iota // the primary serves
	PhaseDraining               // a planned switch: nothing new for the primary
	PhaseFreezing               // followers are held; nothing for any primary
	PhasePromoting              // the target is agreed
)

// Leadership is what is agreed of a group: who leads it, in which term.
type Leadership struct {
	Revision       uint64
	Term           uint64
	Primary        string // an Instance's ID
	Address        string
	Phase          Phase
	LastFailoverUs int64  // how long a change of primary took lately, 0 if unknown
	TableRevision  uint64 // register revision of the routing table that work for the group needs
}
