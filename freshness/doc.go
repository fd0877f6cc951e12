// Package freshness chooses the replica that serves a read and the position that the
// replica must have applied first. It follows "Refresco: Improving Query Performance
// Through Freshness Control in a Database Cluster"; docs/refresco.md lists the
// differences.
//
// A Formula bounds how stale a read may be. A Queue holds a group's commits that not
// every replica has applied, in the primary's commit order. Its owner passes in each poll
// of the primary (ObservePrimary), each commit that it forwarded itself (AddCommit) and
// each position of a replica (ObserveReplica), and calls Reset when the primary changes.
// Choose selects the replica with the lowest expected cost.
//
// A Queue is a plain value without clocks or locks: callers pass the time in microseconds
// of their own monotonic clock. It errs only on the side of freshness: a commit with
// unknown content is assumed to conflict with every read and to be as old as possible.
package freshness
