package querytable

// Event is an input of Table.Step.
type Event interface{ isEvent() }

type (
	// OpenSession opens a session. It has no effect if the session is already open.
	OpenSession struct {
		Session  string
		Values   map[string]string
		Prepared map[string]string // text of prepared statements, by name
		Token    Token             // of the session at another node, to continue it here
	}
	// CloseSession closes a session and rolls back its open transaction.
	CloseSession struct{ Session string }
	// ChangeSession sets values and prepared statements of a session. An empty string
	// removes a name. It ends in a Reply.
	ChangeSession struct {
		ID       uint64
		Session  string
		Values   map[string]string
		Prepared map[string]string
	}
	// Query runs statements. It ends in a Reply.
	Query struct {
		ID         uint64 // unique within the table
		Session    string
		Name       string // idempotency key: a query repeated under the same name gets the earlier reply; may be ""
		Class      string
		ReadOnly   bool
		Begin      bool
		Commit     bool
		Rollback   bool
		Statements []Statement
		TimeoutUs  int64 // time from arrival to deadline, 0 for the default of the class
	}
	// ConnectionOpened ends an OpenConnection.
	ConnectionOpened struct {
		ConnectionID uint64
		Address      string
		RemoteID     int64  // connection ID assigned by the database
		Err          string // "" on success
	}
	// RunEnded ends a Run.
	RunEnded struct {
		RunID           uint64
		MaybeSent       bool     // with an Err: the database may have received the run
		Err             string   // "" if the database replied
		RejectionReason string   // why the database executed nothing of the run, "" if it did
		Results         []Result // of the ops up to and including the first that failed
		Epoch           uint64   // of the database
		Applied         int64    // position that the database had applied after the run
	}
	// PollEnded ends a Poll.
	PollEnded struct {
		PollID uint64
		Err    string // "" if the database replied
		Status Status
	}
	// SetDesired replaces the desired state.
	SetDesired struct{ Desired DesiredState }
	// Stop begins the shutdown. No new transactions are accepted, and transactions that
	// are still open after GraceUs are aborted.
	Stop struct{ GraceUs int64 }
	// DecisionsRequest requests the recent decisions for the query with the given name
	// or, without a name, the newest decision of each class. It ends in Decisions.
	DecisionsRequest struct {
		ID        uint64
		QueryName string
	}
	// Tick runs the passes without another event.
	Tick struct{}
)

func (OpenSession) isEvent()      {}
func (CloseSession) isEvent()     {}
func (ChangeSession) isEvent()    {}
func (Query) isEvent()            {}
func (ConnectionOpened) isEvent() {}
func (RunEnded) isEvent()         {}
func (PollEnded) isEvent()        {}
func (SetDesired) isEvent()       {}
func (Stop) isEvent()             {}
func (DecisionsRequest) isEvent() {}
func (Tick) isEvent()             {}

// Statement is a statement as the caller sent it. It is passed on unchanged, byte for
// byte.
type Statement struct {
	Text     string   `json:"text,omitempty"`
	Prepared string   `json:"prepared,omitempty"` // name of a prepared statement to run instead of Text
	Params   []string `json:"params,omitempty"`
}

// Token lets another node continue a session. It holds the position of the session's
// newest write, which reads of a class of readYourWritesKind must show.
type Token struct {
	Group    string `json:"group"`
	Epoch    uint64 `json:"epoch"`
	Position int64  `json:"position"`
}

// Status is a database's report of its own state.
type Status struct {
	Identity string `json:"Identity"` // of the database's data
	Role     string `json:"Role"`
	Epoch    uint64 `json:"Epoch"`    // in which the database works
	LogEpoch uint64 `json:"LogEpoch"` // of the newest commit in the database's log
	Received int64  `json:"Received"` // newest position in the database's log
	Applied  int64  `json:"Applied"`  // newest position visible to reads
	Draining bool   `json:"Leaving"`
}

// Result is a database's result of an op.
type Result struct {
	Rows      [][]string
	Position  int64    // of the commit, 0 if the op committed nothing
	Tuples    int64    // number of tuples that the commit changed
	Relations []string // relations that the commit changed
	Error     string   // "" if the op succeeded
}
