package fleetstate

import "stoneford/internal/ports"

// DescribeTable converts a table, stored at a revision of its register, for operators.
// The table's items are included on request.
func DescribeTable(t ports.RoutingTable, revision uint64, includeItems bool) RoutingTable {
	description := RoutingTable{Revision: revision, OperatorRevision: t.Revision, RouteCount: len(t.Routes), GroupCount: len(t.Groups)}
	if !includeItems {
		return description
	}
	for _, r := range t.Routes {
		description.Routes = append(description.Routes, Route{Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: readClassName(r.Class), Group: r.Group,
			TimeoutUs: r.TimeoutUs, LatencyTargetUs: r.LatencyTargetUs, MaxStalenessUs: r.MaxStalenessUs, Rank: r.Rank})
	}
	for _, g := range t.Groups {
		description.Groups = append(description.Groups, Group{Name: g.Name, ConnectionLimit: g.ConnectionLimit, RequiredReplicaAcks: g.RequiredReplicaAcks})
	}
	description.Limits = &Limits{IdleTimeoutUs: t.Limits.IdleTimeoutUs, TransactionIdleTimeoutUs: t.Limits.TransactionIdleTimeoutUs}
	return description
}

// readClassName returns the name of a class as operators see it.
func readClassName(class ports.ReadClass) string {
	switch class {
	case ports.CurrentRead:
		return "current"
	case ports.BoundedStaleness:
		return "bounded"
	case ports.ReadYourWrites:
		return "pinned"
	}
	return "unknown"
}

// PhaseName returns the name of a phase as operators see it.
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

// resultNames are the names of results as operators see them.
var resultNames = [ports.UnknownCode + 1]string{
	ports.Done:                     "done",
	ports.Busy:                     "busy",
	ports.RolledBack:               "rolled back",
	ports.Lagging:                  "lagging",
	ports.ReadOnly:                 "read only",
	ports.WrongInstance:            "wrong instance",
	ports.TooManyConnections:       "too many connections",
	ports.Failed:                   "failed",
	ports.UnknownPreparedStatement: "no prepared name",
	ports.Timeout:                  "timeout",
	ports.InDoubt:                  "in doubt",
	ports.Malformed:                "malformed",
	ports.DatabaseUnavailable:      "no database",
	ports.TooLarge:                 "too large",
	ports.Denied:                   "denied",
	ports.UnknownCode:              "unknown",
}

// CountsByResult returns the counts of ended statements by the names of their results,
// without results that did not occur.
func CountsByResult(ended [ports.UnknownCode + 1]int64) map[string]int64 {
	counts := map[string]int64{}
	for code, n := range ended {
		if n > 0 {
			counts[resultNames[code]] = n
		}
	}
	return counts
}
