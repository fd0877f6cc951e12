// Package relaytree distributes updates of committed registers from the control
// processes (the roots) to all nodes, along a dissemination tree that the nodes form
// among themselves (design 5).
//
// Each node ranks the live nodes by the same hash and derives its parent from its own
// rank, so no process has to assign positions in the tree. A parent always has a lower
// rank than its children. So there is no cycle, even if nodes disagree on which nodes are
// live. A child subscribes by sending its parent a digest of its values every
// parentDigestInterval. It also sends digests to the roots in turn, to recover updates
// that a failed relay did not forward.
//
// The revision of a value never decreases at a node. Every live node receives every
// update, or a later one, as long as some messages get through.
//
// A Relay is a deterministic core: the caller passes in messages (Step), values that it
// learned in another way (Learn), the live nodes (SetLiveNodes) and, a few times each
// second, the time in microseconds (Tick), and sends the messages in the returned
// effects. A Relay is not safe for concurrent use.
package relaytree
