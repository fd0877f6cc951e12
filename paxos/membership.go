package paxos

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"stoneford/schema"
)

// MembershipKey is the key of the register whose revision n holds membership n. An
// acceptor that has accepted a successor of its active membership stops voting under
// the active membership, except on this register.
const MembershipKey = "membership"

// Membership is a numbered set of voters. It is immutable: no method modifies it.
type Membership struct {
	Number   uint64            // from 1 on; 0 means no membership
	Voters   map[string]uint64 // disk ID by address
	Previous map[string]uint64 // voters of the membership before this one
}

// MembershipFromProto converts a message to a membership; a nil message gives the zero
// membership.
func MembershipFromProto(m *schema.Membership) Membership {
	return Membership{
		Number:   m.GetNumber(),
		Voters:   votersFromProto(m.GetVoters()),
		Previous: votersFromProto(m.GetPrevious()),
	}
}

// Proto returns the membership as a message.
func (m Membership) Proto() *schema.Membership {
	return &schema.Membership{
		Number:   m.Number,
		Voters:   votersToProto(m.Voters),
		Previous: votersToProto(m.Previous),
	}
}

// Encode encodes the membership as the data of its register. Equal memberships have
// equal encodings.
func (m Membership) Encode() []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m.Proto())
	if err != nil {
		panic(err) // cannot fail: the message contains only strings and numbers
	}
	return data
}

// DecodeMembership decodes the data of the membership's register.
func DecodeMembership(data []byte) (Membership, error) {
	m := &schema.Membership{}
	if err := proto.Unmarshal(data, m); err != nil {
		return Membership{}, fmt.Errorf("decode membership: %w", err)
	}
	return MembershipFromProto(m), nil
}

// Known reports whether the membership is not the zero value.
func (m Membership) Known() bool { return m.Number > 0 }

// Addresses returns the voters' addresses, sorted.
func (m Membership) Addresses() []string { return slices.Sorted(maps.Keys(m.Voters)) }

// HasVoter reports whether the disk with this identity at this address is a voter.
func (m Membership) HasVoter(address string, diskID uint64) bool {
	return hasVoter(m.Voters, address, diskID)
}

// Quorum returns the number of voters that form a majority.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

// Next returns the membership that follows this one, with the given voters.
func (m Membership) Next(voters map[string]uint64) Membership {
	return Membership{Number: m.Number + 1, Voters: maps.Clone(voters), Previous: maps.Clone(m.Voters)}
}

func hasVoter(voters map[string]uint64, address string, diskID uint64) bool {
	id, ok := voters[address]
	return ok && id == diskID
}

func votersFromProto(list []*schema.Voter) map[string]uint64 {
	voters := make(map[string]uint64, len(list))
	for _, voter := range list {
		voters[voter.Address] = voter.DiskId
	}
	return voters
}

// votersToProto returns the voters sorted by address, so that equal memberships have
// equal encodings.
func votersToProto(voters map[string]uint64) []*schema.Voter {
	list := make([]*schema.Voter, 0, len(voters))
	for _, address := range slices.Sorted(maps.Keys(voters)) {
		list = append(list, &schema.Voter{Address: address, DiskId: voters[address]})
	}
	return list
}
