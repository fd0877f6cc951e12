package failuredetector

import (
	"fmt"
	"slices"
	"testing"

	"stoneford/schema"
)

// TestEveryNodeIsWatched: whatever the nodes, each has its watchers, the same ones named
// by everybody, and losing one node changes only what it watched.
func TestEveryNodeIsWatched(t *testing.T) {
	var nodes []string
	for i := range 30 {
		nodes = append(nodes, fmt.Sprint("n", i))
		withoutFirst := slices.Clone(nodes[1:])
		for _, node := range nodes {
			watchers := WatchersOf(node, nodes)
			if len(watchers) != min(WatchersPerNode, len(nodes)-1) || slices.Contains(watchers, node) {
				t.Fatalf("%s of %d is watched by %v", node, len(nodes), watchers)
			}
			losesNone := node != nodes[0] && !slices.Contains(watchers, nodes[0])
			if losesNone && !slices.Equal(watchers, WatchersOf(node, withoutFirst)) {
				t.Fatalf("%s changed watchers though it lost none", node)
			}
		}
	}
}

// TestPausedWatcherSuspectsNobody: a watcher that was paused itself starts anew instead
// of suspecting all its peers; one that does not answer afterwards is suspected all the same.
func TestPausedWatcherSuspectsNobody(t *testing.T) {
	d := New("a")
	now := int64(1_000_000)
	d.SetNodes(now, []string{"a", "b", "c"})
	for range 10 {
		for _, s := range d.Tick(now).Send {
			d.Step(now, &schema.Envelope{From: s.To, Body: &schema.Envelope_Pong{Pong: &schema.Pong{}}})
		}
		now += probeInterval.Microseconds()
	}
	now += 30_000_000
	if effects := d.Tick(now); len(effects.Changed) > 0 {
		t.Fatalf("after a pause it suspects %v", effects.Changed)
	}
	suspected := false
	for range 10 {
		now += probeInterval.Microseconds()
		suspected = suspected || len(d.Tick(now).Changed) > 0
	}
	if !suspected {
		t.Fatal("an unresponsive peer is never suspected")
	}
}

func ExampleSuspicionConfirmed() {
	nodes := []string{"a", "b", "c", "d", "e"}
	watchers := WatchersOf("a", nodes)
	one := func(watcher string) bool { return watcher == watchers[0] }
	two := func(watcher string) bool { return watcher == watchers[0] || watcher == watchers[1] }
	fmt.Println(SuspicionConfirmed("a", nodes, one), SuspicionConfirmed("a", nodes, two))
	// Output: false true
}
