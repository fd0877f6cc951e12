package learner

import (
	"bytes"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"stoneford/internal/invariant"
	"stoneford/internal/ports"
	"stoneford/paxos"
	"stoneford/schema"
)

// Keys of the registers. A group's name follows each prefix.
const (
	// TableKey is the key of the operators' routing table.
	TableKey = "routes"
	// LeaderPrefix is the prefix for a group's leadership (schema.Leadership).
	LeaderPrefix = "leader/"
	// MembersPrefix is the prefix for a group's voting databases (schema.GroupMembers).
	MembersPrefix = "members/"
	// MovePrefix is the prefix for the newest move of a group's primary (schema.Move).
	MovePrefix = "move/"
)

// CommittedValue is a committed value of a register.
type CommittedValue struct {
	Revision uint64
	Data     []byte
	// Membership is the number of the newest membership under which the value is known
	// to be committed.
	Membership uint64
}

// registerTable holds what is known about each register. All maps are by key.
type registerTable struct {
	committed   map[string]CommittedValue
	highestSeen map[string]uint64 // newest revision that any voter holds
	missingData map[string]bool   // a revision is committed, but its data has not arrived
	changed     map[string]bool   // changed since the last takeChanged
}

func newRegisterTable() registerTable {
	return registerTable{
		committed:   map[string]CommittedValue{},
		highestSeen: map[string]uint64{},
		missingData: map[string]bool{},
		changed:     map[string]bool{},
	}
}

// unconfirmed reports whether a voter holds a revision of a key that is newer than
// the committed one.
func (t *registerTable) unconfirmed(key string) bool {
	return t.highestSeen[key] > t.committed[key].Revision
}

// takeChanged returns the sorted keys that changed since the last call.
func (t *registerTable) takeChanged() []string {
	keys := slices.Sorted(maps.Keys(t.changed))
	clear(t.changed)
	return keys
}

// Committed returns the newest value of a key that is known to be committed.
func (l *Learner) Committed(key string) (CommittedValue, bool) {
	value, ok := l.registers.committed[key]
	return value, ok
}

// HighestSeen returns the newest revision of a key that any voter is known to hold.
func (l *Learner) HighestSeen(key string) uint64 { return l.registers.highestSeen[key] }

// Unconfirmed reports whether a voter holds a revision of a key that is newer than
// the newest revision known to be committed.
func (l *Learner) Unconfirmed(key string) bool { return l.registers.unconfirmed(key) }

// UpToDate reports whether the newest revision of a key that any voter holds is
// committed under the newest membership. Its data may not have arrived yet.
func (l *Learner) UpToDate(key string) bool {
	return l.registers.missingData[key] ||
		!l.Unconfirmed(key) && l.registers.committed[key].Membership == l.membership.Number
}

// learn records a committed value. A value of the known revision can only raise the
// membership number; a value of an older revision is ignored.
func (l *Learner) learn(key string, revision uint64, data []byte, membership uint64) {
	known := l.registers.committed[key]
	switch {
	case revision < known.Revision:
		return
	case revision == known.Revision:
		if !bytes.Equal(known.Data, data) {
			l.invariants.Violated(invariant.CommittedValueChanged, "%s revision %d: committed with two different values", key, revision)
		}
		known.Membership = max(known.Membership, membership)
		l.registers.committed[key] = known
		return
	}
	delete(l.registers.missingData, key)
	l.registers.committed[key] = CommittedValue{Revision: revision, Data: data, Membership: membership}
	l.registers.highestSeen[key] = max(l.registers.highestSeen[key], revision)
	l.registers.changed[key] = true
	l.updateUnconfirmed(key)
}

// observeRegister records the value that a voter accepted for a register. It ignores a
// value that is older than the known one, and a known value that comes without its data.
func (l *Learner) observeRegister(voter *voterState, register *schema.RegisterState) {
	if known := voter.registers[register.Key]; known != nil {
		if paxos.BallotLess(register.Accepted, known.Accepted) {
			return
		}
		if paxos.BallotEqual(register.Accepted, known.Accepted) && len(register.Value.GetData()) == 0 {
			return
		}
	}
	voter.registers[register.Key] = register
	if revision := register.Value.GetRevision(); revision > l.registers.highestSeen[register.Key] {
		l.registers.highestSeen[register.Key] = revision
		l.registers.changed[register.Key] = true
	}
	l.commitAccepted(register.Key)
	l.updateUnconfirmed(register.Key)
}

// commitAccepted commits the value of a key that a majority of the voters accepted at
// one ballot of the newest membership.
func (l *Learner) commitAccepted(key string) {
	for _, voter := range l.voters {
		register := voter.registers[key]
		known := l.registers.committed[key]
		revision := register.GetValue().GetRevision()
		if register == nil || revision < known.Revision || register.Accepted.GetMembership() != l.membership.Number ||
			revision == known.Revision && known.Membership == l.membership.Number {
			continue
		}
		count, data := l.acceptedAt(key, register.Accepted)
		switch {
		case count < l.membership.Quorum():
		case revision == known.Revision:
			known.Membership = l.membership.Number
			l.registers.committed[key] = known
		case data == nil:
			l.registers.missingData[key] = true // usually the data is about to arrive
		default:
			l.learn(key, revision, data, l.membership.Number)
		}
	}
}

// acceptedAt returns the number of voters that accepted a value for a key at a ballot,
// and the value's data if one of them sent it.
func (l *Learner) acceptedAt(key string, ballot *schema.Ballot) (count int, data []byte) {
	for address, voter := range l.voters {
		register := voter.registers[key]
		if register == nil || !l.isActiveVoter(address, voter) || !paxos.BallotEqual(register.Accepted, ballot) {
			continue
		}
		count++
		if len(register.Value.GetData()) > 0 {
			data = register.Value.GetData()
		}
	}
	return count, data
}

// dropLostRevisions drops revisions that no voter holds any more. Only a lost disk had
// accepted such a revision, so it was never chosen. This is certain only once a lease is
// based on the state of the present voters.
func (l *Learner) dropLostRevisions() {
	for key, revision := range l.registers.highestSeen {
		highest := l.registers.committed[key].Revision
		for _, voter := range l.voters {
			highest = max(highest, voter.acceptedRevision(key))
		}
		if highest < revision {
			l.registers.highestSeen[key] = highest
			l.registers.changed[key] = true
			l.updateUnconfirmed(key)
		}
	}
}

// DecodeLeadership decodes the value of a group's leadership register. A value that
// cannot be decoded yields an empty leadership.
func DecodeLeadership(value CommittedValue) *schema.Leadership {
	leadership := &schema.Leadership{}
	if proto.Unmarshal(value.Data, leadership) != nil {
		return &schema.Leadership{}
	}
	return leadership
}

// Leaderships returns all committed leaderships, by group.
func (l *Learner) Leaderships() map[string]ports.Leadership {
	leaderships := map[string]ports.Leadership{}
	for key, value := range l.registers.committed {
		group, ok := strings.CutPrefix(key, LeaderPrefix)
		if !ok {
			continue
		}
		decoded := DecodeLeadership(value)
		leaderships[group] = ports.Leadership{
			Revision:       value.Revision,
			Term:           decoded.Term,
			Primary:        decoded.Primary,
			Address:        decoded.Address,
			Phase:          ports.Phase(decoded.Phase),
			LastFailoverUs: decoded.LastFailoverUs,
			TableRevision:  decoded.TableRevision,
		}
	}
	return leaderships
}
