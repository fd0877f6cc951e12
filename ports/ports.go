// Package ports has the plain events and effects at the edge of the cores, in
// the product's own words: callers' sessions, connections to databases, what
// databases announce and what operators change (design 14). The HTTP interface
// and platform/ are two implementations; the cores know neither.
package ports

import (
	"cmp"
	"slices"
)

// Kind is what a statement does.
type Kind uint8

const (
	Bad       Kind = iota // not understood; Text says why
	Read                  // reads one thing
	Write                 // writes one thing
	Begin                 // opens a transaction that may write
	BeginRead             // opens a transaction that only reads
	Commit
	Rollback
	SetValue // Name, Text
	Prepare  // Name, Text is the shape, Writes whether it writes
	Run      // runs the prepared Name
	Drop     // forgets the prepared Name
	// Only a node's own:
	Status // a database's Status
	Reset  // drops values and prepared names
	Hold   // Term: a follower receives nothing until Resume
	Resume
	StepDown // Term: a primary of a lower term follows
)

// Statement is one message of a caller. Raw is the message as it came, with its
// end; it is passed on byte for byte but for a prepared name.
type Statement struct {
	ID     string
	Kind   Kind
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
	Own   bool
	St    Statement
	After Position
	Name  string
	Term  uint64 // of Hold and StepDown
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
	TooMany // connections
	Failed
	NoStatement // no such prepared name
	Timeout
	InDoubt
	Malformed
	NoDatabase
	TooLarge
	Denied
	Unknown // a code this revision does not know
)

// State is a session's or a connection's after a statement.
type State uint8

const (
	Idle   State = iota
	Open         // inside a transaction
	Broken       // the transaction failed; its end rolls back
)

// Answer is what a database said to one op. Body is the raw answer without its
// closing state, so that it can be passed to the caller as it came.
type Answer struct {
	Code     Code
	Text     string   // of an error
	Rows     []string // of the node's own ops only
	Stamped  bool     // carries the database's stamp
	Body     []byte
	State    State
	Position Position // zero where the database named none
}

// DatabaseStatus is a database's own word on itself.
type DatabaseStatus struct {
	Primary  bool
	Term     uint64
	Received Position
	Held     uint64 // term it is held at, 0 if it is not
	LagUs    int64
	Busy     int
	Open     int
}

// Reply ends a caller's statement: Body as a database gave it, or Code and Text
// of the node's own.
type Reply struct {
	Code  Code
	Text  string
	Body  []byte
	State State
}

// Promise says whether a code promises that nothing of the try is kept. One
// table for the whole product; docs/caller-interface.md has it as text.
func (c Code) Promise() bool {
	switch c {
	case Busy, RolledBack, Lagging, ReadOnly, WrongInstance, TooMany:
		return true
	}
	return false
}

// NotRun says that the database did not run the statement.
func (c Code) NotRun() bool {
	switch c {
	case Busy, Lagging, ReadOnly, WrongInstance, TooMany, NoStatement:
		return true
	}
	return false
}

// ClassKind is what a route promises its reads.
type ClassKind uint8

const (
	Current ClassKind = iota // the newest acknowledged commit
	Bounded                  // at most StaleUs old
	Pinned                   // as Bounded, and the session's own commits
)

// Route is one route in force.
type Route struct {
	Name     string
	Host     string // the database's name, by which callers ask
	Prefix   string
	Kind     ClassKind
	Group    string
	ExpiryUs int64 // bounds a statement
	AimUs    int64 // for the whole operation
	StaleUs  int64
	Rank     int // 0 is highest
	Tries    int
	Source   []byte // the item as the operator sent it
}

// Group is one service of databases.
type Group struct {
	Name      string
	ConnLimit int
	Sync      int // followers that must have received a commit before it is answered
	Source    []byte
}

// Limits bound sessions.
type Limits struct {
	IdleUs   int64 // 0: not bounded
	TxIdleUs int64 // a transaction that rests so long may be ended
	Source   []byte
}

// RoutingTable is one revision of what operators want.
type RoutingTable struct {
	Revision uint64
	Routes   []Route
	Groups   []Group
	Limits   Limits
	// Placements are in order of their groups; they change by moves only.
	Placements []Placement
	// Taken are the newest operators' orders that were taken, oldest first.
	Taken []TakenOrder
	// Forgotten is the newest revision whose order is not among them any more.
	Forgotten uint64
}

// TakenOrder is an operator's order that was taken.
type TakenOrder struct {
	Revision uint64
	Digest   string // of its exact content
}

// Placement says at which site a group's primary is to serve.
type Placement struct {
	Group string
	Site  string // a zone or a region
	Table uint64 // register revision of the table that made it
	From  string // the site before
	Back  bool   // undoes one that did not come about: nothing moves for it
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

// UnderWay says that a move has not ended.
func (p MovePhase) UnderWay() bool { return p == MoveStaged || p == MoveAgreed }

// Instance is one database as it announces itself, one life of it.
type Instance struct {
	ID       string
	Group    string
	Address  string
	Zone     string
	Capacity int
	Leaving  bool
	Primary  bool // as it sees itself
	WarmUs   int64
	Call     uint64 // rises with each call of it
	Gone     bool
}

// Phase of a group's leadership.
type Phase uint8

const (
	PhaseOpen      Phase = iota // the primary serves
	PhaseClosing                // a planned switch: nothing new for the primary
	PhaseSealing                // followers are held; nothing for any primary
	PhasePromoting              // the target is agreed
)

// Leadership is what is agreed of a group: who leads it, in which term.
type Leadership struct {
	Revision uint64
	Term     uint64
	Primary  string // an Instance's ID
	Address  string
	Phase    Phase
	ExpectUs int64  // how long a change of primary took lately, 0 if unknown
	Table    uint64 // register revision of the routing table that work for the group needs
}
