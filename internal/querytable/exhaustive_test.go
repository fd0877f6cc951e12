package querytable

import (
	"testing"

	"stoneford/internal/typeswitch"
)

// TestSwitchesAreExhaustive: every event has a case in the table, and every effect one in
// the runner of a pool node.
func TestSwitchesAreExhaustive(t *testing.T) {
	missing, err := typeswitch.Missing(".", "isEvent", "handleEvent")
	if err != nil || len(missing) > 0 {
		t.Errorf("no case for %v, %v", missing, err)
	}
	missing, err = typeswitch.MissingAbroad(".", "isEffect", "../pool", "apply")
	if err != nil || len(missing) > 0 {
		t.Errorf("no case for %v, %v", missing, err)
	}
}
