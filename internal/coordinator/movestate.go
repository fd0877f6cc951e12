package coordinator

import (
	"fmt"
	"slices"

	"stoneford/internal/learner"
	"stoneford/internal/ports"
)

// MoveState describes a group's placement and its newest move for operators.
type MoveState struct {
	Group                 string   `json:"group"`
	Site                  string   `json:"site"` // requested site in the routing table
	Phase                 string   `json:"phase"`
	ToSite                string   `json:"to,omitempty"`
	FromSite              string   `json:"from,omitempty"`
	TableRevision         uint64   `json:"table,omitempty"` // register revision of the routing table that all processes must apply
	Cause                 string   `json:"cause,omitempty"`
	Lagging               []string `json:"behind,omitempty"`  // names of processes with an older table
	WaitingFor            string   `json:"waits,omitempty"`   // condition that a staged move waits for
	Primary               string   `json:"primary,omitempty"` // ID of the database
	Zone                  string   `json:"zone,omitempty"`    // zone of the primary
	RequiredTableRevision uint64   `json:"floor,omitempty"`   // processes with an older table must not act for the group
}

// Moves returns the placements in the routing table and the states of their moves.
func (c *Core) Moves(now int64) []MoveState {
	states := []MoveState{}
	for _, placement := range c.table.content.Placements {
		states = append(states, c.moveState(now, placement))
	}
	return states
}

func (c *Core) moveState(now int64, placement ports.Placement) MoveState {
	move, _ := c.move(placement.Group)
	state := MoveState{
		Group:         placement.Group,
		Site:          placement.Site,
		Phase:         movePhase(move).String(),
		ToSite:        move.ToSite,
		FromSite:      move.FromSite,
		TableRevision: move.TableRevision,
		Cause:         move.Cause,
	}
	if committed, ok := c.learner.Committed(learner.LeaderPrefix + placement.Group); ok {
		leadership := learner.DecodeLeadership(committed)
		state.Primary, state.RequiredTableRevision = leadership.Primary, leadership.TableRevision
		state.Zone = c.group(placement.Group).databases[leadership.Primary].Zone
	}
	if isMovePending(placement, move) && movePhase(move) != ports.MoveAgreed {
		state.Phase, state.ToSite, state.FromSite = ports.MoveStaged.String(), placement.Site, placement.PreviousSite
		state.TableRevision, state.Cause = placement.TableRevision, ""
	}
	if state.Phase == ports.MoveStaged.String() {
		state.Lagging, state.WaitingFor = c.describeMoveWait(now, placement.Group, state.TableRevision)
	}
	return state
}

// describeMoveWait returns the condition that a staged move waits for, as far as this
// process knows, and the names of the processes that have applied an older table.
func (c *Core) describeMoveWait(now int64, group string, table uint64) (lagging []string, reason string) {
	if c.majorityConverged(table) {
		if _, problem := c.group(group).decider.MoveCandidate(); problem != "" {
			return nil, problem
		}
		return nil, "a database at the site to be level"
	}
	lagging = c.laggingProcesses(now)
	for _, address := range c.learner.Voters() {
		if p := c.pollers[address]; p != nil && now-p.lastPoll < pollerTimeout.Microseconds() {
			lagging = append(lagging, p.lagging...)
		}
	}
	slices.Sort(lagging)
	lagging = slices.Compact(lagging)
	return lagging, fmt.Sprintf("all processes to work by table %d: %d of %d control processes say so", table, c.votersConverged(table), len(c.learner.Voters()))
}
