package learner

import (
	"slices"
	"strconv"
	"time"

	"stoneford/schema"
	"stoneford/statemachine"
)

const (
	// pollInterval is the time between polls while the lease is renewed. More than two
	// polls fit into a lease, so that one may be lost.
	pollInterval = 420 * time.Millisecond
	// pollRetryInterval is the time between polls while the lease does not last until
	// the next regular poll.
	pollRetryInterval = 150 * time.Millisecond
	// minPollGap is the minimum time between a poll and a following requested poll.
	minPollGap = 8 * time.Millisecond
	// maxPollsInFlight bounds the number of polls that no majority has answered yet. If
	// responses are slow, more polls would only delay them further.
	maxPollsInFlight = 2
	// pollLostTimeout is the time after which a poll that no majority has answered counts
	// as lost.
	pollLostTimeout = 500 * time.Millisecond
	// maxRememberedPolls bounds the number of polls whose responses are still accepted.
	maxRememberedPolls = 16
	// seedPollDelay is the time after the end of the lease from which seeds that are not
	// known as voters are asked for a newer membership.
	seedPollDelay = 500 * time.Millisecond
	// stallThreshold is the time between two polls from which this process is assumed to
	// have been suspended; messages that arrived meanwhile are processed only now.
	stallThreshold = 1500 * time.Millisecond
)

// Report is the report that a process sends to the voters with each poll.
type Report struct {
	// HealthReports name the databases that the process cannot use.
	HealthReports []*schema.HealthReport
	// GroupStatuses are the process's statuses of all groups. Each voter is sent only
	// the statuses that it has not acknowledged.
	GroupStatuses []*schema.GroupStatus
	// Draining is set while the process is shutting down.
	Draining bool
	// TableRevision is the register revision of the routing table that the process uses.
	TableRevision uint64
	// ConvergedTable is set by voters. It is the newest revision of the routing table for
	// which the voter knows that no process uses an older one under a lease that depends
	// on this voter's responses (design 15.3).
	ConvergedTable uint64
	// LaggingProcesses is set by voters: the names of processes that use an older
	// routing table.
	LaggingProcesses []string
}

// poll is one poll and the voters that answered it.
type poll struct {
	number            uint64
	sentAt            int64
	respondedBy       map[string]bool
	majorityResponded bool
}

// pollHistory holds the newest polls and the schedule of the next one.
type pollHistory struct {
	first, newest uint64 // this run sent the poll numbers in (first, newest]
	sent          []poll // newest polls, oldest first
	nextAt        int64  // time of the next regular poll
	lastAt        int64  // time at which the newest poll was sent
	requested     bool   // the next poll should not wait for its interval
}

// newPollHistory returns a history whose first poll number depends on the run, so that a
// late response to an earlier run is not mistaken for a response to this one.
func newPollHistory(self string, run uint64) pollHistory {
	first := statemachine.FirstRequestNumber("look", self, strconv.FormatUint(run, 10))
	return pollHistory{first: first, newest: first}
}

// ofThisRun reports whether a response with this number can belong to this run. An
// update that was sent without a poll has number 0.
func (h *pollHistory) ofThisRun(number uint64) bool {
	return number == 0 || number > h.first && number <= h.newest
}

// find returns the remembered poll with a number, nil if there is none.
func (h *pollHistory) find(number uint64) *poll {
	i := slices.IndexFunc(h.sent, func(p poll) bool { return p.number == number })
	if i < 0 {
		return nil
	}
	return &h.sent[i]
}

// due returns the time at which the next poll should be sent.
func (h *pollHistory) due() int64 {
	due := h.nextAt
	if h.requested {
		due = min(due, h.lastAt+minPollGap.Microseconds())
	}
	return max(due, h.capacityAt())
}

// capacityAt returns the earliest time at which another poll does not exceed
// maxPollsInFlight.
func (h *pollHistory) capacityAt() int64 {
	inFlight := 0
	for _, p := range slices.Backward(h.sent) {
		if p.majorityResponded {
			continue
		}
		if inFlight++; inFlight == maxPollsInFlight {
			return p.sentAt + pollLostTimeout.Microseconds()
		}
	}
	return 0
}

// begin assigns the number of a new poll and schedules the following poll.
func (h *pollHistory) begin(now, leaseUntil int64) {
	h.requested, h.lastAt = false, now
	h.nextAt = now + pollInterval.Microseconds()
	if leaseUntil < now+pollInterval.Microseconds() {
		h.nextAt = now + pollRetryInterval.Microseconds()
	}
	h.newest++
}

// remember adds the newest poll to the history. It returns the number of the poll that
// was dropped to make room, 0 for none.
func (h *pollHistory) remember(now int64) (forgotten uint64) {
	h.sent = append(h.sent, poll{number: h.newest, sentAt: now, respondedBy: map[string]bool{}})
	if len(h.sent) > maxRememberedPolls {
		forgotten = h.sent[0].number
		h.sent = slices.Clone(h.sent[1:])
	}
	return forgotten
}

// leaseRenewed postpones the next poll to one interval after the poll that renewed the
// lease.
func (h *pollHistory) leaseRenewed(renewedBy int64) {
	interval := pollInterval.Microseconds()
	h.nextAt = max(h.nextAt, min(renewedBy+interval, h.lastAt+interval))
}

// RequestPoll requests that the next poll be sent without waiting for the interval.
func (l *Learner) RequestPoll() { l.polls.requested = true }

// Due returns the time at which Tick should be called next.
func (l *Learner) Due() int64 { return l.polls.due() }

// Tick returns a poll for every voter if a poll is due, and nil otherwise. It calls
// report only if a poll is due.
func (l *Learner) Tick(now int64, report func() Report) []statemachine.Send {
	if now < l.Due() {
		return nil
	}
	if now-l.polls.lastAt > stallThreshold.Microseconds() {
		l.lease.disconnectedAt = now
	}
	l.now = now
	l.polls.begin(now, l.lease.until)
	inquiry := l.dueInquiry(now)
	l.checkUnconfirmed(now)
	current := report()
	if forgotten := l.polls.remember(now); forgotten > 0 {
		for _, voter := range l.voters {
			voter.statuses.forgetPoll(forgotten)
		}
	}
	var sends []statemachine.Send
	dataSource := l.dataSource()
	for _, address := range l.rankedVoters() {
		message := l.pollFor(l.voters[address], current)
		if address == dataSource {
			message.IncludeData, message.Unconfirmed = true, inquiry
		}
		sends = append(sends, l.send(address, message))
	}
	return append(sends, l.pollSeeds(now)...)
}

// pollFor returns the newest poll's message for one voter.
func (l *Learner) pollFor(voter *voterState, report Report) *schema.Poll {
	message := l.basicPoll()
	message.VoterRun = voter.run
	message.ChangeNumber = voter.changeNumber
	message.Draining = report.Draining
	message.HealthReports = report.HealthReports
	message.GroupStatuses = voter.statuses.pending(l.now, message.Number, report.GroupStatuses)
	message.TableRevision = report.TableRevision
	message.ConvergedTable = report.ConvergedTable
	message.Lagging = report.LaggingProcesses
	message.Sequenced = true
	message.Resend = voter.gap.requestResend(message.Number)
	return message
}

// basicPoll returns the newest poll's message with only the sender's identity.
func (l *Learner) basicPoll() *schema.Poll {
	return &schema.Poll{Number: l.polls.newest, Name: l.config.Name, Zone: l.config.Zone, Kind: l.config.Kind, Run: l.config.Run}
}

// pollSeeds returns polls that ask the seeds which are not known as voters for a
// newer membership, since all known voters may have been replaced.
func (l *Learner) pollSeeds(now int64) []statemachine.Send {
	if !l.membership.Known() || now-l.lease.until < seedPollDelay.Microseconds() {
		return nil
	}
	var sends []statemachine.Send
	for _, address := range l.config.SeedAddresses {
		if l.voters[address] == nil && address != l.config.Self {
			message := l.basicPoll()
			message.VotersOnly = true
			sends = append(sends, l.send(address, message))
		}
	}
	return sends
}

func (l *Learner) send(to string, message *schema.Poll) statemachine.Send {
	return statemachine.Send{To: to, Envelope: &schema.Envelope{From: l.config.Self, Body: &schema.Envelope_Poll{Poll: message}}}
}
