package pool

import (
	"reflect"
	"slices"
	"time"

	"stoneford/connectionlease"
	"stoneford/internal/membership"
	"stoneford/internal/querytable"
	"stoneford/maintenance"
	"stoneford/schema"
	"stoneford/statemachine"
)

const (
	// reportInterval is the time between two reports of a group's databases to the
	// control processes. A change of reachability is reported at once.
	reportInterval = 500 * time.Millisecond
	// drainReportInterval replaces reportInterval while a database drains, because a
	// control process waits until the database's connections are idle.
	drainReportInterval = 100 * time.Millisecond
)

// group is the node's state of a group of databases.
type group struct {
	partner      string
	name         string // without the partner
	lessee       *connectionlease.Lessee
	views        []querytable.DatabaseView // as reported by the group's table
	inUse        map[string]int            // number of connections to each database, as reported by the table
	desired      querytable.DesiredState   // newest desired state passed to the table
	state        *schema.GroupState
	reachable    map[string]bool // as last reported to the control processes, by database
	nextReportAt int64
}

// tickGroup renews a group's connection leases, reports its databases and passes the
// desired state to its table if it has changed.
func (c *Core) tickGroup(now int64, key string, g *group) {
	if request := g.lessee.NextRequest(now, g.inUse); request != nil {
		for _, seed := range c.config.Seeds {
			c.sendTo(&schema.Envelope{From: c.self, Body: &schema.Envelope_ConnectionLeaseRequest{ConnectionLeaseRequest: request}}, seed)
		}
	}
	c.reportDatabases(now, key, g)
	if desired := c.desiredState(now, key, g); !reflect.DeepEqual(desired, g.desired) {
		g.desired = desired
		c.emit(SetDesired{Group: key, Desired: desired})
	}
}

// desiredState returns the desired state of a group's table.
func (c *Core) desiredState(now int64, key string, g *group) querytable.DesiredState {
	configuration := c.configurations[g.partner]
	desired := querytable.DesiredState{
		Group:   key,
		Epoch:   g.state.Epoch,
		Primary: g.state.Primary,
		Members: c.desiredMembers(now, g, configuration),
		Classes: map[string]querytable.Class{},
	}
	for name, class := range configuration.Classes {
		desired.Classes[name] = querytable.Class{
			Name:           name,
			Kind:           class.Kind,
			MaxStalenessUs: class.StaleUs,
			MarginUs:       class.MarginUs,
			MaxWaitUs:      class.WaitUs,
			TimeoutUs:      class.ExpiryUs,
		}
	}
	for _, route := range configuration.Routes {
		if route.Group == g.name {
			desired.QueueLimit = max(desired.QueueLimit, int(route.Line))
		}
	}
	return desired
}

func (c *Core) desiredMembers(now int64, g *group, configuration *schema.Configuration) []querytable.Member {
	identities := map[string]string{}
	for _, m := range g.state.Members {
		identities[m.Database] = m.Identity
	}
	var members []querytable.Member
	for _, name := range configuration.Groups[g.name].Members {
		target := g.partner + "/" + name
		members = append(members, querytable.Member{
			Name:              name,
			Identity:          identities[name],
			Address:           configuration.Databases[name].Address,
			LeasedConnections: g.lessee.Limit(now, name),
			LeaseExpiresAtUs:  g.lessee.ExpiresAt(),
			Draining:          maintenance.IsDraining(c.calendar, target),
			Closed:            maintenance.IsClosed(c.calendar, target),
		})
	}
	return members
}

// reportDatabases reports the state of a group's databases: changes of reachability to
// all control processes at once, everything else to one of them at the report interval.
func (c *Core) reportDatabases(now int64, key string, g *group) {
	interval := reportInterval
	if slices.ContainsFunc(g.desired.Members, func(m querytable.Member) bool { return m.Draining }) {
		interval = drainReportInterval
	}
	reportAll := statemachine.Due(now, &g.nextReportAt, interval)
	for _, v := range g.views {
		reachable := v.UnresponsiveUs == 0
		wasReachable, reported := g.reachable[v.Name]
		notYetPolled := reachable && !v.Known && !reported
		if notYetPolled || !reportAll && reachable == wasReachable {
			continue
		}
		r := c.newReport(now, membership.ReportPrefix+key+"/"+v.Name+"/"+c.config.Name, databaseReport(v, reachable))
		if reachable != wasReachable {
			c.sendRecord(r, c.config.Seeds...)
		} else {
			c.sendRecord(r, c.nextSeed())
		}
		g.reachable[v.Name] = reachable
	}
}

func databaseReport(v querytable.DatabaseView, reachable bool) *schema.DatabaseReport {
	return &schema.DatabaseReport{
		Reachable:        reachable,
		UnresponsiveUs:   v.UnresponsiveUs,
		Epoch:            v.Status.Epoch,
		Received:         v.Status.Received,
		Applied:          v.Status.Applied,
		Draining:         v.Draining,
		Role:             v.Status.Role,
		BusyConnections:  int32(v.BusyConnections),
		OpenTransactions: int32(v.OpenTransactions),
	}
}
