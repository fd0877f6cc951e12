package failuredetector

import (
	"fmt"
	"slices"
	"testing"

	"stoneford/schema"
)

// TestEveryNodeIsWatched: whatever the nodes, each has its watchers, the same
// ones named by everybody, and losing one node changes only what it had.
func TestEveryNodeIsWatched(t *testing.T) {
	var all []string
	for i := range 30 {
		all = append(all, fmt.Sprint("n", i))
		many := map[string]int{}
		for _, n := range all {
			ws := WatchersOf(n, all)
			if len(ws) != min(WatchersPerNode, len(all)-1) || slices.Contains(ws, n) {
				t.Fatalf("%s of %d is watched by %v", n, len(all), ws)
			}
			for _, w := range ws {
				many[w]++
			}
			less := slices.DeleteFunc(slices.Clone(all), func(o string) bool { return o == all[0] })
			if !slices.Contains(ws, all[0]) && n != all[0] && !slices.Equal(ws, WatchersOf(n, less)) {
				t.Fatalf("%s changed watchers though it lost none", n)
			}
		}
	}
}

// TestPausedWatcherSuspectsNobody: a watcher that stood still starts anew
// instead of suspecting all it watches.
func TestPausedWatcherSuspectsNobody(t *testing.T) {
	w := New("a")
	now := int64(1_000_000)
	w.SetNodes(now, []string{"a", "b", "c"})
	reply := func() {
		for _, s := range w.Tick(now).Send {
			w.Step(now, &schema.Envelope{From: s.To, Body: &schema.Envelope_Pong{Pong: &schema.Pong{}}})
		}
	}
	for range 10 {
		reply()
		now += probeInterval
	}
	now += 30_000_000
	if effects := w.Tick(now); len(effects.Changed) > 0 {
		t.Fatalf("after standing still it suspects %v", effects.Changed)
	}
	// Real silence is suspected all the same.
	seen := false
	for range 10 {
		now += probeInterval
		seen = seen || len(w.Tick(now).Changed) > 0
	}
	if !seen {
		t.Fatal("real silence is never suspected")
	}
}

func ExampleSuspicionConfirmed() {
	all := []string{"a", "b", "c", "d", "e"}
	ws := WatchersOf("a", all)
	one := func(w string) bool { return w == ws[0] }
	two := func(w string) bool { return w == ws[0] || w == ws[1] }
	fmt.Println(SuspicionConfirmed("a", all, one), SuspicionConfirmed("a", all, two))
	// Output: false true
}
