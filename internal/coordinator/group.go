package coordinator

import (
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"stoneford/failover/fenced"
	"stoneford/internal/learner"
	"stoneford/internal/ports"
	"stoneford/paxos"
	"stoneford/schema"
	"stoneford/statemachine"
)

// groupSweepInterval is the time between two steps of a group without new events.
const groupSweepInterval = 250 * time.Millisecond

// group is this process's state of a group, which is a primary with its replicas.
type group struct {
	decider   *fenced.Group
	databases map[string]ports.Instance // announced and gone databases, by ID
	freeze    freezeState
	// successors lists the voters in the order in which they claim the group's role when
	// its owner is lost. It was computed for membership number successorsMembership.
	successors           []string
	successorsMembership uint64
	moveProposedAt       int64  // time of the pending proposal for its move, 0 if none is pending
	seenRevision         uint64 // newest leadership revision that a step handled
	stepRequested        bool   // whether it is stepped in the next tick
}

// group returns the state of a group. It creates one for an unknown group.
func (c *Core) group(name string) *group {
	g := c.groups[name]
	if g == nil {
		g = &group{decider: fenced.New(), databases: map[string]ports.Instance{}}
		c.groups[name] = g
	}
	return g
}

// requestAllGroupSteps requests a step of every group.
func (c *Core) requestAllGroupSteps() {
	for _, g := range c.groups {
		g.stepRequested = true
	}
}

// tickGroups steps the groups that have new input or are due, in the order of their names.
func (c *Core) tickGroups(now int64) {
	if !c.isVoting() {
		return
	}
	sweep := now >= c.nextSweep
	if sweep {
		c.nextSweep = now + groupSweepInterval.Microseconds()
	}
	var due []string
	for name, g := range c.groups {
		if sweep || g.stepRequested || now >= g.decider.NextStepAtUs() || g.freeze.pending() {
			due = append(due, name)
		}
	}
	slices.Sort(due)
	c.reportConvergedTable(now)
	for _, name := range due {
		c.tickGroup(now, name, c.groups[name])
	}
}

// groupsDue returns the time at which a group must be stepped next.
func (c *Core) groupsDue(now int64) int64 {
	due := int64(math.MaxInt64)
	for _, g := range c.groups {
		due = min(due, g.decider.NextStepAtUs())
		if g.stepRequested {
			due = min(due, now)
		}
		if !g.freeze.pending() {
			continue
		}
		due = min(due, g.freeze.acceptedAt+learner.LeaseEndBoundUs)
		if heardAll := c.startedAt + learner.LeaseEndBoundUs; heardAll > now {
			due = min(due, heardAll)
		}
	}
	return due
}

// tickGroup steps one group: it passes the known state to the group's decider and carries
// out the effects that the decider returns.
func (c *Core) tickGroup(now int64, name string, g *group) {
	g.stepRequested = false
	c.rankSuccessors(name, g)
	c.clearFreeze(now, name, g)
	i := slices.IndexFunc(c.table.content.Groups, func(t ports.Group) bool { return t.Name == name })
	if i < 0 {
		return
	}
	input := c.leadershipInput(now, name)
	input.RequiredReplicaAcks = c.table.content.Groups[i].RequiredReplicaAcks
	owner := g.decider.CanAct(now, input)
	if g.seenRevision != input.Revision {
		g.seenRevision = input.Revision
		if owner {
			c.learner.RequestPoll() // acting as the owner requires a majority's confirmation of the new revision
		}
	}
	if owner {
		c.addGroupInput(now, name, g, &input)
		c.addRequestedMove(name, &input)
	}
	effects := g.decider.Step(now, input)
	if owner {
		c.tickMove(now, name, g, input)
	}
	for _, effect := range effects {
		c.handleGroupEffect(now, name, g, effect)
	}
}

// rankSuccessors recomputes a group's successors if the membership has changed.
func (c *Core) rankSuccessors(name string, g *group) {
	voters, number := c.learner.Voters(), c.learner.Membership().Number
	if g.successorsMembership != number || len(g.successors) != len(voters) {
		g.successorsMembership = number
		g.successors = statemachine.Rank("change/"+name, voters)
	}
}

// leadershipInput returns the part of a decider's input that is available on every
// control process: the group's leadership and this process's state for its role.
func (c *Core) leadershipInput(now int64, name string) fenced.Input {
	key := learner.LeaderPrefix + name
	committed, ok := c.learner.Committed(key)
	leadership := &schema.Leadership{}
	if ok {
		leadership = learner.DecodeLeadership(committed)
	}
	return fenced.Input{
		Group:    name,
		State:    leadership,
		Revision: committed.Revision,
		UpToDate: !c.learner.Unconfirmed(key),
		Role:     c.roleState(now, name, leadership),
	}
}

// handleGroupEffect carries out an effect of a group's decider.
func (c *Core) handleGroupEffect(now int64, name string, g *group, effect fenced.Effect) {
	switch e := effect.(type) {
	case fenced.DatabaseCall:
		c.emit(DatabaseCall{Group: name, Call: e})
	case fenced.Promote:
		c.emit(Promote{Group: name, Promote: e})
	case fenced.LogEntry:
		c.logf(e.Code, "%s", e.Message)
	case fenced.ProposeMembers:
		data := encode(&schema.GroupMembers{DatabaseIds: e.IDs})
		c.proposeValue(now, learner.MembersPrefix+name, e.BaseRevision, data, func(int64, paxos.Outcome) {
			g.decider.MembersProposalDone()
			g.stepRequested = true
		})
	case fenced.ProposeState:
		c.proposeValue(now, learner.LeaderPrefix+name, e.BaseRevision, e.Data, func(int64, paxos.Outcome) {
			g.decider.StateProposalDone()
			g.stepRequested = true
		})
	}
}

// encode marshals a register's value deterministically, so that all processes produce the
// same bytes.
func encode(message proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		panic(err) // not reached: these messages can always be encoded
	}
	return data
}
