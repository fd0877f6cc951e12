package pool_test

import (
	"testing"

	"stoneford/internal/typeswitch"
)

// TestSwitchesAreComplete: every event has a case in the core and every effect one in the
// process.
func TestSwitchesAreComplete(t *testing.T) {
	typeswitch.ExpectComplete(t, ".", "isEvent", ".", "handleEvent")
	typeswitch.ExpectComplete(t, ".", "isEffect", ".", "apply")
}
