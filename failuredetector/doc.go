// Package failuredetector implements a failure detector in which each node probes the few
// other nodes that rendezvous hashing assigns to it (design 4). A node that does not
// answer for suspicionTimeout is suspected. It counts as dead only once a majority of its
// watchers suspect it, so that a watcher whose own connection is broken cannot declare
// other nodes dead. The terms are those of SWIM (Das, Gupta and Motivala, 2002); unlike in
// SWIM, the watchers of a node are fixed.
//
// The detector gives only hints: it may be wrong for a while in either direction, so no
// safety property may depend on it.
//
// A Detector is a deterministic core: the caller passes in pings and pongs (Step), the
// known nodes (SetNodes) and, a few times each second, the time in microseconds (Tick).
// It sends the messages in the returned effects and publishes the changed suspicions. A
// Detector is not safe for concurrent use.
package failuredetector
