// Package callers emulates the applications that call a fleet: many sessions that read,
// write and run transactions over the nodes' HTTP interface, retry as replies ask them to,
// and record what they were sent in a checker (emulator/checker). A [Runner] runs a [Load];
// its methods may be called from several goroutines while it runs.
package callers
