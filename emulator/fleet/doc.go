// Package fleet runs a complete fleet on one machine: control processes and pool nodes of
// stoneford and emulated databases (emulator/emulated-database) as separate processes, each
// behind links (emulator/link) that inject network faults, and the emulated platform
// (emulator/platform).
//
// [New] creates a fleet of a [Shape], [Fleet.Start] starts and configures it, and
// [Fleet.Inject] injects a [Fault] of a schedule that [ParseFaults] parses. At the end,
// [Fleet.PrimaryLogs] returns the databases' logs for the checker, and [Fleet.Close] ends
// all processes.
package fleet
