package routingtable

import (
	"crypto/sha256"
	"slices"

	"stoneford/internal/ports"
)

// One number, one order (design 18): a table names the newest orders that made
// it, so that an order that is sent again is known by its exact content.

const (
	// recentOrderLimit is how many of the newest orders a table names.
	recentOrderLimit = 32
	digestSize       = 12
)

// OrderState says whether an order was taken on the way to a table.
type OrderState uint8

const (
	// NotApplied: the order was never taken.
	NotApplied OrderState = iota
	// Applied: the order, with this very content, was taken.
	Applied
	// Forgotten: the order is older than those that the table names, so it may or
	// may not have been taken.
	Forgotten
)

// digest stands for an order's exact content, of which Name is the hash.
func digest(c ports.TableChange) string {
	sum := sha256.Sum256([]byte(c.Digest))
	return string(sum[:digestSize])
}

// recordOrder adds an order to the newest ones of the table that it changes, and says
// which revision's order was the last one to be left out.
func recordOrder(old ports.RoutingTable, c ports.TableChange) (orders []ports.AppliedOrder, forgottenRevision uint64) {
	orders = append(slices.Clone(old.RecentOrders), ports.AppliedOrder{Revision: c.Revision, Digest: digest(c)})
	forgottenRevision = lastForgotten(old)
	for len(orders) > recentOrderLimit {
		orders, forgottenRevision = orders[1:], orders[0].Revision
	}
	return orders, forgottenRevision
}

// lastForgotten is the newest revision whose order a table does not name. One that
// names no orders was written by a version of the program that kept none.
func lastForgotten(t ports.RoutingTable) uint64 {
	if len(t.RecentOrders) == 0 {
		return t.Revision
	}
	return t.ForgottenRevision
}

// OrderStatus says whether an order was taken on the way to a table. Revisions only
// rise, so an order whose revision is not above its base, or is above the
// table's, was never taken.
func OrderStatus(t ports.RoutingTable, c ports.TableChange) OrderState {
	switch {
	case c.Revision <= c.BaseRevision || c.Revision > t.Revision:
		return NotApplied
	case slices.Contains(t.RecentOrders, ports.AppliedOrder{Revision: c.Revision, Digest: digest(c)}):
		return Applied
	case c.Revision <= lastForgotten(t):
		return Forgotten
	default:
		return NotApplied
	}
}
