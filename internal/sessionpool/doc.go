// Package sessionpool is a pool node of the users' platform, in front of databases that
// announce themselves (the pool node of our own interface is package pool).
//
// Core is the deterministic part: a session table (package sessiontable) that works by
// what a learner (package learner) learned from the voters. It takes session events by
// Step and envelopes by Receive, and is what the simulator runs.
//
// Process runs a Core between its edges: callers' connections (Frontend), connections to
// databases (Dialer), the readiness check (ReadinessServer), and the links to other
// processes. Events enter the core one at a time under a lock. What follows from an event
// is queued at the edges, in order, before the next event; it is written after the lock
// is released, by the goroutine that brought the event. So edges must queue without
// blocking, and no caller waits for another one's socket.
package sessionpool
