// Package ports defines the types that the deterministic cores and the processes share
// with their adapters (ports and adapters, design 14): callers' statements, calls to
// databases, database announcements, and the routing table that operators change.
// internal/platform implements the adapter for the platform's interface, and the
// emulators implement another; the cores depend on neither.
//
// The types are plain values with no behaviour beyond comparison. Fields whose names
// end in Us are in microseconds. The numbers of Phase, MovePhase and ReadClass are
// stored in registers and must not change.
package ports
