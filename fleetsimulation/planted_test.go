package fleetsimulation

import (
	"strings"
	"testing"
)

// planted runs a few seeds of a world with a plant in it and wants one of the
// rules named to be seen broken in one of them.
func planted(t *testing.T, p Plant, mean int64, rules string, names ...string) {
	t.Parallel()
	for seed := uint64(0); seed < 24; seed++ {
		pl := plan(seed)
		pl.Plant = p
		f := faulty(pl, mean, names...)
		for _, v := range f.Violations() {
			for r := range strings.FieldsSeq(rules) {
				if strings.Contains(v, " "+r+":") {
					t.Logf("seed %d: %s", seed, v)
					return
				}
			}
		}
	}
	t.Errorf("none of %s was seen to break", rules)
}

func TestPlantedHoldIgnored(t *testing.T) {
	planted(t, HoldIgnored, 1_500_000, "LOST ONE", "some nodes cut from the core, the others and the core from a primary")
}
func TestPlantedSyncDropped(t *testing.T) {
	planted(t, SyncDropped, 1_500_000, "LOST", "primary crashes", "primary gone for good")
}
func TestPlantedSlowClock(t *testing.T) {
	planted(t, SlowClock, 1_500_000, "STALE", "primary cut from some nodes", "primary cut from all but one node", "followers lag", "machine cut off")
}
func TestPlantedResetIgnored(t *testing.T) {
	planted(t, ResetIgnored, 3_000_000, "PINNED", "connections reset")
}
func TestPlantedAfterIgnored(t *testing.T) {
	planted(t, AfterIgnored, 1_500_000, "STALE", "followers lag", "a follower deaf and the primary crashes")
}
func TestPlantedBusyThatRan(t *testing.T) {
	planted(t, BusyThatRan, 3_000_000, "REFUSED TWICE", "burst")
}
func TestPlantedRunsTwice(t *testing.T)   { planted(t, RunsTwice, 3_000_000, "TWICE", "burst") }
func TestPlantedTextChanged(t *testing.T) { planted(t, TextChanged, 3_000_000, "UNASKED", "burst") }
func TestPlantedBodiesSwapped(t *testing.T) {
	planted(t, BodiesSwapped, 3_000_000, "MIXED", "burst")
}
func TestPlantedRepliesLate(t *testing.T) {
	planted(t, RepliesLate, 2_000_000, "HELD", "primary crashes")
}
func TestPlantedUnsyncedDisk(t *testing.T) {
	planted(t, UnsyncedDisk, 700_000, "CONFIG LOST", "all controls killed", "operators, often")
}
func TestPlantedLeavesForgotten(t *testing.T) {
	planted(t, LeavesForgotten, 1_500_000, "DRAIN", "release of all", "release of the primary")
}
func TestPlantedTablesForgotten(t *testing.T) {
	planted(t, TablesForgotten, 1_500_000, "CONFIG", "operators, often")
}
func TestPlantedPromotionsForgotten(t *testing.T) {
	planted(t, PromotionsForgotten, 1_500_000, "LIVE", "primary gone for good")
}
