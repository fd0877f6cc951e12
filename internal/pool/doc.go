// Package pool is a pool node for the project's own database interface
// (docs/database-interface.md). It serves callers' queries over a shared pool of
// connections to the databases of each group.
//
// Core is the deterministic state machine of the node. It takes part in the fleet's relay
// tree (design 5), records (design 6), failure detection (design 4) and connection leases
// (design 9.3), and derives the routes in force and the desired state of each group's
// query table. Process adds the transport, the callers' HTTP interface and a runner for
// each group, which runs the group's table (package querytable) on a goroutine of its
// own.
//
// The caller of a Core guarantees that Step is called by one goroutine at a time, with
// times that never decrease, in microseconds of a monotonic clock that starts above 0.
// Core guarantees that it puts no configuration in force that is older than one that was
// in force before a restart of the node (design 5.4).
package pool
