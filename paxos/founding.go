package paxos

import (
	"maps"
	"slices"

	"stoneford/schema"
)

// firstMembership is the number of the membership that the founders form.
const firstMembership = 1

// founding holds what an acceptor knows about the founders before the first membership
// is formed (design 3.3). This knowledge is monotonic: if a founder has had several
// disks, the disk with the highest identity replaces the others permanently, at every
// process.
type founding struct {
	founders []string                     // addresses, nil at a process that knows no founders
	diskIDs  map[string]uint64            // newest known disk of each founder, including this one
	reports  map[string]map[string]uint64 // disk IDs in the latest report of each other founder
}

func newFounding(self string, diskID uint64, founders []string) founding {
	return founding{
		founders: slices.Clone(founders),
		diskIDs:  map[string]uint64{self: diskID},
		reports:  map[string]map[string]uint64{},
	}
}

// restore replays the founders and their known disks from a log entry.
func (f *founding) restore(founders []*schema.Voter) {
	f.founders = nil
	for _, voter := range founders {
		f.founders = append(f.founders, voter.Address)
		if voter.DiskId != 0 {
			f.diskIDs[voter.Address] = voter.DiskId
		}
	}
}

// voters returns the founders in their configured order, with the disks known so far.
func (f *founding) voters() []*schema.Voter {
	var voters []*schema.Voter
	for _, address := range f.founders {
		voters = append(voters, &schema.Voter{Address: address, DiskId: f.diskIDs[address]})
	}
	return voters
}

// learnDisk records a founder's disk if it is newer than the known disk, and reports
// whether it was.
func (f *founding) learnDisk(founder string, diskID uint64) bool {
	if diskID <= f.diskIDs[founder] {
		return false
	}
	f.diskIDs[founder] = diskID
	return true
}

// knowsAllDisks reports whether a disk of each founder is known. From then on, the
// reports of this founder may let the others form the first membership.
func (f *founding) knowsAllDisks() bool {
	return len(f.founders) > 0 && len(f.diskIDs) == len(f.founders)
}

// allReportsMatch reports whether the latest reports of all other founders name exactly
// the disks known here.
func (f *founding) allReportsMatch(self string) bool {
	for _, founder := range f.founders {
		if founder != self && !maps.Equal(f.reports[founder], f.diskIDs) {
			return false
		}
	}
	return true
}

// IsFounding reports whether this acceptor is a founder and does not know a membership
// yet.
func (a *Acceptor) IsFounding() bool {
	return slices.Contains(a.founding.founders, a.self) && !a.membership.Known()
}

// sendFounderReports sends the disks known here to the other founders, after logging
// them.
func (a *Acceptor) sendFounderReports(effects *Effects) {
	if !a.identityLogged {
		a.logFounders(effects)
	}
	for _, founder := range a.founding.founders {
		if founder != a.self {
			a.send(effects, founder, &schema.Envelope{Body: &schema.Envelope_FounderReport{
				FounderReport: &schema.FounderReport{Founders: a.founding.founders, Voters: votersToProto(a.founding.diskIDs)}}})
		}
	}
	a.formFirstMembership(effects)
}

// handleFounderReport records the disks that another founder knows. A founder that lost
// its disk before any founder formed the membership takes part with its new disk, since
// it cannot have voted.
func (a *Acceptor) handleFounderReport(effects *Effects, from string, m *schema.FounderReport) {
	if a.membership.Known() {
		a.send(effects, from, membershipNotice(a.membership, m.Voters))
		return
	}
	if !slices.Contains(m.Founders, from) || !slices.Contains(m.Founders, a.self) {
		return
	}
	if len(a.founding.founders) == 0 {
		a.founding.founders, a.nextRequestAt = slices.Clone(m.Founders), 0
	}
	report := votersFromProto(m.Voters)
	newDisk := a.founding.learnDisk(from, report[from])
	if a.raiseDiskID(report[a.self]) || newDisk {
		a.logFounders(effects)
		a.nextRequestAt = 0
	}
	a.founding.reports[from] = report
	a.formFirstMembership(effects)
}

// raiseDiskID raises this disk's identity above that of a disk lost at this address, so
// that the other founders accept it as the newer disk, and reports whether the identity
// changed. This is safe because this disk has not voted under its previous identity.
func (a *Acceptor) raiseDiskID(lost uint64) bool {
	if lost <= a.diskID {
		return false
	}
	a.diskID = lost + 1 + a.diskID>>32
	a.founding.diskIDs[a.self] = a.diskID
	return true
}

// formFirstMembership forms membership 1 once all founders know the same disks. A
// founder that has formed the membership never reports other disks afterwards, so any
// two founders that form memberships with each other's disks form the same one.
func (a *Acceptor) formFirstMembership(effects *Effects) {
	if !a.founding.knowsAllDisks() || !a.founding.allReportsMatch(a.self) {
		return
	}
	a.adoptMembership(effects, Membership{Number: firstMembership, Voters: maps.Clone(a.founding.diskIDs)})
	for _, founder := range a.founding.founders {
		if founder != a.self {
			a.sendMembershipNotice(effects, founder)
		}
	}
}

// mayAdoptFrom reports whether a membership received from a process may be adopted;
// reported are the disks of the founder's report that the sender replies to, if any. A
// founder that knows a disk of each founder rejects a first membership that does not
// name the sender's known disk, since the others may form a membership with that disk.
// The exception is a reply to a report that names the known disk: such a reply shows
// that the sender's disk is not the one that was lost.
func (a *Acceptor) mayAdoptFrom(from string, m Membership, reported map[string]uint64) bool {
	if m.Number != firstMembership || a.membership.Known() || !a.founding.knowsAllDisks() {
		return true
	}
	known := a.founding.diskIDs[from]
	return m.HasVoter(from, known) || reported[from] == known && known != 0
}

// recordFirstMembership stores the first membership in the membership's register, so
// that the register's revision always equals the membership's number.
func (a *Acceptor) recordFirstMembership() {
	r := a.ensureRegister(MembershipKey)
	r.accepted = &schema.Ballot{Number: 1}
	r.value = &schema.Value{Revision: a.membership.Number, Data: a.membership.Encode()}
}
