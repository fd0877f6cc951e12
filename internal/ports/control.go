package ports

import "context"

// Control is what databases and operators ask of a control process. Calls come
// from many goroutines and are bounded by their context.
type Control interface {
	// Announce takes a database's word on itself. ok says that it may rely on it
	// being known; next, where not empty, is the control address it is to call
	// from now on.
	Announce(ctx context.Context, i Instance) (ok bool, next string)
	Change(ctx context.Context, c TableChange) ChangeResult
	// Fetch gives the newest table, and whether it surely is.
	Fetch(ctx context.Context) (RoutingTable, bool)
}

// TableChange is an operator's change of the routing table.
type TableChange struct {
	BaseRevision uint64 // the revision it builds on
	Revision     uint64 // the revision it makes
	Complete     bool   // the lists are the whole table, rather than items to put and remove
	Digest       string // the same for the same change sent again
	Routes       []Route
	Groups       []Group
	Limits       *Limits // nil: none named

	RemoveRoutes []string
	RemoveGroups []string

	// Problems name what could not be read; a change that has any is invalid.
	Problems []string
}

// Outcome is what became of a change.
type Outcome uint8

const (
	Unavailable Outcome = iota // unclear, or nobody can agree to it now
	Committed
	Stale   // another revision than its base is in force
	Invalid // Problems say why
)

// ChangeResult ends a change.
type ChangeResult struct {
	Outcome  Outcome
	Problems []string
	Revision uint64 // the one in force
}

// Databases is how a control process speaks with single databases: Status,
// Hold, Resume and StepDown. The code is the database's own word; err is set
// where it said nothing that can be used, and is a time-out where it was silent.
type Databases interface {
	Do(ctx context.Context, address, group, id string, op Op) (DatabaseStatus, Code, error)
}

// Provider carries out what only the platform can. Promote asks it to make a
// database its group's primary; status is an HTTP status.
type Provider interface {
	Promote(ctx context.Context, group, id, owner string, fence uint64) (status int, err error)
}

// ControlProcess is one control process, behind its edges.
type ControlProcess interface {
	Control
	UpdateConfig(ProcessConfig)
	// Run serves until the context ends, then leaves in order.
	Run(ctx context.Context) error
}

// NewControl makes a control process.
type NewControl func(b ProcessConfig, dbs Databases, p Provider) (ControlProcess, error)
