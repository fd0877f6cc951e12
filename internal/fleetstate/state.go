package fleetstate

import (
	"fmt"

	"stoneford/internal/ports"
)

// Kinds of processes.
const (
	KindControl = "control"
	KindPool    = "pool"
)

// Unknown is the value of an age or a position that is not known.
const Unknown = -1

// ProcessState is the state that a process reports. Times are microseconds. Ages and the
// remaining time of a lease are by the process's own clock at the time of the request.
// Fields with omitempty are absent if they do not apply.
type ProcessState struct {
	Name        string `json:"name"`
	Kind        string `json:"kind"`
	Zone        string `json:"zone"`
	NodeAddress string `json:"node"` // address for other processes
	Run         uint64 `json:"run"`  // random number that identifies this run of the process; runs have no order
	UpUs        int64  `json:"up_us"`
	Draining    bool   `json:"leaving,omitempty"`
	Ready       bool   `json:"ready"` // a control process votes; a pool node can serve

	Membership  uint64       `json:"membership"` // number of the newest known membership, 0 for none
	Voters      []Voter      `json:"voters"`
	LeaseLeftUs int64        `json:"lease_left_us"` // 0 or negative if the lease has expired
	Registers   []Register   `json:"registers"`
	Table       RoutingTable `json:"table"`

	// Candidates are the processes that asked this voter to be admitted as voters.
	Candidates []Candidate `json:"candidates,omitempty"`

	// Violations counts the violations of each invariant, by the invariant's name.
	Violations map[string]int64 `json:"violations,omitempty"`

	Control *ControlState `json:"control,omitempty"`
	Pool    *PoolState    `json:"pool,omitempty"`
}

// Voter is a voter as the reporting process knows it.
type Voter struct {
	NodeAddress      string `json:"node"`
	Zone             string `json:"zone,omitempty"`
	Self             bool   `json:"self,omitempty"`
	Disk             string `json:"disk,omitempty"` // ID of its disk in hexadecimal; a replaced disk has a new ID
	Voting           bool   `json:"votes"`          // under the newest membership
	Membership       uint64 `json:"membership"`     // number of the membership that it votes under, 0 for none
	LaggingRegisters int    `json:"behind"`         // registers whose newest revision it is not known to have
	HeardUs          int64  `json:"heard_us"`       // time since its last message, Unknown if there was none
	Run              uint64 `json:"run"`            // of its process, 0 while unknown
}

// Candidate is a control process that asks to become a voter.
type Candidate struct {
	NodeAddress     string `json:"node"`
	Zone            string `json:"zone,omitempty"`
	Disk            string `json:"disk"`
	CountsForQuorum bool   `json:"counts"`   // it counts in the tolerated number of simultaneous failures
	HeardUs         int64  `json:"heard_us"` // time since its last request
}

// FormatDiskID formats the ID of a disk as operators see it.
func FormatDiskID(diskID uint64) string { return fmt.Sprintf("%016x", diskID) }

// Register is the state of one register.
type Register struct {
	Key         string `json:"key"`
	Revision    uint64 `json:"revision"` // newest revision known to be committed
	HighestSeen uint64 `json:"seen"`     // newest revision that any voter is known to hold
	Accepted    uint64 `json:"accepted,omitempty"`
	// Changes names the changes that made the newest revisions, newest first, if the
	// process votes. A change of the routing table is named by the hash of its text, any
	// other change by the control process that made it.
	Changes []string `json:"changes,omitempty"`
}

// RoutingTable is the routing table that the process uses.
type RoutingTable struct {
	Revision         uint64 `json:"revision"`  // of the register
	OperatorRevision uint64 `json:"operators"` // the operators' own revision
	RouteCount       int    `json:"route_count"`
	GroupCount       int    `json:"group_count"`
	// Routes, Groups and Limits are set only on request.
	Routes []Route `json:"routes,omitempty"`
	Groups []Group `json:"groups,omitempty"`
	Limits *Limits `json:"limits,omitempty"`
}

// Items of the routing table, with the same fields as in package ports.
type (
	// Route directs the statements for one host and path prefix to a group.
	Route struct {
		Name            string `json:"name"`
		Host            string `json:"host"`
		Prefix          string `json:"prefix,omitempty"`
		Kind            string `json:"kind"`
		Group           string `json:"group"`
		TimeoutUs       int64  `json:"expiry_us"`
		LatencyTargetUs int64  `json:"aim_us"`
		MaxStalenessUs  int64  `json:"stale_us"`
		Rank            int    `json:"rank"`
	}
	// Group is one group of databases.
	Group struct {
		Name                string `json:"name"`
		ConnectionLimit     int    `json:"conn_limit"`
		RequiredReplicaAcks int    `json:"sync"`
	}
	// Limits are the idle timeouts of sessions.
	Limits struct {
		IdleTimeoutUs            int64 `json:"idle_us"`
		TransactionIdleTimeoutUs int64 `json:"tx_idle_us"`
	}
)

// ControlState is the state of the fleet as a control process knows it.
type ControlState struct {
	Databases []Database   `json:"databases"`
	Leaders   []Leadership `json:"leaders"`
	Nodes     []Node       `json:"nodes"`
}

// Database is a database that announced itself.
type Database struct {
	ID       string `json:"id"`
	Group    string `json:"group"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Capacity int    `json:"capacity"`
	Primary  bool   `json:"primary"` // it claims to be the primary
	Draining bool   `json:"leaving"`
	Gone     bool   `json:"gone"`
	HeardUs  int64  `json:"heard_us"` // time since its last announcement to this process
}

// Leadership is the committed leadership of a group.
type Leadership struct {
	Group           string   `json:"group"`
	Revision        uint64   `json:"revision"`
	Unconfirmed     bool     `json:"doubt"` // a voter holds a newer revision
	Term            uint64   `json:"term"`
	Primary         string   `json:"primary"`
	Address         string   `json:"address"`
	Phase           string   `json:"phase"`
	Cause           string   `json:"cause,omitempty"`
	RoleOwner       string   `json:"holder,omitempty"` // control process that owns the role
	FencingToken    uint64   `json:"fence"`
	PreviousPrimary string   `json:"old,omitempty"` // previous primary
	LastFailoverUs  int64    `json:"expect_us"`     // duration of the last change of primary
	Members         []string `json:"members"`
	CanAct          bool     `json:"acts"` // the reporting process may change the leadership now
}

// Node is a process that recently polled the reporting process.
type Node struct {
	Name          string         `json:"name"`
	NodeAddress   string         `json:"node"`
	Kind          string         `json:"kind"`
	Run           uint64         `json:"run"`
	HeardUs       int64          `json:"heard_us"`
	Draining      bool           `json:"leaving"`
	HealthReports []HealthReport `json:"sightings,omitempty"`
	Groups        []GroupStatus  `json:"groups,omitempty"`
}

// HealthReport is a database that a node cannot use.
type HealthReport struct {
	DatabaseID   string `json:"id"`
	FailingUs    int64  `json:"failing_us"`
	Disconnected bool   `json:"cut"` // its connections were closed rather than timed out
}

// GroupStatus is a node's report on one group.
type GroupStatus struct {
	Group        string         `json:"group"`
	Revision     uint64         `json:"revision"` // of the leadership that the node uses
	Acknowledged ports.Position `json:"acked"`
	Idle         bool           `json:"quiet"`
}

// PoolState is the part of the state that only pool nodes report. Counters start at 0 with
// the process.
type PoolState struct {
	Nodes              int              `json:"nodes"` // number of pool nodes that share the databases' connections
	Sessions           int              `json:"sessions"`
	Connections        int              `json:"connections"`
	Running            int              `json:"running"`
	Waiting            int              `json:"waiting"`
	OpenTransactions   int              `json:"open_transactions"`
	StatementsByResult map[string]int64 `json:"ended"` // number of ended statements, by result
	AnsweredLocally    int64            `json:"local"`
	Rejected           int64            `json:"held"` // rejected by the node itself
	Retried            int64            `json:"again"`
	Connects           int64            `json:"connects"`
	Resets             int64            `json:"resets"`
	PlacedAtReplicas   int64            `json:"placed_at_followers"`
	PlacedAtPrimaries  int64            `json:"placed_at_primaries"`
	Groups             []PoolGroup      `json:"groups"`
}

// PoolGroup is the state of a group at a pool node.
type PoolGroup struct {
	Group          string         `json:"group"`
	Revision       uint64         `json:"revision"`
	Unconfirmed    bool           `json:"doubt"`
	Term           uint64         `json:"term"`
	Primary        string         `json:"primary"`
	Phase          string         `json:"phase"`
	ConfirmedForUs int64          `json:"sure_us"` // time for which the primary is certain to be the newest one
	Waiting        int            `json:"waiting"` // statements that wait for a primary or a lease
	Acknowledged   ports.Position `json:"acked"`   // newest commit that this node acknowledged to a caller
	// PrimaryPosition is the position of the newest known commit. PendingCommits is the
	// number of freshness queue entries that not every replica has applied.
	PrimaryPosition int64          `json:"master"`
	PendingCommits  int            `json:"pending"`
	Databases       []PoolDatabase `json:"databases"`
}

// PoolDatabase is the state of a database at a pool node.
type PoolDatabase struct {
	ID               string         `json:"id"`
	Address          string         `json:"address"`
	Zone             string         `json:"zone"`
	Draining         bool           `json:"leaving"`
	Connections      int            `json:"connections"`
	MaxConnections   int            `json:"most_connections"`
	Opening          int            `json:"opening"`
	Idle             int            `json:"idle"`
	Running          int            `json:"running"`
	Slots            float64        `json:"slots"`
	Waiting          int            `json:"waiting"`
	OpenTransactions int            `json:"open_transactions"`
	FailingUs        int64          `json:"failing_us"` // time since the database became unusable, Unknown if it can be used
	AppliedPosition  int64          `json:"level"`      // position in the freshness queue, or Unknown
	HighestNamed     ports.Position `json:"named"`      // newest position in its responses
}
