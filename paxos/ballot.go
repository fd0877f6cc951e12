package paxos

import "stoneford/schema"

// Less orders ballots: by membership, then by round, then by proposer. A nil
// ballot is below all others.
func Less(a, b *schema.Ballot) bool {
	switch {
	case a.GetMembership() != b.GetMembership():
		return a.GetMembership() < b.GetMembership()
	case a.GetRound() != b.GetRound():
		return a.GetRound() < b.GetRound()
	default:
		return a.GetProposer() < b.GetProposer()
	}
}

// Same reports whether two ballots are one.
func Same(a, b *schema.Ballot) bool { return !Less(a, b) && !Less(b, a) }

func copyBallot(b *schema.Ballot) *schema.Ballot {
	return &schema.Ballot{Membership: b.GetMembership(), Round: b.GetRound(), Proposer: b.GetProposer()}
}
