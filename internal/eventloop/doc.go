// Package eventloop runs a deterministic core on a goroutine of its own: events come in
// through a bounded queue, and the clock's ticks between them. Everything that the core
// touches belongs to that goroutine, so it needs no lock.
package eventloop
