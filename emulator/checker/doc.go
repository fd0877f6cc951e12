// Package checker compares what callers of a fleet were sent with what the databases hold
// at the end of a run: no acknowledged write is lost, no write takes effect twice or after
// it was reported as not executed, and no read shows data older than its class allows
// (docs/never-happens.md).
//
// Callers record their writes and reads in a [Checker] while they run, and
// [Checker.Check] compares the records with the logs of the groups. Fleets of processes
// (emulator/fleet) and simulated ones (emulator/simulation) use the same checker.
package checker
