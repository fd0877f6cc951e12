package fenced

import (
	"slices"
	"time"

	"stoneford/internal/ports"
)

// membersProposalTimeout limits the wait for the end of a membership proposal.
const membersProposalTimeout = 4 * time.Second

// membershipProgress tracks the conditions for the removal of departed members.
type membershipProgress struct {
	departures map[string]*departure // by database ID
	// proposedAt is when the pending proposal was made, 0 if there is none.
	proposedAt int64
}

// departure is the progress of the removal of one departed member.
type departure struct {
	detectedAt int64 // when this process detected it
	// stoppedAt is when the member was first known to confirm no more commits, 0 if it may.
	stoppedAt int64
	// requiredPosition is a position that the primary had received after that. The
	// announced replicas must reach it before the member is removed.
	requiredPosition ports.Position
}

func newMembershipProgress() membershipProgress {
	return membershipProgress{departures: map[string]*departure{}}
}

// updateMembers keeps the committed members up to date. An announced database is added
// immediately. A departed member is removed once it no longer confirms commits, and all
// announced replicas have received what the primary had after that, so that no acknowledged
// commit depends on the departed member alone.
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

// removable reports whether a departed member confirms no more commits, and all announced
// replicas, at least one, have received what the primary had after that.
func (g *Group) removable(now int64, input Input, primary ports.Instance, id string) bool {
	if !input.departed(id) {
		return false
	}
	d := g.membership.departures[id]
	if g.mayStillConfirm(now, input, id, d.detectedAt) {
		d.stoppedAt, d.requiredPosition = 0, ports.Position{}
		return false
	}
	if d.stoppedAt == 0 {
		d.stoppedAt = now
	}
	if !d.requiredPosition.Known() {
		p := g.databases[primary.ID]
		if !p.healthy() || p.observedAt <= d.stoppedAt || !p.status.Primary {
			g.poll(now, primary, replicaPollInterval)
			return false
		}
		d.requiredPosition = p.status.Received
	}
	return g.replicasReached(now, input, primary, d)
}

// replicasReached reports whether all announced replicas, at least one, were observed to have
// received the required position of a departure.
func (g *Group) replicasReached(now int64, input Input, primary ports.Instance, d *departure) bool {
	others := 0
	for _, i := range input.Instances {
		if i.ID == primary.ID {
			continue
		}
		r := g.databases[i.ID]
		if !r.healthy() || r.observedAt <= d.stoppedAt || r.status.Received.Before(d.requiredPosition) {
			g.poll(now, i, replicaPollInterval)
			return false
		}
		others++
	}
	return others > 0
}
