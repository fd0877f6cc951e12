package fenced

import (
	"slices"

	"stoneford/internal/ports"
	"stoneford/schema"
)

// HealthReport aggregates the pool nodes' reports on one database.
type HealthReport struct {
	// UnreachableFrom is the number of nodes that cannot use the database.
	UnreachableFrom int
	// DisconnectedFrom is the number of these nodes whose connections were closed
	// rather than timed out.
	DisconnectedFrom int
	// LongestFailingUs is the longest time, in microseconds, for which any of these
	// nodes has been unable to use the database.
	LongestFailingUs int64
}

// Input contains everything that a step depends on, except the time and the results
// of earlier calls.
type Input struct {
	// Group is the name of the group, for log entries.
	Group string
	// RequiredReplicaAcks is the number of replicas that have to receive a commit
	// before the primary acknowledges it.
	RequiredReplicaAcks int
	// State is the newest committed value of the group's register known to this
	// process, and Revision is its revision, 0 if there is none.
	State    *schema.Leadership
	Revision uint64
	// UpToDate reports that no voter is known to have a newer value than State.
	UpToDate bool
	// Role describes whether this process owns, or may claim, the group's singleton role.
	Role RoleState
	// Instances lists the announced databases of the group that are not gone.
	Instances []ports.Instance
	// Gone holds the databases that announced that they stop, or were declared gone, by ID.
	Gone map[string]GoneDatabase
	// InventoryComplete reports that this process has received announcements of all
	// existing databases, so that a database in neither Instances nor Gone is gone too.
	InventoryComplete bool
	// Members lists the committed members of the group, whose positions must be known
	// before a primary is chosen. MembersRevision is the revision of the list.
	Members         []string
	MembersRevision uint64
	// LastAnnouncedUs is when this process last received each database's announcement.
	LastAnnouncedUs map[string]int64
	// HealthReports contains the pool nodes' reports by database. A database that
	// every node can use has no entry.
	HealthReports map[string]HealthReport
	// ReportingNodes is the number of pool nodes that have polled recently.
	ReportingNodes int
	// PrimaryIdle reports that none of these nodes has a statement in flight at the primary.
	PrimaryIdle bool
	// AllNotified reports that all of these nodes know the revision that froze the group.
	AllNotified bool
	// NoOlderRevisionInUse reports that no node still relies on a revision older than
	// the one that froze the group.
	NoOlderRevisionInUse bool
	// Acknowledged is the newest position that any node reported as acknowledged to a
	// client. It covers every commit that was acknowledged at AcknowledgedSinceUs or later.
	// Nodes whose reports are lost, since they ended before they reported, may have
	// acknowledged other commits before that time.
	Acknowledged        ports.Position
	AcknowledgedSinceUs int64
	// ReportsLostUntilUs is the time until which nodes whose reports are known to be lost
	// may have acknowledged commits.
	ReportsLostUntilUs int64
	// Move is the site move that the routing table requests, if any.
	Move SiteMove
}

// GoneDatabase is a database that is no longer announced, as it was announced last. It may
// still run.
type GoneDatabase struct {
	ports.Instance
	// Deregistered reports that the database itself announced that it stops. Otherwise it was
	// declared gone because it missed announcements, and may be announced again.
	Deregistered bool
}

// SiteMove describes the site at which the routing table requires the group's primary
// to serve (design 15).
type SiteMove struct {
	// InSite reports whether a zone belongs to the destination site. It is nil if there
	// is no move.
	InSite func(zone string) bool
	// Site is the name of the destination site.
	Site string
	// TableRevision is the register revision of the routing table that requests the move.
	TableRevision uint64
	// CheckCandidate requests that each step updates MoveCandidate.
	CheckCandidate bool
	// Committed reports that every node uses that routing table, so that the move has to
	// be performed.
	Committed bool
}

// atDestinationSite reports whether a database is at the destination site of a move.
func (input Input) atDestinationSite(i ports.Instance) bool {
	return input.Move.InSite != nil && input.Move.InSite(i.Zone)
}

// moveInProgress reports whether the current change is the site move.
func (input Input) moveInProgress() bool {
	return input.Move.Committed && input.State.GetTableRevision() == input.Move.TableRevision
}

// phase returns the committed phase of the group.
func (input Input) phase() ports.Phase { return ports.Phase(input.State.GetPhase()) }

// instance returns an announced database by its ID.
func (input Input) instance(id string) (found ports.Instance, announced bool) {
	i := slices.IndexFunc(input.Instances, func(i ports.Instance) bool { return i.ID == id })
	if i < 0 {
		return ports.Instance{}, false
	}
	return input.Instances[i], true
}

// departed reports whether a database is known to be no longer announced. It may still run
// and confirm commits (departed_replicas.go).
func (input Input) departed(id string) bool {
	_, announced := input.instance(id)
	_, gone := input.Gone[id]
	return !announced && (gone || input.InventoryComplete)
}

// replicasAtDestinationSite returns the databases at the destination site that a
// move could promote.
func (input Input) replicasAtDestinationSite(primary ports.Instance) []ports.Instance {
	var replicas []ports.Instance
	for _, i := range input.Instances {
		if i.ID != primary.ID && !i.Draining && input.atDestinationSite(i) {
			replicas = append(replicas, i)
		}
	}
	return replicas
}
