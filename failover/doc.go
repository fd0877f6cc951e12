// Package failover is the home of the two cores that change a group's primary. Which
// one a deployment uses depends on what its databases can be made to do:
//
//   - failover/sealed, where a replica can be sealed: it never receives anything of an
//     older epoch again, so that the databases themselves are the fence. Used by
//     internal/control.
//   - failover/fenced, where a replica can only be frozen until it is resumed, so that
//     a fencing token and a lease keep two processes from changing the same group. Used
//     by internal/coordinator.
//
// Both are deterministic cores (package statemachine) of the same form: Step analyzes
// the group, carries out the one recovery for that analysis, and returns effects.
package failover
