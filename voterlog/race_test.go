//go:build race

package voterlog

// slower is by how much fewer seeds run under the race detector.
const slower = 20
