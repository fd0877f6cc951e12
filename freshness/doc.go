// Package freshness decides which replica serves a read and from which position
// on it may start, after "Refresco: Improving Query Performance Through Freshness
// Control in a Database Cluster" (docs/refresco.md says what was kept and what was
// changed).
//
// A Formula says how stale a read may be. A Queue holds a group's commits that not
// every replica has applied, in the primary's commit order: its owner feeds it
// with each poll of the primary (ObservePrimary), each commit that it forwarded
// itself (AddCommit) and each position of a replica (ObserveReplica), and Resets it
// when the primary changes. Choose picks the replica with the least expected cost.
//
// A Queue is a plain value without clock or lock: callers pass the time in
// microseconds of their own monotonic clock. It errs only on the side of
// freshness: what is not known of a commit is taken to conflict with every read
// and to be as old as it can be.
package freshness
