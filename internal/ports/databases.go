package ports

import "context"

// Instance is a database as it announces itself. A database that restarts under
// another ID is another instance.
type Instance struct {
	ID       string
	Group    string
	Address  string
	Zone     string
	Capacity int  // number of statements that it runs concurrently
	Draining bool // it is about to stop
	Primary  bool // it claims to be the primary
	WarmupUs int64
	// AnnouncementNumber increases with each announcement of the instance.
	AnnouncementNumber uint64
	Gone               bool // it announced that it stopped
	// Unannounced is set for a primary that is known from its group's register only:
	// whether it drains is not known.
	Unannounced bool
}

// DatabaseStatus is the status that a database reports.
type DatabaseStatus struct {
	Primary          bool
	Term             uint64
	Received         Position // newest position in its log
	FrozenTerm       uint64   // term for which replication is frozen, 0 if it is not frozen
	LagUs            int64    // replication lag of the applied data
	BusyConnections  int
	OpenTransactions int
}

// Phase is the phase of a change of primary.
type Phase uint8

// Phases of a change of primary. A planned change goes through all of them; an
// unplanned one starts at PhaseFreezing.
const (
	PhaseServing   Phase = iota // the primary serves
	PhaseDraining               // the primary gets no new statements
	PhaseFreezing               // replicas are being frozen and no primary gets statements
	PhasePromoting              // the new primary is committed and being promoted
)

// Leadership is the committed primary of a group and its term.
type Leadership struct {
	Revision       uint64 // of the group's register
	Term           uint64
	Primary        string // ID of an Instance
	Address        string
	Phase          Phase
	LastFailoverUs int64 // duration of the last change of primary, 0 if unknown
	// TableRevision is the lowest register revision of the routing table with which a
	// node may serve the group.
	TableRevision uint64
}

// DatabaseClient sends a control process's requests to single databases.
type DatabaseClient interface {
	// Do sends a Status, FreezeReplication, ResumeReplication or StepDown operation to
	// the database with the given ID at the given address. The returned Code is the
	// database's. err is set if there is no usable response, and is a timeout error if
	// there is no response at all.
	Do(ctx context.Context, address, group, id string, op Op) (DatabaseStatus, Code, error)
}

// Provider calls the platform's own API.
type Provider interface {
	// Promote asks the platform to make a database the primary of its group. owner and
	// fencingToken are those of the group's role. status is the HTTP status of the
	// response; err is set if there is no response.
	Promote(ctx context.Context, group, id, owner string, fencingToken uint64) (status int, err error)
}
