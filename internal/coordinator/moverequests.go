package coordinator

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"stoneford/internal/learner"
	"stoneford/internal/ports"
	"stoneford/internal/routingtable"
	"stoneford/paxos"
	"stoneford/schema"
)

// moveTimeout limits how long an operator's request for a move may take to be decided.
const moveTimeout = changeTimeout

// noMajorityReplied is the reported problem if the registers of a move cannot be read.
const noMajorityReplied = "no majority of control processes replied"

// MoveResult is the result of an operator's request for a move.
type MoveResult struct {
	Outcome       ports.Outcome // Stale: the request conflicts with the current state
	Problem       string        // reason for a refusal, empty if there is none
	TableRevision uint64        // register revision of the routing table that names the site
}

// moveUnavailable is the result of a request without contact with a majority.
var moveUnavailable = MoveResult{Outcome: ports.Unavailable, Problem: "no majority of control processes can be reached now; look at the moves, then ask again"}

// tableAndMove holds a routing table and a group's move, both read through a majority.
type tableAndMove struct {
	table        appliedTable
	move         *schema.Move
	moveRevision uint64
}

// readTableAndMove reads the routing table and a group's move through a majority. It calls
// done with nil if one of them cannot be read.
func (c *Core) readTableAndMove(now int64, group string, done func(now int64, read *tableAndMove)) {
	c.readRegister(now, learner.TableKey, func(now int64, outcome paxos.Outcome) {
		content, err := routingtable.Decode(outcome.Value.GetData())
		if outcome.Verdict != paxos.Committed || err != nil {
			done(now, nil)
			return
		}
		table := appliedTable{content: content, revision: outcome.Value.GetRevision()}
		c.readRegister(now, learner.MovePrefix+group, func(now int64, outcome paxos.Outcome) {
			move := &schema.Move{}
			if outcome.Verdict != paxos.Committed || proto.Unmarshal(outcome.Value.GetData(), move) != nil {
				done(now, nil)
				return
			}
			done(now, &tableAndMove{table: table, move: move, moveRevision: outcome.Value.GetRevision()})
		})
	})
}

// finishMoveFunc sends the reply to an operator's request for a move.
type finishMoveFunc func(now int64, result MoveResult)

// decideMoveRequest reads the routing table and the group's move through a majority and
// calls decide with them. It refuses the request if no majority replies.
func (c *Core) decideMoveRequest(now int64, id uint64, group string, decide func(now int64, read *tableAndMove, finish finishMoveFunc)) {
	if !c.admitCall(now, id, moveTimeout, MoveDone{ID: id, Result: moveUnavailable}) {
		return
	}
	finish := func(now int64, result MoveResult) { c.finishCall(now, id, MoveDone{ID: id, Result: result}) }
	c.readTableAndMove(now, group, func(now int64, read *tableAndMove) {
		if read == nil {
			finish(now, MoveResult{Outcome: ports.Unavailable, Problem: noMajorityReplied})
			return
		}
		decide(now, read, finish)
	})
}

// requestMove validates an operator's request for a move and proposes a routing table that
// names the group's new site.
func (c *Core) requestMove(now int64, e Move) {
	c.decideMoveRequest(now, e.ID, e.Group, func(now int64, read *tableAndMove, finish finishMoveFunc) {
		zone, refusal := c.validateMove(e, read)
		if refusal != nil {
			finish(now, *refusal)
			return
		}
		placement := ports.Placement{Group: e.Group, Site: e.Site, PreviousSite: zone}
		if before, ok := read.table.content.Placement(e.Group); ok && c.inSite(before.Site)(zone) {
			placement.PreviousSite = before.Site
		}
		c.proposePlacement(now, read.table, placement, func(now int64, outcome paxos.Outcome) {
			finish(now, placementResult(outcome.Verdict, read.table.revision+1))
		})
	})
}

// validateMove returns the zone of the group's primary, or the refusal if the group cannot
// move to the site.
func (c *Core) validateMove(e Move, read *tableAndMove) (zone string, refusal *MoveResult) {
	placement, placed := read.table.content.Placement(e.Group)
	zone, present := c.primaryZone(e.Group), c.hasDatabaseAt(e.Group, e.Site)
	switch {
	case !slices.ContainsFunc(read.table.content.Groups, func(g ports.Group) bool { return g.Name == e.Group }):
		return "", &MoveResult{Outcome: ports.Invalid, Problem: fmt.Sprintf("the routing table has no group %q", e.Group)}
	case !present:
		return "", &MoveResult{Outcome: ports.Invalid, Problem: fmt.Sprintf("no database of %s is announced at %q", e.Group, e.Site)}
	case zone == "":
		return "", &MoveResult{Outcome: ports.Stale, Problem: fmt.Sprintf("%s has no primary that is announced", e.Group)}
	case placed && isMovePending(placement, read.move) || movePhase(read.move).InProgress():
		return "", &MoveResult{Outcome: ports.Stale, TableRevision: read.move.TableRevision, Problem: fmt.Sprintf("%s is being moved to %s already", e.Group, placement.Site)}
	}
	return zone, nil
}

// primaryZone returns the zone of a group's committed primary, or "" if the primary is not
// announced.
func (c *Core) primaryZone(group string) string {
	committed, _ := c.learner.Committed(learner.LeaderPrefix + group)
	return c.group(group).databases[learner.DecodeLeadership(committed).Primary].Zone
}

// hasDatabaseAt reports whether a database of a group is at a site and not gone.
func (c *Core) hasDatabaseAt(group, site string) bool {
	inSite := c.inSite(site)
	for _, instance := range c.group(group).databases {
		if !instance.Gone && inSite(instance.Zone) {
			return true
		}
	}
	return false
}

// placementResult converts the outcome of a proposed placement to the request's result.
func placementResult(verdict paxos.Verdict, tableRevision uint64) MoveResult {
	switch verdict {
	case paxos.Committed:
		return MoveResult{Outcome: ports.Committed, TableRevision: tableRevision}
	case paxos.Conflict:
		return MoveResult{Outcome: ports.Stale, Problem: "the routing table was changed at the same time; ask again"}
	default:
		return MoveResult{Outcome: ports.Unavailable, Problem: "whether it was taken is not known; look at the moves"}
	}
}

// cancelMove cancels a move that is still staged.
func (c *Core) cancelMove(now int64, e CancelMove) {
	c.decideMoveRequest(now, e.ID, e.Group, func(now int64, read *tableAndMove, finish finishMoveFunc) {
		cancelled, refusal := cancelledMove(e.Group, read)
		if refusal != nil {
			finish(now, *refusal)
			return
		}
		c.proposeValue(now, learner.MovePrefix+e.Group, read.moveRevision, encode(cancelled), func(now int64, outcome paxos.Outcome) {
			finish(now, cancellationResult(outcome.Verdict, cancelled.TableRevision))
		})
	})
}

// cancelledMove returns a group's move in phase cancelled, or the refusal if it cannot be
// cancelled.
func cancelledMove(group string, read *tableAndMove) (cancelled *schema.Move, refusal *MoveResult) {
	placement, placed := read.table.content.Placement(group)
	move := read.move
	switch phase := movePhase(move); {
	case phase == ports.MoveAgreed:
		return nil, &MoveResult{Outcome: ports.Stale, TableRevision: move.TableRevision, Problem: "all work by the new table: the switch is being carried out"}
	case placed && isMovePending(placement, move):
		move = stagedMove(placement)
	case phase != ports.MoveStaged:
		return nil, &MoveResult{Outcome: ports.Stale, TableRevision: move.TableRevision, Problem: "no move of it is staged"}
	}
	return withPhase(move, ports.MoveCancelled, "an operator took it back"), nil
}

// cancellationResult converts the outcome of a proposed cancellation to the request's
// result.
func cancellationResult(verdict paxos.Verdict, tableRevision uint64) MoveResult {
	switch verdict {
	case paxos.Committed:
		return MoveResult{Outcome: ports.Committed, TableRevision: tableRevision}
	case paxos.Conflict:
		return MoveResult{Outcome: ports.Stale, TableRevision: tableRevision, Problem: "the move went on at the same time; look at the moves"}
	default:
		return MoveResult{Outcome: ports.Unavailable, Problem: "whether it was taken back is not known; look at the moves"}
	}
}
