package pool_test

import (
	"testing"

	"stoneford/internal/typeswitch"
)

// TestSwitchesAreExhaustive: every event has a case in the core and every effect one in
// the process.
func TestSwitchesAreExhaustive(t *testing.T) {
	for _, s := range []struct{ marker, function string }{
		{"isEvent", "handleEvent"},
		{"isEffect", "apply"},
	} {
		missing, err := typeswitch.Missing(".", s.marker, s.function)
		if err != nil || len(missing) > 0 {
			t.Errorf("%s has no case for %v, %v", s.function, missing, err)
		}
	}
}
