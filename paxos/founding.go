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
// before any founder formed takes part anew: it cannot have voted.
func (a *Acceptor) foundReported(fx *Effects, from string, m *schema.Found) {
	if a.membership.Known() {
		a.notify(fx, from)
		return
	}
	if !slices.Contains(m.Founders, from) || !slices.Contains(m.Founders, a.self) {
		return
	}
	if len(a.founders) == 0 {
		a.founders, a.nextSend = slices.Clone(m.Founders), 0
	}
	report := voterMap(m.Voters)
	if a.lives[from] != report[from] {
		a.lives[from] = report[from]
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

// form makes the first membership once all founders know the same disks. A founder
// that has formed never reports anything else, so any two that form with each other's
// disks as they are form the same one.
func (a *Acceptor) form(fx *Effects) {
	if len(a.lives) != len(a.founders) {
		return
	}
	for _, f := range a.founders {
		if f != a.self && !maps.Equal(a.reports[f], a.lives) {
			return
		}
	}
	m := Membership{Number: firstMembership, Voters: maps.Clone(a.lives)}
	a.membership, a.active = m, m.Number
	a.recordMembership()
	fx.Log = append(fx.Log, a.Snapshot())
	for _, f := range a.founders {
		if f != a.self {
			a.notify(fx, f)
		}
	}
}

// recordMembership has the membership's register hold the first membership, so
// that its revision is the number of the membership ever after.
func (a *Acceptor) recordMembership() {
	r := a.at(MembershipKey)
	r.accepted = &schema.Ballot{Round: 1}
	r.value = &schema.Value{Revision: a.membership.Number, Data: a.membership.Encode()}
}
