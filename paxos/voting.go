package paxos

import "stoneford/schema"

// admits reports whether this acceptor votes on a message that was sent under a
// membership. A sender with another membership is sent the newest one instead.
func (a *Acceptor) admits(effects *Effects, from string, membership uint64, key string) bool {
	if membership != a.membership.Number {
		a.sendMembershipNotice(effects, from)
		return false
	}
	return a.activeMembership == membership && (!a.hasAcceptedSuccessor() || key == MembershipKey)
}

// handlePrepare implements phase 1 of Paxos: it promises to reject ballots lower than
// that of the prepare, and replies with the value accepted so far. A prepare without a
// ballot is a quorum read, which makes no promise and logs nothing.
func (a *Acceptor) handlePrepare(effects *Effects, from string, prepare *schema.Prepare) {
	if !a.admits(effects, from, prepare.Membership, prepare.Key) {
		return
	}
	r := a.ensureRegister(prepare.Key)
	promise := &schema.Promise{
		Key:        prepare.Key,
		Attempt:    prepare.Attempt,
		Membership: a.activeMembership,
		DiskId:     a.diskID,
	}
	switch {
	case prepare.Ballot == nil:
		promise.Granted = true
	case prepare.Ballot.Membership == a.activeMembership && BallotLess(r.promised, prepare.Ballot):
		r.promised = cloneBallot(prepare.Ballot)
		promise.Granted = true
		effects.Log = append(effects.Log, a.logRegister(prepare.Key))
	}
	promise.Promised = cloneBallot(r.promised)
	promise.Accepted = cloneBallot(r.accepted)
	if prepare.KnownBallot != nil && r.value != nil && BallotEqual(prepare.KnownBallot, r.accepted) {
		promise.ValueOmitted = true
	} else {
		promise.Value = r.value
	}
	a.send(effects, from, &schema.Envelope{Body: &schema.Envelope_Promise{Promise: promise}})
}

// handleAccept implements phase 2 of Paxos: it accepts the value unless a higher ballot
// was promised.
func (a *Acceptor) handleAccept(effects *Effects, from string, accept *schema.Accept) {
	if !a.admits(effects, from, accept.Membership, accept.Key) {
		return
	}
	r := a.ensureRegister(accept.Key)
	value := accept.Value
	if accept.ValueBallot != nil {
		if r.value == nil || !BallotEqual(accept.ValueBallot, r.accepted) {
			return // the proposer includes the value in its retry
		}
		value = r.value
	}
	reply := &schema.Accepted{
		Key:        accept.Key,
		Attempt:    accept.Attempt,
		Membership: a.activeMembership,
		DiskId:     a.diskID,
	}
	if a.mayAccept(r, accept, value) {
		r.promised, r.accepted, r.value = cloneBallot(accept.Ballot), cloneBallot(accept.Ballot), value
		reply.Granted = true
		effects.Log = append(effects.Log, a.logRegister(accept.Key))
		effects.AcceptedKeys = append(effects.AcceptedKeys, accept.Key)
	}
	reply.Promised = cloneBallot(r.promised)
	a.send(effects, from, &schema.Envelope{Body: &schema.Envelope_Accepted{Accepted: reply}})
}

// mayAccept checks the invariants of an acceptance: the ballot is not lower than the
// promised one, it belongs to the active membership, and an accepted membership is at
// most the direct successor of the active one.
func (a *Acceptor) mayAccept(r *register, accept *schema.Accept, value *schema.Value) bool {
	if accept.Key == MembershipKey && value.GetRevision() > a.activeMembership+1 {
		return false
	}
	return accept.Ballot.GetMembership() == a.activeMembership && !BallotLess(accept.Ballot, r.promised)
}
