// Package coordinator is the control plane of the users' platform, where databases
// announce themselves (design 14 to 18; the control plane of our own interface is
// package control). Each control process is a voter of the Paxos registers, keeps the
// mergeable records of the announced databases, decides operators' changes of the
// routing table, and, for the groups whose singleton role it owns, carries out the
// changes of primary that package failover/fenced decides.
//
// Core is a deterministic core: it is given the time and events, and hands back
// effects. It reads no clock, socket, disk or random source. Process runs a Core: it
// writes its log, sends its messages, calls databases and the platform, and answers
// callers.
//
// # Guarantees
//
//   - Nothing that rests on the acceptor's state leaves before that state is on disk
//     (disk.go).
//   - A reply that only the newest state can justify is given on the confirmation of a
//     majority of the voters. A process without it refuses at once, so that its caller
//     can ask another one (contact.go, calls.go).
//   - A change of the routing table that was acknowledged once is acknowledged again
//     whenever it is sent again, and is applied once (changes.go).
//   - A database is declared gone only by a process that has been in contact with a
//     majority for as long as that takes (databases.go).
//   - A group's primary moves to another site only after every process that may have a
//     lease works by the routing table that orders it (convergence.go, moves.go).
//
// # Files
//
// Start with event.go, effect.go and core.go (Step); then announcements.go and
// databases.go (databases), changes.go (routing table), group.go and groupinput.go
// (changes of primary), polls.go and updates.go (learners). Moves between sites stand in
// moves.go (the core), moverequests.go (operators' requests), movehandlers.go (HTTP) and
// movestate.go (what operators see).
//
// # Use
//
// One goroutine calls a Core: Start once, then Step with the events that arrived, and
// with none at the time that Due returns. The log entries of a step are to be written
// and synced in the order of the steps before its watermark is reported by Synced;
// messages and other effects are carried out at once. All times are microseconds of
// the process's monotonic clock, which begins above 0: 0 stands for never.
package coordinator
