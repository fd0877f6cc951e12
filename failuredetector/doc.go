// Package failuredetector has each node probe the few others that rendezvous hashing
// assigns to it (design 4). A node that does not answer for suspicionTimeout is suspected;
// it counts as dead only once a majority of those that probe it suspect it, so that a
// node with a broken connection of its own condemns nobody. The names are SWIM's (Das,
// Gupta and Motivala, 2002); unlike SWIM's, the watchers of a node are fixed.
//
// The detector is a hint: it may be wrong for a while in both directions, and no rule of
// safety may depend on it.
//
// A Detector is a deterministic core: the caller hands it pings and pongs (Step), the
// known nodes (SetNodes) and, a few times each second, the time in microseconds (Tick),
// sends what the effects say, and publishes the suspicions that changed. A Detector is
// not safe for use by several goroutines.
package failuredetector
