package paxos

import "stoneford/schema"

// AdoptMembership makes a membership that is known to be chosen the newest one. It
// ignores memberships that are not newer. The acceptor no longer votes under earlier
// memberships.
func (a *Acceptor) AdoptMembership(m Membership) Effects {
	var effects Effects
	a.adoptMembership(&effects, m)
	return effects
}

func (a *Acceptor) adoptMembership(effects *Effects, m Membership) {
	if m.Number <= a.membership.Number {
		return
	}
	a.membership, a.nextRequestAt = m, 0
	a.transfer = newStateTransfer()
	effects.Log = append(effects.Log, &schema.WALEntry{DiskId: a.diskID, Membership: m.Proto()})
	a.identityLogged = true
	a.activate(effects)
}

// sendMembershipNotice sends the newest membership known here to another process.
func (a *Acceptor) sendMembershipNotice(effects *Effects, to string) {
	if a.membership.Known() {
		a.send(effects, to, membershipNotice(a.membership, nil))
	}
}

// handleMembershipNotice adopts a membership that another process knows to be chosen.
// If the membership known here is newer, it replies with that one.
func (a *Acceptor) handleMembershipNotice(effects *Effects, from string, notice *schema.MembershipNotice) {
	m := MembershipFromProto(notice.Membership)
	if m.Number < a.membership.Number {
		a.sendMembershipNotice(effects, from)
		return
	}
	if a.mayAdoptFrom(from, m, votersFromProto(notice.ReportedVoters)) {
		a.adoptMembership(effects, m)
	}
}

// membershipNotice returns a message that announces a membership; reported are the
// voters of the founder's report that the message replies to, if any.
func membershipNotice(m Membership, reported []*schema.Voter) *schema.Envelope {
	return &schema.Envelope{Body: &schema.Envelope_MembershipNotice{
		MembershipNotice: &schema.MembershipNotice{Membership: m.Proto(), ReportedVoters: reported}}}
}
