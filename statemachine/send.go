package statemachine

import "stoneford/schema"

// Send is the effect of sending an envelope to another process. Envelopes may be lost,
// duplicated, delayed and reordered. An envelope must not be modified once it is in a
// Send.
type Send struct {
	To       string // address
	Envelope *schema.Envelope
}
