package pool

import (
	"stoneford/internal/querytable"
	"stoneford/schema"
)

// Event is an input of Core.Step.
type Event interface{ isEvent() }

type (
	// Received brings an envelope from another process.
	Received struct{ Envelope *schema.Envelope }
	// TableReport brings what a group's table knows of its databases.
	TableReport struct {
		Group string
		Views []querytable.DatabaseView
		InUse map[string]int // connections to each database
	}
	// Decisions ends a DecisionsRequest.
	Decisions struct {
		Request   DecisionsRequest
		Group     string
		AtUs      int64 // when the table was asked
		Decisions []querytable.Decision
	}
	// Stop begins the shutdown: the node announces that it is draining.
	Stop struct{}
)

func (Received) isEvent()    {}
func (TableReport) isEvent() {}
func (Decisions) isEvent()   {}
func (Stop) isEvent()        {}
