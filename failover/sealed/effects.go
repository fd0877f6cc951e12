package sealed

import "stoneford/result"

// Effect is an action that the process must execute for a step. The implementations
// are DatabaseCall, ProposeState, Reparent and LogEntry.
type Effect interface{ effect() }

// DatabaseCall requests a database's status, or requests that the database seals itself
// and returns its status. The result is passed to HandleReply.
type DatabaseCall struct {
	ID        uint64
	Address   string
	SealEpoch uint64 // epoch to seal at, 0 for a status request
}

// ProposeState proposes the next revision of the group's register. The process reports
// its end with ProposalDone.
type ProposeState struct {
	BaseRevision uint64
	Data         []byte // a serialized schema.GroupState
}

// Reparent calls the platform to make a database the primary of an epoch and the other
// members its replicas. It returns no result; later polls show its outcome.
type Reparent struct {
	Target    string
	Identity  string // of the target; a database on another disk must not be promoted
	Epoch     uint64
	Endpoints []Endpoint
}

// LogEntry writes an entry to the process's log.
type LogEntry struct {
	Code    result.Code
	Message string
}

func (DatabaseCall) effect() {}
func (ProposeState) effect() {}
func (Reparent) effect()     {}
func (LogEntry) effect()     {}
