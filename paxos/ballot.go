package paxos

import "stoneford/schema"

// BallotLess orders ballots by membership, then by number, then by proposer. A nil
// ballot is below all others.
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

// BallotEqual reports whether neither ballot is below the other.
func BallotEqual(a, b *schema.Ballot) bool { return !BallotLess(a, b) && !BallotLess(b, a) }

// cloneBallot returns a ballot of its own; a nil one becomes the zero ballot.
func cloneBallot(b *schema.Ballot) *schema.Ballot {
	return &schema.Ballot{Membership: b.GetMembership(), Number: b.GetNumber(), Proposer: b.GetProposer()}
}
