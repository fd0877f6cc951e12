package sessiontable

import "stoneford/internal/ports"

// Event is an input of Table.Step: one of the structs in this file. IDs of sessions and
// connections are never reused during a run of the process.
type Event interface{ isEvent() }

// SessionOpened requests a session for a caller. The table answers with a Reply.
type SessionOpened struct {
	Session uint64 // assigned by the process
	Host    string // name that the caller connected to; selects the route
}

// StatementReceived delivers a session's next statement. The process must not deliver a
// statement before the Reply to the session's previous one.
type StatementReceived struct {
	Session   uint64
	Statement ports.Statement
}

// SessionClosed reports that a caller closed its session or its connection was lost.
type SessionClosed struct{ Session uint64 }

// ConnectFinished is the result of a Connect. The connection is open if Err is empty.
type ConnectFinished struct {
	Conn     uint64
	Position ports.Position // the database's position, if the connection is open
	Code     ports.Code     // the database's code for a rejected connect, with Err set
	Err      string
	// ConnectionRefused is set if nothing listens at the address.
	ConnectionRefused bool
	// Disconnected is set if the other side ended the connect; it is not set for a
	// time-out.
	Disconnected bool
}

// AnswerReceived is the answer to the oldest unanswered operation of a connection.
// Databases answer operations in the order in which they were sent.
type AnswerReceived struct {
	Conn   uint64
	Answer ports.Response
}

// ConnectionLost reports that an open connection ended.
type ConnectionLost struct {
	Conn         uint64
	Err          string
	Disconnected bool // by the other side; not set for a time-out
}

// Update delivers the state committed by the voters, and how long this node may rely on
// it.
type Update struct {
	Table        *ports.RoutingTable   // nil if unchanged
	Groups       map[string]GroupState // all groups by name; nil if unchanged
	Instances    []ports.Instance      // all announced databases; nil if unchanged
	DrainsLateUs int64                 // how long ago the drains may have begun that Instances reports for the first time
	LeaseUntilUs int64                 // until when a majority confirms this state as the newest, on this node's clock
	PoolNodes    int                   // pool nodes that divide the databases' connections among them
}

// Drain starts a graceful shutdown: the node accepts no new sessions, and open
// transactions have GraceUs to end.
type Drain struct{ GraceUs int64 }

// Tick advances the time. The process sends one at Table.Due.
type Tick struct{}

func (SessionOpened) isEvent()     {}
func (StatementReceived) isEvent() {}
func (SessionClosed) isEvent()     {}
func (ConnectFinished) isEvent()   {}
func (AnswerReceived) isEvent()    {}
func (ConnectionLost) isEvent()    {}
func (Update) isEvent()            {}
func (Drain) isEvent()             {}
func (Tick) isEvent()              {}

// GroupState is the leadership of one group as this node knows it.
type GroupState struct {
	ports.Leadership
	// Unconfirmed is set while a voter has accepted a newer leadership that is not known
	// to be committed, so this one may no longer be the newest.
	Unconfirmed bool
	// NeedsNewerTable is set while the leadership requires a newer routing table than
	// this node has. No new request is started for the group then (design 15.4).
	NeedsNewerTable bool
}
