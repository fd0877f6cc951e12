// Package crdt keeps a replicated set of last-writer-wins records (design 6). Where two
// records of a key meet, the one with the greater timestamp wins, and of equal ones the
// greater data, so that replicas converge whatever the order of merges (a LWW-element
// map; Shapiro et al., "Conflict-free Replicated Data Types", 2011).
//
// Replicas are kept equal by anti-entropy: two of them compare digests over ranges of
// keys, split ranges that differ, and exchange the records of small ones. It converges
// whatever messages are lost, as long as comparisons are repeated.
//
// A Store is a deterministic core: the caller merges its own records (Merge), starts
// comparisons (CompareRange), hands in what other replicas send (Step), and sends what
// the effects say. Only one process should write a key: timestamps of two machines are
// not comparable. A Store is not safe for use by several goroutines.
package crdt
