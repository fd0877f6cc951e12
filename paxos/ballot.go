package paxos

import "stoneford/schema"

// BallotLess reports whether a is lower than b. Ballots are ordered by membership, then
// by number, then by proposer; a nil ballot equals the zero ballot.
func BallotLess(a, b *schema.Ballot) bool {
	switch {
	case a.GetMembership() != b.GetMembership():
		return a.GetMembership() < b.GetMembership()
	case a.GetNumber() != b.GetNumber():
		return a.GetNumber() < b.GetNumber()
	default:
		return a.GetProposer() < b.GetProposer()
	}
}

// BallotEqual reports whether neither ballot is lower than the other.
func BallotEqual(a, b *schema.Ballot) bool { return !BallotLess(a, b) && !BallotLess(b, a) }

// cloneBallot returns a copy of a ballot; a nil ballot becomes the zero ballot.
func cloneBallot(b *schema.Ballot) *schema.Ballot {
	return &schema.Ballot{Membership: b.GetMembership(), Number: b.GetNumber(), Proposer: b.GetProposer()}
}
