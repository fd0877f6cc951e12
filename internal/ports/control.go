package ports

import "context"

// Control is the interface of a control process towards databases and operators. It
// is called from many goroutines; each call is bounded by its context.
type Control interface {
	// Announce records a database's announcement. ok reports whether the database may
	// rely on being registered; next, if not empty, is the control address that it
	// should call from now on.
	Announce(ctx context.Context, i Instance) (ok bool, next string)
	// Change applies an operator's change of the routing table.
	Change(ctx context.Context, c TableChange) ChangeResult
	// Fetch returns the newest routing table that the process knows. certain reports
	// whether no newer one can be in force.
	Fetch(ctx context.Context) (table RoutingTable, certain bool)
}

// TableChange is an operator's change of the routing table.
type TableChange struct {
	BaseRevision uint64 // revision that the change is based on
	Revision     uint64 // revision that the change creates
	// Complete is set if Routes and Groups are the complete table, and not set if they
	// are items to add or replace.
	Complete bool
	Digest   string // hash of the content, equal if the same change is sent again
	Routes   []Route
	Groups   []Group
	Limits   *Limits // nil: unchanged

	RemoveRoutes []string
	RemoveGroups []string

	// Problems describes the items that could not be parsed. A change with any problem
	// is invalid.
	Problems []string
}

// Outcome is the outcome of a change.
type Outcome uint8

// Outcomes of a change.
const (
	Unavailable Outcome = iota // nothing can be committed now, or it is unknown whether the change was committed
	Committed
	Stale   // the revision in force is not the change's base
	Invalid // ChangeResult.Problems gives the reasons
)

// ChangeResult is the result of a change.
type ChangeResult struct {
	Outcome  Outcome
	Problems []string
	Revision uint64 // revision in force
}

// ControlProcess is a control process without its adapters.
type ControlProcess interface {
	Control
	// UpdateConfig applies a changed configuration.
	UpdateConfig(ProcessConfig)
	// Run serves until the context ends, then shuts down gracefully.
	Run(ctx context.Context) error
}

// NewControl creates a control process.
type NewControl func(config ProcessConfig, databases DatabaseClient, provider Provider) (ControlProcess, error)
