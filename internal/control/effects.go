package control

import (
	"encoding/json"

	"stoneford/failover/sealed"
	"stoneford/internal/settings"
	"stoneford/result"
	"stoneford/schema"
	"stoneford/statemachine"
)

// Effects is the output of one step. Log must be synced to disk first; then Send and Do
// are executed.
type Effects struct {
	Log  []*schema.WALEntry
	Send []statemachine.Send
	Do   []Effect
}

// Effect is an output of Core.Step other than log entries and envelopes.
type Effect interface{ isEffect() }

type (
	// ConfigurationResult ends a PutConfiguration or GetConfiguration.
	ConfigurationResult struct {
		ID       uint64
		Code     result.Code
		Revision uint64          // newest known committed revision
		Text     json.RawMessage // configuration of that revision or, for a dry run, the changed configuration
		Problems []settings.Problem
	}
	// CommandResult ends a Command.
	CommandResult struct {
		ID      uint64
		Code    result.Code
		Text    string
		Windows []*schema.MaintenanceWindow // maintenance windows that Text describes
	}
	// DatabaseCall requests a database's status. With a SealEpoch it first seals the
	// database against all lower epochs. It ends in a DatabaseReply.
	DatabaseCall struct {
		Group     string
		ID        uint64
		Address   string
		SealEpoch uint64
	}
	// FailoverRequest asks the platform to make Target the primary of its group. It is
	// repeated until a status shows that this was done.
	FailoverRequest struct {
		Group    string
		Target   string
		Identity string // identity of the target's data; a database with other data must not be promoted
		Epoch    uint64
		Members  []sealed.Endpoint
	}
	// ReplaceDatabase asks the platform to replace the database with this identity by a
	// new, empty one. It is repeated until a status shows that this was done.
	ReplaceDatabase struct{ Database, Address, Identity string }
	// StopMachine asks the platform to stop the pool node of a machine. It is repeated
	// until the node is no longer alive.
	StopMachine struct{ Machine string }
	// LogEntry is a line for the process's log.
	LogEntry struct {
		Code result.Code
		Text string
	}
)

func (ConfigurationResult) isEffect() {}
func (CommandResult) isEffect()       {}
func (DatabaseCall) isEffect()        {}
func (FailoverRequest) isEffect()     {}
func (ReplaceDatabase) isEffect()     {}
func (StopMachine) isEffect()         {}
func (LogEntry) isEffect()            {}
