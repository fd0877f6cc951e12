// Package eventloop runs a deterministic core on a goroutine of its own, which passes it
// the events of a bounded queue and the ticks of a clock. The core's state is accessed by
// that goroutine alone, so it needs no lock.
package eventloop
