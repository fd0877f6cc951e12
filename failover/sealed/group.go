package sealed

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"stoneford/result"
	"stoneford/schema"
)

const (
	// pollInterval is the time between two polls of a database, and thus the delay
	// with which positions and failures are noticed.
	pollInterval = 200 * time.Millisecond
	// proposalTimeout limits the wait for the end of a proposal.
	proposalTimeout = 4 * time.Second
)

// Endpoint is the name and address of a configured member of the group.
type Endpoint struct{ Name, Address string }

// HealthReport aggregates the pool nodes' recent reports on one database.
type HealthReport struct {
	// ReachableFrom and UnreachableFrom are the numbers of nodes that can and cannot use the
	// database.
	ReachableFrom, UnreachableFrom int
	// BusyConnections and OpenTransactions are totals over all nodes.
	BusyConnections, OpenTransactions int
}

// Input contains everything that a step depends on, except the time and the replies.
type Input struct {
	Endpoints      []Endpoint
	InitialPrimary string // configured primary of the first epoch
	// State is the newest committed state known to this process, and Revision is its
	// revision, 0 if there is none. UpToDate reports that no newer state is known to
	// exist.
	State    *schema.GroupState
	Revision uint64
	UpToDate bool
	// HasRole reports that this process leads the group's role. A step does nothing
	// otherwise.
	HasRole       bool
	HealthReports map[string]HealthReport // by database
	// SwitchAwayFrom is the primary that a planned switch has to replace, if any.
	SwitchAwayFrom string
	// MemberToSetAside is the member, if any, that has to be excluded from the
	// acknowledgement of commits so that its database can be replaced.
	MemberToSetAside string
	// ReadmitIdentity is the identity of a database, if any, that was set aside but is
	// not going to be replaced and has to be readmitted.
	ReadmitIdentity string
}

// endpoint returns the configured endpoint of a member. Its address is empty if the
// member is not configured.
func (input Input) endpoint(name string) Endpoint {
	for _, e := range input.Endpoints {
		if e.Name == name {
			return e
		}
	}
	return Endpoint{Name: name}
}

// Group is the state machine of one group. It is not safe for concurrent use.
type Group struct {
	databases map[string]*observation // by member
	calls     pendingCalls
	sealing   sealProgress
	setAside  setAsideProgress

	hadRole      bool  // whether this process had the role at the last step
	proposedAt   int64 // when the pending proposal was made, 0 if there is none
	nextSealAt   int64
	nextLogAt    int64
	nextSwitchAt int64
	// nextReparentAt is the earliest time of the next platform call.
	nextReparentAt int64
	effects        []Effect
}

// New returns a Group without any observations. Its input comes with each step.
func New() *Group {
	return &Group{databases: map[string]*observation{}, calls: newPendingCalls(0)}
}

// ProposalDone reports the end of a ProposeState, whatever its outcome. The next input
// contains the committed state.
func (g *Group) ProposalDone() { g.proposedAt = 0 }

// Step decides what the group needs now and returns the effects in the order in which
// the process has to execute them.
func (g *Group) Step(now int64, input Input) []Effect {
	g.effects = nil
	if !input.HasRole || !input.UpToDate {
		g.hadRole = false
		return nil
	}
	if !g.hadRole {
		// Observations from before another process had the role are out of date.
		*g = Group{databases: map[string]*observation{}, calls: newPendingCalls(g.calls.lastID), hadRole: true, proposedAt: g.proposedAt}
	}
	g.pollDatabases(now, input)
	if g.proposedAt > 0 && elapsed(g.proposedAt, now) < proposalTimeout {
		return g.effects
	}
	g.recover(now, input)
	return g.effects
}

// pollDatabases requests the status of each configured database that is due for a poll.
func (g *Group) pollDatabases(now int64, input Input) {
	for _, e := range input.Endpoints {
		if g.databases[e.Name] == nil {
			g.databases[e.Name] = &observation{}
		}
	}
	for _, e := range input.Endpoints {
		if database := g.databases[e.Name]; now >= database.nextPollAt && database.callInFlight == 0 {
			database.nextPollAt = after(now, pollInterval)
			database.callInFlight = g.call(now, e, 0)
		}
	}
}

// propose emits a proposal of the state that follows the given revision.
func (g *Group) propose(now int64, baseRevision uint64, state *schema.GroupState) {
	data, err := proto.Marshal(state)
	if err != nil {
		panic(err) // the message has no required fields and no invalid strings
	}
	g.proposedAt = now
	g.emit(ProposeState{BaseRevision: baseRevision, Data: data})
}

func (g *Group) emit(e Effect) { g.effects = append(g.effects, e) }

func (g *Group) logf(code result.Code, format string, args ...any) {
	g.emit(LogEntry{Code: code, Message: fmt.Sprintf(format, args...)})
}

// Points in time are microseconds of the caller's monotonic clock; 0 means "never".

// elapsed returns the duration between two points in time.
func elapsed(from, to int64) time.Duration {
	return time.Duration(to-from) * time.Microsecond
}

// after returns the point in time d after moment.
func after(moment int64, d time.Duration) int64 {
	return moment + d.Microseconds()
}
