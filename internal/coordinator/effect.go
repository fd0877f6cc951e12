package coordinator

import (
	"fmt"

	"stoneford/failover/fenced"
	"stoneford/internal/ports"
	"stoneford/result"
	"stoneford/schema"
	"stoneford/statemachine"
)

// Effects holds the actions that one step requests from its process.
type Effects struct {
	// Log must be written and synced in the order of the steps. After that the process
	// posts Synced with Watermark.
	Log       []*schema.WALEntry
	Watermark uint64
	// Send and Do depend on no state that is not on disk and must be carried out at once.
	// Effects that depend on unsynced state are returned by the step that handles Synced.
	Send []statemachine.Send
	Do   []Effect
}

// Effect is an action that a Core requests besides log entries and messages. Its
// implementations are the types below.
type Effect interface{ isEffect() }

type (
	// AnnounceDone is the reply to an Announce. If OK is false, the database must announce
	// itself to another control process.
	AnnounceDone struct {
		ID uint64
		OK bool
	}

	// ChangeTableDone is the reply to a ChangeTable.
	ChangeTableDone struct {
		ID     uint64
		Result ports.ChangeResult
	}

	// FetchTableDone is the reply to a FetchTable. OK is false if this process cannot
	// determine the newest table.
	FetchTableDone struct {
		ID    uint64
		Table ports.RoutingTable
		OK    bool
	}

	// MoveDone is the reply to a Move or a CancelMove.
	MoveDone struct {
		ID     uint64
		Result MoveResult
	}

	// DatabaseCall requests a call to a database. The process posts a DatabaseReply.
	DatabaseCall struct {
		Group string
		Call  fenced.DatabaseCall
	}

	// Promote requests a change of primary from the platform. The process posts a
	// PromoteDone.
	Promote struct {
		Group   string
		Promote fenced.Promote
	}

	// LogEntry is an entry for the process's own log, which operators read.
	LogEntry struct {
		Code result.Code
		Text string
	}
)

func (AnnounceDone) isEffect()    {}
func (ChangeTableDone) isEffect() {}
func (FetchTableDone) isEffect()  {}
func (MoveDone) isEffect()        {}
func (DatabaseCall) isEffect()    {}
func (Promote) isEffect()         {}
func (LogEntry) isEffect()        {}

// emit adds an effect to the current step.
func (c *Core) emit(effect Effect) { c.effects.Do = append(c.effects.Do, effect) }

// logf adds a LogEntry to the effects of the current step.
func (c *Core) logf(code result.Code, format string, args ...any) {
	c.emit(LogEntry{Code: code, Text: fmt.Sprintf(format, args...)})
}

// send adds messages to the effects of the current step. Messages to this process itself
// are delivered within the step (deliverLoopback), and large messages may be left out
// (pacing).
func (c *Core) send(messages ...statemachine.Send) {
	for _, message := range messages {
		if message.To == c.self {
			c.loopback = append(c.loopback, message.Envelope)
		} else if c.pacing.admitResponse(c.lastStep, message) {
			c.effects.Send = append(c.effects.Send, message)
		}
	}
}

// deliverLoopback handles the messages that this process sent to itself.
func (c *Core) deliverLoopback(now int64) {
	for len(c.loopback) > 0 {
		envelope := c.loopback[0]
		c.loopback = c.loopback[1:]
		c.handleEnvelope(now, envelope)
	}
}
