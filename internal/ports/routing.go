package ports

import "slices"

// ReadClass is the consistency guarantee for the reads of a route.
type ReadClass uint8

// Read classes.
const (
	CurrentRead      ReadClass = iota // reads see the newest acknowledged commit
	BoundedStaleness                  // reads are at most Route.MaxStalenessUs old
	ReadYourWrites                    // as BoundedStaleness, and reads see the session's own commits
)

// Route directs the statements for one host and path prefix to a group.
type Route struct {
	Name            string
	Host            string // host name that callers request
	Prefix          string
	Class           ReadClass
	Group           string
	TimeoutUs       int64 // timeout of a statement
	LatencyTargetUs int64 // target from an operation's first statement to its end, 0 for none
	MaxStalenessUs  int64 // for BoundedStaleness and ReadYourWrites
	Rank            int   // priority, 0 is the highest
	MaxAttempts     int   // attempts for one statement
	Source          []byte
}

// Group is a primary database and its replicas.
type Group struct {
	Name            string
	ConnectionLimit int // connections to each of its databases from all nodes together
	// RequiredReplicaAcks is the number of replicas that must receive a commit before
	// the primary acknowledges it.
	RequiredReplicaAcks int
	Source              []byte
}

// Limits are the idle timeouts of sessions.
type Limits struct {
	IdleTimeoutUs            int64 // idle time after which a session may be ended, 0 for no limit
	TransactionIdleTimeoutUs int64 // idle time after which a transaction may be ended, 0 for no limit
	Source                   []byte
}

// RoutingTable is one revision of the operators' configuration. The Source of an item
// is the text that an operator sent; it is returned unchanged when the table is read.
type RoutingTable struct {
	Revision uint64 // the operators' revision, not the register's
	Routes   []Route
	Groups   []Group
	Limits   Limits
	// Placements are sorted by group. Only site moves change them.
	Placements []Placement
	// RecentChanges are the newest applied changes, oldest first.
	RecentChanges []AppliedChange
	// ForgottenRevision is the newest revision that is no longer in RecentChanges.
	ForgottenRevision uint64
}

// Placement returns the placement of a group; ok is false if the table has none.
func (t RoutingTable) Placement(group string) (placement Placement, ok bool) {
	i := slices.IndexFunc(t.Placements, func(p Placement) bool { return p.Group == group })
	if i < 0 {
		return Placement{}, false
	}
	return t.Placements[i], true
}

// AppliedChange identifies an operator's change that was applied.
type AppliedChange struct {
	Revision uint64
	Digest   string // hash of its exact content
}

// Placement is the site at which a group's primary should serve.
type Placement struct {
	Group         string
	Site          string // a zone or a region
	TableRevision uint64 // register revision of the table that introduced the placement
	PreviousSite  string
	Reverted      bool // the placement undoes one whose move failed; it causes no move itself
}

// MovePhase is the phase of a group's move to another site.
type MovePhase uint8

// Phases of a site move.
const (
	MoveNone MovePhase = iota
	// MoveStaged means that the table names the new site, but some node does not use
	// that table yet or no replica at the site has caught up.
	MoveStaged
	// MoveAgreed means that every node uses the table and the move is carried out.
	MoveAgreed
	// MoveSwitched means that the primary serves at the new site.
	MoveSwitched
	// MoveFailed means that the primary still serves at the previous site.
	MoveFailed
	// MoveCancelled means that an operator cancelled the move before it was agreed.
	MoveCancelled
)

var movePhases = []string{"none", "staged", "agreed", "switched", "failed", "cancelled"}

// String returns the name of the phase as operators see it.
func (p MovePhase) String() string { return movePhases[min(int(p), len(movePhases)-1)] }

// InProgress reports whether the move has begun and not ended.
func (p MovePhase) InProgress() bool { return p == MoveStaged || p == MoveAgreed }
