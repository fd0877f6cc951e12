package pool

import (
	"stoneford/internal/querytable"
	"stoneford/schema"
)

// Event is an input of Core.Step.
type Event interface{ isEvent() }

type (
	// Received delivers an envelope from another process.
	Received struct{ Envelope *schema.Envelope }
	// TableReport reports a table's knowledge of its group's databases.
	TableReport struct {
		Group string
		Views []querytable.DatabaseView
		InUse map[string]int // number of connections to each database
	}
	// Decisions ends a DecisionsRequest.
	Decisions struct {
		Request   DecisionsRequest
		Group     string
		AtUs      int64 // time at which the table was read
		Decisions []querytable.Decision
	}
	// Stop begins the shutdown: the node announces that it is draining.
	Stop struct{}
)

func (Received) isEvent()    {}
func (TableReport) isEvent() {}
func (Decisions) isEvent()   {}
func (Stop) isEvent()        {}
