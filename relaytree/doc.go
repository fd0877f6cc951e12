// Package relaytree distributes updates of committed registers from the control
// processes (the roots) to all nodes down a dissemination tree that the nodes form among
// themselves (design 5).
//
// Each node ranks the live nodes by one hash and reads its parent off its own rank, so
// nobody has to assign the tree. A parent always has a lower rank, so whatever a node
// believes of who is live, there is no cycle. Children subscribe by sending their parent
// a digest of what they have, every parentDigestInterval; they also send one to a root in
// turn, so that what a failed relay did not pass on is repaired.
//
// A value's revision never goes back at a node. Every live node receives every update, or
// a later one, as long as messages get through now and then.
//
// A Relay is a deterministic core: the caller hands it messages (Step), values that it
// learned otherwise (Learn), the live nodes (SetLiveNodes) and, a few times each second,
// the time in microseconds (Tick); it sends what the effects say. A Relay is not safe for
// use by several goroutines.
package relaytree
