package paxos_test

import (
	"testing"

	"stoneford/paxos"
)

// TestPlantedMembershipFaultsAreSeen: the checks of the schedules fail in at least
// half of the seeds once one rule of a change of the voters is broken, and in none
// with nothing planted. Values accepted under an earlier membership that count as
// chosen need rivals in a rare order: TestPlantedFaultsInEveryInterleaving has them.
func TestPlantedMembershipFaultsAreSeen(t *testing.T) {
	const seeds, steps = uint64(24), 20_000
	if slower > 1 {
		t.Skip("the race detector has nothing to see here")
	}
	for _, planted := range []fault{soundFleet, emptyNewcomerVotes, removedVoterCounts, unchosenAdopted, sealingNotSynced, stopNotSynced} {
		seen := uint64(0)
		all := fleetCounts{ended: map[paxos.Verdict]int{}}
		for seed, f := range exploreSeeds(seeds, 3, steps, planted) {
			if f.fail != "" {
				if seen++; seen <= 3 {
					t.Logf("%q: seed %d: %s", planted, seed, f.fail)
				}
			}
			all.add(f.counts)
		}
		t.Logf("%q: seen by %d of %d seeds", planted, seen, seeds)
		if planted == soundFleet && seen > 0 || planted != soundFleet && seen < seeds/2 {
			t.Errorf("%q: %d of %d seeds show it", planted, seen, seeds)
		}
	}
}
