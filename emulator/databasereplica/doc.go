// Package databasereplica emulates one database of a group: it implements
// docs/database-interface.md over real rows, so that a checker can see double writes, lost
// commits and the age of each read.
//
// [Replica] is the deterministic state machine, which emulator/simulation runs in virtual
// time. [Server] serves it over HTTP with a log on disk, replication from its primary and
// faults that are set while it runs; emulator/emulated-database is its process.
package databasereplica
