package paxos

import "stoneford/schema"

// IsForAcceptor reports whether a process must pass an envelope to its Acceptor.
func IsForAcceptor(e *schema.Envelope) bool {
	switch e.Body.(type) {
	case *schema.Envelope_Prepare, *schema.Envelope_Accept, *schema.Envelope_FounderReport, *schema.Envelope_JoinRequest,
		*schema.Envelope_StateRequest, *schema.Envelope_StateResponse, *schema.Envelope_MembershipNotice:
		return true
	}
	return false
}

// IsForProposer reports whether a process must pass an envelope to its Proposer. Both
// the Acceptor and the Proposer receive membership notices.
func IsForProposer(e *schema.Envelope) bool {
	switch e.Body.(type) {
	case *schema.Envelope_Promise, *schema.Envelope_Accepted, *schema.Envelope_MembershipNotice:
		return true
	}
	return false
}
