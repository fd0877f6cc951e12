package fleetsimulation

import (
	"slices"

	"stoneford/internal/ports"
	"stoneford/internal/routingtable"
)

// routeChanges makes operators change the routes of hosts that have callers: which group a
// host leads to, and what its reads guarantee. It also takes a group out of the table for a
// while. Callers keep their sessions meanwhile.
type routeChanges struct {
	fleet      *Fleet
	retargeted int // number of acknowledged changes of a host's group
	returned   int // those of them that led a host back to the group that it started in
}

// requestRandomly submits random changes until a time.
func (r *routeChanges) requestRandomly(untilUs, meanIntervalUs int64) {
	r.fleet.repeatRandomly(untilUs, meanIntervalUs, r.submitRandom)
}

// submitRandom submits a random change of a route of a host with callers, or removes or
// restores a group. Changes overlap with those of the operators' other changes, and lose
// against them if they have the same base.
func (r *routeChanges) submitRandom() {
	f := r.fleet
	version := f.operators.versions[f.operators.knownRevision]
	if version == nil || f.operators.halted {
		return
	}
	switch x := f.Random.IntN(10); {
	case x < 2:
		r.retarget(version)
	case x < 7:
		r.redirectBriefly(version)
	case x < 9:
		r.changeGuarantee(version)
	default:
		r.removeOrRestoreGroup(version)
	}
}

// hostRoute returns a random route of a host with callers in a table.
func (r *routeChanges) hostRoute(version *tableVersion) ports.Route {
	f := r.fleet
	host := f.routes[f.Random.IntN(len(f.routes))].host
	i := slices.IndexFunc(version.table.Routes, func(route ports.Route) bool { return route.Host == host })
	return version.table.Routes[i]
}

// retarget leads a host to another group of the table. One change in two leads it back to
// the group in which it started.
func (r *routeChanges) retarget(version *tableVersion) {
	f := r.fleet
	route := r.hostRoute(version)
	first := f.operators.submitted[0].table.Routes
	start := first[slices.IndexFunc(first, func(other ports.Route) bool { return other.Name == route.Name })].Group
	group := version.table.Groups[f.Random.IntN(len(version.table.Groups))].Name
	if f.Chance(0.5) && slices.ContainsFunc(version.table.Groups, func(g ports.Group) bool { return g.Name == start }) {
		group = start
	}
	if group == route.Group {
		return
	}
	route.Group = group
	r.submit(ports.TableChange{BaseRevision: version.revision, Revision: f.operators.nextRevision(), Routes: []ports.Route{route}}, func() {
		r.retargeted++
		if group == start {
			r.returned++
		}
	})
}

// redirectBriefly leads all hosts of a group to another one and, soon after that is
// acknowledged, back. Replicas may lag for longer than that.
func (r *routeChanges) redirectBriefly(version *tableVersion) {
	f := r.fleet
	groups := version.table.Groups
	from, to := groups[f.Random.IntN(len(groups))].Name, groups[f.Random.IntN(len(groups))].Name
	away, back := ports.TableChange{BaseRevision: version.revision, Revision: f.operators.nextRevision()}, []ports.Route{}
	for _, route := range version.table.Routes {
		if route.Group != from {
			continue
		}
		back = append(back, route)
		route.Group = to
		away.Routes = append(away.Routes, route)
	}
	if from == to || len(back) == 0 {
		return
	}
	r.submit(away, func() {
		r.retargeted += len(back)
		f.afterRandom(0, 600_000, func() { r.redirectBack(back, maxRedirectRetries) })
	})
}

// maxRedirectRetries bounds the retries of a change that loses against others.
const maxRedirectRetries = 5

// redirectBack puts routes back as they were, unless their group is no longer in the table.
func (r *routeChanges) redirectBack(routes []ports.Route, retries int) {
	o := &r.fleet.operators
	c := ports.TableChange{BaseRevision: o.knownRevision, Revision: o.nextRevision(), Routes: routes}
	if _, problems := routingtable.Apply(o.versions[o.knownRevision].table, c); len(problems) > 0 {
		return
	}
	o.submitWithRetries(c, true, false, func(outcome ports.Outcome) {
		switch {
		case outcome == ports.Committed:
			r.returned += len(routes)
		case retries > 0:
			r.redirectBack(routes, retries-1)
		}
	})
}

// changeGuarantee changes the read class of a host's route, or the staleness that it allows.
func (r *routeChanges) changeGuarantee(version *tableVersion) {
	f := r.fleet
	route := r.hostRoute(version)
	classes := []ports.ReadClass{ports.CurrentRead, ports.BoundedStaleness, ports.ReadYourWrites}
	route.Class = classes[f.Random.IntN(len(classes))]
	route.MaxStalenessUs = 0
	if route.Class != ports.CurrentRead {
		route.MaxStalenessUs = f.Between(500_000, 3_000_000)
	}
	r.submit(ports.TableChange{BaseRevision: version.revision, Revision: f.operators.nextRevision(), Routes: []ports.Route{route}}, func() {})
}

// removeOrRestoreGroup restores a group that is not in the table. If all are, it leads the
// routes of one group to another and then removes the group from the table. The databases of
// a removed group keep running.
func (r *routeChanges) removeOrRestoreGroup(version *tableVersion) {
	f := r.fleet
	for _, g := range f.operators.submitted[0].table.Groups {
		if !slices.ContainsFunc(version.table.Groups, func(other ports.Group) bool { return other.Name == g.Name }) {
			r.submit(ports.TableChange{BaseRevision: version.revision, Revision: f.operators.nextRevision(), Groups: []ports.Group{g}}, func() {})
			return
		}
	}
	if len(version.table.Groups) < 2 {
		return
	}
	// Other changes of the operators refer to the first group.
	from := version.table.Groups[1+f.Random.IntN(len(version.table.Groups)-1)].Name
	to := version.table.Groups[slices.IndexFunc(version.table.Groups, func(g ports.Group) bool { return g.Name != from })].Name
	c := ports.TableChange{BaseRevision: version.revision, Revision: f.operators.nextRevision(), RemoveGroups: []string{from}}
	for _, route := range version.table.Routes {
		if route.Group == from {
			route.Group = to
			c.Routes = append(c.Routes, route)
		}
	}
	r.submit(c, func() {})
}

// submit submits a change, and calls done if it is acknowledged.
func (r *routeChanges) submit(c ports.TableChange, done func()) {
	r.fleet.operators.submitWithRetries(c, true, false, func(outcome ports.Outcome) {
		if outcome == ports.Committed {
			done()
		}
	})
}

// restore submits a change that puts all groups and the hosts' routes back as they were in
// the first table. It retries until the change is acknowledged.
func (r *routeChanges) restore() {
	f := r.fleet
	version := f.operators.versions[f.operators.knownRevision]
	first := f.operators.submitted[0].table
	c := ports.TableChange{BaseRevision: version.revision, Revision: f.operators.nextRevision(), Routes: first.Routes, Groups: first.Groups}
	f.operators.submitWithRetries(c, true, false, func(outcome ports.Outcome) {
		if outcome != ports.Committed {
			f.After(f.Between(20_000, 100_000), r.restore)
		}
	})
}

// routesWritersTo reports whether the newest table known to be in force leads the callers of
// a current route to a group.
func (o *operators) routesWritersTo(g *group) bool {
	version := o.versions[o.knownRevision]
	if version == nil {
		return true
	}
	return slices.ContainsFunc(o.fleet.routes, func(r *callerRoute) bool {
		return r.kind == ports.CurrentRead && slices.ContainsFunc(version.table.Routes, func(route ports.Route) bool { return route.Host == r.host && route.Group == g.name })
	})
}
