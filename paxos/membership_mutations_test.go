package paxos_test

import (
	"testing"

	"stoneford/paxos"
)

// TestMembershipMutationsAreDetected: the checks of the schedules fail in at least half of
// the seeds once one rule of a change of the membership is broken, and in none without a
// mutation. Values accepted under an earlier membership that count as chosen need rivals
// in a rare order: TestMutationsInEveryInterleaving has them.
func TestMembershipMutationsAreDetected(t *testing.T) {
	const seeds, steps = uint64(24), 20_000
	if slower > 1 {
		t.Skip("the race detector has nothing to see here")
	}
	for _, mutation := range []mutation{noMutation, emptyNewcomerAccepts, removedVoterCounts, unchosenAdopted, sealingNotSynced, stopNotSynced} {
		detected := uint64(0)
		all := fleetCounts{outcomes: map[paxos.Verdict]int{}}
		for seed, f := range exploreSeeds(seeds, 3, steps, mutation) {
			if f.failure != "" {
				if detected++; detected <= 3 {
					t.Logf("%q: seed %d: %s", mutation, seed, f.failure)
				}
			}
			all.add(f.counts)
		}
		t.Logf("%q: detected by %d of %d seeds", mutation, detected, seeds)
		if mutation == noMutation && detected > 0 || mutation != noMutation && detected < seeds/2 {
			t.Errorf("%q: %d of %d seeds show it", mutation, detected, seeds)
		}
	}
}
