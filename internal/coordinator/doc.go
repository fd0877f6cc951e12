// Package coordinator implements the control plane of the users' platform, where
// databases announce themselves (design 14 to 18). Package control implements the
// control plane of the project's own interface. Each control process is a voter of the
// Paxos registers, stores the mergeable records of the announced databases and commits
// operators' changes of the routing table. For the groups whose singleton role it owns,
// it also carries out the failovers that package failover/fenced decides on.
//
// Core is a deterministic state machine: it receives the time and events and returns
// effects. It reads no clock, socket, disk or random source. Process runs a Core: it
// writes the log, sends messages, calls databases and the platform, and replies to
// callers.
//
// # Guarantees
//
//   - No message that depends on the acceptor's state is sent before that state is on
//     disk (disk.go).
//   - A reply that depends on the newest state is sent only while a majority of the
//     voters confirms that state. A process without a majority refuses calls at once, so
//     that callers can go to another process (contact.go, calls.go).
//   - A routing table change is applied once. If it is sent again after it was
//     acknowledged, it is acknowledged again (changes.go).
//   - Only a process that has been in contact with a majority for the complete
//     expiration time declares a database gone (databases.go).
//   - A group's primary moves to another site only once every process that may hold a
//     lease has applied the routing table that orders the move (convergence.go,
//     moves.go).
//
// # Files
//
// Start with event.go, effect.go and core.go (Step). Then read announcements.go and
// databases.go (databases), changes.go (routing table), group.go and groupinput.go
// (failovers), poller.go and learned.go (learners). Moves between sites are implemented
// in moves.go (core), moverequests.go (operators' requests), movehandlers.go (HTTP) and
// movestate.go (state shown to operators).
//
// # Use
//
// A Core must be called from a single goroutine: Start once, then Step with each batch
// of events, and without events at the time that Due returns. The caller writes and
// syncs the log entries of all steps in order, and reports a step's watermark with
// Synced after that. It carries out messages and other effects at once. All times are
// microseconds of the process's monotonic clock, which starts above 0, so that 0 can
// mean "never".
package coordinator
