// Package simulation runs complete fleets in virtual time. Control processes
// (internal/control) and pool nodes (internal/pool, internal/querytable) run their real
// cores for the project's own database interface (docs/design.md, 2 to 13), and databases
// run the replica state machine of emulator/databasereplica. Package fleetsimulation does
// the same for the users' platform. The network, the platform, callers and operators are
// models. All randomness comes from one seed, so that a seed always gives the same run.
//
// [NewFleet] creates a fleet from a [Plan]. [Fleet.PutConfiguration] configures it,
// [Fleet.StartCallers] starts its callers, [Fleet.RandomFaults] injects faults that the
// fleet must tolerate, [Fleet.Run] advances the virtual time, and [Fleet.Finish] ends all
// faults and checks the result. The [Oracle] compares the replies to callers and operators
// with the contents of the databases (docs/never-happens.md). Mutation tests show that it
// detects violations: a [Mutation] injects one bug into the model.
//
// Times are in microseconds of virtual time. A Fleet must be used by one goroutine only.
package simulation
