package sealed

import "stoneford/result"

// Effect is something that a step asks its process to do. The implementations
// are DatabaseCall, ProposeState, Reparent and LogEntry.
type Effect interface{ effect() }

// DatabaseCall asks a database for its status, or to seal itself and then for its
// status; HandleReply takes the result.
type DatabaseCall struct {
	ID        uint64
	Address   string
	SealEpoch uint64 // the epoch to seal at, 0 for a status
}

// ProposeState proposes the next revision of the group's register; ProposalDone
// ends it.
type ProposeState struct {
	BaseRevision uint64
	Data         []byte // a schema.GroupState
}

// Reparent calls the platform to make a database the primary of an epoch and the
// other members its replicas. It has no result: the polls show what came of it.
type Reparent struct {
	Target    string
	Identity  string // of the database that is meant: one on another disk is not
	Epoch     uint64
	Endpoints []Endpoint
}

// LogEntry is an entry for the process's log.
type LogEntry struct {
	Code    result.Code
	Message string
}

func (DatabaseCall) effect() {}
func (ProposeState) effect() {}
func (Reparent) effect()     {}
func (LogEntry) effect()     {}
