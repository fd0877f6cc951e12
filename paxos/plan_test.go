package paxos_test

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"stoneford/paxos"
)

// TestPlan is which membership follows, in small: voters and candidates are letters,
// each with its zone behind a dot; a voter's disk is 1, another disk 2.
func TestPlan(t *testing.T) {
	for _, x := range []struct {
		what, voters, lost, candidates string
		target, maxPerZone             int
		want                           string
	}{
		{"nobody lost", "a.1 b.2 c.3", "", "d.1", 3, 0, ""},
		{"lost and nobody new", "a.1 b.2 c.3", "c", "", 3, 0, ""},
		{"lost and one new", "a.1 b.2 c.3", "c", "d.3", 3, 0, "abd"},
		{"two lost, one new", "a.1 b.2 c.3 d.1 e.2", "de", "f.1", 5, 0, "abcef"},
		{"two lost, two new: one at a time", "a.1 b.2 c.3 d.1 e.2", "de", "f.1 g.2", 5, 0, "abcef"},
		{"a lost disk", "a.1 b.2 c.3", "", "b2.2", 3, 0, "ab2c"},
		{"a lost disk that is silent too", "a.1 b.2 c.3", "b", "b2.2 d.3", 3, 0, "ab2c"},
		{"more are needed and there", "a.1 b.2 c.3", "", "d.1 e.2 f.3", 5, 0, "abcde"},
		{"more are needed and not all there", "a.1 b.2 c.3", "", "d.1", 5, 0, ""},
		{"of the zone that lost one", "a.1 b.2 c.3", "c", "d.1 e.3 f.2", 3, 0, "abe"},
		{"of the zone with the fewest", "a.1 b.1 c.2", "c", "d.1 e.3", 3, 0, "abe"},
		{"a zone that holds a majority", "a.1 b.1 c.2", "", "d.3 e.1", 3, 1, "bcd"},
		{"a zone that holds a majority, and nobody elsewhere", "a.1 b.1 c.2", "", "d.1", 3, 1, ""},
		{"five in three zones", "a.1 b.1 c.1 d.2 e.3", "", "f.2 g.3", 5, 2, "bcdef"},
	} {
		voters, zones := map[string]uint64{}, map[string]string{}
		for _, v := range strings.Fields(x.voters) {
			name, zone, _ := strings.Cut(v, ".")
			voters[name], zones[name] = 1, zone
		}
		s := paxos.PlanningInput{Unavailable: map[string]bool{}, Zones: zones, Regions: map[string]string{}, TargetVoters: x.target, MaxPerZone: x.maxPerZone}
		for _, l := range x.lost {
			s.Unavailable[string(l)] = true
		}
		for _, c := range strings.Fields(x.candidates) {
			name, zone, _ := strings.Cut(c, ".")
			candidate := paxos.Candidate{Address: name[:1], DiskID: 1, Zone: zone, Eligible: true}
			if strings.HasSuffix(name, "2") {
				candidate.DiskID = 2
			}
			s.Candidates = append(s.Candidates, candidate)
		}
		current := paxos.Membership{Number: 7, Voters: voters}
		next, due := paxos.PlanMembership(current, s)
		got := ""
		for _, name := range next.Addresses() {
			got += name
			if next.Voters[name] == 2 {
				got += "2"
			}
		}
		if got != x.want || due != (x.want != "") {
			t.Errorf("%s: %q follows, not %q", x.what, got, x.want)
		}
		if due && (next.Number != 8 || !maps.Equal(next.Previous, voters)) {
			t.Errorf("%s: membership %d after %v", x.what, next.Number, slices.Sorted(maps.Keys(next.Previous)))
		}
	}
}
