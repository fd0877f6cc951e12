// Package connectionlease divides each database's connection limit among the nodes
// (design 9.3). A shrink is confirmed before the growth it pays for is given,
// and a dead node's share returns only after its permit has surely run out on
// that node's own clock, so the sum never passes the limit.
package connectionlease

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"stoneford/schema"
	"stoneford/statemachine"
)

const (
	// LeaseDurationUs is how long a permit lasts from the start of the ask that it
	// returns.
	LeaseDurationUs = 5_000_000
	// leaseEndWithMarginUs is when a holder takes a permit to have surely run out: a tenth
	// longer, for clocks that run at different rates.
	leaseEndWithMarginUs = LeaseDurationUs * 11 / 10
	// RequestInterval is the time between two asks.
	RequestInterval = 400_000
)

type lease struct {
	requestNumber uint64 // of the newest ask that was served
	connections   map[string]int32
	expiresAt     int64
	lastRequestAt int64
	inherited     map[string]int32 // by the holder before, for that ask
}

type lesseeKey struct {
	node string
	run  uint64
}

// Lessor divides one group's limits. It is used by the holder of the group's
// duty, while that holder is the only one.
type Lessor struct {
	leases    map[lesseeKey]*lease
	startedAt int64
	complete  bool
}

// NewLessor begins to divide; first says that no holder came before.
func NewLessor(now int64, complete bool) *Lessor {
	return &Lessor{leases: map[lesseeKey]*lease{}, startedAt: now, complete: complete}
}

// NewLessorFromLeases begins to divide where another holder stopped and said all that it had
// given: nothing outstanding is unknown, so growth need not wait.
func NewLessorFromLeases(now int64, leases *schema.ConnectionLeases) *Lessor {
	h := NewLessor(now, true)
	for _, g := range leases.Leases {
		h.leases[lesseeKey{g.Node, g.Run}] = &lease{requestNumber: g.RequestNumber, connections: maps.Clone(g.Connections), inherited: g.Connections, expiresAt: now + leaseEndWithMarginUs, lastRequestAt: now}
	}
	return h
}

// Leases is all that was given and may still be in use; the holder that says so
// gives nothing any more.
func (h *Lessor) Leases(now int64) *schema.ConnectionLeases {
	leases := &schema.ConnectionLeases{}
	for k, g := range h.leases {
		if now < g.expiresAt {
			leases.Leases = append(leases.Leases, &schema.ConnectionLease{Node: k.node, Run: k.run, RequestNumber: g.requestNumber, Connections: g.connections})
		}
	}
	slices.SortFunc(leases.Leases, func(a, b *schema.ConnectionLease) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Run, b.Run))
	})
	return leases
}

// HandleRequest serves a node. wants says whether the node should have any share.
func (h *Lessor) HandleRequest(now int64, from string, request *schema.ConnectionLeaseRequest, limits map[string]int32, eligible bool) *schema.ConnectionLeaseResponse {
	maps.DeleteFunc(h.leases, func(_ lesseeKey, entry *lease) bool { return now >= entry.expiresAt })
	// A holder that came after another cannot know which permits that one gave
	// until all of them have run out: till then it gives no growth.
	grow := h.Complete(now)
	key := lesseeKey{from, request.Run}
	entry := h.leases[key]
	if entry == nil {
		entry = &lease{connections: map[string]int32{}}
		h.leases[key] = entry
	}
	if request.RequestNumber > entry.requestNumber {
		// Whatever the holder before gave for an earlier ask shows in this one.
		entry.requestNumber, entry.inherited = request.RequestNumber, nil
	}
	holders := int32(0)
	for _, other := range h.leases {
		if other == entry || now-other.lastRequestAt < 3*RequestInterval {
			holders++
		}
	}
	response := &schema.ConnectionLeaseResponse{Group: request.Group, RequestNumber: request.RequestNumber, Connections: map[string]int32{}, DurationUs: LeaseDurationUs}
	for db, limit := range limits {
		others := int32(0)
		for _, other := range h.leases {
			if other != entry {
				others += other.connections[db]
			}
		}
		inUse := request.InUse[db]
		leased := min(limit/holders, limit-others)
		switch {
		case grow:
		case request.Leased != nil:
			// What is open beyond its permit may long be another's share.
			leased = min(leased, request.Leased.Connections[db])
		default:
			leased = min(leased, inUse)
		}
		if !eligible {
			leased = 0
		}
		leased = max(leased, 0)
		// What the node upholds is outstanding until it confirms less.
		entry.connections[db] = max(inUse, leased, entry.inherited[db])
		response.Connections[db] = leased
	}
	entry.expiresAt, entry.lastRequestAt = now+leaseEndWithMarginUs, now
	return response
}

// Complete says whether all that may be in use is known: not yet to a holder that
// took over from one that did not tell.
func (h *Lessor) Complete(now int64) bool {
	return h.complete || now >= h.startedAt+leaseEndWithMarginUs
}

// MaxInUse is what may be in use of a database at the most.
func (h *Lessor) MaxInUse(now int64, db string) int32 {
	var s int32
	for _, g := range h.leases {
		if now < g.expiresAt {
			s += g.connections[db]
		}
	}
	return s
}

// Lessee is a node's side.
type Lessee struct {
	group         string
	run           uint64
	requestNumber uint64
	sentAt        int64
	expiresAt     int64
	leased        map[string]int32
	nextRequestAt int64
}

// NewLessee makes a node's side for one group.
func NewLessee(group string, run uint64) *Lessee {
	return &Lessee{group: group, run: run, requestNumber: statemachine.FirstRequestNumber("permit", group, strconv.FormatUint(run, 10)), leased: map[string]int32{}}
}

// NextRequest returns an ask when one is due. inUse is how many connections are open
// to each database.
func (a *Lessee) NextRequest(now int64, inUse map[string]int) *schema.ConnectionLeaseRequest {
	if now < a.nextRequestAt {
		return nil
	}
	a.nextRequestAt, a.sentAt = now+RequestInterval, now
	a.requestNumber++
	m := &schema.ConnectionLeaseRequest{Group: a.group, RequestNumber: a.requestNumber, Run: a.run, InUse: map[string]int32{}}
	if now >= a.expiresAt {
		a.leased = map[string]int32{}
	}
	m.Leased = &schema.LeasedConnections{Connections: maps.Clone(a.leased)}
	for db, n := range a.leased {
		m.InUse[db] = n
	}
	for db, n := range inUse {
		m.InUse[db] = max(m.InUse[db], int32(n))
	}
	return m
}

// HandleResponse takes a return; one to an earlier ask is void. It says whether the
// permit changed.
func (a *Lessee) HandleResponse(g *schema.ConnectionLeaseResponse) bool {
	if g.RequestNumber != a.requestNumber || g.Group != a.group {
		return false
	}
	old := a.leased
	a.leased, a.expiresAt = maps.Clone(g.Connections), a.sentAt+g.DurationUs
	return !maps.Equal(old, a.leased)
}

// Limit is how many connections to a database this node may hold now.
func (a *Lessee) Limit(now int64, db string) int {
	if now >= a.expiresAt {
		return 0
	}
	return int(a.leased[db])
}

// ExpiresAt is when the permit runs out.
func (a *Lessee) ExpiresAt() int64 { return a.expiresAt }
