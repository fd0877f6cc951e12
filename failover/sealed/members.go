package sealed

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"stoneford/result"
	"stoneford/schema"
)

// Before the database of a member is replaced, the member is set aside. This does not
// end the epoch. First the member is sealed above the epoch, so that it confirms no
// further commits. Once the other replica has everything that the primary had received
// after that, each commit that the member confirmed is on both other members. Then the
// member is committed without an identity, and its database no longer counts when
// seals are counted.

// setAsideProgress records that a member was sealed in order to set it aside.
type setAsideProgress struct {
	epoch    uint64 // epoch in which the member is set aside, 0 if it is not sealed
	sealedAt int64  // when the member was first observed sealed above that epoch
}

// setAsideStep is the next step to set a member aside.
type setAsideStep uint8

const (
	// setAsideImpossible means that the member is the primary, or has no matching
	// committed identity, or that another member is lost.
	setAsideImpossible setAsideStep = iota
	// setAsideUndo means that another member is lost, so that this member, which is
	// already sealed, is needed again.
	setAsideUndo
	// setAsideWait means that another member has not been observed in the epoch.
	setAsideWait
	// setAsideSeal means that the member has to be sealed above the epoch.
	setAsideSeal
	// setAsideCatchUp means that the other members do not have everything that the
	// primary had received after the member was sealed.
	setAsideCatchUp
	// setAsideCommit means that no acknowledged commit depends on the member any more.
	setAsideCommit
)

// setMemberAside performs the next step to set a member aside. It reports whether the
// member is being set aside.
func (g *Group) setMemberAside(now int64, input Input, primary *observation) (inProgress bool) {
	state := input.State
	switch g.nextSetAsideStep(now, input, primary) {
	case setAsideImpossible:
		return false
	case setAsideUndo:
		g.startEpochFor(now, input, input.MemberToSetAside+" was set aside and is needed")
	case setAsideWait:
	case setAsideSeal:
		g.setAside.epoch = 0
		if now >= g.nextSealAt {
			g.nextSealAt = after(now, sealRetryInterval)
			g.call(now, input.endpoint(input.MemberToSetAside), state.Epoch+1)
		}
	case setAsideCatchUp:
		if g.setAside.epoch != state.Epoch {
			g.setAside = setAsideProgress{epoch: state.Epoch, sealedAt: now}
		}
	case setAsideCommit:
		next := proto.CloneOf(state)
		member := next.Members[memberIndex(state, input.MemberToSetAside)]
		member.Retiring, member.Identity = member.Identity, ""
		g.logf(result.MemberRetired, "member %s set aside at commit %d; the other members have received commit %d", input.MemberToSetAside, g.databases[input.MemberToSetAside].status.Received, primary.status.Received)
		g.propose(now, input.Revision, next)
	}
	return true
}

func (g *Group) nextSetAsideStep(now int64, input Input, primary *observation) setAsideStep {
	state := input.State
	database := g.databases[input.MemberToSetAside]
	identity := committedIdentity(state, input.MemberToSetAside)
	if database == nil || !database.known || identity == "" || identity != database.status.Identity || input.MemberToSetAside == state.Primary {
		return setAsideImpossible
	}
	if step, othersReady := g.othersReady(now, input, database); !othersReady {
		return step
	}
	switch {
	case database.status.Epoch <= state.Epoch || database.status.Role != roleSealed:
		return setAsideSeal
	case g.setAside.epoch != state.Epoch || primary.observedAt <= g.setAside.sealedAt:
		return setAsideCatchUp
	}
	for _, member := range state.Members {
		if member.Database != input.MemberToSetAside && g.databases[member.Database].status.Received < primary.status.Received {
			return setAsideCatchUp
		}
	}
	return setAsideCommit
}

// othersReady reports whether all members except the one to be set aside are in the
// epoch. If they are not, it returns the step to perform instead.
func (g *Group) othersReady(now int64, input Input, setAside *observation) (step setAsideStep, ready bool) {
	state := input.State
	for _, member := range state.Members {
		if member.Database == input.MemberToSetAside {
			continue
		}
		database := g.databases[member.Database]
		lost := member.Identity == "" || database == nil ||
			database.known && database.status.Identity != member.Identity || database.unresponsive(now, primaryTimeout)
		switch {
		case lost && setAside.status.Epoch > state.Epoch && setAside.failingSince == 0:
			return setAsideUndo, false
		case lost:
			return setAsideImpossible, false
		case !database.healthy() || !database.inEpoch(state.Epoch):
			return setAsideWait, false
		}
	}
	return setAsideCommit, true
}

// readmitMember starts a new epoch if a database was set aside but is not going to be
// replaced, so that it becomes a replica again. It reports whether it did.
func (g *Group) readmitMember(now int64, input Input) bool {
	for _, member := range input.State.Members {
		database := g.databases[member.Database]
		if member.Retiring == "" || member.Retiring != input.ReadmitIdentity || database == nil || !database.healthy() {
			continue
		}
		if database.status.Identity == input.ReadmitIdentity && database.status.Epoch > input.State.Epoch {
			g.startEpochFor(now, input, member.Database+" was set aside and stays")
			return true
		}
	}
	return false
}

// admitReplacedMember commits the identity of a database with a new disk once the
// database has everything that the primary had received after the new disk was first
// observed. Every commit that depended on the lost disk is then on the new one.
func (g *Group) admitReplacedMember(now int64, input Input, primary *observation) {
	for i, member := range input.State.Members {
		database := g.databases[member.Database]
		if database == nil || !database.known || member.Database == input.State.Primary {
			continue
		}
		identity := database.status.Identity
		retired := identity == member.Retiring && member.Retiring != input.ReadmitIdentity
		if identity == member.Identity || retired {
			database.newIdentity = ""
			continue
		}
		if database.newIdentity != identity {
			database.newIdentity, database.newIdentityAt = identity, now
			continue
		}
		caughtUp := database.failingSince == 0 && database.inEpoch(input.State.Epoch) && database.status.Received >= primary.status.Received
		if primary.observedAt > database.newIdentityAt && caughtUp {
			next := proto.CloneOf(input.State)
			next.Members[i].Identity, next.Members[i].Retiring = identity, ""
			g.logf(result.MemberAdmitted, "member %s admitted at commit %d", member.Database, database.status.Received)
			g.propose(now, input.Revision, next)
			return
		}
	}
}

// memberIndex returns the index of a member in the state, -1 if there is none.
func memberIndex(state *schema.GroupState, name string) int {
	return slices.IndexFunc(state.Members, func(m *schema.GroupMember) bool { return m.Database == name })
}

// committedIdentity returns the committed identity of a member, "" if it has none.
func committedIdentity(state *schema.GroupState, name string) string {
	if i := memberIndex(state, name); i >= 0 {
		return state.Members[i].Identity
	}
	return ""
}
