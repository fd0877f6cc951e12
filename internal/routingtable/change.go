package routingtable

import (
	"cmp"
	"fmt"
	"slices"

	"stoneford/internal/ports"
)

// WithPlacement returns the table with the placement of a group added or replaced.
func WithPlacement(table ports.RoutingTable, p ports.Placement) ports.RoutingTable {
	table.Placements = upsert(slices.Clone(table.Placements), []ports.Placement{p}, placementGroup)
	slices.SortFunc(table.Placements, func(a, b ports.Placement) int { return cmp.Compare(a.Group, b.Group) })
	return table
}

// Apply returns the table that a change of the old table leads to, and all reasons why
// that table is invalid; a table with problems must not be used. Placements are kept
// for every group that is still in the table.
func Apply(old ports.RoutingTable, change ports.TableChange) (table ports.RoutingTable, problems []string) {
	problems = slices.Clone(change.Problems)
	table = ports.RoutingTable{Revision: change.Revision, Limits: old.Limits}
	if !change.Complete {
		table.Routes = without(old.Routes, change.RemoveRoutes, routeName)
		table.Groups = without(old.Groups, change.RemoveGroups, groupName)
	}
	problems = append(problems, duplicates("route", change.Routes, routeName)...)
	problems = append(problems, duplicates("group", change.Groups, groupName)...)
	table.Routes = upsert(table.Routes, change.Routes, routeName)
	table.Groups = upsert(table.Groups, change.Groups, groupName)
	for _, p := range old.Placements {
		if slices.ContainsFunc(table.Groups, func(g ports.Group) bool { return g.Name == p.Group }) {
			table.Placements = append(table.Placements, p)
		}
	}
	if change.Limits != nil {
		table.Limits = *change.Limits
	}
	table.RecentChanges, table.ForgottenRevision = recordChange(old, change)
	if change.Revision <= old.Revision {
		problems = append(problems, fmt.Sprintf("revision %d is not above %d, which is in force", change.Revision, old.Revision))
	}
	return table, append(problems, Check(table)...)
}

// Check returns all reasons why a table is invalid.
func Check(table ports.RoutingTable) []string {
	var problems []string
	groups := map[string]bool{}
	for _, g := range table.Groups {
		groups[g.Name] = true
		problems = append(problems, checkGroup(g)...)
	}
	type address struct{ host, prefix string }
	routeAt := map[address]string{}
	for _, r := range table.Routes {
		problems = append(problems, checkRoute(r, groups)...)
		key := address{r.Host, r.Prefix}
		if other, exists := routeAt[key]; exists {
			problems = append(problems, fmt.Sprintf("routes %s and %s share host %s and prefix %q", other, r.Name, r.Host, r.Prefix))
		}
		routeAt[key] = r.Name
	}
	return problems
}

func checkGroup(g ports.Group) []string {
	var problems []string
	if g.Name == "" {
		problems = append(problems, "a group has no name")
	}
	if g.ConnectionLimit < 0 || g.RequiredReplicaAcks < 0 {
		problems = append(problems, fmt.Sprintf("group %s: a number is below 0", g.Name))
	}
	return problems
}

// checkRoute returns the problems of a route; groups has the names of the table's groups.
func checkRoute(r ports.Route, groups map[string]bool) []string {
	var problems []string
	switch {
	case r.Name == "":
		problems = append(problems, "a route has no name")
	case r.Host == "":
		problems = append(problems, fmt.Sprintf("route %s has no host", r.Name))
	case !groups[r.Group]:
		problems = append(problems, fmt.Sprintf("route %s: unknown group %q", r.Name, r.Group))
	}
	if r.TimeoutUs <= 0 {
		problems = append(problems, fmt.Sprintf("route %s: its time is 0", r.Name))
	}
	if r.MaxStalenessUs < 0 || r.LatencyTargetUs < 0 {
		problems = append(problems, fmt.Sprintf("route %s: a time is below 0", r.Name))
	}
	return problems
}

func routeName(r ports.Route) string          { return r.Name }
func groupName(g ports.Group) string          { return g.Name }
func placementGroup(p ports.Placement) string { return p.Group }

// without returns a copy of items without the items of the given names.
func without[T any](items []T, names []string, name func(T) string) []T {
	return slices.DeleteFunc(slices.Clone(items), func(item T) bool { return slices.Contains(names, name(item)) })
}

// upsert replaces each item that has the name of a changed item, in place, and appends
// the other changed items.
func upsert[T any](items, changed []T, name func(T) string) []T {
	for _, c := range changed {
		if at := slices.IndexFunc(items, func(i T) bool { return name(i) == name(c) }); at >= 0 {
			items[at] = c
		} else {
			items = append(items, c)
		}
	}
	return items
}

// duplicates returns a problem for each item that has the name of an earlier item.
func duplicates[T any](kind string, items []T, name func(T) string) []string {
	var problems []string
	seen := map[string]bool{}
	for _, i := range items {
		if seen[name(i)] {
			problems = append(problems, fmt.Sprintf("%s %s stands twice", kind, name(i)))
		}
		seen[name(i)] = true
	}
	return problems
}
