package fenced

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"stoneford/internal/ports"
	"stoneford/result"
	"stoneford/schema"
)

// Effect is an action that the process must execute for a step. The implementations
// are DatabaseCall, ProposeState, ProposeMembers, Promote and LogEntry.
type Effect interface{ effect() }

// DatabaseCall sends a request to a database. Its result is passed to
// HandleDatabaseReply. Kind is Status, FreezeReplication, ResumeReplication or StepDown.
type DatabaseCall struct {
	ID       uint64
	Instance ports.Instance
	Kind     ports.StatementKind
	// Term is the term of a FreezeReplication or StepDown, and 0 for other kinds.
	Term uint64
	// TimeoutUs is the timeout of the call, in microseconds.
	TimeoutUs int64
	// LeaseExpiresAtUs is the end of the lease under which a command (any kind but
	// Status) was decided. From then on the command must be neither sent nor in flight.
	LeaseExpiresAtUs int64
}

// ProposeState proposes the next revision of the group's register. The process
// reports its end with StateProposalDone.
type ProposeState struct {
	BaseRevision uint64
	Data         []byte // a serialized schema.Leadership
}

// ProposeMembers proposes the next revision of the group's members. The process
// reports its end with MembersProposalDone.
type ProposeMembers struct {
	BaseRevision uint64
	IDs          []string // sorted
}

// Promote calls the platform to make a database the primary. Its result is passed to
// HandlePromotionResult.
type Promote struct {
	ID string
	// Owner and FencingToken allow a platform that checks them to reject calls of
	// previous owners of the role.
	Owner        string
	FencingToken uint64
	// LeaseExpiresAtUs is the end of the lease under which the call was decided. From
	// then on the call must be neither sent nor in flight.
	LeaseExpiresAtUs int64
}

// LogEntry writes an entry to the process's log.
type LogEntry struct {
	Code    result.Code
	Message string
}

func (DatabaseCall) effect()   {}
func (ProposeState) effect()   {}
func (ProposeMembers) effect() {}
func (Promote) effect()        {}
func (LogEntry) effect()       {}

func (g *Group) emit(e Effect) { g.effects = append(g.effects, e) }

func (g *Group) logf(code result.Code, format string, args ...any) {
	g.emit(LogEntry{Code: code, Message: fmt.Sprintf(format, args...)})
}

// propose emits a proposal of the state that follows the committed one.
func (g *Group) propose(now int64, input Input, state *schema.Leadership) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	if err != nil {
		panic(err) // the message has no required fields and no invalid strings
	}
	g.proposedAt = now
	g.emit(ProposeState{BaseRevision: input.Revision, Data: data})
}

// nextState returns a copy of the committed state with the given phase and cause. The
// owner of the role is unchanged: only a claim or a handover changes it.
func nextState(input Input, phase ports.Phase, cause string) *schema.Leadership {
	next := proto.CloneOf(input.State)
	next.Phase, next.Cause = uint32(phase), cause
	return next
}
