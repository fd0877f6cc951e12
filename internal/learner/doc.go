// Package learner lets a process learn what the voters have committed without
// voting itself: the values of the registers, the databases that were announced,
// and the membership. It also holds the process's lease on that knowledge
// (design 14.4). In the terms of Paxos it is the learner; paxos has the proposer
// and the acceptor.
//
// A Learner polls every voter at intervals. Each poll response carries what
// changed at the voter since the response before it. From the responses the
// learner derives three things:
//
//   - A value is committed once a majority of the voters of the newest membership
//     has accepted it at one ballot, or once one process that knows it to be
//     committed sends it (CommittedValue in schema/messages.proto).
//   - A revision is unconfirmed while some voter holds it and it is not known to be
//     committed. The learner asks voters for it until that is decided.
//   - A poll that a majority answered gives a lease of LeaseDuration from the moment
//     at which it was sent. Whatever was committed and acted upon before that moment
//     is known here, except for keys that are unconfirmed.
//
// # Guarantees
//
// Committed never returns a value that was not chosen, and the revisions that it
// returns for a key only rise. LeaseUntil only rises, and is based on responses to
// polls of this run alone. A voter that holds a newer routing table than this
// process has learned does not count towards a lease (design 15.3).
//
// # Use
//
// Learner is a deterministic core without goroutines, clocks or locks; one goroutine
// calls it. That goroutine passes each poll response to Step, calls Tick at the time
// that Due returns, sends what Tick hands out, and calls TakeChanges after either to
// find out which registers changed. All times are microseconds of the caller's own
// monotonic clock, which has to be past 0 from the start: 0 stands for never.
//
// Package coordinator uses it in the control processes, package sessionpool in the
// pool nodes.
package learner
