package coordinator

import (
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"stoneford/failover/fenced"
	"stoneford/internal/learner"
	"stoneford/internal/ports"
	"stoneford/paxos"
	"stoneford/schema"
	"stoneford/statemachine"
)

type group struct {
	decider              *fenced.Group
	freezeRevision       uint64 // revision of the newest sealing accepted here
	freezeAcceptedAt     int64  // when
	polledBeforeFreeze   map[string]bool
	clearedRevision      uint64                    // newest sealing that no node that looked here goes against
	reportedCleared      uint64                    // newest cleared that the others were told
	databases            map[string]ports.Instance // announced, and those that are gone
	successors           []string                  // control processes, in the order in which they claim its duty
	successorsMembership uint64                    // number of the membership that order is of
	moveProposedAt       int64                     // when a change of its move was put to the vote, 0 for none
	changed              bool
	seenRevision         uint64 // newest revision of its leadership that was gone through here
}

// noteAccepted notes when a sealing came here first: nodes that looked before may
// work by what was before it.
func (c *Core) noteAccepted(now int64, k string) {
	n, ok := strings.CutPrefix(k, learner.LeaderPrefix)
	if !ok {
		return
	}
	l := learner.DecodeLeadership(learner.CommittedValue{Data: c.syncedCells[k].GetValue().GetData()})
	g := c.group(n)
	if l.FreezeRevision <= g.freezeRevision {
		return
	}
	g.freezeRevision, g.freezeAcceptedAt, g.polledBeforeFreeze = l.FreezeRevision, now, map[string]bool{}
	for a, f := range c.pollers {
		if f.kind == "pool" && now-f.lastResponse < learner.LeaseEndBoundUs {
			g.polledBeforeFreeze[a] = true
		}
	}
}

// clearedHere says whether no node that this voter sent a return before it
// accepted the sealing relies on that return any more (design 14.6).
func (c *Core) clearedHere(now int64, n string, g *group) bool {
	if c.activatedAt > 0 && now-c.activatedAt < learner.LeaseEndBoundUs {
		return false // what voters of the membership before returned is not known
	}
	if now-g.freezeAcceptedAt >= learner.LeaseEndBoundUs {
		return true
	}
	if now-c.startedAt < learner.LeaseEndBoundUs {
		return false // what an earlier run returned is not known
	}
	for a := range g.polledBeforeFreeze {
		if f := c.pollers[a]; f == nil || f.groupStatuses[n].GetRevision() < g.freezeRevision {
			return false
		}
	}
	return true
}

// cleared says whether a majority of voters is clear of what was before a
// sealing.
func (c *Core) cleared(now int64, n string, g *group, rev uint64) bool {
	if rev == 0 {
		return false
	}
	k := 0
	for _, o := range c.learner.Voters() {
		if o == c.self {
			if g.freezeRevision >= rev && g.clearedRevision >= rev {
				k++
			}
		} else if f := c.pollers[o]; f != nil {
			if w := f.groupStatuses[n]; w.GetIdle() && w.Revision >= rev {
				k++
			}
		}
	}
	return k > len(c.learner.Voters())/2
}

func (c *Core) group(n string) *group {
	g := c.groups[n]
	if g == nil {
		g = &group{decider: fenced.New(), databases: map[string]ports.Instance{}}
		c.groups[n] = g
	}
	return g
}

func (c *Core) tickGroups(now int64) {
	if !c.isVoting() {
		return
	}
	all := now >= c.nextSweep
	if all {
		c.nextSweep = now + groupSweepInterval
	}
	var due []string
	for n, g := range c.groups {
		if all || g.changed || now >= g.decider.NextStepAt() || g.freezeRevision > g.clearedRevision {
			due = append(due, n)
		}
	}
	slices.Sort(due)
	c.reportConvergedTable(now)
	for _, n := range due {
		c.tickGroup(now, n, c.groups[n])
	}
}

func (c *Core) tickGroup(now int64, n string, g *group) {
	g.changed = false
	if number := c.learner.Membership().Number; g.successorsMembership != number || len(g.successors) != len(c.learner.Voters()) {
		g.successorsMembership = number
		g.successors = statemachine.Rank("change/"+n, c.learner.Voters())
	}
	k := learner.LeaderPrefix + n
	v, ok := c.learner.Committed(k)
	l := &schema.Leadership{}
	if ok {
		l = learner.DecodeLeadership(v)
	}
	if g.freezeRevision > g.clearedRevision && c.clearedHere(now, n, g) {
		g.clearedRevision = g.freezeRevision
		if g.reportedCleared < g.clearedRevision {
			c.learner.RequestPoll()
		}
	}
	i := slices.IndexFunc(c.routingTable.Groups, func(t ports.Group) bool { return t.Name == n })
	if i < 0 {
		return
	}
	in := fenced.Input{Group: n, RequiredReplicaAcks: c.routingTable.Groups[i].RequiredReplicaAcks, State: l, Revision: v.Revision, UpToDate: !c.learner.Unconfirmed(k), Role: c.singletonRole(now, n, l)}
	acts := g.decider.CanAct(now, in)
	if g.seenRevision != v.Revision {
		g.seenRevision = v.Revision
		if acts {
			c.learner.RequestPoll() // a majority is to be met after the change
		}
	}
	if acts {
		c.collectInput(now, n, k, g, l, &in)
		c.addRequestedMove(n, &in)
	}
	fx := g.decider.Step(now, in)
	if acts {
		c.tickMove(now, n, g, in)
	}
	for _, e := range fx {
		switch e := e.(type) {
		case fenced.DatabaseCall:
			c.effects.Do = append(c.effects.Do, DatabaseCall{Group: n, Call: e})
		case fenced.Promote:
			c.effects.Do = append(c.effects.Do, Promote{Group: n, Promote: e})
		case fenced.LogEntry:
			c.logf(e.Code, "%s", e.Message)
		case fenced.ProposeMembers:
			b, err := proto.MarshalOptions{Deterministic: true}.Marshal(&schema.GroupMembers{DatabaseIds: e.IDs})
			if err != nil {
				panic(err)
			}
			c.propose(now, paxos.Change{ID: c.proposalName(), Key: learner.MembersPrefix + n, BaseRevision: e.BaseRevision, Data: b, Deadline: now + changeTimeout}, func(int64, paxos.Outcome) {
				g.decider.MembersProposalDone()
				g.changed = true
			})
		case fenced.ProposeState:
			c.propose(now, paxos.Change{ID: c.proposalName(), Key: k, BaseRevision: e.BaseRevision, Data: e.Data, Deadline: now + changeTimeout}, func(int64, paxos.Outcome) {
				g.decider.StateProposalDone()
				g.changed = true
			})
		}
	}
}

// collectInput brings what databases and nodes said lately into a decider's input.
func (c *Core) collectInput(now int64, n, k string, g *group, l *schema.Leadership, in *fenced.Input) {
	in.LastAnnounced, in.Gone, in.HealthReports = map[string]int64{}, map[string]bool{}, map[string]fenced.HealthReport{}
	for _, id := range slices.Sorted(maps.Keys(g.databases)) {
		if i := g.databases[id]; i.Gone {
			in.Gone[id] = true
		} else {
			in.Instances = append(in.Instances, i)
			in.LastAnnounced[id] = now - c.databases.AgeUs(now, learner.DatabasePrefix+id)
		}
	}
	in.InventoryComplete = c.heardAllDatabases(now)
	if v, ok := c.learner.Committed(learner.MembersPrefix + n); ok {
		m := &schema.GroupMembers{}
		if proto.Unmarshal(v.Data, m) == nil {
			in.Members, in.MembersRevision = m.DatabaseIds, v.Revision
		}
	}
	in.Idle, in.AllNotified = true, true
	for _, f := range c.pollers {
		if f.kind != "pool" || now-f.lastPoll > pollerTimeout {
			continue
		}
		in.ReportingNodes++
		for _, s := range f.healthReports {
			if now-f.lastPoll > ownerTimeout {
				continue
			}
			w := in.HealthReports[s.DatabaseId]
			w.UnreachableFrom++
			if s.Disconnected {
				w.DisconnectedFrom++
			}
			w.LongestFailingUs = max(w.LongestFailingUs, s.FailingUs+now-f.lastPoll)
			in.HealthReports[s.DatabaseId] = w
		}
		w := f.groupStatuses[n]
		in.Idle = in.Idle && w.GetIdle() && w.GetRevision() >= in.Revision
		in.AllNotified = in.AllNotified && w.GetRevision() >= l.FreezeRevision
		if p := (ports.Position{Term: w.GetAckedTerm(), Number: w.GetAckedNumber()}); in.Acknowledged.Before(p) {
			in.Acknowledged = p
		}
	}
	in.NoOlderRevisionInUse = c.cleared(now, n, g, l.FreezeRevision)
}
