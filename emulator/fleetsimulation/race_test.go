//go:build race

package fleetsimulation

// slower is by how much less of the longest runs is made under the race detector.
const slower = 5
