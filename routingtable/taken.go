package routingtable

import (
	"crypto/sha256"
	"slices"

	"stoneford/ports"
)

// One number, one order (design 18): a table names the newest orders that made
// it, so that an order that is sent again is known by its exact content.

const (
	// keptOrders is how many of the newest orders a table names.
	keptOrders = 32
	digestSize = 12
)

// Standing says whether an order was taken on the way to a table.
type Standing uint8

const (
	// NotTaken: the order was never taken.
	NotTaken Standing = iota
	// Taken: the order, with this very content, was taken.
	Taken
	// Forgotten: the order is older than those that the table names, so it may or
	// may not have been taken.
	Forgotten
)

// digest stands for an order's exact content, of which Name is the hash.
func digest(c ports.TableChange) string {
	sum := sha256.Sum256([]byte(c.Name))
	return string(sum[:digestSize])
}

// remember adds an order to the newest ones of the table that it changes, and says
// which revision's order was the last one to be left out.
func remember(old ports.RoutingTable, c ports.TableChange) (taken []ports.TakenOrder, forgotten uint64) {
	taken = append(slices.Clone(old.Taken), ports.TakenOrder{Revision: c.Revision, Digest: digest(c)})
	forgotten = lastForgotten(old)
	for len(taken) > keptOrders {
		taken, forgotten = taken[1:], taken[0].Revision
	}
	return taken, forgotten
}

// lastForgotten is the newest revision whose order a table does not name. One that
// names no orders was written by a version of the program that kept none.
func lastForgotten(t ports.RoutingTable) uint64 {
	if len(t.Taken) == 0 {
		return t.Revision
	}
	return t.Forgotten
}

// WasTaken says whether an order was taken on the way to a table. Revisions only
// rise, so an order whose revision is not above its base, or is above the
// table's, was never taken.
func WasTaken(t ports.RoutingTable, c ports.TableChange) Standing {
	switch {
	case c.Revision <= c.Base || c.Revision > t.Revision:
		return NotTaken
	case slices.Contains(t.Taken, ports.TakenOrder{Revision: c.Revision, Digest: digest(c)}):
		return Taken
	case c.Revision <= lastForgotten(t):
		return Forgotten
	default:
		return NotTaken
	}
}
