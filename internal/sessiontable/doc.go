// Package sessiontable is the data plane of a pool node of the users' platform, in front
// of databases that announce themselves (design 14.8 to 14.11; that of our own interface
// is package querytable).
//
// A Table holds the callers' sessions and the connections to the databases, and
// decides for each statement where and when it runs:
//
//   - Sessions share connections. A session's values and prepared statements are
//     replayed on the connection that its next statement uses.
//   - A write, or a read that must be current, runs at the primary. Any other read
//     runs at the replica that is fresh enough and costs least (docs/refresco.md).
//   - A commit is acknowledged only while its primary is confirmed to be the only one
//     (design 14.7), so no commit is acknowledged after another primary was promoted.
//   - A statement is retried only if it is known not to have taken effect; otherwise
//     its reply says that its outcome is in doubt (design 14.9).
//   - A statement that no database can run in time is rejected, with the time after
//     which a retry makes sense.
//
// The Table is a deterministic core: it has no clock, no goroutine and no socket.
// Package sessionpool calls Step with the events of the outside, one call at a time,
// carries out the effects that Step returns in their order, and calls Step again with
// a Tick at Due. All times are microseconds of the node's clock. The same seed and the
// same events give the same effects.
package sessiontable
