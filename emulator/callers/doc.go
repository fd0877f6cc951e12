// Package callers emulates the applications that call a fleet. Many sessions read, write
// and run transactions over the HTTP interface of the pool nodes, retry as the replies ask,
// and record the replies in a checker (emulator/checker). A [Runner] runs a [Load]; its
// methods are safe for concurrent use.
package callers
