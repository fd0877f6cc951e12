// Package control is the control plane of the interface of our own databases
// (docs/database-interface.md). Three control processes form the voters of all
// registers; each runs one Core inside one Process.
//
// Core is a deterministic state machine. It votes on register values (paxos),
// keeps the mergeable records of the fleet (design 6), watches its peers
// (design 4), competes for the leadership of the singleton roles (design 9) and,
// as the leader of a group's role, decides on failovers (design 8), divides the
// connections to the group's databases among the pool nodes (design 9.3) and
// carries out planned maintenance (design 11). It reads no clock, socket or disk:
// Step takes the time and the events and returns the effects.
//
// Whoever runs a Core guarantees that
//   - Step is called by one goroutine at a time, with times that never go back,
//     in microseconds of a monotonic clock that starts above 0;
//   - Effects.Log is synced to disk before any of the step's other effects is
//     carried out: a vote that is lost with the process would break agreement;
//   - after a start, every entry of the log is given to Restore, in order, before
//     the first Step.
//
// Core guarantees that every PutConfiguration and GetConfiguration ends in one
// ConfigurationResult and every Command in one CommandResult, at the latest a
// few seconds later, and that a result other than an error rests on a read
// through a majority of the voters.
//
// Process adds the disk, the transport, the calls to databases and platform, the
// HTTP interface of the operators and the timers. The simulator runs Core without it.
package control
