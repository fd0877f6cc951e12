package learner

import (
	"maps"

	"stoneford/internal/ports"
	"stoneford/schema"
)

// voterState is the state that one run of a voter has reported.
type voterState struct {
	run              uint64 // run of the voter's process, 0 while unknown
	newestPoll       uint64 // newest poll that this run answered
	changeNumber     uint64 // newest change of the voter that is known here
	activeMembership uint64 // number of the membership that the voter votes under
	diskID           uint64 // ID of the voter's disk
	zone             string
	poolNodes        int                              // pool nodes that poll the voter, by its own report
	registers        map[string]*schema.RegisterState // values that the voter accepted, by key
	lastResponse     int64                            // 0 for never
	statuses         statusDelivery
	gap              gapState
}

// newVoterState returns the state of a voter of which only the run is known.
func newVoterState(run uint64) *voterState {
	return &voterState{run: run, registers: map[string]*schema.RegisterState{}}
}

// acceptedRevision returns the revision of a key that the voter holds, 0 for none.
func (v *voterState) acceptedRevision(key string) uint64 {
	return v.registers[key].GetValue().GetRevision()
}

// statusDelivery tracks which group statuses a run of a voter has received, so that
// each poll carries only the others.
type statusDelivery struct {
	acknowledged map[string]deliveredStatus            // by group
	sentByPoll   map[uint64]map[string]deliveredStatus // not acknowledged yet, by poll number and group
}

// deliveredStatus holds the fields of a group status whose change makes the status be
// sent again. A pool node's newest acknowledged commit is not among them: it matters only
// during a failover, which raises the revision.
type deliveredStatus struct {
	revision uint64
	idle     bool
	// These are set for a voter's status only.
	completeSince     int64
	acknowledged      ports.Position
	primaryObservedAt int64
}

// deliveredStatusOf returns the fields of a status that is sent now.
func deliveredStatusOf(now int64, status *schema.GroupStatus) deliveredStatus {
	delivered := deliveredStatus{revision: status.Revision, idle: status.Idle}
	if status.CompleteForUs > 0 {
		delivered.completeSince = now - status.CompleteForUs
		delivered.acknowledged = ports.Position{Term: status.AckedTerm, Number: status.AckedNumber}
	}
	if status.PrimaryPosition != nil {
		delivered.primaryObservedAt = now - status.PrimaryPosition.ObservedUs
	}
	return delivered
}

// pending returns the statuses that the voter has not acknowledged, and records that the
// poll with this number, which is sent now, carries them.
func (d *statusDelivery) pending(now int64, number uint64, statuses []*schema.GroupStatus) []*schema.GroupStatus {
	var pending []*schema.GroupStatus
	sent := map[string]deliveredStatus{}
	for _, status := range statuses {
		current := deliveredStatusOf(now, status)
		if delivered, ok := d.acknowledged[status.Group]; ok && delivered == current {
			continue
		}
		pending = append(pending, status)
		sent[status.Group] = current
	}
	if len(pending) == 0 {
		return nil
	}
	if d.sentByPoll == nil {
		d.sentByPoll = map[uint64]map[string]deliveredStatus{}
	}
	d.sentByPoll[number] = sent
	return pending
}

// acknowledge records that the voter received the statuses in a poll.
func (d *statusDelivery) acknowledge(number uint64) {
	if d.acknowledged == nil {
		d.acknowledged = map[string]deliveredStatus{}
	}
	maps.Copy(d.acknowledged, d.sentByPoll[number])
	delete(d.sentByPoll, number)
}

// forgetPoll drops the statuses of a poll whose response would no longer be accepted.
func (d *statusDelivery) forgetPoll(number uint64) { delete(d.sentByPoll, number) }

// gapState tracks whether changes of a voter are missing and whether the voter was asked
// to resend them.
type gapState struct {
	open       bool   // changes are missing and have not been requested
	resendPoll uint64 // poll that requested them, 0 if none is in flight
}

// requestResend reports whether the poll with this number should request the missing
// changes, and records that it does.
func (g *gapState) requestResend(number uint64) bool {
	if !g.open {
		return false
	}
	g.open, g.resendPoll = false, number
	return true
}

// close records that the response to a poll had no gap.
func (g *gapState) close(number uint64) {
	g.open = false
	if number >= g.resendPoll {
		g.resendPoll = 0
	}
}
