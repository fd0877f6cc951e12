package paxos

import "stoneford/schema"

// Restore replays one log entry. The caller must replay entries in the order in which
// they were written, before it calls any other method.
func (a *Acceptor) Restore(entry *schema.WALEntry) {
	if entry.Snapshot {
		a.registers = map[string]*register{}
	}
	if entry.DiskId != 0 {
		a.diskID, a.identityLogged = entry.DiskId, true
		a.founding.diskIDs[a.self] = entry.DiskId
	}
	if len(entry.Founders) > 0 {
		a.founding.restore(entry.Founders)
	}
	for _, state := range entry.Registers {
		a.registers[state.Key] = &register{
			promised: cloneBallot(state.Promised),
			accepted: cloneBallot(state.Accepted),
			value:    state.Value,
		}
	}
	if entry.Membership != nil && entry.Membership.Number >= a.membership.Number {
		a.membership = MembershipFromProto(entry.Membership)
	}
	a.activeMembership = max(a.activeMembership, entry.ActiveMembership)
}

// Snapshot returns the complete state as one log entry, which makes all earlier entries
// obsolete.
func (a *Acceptor) Snapshot() *schema.WALEntry {
	entry := &schema.WALEntry{
		Snapshot:         true,
		DiskId:           a.diskID,
		Registers:        a.registerStates(),
		ActiveMembership: a.activeMembership,
	}
	if a.membership.Known() {
		entry.Membership = a.membership.Proto()
	} else {
		entry.Founders = a.founding.voters()
	}
	return entry
}

// logRegister returns the log entry of one register's state.
func (a *Acceptor) logRegister(key string) *schema.WALEntry {
	return &schema.WALEntry{Registers: []*schema.RegisterState{a.registerState(key)}}
}

// logFounders logs the founders and their known disks, so that a restart restores them.
func (a *Acceptor) logFounders(effects *Effects) {
	a.identityLogged = true
	effects.Log = append(effects.Log, &schema.WALEntry{DiskId: a.diskID, Founders: a.founding.voters()})
}
