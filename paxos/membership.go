package paxos

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"stoneford/schema"
)

// MembershipKey is the register whose revision n holds membership n. Whoever
// accepts a successor of the membership that it votes under votes no more under
// that one, except on this register.
const MembershipKey = "membership"

// Membership is who votes. It is a value: no method changes it.
type Membership struct {
	Number   uint64
	Voters   map[string]uint64 // identity of the disk, by address
	Previous map[string]uint64 // voters of the membership before this one
}

// MembershipFromProto reads a membership from a message.
func MembershipFromProto(m *schema.Membership) Membership {
	return Membership{Number: m.GetNumber(), Voters: votersFromProto(m.GetVoters()), Previous: votersFromProto(m.GetPrevious())}
}

// Proto is the membership as a message.
func (m Membership) Proto() *schema.Membership {
	return &schema.Membership{Number: m.Number, Voters: votersToProto(m.Voters), Previous: votersToProto(m.Previous)}
}

// Encode is the membership as the data of its register.
func (m Membership) Encode() []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m.Proto())
	if err != nil {
		panic(err) // a message of strings and numbers always encodes
	}
	return b
}

// DecodeMembership reads the data of the membership's register.
func DecodeMembership(data []byte) (Membership, error) {
	m := &schema.Membership{}
	if err := proto.Unmarshal(data, m); err != nil {
		return Membership{}, err
	}
	return MembershipFromProto(m), nil
}

// Known reports whether this is a membership at all.
func (m Membership) Known() bool { return m.Number > 0 }

// Addresses are the voters' addresses in order.
func (m Membership) Addresses() []string { return slices.Sorted(maps.Keys(m.Voters)) }

// HasVoter reports whether the disk of that identity at that address votes.
func (m Membership) HasVoter(address string, diskID uint64) bool {
	l, ok := m.Voters[address]
	return ok && l == diskID
}

// Quorum is how many voters are a majority.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

// Next is the membership after this one with the voters given.
func (m Membership) Next(voters map[string]uint64) Membership {
	return Membership{Number: m.Number + 1, Voters: maps.Clone(voters), Previous: maps.Clone(m.Voters)}
}

func votersFromProto(list []*schema.Voter) map[string]uint64 {
	m := make(map[string]uint64, len(list))
	for _, v := range list {
		m[v.Address] = v.DiskId
	}
	return m
}

func votersToProto(m map[string]uint64) []*schema.Voter {
	list := make([]*schema.Voter, 0, len(m))
	for _, a := range slices.Sorted(maps.Keys(m)) {
		list = append(list, &schema.Voter{Address: a, DiskId: m[a]})
	}
	return list
}

// Candidate is a process that asks to vote.
type Candidate struct {
	Address     string
	DiskID      uint64
	Zone        string
	Region      string
	Eligible    bool  // it is of the processes whose loss is counted
	RequestedAt int64 // when it last asked
}

// PlanningInput is what a planner knows of the voters and of those who ask to vote.
type PlanningInput struct {
	Unavailable  map[string]bool   // voters that are silent or leave, by address
	Candidates   []Candidate       // fresh ones only
	Zones        map[string]string // of each voter, as far as known, by address
	Regions      map[string]string
	TargetVoters int // voters needed for what may be lost
	// Most voters in one zone or region, 0 for any number.
	MaxPerZone, MaxPerRegion int
}

// PlanMembership is the membership that should follow, and whether one should at all. A
// voter whose address is used by another disk is replaced by that one; a lost
// voter is replaced if another process may take its place; voters are added up to
// the target, and never taken away otherwise. One voter is replaced at a time, so
// that no replacement rests on more than one newcomer that holds nothing yet.
func PlanMembership(current Membership, s PlanningInput) (Membership, bool) {
	next := maps.Clone(current.Voters)
	spares := map[string]Candidate{}
	for _, c := range s.Candidates {
		if _, isVoter := current.Voters[c.Address]; isVoter {
			if maps.Equal(next, current.Voters) {
				next[c.Address] = c.DiskID // the disk that voted before is gone
			}
		} else if c.Eligible {
			spares[c.Address] = c
		}
	}
	for _, address := range slices.Sorted(maps.Keys(current.Voters)) {
		if !s.Unavailable[address] || !maps.Equal(next, current.Voters) || len(spares) == 0 {
			continue
		}
		delete(next, address)
		addBestCandidate(next, spares, s, address)
	}
	for len(next) < s.TargetVoters && len(next)+len(spares) >= s.TargetVoters {
		addBestCandidate(next, spares, s, "")
	}
	limitPerLocation(next, spares, s.Zones, s.MaxPerZone, func(c Candidate) string { return c.Zone }, s)
	limitPerLocation(next, spares, s.Regions, s.MaxPerRegion, func(c Candidate) string { return c.Region }, s)
	if maps.Equal(next, current.Voters) {
		return Membership{}, false
	}
	return current.Next(next), true
}

// limitPerLocation replaces voters of zones, or regions, that hold more than the most allowed
// by candidates elsewhere, so that the loss of any one leaves a majority.
func limitPerLocation(next map[string]uint64, spares map[string]Candidate, locations map[string]string, limit int, locationOf func(Candidate) string, s PlanningInput) {
	if limit == 0 {
		return
	}
	for _, address := range slices.Sorted(maps.Keys(next)) {
		elsewhere := maps.Clone(spares)
		maps.DeleteFunc(elsewhere, func(_ string, c Candidate) bool { return votersAt(next, locations, locationOf(c)) >= limit })
		if votersAt(next, locations, locations[address]) <= limit || len(elsewhere) == 0 {
			continue
		}
		delete(next, address)
		before := maps.Clone(elsewhere)
		addBestCandidate(next, elsewhere, s, "")
		for o := range before {
			if _, left := elsewhere[o]; !left {
				delete(spares, o)
			}
		}
	}
}

// votersAt is how many of the voters stand in a zone or region.
func votersAt(voters map[string]uint64, locations map[string]string, location string) int {
	n := 0
	for address := range voters {
		if locations[address] == location {
			n++
		}
	}
	return n
}

// addBestCandidate moves the best of the spare candidates to the voters: the one whose zone
// and region hold the fewest of them, and of equals one in the place of the voter
// that it replaces.
func addBestCandidate(next map[string]uint64, spares map[string]Candidate, s PlanningInput, replaced string) {
	replacesElsewhere := func(c Candidate) int {
		if replaced != "" && s.Zones[replaced] == c.Zone {
			return 0
		}
		return 1
	}
	best := slices.MinFunc(slices.Collect(maps.Values(spares)), func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(votersAt(next, s.Regions, a.Region), votersAt(next, s.Regions, b.Region)),
			cmp.Compare(votersAt(next, s.Zones, a.Zone), votersAt(next, s.Zones, b.Zone)),
			cmp.Compare(replacesElsewhere(a), replacesElsewhere(b)),
			cmp.Compare(a.Address, b.Address))
	})
	delete(spares, best.Address)
	next[best.Address] = best.DiskID
	if s.Zones != nil {
		s.Zones[best.Address] = best.Zone
	}
	if s.Regions != nil {
		s.Regions[best.Address] = best.Region
	}
}
