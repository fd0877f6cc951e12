package paxos

import (
	"maps"
	"slices"

	"stoneford/schema"
)

// firstMembership is the number of the membership that founders form.
const firstMembership = 1

// found tells the other founders which disks this one knows to be theirs.
func (a *Acceptor) found(fx *Effects) {
	if !a.logged {
		a.logFounders(fx)
	}
	for _, f := range a.founders {
		if f != a.self {
			a.send(fx, f, &schema.Envelope{Body: &schema.Envelope_Found{
				Found: &schema.Found{Founders: a.founders, Voters: voterList(a.lives)}}})
		}
	}
	a.form(fx)
}

// foundReported takes what another founder knows. One whose disk is empty again
// before any founder formed takes part anew: it cannot have voted. Of two disks of
// one founder the greater identity counts for everybody, so what a founder knows
// only ever grows, however late an envelope of a lost disk comes.
func (a *Acceptor) foundReported(fx *Effects, from string, m *schema.Found) {
	if a.membership.Known() {
		a.send(fx, from, &schema.Envelope{Body: &schema.Envelope_MembershipNotice{
			MembershipNotice: &schema.MembershipNotice{Membership: a.membership.Message(), Known: m.Voters}}})
		return
	}
	if !slices.Contains(m.Founders, from) || !slices.Contains(m.Founders, a.self) {
		return
	}
	if len(a.founders) == 0 {
		a.founders, a.nextSend = slices.Clone(m.Founders), 0
	}
	report := voterMap(m.Voters)
	newer := a.learnDisk(from, report[from])
	if a.outgrow(report[a.self]) || newer {
		a.logFounders(fx)
		a.nextSend = 0
	}
	a.reports[from] = report
	a.form(fx)
}

// logFounders keeps who founds, and whose disks are known, over a restart.
func (a *Acceptor) logFounders(fx *Effects) {
	a.logged = true
	fx.Log = append(fx.Log, &schema.VoterLog{Life: a.life, Founders: a.knownFounders()})
}

// knownFounders are the founders, with the identities of those disks that are known.
func (a *Acceptor) knownFounders() []*schema.Voter {
	var out []*schema.Voter
	for _, f := range a.founders {
		out = append(out, &schema.Voter{Address: f, Life: a.lives[f]})
	}
	return out
}

func (a *Acceptor) restoreFounders(founders []*schema.Voter) {
	a.founders = nil
	for _, f := range founders {
		a.founders = append(a.founders, f.Address)
		if f.Life != 0 {
			a.lives[f.Address] = f.Life
		}
	}
}

// learnDisk takes a founder's disk if it is newer than the one known.
func (a *Acceptor) learnDisk(founder string, life uint64) bool {
	if life <= a.lives[founder] {
		return false
	}
	a.lives[founder] = life
	return true
}

// outgrow gives this disk an identity above one of a disk that was lost here, so
// that it counts for the others. It has not voted under the one it had.
func (a *Acceptor) outgrow(lost uint64) bool {
	if lost <= a.life {
		return false
	}
	a.life = lost + 1 + a.life>>32
	a.lives[a.self] = a.life
	return true
}

// form makes the first membership once all founders know the same disks. A founder
// that has formed never reports anything else, so any two that form with each other's
// disks as they are form the same one.
func (a *Acceptor) form(fx *Effects) {
	if !a.knowsFounders() {
		return
	}
	for _, f := range a.founders {
		if f != a.self && !maps.Equal(a.reports[f], a.lives) {
			return
		}
	}
	a.adopt(fx, Membership{Number: firstMembership, Voters: maps.Clone(a.lives)})
	for _, f := range a.founders {
		if f != a.self {
			a.notify(fx, f)
		}
	}
}

// knowsFounders reports whether this founder knows a disk of each, and so may have
// told the others that it would form with these.
func (a *Acceptor) knowsFounders() bool {
	return len(a.founders) > 0 && len(a.lives) == len(a.founders)
}

// Founds reports whether this acceptor is a founder that knows no membership yet.
func (a *Acceptor) Founds() bool {
	return slices.Contains(a.founders, a.self) && !a.membership.Known()
}

// trusts reports whether a membership may be taken from a process. A founder that
// knows another disk of the sender's takes no first membership from it, since the
// others may form another with that disk, unless the sender knows of that disk too:
// then the sender is not the disk that was lost.
func (a *Acceptor) trusts(from string, m Membership, known map[string]uint64) bool {
	if m.Number != firstMembership || a.membership.Known() || !a.knowsFounders() {
		return true
	}
	return m.Has(from, a.lives[from]) || known[from] == a.lives[from] && known[from] != 0
}

// recordMembership has the membership's register hold the first membership, so
// that its revision is the number of the membership ever after.
func (a *Acceptor) recordMembership() {
	r := a.at(MembershipKey)
	r.accepted = &schema.Ballot{Round: 1}
	r.value = &schema.Value{Revision: a.membership.Number, Data: a.membership.Encode()}
}
