// Package statemachine holds what the deterministic cores have in common (design 2).
//
// A core is a state machine: its caller hands it the time and an event, and it returns
// effects for the caller to carry out. It starts no goroutine and reads no clock, socket
// or random source, so that a simulation can run it on a fake clock and repeat a run
// from its seed. Times are microseconds of the process's monotonic clock, which starts
// above 0 so that 0 can stand for never.
package statemachine
