package simulation

import (
	"fmt"
	"maps"
	"slices"

	"stoneford/internal/querytable"
	"stoneford/result"
)

// StartCallers starts the sessions, and a session for each group that increments its tick
// row, whose value shows the age of the data of reads.
func (f *Fleet) StartCallers() {
	f.trackFaults()
	for _, g := range f.Plan.Groups {
		s := f.newSession("tick-"+g, g)
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
		s := f.newSession(fmt.Sprintf("s%d", i), f.Plan.Groups[i%len(f.Plan.Groups)])
		s.setsNoValues = i%4 == 3
		f.After(f.Between(0, f.Plan.ThinkUs), s.loop)
	}
}

// AddCrowd adds times as many sessions as the plan has, for the given time in microseconds.
// They start within a second and are three times as busy as ordinary sessions.
func (f *Fleet) AddCrowd(times int, forUs int64) {
	f.crowdCount++
	for i := range times * f.Plan.Sessions {
		s := f.newSession(fmt.Sprintf("c%d-%d", f.crowdCount, i), f.Plan.Groups[i%len(f.Plan.Groups)])
		s.endsAtUs = f.Now + forUs
		f.After(f.Between(0, 1_000_000), s.loop)
	}
}

// MoveCallers moves a random fraction of the callers in a zone, or in all zones if from is
// empty, to random zones, also in the middle of a transaction.
func (f *Fleet) MoveCallers(from string, fraction float64) {
	for _, s := range f.sessions {
		if (from == "" || s.zone == from) && f.Chance(fraction) {
			z := f.Plan.Zones[f.Random.IntN(len(f.Plan.Zones))]
			s.moved, s.zone = s.zone != z, z
		}
	}
}

// route returns the first route of a group.
func (f *Fleet) route(group string) string {
	for _, n := range slices.Sorted(maps.Keys(f.Configuration.Routes)) {
		if f.Configuration.Routes[n].Group == group {
			return n
		}
	}
	return ""
}

// newSession adds a session on a group's route.
func (f *Fleet) newSession(name, group string) *session {
	p := f.partnerOf[group]
	s := &session{fleet: f, name: name, partner: p, group: p + "/" + group, route: p + "/" + f.route(group), zone: f.Plan.Zones[len(f.sessions)%len(f.Plan.Zones)]}
	f.sessions = append(f.sessions, s)
	return s
}

// HaltCallers makes the sessions finish their current actions and start no new ones.
func (f *Fleet) HaltCallers() { f.halted = true }

// stopping reports whether a node takes no new sessions because it is being stopped.
func (n *nodeProcess) stopping() bool { return n.draining }
