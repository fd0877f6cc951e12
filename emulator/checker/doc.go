// Package checker compares the replies that callers of a fleet received with the contents
// of the databases at the end of a run. It checks that no acknowledged write is lost, that
// no write takes effect twice or after a reply that it had no effect, and that no read
// returns data older than its class allows (docs/never-happens.md).
//
// Callers record their writes and reads in a [Checker] while they run, and [Checker.Check]
// compares the records with the logs of the groups. Real fleets (emulator/fleet) and
// simulated fleets (emulator/simulation) use the same checker.
package checker
