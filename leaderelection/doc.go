// Package leaderelection gives each singleton role, work that one process at a time does
// for a group, a leader (design 9). A role is a register of package paxos whose value
// names the leader and a term that only rises. A leader that drains names its successor;
// where no live leader is named, any candidate takes the role with a change of the
// register.
//
// # Guarantees
//
// A leader holds a lease from the start of each read of the register that names it, for
// LeaseDuration by its own monotonic clock. Two processes may believe to be the leader
// (IsLeader) for a short time. IsExclusive excludes that, for clocks whose rates differ
// by less than a tenth: a new leader waits out a grace period first, unless the leader
// before it stopped and named it. Leadership never makes an action safe where a register
// can do that; where it has to, IsExclusive is what counts.
//
// # Contract with the caller
//
// A Candidate is a deterministic core. The caller calls Tick regularly, a few times each
// second, proposes the changes of the effects with its paxos.Proposer, and hands each
// outcome to HandleOutcome. Times are microseconds of the process's monotonic clock. A
// Candidate is not safe for use by several goroutines.
package leaderelection
