// Package statemachine holds the code that the deterministic cores share (design 2).
//
// A core is a state machine: its caller passes in the time and an event, and the core
// returns effects for the caller to carry out. A core starts no goroutines and reads no
// clock, socket or random source, so that a simulation can run it on a fake clock and
// reproduce a run from its seed. Times are microseconds of the process's monotonic clock,
// which starts above 0 so that 0 can mean never.
package statemachine
