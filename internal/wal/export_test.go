package wal

// Slower is by how much fewer seeds run under the race detector.
const Slower = slower
