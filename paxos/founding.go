package paxos

import (
	"maps"
	"slices"

	"stoneford/schema"
)

// firstMembership is the number of the membership that founders form.
const firstMembership = 1

// sendFounderReports tells the other founders which disks this one knows to be theirs.
func (a *Acceptor) sendFounderReports(effects *Effects) {
	if !a.identityLogged {
		a.logFounders(effects)
	}
	for _, f := range a.founders {
		if f != a.self {
			a.send(effects, f, &schema.Envelope{Body: &schema.Envelope_FounderReport{
				FounderReport: &schema.FounderReport{Founders: a.founders, Voters: votersToProto(a.founderDisks)}}})
		}
	}
	a.formFirstMembership(effects)
}

// handleFounderReport takes what another founder knows. One whose disk is empty again
// before any founder formed takes part anew: it cannot have voted. Of two disks of
// one founder the greater identity counts for everybody, so what a founder knows
// only ever grows, however late an envelope of a lost disk comes.
func (a *Acceptor) handleFounderReport(effects *Effects, from string, m *schema.FounderReport) {
	if a.membership.Known() {
		a.send(effects, from, &schema.Envelope{Body: &schema.Envelope_MembershipNotice{
			MembershipNotice: &schema.MembershipNotice{Membership: a.membership.Proto(), ReportedVoters: m.Voters}}})
		return
	}
	if !slices.Contains(m.Founders, from) || !slices.Contains(m.Founders, a.self) {
		return
	}
	if len(a.founders) == 0 {
		a.founders, a.nextRequestAt = slices.Clone(m.Founders), 0
	}
	report := votersFromProto(m.Voters)
	newer := a.learnFounderDisk(from, report[from])
	if a.raiseDiskID(report[a.self]) || newer {
		a.logFounders(effects)
		a.nextRequestAt = 0
	}
	a.founderReports[from] = report
	a.formFirstMembership(effects)
}

// logFounders keeps who founds, and whose disks are known, over a restart.
func (a *Acceptor) logFounders(effects *Effects) {
	a.identityLogged = true
	effects.Log = append(effects.Log, &schema.WALEntry{DiskId: a.diskID, Founders: a.founderVoters()})
}

// founderVoters are the founders, with the identities of those disks that are known.
func (a *Acceptor) founderVoters() []*schema.Voter {
	var out []*schema.Voter
	for _, f := range a.founders {
		out = append(out, &schema.Voter{Address: f, DiskId: a.founderDisks[f]})
	}
	return out
}

func (a *Acceptor) restoreFounders(founders []*schema.Voter) {
	a.founders = nil
	for _, f := range founders {
		a.founders = append(a.founders, f.Address)
		if f.DiskId != 0 {
			a.founderDisks[f.Address] = f.DiskId
		}
	}
}

// learnFounderDisk takes a founder's disk if it is newer than the one known.
func (a *Acceptor) learnFounderDisk(founder string, diskID uint64) bool {
	if diskID <= a.founderDisks[founder] {
		return false
	}
	a.founderDisks[founder] = diskID
	return true
}

// raiseDiskID gives this disk an identity above one of a disk that was lost here, so
// that it counts for the others. It has not voted under the one it had.
func (a *Acceptor) raiseDiskID(lost uint64) bool {
	if lost <= a.diskID {
		return false
	}
	a.diskID = lost + 1 + a.diskID>>32
	a.founderDisks[a.self] = a.diskID
	return true
}

// formFirstMembership makes the first membership once all founders know the same disks. A founder
// that has formed never reports anything else, so any two that form with each other's
// disks as they are form the same one.
func (a *Acceptor) formFirstMembership(effects *Effects) {
	if !a.knowsAllFounderDisks() {
		return
	}
	for _, f := range a.founders {
		if f != a.self && !maps.Equal(a.founderReports[f], a.founderDisks) {
			return
		}
	}
	a.adoptMembership(effects, Membership{Number: firstMembership, Voters: maps.Clone(a.founderDisks)})
	for _, f := range a.founders {
		if f != a.self {
			a.sendMembershipNotice(effects, f)
		}
	}
}

// knowsAllFounderDisks reports whether this founder knows a disk of each, and so may have
// told the others that it would form with these.
func (a *Acceptor) knowsAllFounderDisks() bool {
	return len(a.founders) > 0 && len(a.founderDisks) == len(a.founders)
}

// IsFounding reports whether this acceptor is a founder that knows no membership yet.
func (a *Acceptor) IsFounding() bool {
	return slices.Contains(a.founders, a.self) && !a.membership.Known()
}

// trusts reports whether a membership may be taken from a process. A founder that
// knows another disk of the sender's takes no first membership from it, since the
// others may form another with that disk, unless the sender knows of that disk too:
// then the sender is not the disk that was lost.
func (a *Acceptor) trusts(from string, m Membership, known map[string]uint64) bool {
	if m.Number != firstMembership || a.membership.Known() || !a.knowsAllFounderDisks() {
		return true
	}
	return m.HasVoter(from, a.founderDisks[from]) || known[from] == a.founderDisks[from] && known[from] != 0
}

// recordFirstMembership has the membership's register hold the first membership, so
// that its revision is the number of the membership ever after.
func (a *Acceptor) recordFirstMembership() {
	r := a.ensureRegister(MembershipKey)
	r.accepted = &schema.Ballot{Number: 1}
	r.value = &schema.Value{Revision: a.membership.Number, Data: a.membership.Encode()}
}
