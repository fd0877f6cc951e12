// Package fleetstate is what the processes of a fleet whose databases announce
// themselves tell operators of themselves (design 14): read-only, over HTTP, put
// together only when somebody asks.
package fleetstate

import (
	"fmt"

	"stoneford/ports"
)

// Kinds of processes.
const (
	KindControl = "control"
	KindPool    = "pool"
)

// Never stands for an age where there is none.
const Never = -1

// State is one process's own word. Times are whole microseconds; ages and what
// is left of a lease are by the process's own clock, at the moment it was asked.
type State struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Zone    string `json:"zone"`
	Node    string `json:"node"` // address for other processes
	Run     uint64 `json:"run"`  // greater with each start
	UpUs    int64  `json:"up_us"`
	Leaving bool   `json:"leaving,omitempty"`
	Ready   bool   `json:"ready"` // a control process votes, a pool node could serve

	Membership  uint64     `json:"membership"` // number of the newest that the process knows, 0 for none
	Voters      []Voter    `json:"voters"`
	LeaseLeftUs int64      `json:"lease_left_us"` // 0 and below: it has run out
	Registers   []Register `json:"registers"`
	Table       Table      `json:"table"`

	// Candidates are the processes that asked this voter to vote too.
	Candidates []Candidate `json:"candidates,omitempty"`

	// Violations counts the checks of what must always hold that failed, by rule.
	Violations map[string]int64 `json:"violations,omitempty"`

	Control *Control `json:"control,omitempty"`
	Pool    *Pool    `json:"pool,omitempty"`
}

// Voter is a control process as the process asked knows it.
type Voter struct {
	Node       string `json:"node"`
	Zone       string `json:"zone,omitempty"`
	Self       bool   `json:"self,omitempty"`
	Disk       string `json:"disk,omitempty"` // identity of its disk, in hexadecimal; another after a loss
	Votes      bool   `json:"votes"`          // under the newest membership
	Membership uint64 `json:"membership"`     // number of the one that it votes under, 0 for none
	Behind     int    `json:"behind"`         // registers of which it is not known to hold the newest revision
	HeardUs    int64  `json:"heard_us"`       // how long ago, Never if not at all
	Run        uint64 `json:"run"`
}

// Candidate is a control process that does not vote and asks to.
type Candidate struct {
	Node    string `json:"node"`
	Zone    string `json:"zone,omitempty"`
	Disk    string `json:"disk"`
	Counts  bool   `json:"counts"`   // it is of those whose loss is counted
	HeardUs int64  `json:"heard_us"` // since it last asked
}

// DiskName is the identity of a disk as operators are shown it.
func DiskName(life uint64) string { return fmt.Sprintf("%016x", life) }

// Register is one agreed value.
type Register struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"` // known to be agreed
	Seen     uint64 `json:"seen"`     // newest that any voter is known to hold
	Accepted uint64 `json:"accepted,omitempty"`
	// Changes name what made the newest revisions, newest first, where the process
	// votes. A change of the routing table is named by the hash of its text, any
	// other by the control process that made it.
	Changes []string `json:"changes,omitempty"`
}

// Table is the operators' routing table in force.
type Table struct {
	Revision  uint64 `json:"revision"`  // of the register
	Operators uint64 `json:"operators"` // the operators' own
	RouteN    int    `json:"route_count"`
	GroupN    int    `json:"group_count"`
	// Routes, Groups and Limits only where they were asked for.
	Routes []Route `json:"routes,omitempty"`
	Groups []Group `json:"groups,omitempty"`
	Limits *Limits `json:"limits,omitempty"`
}

// Route, Group and Limits are the table's items.
type (
	Route struct {
		Name     string `json:"name"`
		Host     string `json:"host"`
		Prefix   string `json:"prefix,omitempty"`
		Kind     string `json:"kind"`
		Group    string `json:"group"`
		ExpiryUs int64  `json:"expiry_us"`
		AimUs    int64  `json:"aim_us"`
		StaleUs  int64  `json:"stale_us"`
		Rank     int    `json:"rank"`
	}
	Group struct {
		Name      string `json:"name"`
		ConnLimit int    `json:"conn_limit"`
		Sync      int    `json:"sync"`
	}
	Limits struct {
		IdleUs   int64 `json:"idle_us"`
		TxIdleUs int64 `json:"tx_idle_us"`
	}
)

// Control is what a control process knows of the fleet.
type Control struct {
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
	Leaving  bool   `json:"leaving"`
	Gone     bool   `json:"gone"`
	HeardUs  int64  `json:"heard_us"` // how long ago something of it came here
}

// Leadership is a group's, as agreed.
type Leadership struct {
	Group    string   `json:"group"`
	Revision uint64   `json:"revision"`
	Doubt    bool     `json:"doubt"` // a voter holds something newer
	Term     uint64   `json:"term"`
	Primary  string   `json:"primary"`
	Address  string   `json:"address"`
	Phase    string   `json:"phase"`
	Cause    string   `json:"cause,omitempty"`
	Holder   string   `json:"holder,omitempty"` // the control process that carried the last change out
	Fence    uint64   `json:"fence"`
	Old      string   `json:"old,omitempty"` // the primary before
	ExpectUs int64    `json:"expect_us"`     // how long a change took lately
	Members  []string `json:"members"`
	Acts     bool     `json:"acts"` // the process asked would carry a change out now
}

// Node is a process that looked here lately.
type Node struct {
	Name      string     `json:"name"`
	Node      string     `json:"node"`
	Kind      string     `json:"kind"`
	Run       uint64     `json:"run"`
	HeardUs   int64      `json:"heard_us"`
	Leaving   bool       `json:"leaving"`
	Sightings []Sighting `json:"sightings,omitempty"`
	Groups    []Word     `json:"groups,omitempty"`
}

// Sighting is a database that a node cannot use.
type Sighting struct {
	ID        string `json:"id"`
	FailingUs int64  `json:"failing_us"`
	Cut       bool   `json:"cut"` // its connections ended, rather than fell silent
}

// Word is a node's word on one group.
type Word struct {
	Group    string         `json:"group"`
	Revision uint64         `json:"revision"` // of the leadership it works by
	Acked    ports.Position `json:"acked"`
	Quiet    bool           `json:"quiet"`
}

// Pool is a pool node's own.
type Pool struct {
	Nodes       int              `json:"nodes"` // that share the databases' connections
	Sessions    int              `json:"sessions"`
	Connections int              `json:"connections"`
	Running     int              `json:"running"`
	Waiting     int              `json:"waiting"`
	Open        int              `json:"open_transactions"`
	Ended       map[string]int64 `json:"ended"` // statements by result, since the start
	Local       int64            `json:"local"`
	Held        int64            `json:"held"` // bounced by the node itself
	Again       int64            `json:"again"`
	Connects    int64            `json:"connects"`
	Resets      int64            `json:"resets"`
	Follower    int64            `json:"placed_at_followers"`
	Primary     int64            `json:"placed_at_primaries"`
	Groups      []PoolGroup      `json:"groups"`
}

// PoolGroup is a group as the node works by it.
type PoolGroup struct {
	Group    string         `json:"group"`
	Revision uint64         `json:"revision"`
	Doubt    bool           `json:"doubt"`
	Term     uint64         `json:"term"`
	Primary  string         `json:"primary"`
	Phase    string         `json:"phase"`
	SureUs   int64          `json:"sure_us"` // left of the time in which the primary is surely the newest
	Waiting  int            `json:"waiting"` // for a primary or a lease
	Acked    ports.Position `json:"acked"`   // newest commit acknowledged by this node
	// Master is the newest commit known, Pending the entries not applied everywhere.
	Master    int64          `json:"master"`
	Pending   int            `json:"pending"`
	Databases []PoolDatabase `json:"databases"`
}

// PoolDatabase is a database as the node uses it.
type PoolDatabase struct {
	ID        string         `json:"id"`
	Address   string         `json:"address"`
	Zone      string         `json:"zone"`
	Leaving   bool           `json:"leaving"`
	Conns     int            `json:"connections"`
	Most      int            `json:"most_connections"`
	Opening   int            `json:"opening"`
	Idle      int            `json:"idle"`
	Running   int            `json:"running"`
	Slots     float64        `json:"slots"`
	Waiting   int            `json:"waiting"`
	Open      int            `json:"open_transactions"`
	FailingUs int64          `json:"failing_us"` // Never if it can be used
	Level     int64          `json:"level"`      // applied, as the freshness queue has it, Never if unknown
	Named     ports.Position `json:"named"`      // newest position its answers named
}

// Routing writes a table down, with its items where whole.
func Routing(t ports.RoutingTable, rev uint64, whole bool) Table {
	s := Table{Revision: rev, Operators: t.Revision, RouteN: len(t.Routes), GroupN: len(t.Groups)}
	if !whole {
		return s
	}
	for _, r := range t.Routes {
		s.Routes = append(s.Routes, Route{Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: kindName(r.Kind), Group: r.Group,
			ExpiryUs: r.ExpiryUs, AimUs: r.AimUs, StaleUs: r.StaleUs, Rank: r.Rank})
	}
	for _, g := range t.Groups {
		s.Groups = append(s.Groups, Group{Name: g.Name, ConnLimit: g.ConnLimit, Sync: g.Sync})
	}
	s.Limits = &Limits{IdleUs: t.Limits.IdleUs, TxIdleUs: t.Limits.TxIdleUs}
	return s
}

func kindName(k ports.ClassKind) string {
	switch k {
	case ports.Current:
		return "current"
	case ports.Bounded:
		return "bounded"
	case ports.Pinned:
		return "pinned"
	}
	return "unknown"
}

// PhaseName is a phase in words.
func PhaseName(p ports.Phase) string {
	switch p {
	case ports.PhaseOpen:
		return "open"
	case ports.PhaseClosing:
		return "closing"
	case ports.PhaseSealing:
		return "sealing"
	case ports.PhasePromoting:
		return "promoting"
	}
	return "unknown"
}

var resultNames = [ports.Unknown + 1]string{
	ports.Done: "done", ports.Busy: "busy", ports.RolledBack: "rolled back", ports.Lagging: "lagging", ports.ReadOnly: "read only",
	ports.WrongInstance: "wrong instance", ports.TooMany: "too many connections", ports.Failed: "failed", ports.NoStatement: "no prepared name",
	ports.Timeout: "timeout", ports.InDoubt: "in doubt", ports.Malformed: "malformed", ports.NoDatabase: "no database",
	ports.TooLarge: "too large", ports.Denied: "denied", ports.Unknown: "unknown",
}

// Results are counts of statements by the names of their results; those that
// never came are left out.
func Results(ended [ports.Unknown + 1]int64) map[string]int64 {
	m := map[string]int64{}
	for c, n := range ended {
		if n > 0 {
			m[resultNames[c]] = n
		}
	}
	return m
}
