// Package failover contains the two state machines that change a group's primary. Which
// one a deployment uses depends on what its databases support:
//
//   - failover/sealed is for databases that can be sealed. A sealed replica permanently
//     rejects log entries of older epochs, so the databases themselves fence off an old
//     primary. internal/control uses it.
//   - failover/fenced is for databases that can only be frozen until they are resumed.
//     A fencing token and a lease prevent two processes from changing the same group.
//     internal/coordinator uses it.
//
// Both are deterministic cores (package statemachine) with the same structure: Step
// analyzes the group, runs the recovery for that analysis, and returns effects.
package failover
