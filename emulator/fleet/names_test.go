package fleet

import (
	"encoding/json"
	"testing"
)

// TestPoolCountsNames: a pool node's counts are read by the names under which it reports
// them.
func TestPoolCountsNames(t *testing.T) {
	var v poolCounts
	text := `{"groups":{"g":{"Counts":{"Queries":3,"Polls":4}}},"links":{"sent":5}}`
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		t.Fatal(err)
	}
	if c := v.Groups["g"].Counts; c.Queries != 3 || c.Polls != 4 || v.Links["sent"] != 5 {
		t.Errorf("read as %+v", v)
	}
	if b, err := json.Marshal(v); err != nil || string(b) != text {
		t.Errorf("it is %s, not %s: %v", b, text, err)
	}
}
