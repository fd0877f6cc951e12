// Package virtualtime provides the clock, the event queue and the random source of a
// simulation. A [Scheduler] runs scheduled functions in order of their virtual due time;
// functions that are due at the same time run in the order in which they were scheduled. A
// simulation that takes all its time and randomness from one Scheduler is deterministic:
// the same seed gives the same run.
//
// A Scheduler must be used by one goroutine only. Schedulers share no state, so simulations
// of different seeds may run in parallel.
package virtualtime
