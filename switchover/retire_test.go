package switchover

import (
	"testing"

	"stoneford/ports"
)

// TestRetire: a replica that leaves is held once the other follows, goes on if
// that one falls behind early, and not when it is about to go.
func TestRetire(t *testing.T) {
	w := newWorld(t)
	w.in.Instances[2].Leaving = true
	w.pass(900_000)
	if w.st["c"].Held > 0 {
		t.Fatal("held while nodes may read there")
	}
	w.pass(900_000)
	if w.st["c"].Held == 0 {
		t.Fatal("it may take the only copy along")
	}
	w.st["a"].Received = pos(30)
	w.pass(2_500_000 - 1_000_000)
	w.st["b"].Received = pos(30)
	w.pass(2_000_000)
	if w.st["c"].Held == 0 {
		t.Fatal("not held though the other follows")
	}
	w.st["a"].Received = pos(50)
	w.pass(3_000_000)
	if w.st["c"].Held == 0 {
		t.Fatal("it receives again though it is about to go")
	}
}

// TestRetireNeedsTheOther: nobody is held while the one that stays lacks what the
// primary has.
func TestRetireNeedsTheOther(t *testing.T) {
	w := newWorld(t)
	w.st["a"].Received = pos(30)
	w.in.Instances[2].Leaving = true
	w.pass(5_000_000)
	if w.st["c"].Held > 0 {
		t.Fatal("held while no other follows")
	}
}

// TestRetireEarlyTrouble: one that was held early goes on if the other stops.
func TestRetireEarlyTrouble(t *testing.T) {
	w := newWorld(t)
	w.in.Instances[2].Leaving = true
	w.pass(1_400_000)
	if w.st["c"].Held == 0 {
		t.Fatal("not held")
	}
	w.dark["b"] = true
	w.pass(1_500_000)
	if w.st["c"].Held > 0 {
		t.Fatal("commits wait though it could answer for them")
	}
}

// TestLeavesNotTowardsTheDead: a primary that leaves late does not hand over to
// one that leaves as well because a third, which does not answer, would stay.
func TestLeavesNotTowardsTheDead(t *testing.T) {
	w := newWorld(t)
	w.dark["c"] = true
	w.in.Instances[0].Leaving, w.in.Instances[1].Leaving = true, true
	w.pass(8_000_000)
	w.phase(ports.PhaseOpen)
}
