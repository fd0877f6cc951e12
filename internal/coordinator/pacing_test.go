package coordinator

import (
	"math/rand/v2"
	"testing"

	"stoneford/internal/routingtable"
	"stoneford/internal/wal/crashdisk"
)

// TestLargeStateOnASlowLink: a voter that was away, with and without its disk, is
// sent a large state a few times and not again and again until it has it, so that
// on 2 Mbit/s it is there after the time that those take.
func TestLargeStateOnASlowLink(t *testing.T) {
	h := newHistory(t, 7, 40, false, crashdisk.NoMutation)
	r := rand.New(rand.NewPCG(1, 1))
	a, b := h.addresses[0], h.addresses[1]
	for _, kb := range []int{20, 50, 200, 500} {
		for _, wipe := range []bool{false, true} {
			h.kill(a, wipe)
			h.pass(1_000_000)
			ch := h.amendment()
			ch.Routes[0] = historyRoute(0, h.acknowledged)
			ch.Routes[0].Source = make([]byte, kb<<10) // does not pack
			for i := range ch.Routes[0].Source {
				ch.Routes[0].Source[i] = byte(r.Uint32())
			}
			if !h.put(b, ch, 10_000_000) {
				t.Fatalf("%d KB: not acknowledged: %s", kb, h.violation)
			}
			h.pass(500_000)
			table, _ := h.members[b].core.Table()
			size := len(routingtable.Encode(table))
			// It starts twice: what was on its way to the first run is lost.
			h.bytesPerSecond[a], h.linkFreeAt[a] = twoMbitPerSecond, 0
			h.begin(a)
			h.pass(300_000)
			h.kill(a, wipe)
			sent, took, ok := h.comesBack(a)
			t.Logf("a table of %d KB, disk lost %t: there after %d ms, %d KB sent", size>>10, wipe, took/1000, sent>>10)
			if !ok || sent > 6*size+64<<10 || took > int64(3*size)*1_000_000/twoMbitPerSecond+1_000_000 {
				t.Errorf("a table of %d KB, disk lost %t: it takes %d ms and %d KB", size>>10, wipe, took/1000, sent>>10)
			}
			h.pass(5_000_000)
		}
	}
	if h.violation != "" {
		t.Fatal(h.violation)
	}
}
