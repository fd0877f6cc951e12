package pool

import (
	"stoneford/internal/querytable"
	"stoneford/result"
	"stoneford/statemachine"
)

// Effects is the output of one step.
type Effects struct {
	Send []statemachine.Send
	Do   []Effect
}

// Effect is an output of Core.Step other than envelopes.
type Effect interface{ isEffect() }

type (
	// SetDesired passes a group's desired state to its table. The table is created if
	// there is none.
	SetDesired struct {
		Group   string
		Desired querytable.DesiredState
	}
	// SetRoutes replaces the routes in force, by PARTNER/ROUTE.
	SetRoutes struct{ Routes map[string]Route }
	// DecisionsRequest asks a group's table which databases it selected for the query
	// with the given name or, if QueryName is "", for the newest read of each class. It
	// ends in Decisions.
	DecisionsRequest struct {
		From          string // address of the requesting control process
		RequestNumber uint64 // number that the control process gave the request
		Group         string
		QueryName     string
	}
	// LogEntry is a line for the node's log.
	LogEntry struct {
		Code result.Code
		Text string
	}
)

func (SetDesired) isEffect()       {}
func (SetRoutes) isEffect()        {}
func (DecisionsRequest) isEffect() {}
func (LogEntry) isEffect()         {}

// Route is a route in force.
type Route struct {
	Group   string   // PARTNER/GROUP
	Classes []string // classes allowed for queries over the route
}
