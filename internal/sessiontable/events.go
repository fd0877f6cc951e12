package sessiontable

import (
	"stoneford/internal/ports"
	"stoneford/result"
)

// Events. IDs of sessions and connections are the edge's and are never used
// twice in one run.
type (
	// SessionOpened begins a caller's session on a database's name; From tells where the
	// caller sits.
	SessionOpened struct {
		Session uint64
		Host    string
	}
	// StatementReceived brings a session's next statement. The edge brings one at a time: the
	// next one only after the Reply to the one before.
	StatementReceived struct {
		Session   uint64
		Statement ports.Statement
	}
	// SessionClosed ends a session: the caller closed it or its connection broke.
	SessionClosed struct{ Session uint64 }
	// ConnectEnded ends a Connect; Err tells why there is none, ConnectionRefused that nobody
	// listens there, Cut that somebody did and ended it.
	ConnectEnded struct {
		Conn              uint64
		Position          ports.Position
		Code              ports.Code // of a refused connect, with Err set
		Err               string
		ConnectionRefused bool
		Disconnected      bool
	}
	// AnswerReceived is the answer to the oldest op of a connection that has none.
	AnswerReceived struct {
		Conn   uint64
		Answer ports.Response
	}
	// ConnectionLost tells that a connection broke.
	ConnectionLost struct {
		Conn         uint64
		Err          string
		Disconnected bool // ended by the other side, rather than fallen silent
	}
	// Update is what the voters agreed, and how long this node may rely on it.
	Update struct {
		Table      *ports.RoutingTable   // nil: unchanged
		Groups     map[string]GroupState // whole, nil: unchanged
		Instances  []ports.Instance      // whole, nil: unchanged
		LeaseUntil int64                 // until when Groups is surely the newest, by this node's clock
		Nodes      int                   // pool nodes that share the databases' connections
	}
	// Drain drains the node; open transactions get until GraceUs from now.
	Drain struct{ GraceUs int64 }
	// Tick lets time pass.
	Tick struct{}
)

// GroupState is one group's leadership as this node knows it.
type GroupState struct {
	ports.Leadership
	// Unconfirmed: a voter holds something newer that is not known to be agreed, so
	// nothing may rest on this being the newest.
	Unconfirmed bool
	// Withheld: the leadership needs a newer routing table than this node works
	// by, so nothing is taken on for the group (design 15.4).
	Withheld bool
}

// Effects.
type (
	// Reply ends a session's statement, or the opening of a session (whose Reply
	// has State Idle and no Code if it is open). Close asks the edge to close the
	// session behind it.
	Reply struct {
		Session uint64
		ports.Reply
		Close bool
	}
	// CloseSession closes a session that has asked nothing, without a message.
	CloseSession struct{ Session uint64 }
	// Connect asks for a connection to an instance.
	Connect struct {
		Conn    uint64
		Address string
		Group   string
		ID      string
		WaitUs  int64 // give up after this
	}
	// Send sends ops over a connection, in order and at once.
	Send struct {
		Conn uint64
		Ops  []ports.Op
	}
	// CloseConnection gives a connection up, whatever runs on it.
	CloseConnection struct{ Conn uint64 }
	// RenewLease asks that the lease be renewed now: somebody waits for it.
	RenewLease struct{}
	// LogEntry is for the log.
	LogEntry struct {
		Code result.Code
		Text string
	}
)

// Effect is one of the above.
type Effect any

// HealthReport is an instance that this node cannot use.
type HealthReport struct {
	ID           string
	FailingUs    int64
	Disconnected bool
}

// GroupStatus is what the node tells the voters of one group.
type GroupStatus struct {
	Group        string
	Revision     uint64
	Acknowledged ports.Position // newest commit it acknowledged to a caller
	Quiescent    bool           // nothing is under way at the primary
}

// Report is what Table.Report returns, for the node's next look. Changed says
// that it should be told at once: a sighting is new, a group fell quiet while
// its change of primary waits for that.
type Report struct {
	HealthReports []HealthReport
	GroupStatuses []GroupStatus
	Changed       bool
}
