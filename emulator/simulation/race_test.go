//go:build race

package simulation_test

// slower is by how much less of the recorded behaviour is run under the race detector.
const slower = 2
