package simulation

import (
	"fmt"
	"maps"
	"slices"

	"stoneford/emulator/checker"
	"stoneford/internal/control"
	"stoneford/internal/querytable"
	"stoneford/maintenance"
	"stoneford/result"
	"stoneford/schema"
)

// Sample is one query for the figures.
type Sample struct {
	Kind       string
	AtUs       int64
	DurationUs int64
	Outcome    result.Outcome
	Code       result.Code
	Attempts   int
	Database   string
	Replica    bool
	Group      string
}

// Oracle is what the simulation knows beside what callers are told.
type Oracle struct {
	fleet *Fleet
	*checker.Checker
	Samples               []Sample
	RefusedConnections    int                                    // connections refused by a database for its limit
	RejectionDelays       map[result.Code][]int64                // how long nodes held what they did not do, by code
	RetriesAfterRejection map[result.Code][]RetryAfterRejection  // how it went on after a first bounce, by its code
	accepted              map[string]control.ConfigurationResult // newest configuration told accepted, by partner
	ConfigurationDelays   []int64                                // how long accepted configurations took to be in force on all plain nodes
}

// maxGiveUpUs is how long a node that nothing ails may hold a query that it gives
// up: a bounce, and whatever had left for a database.
const (
	maxRejectionUs = 3_500_000
	maxGiveUpUs    = 4_000_000
)

func newOracle(f *Fleet) *Oracle {
	return &Oracle{fleet: f, Checker: checker.New(), RejectionDelays: map[result.Code][]int64{}, RetriesAfterRejection: map[result.Code][]RetryAfterRejection{}, accepted: map[string]control.ConfigurationResult{}}
}

func (t *Oracle) violation(s string) { t.RecordViolation("%s", s) }

// maxConfigurationUs is how long an accepted configuration may take to be in force on
// every node that nothing ails.
const maxConfigurationUs = 3_000_000

func (t *Oracle) configured(partner string, r control.ConfigurationResult) {
	if r.Revision <= t.accepted[partner].Revision {
		return
	}
	t.accepted[partner] = r
	f, at := t.fleet, t.fleet.Now
	behind := func() string {
		for _, n := range f.Nodes {
			if n.up && n.lastFaultUs < at && n.core.AppliedRevisions()[control.ConfigurationKeyPrefix+partner] < r.Revision {
				return n.boot.Name
			}
		}
		return ""
	}
	var poll func()
	poll = func() {
		n := behind()
		switch {
		case f.noMajorityUs >= at:
		case n == "":
			t.ConfigurationDelays = append(t.ConfigurationDelays, f.Now-at)
		case f.Now-at > maxConfigurationUs:
			f.Violation("%s does not work by revision %d of %s, accepted %d us ago", n, r.Revision, partner, f.Now-at)
		default:
			f.After(20_000, poll)
		}
	}
	poll()
}

// Callers starts the sessions and each group's ticks.
func (f *Fleet) Callers() {
	f.watchFaults()
	for _, g := range f.Plan.Groups {
		s := f.session("tick-"+g, g)
		var tick func()
		tick = func() {
			if f.halted {
				return
			}
			s.send(querytable.Query{Class: s.class("current"), Statements: statements("add ticks t 1")}, func(r querytable.Reply) {
				if r.Outcome == result.Done {
					f.Oracle.RecordTick(s.route)
				}
				f.After(f.Plan.TickIntervalUs+r.RetryAfterUs, tick)
			})
		}
		f.After(f.Between(0, 50_000), tick)
	}
	for i := range f.Plan.Sessions {
		s := f.session(fmt.Sprintf("s%d", i), f.Plan.Groups[i%len(f.Plan.Groups)])
		s.setsNoValues = i%4 == 3
		f.After(f.Between(0, f.Plan.ThinkUs), s.loop)
	}
}

// Crowd has so many times the sessions come within a second, each three times
// as busy, and go again.
func (f *Fleet) Crowd(times int, forUs int64) {
	f.crowdCount++
	for i := range times * f.Plan.Sessions {
		s := f.session(fmt.Sprintf("c%d-%d", f.crowdCount, i), f.Plan.Groups[i%len(f.Plan.Groups)])
		s.endsAtUs = f.Now + forUs
		f.After(f.Between(0, 1_000_000), s.loop)
	}
}

// MoveCallers has sessions go on in another zone, in the middle of what they
// are at: those of a zone, or any so often.
func (f *Fleet) MoveCallers(from string, fraction float64) {
	for _, s := range f.sessions {
		if (from == "" || s.zone == from) && f.Chance(fraction) {
			z := f.Plan.Zones[f.Random.IntN(len(f.Plan.Zones))]
			s.moved, s.zone = s.zone != z, z
		}
	}
}

// route is the first route that leads to a group.
func (f *Fleet) route(group string) string {
	for _, n := range slices.Sorted(maps.Keys(f.Configuration.Routes)) {
		if f.Configuration.Routes[n].Group == group {
			return n
		}
	}
	return ""
}

func (f *Fleet) session(name, group string) *session {
	p := f.owner[group]
	s := &session{fleet: f, name: name, partner: p, group: p + "/" + group, route: p + "/" + f.route(group), zone: f.Plan.Zones[len(f.sessions)%len(f.Plan.Zones)]}
	f.sessions = append(f.sessions, s)
	return s
}

// Halt lets the sessions end what they are at and begin nothing new.
func (f *Fleet) Halt() { f.halted = true }

func (n *nodeProcess) stopping() bool { return n.draining }

// Primary is a group's primary, as agreed and as it is itself.
func (f *Fleet) Primary(group string) *Database {
	for _, c := range f.Controls {
		if st := control.GroupState(c.core.Committed(control.GroupKeyPrefix + f.owner[group] + "/" + group)); st.Primary != "" {
			d := f.Databases[st.Primary]
			if d != nil && d.up && d.state.Primary && d.state.Epoch == st.Epoch {
				return d
			}
		}
	}
	return nil
}

// Served is the share of samples that were done.
func Served(ss []Sample) float64 {
	n := 0
	for _, s := range ss {
		if s.Outcome == result.Done {
			n++
		}
	}
	return float64(n) / float64(max(1, len(ss)))
}

// Took returns the times of what was done, sorted.
func Took(ss []Sample) []int64 {
	var ts []int64
	for _, s := range ss {
		if s.Outcome == result.Done {
			ts = append(ts, s.DurationUs)
		}
	}
	slices.Sort(ts)
	return ts
}

// ConfigurationInForce is the least revision of a partner's configuration that any living
// node works by.
func (f *Fleet) ConfigurationInForce(p string) uint64 {
	least := ^uint64(0)
	for _, n := range f.Nodes {
		if n.up {
			least = min(least, n.core.AppliedRevisions()[control.ConfigurationKeyPrefix+p])
		}
	}
	return least
}

// Calendar is the newest calendar any control process knows.
func (f *Fleet) Calendar() *schema.MaintenanceCalendar {
	var v *schema.Value
	for _, c := range f.Controls {
		if h := c.core.Committed(control.MaintenanceKey); h.GetRevision() > v.GetRevision() {
			v = h
		}
	}
	return maintenance.Read(v.GetData())
}

// RoleOwner is the number of the control process that holds a group's duty.
func (f *Fleet) RoleOwner(group string) int {
	for i, c := range f.Controls {
		if c.up && c.core.GroupLeaders()[group] == c.boot.Listen {
			return i
		}
	}
	return 0
}

// LastRead is the id of the read that was sent last on a route.
func (f *Fleet) LastRead(route string) string { return f.lastRead[route] }

// Name is the database's own.
func (d *Database) Name() string { return d.name }

// Counts sums the counters of all living nodes' tables.
func (f *Fleet) Counts() querytable.Counts {
	var s querytable.Counts
	for _, n := range f.Nodes {
		for _, t := range n.tables {
			c := t.Counts()
			s.Queries, s.Polls, s.Runs, s.Opens = s.Queries+c.Queries, s.Polls+c.Polls, s.Runs+c.Runs, s.Opens+c.Opens
		}
	}
	return s
}
