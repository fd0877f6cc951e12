// Package fenced changes the primary of a group whose replicas can be frozen
// but not sealed: a frozen replica receives nothing until it is resumed, but it
// does not remember a term below which it must permanently reject log entries.
// The databases themselves therefore cannot prevent two processes from changing
// the same group; a fencing token and a lease do, as in Gray and Cheriton's
// "Leases" (1989). Design 14.6, 14.7 and 16 describe the rules.
//
// # The core
//
// Group is the deterministic core of one group. It has no clock, no
// goroutines and no I/O: the control process calls Step with the time of its
// monotonic clock in microseconds and with its view of the group (Input),
// executes the returned effects in order, and passes the results back
// (HandleDatabaseReply, HandlePromotionResult, StateProposalDone,
// MembersProposalDone). The process calls Step after each result, whenever the
// input has changed, and at NextStepAtUs.
//
// # Recovery
//
// A step first analyzes the group: analyze determines what the group needs now
// (AnalysisCode). Each code has one recovery. Three kinds of change replace the
// primary:
//
//   - an emergency reparent replaces a lost primary (emergency_reparent.go);
//   - a planned reparent replaces a draining primary (planned_reparent.go);
//   - a site move is a planned reparent to the site that the routing table
//     specifies (site_move.go).
//
// All three pass through the phases Draining (planned changes only), Freezing
// and Promoting back to Serving. Each phase is one committed revision of the
// group's register, so that another process can continue an interrupted change.
//
// # Guarantees
//
//   - No acknowledged commit is lost: a replica is promoted only if it has the
//     most advanced position of all members, or if every node has reported the
//     newest commit that it acknowledged and the replica has received them all. A
//     position of the primary stands for the reports of nodes that have ended
//     (primary_positions.go).
//   - At most one process commands the databases of a group or calls the
//     platform for it: the owner of the group's role under the newest fencing
//     token, while it holds a lease from a majority of the voters, and after the
//     lease of the previous owner has expired on every clock (lease.go).
//   - No node uses the old primary after another database is promoted: the
//     platform is called only once no node relies on an older revision.
package fenced
