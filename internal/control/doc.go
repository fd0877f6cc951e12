// Package control is the control plane for the project's own database interface
// (docs/database-interface.md). Three control processes are the voters of all registers.
// Each runs one Core inside one Process.
//
// Core is a deterministic state machine. It votes on register values (paxos), stores the
// mergeable records of the fleet (design 6), monitors its peers (design 4) and competes
// for the leadership of the singleton roles (design 9). As leader of a group's role it
// decides on failovers (design 8), distributes the connections to the group's databases
// among the pool nodes (design 9.3) and carries out planned maintenance (design 11). Step
// takes the time and the events and returns the effects; Core reads no clock, socket or
// disk.
//
// The caller of a Core guarantees that
//   - Step is called by one goroutine at a time, with times that never decrease,
//     in microseconds of a monotonic clock that starts above 0;
//   - Effects.Log is synced to disk before any other effect of the step is executed,
//     because consensus would break if a vote were lost with the process;
//   - after a start, every entry of the log is passed to Restore, in order, before
//     the first Step.
//
// Core guarantees that every PutConfiguration and GetConfiguration ends in one
// ConfigurationResult and every Command in one CommandResult, after a few seconds at the
// latest. A result about a configuration or the maintenance calendar that is not an error
// is based on a read through a majority of the voters. The replies to the other commands
// (status, applied revisions, routing decisions) show what this process and the pool
// nodes know.
//
// Process adds the disk, the transport, the calls to databases and platform, the
// operators' HTTP interface and the timers. The simulator runs Core without it.
package control
