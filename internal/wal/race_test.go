//go:build race

package wal

// slower is by how much fewer seeds run under the race detector.
const slower = 20
