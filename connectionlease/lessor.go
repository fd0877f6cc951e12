package connectionlease

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"stoneford/schema"
)

const (
	// leaseDuration is the duration of a lease from the time of its request. It bounds
	// the time for which the connections of a failed node stay unused, and for which a
	// node continues to work without a lessor.
	leaseDuration = 5 * time.Second
	// leaseEndBound is the time after a request at which its lease has ended on every
	// clock, even on a clock that is a tenth slower than the lessor's.
	leaseEndBound = leaseDuration * 11 / 10
	// activePeriod is the time after its last request for which a node counts in the
	// division of the limits. It allows for the loss of two requests.
	activePeriod = 3 * requestInterval
)

// lesseeKey identifies one run of a node.
type lesseeKey struct {
	node string
	run  uint64
}

// lease is a lessor's state for one lessee.
type lease struct {
	requestNumber uint64           // newest request that was answered
	connections   map[string]int32 // connections that may be in use, by database
	expiresAt     int64            // time at which the lease has expired on every clock
	lastRequestAt int64            // time of the latest request
	// inherited holds the connections that the previous lessor leased in its response to
	// requestNumber.
	inherited map[string]int32
}

// Lessor divides the connection limits of one group's databases. It is used by the
// process that leads the group's role, while that process is the exclusive leader.
type Lessor struct {
	leases    map[lesseeKey]*lease
	startedAt int64
	// inheritedAll is set if this lessor knows all leases of earlier lessors, because it
	// is the first lessor or took over all leases from the previous one.
	inheritedAll bool
}

// NewLessor returns a lessor without any leases. first must be set only if there was no
// lessor before it.
func NewLessor(now int64, first bool) *Lessor {
	return &Lessor{leases: map[lesseeKey]*lease{}, startedAt: now, inheritedAll: first}
}

// NewLessorFromLeases returns a lessor that continues with the leases that the previous
// lessor handed over when it stopped.
func NewLessorFromLeases(now int64, leases *schema.ConnectionLeases) *Lessor {
	l := NewLessor(now, true)
	for _, inherited := range leases.Leases {
		l.leases[lesseeKey{inherited.Node, inherited.Run}] = &lease{
			requestNumber: inherited.RequestNumber,
			connections:   maps.Clone(inherited.Connections),
			inherited:     inherited.Connections,
			expiresAt:     now + leaseEndBound.Microseconds(),
			lastRequestAt: now,
		}
	}
	return l
}

// Leases returns all leases that may not have expired, for handover to the next lessor.
// The lessor must not answer any request after this call.
func (l *Lessor) Leases(now int64) *schema.ConnectionLeases {
	leases := &schema.ConnectionLeases{}
	for key, lease := range l.leases {
		if now < lease.expiresAt {
			leases.Leases = append(leases.Leases, &schema.ConnectionLease{
				Node: key.node, Run: key.run, RequestNumber: lease.requestNumber, Connections: lease.connections,
			})
		}
	}
	slices.SortFunc(leases.Leases, func(a, b *schema.ConnectionLease) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Run, b.Run))
	})
	return leases
}

// HandleRequest returns the response to a node's request. limits holds the databases'
// connection limits. A node that is not eligible gets no connections.
func (l *Lessor) HandleRequest(
	now int64, node string, request *schema.ConnectionLeaseRequest, limits map[string]int32, eligible bool,
) *schema.ConnectionLeaseResponse {
	maps.DeleteFunc(l.leases, func(_ lesseeKey, lease *lease) bool { return now >= lease.expiresAt })
	own := l.lease(lesseeKey{node, request.Run})
	if request.RequestNumber > own.requestNumber {
		// The connections that the previous lessor leased for an earlier request are
		// included in the connections that this request reports as in use.
		own.requestNumber, own.inherited = request.RequestNumber, nil
	}
	active := l.countActive(now, own)
	response := &schema.ConnectionLeaseResponse{
		Group: request.Group, RequestNumber: request.RequestNumber,
		Connections: map[string]int32{}, DurationUs: leaseDuration.Microseconds(),
	}
	for database, limit := range limits {
		leased := min(limit/active, limit-l.leasedToOthers(own, database))
		if !l.KnowsAllLeases(now) {
			leased = min(leased, alreadyLeased(request, database))
		}
		if !eligible {
			leased = 0
		}
		leased = max(leased, 0)
		// Connections that the node reports as in use stay leased until it reports fewer.
		own.connections[database] = max(request.InUse[database], leased, own.inherited[database])
		response.Connections[database] = leased
	}
	own.expiresAt, own.lastRequestAt = now+leaseEndBound.Microseconds(), now
	return response
}

func (l *Lessor) lease(key lesseeKey) *lease {
	if l.leases[key] == nil {
		l.leases[key] = &lease{connections: map[string]int32{}}
	}
	return l.leases[key]
}

// countActive returns the number of lessees among which the limits are divided.
func (l *Lessor) countActive(now int64, own *lease) int32 {
	active := int32(0)
	for _, lease := range l.leases {
		if lease == own || now-lease.lastRequestAt < activePeriod.Microseconds() {
			active++
		}
	}
	return active
}

func (l *Lessor) leasedToOthers(own *lease, database string) int32 {
	leased := int32(0)
	for _, lease := range l.leases {
		if lease != own {
			leased += lease.connections[database]
		}
	}
	return leased
}

// alreadyLeased returns the number of connections for which a node has a lease. Further
// open connections may already be leased to another node. Nodes of an earlier version
// report only InUse, which includes both.
func alreadyLeased(request *schema.ConnectionLeaseRequest, database string) int32 {
	if request.Leased != nil {
		return request.Leased.Connections[database]
	}
	return request.InUse[database]
}

// KnowsAllLeases reports whether the lessor knows all connections that may be in use. A
// lessor that took over without a handover does not until the leases of the previous
// lessor have expired; until then it leases no more connections than nodes already have.
func (l *Lessor) KnowsAllLeases(now int64) bool {
	return l.inheritedAll || now >= l.startedAt+leaseEndBound.Microseconds()
}

// MaxInUse returns the highest number of connections to a database that may be in use.
func (l *Lessor) MaxInUse(now int64, database string) int32 {
	var connections int32
	for _, lease := range l.leases {
		if now < lease.expiresAt {
			connections += lease.connections[database]
		}
	}
	return connections
}
