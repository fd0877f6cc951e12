package connectionlease

import (
	"maps"
	"strconv"
	"time"

	"stoneford/schema"
	"stoneford/statemachine"
)

// requestInterval is the time between two requests of a node. It bounds the delay until a
// node gets connections that another node gave up. More than ten requests fit into
// leaseDuration, so that lost requests do not end a lease.
const requestInterval = 400 * time.Millisecond

// Lessee holds a node's leases for one group.
type Lessee struct {
	group         string
	run           uint64
	requestNumber uint64 // number of the newest request
	requestedAt   int64  // time of the newest request
	nextRequestAt int64
	leased        map[string]int32 // leased connections, by database
	expiresAt     int64            // end of the lease
}

// NewLessee returns the lessee for a run of a node. Each run numbers its requests
// differently, so that it does not mistake a response to an earlier run for its own.
func NewLessee(group string, run uint64) *Lessee {
	return &Lessee{
		group:         group,
		run:           run,
		requestNumber: statemachine.FirstRequestNumber("permit", group, strconv.FormatUint(run, 10)),
		leased:        map[string]int32{},
	}
}

// NextRequest returns the next request, nil if none is due yet. open holds the number of
// open connections to each database.
func (l *Lessee) NextRequest(now int64, open map[string]int) *schema.ConnectionLeaseRequest {
	if now < l.nextRequestAt {
		return nil
	}
	l.nextRequestAt, l.requestedAt = now+requestInterval.Microseconds(), now
	l.requestNumber++
	if now >= l.expiresAt {
		l.leased = map[string]int32{}
	}
	inUse := map[string]int32{}
	maps.Copy(inUse, l.leased)
	for database, n := range open {
		inUse[database] = max(inUse[database], int32(n))
	}
	return &schema.ConnectionLeaseRequest{
		Group: l.group, RequestNumber: l.requestNumber, Run: l.run,
		InUse:  inUse,
		Leased: &schema.LeasedConnections{Connections: maps.Clone(l.leased)},
	}
}

// HandleResponse applies a response and reports whether the leased connections changed.
// It ignores responses to any request but the newest.
func (l *Lessee) HandleResponse(response *schema.ConnectionLeaseResponse) (changed bool) {
	if response.RequestNumber != l.requestNumber || response.Group != l.group {
		return false
	}
	before := l.leased
	l.leased, l.expiresAt = maps.Clone(response.Connections), l.requestedAt+response.DurationUs
	return !maps.Equal(before, l.leased)
}

// Limit returns the number of connections to a database that the node may have now.
func (l *Lessee) Limit(now int64, database string) int {
	if now >= l.expiresAt {
		return 0
	}
	return int(l.leased[database])
}

// ExpiresAt returns the time at which the lease expires, by the node's clock.
func (l *Lessee) ExpiresAt() int64 { return l.expiresAt }
