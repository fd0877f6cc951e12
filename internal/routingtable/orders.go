package routingtable

import (
	"crypto/sha256"
	"slices"

	"stoneford/internal/ports"
)

// Operators may send a change again if its response was lost. A table lists the newest
// changes that led to it. So a repeated change is recognized by its exact content and is
// not confused with another change under the same revision (design 18).

const (
	// maxRecentChanges is the number of newest changes that a table lists. A change that
	// is sent again after more changes than that is Forgotten. Each listed change adds
	// about 20 bytes to every table.
	maxRecentChanges = 32
	// digestSize is the number of bytes of a change's hash that a table keeps.
	digestSize = 12
)

// ChangeStatus is the status of a change in the history of a table.
type ChangeStatus uint8

const (
	// NotApplied means that the change was never applied.
	NotApplied ChangeStatus = iota
	// Applied means that the change was applied with exactly this content.
	Applied
	// Forgotten means that the change is older than the changes that the table lists, so
	// that it is unknown whether it was applied.
	Forgotten
)

// StatusOf returns the status of a change in the history of a table. Revisions only
// increase, so a change whose revision is not above its base, or is above the table's,
// was never applied.
func StatusOf(table ports.RoutingTable, change ports.TableChange) ChangeStatus {
	switch {
	case change.Revision <= change.BaseRevision || change.Revision > table.Revision:
		return NotApplied
	case slices.Contains(table.RecentChanges, appliedChange(change)):
		return Applied
	case change.Revision <= lastForgottenRevision(table):
		return Forgotten
	default:
		return NotApplied
	}
}

// appliedChange returns the entry of a change in the list of a table. The change's Digest
// is already a hash of its content; hashing it again bounds its length.
func appliedChange(change ports.TableChange) ports.AppliedChange {
	sum := sha256.Sum256([]byte(change.Digest))
	return ports.AppliedChange{Revision: change.Revision, Digest: string(sum[:digestSize])}
}

// recordChange returns the recent changes of the old table with a change appended, and
// the newest revision that is no longer among them.
func recordChange(old ports.RoutingTable, change ports.TableChange) (recent []ports.AppliedChange, forgottenRevision uint64) {
	recent = append(slices.Clone(old.RecentChanges), appliedChange(change))
	forgottenRevision = lastForgottenRevision(old)
	for len(recent) > maxRecentChanges {
		recent, forgottenRevision = recent[1:], recent[0].Revision
	}
	return recent, forgottenRevision
}

// lastForgottenRevision returns the newest revision whose change a table no longer lists.
// A table without any was written by a version of the program that did not list them.
func lastForgottenRevision(table ports.RoutingTable) uint64 {
	if len(table.RecentChanges) == 0 {
		return table.Revision
	}
	return table.ForgottenRevision
}
