// Package crdt implements a replicated map of last-writer-wins records (design 6). Of two
// records with the same key, the record with the greater timestamp wins. If the timestamps
// are equal, the record with the greater data wins. So replicas converge in whatever order
// records are merged (an LWW-element map; Shapiro et al., "Conflict-free Replicated Data
// Types", 2011).
//
// Replicas are synchronized by anti-entropy: two replicas compare digests of key ranges,
// split ranges that differ, and exchange the records of small ranges. They converge
// whichever messages are lost, as long as comparisons are repeated.
//
// A Store is a deterministic core: the caller merges its own records (Merge), starts
// comparisons (CompareRange), passes in messages from other replicas (Step), and sends
// the messages in the returned effects. Only one process should write a key, because the
// timestamps of two machines are not comparable. A Store is not safe for concurrent use.
package crdt
