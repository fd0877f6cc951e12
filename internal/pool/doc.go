// Package pool is a pool node of the interface of our own databases
// (docs/database-interface.md): it serves callers' queries over a shared pool of
// connections to the databases of each group.
//
// Core is the deterministic half of what the node has once. It takes part in the
// fleet — relay tree (design 5), records (design 6), failure detector (design 4),
// connection leases (design 9.3) — and works out the routes in force and the state
// in which each group's query table should be. Process adds the transport, the HTTP
// interface of callers and a runner for each group, which runs the group's table
// (package querytable) on a goroutine of its own.
//
// Whoever runs a Core guarantees that Step is called by one goroutine at a time,
// with times that never go back, in microseconds of a monotonic clock that starts
// above 0. Core guarantees that no configuration is put in force that is older than
// one that the node had in force before a restart (design 5.4).
package pool
