// Package learner lets a process learn what the voters have committed without
// voting itself: the values of the registers, the announced databases, and the
// membership. It also holds the process's lease on that knowledge (design 14.4).
// It implements the learner role of Paxos; package paxos implements the proposer and
// the acceptor.
//
// A Learner polls every voter periodically. Each poll response carries the changes at
// the voter since its previous response. From the responses the learner derives three
// things:
//
//   - A value is committed once a majority of the voters of the newest membership
//     has accepted it at one ballot, or once a process that knows it to be committed
//     sends it (CommittedValue in schema/messages.proto).
//   - A revision is unconfirmed while some voter holds it and it is not known to be
//     committed. The learner asks voters for it until that is decided.
//   - A poll that a majority answered gives a lease of LeaseDuration, counted from the
//     time at which the poll was sent. The learner knows every value that was committed
//     and acted upon before that time, except for unconfirmed keys.
//
// # Guarantees
//
// Committed never returns a value that was not chosen, and the revisions that it
// returns for a key never decrease. LeaseUntil never decreases, and depends only on
// responses to polls of this run. A voter that holds a newer routing table than this
// process has learned does not count towards a lease (design 15.3).
//
// # Usage
//
// Learner is a deterministic core without goroutines, clocks or locks, and is used
// from one goroutine. That goroutine passes each poll response to Step, calls Tick at
// the time that Due returns, sends the messages that Tick returns, and calls
// TakeChanges after each Step and Tick to find out which registers changed. All times
// are microseconds of the caller's own monotonic clock. The clock must start above 0,
// because 0 means never.
//
// Package coordinator uses it in the control processes, package sessionpool in the
// pool nodes.
package learner
