// Package fleetsimulation runs complete fleets of the cores that serve databases which
// announce themselves (docs/design.md, 14) in virtual time: control processes
// (internal/coordinator) and pool nodes (internal/sessionpool) run as they are, and
// databases, platform, network, callers and operators are models. Everything is drawn
// from one seed, and the same seed runs the same way again.
//
// [NewFleet] makes a fleet from a [Plan]; [Fleet.RandomFaults] schedules faults within
// what the fleet has to tolerate, [Fleet.Run] lets time pass, and [Fleet.Finish] ends all
// faults and checks the end of the run. The [Oracle] compares what databases, callers and
// operators see with the rules of docs/never-happens.md, and [Fleet.Violations] lists what
// it found. That the oracle sees violations is shown by mutations: a [Mutation] injects
// one bug into the model, and its rule must be seen broken.
//
// Times are microseconds of virtual time. A Fleet belongs to one goroutine.
package fleetsimulation
