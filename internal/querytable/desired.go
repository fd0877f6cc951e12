package querytable

import "stoneford/freshness"

// DesiredState is the configuration and group state that the table works towards. A new
// value replaces the old one; it is never modified in place.
type DesiredState struct {
	Group            string // PARTNER/GROUP
	Epoch            uint64
	Primary          string // "" while the group has no primary
	Members          []Member
	Classes          map[string]Class
	QueueLimit       int    // maximum number of queries waiting outside of transactions; further queries are rejected
	ReplicaSelection string // replica selection for reads; set only by simulations, to compare
	IgnoreOwnCommits bool   // keep this node's own commits out of the freshness queue; set only by simulations, to compare
}

// Values of DesiredState.ReplicaSelection. With any other value the replica with the
// lowest sum of load, run time and wait is selected.
const (
	selectRandom    = "random"       // a random replica
	selectLeastLoad = "least-burden" // the replica with the least load
)

// Values of Class.Kind. Any other value means bounded staleness.
const (
	currentKind        = "current" // reads are never stale
	readYourWritesKind = "pinned"  // bounded staleness, and reads show the session's own writes
)

// member returns the member with the given name, and whether there is one.
func (d DesiredState) member(name string) (Member, bool) {
	for _, m := range d.Members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// Member is a database of the group.
type Member struct {
	Name              string
	Identity          string // committed identity of the database's data; a database with other data is not used
	Address           string
	LeasedConnections int // number of connections that this node may have open until LeaseExpiresAtUs
	LeaseExpiresAtUs  int64
	Draining          bool // a draining replica gets no new reads, a draining primary no new transactions
	Closed            bool // the database gets no new queries
}

// usableConnections returns the number of connections that the node may have open now. It
// is 0 after the lease has expired, for example when the node resumes from a long pause.
func (m Member) usableConnections(now int64) int {
	if now >= m.LeaseExpiresAtUs {
		return 0
	}
	return m.LeasedConnections
}

// Class holds the guarantees and limits of a class of queries. Times are in microseconds.
type Class struct {
	Name           string
	Kind           string // currentKind, readYourWritesKind, or any other value for bounded staleness
	MaxStalenessUs int64  // maximum age of the data that a read shows
	MarginUs       int64  // part of MaxStalenessUs that is reserved for the run itself
	MaxWaitUs      int64  // maximum wait for a replica to become fresh enough
	TimeoutUs      int64  // time from arrival to deadline of a query that sets none itself
}

func (c Class) isCurrent() bool { return c.Kind == currentKind }

// formula returns the freshness condition that a replica must meet for a read. marginUs
// is subtracted from the allowed staleness.
func (c Class) formula(marginUs int64) freshness.Formula {
	if c.isCurrent() {
		return freshness.Formula{Measure: freshness.Order}
	}
	return freshness.Formula{Measure: freshness.Age, Threshold: max(c.MaxStalenessUs-marginUs, 0)}
}
