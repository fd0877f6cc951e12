// Package paxos keeps replicated registers: keys whose values a majority of voters
// agrees on, one revision after the other, with no standing leader. It follows
// single-decree Paxos (L. Lamport, "Paxos Made Simple", 2001), run once for each
// revision of each key, and reconfigures its voters by sealing and state transfer
// in the manner of vertical Paxos. docs/design.md section 3 has the protocol and
// its proof; the subsections are cited where a rule rests on them.
//
// # Roles
//
//   - Acceptor is one voter: it answers prepares and accepts, and keeps its promises
//     and accepted values in a write-ahead log.
//   - Proposer puts changes to the vote and reads registers, on behalf of one process.
//   - Reconfigurer decides when a voter proposes a new Membership; PlanMembership
//     decides which one.
//
// Learners, which observe the acceptors without voting, are outside of this package.
//
// # Guarantees
//
//   - A revision of a register has one value, whoever proposes and whatever is lost.
//   - A change that ended as Committed is in every later revision's history; a
//     read-only change that ended as Committed returns a value at least as new as any
//     that was committed when the read began.
//   - One membership has each number from 2 on, and each is chosen by the voters of the
//     one before it.
//
// A voter that loses its disk costs progress and never these guarantees, with one
// exception: during the first start of all fewer than half of the founders may lose
// theirs (design 3.3). Progress needs a majority of voters that reach each other and,
// after a change of the voters, a majority whose disks last until the newcomer votes.
//
// # Contract with the caller
//
// All types are deterministic cores: they start no goroutine and read no clock or
// random source. The caller hands them messages (Step), the time (Tick, at the latest
// at Due) and the ends of what it did for them, and carries out the effects that come
// back. Times are the process's monotonic clock in microseconds; clocks of two
// processes are never compared. Messages may be lost, duplicated, delayed and
// reordered. No type is safe for use by several goroutines.
//
// What an Acceptor puts into Effects.Log has to be synced to disk before anything in
// Effects.Send leaves the process, also towards the process's own Proposer.
package paxos
