// Package sealed changes the primary of a group whose replicas can be sealed
// (design 8): a database that is sealed at an epoch permanently rejects log entries
// of older epochs, even after a restart. The epoch therefore is the fencing token,
// like the ballot number in Paxos.
//
// # Steps of a change
//
//  1. Commit the start of a new epoch (phase SEALING) without a primary.
//  2. Seal at least all members but one at the epoch, so that no commit of an older
//     epoch can be acknowledged any more.
//  3. Commit the most advanced sealed member as the primary (phase PROMOTING).
//  4. Call the platform repeatedly until the primary and a replica are observed in
//     the epoch, then commit phase OPEN.
//
// An acknowledged commit is on the primary and at least one replica. Any set of all
// members but one contains at least one of these two, so the most advanced sealed
// member has every acknowledged commit.
//
// # The core
//
// Group is a deterministic core without clock, goroutines or I/O. The control
// process that leads the group's role calls Step with the time of its monotonic
// clock in microseconds, at regular intervals and after each result, executes the
// effects in order, and passes the results back (HandleReply, ProposalDone). A step
// first analyzes the group (AnalysisCode); each code has one recovery (recoveries).
package sealed
