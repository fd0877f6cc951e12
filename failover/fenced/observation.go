package fenced

import (
	"time"

	"stoneford/internal/ports"
)

const (
	// databaseCallTimeout limits one call to a database. It is shorter than
	// primaryTimeout, so that a single timeout does not make a primary count as failed.
	databaseCallTimeout = 400 * time.Millisecond
	// replicaPollInterval is the time between two polls of a database if nothing
	// urgent depends on them. Two polls are compared only if less than three such
	// intervals lie between them.
	replicaPollInterval = 400 * time.Millisecond
	// observationValidity is the time for which an observed position counts as recent.
	observationValidity = 3 * replicaPollInterval
)

// observation holds what this process last observed of one database.
type observation struct {
	status ports.DatabaseStatus
	known  bool // whether a status was observed since the last discard
	// observedAt is when the call was sent whose reply contained status. The status
	// was correct at some time after that.
	observedAt int64
	// failingSince is when the first of the consecutive failed calls was sent, 0 if
	// the last call succeeded.
	failingSince        int64
	consecutiveFailures int
	// absentSince is the send time of the first of the consecutive calls that found
	// nothing, or another database, listening at the address. It is 0 if the last call
	// found the database or failed in another way.
	absentSince int64

	callInFlight uint64 // ID of the call, 0 if there is none
	nextCallAt   int64  // earliest time of the next call

	// resumedAt is when the newest command to resume replication was sent. Observations
	// from before may be out of date, even if the command seems to have failed.
	resumedAt int64
	// frozenTerm is the term at which the database is frozen according to status, 0 if
	// it is not frozen. Choosing another target resets frozenTerm to 0 without changing
	// status, so that the database must be observed frozen again.
	frozenTerm uint64
	// frozenAt is the send time of the latest call whose reply showed the database
	// frozen.
	frozenAt int64
	// caughtUpAt is the send time of the latest poll of the database that found
	// everything that the primary had received at the primary's preceding poll.
	caughtUpAt int64
}

// healthy reports whether a status is known and the last call succeeded.
func (o *observation) healthy() bool { return o.known && o.failingSince == 0 }

// isReplicating reports whether the database was observed as a replica that is not
// frozen.
func (o *observation) isReplicating() bool {
	return o.healthy() && !o.status.Primary && o.status.FrozenTerm == 0
}

// isPrimary reports whether the database was observed as a primary.
func (o *observation) isPrimary() bool { return o.known && o.status.Primary }

// recent reports whether the last call succeeded and its status is recent.
func (o *observation) recent(now int64) bool {
	return o.healthy() && elapsed(o.observedAt, now) <= observationValidity
}

// unresponsive reports whether all calls have failed for at least the duration d.
func (o *observation) unresponsive(now int64, d time.Duration) bool {
	return o.failingSince > 0 && elapsed(o.failingSince, now) >= d
}

// commitsBehind returns the number of commits in the other database's log that this
// database had not received, as far as observed.
func (o *observation) commitsBehind(other *observation) int64 {
	return other.status.Received.Number - o.status.Received.Number
}

// stopped reports whether repeated calls found that the database no longer runs: nothing, or
// another database, listens at its address.
func (o *observation) stopped() bool { return o.absentSince > 0 && o.consecutiveFailures >= 2 }

func (o *observation) clearFailures() {
	o.failingSince, o.absentSince, o.consecutiveFailures = 0, 0, 0
}

// discard marks the status as unknown, and clears frozenTerm, failingSince, absentSince
// and caughtUpAt. It keeps consecutiveFailures.
func (o *observation) discard() {
	o.known, o.frozenTerm, o.failingSince, o.absentSince, o.caughtUpAt = false, 0, 0, 0, 0
}

// pendingCalls holds the calls to databases whose results have not arrived yet.
type pendingCalls struct {
	byID   map[uint64]pendingCall
	lastID uint64
}

// pendingCall is a call to a database whose result has not arrived yet.
type pendingCall struct {
	databaseID string
	kind       ports.StatementKind
	sentAt     int64
}

// call sends a request to a database unless a call to it is in flight or its interval
// has not passed. A command (any kind but Status) requires the lease.
func (g *Group) call(now int64, i ports.Instance, kind ports.StatementKind, term uint64, interval time.Duration) {
	if kind != ports.Status && !g.lease.mayCommand {
		g.wakeAt(after(now, commandRetryInterval))
		return
	}
	database := g.databases[i.ID]
	if database.callInFlight != 0 || now < database.nextCallAt {
		g.wakeAt(max(database.nextCallAt, after(now, interval)))
		return
	}
	g.calls.lastID++
	database.callInFlight, database.nextCallAt = g.calls.lastID, after(now, interval)
	if kind == ports.ResumeReplication {
		database.resumedAt = now
	}
	g.calls.byID[g.calls.lastID] = pendingCall{databaseID: i.ID, kind: kind, sentAt: now}
	g.emit(DatabaseCall{
		ID: g.calls.lastID, Instance: i, Kind: kind, Term: term,
		TimeoutUs: databaseCallTimeout.Microseconds(), LeaseExpiresAtUs: g.lease.expiresAt,
	})
	g.wakeAt(after(now, interval))
}

// poll requests a database's status.
func (g *Group) poll(now int64, i ports.Instance, interval time.Duration) {
	g.call(now, i, ports.Status, 0, interval)
}

// DatabaseReply is the result of a DatabaseCall.
type DatabaseReply struct {
	ID uint64
	// Err is the reason why there is no status, empty if there is one.
	Err string
	// Absent reports that nothing, or another database, listens at the address.
	Absent bool
	// NotSent reports that the call was not sent because the lease had expired.
	NotSent bool
	Status  ports.DatabaseStatus
}

// HandleDatabaseReply processes the result of a DatabaseCall.
func (g *Group) HandleDatabaseReply(now int64, reply DatabaseReply) {
	call, pending := g.calls.byID[reply.ID]
	delete(g.calls.byID, reply.ID)
	database := g.databases[call.databaseID]
	if !pending || database == nil {
		return
	}
	if database.callInFlight == reply.ID {
		database.callInFlight = 0
	}
	switch {
	case reply.NotSent:
	case reply.Err != "":
		if call.kind != ports.Status {
			g.lease.lastUncertainAt = now
		}
		database.callFailed(call, reply)
	case database.known && call.sentAt < database.observedAt:
		// The reply belongs to an earlier call than the current observation.
	default:
		database.callSucceeded(call, reply)
		g.primaryObserved(call.sentAt, reply.Status)
	}
}

// callFailed records a failed call.
func (o *observation) callFailed(call pendingCall, reply DatabaseReply) {
	o.consecutiveFailures++
	if o.failingSince == 0 {
		o.failingSince = call.sentAt
	}
	switch {
	case !reply.Absent:
		o.absentSince = 0
	case o.absentSince == 0:
		o.absentSince = call.sentAt
	}
}

// callSucceeded records the status in the reply to a call.
func (o *observation) callSucceeded(call pendingCall, reply DatabaseReply) {
	o.status, o.observedAt, o.known = reply.Status, call.sentAt, true
	o.clearFailures()
	o.frozenTerm = reply.Status.FrozenTerm
	if o.frozenTerm > 0 {
		o.frozenAt = call.sentAt
	}
}
