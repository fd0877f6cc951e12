package coordinator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"stoneford/internal/fleetstate"
	"stoneford/internal/learner"
	"stoneford/schema"
	"stoneford/statemachine"
)

// pollerTimeout is how long after its last poll a process still receives updates and
// counts as a pool node.
const pollerTimeout = 4 * time.Second

// poller is a process that polls this voter: a pool node or another control process.
type poller struct {
	name, kind    string
	run           uint64
	changeNumber  uint64 // newest change that was sent to it
	lastPoll      int64
	lastResponse  int64 // time of the last response to a poll
	draining      bool
	wantsData     bool // whether it requests the data of large registers too
	lacksLease    bool // whether it is a control process that reports that it lacks a lease
	healthReports []*schema.HealthReport
	groupStatuses map[string]*schema.GroupStatus
	statusAt      map[string]int64       // time at which each group's status arrived
	tables        map[uint64]polledTable // by run
	lagging       []string               // names of processes that poll this control process and apply an older table
}

// polledTable is the newest routing table revision that a run of a process reported as
// applied, and the time of that run's last poll.
type polledTable struct {
	polledAt int64
	revision uint64
}

func (p *poller) isPoolNode() bool { return p.kind == fleetstate.KindPool }

// handlePoll records what a poll reports and answers it with the changes that the poller
// has not been sent.
func (c *Core) handlePoll(now int64, from string, poll *schema.Poll) {
	if poll.Kind == fleetstate.KindControl {
		c.learner.AddSeedAddress(from)
	}
	if poll.VotersOnly {
		c.sendMembership(from, poll)
		return
	}
	p := c.pollerFor(from, poll.Run)
	if poll.VoterRun == c.run {
		c.pacing.delivered(from, poll.ChangeNumber)
	}
	since := c.resumeFrom(p, poll)
	c.requestReportedGroupSteps(p.healthReports)
	c.requestReportedGroupSteps(poll.HealthReports)
	p.name, p.kind, p.draining = poll.Name, poll.Kind, poll.Draining
	p.lastPoll, p.wantsData, p.changeNumber, p.healthReports = now, poll.IncludeData, since, poll.HealthReports
	c.recordPollerTable(now, from, p, poll)
	for _, status := range poll.GroupStatuses {
		c.handleGroupStatus(now, p, status)
	}
	p.lastResponse = now
	c.send(statemachine.Send{To: from, Envelope: c.pacedUpdate(now, from, p, poll)})
	p.changeNumber = c.changes.newest // the next poll shows whether this response was lost
}

// pollerFor returns the state of a polling process. It creates a new one if the process
// polls for the first time or has restarted.
func (c *Core) pollerFor(address string, run uint64) *poller {
	known := c.pollers[address]
	if known != nil && known.run == run {
		return known
	}
	p := &poller{run: run, groupStatuses: map[string]*schema.GroupStatus{}, statusAt: map[string]int64{}, tables: map[uint64]polledTable{}}
	if known != nil {
		c.reportsLost(known)
		p.tables = known.tables // a poll of the earlier run may arrive late, or its lease may still be in use
	}
	c.pollers[address] = p
	c.pacing.forget(address)
	return p
}

// handleGroupStatus records what a poller reports about a group, or about its own lease.
func (c *Core) handleGroupStatus(now int64, p *poller, status *schema.GroupStatus) {
	if status.Group == leaseStatusGroup {
		c.handleLeaseStatus(p, status)
		return
	}
	p.groupStatuses[status.Group], p.statusAt[status.Group] = status, now
	g := c.group(status.Group)
	g.stepRequested = true
	if status.PrimaryPosition != nil {
		g.decider.HandlePrimaryPosition(now, status.PrimaryPosition)
	}
}

// requestReportedGroupSteps requests a step of each group that has a database in the
// health reports.
func (c *Core) requestReportedGroupSteps(reports []*schema.HealthReport) {
	for _, report := range reports {
		if record := c.databases.Get(learner.DatabasePrefix + report.DatabaseId); record != nil {
			c.group(learner.DecodeInstance(record).Group).stepRequested = true
		}
	}
}

// resumeFrom returns the number of the last change that the response to a poll can omit.
// Changes that were sent to this run of the poller are assumed to be in flight, unless
// the poller reports that one is missing. Otherwise, on a slow link, each response would
// repeat all of them, responses would take longer with every poll, and the poller would
// never catch up.
func (c *Core) resumeFrom(p *poller, poll *schema.Poll) uint64 {
	switch {
	case poll.Sequenced && !poll.Resend && p.changeNumber > 0:
		return p.changeNumber
	case poll.VoterRun == c.run:
		return poll.ChangeNumber
	default:
		return 0
	}
}

// sendMembership answers a poll that requests only the membership.
func (c *Core) sendMembership(to string, poll *schema.Poll) {
	response := &schema.PollResponse{
		Number: poll.Number, VoterRun: c.run, ActiveMembership: c.disk.activeMembership,
	}
	c.addMembership(response)
	c.send(c.envelopeTo(to, response))
}

// addMembership adds the newest known membership and this process's zone and disk ID to
// a response.
func (c *Core) addMembership(response *schema.PollResponse) {
	response.Zone, response.DiskId = c.config.Zone, c.acceptor.DiskID()
	if membership := c.learner.Membership(); membership.Known() {
		response.Membership = membership.Proto()
	}
}

// pushUpdates sends the new changes to all processes that polled within pollerTimeout.
func (c *Core) pushUpdates(now int64) {
	for _, address := range slices.Sorted(maps.Keys(c.pollers)) {
		p := c.pollers[address]
		if now-p.lastPoll < pollerTimeout.Microseconds() && p.changeNumber < c.changes.newest {
			c.send(statemachine.Send{To: address, Envelope: c.pacedUpdate(now, address, p, nil)})
			p.changeNumber = c.changes.newest
		}
	}
}

// pacedUpdate returns a response with the changes since a poller's last one. It leaves
// out the large data while an earlier large response is still in flight, but always
// includes every revision, because the poller's lease depends on the revisions. poll is
// the poll to answer, nil for an update that was not requested.
func (c *Core) pacedUpdate(now int64, to string, p *poller, poll *schema.Poll) *schema.Envelope {
	update := c.updateFor(p, poll.GetNumber(), poll.GetUnconfirmed(), p.wantsData)
	envelope := c.envelopeTo(to, update).Envelope
	if c.pacing.admit(now, pacingKey{to: to, kind: largeUpdate}, envelope, c.changes.newest) {
		return envelope
	}
	return c.envelopeTo(to, c.updateFor(p, poll.GetNumber(), nil, false)).Envelope
}

// updateFor returns the changes since a poller's last response, and the committed values
// of the registers that are unconfirmed at the poller.
func (c *Core) updateFor(p *poller, number uint64, unconfirmed []*schema.KeyRevision, withData bool) *schema.PollResponse {
	response := &schema.PollResponse{
		Number:           number,
		VoterRun:         c.run,
		ChangeNumber:     c.changes.newest,
		SinceChange:      p.changeNumber,
		ActiveMembership: c.disk.activeMembership,
		PoolNodes:        uint32(c.poolNodes()),
		IncludesData:     withData,
		Committed:        c.committedNewerThan(unconfirmed),
	}
	if p.changeNumber < c.changes.membership || number > 0 && p.changeNumber == 0 {
		c.addMembership(response) // sent once per change: the poller keeps it
	}
	if p.changeNumber == c.changes.newest {
		return response
	}
	for _, key := range slices.Sorted(maps.Keys(c.changes.byKey)) {
		if c.changes.byKey[key] > p.changeNumber {
			c.addChange(response, p, key, withData)
		}
	}
	return response
}

// addChange adds a record, or the accepted value of a register, to a response. The data
// of the routing table is large. It is left out if the poller did not request it, or if
// the poller was sent this revision before and only its ballot has changed.
func (c *Core) addChange(response *schema.PollResponse, p *poller, key string, withData bool) {
	if strings.HasPrefix(key, learner.DatabasePrefix) {
		response.Databases = append(response.Databases, c.databases.Get(key))
		return
	}
	accepted := c.disk.registers[key]
	if accepted == nil {
		return
	}
	value := &schema.Value{Revision: accepted.Value.Revision}
	if key != learner.TableKey || withData && !c.changes.hasRevision(key, value.Revision, p.changeNumber) {
		value.Data = accepted.Value.Data
	}
	response.Registers = append(response.Registers, &schema.RegisterState{Key: key, Accepted: accepted.Accepted, Value: value})
}

// committedNewerThan returns the committed values that are newer than the given
// unconfirmed revisions. It returns nothing without contact with a majority, because the
// committed values known here may have been replaced long ago.
func (c *Core) committedNewerThan(unconfirmed []*schema.KeyRevision) []*schema.CommittedValue {
	if !c.inContact(c.lastStep) {
		return nil
	}
	var values []*schema.CommittedValue
	for _, known := range unconfirmed {
		committed, ok := c.learner.Committed(known.Key)
		if !ok || committed.Revision <= known.Revision {
			continue
		}
		values = append(values, &schema.CommittedValue{
			Key:        known.Key,
			Membership: committed.Membership,
			Value:      &schema.Value{Revision: committed.Revision, Data: committed.Data},
		})
	}
	return values
}

// poolNodes returns the number of pool nodes that polled this voter within pollerTimeout
// and are not draining.
func (c *Core) poolNodes() int {
	count := 0
	for _, p := range c.pollers {
		if p.isPoolNode() && !p.draining && c.lastStep-p.lastPoll < pollerTimeout.Microseconds() {
			count++
		}
	}
	return count
}

// forgetPollers removes processes that have not polled for ten times pollerTimeout.
func (c *Core) forgetPollers(now int64) {
	maps.DeleteFunc(c.pollers, func(_ string, p *poller) bool {
		forgotten := now-p.lastPoll > 10*pollerTimeout.Microseconds()
		if forgotten {
			c.reportsLost(p)
		}
		return forgotten
	})
}

func (c *Core) envelopeTo(to string, response *schema.PollResponse) statemachine.Send {
	return statemachine.Send{To: to, Envelope: &schema.Envelope{From: c.self, Body: &schema.Envelope_PollResponse{PollResponse: response}}}
}
