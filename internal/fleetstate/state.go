// Package fleetstate is what the processes of a fleet whose databases announce
// themselves tell operators of themselves (design 14): read-only, over HTTP, put
// together only when somebody asks.
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

// Unknown stands for an age where there is none.
const Unknown = -1

// ProcessState is one process's own word. Times are whole microseconds; ages and what
// is left of a lease are by the process's own clock, at the moment it was asked.
type ProcessState struct {
	Name     string `json:"name"`
	Kind     string `json:"kind"`
	Zone     string `json:"zone"`
	Node     string `json:"node"` // address for other processes
	Run      uint64 `json:"run"`  // greater with each start
	UpUs     int64  `json:"up_us"`
	Draining bool   `json:"leaving,omitempty"`
	Ready    bool   `json:"ready"` // a control process votes, a pool node could serve

	Membership  uint64       `json:"membership"` // number of the newest that the process knows, 0 for none
	Voters      []Voter      `json:"voters"`
	LeaseLeftUs int64        `json:"lease_left_us"` // 0 and below: it has run out
	Registers   []Register   `json:"registers"`
	Table       RoutingTable `json:"table"`

	// Candidates are the processes that asked this voter to vote too.
	Candidates []Candidate `json:"candidates,omitempty"`

	// Violations counts the checks of what must always hold that failed, by rule.
	Violations map[string]int64 `json:"violations,omitempty"`

	Control *ControlState `json:"control,omitempty"`
	Pool    *PoolState    `json:"pool,omitempty"`
}

// Voter is a control process as the process asked knows it.
type Voter struct {
	Node             string `json:"node"`
	Zone             string `json:"zone,omitempty"`
	Self             bool   `json:"self,omitempty"`
	Disk             string `json:"disk,omitempty"` // identity of its disk, in hexadecimal; another after a loss
	Voting           bool   `json:"votes"`          // under the newest membership
	Membership       uint64 `json:"membership"`     // number of the one that it votes under, 0 for none
	LaggingRegisters int    `json:"behind"`         // registers of which it is not known to hold the newest revision
	HeardUs          int64  `json:"heard_us"`       // how long ago, Never if not at all
	Run              uint64 `json:"run"`
}

// Candidate is a control process that does not vote and asks to.
type Candidate struct {
	Node            string `json:"node"`
	Zone            string `json:"zone,omitempty"`
	Disk            string `json:"disk"`
	CountsForQuorum bool   `json:"counts"`   // it is of those whose loss is counted
	HeardUs         int64  `json:"heard_us"` // since it last asked
}

// DiskName is the identity of a disk as operators are shown it.
func DiskName(life uint64) string { return fmt.Sprintf("%016x", life) }

// Register is one agreed value.
type Register struct {
	Key         string `json:"key"`
	Revision    uint64 `json:"revision"` // known to be agreed
	HighestSeen uint64 `json:"seen"`     // newest that any voter is known to hold
	Accepted    uint64 `json:"accepted,omitempty"`
	// Changes name what made the newest revisions, newest first, where the process
	// votes. A change of the routing table is named by the hash of its text, any
	// other by the control process that made it.
	Changes []string `json:"changes,omitempty"`
}

// RoutingTable is the operators' routing table in force.
type RoutingTable struct {
	Revision         uint64 `json:"revision"`  // of the register
	OperatorRevision uint64 `json:"operators"` // the operators' own
	RouteCount       int    `json:"route_count"`
	GroupCount       int    `json:"group_count"`
	// Routes, Groups and Limits only where they were asked for.
	Routes []Route `json:"routes,omitempty"`
	Groups []Group `json:"groups,omitempty"`
	Limits *Limits `json:"limits,omitempty"`
}

// Route, Group and Limits are the table's items.
type (
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
	Group struct {
		Name                string `json:"name"`
		ConnectionLimit     int    `json:"conn_limit"`
		RequiredReplicaAcks int    `json:"sync"`
	}
	Limits struct {
		IdleTimeoutUs            int64 `json:"idle_us"`
		TransactionIdleTimeoutUs int64 `json:"tx_idle_us"`
	}
)

// ControlState is what a control process knows of the fleet.
type ControlState struct {
	Databases []Database   `json:"databases"`
	Leaders   []Leadership `json:"leaders"`
	Nodes     []Node       `json:"nodes"`
}

// Database is one that announced itself.
type Database struct {
	ID       string `json:"id"`
	Group    string `json:"group"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Capacity int    `json:"capacity"`
	Primary  bool   `json:"primary"` // as it sees itself
	Draining bool   `json:"leaving"`
	Gone     bool   `json:"gone"`
	HeardUs  int64  `json:"heard_us"` // how long ago something of it came here
}

// Leadership is a group's, as agreed.
type Leadership struct {
	Group           string   `json:"group"`
	Revision        uint64   `json:"revision"`
	Unconfirmed     bool     `json:"doubt"` // a voter holds something newer
	Term            uint64   `json:"term"`
	Primary         string   `json:"primary"`
	Address         string   `json:"address"`
	Phase           string   `json:"phase"`
	Cause           string   `json:"cause,omitempty"`
	RoleOwner       string   `json:"holder,omitempty"` // the control process that carried the last change out
	FencingToken    uint64   `json:"fence"`
	PreviousPrimary string   `json:"old,omitempty"` // the primary before
	LastFailoverUs  int64    `json:"expect_us"`     // how long a change took lately
	Members         []string `json:"members"`
	CanAct          bool     `json:"acts"` // the process asked would carry a change out now
}

// Node is a process that looked here lately.
type Node struct {
	Name          string         `json:"name"`
	Node          string         `json:"node"`
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
	Disconnected bool   `json:"cut"` // its connections ended, rather than fell silent
}

// GroupStatus is a node's word on one group.
type GroupStatus struct {
	Group        string         `json:"group"`
	Revision     uint64         `json:"revision"` // of the leadership it works by
	Acknowledged ports.Position `json:"acked"`
	Idle         bool           `json:"quiet"`
}

// PoolState is a pool node's own.
type PoolState struct {
	Nodes              int              `json:"nodes"` // that share the databases' connections
	Sessions           int              `json:"sessions"`
	Connections        int              `json:"connections"`
	Running            int              `json:"running"`
	Waiting            int              `json:"waiting"`
	OpenTransactions   int              `json:"open_transactions"`
	StatementsByResult map[string]int64 `json:"ended"` // statements by result, since the start
	AnsweredLocally    int64            `json:"local"`
	Rejected           int64            `json:"held"` // bounced by the node itself
	Retried            int64            `json:"again"`
	Connects           int64            `json:"connects"`
	Resets             int64            `json:"resets"`
	PlacedAtReplicas   int64            `json:"placed_at_followers"`
	PlacedAtPrimaries  int64            `json:"placed_at_primaries"`
	Groups             []PoolGroup      `json:"groups"`
}

// PoolGroup is a group as the node works by it.
type PoolGroup struct {
	Group          string         `json:"group"`
	Revision       uint64         `json:"revision"`
	Unconfirmed    bool           `json:"doubt"`
	Term           uint64         `json:"term"`
	Primary        string         `json:"primary"`
	Phase          string         `json:"phase"`
	ConfirmedForUs int64          `json:"sure_us"` // left of the time in which the primary is surely the newest
	Waiting        int            `json:"waiting"` // for a primary or a lease
	Acknowledged   ports.Position `json:"acked"`   // newest commit acknowledged by this node
	// PrimaryPosition is the newest commit known, Pending the entries not applied everywhere.
	PrimaryPosition int64          `json:"master"`
	PendingCommits  int            `json:"pending"`
	Databases       []PoolDatabase `json:"databases"`
}

// PoolDatabase is a database as the node uses it.
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
	FailingUs        int64          `json:"failing_us"` // Never if it can be used
	AppliedPosition  int64          `json:"level"`      // applied, as the freshness queue has it, Never if unknown
	HighestNamed     ports.Position `json:"named"`      // newest position its answers named
}

// DescribeTable writes a table down, with its items where whole.
func DescribeTable(t ports.RoutingTable, rev uint64, includeItems bool) RoutingTable {
	s := RoutingTable{Revision: rev, OperatorRevision: t.Revision, RouteCount: len(t.Routes), GroupCount: len(t.Groups)}
	if !includeItems {
		return s
	}
	for _, r := range t.Routes {
		s.Routes = append(s.Routes, Route{Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: kindName(r.Class), Group: r.Group,
			TimeoutUs: r.TimeoutUs, LatencyTargetUs: r.LatencyTargetUs, MaxStalenessUs: r.MaxStalenessUs, Rank: r.Rank})
	}
	for _, g := range t.Groups {
		s.Groups = append(s.Groups, Group{Name: g.Name, ConnectionLimit: g.ConnectionLimit, RequiredReplicaAcks: g.RequiredReplicaAcks})
	}
	s.Limits = &Limits{IdleTimeoutUs: t.Limits.IdleTimeoutUs, TransactionIdleTimeoutUs: t.Limits.TransactionIdleTimeoutUs}
	return s
}

func kindName(k ports.ReadClass) string {
	switch k {
	case ports.CurrentRead:
		return "current"
	case ports.BoundedStaleness:
		return "bounded"
	case ports.ReadYourWrites:
		return "pinned"
	}
	return "unknown"
}

// PhaseName is a phase in words.
func PhaseName(p ports.Phase) string {
	switch p {
	case ports.PhaseServing:
		return "open"
	case ports.PhaseDraining:
		return "closing"
	case ports.PhaseFreezing:
		return "sealing"
	case ports.PhasePromoting:
		return "promoting"
	}
	return "unknown"
}

var resultNames = [ports.UnknownCode + 1]string{
	ports.Done: "done", ports.Busy: "busy", ports.RolledBack: "rolled back", ports.Lagging: "lagging", ports.ReadOnly: "read only",
	ports.WrongInstance: "wrong instance", ports.TooManyConnections: "too many connections", ports.Failed: "failed", ports.UnknownPreparedStatement: "no prepared name",
	ports.Timeout: "timeout", ports.InDoubt: "in doubt", ports.Malformed: "malformed", ports.DatabaseUnavailable: "no database",
	ports.TooLarge: "too large", ports.Denied: "denied", ports.UnknownCode: "unknown",
}

// CountsByResult are counts of statements by the names of their results; those that
// never came are left out.
func CountsByResult(ended [ports.UnknownCode + 1]int64) map[string]int64 {
	m := map[string]int64{}
	for c, n := range ended {
		if n > 0 {
			m[resultNames[c]] = n
		}
	}
	return m
}
