// Package connectionlease divides each database's connection limit among the pool
// nodes (design 9.3), with leases as in Gray and Cheriton, "Leases: an efficient
// fault-tolerant mechanism for distributed file cache consistency" (1989).
//
// The process that has the group's role is the Lessor; it is made when the role
// is taken and dropped when it is lost. Each node has a Lessee for each group,
// which asks at regular intervals and counts its leases from the moment of its
// request, by its own clock. Both are plain values without clock or lock: callers
// pass the time in microseconds of their own monotonic clock.
//
// The package guarantees that the connections leased to all nodes together never
// exceed a database's limit, whatever messages are lost or late, as long as clocks
// differ in rate by less than a tenth:
//
//   - A node that is to use fewer connections confirms that before they are leased
//     to another.
//   - The connections of a node that is gone are leased again only after its lease
//     has expired on that node's own clock.
//   - A lessor that does not know what the one before leased leases nothing beyond
//     what nodes use already, until all those leases have expired.
package connectionlease
