package sealed

import (
	"time"

	"stoneford/schema"
)

// Roles that a database reports (Status.Role).
const (
	rolePrimary = "primary"
	roleReplica = "replica"
	roleSealed  = "sealed"
)

// Status is the status that a database reports.
type Status struct {
	Identity  string // of its disk
	Role      string // primary, replica or sealed
	Epoch     uint64 // not below any epoch that it took part in or was sealed at
	LogEpoch  uint64 // epoch of the newest commit that it received
	Received  int64  // number of that commit
	Applied   int64  // number of the newest commit that is visible to reads
	Following string // address of the primary that it replicates from
	Draining  bool   // whether it announced that it will stop
}

// observation holds what this process last observed of one database.
type observation struct {
	status Status
	known  bool
	// observedAt is when the call was sent whose reply contained status. The status
	// was correct at some time after that.
	observedAt int64
	// failingSince is when the first of the consecutive failed calls was sent, 0 if
	// the last call succeeded.
	failingSince int64
	nextPollAt   int64
	callInFlight uint64 // ID of the call, 0 if there is none
	// newIdentity is a reported identity that is not committed yet, and newIdentityAt
	// is when it was first observed.
	newIdentity   string
	newIdentityAt int64
}

// healthy reports whether a status is known and the last call succeeded.
func (o *observation) healthy() bool { return o.known && o.failingSince == 0 }

// unresponsive reports whether all calls have failed for at least the duration d.
func (o *observation) unresponsive(now int64, d time.Duration) bool {
	return o.failingSince > 0 && elapsed(o.failingSince, now) >= d
}

// inEpoch reports whether the database takes part in an epoch and has received a commit
// of that epoch.
func (o *observation) inEpoch(epoch uint64) bool {
	return o.status.Epoch == epoch && o.status.LogEpoch == epoch
}

// pendingCalls holds the calls to databases whose results have not arrived yet.
type pendingCalls struct {
	byID   map[uint64]pendingCall
	lastID uint64
}

type pendingCall struct {
	member    string
	sentAt    int64
	sealEpoch uint64
}

func newPendingCalls(lastID uint64) pendingCalls {
	return pendingCalls{byID: map[uint64]pendingCall{}, lastID: lastID}
}

// call sends a request to a database: to seal itself at sealEpoch, or only for its
// status if sealEpoch is 0.
func (g *Group) call(now int64, e Endpoint, sealEpoch uint64) (id uint64) {
	g.calls.lastID++
	id = g.calls.lastID
	g.calls.byID[id] = pendingCall{member: e.Name, sentAt: now, sealEpoch: sealEpoch}
	g.emit(DatabaseCall{ID: id, Address: e.Address, SealEpoch: sealEpoch})
	return id
}

// HandleReply processes the result of a DatabaseCall. failed reports that there is no
// status.
func (g *Group) HandleReply(id uint64, failed bool, status Status) {
	call, pending := g.calls.byID[id]
	delete(g.calls.byID, id)
	database := g.databases[call.member]
	if !pending || database == nil {
		return
	}
	if database.callInFlight == id {
		database.callInFlight = 0
	}
	if failed {
		if database.failingSince == 0 {
			database.failingSince = call.sentAt
		}
		return
	}
	if call.sentAt < database.observedAt {
		return // the reply belongs to an earlier call than the current observation
	}
	database.status, database.known, database.observedAt, database.failingSince = status, true, call.sentAt, 0
	if call.sealEpoch > 0 {
		g.sealing.recordReply(call, status)
	}
}

// Degraded returns the reason why the group could not tolerate the loss of a member now.
// It returns "" if all members reply with their committed identities and are in the
// open epoch.
func (g *Group) Degraded(state *schema.GroupState) string {
	if state.Phase != schema.Phase_OPEN {
		return "a takeover is under way"
	}
	for _, member := range state.Members {
		database := g.databases[member.Database]
		if database == nil || !database.healthy() {
			return member.Database + " does not reply"
		}
		if database.status.Identity != member.Identity || !database.inEpoch(state.Epoch) {
			return member.Database + " has not caught up"
		}
	}
	return ""
}
