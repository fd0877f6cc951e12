package fenced

import (
	"testing"

	"stoneford/internal/ports"
)

// TestDrainingReplicaFreezes: a replica that drains is frozen once the other one
// follows, is resumed if that one falls behind early, and is not when it is about to
// stop.
func TestDrainingReplicaFreezes(t *testing.T) {
	w := newTestGroup(t)
	w.input.Instances[2].Draining = true
	w.advance(900_000)
	if w.statuses["c"].FrozenTerm > 0 {
		t.Fatal("frozen while nodes may read there")
	}
	w.advance(900_000)
	if w.statuses["c"].FrozenTerm == 0 {
		t.Fatal("it may take the only other copy of a commit along")
	}
	w.statuses["a"].Received = pos(30)
	w.advance(2_500_000 - 1_000_000)
	w.statuses["b"].Received = pos(30)
	w.advance(2_000_000)
	if w.statuses["c"].FrozenTerm == 0 {
		t.Fatal("not frozen though the other one follows")
	}
	w.statuses["a"].Received = pos(50)
	w.advance(3_000_000)
	if w.statuses["c"].FrozenTerm == 0 {
		t.Fatal("resumed though it is about to stop")
	}
}

// TestDrainingReplicaNeedsCaughtUpPeer: a draining replica is not frozen while the one
// that stays lacks commits.
func TestDrainingReplicaNeedsCaughtUpPeer(t *testing.T) {
	w := newTestGroup(t)
	w.statuses["a"].Received = pos(30)
	w.input.Instances[2].Draining = true
	w.advance(5_000_000)
	if w.statuses["c"].FrozenTerm > 0 {
		t.Fatal("frozen while no other one follows")
	}
}

// TestDrainingReplicaResumesWhenNeeded: a replica that was frozen early is resumed if
// the other one stops.
func TestDrainingReplicaResumesWhenNeeded(t *testing.T) {
	w := newTestGroup(t)
	w.input.Instances[2].Draining = true
	w.advance(1_400_000)
	if w.statuses["c"].FrozenTerm == 0 {
		t.Fatal("not frozen")
	}
	w.unresponsive["b"] = true
	w.advance(1_500_000)
	if w.statuses["c"].FrozenTerm > 0 {
		t.Fatal("commits wait though it could acknowledge them")
	}
}

// TestPlannedReparentNeedsRespondingReplica: a primary that has drained for long is not
// replaced by one that drains as well because a third one, which does not answer, would
// stay.
func TestPlannedReparentNeedsRespondingReplica(t *testing.T) {
	w := newTestGroup(t)
	w.unresponsive["c"] = true
	w.input.Instances[0].Draining, w.input.Instances[1].Draining = true, true
	w.advance(8_000_000)
	w.requirePhase(ports.PhaseServing)
}
