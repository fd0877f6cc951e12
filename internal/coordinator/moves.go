package coordinator

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"stoneford/failover/fenced"
	"stoneford/internal/learner"
	"stoneford/internal/ports"
	"stoneford/internal/routingtable"
	"stoneford/paxos"
	"stoneford/result"
	"stoneford/schema"
)

// A move transfers a group's primary to another site (design 15). The routing table names
// the site. The register move/<group> stores the phase of the group's newest move. The
// leadership changes only once all processes have applied that routing table.

// moveRetryInterval is the time after which a change of a move is proposed again if its
// outcome is still unknown.
const moveRetryInterval = 4 * time.Second

// move returns a group's newest move and the revision of its register.
func (c *Core) move(name string) (*schema.Move, uint64) {
	committed, ok := c.learner.Committed(learner.MovePrefix + name)
	move := &schema.Move{}
	if !ok || proto.Unmarshal(committed.Data, move) != nil {
		return &schema.Move{}, committed.Revision
	}
	return move, committed.Revision
}

func movePhase(move *schema.Move) ports.MovePhase { return ports.MovePhase(move.Phase) }

// isMovePending reports whether a placement's move has not started yet: the group's move
// register still contains the move of an earlier placement.
func isMovePending(placement ports.Placement, move *schema.Move) bool {
	return !placement.Reverted && placement.TableRevision > move.TableRevision
}

// anyMoveStaged reports whether a move waits for the routing table to converge.
func (c *Core) anyMoveStaged() bool {
	return slices.ContainsFunc(c.table.content.Placements, func(placement ports.Placement) bool {
		move, _ := c.move(placement.Group)
		return isMovePending(placement, move) || movePhase(move) == ports.MoveStaged
	})
}

// requestPlacedGroupSteps requests a step of every group with a placement.
func (c *Core) requestPlacedGroupSteps() {
	for _, placement := range c.table.content.Placements {
		c.group(placement.Group).stepRequested = true
	}
}

// inSite returns a function that reports whether a zone belongs to a site. A site is a zone
// or a region.
func (c *Core) inSite(site string) func(zone string) bool {
	return func(zone string) bool {
		return zone == site || c.config.Zones[zone] == site || zone == c.config.Zone && c.config.Region == site
	}
}

// addRequestedMove adds the group's requested site and the state of its move to a decider's
// input.
func (c *Core) addRequestedMove(name string, input *fenced.Input) {
	placement, ok := c.table.content.Placement(name)
	if !ok {
		return
	}
	input.Move = fenced.SiteMove{InSite: c.inSite(placement.Site), Site: placement.Site}
	move, _ := c.move(name)
	if c.learner.Unconfirmed(learner.MovePrefix + name) {
		return
	}
	switch movePhase(move) {
	case ports.MoveStaged:
		input.Move.CheckCandidate = move.TableRevision == placement.TableRevision && c.majorityConverged(move.TableRevision)
	case ports.MoveAgreed:
		// An operator's next placement waits until this one has ended.
		input.Move = fenced.SiteMove{InSite: c.inSite(move.ToSite), Site: move.ToSite, TableRevision: move.TableRevision, Committed: true}
	}
}

// tickMove proposes the next phase of a group's move if its condition is met.
func (c *Core) tickMove(now int64, name string, g *group, input fenced.Input) {
	placement, ok := c.table.content.Placement(name)
	if !ok || !input.UpToDate || c.learner.Unconfirmed(learner.MovePrefix+name) {
		return
	}
	if g.moveProposedAt > 0 && now-g.moveProposedAt < moveRetryInterval.Microseconds() {
		return
	}
	move, revision := c.move(name)
	switch phase := movePhase(move); {
	case phase == ports.MoveAgreed:
		c.endSwitchedMove(now, name, g, input)
	case isMovePending(placement, move):
		c.proposeMove(now, name, g, revision, stagedMove(placement))
	case phase == ports.MoveStaged:
		c.commitStagedMove(now, name, g, input)
	case phase == ports.MoveFailed || phase == ports.MoveCancelled:
		if placement.TableRevision == move.TableRevision && !placement.Reverted {
			c.revertPlacement(now, name, g, input, placement)
		}
	}
}

// stagedMove returns a placement's move in its first phase.
func stagedMove(placement ports.Placement) *schema.Move {
	return &schema.Move{
		ToSite:        placement.Site,
		FromSite:      placement.PreviousSite,
		TableRevision: placement.TableRevision,
		Phase:         uint32(ports.MoveStaged),
	}
}

// isServing reports whether a group has a committed leadership and no change of primary in
// progress.
func isServing(input fenced.Input) bool {
	return input.Revision > 0 && ports.Phase(input.State.Phase) == ports.PhaseServing
}

// endSwitchedMove ends a committed move after the leadership changed for it. The move
// succeeded if the primary is now at the requested site.
func (c *Core) endSwitchedMove(now int64, name string, g *group, input fenced.Input) {
	move, revision := c.move(name)
	primary, known := g.databases[input.State.Primary]
	if !isServing(input) || input.State.TableRevision < move.TableRevision || !known {
		return
	}
	phase := ports.MoveFailed
	if c.inSite(move.ToSite)(primary.Zone) {
		phase = ports.MoveSwitched
	}
	c.proposeMove(now, name, g, revision, withPhase(move, phase, input.State.Cause))
}

// commitStagedMove commits a staged move once all processes have applied its routing table
// and a replica at the site has caught up.
func (c *Core) commitStagedMove(now int64, name string, g *group, input fenced.Input) {
	move, revision := c.move(name)
	ready, _ := g.decider.MoveCandidate()
	if input.Move.CheckCandidate && isServing(input) && ready && c.majorityConverged(move.TableRevision) {
		c.proposeMove(now, name, g, revision, withPhase(move, ports.MoveAgreed, ""))
	}
}

// withPhase returns a copy of a move with another phase and cause.
func withPhase(move *schema.Move, phase ports.MovePhase, cause string) *schema.Move {
	next := proto.Clone(move).(*schema.Move)
	next.Phase, next.Cause = uint32(phase), cause
	return next
}

// revertPlacement proposes a routing table that names the group's current site again, after
// a move that failed or was cancelled.
func (c *Core) revertPlacement(now int64, name string, g *group, input fenced.Input, placement ports.Placement) {
	move, _ := c.move(name)
	site := move.FromSite
	if primary, ok := g.databases[input.State.GetPrimary()]; ok && !c.inSite(site)(primary.Zone) {
		site = primary.Zone
	}
	g.moveProposedAt = now
	reverted := ports.Placement{Group: name, Site: site, PreviousSite: placement.Site, Reverted: true}
	c.proposePlacement(now, c.table, reverted, func(int64, paxos.Outcome) { g.moveProposalDone() })
}

// moveProposalDone records that the pending proposal for the group's move has ended with
// any outcome.
func (g *group) moveProposalDone() { g.moveProposedAt, g.stepRequested = 0, true }

// proposeMove proposes the next phase of a group's move.
func (c *Core) proposeMove(now int64, name string, g *group, base uint64, move *schema.Move) {
	g.moveProposedAt = now
	c.logf(result.MoveAdvanced, "move of group %s to %s, routing table revision %d: %s %s", name, move.ToSite, move.TableRevision, movePhase(move), move.Cause)
	c.proposeValue(now, learner.MovePrefix+name, base, encode(move), func(int64, paxos.Outcome) { g.moveProposalDone() })
}

// proposePlacement proposes a routing table that adds a placement to a base table. The
// placement's TableRevision is the register revision of the new table.
func (c *Core) proposePlacement(now int64, base appliedTable, placement ports.Placement, done outcomeFunc) {
	placement.TableRevision = base.revision + 1
	c.proposeValue(now, learner.TableKey, base.revision, routingtable.Encode(routingtable.WithPlacement(base.content, placement)), done)
}
