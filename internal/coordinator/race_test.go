//go:build race

package coordinator

// raceFactor is by how much less is run under the race detector.
const raceFactor = 10
