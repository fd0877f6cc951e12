package fenced

import (
	"stoneford/internal/learner"
	"stoneford/internal/ports"
)

// A group's duty has one holder at a time (design 16). The holder, its run and a
// fencing token stand in the group's register. Whoever commands a database or
// calls the platform is the agreed holder, has a lease of the voters' word at
// that moment, met a majority after the newest change of the register, and has
// waited out the lease of the holder before.

// RoleState is what a process knows of its own standing towards a group's duty.
type RoleState struct {
	Self string
	Run  uint64 // of this process
	// Lease is when the newest look that a majority of voters returned was sent,
	// and until when it counts, both by this process's clock: whoever acts upon a
	// register newer than those returned does so after that.
	Lease Lease
	// Eligible says that this process may hold a duty: it votes and does not leave.
	Eligible bool
	// Successor says that it is the one to claim the duty of a holder that is lost.
	Successor bool
	// OwnerPresent says that the agreed holder was heard lately in the run that
	// claimed, and that it neither leaves nor lacks a lease.
	OwnerPresent bool
}

// Lease is a time on one process's clock within which it may act.
type Lease struct{ ConfirmedAt, Until int64 }

// commandRetryInterval is how soon a command that is not allowed yet is tried again.
const commandRetryInterval = 10_000

// proposalTimeout is how long a revision that was asked for is waited for.
const proposalTimeout = 4_000_000

// leaseState is this run's time as the holder of a group's duty.
type leaseState struct {
	fencingToken     uint64 // that it holds the duty under, 0 for none
	claimedAt        int64  // when its claim was first seen as agreed
	uncontestedToken uint64 // fence that follows a holder that handed over, or none: nothing is waited out
	resignedToken    uint64 // newest fence that it offered to hand over: it acts no more under that one
	revision         uint64 // newest revision of the register seen
	revisionSeenAt   int64  // when it was first seen
	expiresAt        int64  // end of the lease
	mayCommand       bool   // databases may be commanded and the platform called now
	mayCommandSince  int64  // since when, without a break
	lastStepAt       int64  // when the holder's step last went through
	platformCalls    int    // to the platform, under way
	lastUncertainAt  int64  // when a command or call last ended without an answer
}

// observeRole notes when the newest revision, and the claim in it, were first seen.
func (g *Group) observeRole(now int64, input Input) {
	t := &g.leaseState
	if input.Revision != t.revision {
		t.revision, t.revisionSeenAt = input.Revision, now
	}
	switch {
	case !input.ownsRole():
		t.fencingToken = 0
	case t.fencingToken != input.State.FencingToken:
		t.fencingToken, t.claimedAt = input.State.FencingToken, now
	}
	t.expiresAt = input.Role.Lease.Until
	mayCommand := input.UpToDate && g.CanAct(now, input) && input.Role.Lease.ConfirmedAt >= t.revisionSeenAt && g.previousLeaseExpired(now)
	if mayCommand && !t.mayCommand {
		t.mayCommandSince = now
	}
	t.mayCommand = mayCommand
}

// ownsRole says that this run of this process is the agreed holder.
func (input Input) ownsRole() bool {
	return input.Revision > 0 && input.State.RoleOwner == input.Role.Self && input.State.RoleOwnerRun == input.Role.Run
}

// hasLease says that a majority's word counts now.
func (input Input) hasLease(now int64) bool { return now < input.Role.Lease.Until }

// CanAct says that this process carries the group's changes out: it is the agreed
// holder, and a majority's word counts.
func (g *Group) CanAct(now int64, input Input) bool {
	if !input.hasLease(now) || !input.Role.Eligible {
		return false
	}
	if input.Revision == 0 {
		return input.Role.Successor // it founds the group
	}
	return input.ownsRole() && input.State.FencingToken > g.leaseState.resignedToken
}

// previousLeaseExpired says that no lease of the holder before is left. Each of its leases
// began with a look that a majority returned before that majority accepted the
// claim, so before the claim was seen as agreed here; a tenth more than a lease,
// on this clock, covers both clocks' rates.
func (g *Group) previousLeaseExpired(now int64) bool {
	t := &g.leaseState
	if t.fencingToken == 0 {
		return false
	}
	if t.uncontestedToken == t.fencingToken || now-t.claimedAt >= learner.LeaseEndBoundUs {
		return true
	}
	g.wakeAt(t.claimedAt + learner.LeaseEndBoundUs)
	return false
}

func (g *Group) proposalPending(now int64) bool {
	return g.proposedAt > 0 && now-g.proposedAt < proposalTimeout
}

// changeOwner claims the duty of a holder that is lost, or hands this process's
// own over.
func (g *Group) changeOwner(now int64, input Input) {
	if input.Revision == 0 || !input.UpToDate || !input.hasLease(now) || g.proposalPending(now) {
		return
	}
	switch {
	case !input.Role.Eligible:
		if input.ownsRole() {
			g.handOver(now, input)
		}
	case input.ownsRole(), input.Role.Successor && !input.Role.OwnerPresent:
		g.claim(now, input)
	}
}

// claim asks for the duty under the next fence.
func (g *Group) claim(now int64, input Input) {
	n := nextState(input, ports.Phase(input.State.Phase), input.State.Cause)
	n.RoleOwner, n.RoleOwnerRun, n.FencingToken = input.Role.Self, input.Role.Run, input.State.FencingToken+1
	if input.State.RoleOwner == "" {
		g.leaseState.uncontestedToken = n.FencingToken
	}
	g.propose(now, input, n)
}

// handOver leaves the duty without a holder, so that the next one waits for
// nothing. It is done only where nothing of this holder's can take effect any
// more, and where the one before it was waited out.
func (g *Group) handOver(now int64, input Input) {
	t := &g.leaseState
	if !g.previousLeaseExpired(now) || g.commandInFlight() || t.lastUncertainAt > 0 && now-t.lastUncertainAt < learner.LeaseEndBoundUs {
		g.wakeAt(now + commandRetryInterval)
		return
	}
	t.resignedToken = input.State.FencingToken
	n := nextState(input, ports.Phase(input.State.Phase), input.State.Cause)
	n.RoleOwner, n.RoleOwnerRun = "", 0
	g.propose(now, input, n)
}

// commandInFlight says that a command or a call to the platform has not ended.
func (g *Group) commandInFlight() bool {
	if g.leaseState.platformCalls > 0 {
		return true
	}
	for _, q := range g.calls {
		if q.kind != ports.Status {
			return true
		}
	}
	return false
}

// platformCallDone notes the end of a call to the platform.
func (t *leaseState) platformCallDone(now int64, ok bool) {
	t.platformCalls--
	if !ok {
		t.lastUncertainAt = now
	}
}
