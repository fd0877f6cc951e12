package fleetsimulation

import (
	"sync"
	"testing"

	"stoneford/emulator/seedtest"
)

// runWithRouteChanges runs one seed in which operators change the routes of hosts with open
// sessions, under random faults of the kinds named, or of all kinds.
func runWithRouteChanges(p Plan, meanIntervalUs int64, names ...string) (*Fleet, *routeChanges) {
	f := servingFleet(p)
	changes := &routeChanges{fleet: f}
	changes.requestRandomly(f.Now+18_000_000, 500_000)
	f.RandomFaults(f.Now+18_000_000, meanIntervalUs, names...)
	f.Run(f.Now + 19_000_000)
	changes.restore()
	f.Run(f.Now + 1_000_000)
	f.Finish()
	return f, changes
}

// TestMutationOwnCommitsForgotten checks that a session which reads without its own commit,
// after it has committed in another group, is detected.
func TestMutationOwnCommitsForgotten(t *testing.T) {
	t.Parallel()
	for seed := range uint64(24) {
		p := testPlan(seed)
		p.Mutation = OwnCommitsForgotten
		f, _ := runWithRouteChanges(p, 1_000_000, "followers lag")
		if stale := violationsOf(f, "STALE"); len(stale) > 0 {
			t.Logf("seed %d: %s", seed, stale[0])
			return
		}
	}
	t.Error("mutation OwnCommitsForgotten: no violation of STALE in 24 seeds, want one")
}

// TestRoutesChange checks that no rule is broken while the routes of open sessions lead to
// other groups and back, change their guarantees, and groups leave the table and return.
func TestRoutesChange(t *testing.T) {
	for _, c := range []struct {
		name           string
		seeds          uint64
		meanIntervalUs int64
		faults         []string
	}{
		{"replicas lag", 16, 1_000_000, []string{"followers lag"}},
		{"replicas lag and primaries change", 16, 1_000_000, []string{"followers lag", "primary crashes", "release of the primary", "follower crashes"}},
		{"all faults", 24, 1_800_000, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var mu sync.Mutex
			retargeted, returned, reads := 0, 0, 0
			n := seedtest.Count(c.seeds / raceSlowdown)
			runSeeds(n, seedtest.First(), func(seed uint64) {
				f, changes := runWithRouteChanges(testPlan(seed), c.meanIntervalUs, c.faults...)
				mu.Lock()
				defer mu.Unlock()
				checkRun(t, f)
				retargeted, returned, reads = retargeted+changes.retargeted, returned+changes.returned, reads+f.oracle.Reads
			})
			if retargeted == 0 || returned == 0 {
				t.Errorf("acknowledged changes of a host's group: got %d, of them back to its first group: got %d; want some of both", retargeted, returned)
			}
			t.Logf("%d seeds: %d changes of a host's group, %d of them back to its first group; %d reads", n, retargeted, returned, reads)
		})
	}
}
