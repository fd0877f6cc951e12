package coordinator

import (
	"maps"
	"slices"
	"strings"

	"stoneford/internal/learner"
	"stoneford/internal/routingtable"
	"stoneford/result"
	"stoneford/schema"
	"stoneford/statemachine"
)

type poller struct {
	changeNumber  uint64
	lastPoll      int64
	lastResponse  int64 // when it was last sent a return
	kind          string
	name          string
	run           uint64
	draining      bool
	wantsData     bool
	lacksLease    bool // a control process that lacks a lease
	healthReports []*schema.HealthReport
	groupStatuses map[string]*schema.GroupStatus
	tables        map[uint64]polledTable // of each run
	lagging       []string
	unconfirmed   []*schema.KeyRevision // of the look that is being returned
}

// polledTable is the newest routing table that a run of a process said it works
// by, and when it looked last.
type polledTable struct {
	polledAt int64
	revision uint64
}

// sendMembership returns a look that wants to know who the voters are.
func (c *Core) sendMembership(to string, m *schema.Poll) {
	r := &schema.PollResponse{Number: m.Number, VoterRun: c.run, ActiveMembership: c.activeMembership, Zone: c.config.Zone, DiskId: c.acceptor.DiskID()}
	if known := c.learner.Membership(); known.Known() {
		r.Membership = known.Proto()
	}
	c.send(statemachine.Send{To: to, Envelope: &schema.Envelope{From: c.self, Body: &schema.Envelope_PollResponse{PollResponse: r}}})
}

// handlePoll returns what changed here since the asker's last.
func (c *Core) handlePoll(now int64, from string, m *schema.Poll) {
	if m.VotersOnly {
		if m.Kind == "control" {
			c.learner.AddContact(from)
		}
		c.sendMembership(from, m)
		return
	}
	f := c.pollers[from]
	if f == nil || f.run != m.Run {
		old := f
		f = &poller{groupStatuses: map[string]*schema.GroupStatus{}, run: m.Run, tables: map[uint64]polledTable{}}
		if old != nil {
			f.tables = old.tables // an earlier run's look may come late, or its lease be in use yet
		}
		c.pollers[from] = f
		c.pacing.forget(from)
	}
	if m.Kind == "control" {
		c.learner.AddContact(from)
	}
	if m.VoterRun == c.run {
		c.pacing.delivered(from, m.ChangeNumber)
	}
	since := c.resumeFrom(f, m)
	for _, ss := range [][]*schema.HealthReport{f.healthReports, m.HealthReports} {
		for _, s := range ss {
			if r := c.databases.Get(learner.DatabasePrefix + s.DatabaseId); r != nil {
				c.group(learner.DecodeInstance(r).Group).changed = true
			}
		}
	}
	f.lastPoll, f.kind, f.name, f.draining, f.wantsData, f.healthReports, f.changeNumber = now, m.Kind, m.Name, m.Draining, m.IncludeData, m.HealthReports, since
	c.notePollerTable(now, from, f, m)
	for _, w := range m.GroupStatuses {
		if w.Group == leaseStatusGroup {
			c.takeLeaseStatus(f, w)
			continue
		}
		f.groupStatuses[w.Group] = w
		c.group(w.Group).changed = true
	}
	f.lastResponse = now
	f.unconfirmed = m.Unconfirmed
	c.send(statemachine.Send{To: from, Envelope: c.pacedUpdate(now, from, f, m.Number)})
	f.unconfirmed = nil
	f.changeNumber = c.changeNumber // what does not arrive shows in the next look
}

// resumeFrom is the place from which a look is returned. What was sent to the asker's run
// already is on its way, as far as the asker does not say that something is missing:
// on a slow way each return would else bring all of it once more, the returns would
// take longer the more looks there are, and never catch up again.
func (c *Core) resumeFrom(f *poller, m *schema.Poll) uint64 {
	switch {
	case m.Sequenced && !m.Resend && f.changeNumber > 0:
		return f.changeNumber
	case m.VoterRun == c.run:
		return m.ChangeNumber
	default:
		return 0
	}
}

// pacedUpdate is what changed since a follower's last look, without the large data if
// as much is still on its way. It names every revision in any case: a lease rests on
// that.
func (c *Core) pacedUpdate(now int64, to string, f *poller, number uint64) *schema.Envelope {
	e := c.updateFor(f, number, f.wantsData)
	if c.pacing.admit(now, pacingKey{to: to, kind: largeUpdate}, e, c.changeNumber) {
		return e
	}
	f.unconfirmed = nil
	return c.updateFor(f, number, false)
}

// committedNewerThan is what this process knows to be agreed of registers that another one
// doubts. Without contact with a majority it says nothing: what it knows is true, and
// may be long replaced.
func (c *Core) committedNewerThan(doubts []*schema.KeyRevision) []*schema.CommittedValue {
	if !c.inContact(c.lastStep) {
		return nil
	}
	var out []*schema.CommittedValue
	for _, d := range doubts {
		if known, ok := c.learner.Committed(d.Key); ok && known.Revision > d.Revision {
			out = append(out, &schema.CommittedValue{Key: d.Key, Membership: known.Membership, Value: &schema.Value{Revision: known.Revision, Data: known.Data}})
		}
	}
	return out
}

// updateFor is what changed since a follower's last look.
func (c *Core) updateFor(f *poller, number uint64, bodies bool) *schema.Envelope {
	r := &schema.PollResponse{Number: number, VoterRun: c.run, ChangeNumber: c.changeNumber, SinceChange: f.changeNumber, ActiveMembership: c.activeMembership,
		PoolNodes: uint32(c.poolNodes()), IncludesData: bodies, Committed: c.committedNewerThan(f.unconfirmed)}
	if f.changeNumber < c.membershipChange || number > 0 && f.changeNumber == 0 {
		// Those who have heard it keep it.
		r.Zone, r.DiskId = c.config.Zone, c.acceptor.DiskID()
		if m := c.learner.Membership(); m.Known() {
			r.Membership = m.Proto()
		}
	}
	if f.changeNumber < c.changeNumber {
		for _, k := range slices.Sorted(maps.Keys(c.changeNumbers)) {
			if c.changeNumbers[k] <= f.changeNumber {
				continue
			}
			if strings.HasPrefix(k, learner.DatabasePrefix) {
				r.Databases = append(r.Databases, c.databases.Get(k))
			} else if d := c.syncedCells[k]; d != nil {
				w := &schema.RegisterState{Key: k, Accepted: d.Accepted, Value: &schema.Value{Revision: d.Value.Revision}}
				// A revision that was told, and is agreed anew under another membership, keeps
				// its data.
				told := k == learner.TableKey && f.changeNumber > 0 && c.acceptedRevisions[k].revision == d.Value.Revision && c.acceptedRevisions[k].changeNumber <= f.changeNumber
				if !told && (bodies || k != learner.TableKey) {
					w.Value.Data = d.Value.Data
				}
				r.Registers = append(r.Registers, w)
			}
		}
	}
	return &schema.Envelope{From: c.self, Body: &schema.Envelope_PollResponse{PollResponse: r}}
}

// pushUpdates tells all that looked lately what changed.
func (c *Core) pushUpdates(now int64) {
	for _, a := range slices.Sorted(maps.Keys(c.pollers)) {
		f := c.pollers[a]
		if now-f.lastPoll < pollerTimeout && f.changeNumber < c.changeNumber {
			c.send(statemachine.Send{To: a, Envelope: c.pacedUpdate(now, a, f, 0)})
			f.changeNumber = c.changeNumber
		}
	}
}

func (c *Core) poolNodes() int {
	n := 0
	for _, f := range c.pollers {
		if f.kind == "pool" && !f.draining && c.lastStep-f.lastPoll < pollerTimeout {
			n++
		}
	}
	return n
}

// applyLearned takes what the view found agreed.
func (c *Core) applyLearned(now int64) {
	ks, _ := c.learner.TakeChanges()
	for _, k := range ks {
		if k == learner.TableKey {
			if v, ok := c.learner.Committed(k); ok && v.Revision > c.tableRevision {
				t, err := routingtable.Decode(v.Data)
				if err != nil {
					c.logf(result.InvalidConfiguration, "%s revision %d: %v", k, v.Revision, err)
					continue
				}
				c.routingTable, c.tableRevision = t, v.Revision
				c.logf(result.RevisionApplied, "routes revision %d, the operators' %d", v.Revision, t.Revision)
				for _, g := range t.Groups {
					c.group(g.Name).changed = true
				}
				c.learner.RequestPoll() // a move may wait to hear that this process works by it
			}
		}
	}
	for _, k := range ks {
		for _, p := range []string{learner.LeaderPrefix, learner.MembersPrefix, learner.MovePrefix} {
			if n, ok := strings.CutPrefix(k, p); ok {
				c.group(n).changed = true
			}
		}
	}
}

// report is what this process tells the other voters.
func (c *Core) report() learner.Report {
	r := learner.Report{Draining: c.draining, TableRevision: c.tableRevision, ConvergedTable: c.convergedTable}
	if c.anyMoveStaged() {
		r.LaggingProcesses = c.laggingProcesses(c.lastStep)
	}
	for _, n := range slices.Sorted(maps.Keys(c.groups)) {
		if g := c.groups[n]; g.clearedRevision > 0 {
			g.reportedCleared = g.clearedRevision
			r.GroupStatuses = append(r.GroupStatuses, &schema.GroupStatus{Group: n, Revision: g.clearedRevision, Idle: true})
		}
	}
	r.GroupStatuses = c.appendLeaseStatus(c.lastStep, r.GroupStatuses)
	return r
}
