package sessiontable

import (
	"stoneford/internal/invariant"
	"stoneford/internal/ports"
)

// A routing table says what is agreed as long as a majority of the voters vouches
// for it (design 17.4). A node that has not heard from one for long may work by a
// table that was replaced, and knows that it may: so it decides nothing by it. A
// name that it does not know may have been added, which one lease without a break
// rules out; a route that it knows may have been taken out or moved, which may take
// the time that a change has to be in force everywhere.

// tableConfirmed reports whether a majority vouches for the routing table at this moment.
func (t *Table) tableConfirmed() bool { return t.now < t.leaseUntil }

// mayRoute reports whether statements may be routed by the routing table.
func (t *Table) mayRoute() bool { return t.now < t.leaseUntil+t.options.RoutingGraceUs }

// unknownName is the refusal of a name that the routing table does not hold.
func (t *Table) unknownName() (ports.Code, string) {
	if !t.tableConfirmed() {
		t.countRejectionCause("unknown names, the routing table's lease is over")
		return unconfirmedReply()
	}
	t.countRejectionCause("unknown names")
	if t.now >= t.leaseUntil {
		t.checks.Violated(invariant.RoutedUnconfirmed, "a name was refused %d ms after the lease", (t.now-t.leaseUntil)/1000)
	}
	return ports.DatabaseUnavailable, "no such database"
}

// unconfirmedTable is the refusal of a statement that cannot be routed now.
func (t *Table) unconfirmedTable() (ports.Code, string) {
	t.countRejectionCause("no majority vouches for the routing table")
	return unconfirmedReply()
}

func unconfirmedReply() (ports.Code, string) {
	return ports.Busy, "no majority vouches for this node's routing table; retry after 500 ms"
}

// checkRouted holds that what is routed now is routed by a table that is vouched for.
func (t *Table) checkRouted() {
	if t.now >= t.leaseUntil+t.options.RoutingGraceUs {
		t.checks.Violated(invariant.RoutedUnconfirmed, "a statement was routed %d ms after the lease", (t.now-t.leaseUntil)/1000)
	}
}

// needsRoute reports whether a statement outside a transaction begins something by its
// route, rather than being this node's own to answer.
func needsRoute(k ports.StatementKind) bool {
	switch k {
	case ports.Begin, ports.BeginRead, ports.Read, ports.Write, ports.Execute:
		return true
	}
	return false
}

// Checks are the counts of what has to hold of this table.
func (t *Table) Checks() *invariant.Checks { return &t.checks }
