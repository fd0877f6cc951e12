package sessiontable

import (
	"stoneford/ports"
	"stoneford/result"
)

// Events. IDs of sessions and connections are the edge's and are never used
// twice in one run.
type (
	// Opened begins a caller's session on a database's name; From tells where the
	// caller sits.
	Opened struct {
		Session uint64
		Host    string
	}
	// Asked brings a session's next statement. The edge brings one at a time: the
	// next one only after the Reply to the one before.
	Asked struct {
		Session uint64
		St      ports.Statement
	}
	// Left ends a session: the caller closed it or its connection broke.
	Left struct{ Session uint64 }
	// Connected ends a Connect; Err tells why there is none, NotThere that nobody
	// listens there, Cut that somebody did and ended it.
	Connected struct {
		Conn     uint64
		Position ports.Position
		Code     ports.Code // of a refused connect, with Err set
		Err      string
		NotThere bool
		Cut      bool
	}
	// Answered is the answer to the oldest op of a connection that has none.
	Answered struct {
		Conn   uint64
		Answer ports.Answer
	}
	// Lost tells that a connection broke.
	Lost struct {
		Conn uint64
		Err  string
		Cut  bool // ended by the other side, rather than fallen silent
	}
	// View is what the voters agreed, and how long this node may rely on it.
	View struct {
		Table      *ports.RoutingTable  // nil: unchanged
		Groups     map[string]GroupView // whole, nil: unchanged
		Instances  []ports.Instance     // whole, nil: unchanged
		LeaseUntil int64                // until when Groups is surely the newest, by this node's clock
		Nodes      int                  // pool nodes that share the databases' connections
	}
	// Stop drains the node; open transactions get until GraceUs from now.
	Stop struct{ GraceUs int64 }
	// Tick lets time pass.
	Tick struct{}
)

// GroupView is one group's leadership as this node knows it.
type GroupView struct {
	ports.Leadership
	// Doubt: a voter holds something newer that is not known to be agreed, so
	// nothing may rest on this being the newest.
	Doubt bool
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
	// Shut closes a session that has asked nothing, without a message.
	Shut struct{ Session uint64 }
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
	// Close gives a connection up, whatever runs on it.
	Close struct{ Conn uint64 }
	// Look asks that the lease be renewed now: somebody waits for it.
	Look struct{}
	// Say is for the log.
	Say struct {
		Code result.Code
		Text string
	}
)

// Effect is one of the above.
type Effect any

// Sighting is an instance that this node cannot use.
type Sighting struct {
	ID        string
	FailingUs int64
	Cut       bool
}

// Word is what the node tells the voters of one group.
type Word struct {
	Group    string
	Revision uint64
	Acked    ports.Position // newest commit it acknowledged to a caller
	Quiet    bool           // nothing is under way at the primary
}

// Report is what Table.Report returns, for the node's next look. Changed says
// that it should be told at once: a sighting is new, a group fell quiet while
// its change of primary waits for that.
type Report struct {
	Sightings []Sighting
	Words     []Word
	Changed   bool
}
