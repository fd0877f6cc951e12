package fleetsimulation

import (
	"slices"

	"stoneford/internal/ports"
)

// knownCommits is what had been acknowledged when a caller sent a read, or the begin of
// its transaction.
type knownCommits struct {
	sentUs int64
	// byGroup is the number of commits acknowledged in each group, in the order of
	// Fleet.groups.
	byGroup []int
	// ofSession is the number of commits acknowledged to the read's session, in all groups.
	ofSession int
}

// knownCommits returns what is acknowledged now, for a read that the session sends now.
func (o *Oracle) knownCommits(s *Session) knownCommits {
	known := knownCommits{sentUs: o.fleet.Now, byGroup: make([]int, len(o.fleet.groups)), ofSession: len(s.acknowledged)}
	for i, g := range o.fleet.groups {
		known.byGroup[i] = len(g.acknowledged)
	}
	return known
}

// possibleRoutes returns the routes that lead a statement's host to a group in any table
// that may have been in force when the statement, or its transaction, began. An older table
// may be in force until configApplyTimeoutUs after a newer one was acknowledged.
func (o *Oracle) possibleRoutes(statement *Statement, g *group) []ports.Route {
	supersededBy := o.fleet.operators.newestAcknowledgedBefore(statement.boundUs() - configApplyTimeoutUs)
	var routes []ports.Route
	for _, v := range o.fleet.operators.submitted {
		if v.revision < supersededBy || v.refusalReason != "" && !v.inForce {
			continue
		}
		for _, r := range v.table.Routes {
			if r.Host == statement.route.host && r.Group == g.name {
				routes = append(routes, r)
			}
		}
	}
	return routes
}

// newestAcknowledgedBefore returns the newest revision that was acknowledged before a time,
// or 0.
func (o *operators) newestAcknowledgedBefore(us int64) uint64 {
	newest := uint64(0)
	for _, v := range o.acknowledged {
		if v.acknowledgedUs < us {
			newest = max(newest, v.revision)
		}
	}
	return newest
}

// requiredEntries returns the commits that must be visible to a read which runs in a group.
// If several routes are possible, it returns what each of them requires.
func (o *Oracle) requiredEntries(statement *Statement, g *group) []*entry {
	routes := o.possibleRoutes(statement, g)
	if len(routes) == 0 {
		return nil // reported when the statement arrived
	}
	known := statement.known()
	var required []*entry
	acknowledged := g.acknowledged[:known.byGroup[slices.Index(o.fleet.groups, g)]]
	if n := countUntil(acknowledged, known.sentUs, maxStaleness(routes)); n > 0 {
		required = append(required, acknowledged[n-1].newest)
	}
	if slices.ContainsFunc(routes, func(r ports.Route) bool { return r.Class == ports.BoundedStaleness }) {
		return required
	}
	for _, e := range statement.session.acknowledged[:known.ofSession] {
		if e.primary.group == g {
			required = append(required, e)
		}
	}
	return required
}

// committedInSeveralGroups reports whether commits in several groups were acknowledged to
// the session that sent an operation's statement.
func (o *Oracle) committedInSeveralGroups(op ports.Op) bool {
	statement := o.statements[op.Statement.ID]
	if statement == nil || len(statement.session.acknowledged) == 0 {
		return false
	}
	first := statement.session.acknowledged[0].primary.group
	return slices.ContainsFunc(statement.session.acknowledged, func(e *entry) bool { return e.primary.group != first })
}

// mustBeCurrent reports whether every route that may apply to a statement allows current
// reads only.
func (o *Oracle) mustBeCurrent(statement *Statement) bool {
	return !slices.ContainsFunc(o.possibleRoutes(statement, statement.group), func(r ports.Route) bool { return r.Class != ports.CurrentRead })
}

// maxStaleness returns the greatest staleness that any of the routes allows, 0 if all of
// them require current reads.
func maxStaleness(routes []ports.Route) int64 {
	greatest := int64(0)
	for _, r := range routes {
		if r.Class != ports.CurrentRead {
			greatest = max(greatest, r.MaxStalenessUs)
		}
	}
	return greatest
}

// countUntil returns how many commits were acknowledged more than a staleness before a
// read was sent. For staleness 0 it counts all commits.
func countUntil(acknowledged []acknowledgedEntry, sentUs, stalenessUs int64) int {
	if stalenessUs == 0 {
		return len(acknowledged)
	}
	n, _ := slices.BinarySearchFunc(acknowledged, sentUs-stalenessUs, func(a acknowledgedEntry, at int64) int {
		if a.acknowledgedUs < at {
			return -1
		}
		return 1
	})
	return n
}
