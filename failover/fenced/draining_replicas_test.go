package fenced

import (
	"testing"

	"stoneford/internal/ports"
)

// TestDrainingReplicaFreezes: a replica that leaves is held once the other follows, goes on if
// that one falls behind early, and not when it is about to go.
func TestDrainingReplicaFreezes(t *testing.T) {
	w := newTestGroup(t)
	w.input.Instances[2].Draining = true
	w.advance(900_000)
	if w.statuses["c"].FrozenTerm > 0 {
		t.Fatal("held while nodes may read there")
	}
	w.advance(900_000)
	if w.statuses["c"].FrozenTerm == 0 {
		t.Fatal("it may take the only copy along")
	}
	w.statuses["a"].Received = pos(30)
	w.advance(2_500_000 - 1_000_000)
	w.statuses["b"].Received = pos(30)
	w.advance(2_000_000)
	if w.statuses["c"].FrozenTerm == 0 {
		t.Fatal("not held though the other follows")
	}
	w.statuses["a"].Received = pos(50)
	w.advance(3_000_000)
	if w.statuses["c"].FrozenTerm == 0 {
		t.Fatal("it receives again though it is about to go")
	}
}

// TestDrainingReplicaNeedsCaughtUpPeer: nobody is held while the one that stays lacks what the
// primary has.
func TestDrainingReplicaNeedsCaughtUpPeer(t *testing.T) {
	w := newTestGroup(t)
	w.statuses["a"].Received = pos(30)
	w.input.Instances[2].Draining = true
	w.advance(5_000_000)
	if w.statuses["c"].FrozenTerm > 0 {
		t.Fatal("held while no other follows")
	}
}

// TestDrainingReplicaResumesWhenNeeded: one that was held early goes on if the other stops.
func TestDrainingReplicaResumesWhenNeeded(t *testing.T) {
	w := newTestGroup(t)
	w.input.Instances[2].Draining = true
	w.advance(1_400_000)
	if w.statuses["c"].FrozenTerm == 0 {
		t.Fatal("not held")
	}
	w.unresponsive["b"] = true
	w.advance(1_500_000)
	if w.statuses["c"].FrozenTerm > 0 {
		t.Fatal("commits wait though it could answer for them")
	}
}

// TestPlannedReparentNeedsRespondingReplica: a primary that leaves late does not hand over to
// one that leaves as well because a third, which does not answer, would stay.
func TestPlannedReparentNeedsRespondingReplica(t *testing.T) {
	w := newTestGroup(t)
	w.unresponsive["c"] = true
	w.input.Instances[0].Draining, w.input.Instances[1].Draining = true, true
	w.advance(8_000_000)
	w.requirePhase(ports.PhaseServing)
}
