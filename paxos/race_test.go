//go:build race

package paxos_test

// slower is by how much fewer seeds run under the race detector.
const slower = 20
