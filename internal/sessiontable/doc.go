// Package sessiontable implements the data plane of a pool node of the users' platform,
// which serves databases that announce themselves (design 14.8 to 14.11). Package
// querytable is its counterpart for the project's own interface.
//
// A Table manages the callers' sessions and the connections to the databases, and decides
// for each statement where and when it runs:
//
//   - Sessions share connections. A session's values and prepared statements are
//     replayed on the connection that its next statement uses.
//   - A write, or a read that must be current, runs at the primary. Any other read runs
//     at the least expensive replica that is fresh enough (docs/refresco.md).
//   - A commit is acknowledged only while its primary is confirmed to be the only one
//     (design 14.7), so no commit is acknowledged after another primary was promoted.
//   - A write is retried only if it is known not to have taken effect; otherwise the
//     reply is that its outcome is in doubt (design 14.9).
//   - A statement that no database can run in time is rejected with a suggested retry
//     delay.
//
// The Table is a deterministic state machine without clock, goroutines or sockets.
// Package sessionpool calls Step with external events, one call at a time, performs the
// returned effects in order, and calls Step with a Tick when Due is reached. All times
// are microseconds of the node's clock. The same seed and the same events produce the
// same effects.
package sessiontable
