package simulation_test

import (
	"strings"
	"sync"
	"testing"

	"stoneford/emulator/checker"
	"stoneford/emulator/seedtest"
	"stoneford/emulator/simulation"
)

// runWithGroupChanges runs a plan with three groups of one partner for 20 s. Sessions change
// between the groups and also between nodes, while replicas lag and random faults occur.
func runWithGroupChanges(p simulation.Plan) (*simulation.Fleet, checker.Verdict) {
	p.Groups = []string{"inventory-1", "inventory-2", "inventory-3"}
	p.ThinkUs = 60_000
	f := simulation.NewFleet(p)
	f.PutConfiguration(nil)
	f.Run(3_000_000)
	f.StartCallers()
	endUs := f.Now + 20_000_000
	var change func()
	change = func() {
		if f.Now >= endUs {
			return
		}
		f.SetLag(f.Between(5_000, 1_500_000))
		f.ChangeGroups(0.5)
		f.MoveCallers("", 0.2)
		f.After(f.Between(100_000, 900_000), change)
	}
	f.After(1_000_000, change)
	f.RandomFaults(endUs, 3_000_000)
	f.Run(endUs)
	return f, f.Finish()
}

// TestSessionsChangeGroups checks that no rule is broken while sessions change from group to
// group and back, with the token of each, and between nodes.
func TestSessionsChangeGroups(t *testing.T) {
	var mu sync.Mutex
	changes, acknowledged := 0, 0
	n := seedtest.Count(12 / seedDivisor)
	runSeeds(n, seedtest.First(), func(seed uint64) {
		f, v := runWithGroupChanges(plan(seed))
		mu.Lock()
		defer mu.Unlock()
		changes, acknowledged = changes+f.GroupChanges(), acknowledged+v.Acknowledged
		if len(v.Violations) > 0 {
			t.Errorf("seed %d: got %d violations, want none; the first are:\n%s", seed, len(v.Violations), strings.Join(v.Violations[:min(5, len(v.Violations))], "\n"))
		}
		seedtest.PrintLog(t, seed, f.Log)
	})
	t.Logf("%d seeds: %d changes of a session's group, %d writes acknowledged", n, changes, acknowledged)
	if changes == 0 || acknowledged == 0 {
		t.Errorf("changes of a session's group: got %d, acknowledged writes: got %d; want some of both", changes, acknowledged)
	}
}

// TestDroppedTokenIsDetectedAcrossGroups checks that a session which continues in a group
// without its token, and so without its own commit there, is detected.
func TestDroppedTokenIsDetectedAcrossGroups(t *testing.T) {
	for seed := range uint64(8) {
		p := plan(seed)
		p.Mutation = simulation.DroppedToken
		_, v := runWithGroupChanges(p)
		for _, violation := range v.Violations {
			if strings.Contains(violation, "pinned") {
				t.Logf("seed %d: %s", seed, violation)
				return
			}
		}
	}
	t.Error("mutation DroppedToken: no violation of a pinned read in 8 seeds, want one")
}
