// Package sealed changes the primary of a group whose replicas can be sealed
// (design 8): a database that is sealed at an epoch receives nothing of an older
// epoch ever again, also after a restart. That makes the epoch itself the fencing
// token, as the ballot number is in Paxos.
//
// # The order of a change
//
//  1. Commit the start of an epoch (phase SEALING), which has no primary yet.
//  2. Seal the members at it, all but one at least, so that nothing of an older
//     epoch can be acknowledged any more.
//  3. Commit the most advanced of the sealed as the primary (phase PROMOTING).
//  4. Call the platform, as often as it takes, until the primary and a replica are
//     seen in the epoch; commit phase OPEN.
//
// An acknowledged commit is on the primary and on one replica at least. Any two
// members of three share one with all but one of them, so the most advanced
// sealed member has every acknowledged commit.
//
// # The core
//
// Group is a deterministic core without clock, goroutines or I/O. The control
// process that has the group's role calls Step with the time of its monotonic
// clock in microseconds, at regular intervals and after each result, carries the
// effects out in their order, and hands the results back (HandleReply,
// ProposalDone). A step first analyzes the group (AnalysisCode); each analysis has
// one recovery (recoveries).
package sealed
