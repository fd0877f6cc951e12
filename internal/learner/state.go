package learner

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"stoneford/internal/fleetstate"
)

// VoterStates are the voters as this process knows them.
func (v *Learner) VoterStates(now int64) []fleetstate.Voter {
	out := make([]fleetstate.Voter, 0, len(v.addresses))
	for _, o := range v.addresses {
		x := v.voters[o]
		s := fleetstate.Voter{Node: o, Self: o == v.self, Zone: x.zone, Voting: v.isActiveVoter(o, x), Membership: x.activeMembership, Run: x.run, HeardUs: fleetstate.Unknown}
		if x.diskID != 0 {
			s.Disk = fleetstate.DiskName(x.diskID)
		}
		if x.lastResponse > 0 {
			s.HeardUs = max(now-x.lastResponse, 0)
		}
		for k, revision := range v.highestSeen {
			if x.cells[k].GetValue().GetRevision() < revision {
				s.LaggingRegisters++
			}
		}
		out = append(out, s)
	}
	return out
}

// RegisterStates are the registers heard of, by key.
func (v *Learner) RegisterStates() []fleetstate.Register {
	out := make([]fleetstate.Register, 0, len(v.highestSeen))
	for _, k := range slices.Sorted(maps.Keys(v.highestSeen)) {
		out = append(out, fleetstate.Register{Key: k, Revision: v.committed[k].Revision, HighestSeen: v.highestSeen[k]})
	}
	return out
}

// Run tells this process's run from earlier ones.
func (v *Learner) Run() uint64 { return v.run }

// DescribeRegister describes for the log what keeps a register from being learned: its
// revision as known here and, of each voter, how long ago it was heard, whether its
// word counts, and the revision and ballot that it holds.
func (v *Learner) DescribeRegister(now int64, key string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s revision %d, newest seen %d, membership %d", key, v.committed[key].Revision, v.highestSeen[key], v.membership.Number)
	for _, address := range v.addresses {
		x := v.voters[address]
		fmt.Fprintf(&b, "; %s", address)
		if x.lastResponse == 0 {
			b.WriteString(" never heard")
			continue
		}
		cell := x.cells[key]
		fmt.Fprintf(&b, " heard %d ms ago, counts %t, revision %d at %d.%d", max(now-x.lastResponse, 0)/1000, v.isActiveVoter(address, x),
			cell.GetValue().GetRevision(), cell.GetAccepted().GetMembership(), cell.GetAccepted().GetNumber())
	}
	return b.String()
}
