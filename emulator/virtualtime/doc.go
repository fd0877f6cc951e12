// Package virtualtime is the clock, the event queue and the random source of a
// simulation. A [Scheduler] runs functions in order of the virtual time at which
// they are due, and those that are due at the same moment in the order in which
// they were scheduled. Nothing else decides what happens: a simulation that takes
// all its time and all its randomness from one Scheduler runs the same way again
// from the same seed.
//
// A Scheduler belongs to one goroutine. Simulations of different seeds share
// nothing, so they may run in parallel.
package virtualtime
