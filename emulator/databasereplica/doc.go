// Package databasereplica emulates one database of a group. It implements
// docs/database-interface.md and stores rows, so that a checker can detect duplicate
// writes, lost commits and stale reads.
//
// [Replica] is a deterministic state machine, which emulator/simulation runs in virtual
// time. [Server] serves it over HTTP with a log on disk, replication from its primary and
// faults that can be set while it runs; emulator/emulated-database runs it as a process.
package databasereplica
