package voterview

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"stoneford/fleetstate"
)

// VoterStates are the voters as this process knows them.
func (v *View) VoterStates(now int64) []fleetstate.Voter {
	out := make([]fleetstate.Voter, 0, len(v.voters))
	for _, o := range v.voters {
		x := v.vs[o]
		s := fleetstate.Voter{Node: o, Self: o == v.self, Zone: x.zone, Votes: v.counts(o, x), Membership: x.active, Run: x.life, HeardUs: fleetstate.Never}
		if x.disk != 0 {
			s.Disk = fleetstate.DiskName(x.disk)
		}
		if x.heard > 0 {
			s.HeardUs = max(now-x.heard, 0)
		}
		for k, revision := range v.seen {
			if x.cells[k].GetValue().GetRevision() < revision {
				s.Behind++
			}
		}
		out = append(out, s)
	}
	return out
}

// RegisterStates are the registers heard of, by key.
func (v *View) RegisterStates() []fleetstate.Register {
	out := make([]fleetstate.Register, 0, len(v.seen))
	for _, k := range slices.Sorted(maps.Keys(v.seen)) {
		out = append(out, fleetstate.Register{Key: k, Revision: v.chosen[k].Revision, Seen: v.seen[k]})
	}
	return out
}

// Run tells this process's run from earlier ones.
func (v *View) Run() uint64 { return v.run }

// Standing describes for the log what keeps a register from being learned: its
// revision as known here and, of each voter, how long ago it was heard, whether its
// word counts, and the revision and ballot that it holds.
func (v *View) Standing(now int64, key string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s revision %d, newest seen %d, membership %d", key, v.chosen[key].Revision, v.seen[key], v.membership.Number)
	for _, address := range v.voters {
		x := v.vs[address]
		fmt.Fprintf(&b, "; %s", address)
		if x.heard == 0 {
			b.WriteString(" never heard")
			continue
		}
		cell := x.cells[key]
		fmt.Fprintf(&b, " heard %d ms ago, counts %t, revision %d at %d.%d", max(now-x.heard, 0)/1000, v.counts(address, x),
			cell.GetValue().GetRevision(), cell.GetAccepted().GetMembership(), cell.GetAccepted().GetRound())
	}
	return b.String()
}
