package fenced

import (
	"slices"
	"time"

	"stoneford/internal/ports"
)

// membersProposalTimeout bounds the wait for the end of a proposed membership.
const membersProposalTimeout = 4 * time.Second

// membershipProgress is what has to be seen before a member that departed is
// removed.
type membershipProgress struct {
	// departedAt is when each member that is not announced was found to have
	// departed.
	departedAt map[string]int64
	// requiredPosition is what the primary had received at some moment after that.
	requiredPosition map[string]ports.Position
	// proposedAt is when the proposal in flight was made, 0 if there is none.
	proposedAt int64
}

func newMembershipProgress() membershipProgress {
	return membershipProgress{departedAt: map[string]int64{}, requiredPosition: map[string]ports.Position{}}
}

// updateMembers keeps the committed members up to date: a database that is
// announced joins at once; one that departed is removed once all others have what
// the primary had received after the departure, so that no acknowledged commit
// rests on it alone.
func (g *Group) updateMembers(now int64, input Input, primary ports.Instance) {
	m := &g.membership
	if m.proposedAt > 0 && elapsed(m.proposedAt, now) < membersProposalTimeout {
		return
	}
	var ids []string
	for _, i := range input.Instances {
		ids = append(ids, i.ID)
	}
	for _, id := range input.Members {
		if _, announced := input.instance(id); announced {
			delete(m.departedAt, id)
			delete(m.requiredPosition, id)
			continue
		}
		if !g.removable(now, input, primary, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	if slices.Equal(ids, input.Members) {
		return
	}
	m.proposedAt = now
	g.emit(ProposeMembers{BaseRevision: input.MembersRevision, IDs: ids})
}

// removable says whether all the other members have what the primary had received
// after a member was found to have departed.
func (g *Group) removable(now int64, input Input, primary ports.Instance, id string) bool {
	m := &g.membership
	if !input.departed(id) {
		return false
	}
	if m.departedAt[id] == 0 {
		m.departedAt[id] = now
	}
	if !m.requiredPosition[id].Known() {
		p := g.databases[primary.ID]
		if !p.healthy() || p.observedAt <= m.departedAt[id] || !p.status.Primary {
			g.poll(now, primary, replicaPollInterval)
			return false
		}
		m.requiredPosition[id] = p.status.Received
	}
	others := 0
	for _, i := range input.Instances {
		if i.ID == primary.ID {
			continue
		}
		r := g.databases[i.ID]
		if !r.healthy() || r.observedAt <= m.departedAt[id] || r.status.Received.Before(m.requiredPosition[id]) {
			g.poll(now, i, replicaPollInterval)
			return false
		}
		others++
	}
	return others > 0
}
