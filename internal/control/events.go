package control

import (
	"stoneford/failover/sealed"
	"stoneford/schema"
)

// Event is an input of Core.Step.
type Event interface{ isEvent() }

type (
	// Received delivers an envelope from another process.
	Received struct{ Envelope *schema.Envelope }
	// PutConfiguration requests a change of a partner's configuration. It ends in a
	// ConfigurationResult with the same ID.
	PutConfiguration struct {
		ID           uint64
		Partner      string
		BaseRevision uint64 // revision that the change is based on; if it is not the newest one, the change is rejected as a conflict
		Patch        bool   // Text is a JSON merge patch (RFC 7386) instead of a complete configuration
		DryRun       bool   // validate the change without proposing it
		Text         []byte
	}
	// GetConfiguration reads a partner's configuration through a majority of the voters.
	// It ends in a ConfigurationResult with the same ID.
	GetConfiguration struct {
		ID      uint64
		Partner string
	}
	// DatabaseReply ends the DatabaseCall with the same group and ID. Status is empty if
	// the call failed.
	DatabaseReply struct {
		Group  string
		ID     uint64
		Failed bool
		Status sealed.Status
	}
	// Command is an operator's command, a sentence that package language parses. It ends
	// in a CommandResult with the same ID.
	Command struct {
		ID      uint64
		Partner string
		Text    string
	}
	// WallClock sets the time of day in microseconds since 1970. Only the maintenance
	// calendar depends on it.
	WallClock struct{ UnixMicro int64 }
	// Stop begins the shutdown: the process hands over its roles and announces that it is
	// draining.
	Stop struct{}
)

func (Received) isEvent()         {}
func (PutConfiguration) isEvent() {}
func (GetConfiguration) isEvent() {}
func (DatabaseReply) isEvent()    {}
func (Command) isEvent()          {}
func (WallClock) isEvent()        {}
func (Stop) isEvent()             {}
