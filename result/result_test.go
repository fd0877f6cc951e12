package result

import "testing"

// TestTable: codes are in order, once, and say what they mean.
func TestTable(t *testing.T) {
	last := Code(-1)
	for _, r := range Table {
		if r.Code <= last {
			t.Errorf("%d comes after %d", r.Code, last)
		}
		last = r.Code
		if r.Meaning == "" || r.Action == "" || r.Code < 500 && r.HTTP == 0 {
			t.Errorf("%d: its row is incomplete", r.Code)
		}
	}
}
