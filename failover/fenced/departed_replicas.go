package fenced

import (
	"slices"
	"time"

	"stoneford/internal/ports"
)

// A replica that is no longer announced may still run, and confirms the primary's commits
// until it stops: one that deregisters serves on for a while, and one that misses
// announcements may be disconnected from the control processes. A replica that deregisters
// or drains is therefore frozen (draining_replicas.go). Its position is then final: no commit after it was confirmed by
// that replica. The position is kept after the replica has stopped, so that a failover need
// not wait for a member that never returns.

const (
	// departedTimeout is the duration of failed calls after which a departed replica
	// counts as stopped if its machine does not refuse connections.
	departedTimeout = 10 * time.Second
	// departedUnknownPeriod is the time after which a departed replica whose address is not
	// known counts as stopped. One that deregisters may serve on for many seconds.
	departedUnknownPeriod = 30 * time.Second
)

// departedMembers returns the members that have departed and whose address is known, except
// the primary.
func (input Input) departedMembers() []GoneDatabase {
	var members []GoneDatabase
	for _, id := range input.Members {
		gone := input.Gone[id]
		if gone.Address != "" && input.departed(id) && id != input.State.GetPrimary() {
			members = append(members, gone)
		}
	}
	return members
}

// stoppingReplicas returns the deregistered members that may still confirm commits, which
// have to be frozen.
func (g *Group) stoppingReplicas(input Input) []ports.Instance {
	var stopping []ports.Instance
	for _, gone := range input.departedMembers() {
		_, final := g.finalPositions[gone.ID]
		if gone.Deregistered && !final && !g.databases[gone.ID].stopped() {
			stopping = append(stopping, gone.Instance)
		}
	}
	return stopping
}

// trackDepartedMembers observes departed members until they are removed. Failed calls from
// before a departure show nothing: the database may have restarted, and then deregistered. A
// deregistered one drains, whether it announced that or not.
func (g *Group) trackDepartedMembers(now int64, input Input) {
	departures := g.membership.departures
	for _, id := range input.Members {
		switch {
		case !input.departed(id):
			delete(departures, id)
		case departures[id] == nil:
			departures[id] = &departure{detectedAt: now}
			if database := g.databases[id]; database != nil {
				database.clearFailures()
			}
		}
	}
	for _, gone := range input.departedMembers() {
		g.track(gone.ID)
		if gone.Deregistered && g.drainingSince[gone.ID] == 0 {
			g.drainingSince[gone.ID] = now
		}
	}
}

// mayStillConfirm reports whether a departed member may still confirm commits of the primary,
// and polls it. detectedAt is when its departure was detected.
func (g *Group) mayStillConfirm(now int64, input Input, id string, detectedAt int64) bool {
	if _, final := g.finalPositions[id]; final {
		return false
	}
	gone := input.Gone[id]
	if gone.Address == "" {
		return elapsed(detectedAt, now) < departedUnknownPeriod
	}
	if hasSuccessor(id, gone.drainedAddress(), input.Instances) {
		return false
	}
	database := g.databases[id]
	if database.stopped() || database.unresponsive(now, departedTimeout) {
		return false
	}
	g.poll(now, gone.Instance, replicaPollInterval)
	return true
}

// drainedAddress returns the address of a database that announced that it drained before it
// stopped, and "" for any other.
func (d GoneDatabase) drainedAddress() string {
	if !d.Draining {
		return ""
	}
	return d.Address
}

// recordFinalPositions records the positions of departed replicas that are frozen.
func (g *Group) recordFinalPositions(now int64, input Input) {
	for id, database := range g.databases {
		if input.departed(id) && g.lastSeenFrozen(now, id, database) {
			g.finalPositions[id] = database.status.Received
		}
	}
	for id := range g.finalPositions {
		_, announced := input.instance(id)
		if announced || !slices.Contains(input.Members, id) {
			delete(g.finalPositions, id)
		}
	}
}

// lastSeenFrozen reports whether a draining replica was frozen when it was last observed, and
// was not resumed since. That is a short time ago, or all calls have failed since shortly
// after it.
func (g *Group) lastSeenFrozen(now int64, id string, o *observation) bool {
	if !o.known || o.status.FrozenTerm == 0 || g.drainingSince[id] == 0 || o.observedAt <= o.resumedAt {
		return false
	}
	endedAt := now
	if o.failingSince > 0 {
		endedAt = o.failingSince
	}
	return elapsed(o.observedAt, endedAt) <= observationValidity
}

// pollDraining polls those of the frozen replicas that drain, so that their positions are
// known when they depart.
func (g *Group) pollDraining(now int64, frozen []ports.Instance) {
	for _, i := range frozen {
		if i.Draining {
			g.poll(now, i, replicaPollInterval)
		}
	}
}

// logKept reports whether one of the frozen replicas has everything that a departed member
// had: it has received the member's final position, or it is the member's successor.
func (g *Group) logKept(input Input, id string, frozen []ports.Instance) bool {
	if hasSuccessor(id, input.Gone[id].drainedAddress(), frozen) {
		return true
	}
	final, known := g.finalPositions[id]
	return known && slices.ContainsFunc(frozen, func(i ports.Instance) bool {
		return !g.databases[i.ID].status.Received.Before(final)
	})
}

// hasSuccessor reports whether one of the replicas is the successor of a drained database:
// the log of a database that drained passes to the next one at its address.
func hasSuccessor(id, address string, replicas []ports.Instance) bool {
	return address != "" && slices.ContainsFunc(replicas, func(i ports.Instance) bool { return i.ID != id && i.Address == address })
}
