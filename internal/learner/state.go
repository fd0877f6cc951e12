package learner

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"stoneford/internal/fleetstate"
)

// VoterStates returns the voters as this process knows them, for operators.
func (l *Learner) VoterStates(now int64) []fleetstate.Voter {
	states := make([]fleetstate.Voter, 0, len(l.addresses))
	for _, address := range l.addresses {
		states = append(states, l.voterState(now, address))
	}
	return states
}

func (l *Learner) voterState(now int64, address string) fleetstate.Voter {
	voter := l.voters[address]
	state := fleetstate.Voter{
		NodeAddress: address,
		Self:        address == l.config.Self,
		Zone:        voter.zone,
		Voting:      l.isActiveVoter(address, voter),
		Membership:  voter.activeMembership,
		Run:         voter.run,
		HeardUs:     fleetstate.Unknown,
	}
	if voter.diskID != 0 {
		state.Disk = fleetstate.FormatDiskID(voter.diskID)
	}
	if voter.lastResponse > 0 {
		state.HeardUs = max(now-voter.lastResponse, 0)
	}
	for key, revision := range l.registers.highestSeen {
		if voter.acceptedRevision(key) < revision {
			state.LaggingRegisters++
		}
	}
	return state
}

// RegisterStates returns the known registers sorted by key, for operators.
func (l *Learner) RegisterStates() []fleetstate.Register {
	states := make([]fleetstate.Register, 0, len(l.registers.highestSeen))
	for _, key := range slices.Sorted(maps.Keys(l.registers.highestSeen)) {
		states = append(states, fleetstate.Register{Key: key, Revision: l.registers.committed[key].Revision, HighestSeen: l.registers.highestSeen[key]})
	}
	return states
}

// DescribeRegister returns a log text that shows why a register cannot be learned. The
// text has the register's known revisions and, for each voter, the age of its last
// response, whether it counts towards a majority, and its revision and ballot.
func (l *Learner) DescribeRegister(now int64, key string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: committed revision %d, highest seen %d, membership %d", key, l.registers.committed[key].Revision, l.registers.highestSeen[key], l.membership.Number)
	for _, address := range l.addresses {
		voter := l.voters[address]
		fmt.Fprintf(&b, "; %s", address)
		if voter.lastResponse == 0 {
			b.WriteString(" has sent no response")
			continue
		}
		register := voter.registers[key]
		fmt.Fprintf(&b, " last response %d ms ago, active voter %t, revision %d at ballot %d.%d", max(now-voter.lastResponse, 0)/1000, l.isActiveVoter(address, voter),
			register.GetValue().GetRevision(), register.GetAccepted().GetMembership(), register.GetAccepted().GetNumber())
	}
	return b.String()
}
