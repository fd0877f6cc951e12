package sealed

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"stoneford/result"
	"stoneford/schema"
)

const (
	// sealRetryInterval is the time between two seal requests to the same member.
	sealRetryInterval = 150 * time.Millisecond
	// lastMemberGracePeriod limits the wait, once enough members are sealed, for another
	// member that still answers: it may be the most advanced one.
	lastMemberGracePeriod = 300 * time.Millisecond
	// sealLogDelay is the time after which unfinished sealing is logged, and
	// sealLogInterval is the time between two such log entries.
	sealLogDelay    = 1500 * time.Millisecond
	sealLogInterval = 5 * time.Second
)

// sealProgress tracks which members are sealed at an epoch.
type sealProgress struct {
	epoch     uint64
	startedAt int64
	// enoughSealedAt is when enough members were first observed sealed, 0 if they have
	// not been yet.
	enoughSealedAt int64
	sealed         map[string]Status // by member, the status observed when it was sealed
}

// recordReply records a member whose reply shows that it is sealed at the epoch.
func (p *sealProgress) recordReply(call pendingCall, status Status) {
	if call.sealEpoch == p.epoch && status.Epoch == call.sealEpoch && status.Role == roleSealed {
		p.sealed[call.member] = status
	}
}

// analyzeSealing analyzes a group in phase SEALING, whose epoch has no primary yet.
func (g *Group) analyzeSealing(now int64, input Input) Analysis {
	state := input.State
	if g.sealing.epoch != state.Epoch {
		g.sealing = sealProgress{epoch: state.Epoch, startedAt: now, sealed: map[string]Status{}}
		g.nextSealAt = 0
	}
	for _, e := range input.Endpoints {
		if database := g.databases[e.Name]; database.known && database.status.Epoch > state.Epoch {
			return Analysis{Code: LaterEpochSeen, Reason: e.Name + " is in a later epoch"}
		}
	}
	a := Analysis{Code: SealsMissing}
	unsealedAnswers := false
	for _, member := range state.Members {
		if member.Identity == "" {
			continue // no acknowledged commit depends on it
		}
		status, sealed := g.sealing.sealed[member.Database]
		if !sealed || status.Identity != member.Identity {
			// A database on another disk has none of the data of the lost disk.
			database := g.databases[member.Database]
			unsealedAnswers = unsealedAnswers || database != nil && database.failingSince == 0
			continue
		}
		a.SealedMembers++
		if a.Target == "" || g.preferred(state, member.Database, a.Target) {
			a.Target = member.Database
		}
	}
	switch {
	case a.SealedMembers < requiredSeals(state):
	case unsealedAnswers && elapsed(cmp.Or(g.sealing.enoughSealedAt, now), now) < lastMemberGracePeriod:
		a.Code = SealAwaited
	default:
		a.Code = TargetFound
	}
	return a
}

// preferred reports whether a sealed member is a better primary than another one: it is
// more advanced, or it is equally advanced and only the other one is draining or has to
// be avoided.
func (g *Group) preferred(state *schema.GroupState, member, other string) bool {
	m, o := g.sealing.sealed[member], g.sealing.sealed[other]
	undesired := func(name string, s Status) bool { return name == state.Avoid || s.Draining }
	switch cmp.Or(cmp.Compare(m.LogEpoch, o.LogEpoch), cmp.Compare(m.Received, o.Received)) {
	case 1:
		return true
	case 0:
		return undesired(other, o) && !undesired(member, m)
	default:
		return false
	}
}

// requiredSeals returns the number of members that have to be sealed so that one of
// them has every acknowledged commit. Such a commit is on the primary and one replica,
// so all members with an identity but one suffice. The first epoch of a group requires
// all of them, because nothing is known about earlier acknowledged commits.
func requiredSeals(state *schema.GroupState) int {
	members := 0
	for _, member := range state.Members {
		if member.Identity != "" {
			members++
		}
	}
	if state.Cause == causeFirst {
		return members
	}
	return max(1, members-1)
}

// requestSeals requests the members that are not sealed yet to seal themselves at the
// epoch.
func (g *Group) requestSeals(now int64, input Input) {
	if now < g.nextSealAt {
		return
	}
	g.nextSealAt = after(now, sealRetryInterval)
	for _, e := range input.Endpoints {
		if _, sealed := g.sealing.sealed[e.Name]; !sealed {
			g.call(now, e, input.State.Epoch)
		}
	}
}

// sealMembers requests seals, and logs if sealing takes long.
func (g *Group) sealMembers(now int64, input Input, a Analysis) {
	g.requestSeals(now, input)
	if now >= g.nextLogAt && elapsed(g.sealing.startedAt, now) > sealLogDelay {
		g.nextLogAt = after(now, sealLogInterval)
		g.logf(result.FailoverWaiting, "epoch %d: %d of %d members sealed", input.State.Epoch, a.SealedMembers, requiredSeals(input.State))
	}
}

// awaitSeal requests seals and starts the grace period of the remaining member.
func (g *Group) awaitSeal(now int64, input Input, _ Analysis) {
	g.requestSeals(now, input)
	g.sealing.enoughSealedAt = cmp.Or(g.sealing.enoughSealedAt, now)
}

// chooseTarget proposes the most advanced sealed member as the primary.
func (g *Group) chooseTarget(now int64, input Input, a Analysis) {
	g.requestSeals(now, input)
	g.sealing.enoughSealedAt = cmp.Or(g.sealing.enoughSealedAt, now)
	next := proto.CloneOf(input.State)
	next.Phase, next.Primary, next.Avoid = schema.Phase_PROMOTING, a.Target, ""
	var positions []string
	for _, member := range next.Members {
		if status, sealed := g.sealing.sealed[member.Database]; sealed {
			positions = append(positions, fmt.Sprintf("%s at %d/%d", member.Database, status.LogEpoch, status.Received))
		}
	}
	g.logf(result.FailoverTargetChosen, "epoch %d: chose %s as the most advanced of %s", next.Epoch, a.Target, strings.Join(positions, ", "))
	g.propose(now, input.Revision, next)
}
