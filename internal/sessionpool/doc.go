// Package sessionpool implements a pool node of the users' platform, which serves
// databases that announce themselves. Package pool implements the pool node of the
// project's own interface.
//
// Core is the deterministic part: a session table (package sessiontable) driven by the
// state that a learner (package learner) learned from the voters. It receives session
// events through Step and envelopes through Receive. The simulator runs a Core directly.
//
// Process connects a Core to the network through adapters: callers' connections
// (Frontend), connections to databases (Dialer), the readiness check (ReadinessServer),
// and the links to other processes. Events enter the core one at a time under a lock. The
// output of an event is queued at the adapters, in order, before the next event. It is
// written after the lock is released, by the goroutine that delivered the event. Adapters
// must therefore queue without blocking, and no caller waits for another caller's socket.
package sessionpool
