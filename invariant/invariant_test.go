package invariant

import (
	"maps"
	"testing"
)

// TestChecks: each violation is counted, the first of each rule is said once.
func TestChecks(t *testing.T) {
	var c Checks
	if len(c.Take()) > 0 || len(c.Counts()) > 0 {
		t.Fatal("nothing was broken")
	}
	c.Broken(TableWentBack, "from %d to %d", 3, 2)
	c.Broken(TableWentBack, "from %d to %d", 5, 1)
	c.Broken(LearnedLate, "late")
	if fresh := c.Take(); len(fresh) != 2 || fresh[0] != (Violation{TableWentBack, "from 3 to 2"}) {
		t.Errorf("said %v", fresh)
	}
	if len(c.Take()) > 0 {
		t.Error("said twice")
	}
	sum := Merge(c.Counts(), map[string]int64{string(LearnedLate): 2}, nil)
	if !maps.Equal(sum, map[string]int64{string(TableWentBack): 2, string(LearnedLate): 3}) || len(Names(sum)) != 2 {
		t.Errorf("%v", sum)
	}
}
