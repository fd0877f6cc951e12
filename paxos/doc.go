// Package paxos implements replicated registers: a majority of voters agrees on the
// value of each revision of each key, without a permanent leader. It runs single-decree
// Paxos (L. Lamport, "Paxos Made Simple", 2001) once for each revision of each key, and
// reconfigures the set of voters by sealing and state transfer, similar to Vertical
// Paxos. docs/design.md section 3 describes the protocol and its proof; comments cite
// the subsections that a rule depends on.
//
// # Roles
//
//   - Acceptor implements one voter: it answers prepares and accepts, and stores its
//     promises and accepted values in a write-ahead log.
//   - Proposer runs ballots for changes and reads registers, on behalf of one process.
//   - Reconfigurer decides when a voter proposes a new Membership; PlanMembership
//     computes that membership.
//
// Learners, which observe the acceptors without voting, are not part of this package.
//
// # Guarantees
//
//   - A revision of a register has a single value, for any set of concurrent proposers
//     and any loss of messages or processes.
//   - A change with the verdict Committed is part of the history of every later
//     revision. A read with the verdict Committed returns a value at least as new as any
//     value committed before the read began.
//   - There is exactly one membership for each number from 2 on, chosen by the voters of
//     the membership before it.
//
// The loss of a voter's disk may delay progress but does not violate these guarantees,
// with one exception: during the very first start, fewer than half of the founders may
// lose their disks (design 3.3). Progress requires a majority of voters that can reach
// each other and, after a change of the voters, a majority whose disks survive until the
// newcomer votes.
//
// # Contract with the caller
//
// All types are deterministic: they start no goroutines and read neither a clock nor a
// random source. The caller passes in messages (Step), the time (Tick, no later than the
// time that Due returns) and the completion of changes, and applies the returned
// effects. Times are readings of the process's monotonic clock in microseconds; clocks
// of different processes are never compared. Messages may be lost, duplicated, delayed
// and reordered. No type is safe for concurrent use.
//
// The caller must sync the entries of Effects.Log to disk before it sends any message of
// Effects.Send, including messages to the process's own Proposer.
package paxos
