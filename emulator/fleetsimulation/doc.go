// Package fleetsimulation runs complete fleets in virtual time. Control processes
// (internal/coordinator) and pool nodes (internal/sessionpool) run their real cores;
// databases that announce themselves (docs/design.md, 14), the platform, the network,
// callers and operators are models. All randomness comes from one seed, and the same seed
// replays the same run.
//
// [NewFleet] makes a fleet from a [Plan]; [Fleet.RandomFaults] schedules faults that the
// fleet has to tolerate, [Fleet.Run] advances virtual time, and [Fleet.Finish] ends all
// faults and checks the end of the run. The [Oracle] checks what databases, callers and
// operators observe against the rules of docs/never-happens.md, and [Fleet.Violations]
// returns the violations that it found. Mutation tests show that the oracle detects
// violations: each [Mutation] injects one bug into the model, and the rule that it breaks
// must be reported.
//
// Times are microseconds of virtual time. A Fleet must be used by one goroutine only.
package fleetsimulation
