//go:build race

package coordinator

// slower is by how much less is run under the race detector.
const slower = 10
