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

// ReadMembership reads a membership from a message.
func ReadMembership(m *schema.Membership) Membership {
	return Membership{Number: m.GetNumber(), Voters: voterMap(m.GetVoters()), Previous: voterMap(m.GetPrevious())}
}

// Message is the membership as a message.
func (m Membership) Message() *schema.Membership {
	return &schema.Membership{Number: m.Number, Voters: voterList(m.Voters), Previous: voterList(m.Previous)}
}

// Encode is the membership as the data of its register.
func (m Membership) Encode() []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m.Message())
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
	return ReadMembership(m), nil
}

// Known reports whether this is a membership at all.
func (m Membership) Known() bool { return m.Number > 0 }

// Addresses are the voters' addresses in order.
func (m Membership) Addresses() []string { return slices.Sorted(maps.Keys(m.Voters)) }

// Has reports whether the disk of that identity at that address votes.
func (m Membership) Has(address string, life uint64) bool {
	l, ok := m.Voters[address]
	return ok && l == life
}

// Quorum is how many voters are a majority.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

// Next is the membership after this one with the voters given.
func (m Membership) Next(voters map[string]uint64) Membership {
	return Membership{Number: m.Number + 1, Voters: maps.Clone(voters), Previous: maps.Clone(m.Voters)}
}

func voterMap(list []*schema.Voter) map[string]uint64 {
	m := make(map[string]uint64, len(list))
	for _, v := range list {
		m[v.Address] = v.Life
	}
	return m
}

func voterList(m map[string]uint64) []*schema.Voter {
	list := make([]*schema.Voter, 0, len(m))
	for _, a := range slices.Sorted(maps.Keys(m)) {
		list = append(list, &schema.Voter{Address: a, Life: m[a]})
	}
	return list
}

// Candidate is a process that asks to vote.
type Candidate struct {
	Address string
	Life    uint64
	Zone    string
	Region  string
	Counts  bool  // it is of the processes whose loss is counted
	At      int64 // when it last asked
}

// Survey is what a planner knows of the voters and of those who ask to vote.
type Survey struct {
	Lost       map[string]bool   // voters that are silent or leave, by address
	Candidates []Candidate       // fresh ones only
	Zones      map[string]string // of each voter, as far as known, by address
	Regions    map[string]string
	Target     int // voters needed for what may be lost
	// Most voters in one zone or region, 0 for any number.
	MostInZone, MostInRegion int
}

// Plan is the membership that should follow, and whether one should at all. A
// voter whose address is used by another disk is replaced by that one; a lost
// voter is replaced if another process may take its place; voters are added up to
// the target, and never taken away otherwise. One voter is replaced at a time, so
// that no replacement rests on more than one newcomer that holds nothing yet.
func Plan(current Membership, s Survey) (Membership, bool) {
	next := maps.Clone(current.Voters)
	spare := map[string]Candidate{}
	for _, c := range s.Candidates {
		if _, votes := current.Voters[c.Address]; votes {
			if maps.Equal(next, current.Voters) {
				next[c.Address] = c.Life // the disk that voted before is gone
			}
		} else if c.Counts {
			spare[c.Address] = c
		}
	}
	for _, address := range slices.Sorted(maps.Keys(current.Voters)) {
		if !s.Lost[address] || !maps.Equal(next, current.Voters) || len(spare) == 0 {
			continue
		}
		delete(next, address)
		take(next, spare, s, address)
	}
	for len(next) < s.Target && len(next)+len(spare) >= s.Target {
		take(next, spare, s, "")
	}
	spread(next, spare, s.Zones, s.MostInZone, func(c Candidate) string { return c.Zone }, s)
	spread(next, spare, s.Regions, s.MostInRegion, func(c Candidate) string { return c.Region }, s)
	if maps.Equal(next, current.Voters) {
		return Membership{}, false
	}
	return current.Next(next), true
}

// spread replaces voters of zones, or regions, that hold more than the most allowed
// by candidates elsewhere, so that the loss of any one leaves a majority.
func spread(next map[string]uint64, spare map[string]Candidate, places map[string]string, most int, place func(Candidate) string, s Survey) {
	if most == 0 {
		return
	}
	for _, address := range slices.Sorted(maps.Keys(next)) {
		elsewhere := maps.Clone(spare)
		maps.DeleteFunc(elsewhere, func(_ string, c Candidate) bool { return inPlace(next, places, place(c)) >= most })
		if inPlace(next, places, places[address]) <= most || len(elsewhere) == 0 {
			continue
		}
		delete(next, address)
		before := maps.Clone(elsewhere)
		take(next, elsewhere, s, "")
		for o := range before {
			if _, left := elsewhere[o]; !left {
				delete(spare, o)
			}
		}
	}
}

// inPlace is how many of the voters stand in a zone or region.
func inPlace(voters map[string]uint64, places map[string]string, place string) int {
	n := 0
	for address := range voters {
		if places[address] == place {
			n++
		}
	}
	return n
}

// take moves the best of the spare candidates to the voters: the one whose zone
// and region hold the fewest of them, and of equals one in the place of the voter
// that it replaces.
func take(next map[string]uint64, spare map[string]Candidate, s Survey, replaced string) {
	elsewhere := func(c Candidate) int {
		if replaced != "" && s.Zones[replaced] == c.Zone {
			return 0
		}
		return 1
	}
	best := slices.MinFunc(slices.Collect(maps.Values(spare)), func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(inPlace(next, s.Regions, a.Region), inPlace(next, s.Regions, b.Region)),
			cmp.Compare(inPlace(next, s.Zones, a.Zone), inPlace(next, s.Zones, b.Zone)),
			cmp.Compare(elsewhere(a), elsewhere(b)),
			cmp.Compare(a.Address, b.Address))
	})
	delete(spare, best.Address)
	next[best.Address] = best.Life
	if s.Zones != nil {
		s.Zones[best.Address] = best.Zone
	}
	if s.Regions != nil {
		s.Regions[best.Address] = best.Region
	}
}
