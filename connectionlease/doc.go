// Package connectionlease divides each database's connection limit among the pool
// nodes (design 9.3), with leases as in Gray and Cheriton, "Leases: an efficient
// fault-tolerant mechanism for distributed file cache consistency" (1989).
//
// The process that leads the group's role has a Lessor, which is created when the process
// takes the role and dropped when it loses the role. Each node has a Lessee for each
// group, which sends requests periodically and counts its leases from the time of the
// request, by its own clock. Both are plain values without clocks or locks: callers pass
// the time in microseconds of their own monotonic clock.
//
// The package guarantees that the connections leased to all nodes together never exceed a
// database's limit, whichever messages are lost or late, as long as clock rates differ by
// less than a tenth:
//
//   - Before connections are taken from one node and leased to another, the first node
//     confirms that it no longer uses them.
//   - The connections of a failed node are leased again only after its lease has expired
//     on that node's own clock.
//   - A lessor that does not know the leases of the previous lessor leases nothing beyond
//     the connections that nodes already have, until all those leases have expired.
package connectionlease
