package querytable

import (
	"testing"

	"stoneford/internal/typeswitch"
)

// TestSwitchesAreComplete: every event has a case in the table and every effect one in the
// runner of a pool node.
func TestSwitchesAreComplete(t *testing.T) {
	typeswitch.ExpectComplete(t, ".", "isEvent", ".", "handleEvent")
	typeswitch.ExpectComplete(t, ".", "isEffect", "../pool", "apply")
}
