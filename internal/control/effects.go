package control

import (
	"encoding/json"

	"stoneford/failover/sealed"
	"stoneford/internal/settings"
	"stoneford/result"
	"stoneford/schema"
	"stoneford/statemachine"
)

// Effects is what one step asks its process to do, in this order: Log is synced
// to disk first, then Send and Do are carried out.
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
		Revision uint64          // newest committed revision known
		Text     json.RawMessage // configuration of that revision; of a dry run, what it would become
		Problems []settings.Problem
	}
	// CommandResult ends a Command.
	CommandResult struct {
		ID      uint64
		Code    result.Code
		Text    string
		Windows []*schema.MaintenanceWindow // maintenance windows that Text is about
	}
	// DatabaseCall asks a database for its status. With a SealEpoch it first seals
	// the database against every lower epoch. It ends in a DatabaseReply.
	DatabaseCall struct {
		Group     string
		ID        uint64
		Address   string
		SealEpoch uint64
	}
	// FailoverRequest asks the platform to make Target the primary of its group.
	// It is repeated until a status shows that it was done.
	FailoverRequest struct {
		Group    string
		Target   string
		Identity string // of the target's data: a database with other data must not be promoted in its place
		Epoch    uint64
		Members  []sealed.Endpoint
	}
	// ReplaceDatabase asks the platform to put a new, empty database in place of
	// the one with this identity. It is repeated until a status shows it.
	ReplaceDatabase struct{ Database, Address, Identity string }
	// StopMachine asks the platform to stop the pool node of a machine. It is
	// repeated until the node is gone.
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
