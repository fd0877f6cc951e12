package coordinator

import (
	"maps"
	"slices"
	"strings"

	"stoneford/internal/learner"
	"stoneford/internal/routingtable"
	"stoneford/paxos"
	"stoneford/result"
	"stoneford/schema"
)

// handlePollResponse handles a voter's response to a poll, or an update that the voter
// sent without a poll.
func (c *Core) handlePollResponse(now int64, from string, response *schema.PollResponse) {
	if c.acceptor.IsFounding() {
		return // founders learn the first membership only from each other (design 3.3)
	}
	if response.Membership != nil {
		c.adoptMembership(now, paxos.MembershipFromProto(response.Membership))
	}
	c.learner.Step(now, from, response)
	c.applyLearned()
}

// applyLearned applies the registers that have a new committed revision or became
// unconfirmed.
func (c *Core) applyLearned() {
	keys, _ := c.learner.TakeChanges()
	if slices.Contains(keys, learner.TableKey) {
		c.applyTable()
	}
	for _, key := range keys {
		for _, prefix := range []string{learner.LeaderPrefix, learner.MembersPrefix, learner.MovePrefix} {
			if name, ok := strings.CutPrefix(key, prefix); ok {
				c.group(name).stepRequested = true
			}
		}
	}
}

// applyTable applies the newest committed routing table. If the table cannot be decoded,
// this process logs the error and keeps the table that it has.
func (c *Core) applyTable() {
	committed, ok := c.learner.Committed(learner.TableKey)
	if !ok || committed.Revision <= c.table.revision {
		return
	}
	content, err := routingtable.Decode(committed.Data)
	if err != nil {
		c.logf(result.InvalidConfiguration, "%s revision %d: %v", learner.TableKey, committed.Revision, err)
		return
	}
	c.table = appliedTable{content: content, revision: committed.Revision}
	c.logf(result.RevisionApplied, "routing table: register revision %d, operators' revision %d", committed.Revision, content.Revision)
	for _, g := range content.Groups {
		c.group(g.Name).stepRequested = true
	}
	c.learner.RequestPoll() // reports the table to the voters, because a move may wait for that
}

// report returns the state that this process reports to the other voters with its polls.
func (c *Core) report() learner.Report {
	report := learner.Report{
		Draining:       c.shutdown.draining,
		TableRevision:  c.table.revision,
		ConvergedTable: c.convergence.local,
	}
	if c.anyMoveStaged() {
		report.LaggingProcesses = c.laggingProcesses(c.lastStep)
	}
	for _, name := range slices.Sorted(maps.Keys(c.groups)) {
		g := c.groups[name]
		if status := c.groupStatus(c.lastStep, name, g); status != nil {
			report.GroupStatuses = append(report.GroupStatuses, status)
		}
	}
	report.GroupStatuses = c.appendLeaseStatus(c.lastStep, report.GroupStatuses)
	return report
}
