package fleetstate

import (
	"encoding/json"
	"testing"

	"stoneford/internal/ports"
)

// TestPositionNames: a position, which states contain, keeps its JSON names.
func TestPositionNames(t *testing.T) {
	const text = `{"Term":3,"Number":-4}`
	p := ports.Position{Term: 3, Number: -4}
	if b, err := json.Marshal(p); err != nil || string(b) != text {
		t.Errorf("it is %s, not %s: %v", b, text, err)
	}
	var back ports.Position
	if err := json.Unmarshal([]byte(text), &back); err != nil || back != p {
		t.Errorf("read as %+v: %v", back, err)
	}
}
