// Package leaderelection elects a leader for each singleton role, that is, for work that
// one process at a time does for a group (design 9). A role is a register of package paxos
// whose value names the leader and a term that never decreases. A draining leader names its
// successor. If the register names no live leader, any candidate may take the role by
// changing the register.
//
// # Guarantees
//
// A leader holds a lease of LeaseDuration, by its own monotonic clock, from the start of
// each read of the register that names it. Two processes may consider themselves the
// leader (IsLeader) for a short time. IsExclusive rules that out, if clock rates differ by
// less than a tenth: a new leader first waits for a grace period, unless the previous
// leader stopped and named it as the successor. Where a register can make an action safe,
// safety must not depend on leadership; where it has to, use IsExclusive.
//
// # Usage
//
// A Candidate is a deterministic core. The caller calls Tick a few times each second,
// proposes the changes in the effects with its paxos.Proposer, and passes each outcome to
// HandleOutcome. Times are microseconds of the process's monotonic clock. A Candidate is
// not safe for concurrent use.
package leaderelection
