package fenced

import (
	"time"

	"stoneford/internal/learner"
	"stoneford/internal/ports"
	"stoneford/schema"
)

// A group's singleton role has one owner at a time (design 16). The group's register
// contains the owner, the run of the owner's process and a fencing token. A process
// commands databases and calls the platform only while all of these hold:
//
//   - Its current run is the committed owner.
//   - It has a lease: a majority of the voters recently answered one of its polls.
//   - A majority has answered it since the newest change of the register.
//   - The lease of the previous owner has expired.

// commandRetryInterval is the delay before a command is retried that the lease does
// not allow yet.
const commandRetryInterval = 10 * time.Millisecond

// RoleState describes a process with regard to the singleton role of a group.
type RoleState struct {
	// Self is the name of this process, and Run is the number of its current run.
	Self string
	Run  uint64
	// Lease is the lease that the voters' answers grant this process. It starts at the
	// send time of the newest poll that a majority of the voters answered. Any process
	// that acts on a newer register value than these answers acts after that time.
	Lease Lease
	// Eligible reports that this process may own a role: it is a voter and not draining.
	Eligible bool
	// Successor reports that this process has to claim the role if its owner is lost.
	Successor bool
	// OwnerPresent reports that a message of the committed owner, from the run that
	// claimed the role, arrived recently, and that the owner has a lease and is not
	// draining.
	OwnerPresent bool
}

// Lease is the period in which a process may act, by the clock of that process.
type Lease struct{ ConfirmedAtUs, ExpiresAtUs int64 }

// leaseState is the role ownership as known to this run of the process.
type leaseState struct {
	fencingToken uint64 // of this process as the owner, 0 if it is not the owner
	claimedAt    int64  // when this process first saw its claim committed
	// uncontestedToken is the token of a claim that followed a handover or was the
	// first one: there is no previous lease to wait for.
	uncontestedToken uint64
	// resignedToken is the newest token under which this process proposed to hand the
	// role over. It no longer acts under that token.
	resignedToken uint64

	revision       uint64 // newest revision of the register seen
	revisionSeenAt int64

	expiresAt       int64 // end of the lease
	mayCommand      bool  // whether databases may be commanded and the platform called now
	mayCommandSince int64 // when mayCommand last became true
	lastStepAt      int64 // when this process last ran a step as the owner

	platformCalls   int   // number of calls in flight
	lastUncertainAt int64 // when a command or a platform call last ended without a result
}

// observeLease updates leaseState from the input.
func (g *Group) observeLease(now int64, input Input) {
	lease := &g.lease
	if input.Revision != lease.revision {
		lease.revision, lease.revisionSeenAt = input.Revision, now
	}
	switch {
	case !input.ownsRole():
		lease.fencingToken = 0
	case lease.fencingToken != input.State.FencingToken:
		lease.fencingToken, lease.claimedAt = input.State.FencingToken, now
	}
	lease.expiresAt = input.Role.Lease.ExpiresAtUs
	mayCommand := input.UpToDate && g.CanAct(now, input) &&
		input.Role.Lease.ConfirmedAtUs >= lease.revisionSeenAt && g.previousLeaseExpired(now)
	if mayCommand && !lease.mayCommand {
		lease.mayCommandSince = now
	}
	lease.mayCommand = mayCommand
}

// ownsRole reports whether the current run of this process is the committed owner.
func (input Input) ownsRole() bool {
	return input.Revision > 0 && input.State.RoleOwner == input.Role.Self && input.State.RoleOwnerRun == input.Role.Run
}

// hasLease reports whether this process has a lease now.
func (input Input) hasLease(now int64) bool { return now < input.Role.Lease.ExpiresAtUs }

// CanAct reports whether this process performs the changes of the group: it is eligible,
// has a lease, and either is the committed owner of the role, which it has not resigned, or
// has to initialize the group.
func (g *Group) CanAct(now int64, input Input) bool {
	if !input.hasLease(now) || !input.Role.Eligible {
		return false
	}
	if input.Revision == 0 {
		return input.Role.Successor
	}
	return input.ownsRole() && input.State.FencingToken > g.lease.resignedToken
}

// previousLeaseExpired reports whether every lease of the previous owner has expired.
// Each of these leases started with a poll that a majority answered before that
// majority accepted the claim, and thus before this process saw the claim committed.
// Waiting a tenth longer than a lease covers the different rates of the two clocks.
func (g *Group) previousLeaseExpired(now int64) bool {
	lease := &g.lease
	if lease.fencingToken == 0 {
		return false
	}
	if lease.uncontestedToken == lease.fencingToken || now-lease.claimedAt >= learner.LeaseEndBoundUs {
		return true
	}
	g.wakeAt(lease.claimedAt + learner.LeaseEndBoundUs)
	return false
}

// changeOwner claims the role if its owner is lost, or claims it again if this process
// resigned it and is eligible once more. A process that owns the role but is no longer
// eligible hands it over.
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

// claim proposes this process as the owner with the next fencing token.
func (g *Group) claim(now int64, input Input) {
	next := unchangedState(input)
	next.RoleOwner, next.RoleOwnerRun, next.FencingToken = input.Role.Self, input.Role.Run, input.State.FencingToken+1
	if input.State.RoleOwner == "" {
		g.lease.uncontestedToken = next.FencingToken
	}
	g.propose(now, input, next)
}

// handOver proposes a state without an owner, so that the next owner does not have to
// wait for a lease to expire. It first waits until no command or platform call of this
// owner can still take effect, and until the lease of the previous owner has expired.
func (g *Group) handOver(now int64, input Input) {
	lease := &g.lease
	uncertain := lease.lastUncertainAt > 0 && now-lease.lastUncertainAt < learner.LeaseEndBoundUs
	if !g.previousLeaseExpired(now) || g.commandInFlight() || uncertain {
		g.wakeAt(after(now, commandRetryInterval))
		return
	}
	lease.resignedToken = input.State.FencingToken
	next := unchangedState(input)
	next.RoleOwner, next.RoleOwnerRun = "", 0
	g.propose(now, input, next)
}

// unchangedState returns a copy of the committed state, for a change of the owner only.
func unchangedState(input Input) *schema.Leadership {
	return nextState(input, input.phase(), input.State.Cause)
}

// commandInFlight reports whether a command to a database or a call to the platform is
// in flight.
func (g *Group) commandInFlight() bool {
	if g.lease.platformCalls > 0 {
		return true
	}
	for _, call := range g.calls.byID {
		if call.kind != ports.Status {
			return true
		}
	}
	return false
}

// platformCallDone records the end of a call to the platform.
func (lease *leaseState) platformCallDone(now int64, accepted bool) {
	lease.platformCalls--
	if !accepted {
		lease.lastUncertainAt = now
	}
}
