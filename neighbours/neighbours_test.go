package neighbours

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
			ws := Of(n, all)
			if len(ws) != min(Watchers, len(all)-1) || slices.Contains(ws, n) {
				t.Fatalf("%s of %d is watched by %v", n, len(all), ws)
			}
			for _, w := range ws {
				many[w]++
			}
			less := slices.DeleteFunc(slices.Clone(all), func(o string) bool { return o == all[0] })
			if !slices.Contains(ws, all[0]) && n != all[0] && !slices.Equal(ws, Of(n, less)) {
				t.Fatalf("%s changed watchers though it lost none", n)
			}
		}
	}
}

// TestFrozenWatcherBlamesNobody: a watcher that stood still starts anew
// instead of suspecting all it watches.
func TestFrozenWatcherBlamesNobody(t *testing.T) {
	w := New("a")
	now := int64(1_000_000)
	w.Nodes(now, []string{"a", "b", "c"})
	reply := func() {
		for _, s := range w.Tick(now).Send {
			w.Step(now, &schema.Envelope{From: s.To, Body: &schema.Envelope_Pong{Pong: &schema.Pong{}}})
		}
	}
	for range 10 {
		reply()
		now += pingEvery
	}
	now += 30_000_000
	if fx := w.Tick(now); len(fx.Changed) > 0 {
		t.Fatalf("after standing still it suspects %v", fx.Changed)
	}
	// Real silence is suspected all the same.
	seen := false
	for range 10 {
		now += pingEvery
		seen = seen || len(w.Tick(now).Changed) > 0
	}
	if !seen {
		t.Fatal("real silence is never suspected")
	}
}

func ExampleConfirmed() {
	all := []string{"a", "b", "c", "d", "e"}
	ws := Of("a", all)
	one := func(w string) bool { return w == ws[0] }
	two := func(w string) bool { return w == ws[0] || w == ws[1] }
	fmt.Println(Confirmed("a", all, one), Confirmed("a", all, two))
	// Output: false true
}
