package paxos

import (
	"cmp"
	"maps"
	"slices"
)

// Candidate is a process that requests to become a voter.
type Candidate struct {
	Address     string
	DiskID      uint64
	Zone        string
	Region      string
	Eligible    bool  // see Location.Eligible; an ineligible candidate may only replace its own lost disk
	RequestedAt int64 // time of its latest join request, in microseconds
}

// PlanningInput is the input of PlanMembership about voters and candidates.
type PlanningInput struct {
	Unavailable map[string]bool   // voters that are unresponsive or draining, by address
	Candidates  []Candidate       // candidates with a recent join request
	Zones       map[string]string // zone of each voter by address, if known
	Regions     map[string]string // region of each voter by address, if known

	// TargetVoters is the number of voters required for the configured fault tolerance.
	TargetVoters int
	// MaxPerZone and MaxPerRegion limit the voters in one zone or region; 0 means no
	// limit. Limits below a majority let the fleet survive the loss of any one zone or
	// region.
	MaxPerZone, MaxPerRegion int
}

// PlanMembership returns the membership that should follow the current one, and
// whether the membership should change at all.
//
// A voter whose address is now used by another disk is replaced by that disk. An
// unavailable voter is replaced if a candidate is available. At most one voter is replaced
// for these two reasons at a time, so that no replacement depends on more than one newcomer
// without state. If the candidates suffice to reach the target, voters are added up to it.
// Voters in a zone or region above its limit are replaced by candidates elsewhere, possibly
// several at a time. Voters are never removed otherwise. The zones and regions of new voters
// are added to the maps in input.
func PlanMembership(current Membership, input PlanningInput) (Membership, bool) {
	p := planner{input: input, voters: maps.Clone(current.Voters), spares: map[string]Candidate{}}
	p.replaceLostDisk(current)
	p.replaceUnavailable(current)
	p.reachTarget()
	p.limitPerLocation(input.Zones, input.MaxPerZone, func(c Candidate) string { return c.Zone })
	p.limitPerLocation(input.Regions, input.MaxPerRegion, func(c Candidate) string { return c.Region })
	if maps.Equal(p.voters, current.Voters) {
		return Membership{}, false
	}
	return current.Next(p.voters), true
}

// planner holds the state of one call of PlanMembership.
type planner struct {
	input  PlanningInput
	voters map[string]uint64    // disk IDs of the planned voters, by address
	spares map[string]Candidate // eligible candidates that are not voters, by address
}

// replaceLostDisk replaces a voter's disk by the first candidate at that voter's
// address, since the disk that voted before is lost. Eligible candidates at other
// addresses become spares.
func (p *planner) replaceLostDisk(current Membership) {
	for _, candidate := range p.input.Candidates {
		if _, isVoter := current.Voters[candidate.Address]; !isVoter {
			if candidate.Eligible {
				p.spares[candidate.Address] = candidate
			}
			continue
		}
		if maps.Equal(p.voters, current.Voters) {
			p.voters[candidate.Address] = candidate.DiskID
		}
	}
}

// replaceUnavailable replaces the first unavailable voter, unless another voter has
// been replaced already.
func (p *planner) replaceUnavailable(current Membership) {
	for _, address := range current.Addresses() {
		if !p.input.Unavailable[address] || !maps.Equal(p.voters, current.Voters) || len(p.spares) == 0 {
			continue
		}
		delete(p.voters, address)
		p.addBest(p.spares, address)
	}
}

// reachTarget adds voters if there are enough spares to reach the target.
func (p *planner) reachTarget() {
	for len(p.voters) < p.input.TargetVoters && len(p.voters)+len(p.spares) >= p.input.TargetVoters {
		p.addBest(p.spares, "")
	}
}

// limitPerLocation replaces voters at locations (zones or regions) that exceed the limit
// by spares at other locations, so that the loss of one location preserves a majority.
func (p *planner) limitPerLocation(locations map[string]string, limit int, locationOf func(Candidate) string) {
	if limit == 0 {
		return
	}
	for _, address := range slices.Sorted(maps.Keys(p.voters)) {
		elsewhere := maps.Clone(p.spares)
		maps.DeleteFunc(elsewhere, func(_ string, c Candidate) bool { return p.votersAt(locations, locationOf(c)) >= limit })
		if p.votersAt(locations, locations[address]) <= limit || len(elsewhere) == 0 {
			continue
		}
		delete(p.voters, address)
		delete(p.spares, p.addBest(elsewhere, ""))
	}
}

// votersAt returns the number of planned voters in a zone or region.
func (p *planner) votersAt(locations map[string]string, location string) int {
	n := 0
	for address := range p.voters {
		if locations[address] == location {
			n++
		}
	}
	return n
}

// addBest moves the best candidate to the voters and returns its address. It prefers the
// region with the fewest voters, then the zone with the fewest voters, then the zone of
// the replaced voter, if any, and then the lowest address.
func (p *planner) addBest(candidates map[string]Candidate, replaced string) string {
	zonePenalty := func(c Candidate) int {
		if replaced != "" && p.input.Zones[replaced] == c.Zone {
			return 0
		}
		return 1
	}
	best := slices.MinFunc(slices.Collect(maps.Values(candidates)), func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(p.votersAt(p.input.Regions, a.Region), p.votersAt(p.input.Regions, b.Region)),
			cmp.Compare(p.votersAt(p.input.Zones, a.Zone), p.votersAt(p.input.Zones, b.Zone)),
			cmp.Compare(zonePenalty(a), zonePenalty(b)),
			cmp.Compare(a.Address, b.Address))
	})
	delete(candidates, best.Address)
	p.voters[best.Address] = best.DiskID
	if p.input.Zones != nil {
		p.input.Zones[best.Address] = best.Zone
	}
	if p.input.Regions != nil {
		p.input.Regions[best.Address] = best.Region
	}
	return best.Address
}
