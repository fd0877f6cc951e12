// Package ports has the types that the deterministic cores and the processes share
// with whatever is at their edges (ports and adapters, design 14): callers'
// statements, calls to databases, what databases announce, and the routing table
// that operators change. internal/platform is the adapter for the platform's
// interface, and the emulators are another; the cores know neither.
//
// The types are plain values without behaviour beyond comparison. Fields whose
// names end in Us are microseconds. The numbers of Phase, MovePhase and ReadClass
// are stored in registers and never change.
package ports
