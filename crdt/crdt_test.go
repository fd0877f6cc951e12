package crdt

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"stoneford/schema"
)

// TestReplicasConverge: two copies with any differences, over a lossy way, hold the
// same after some comparisons: for each key the greater stamp.
func TestReplicasConverge(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 3))
		s := map[string]*Store{"a": New("a"), "b": New("b")}
		want := map[string]uint64{}
		for range r.IntN(400) {
			k := fmt.Sprintf("k/%03d", r.IntN(300))
			st := uint64(1 + r.IntN(5))
			want[k] = max(want[k], st)
			s[[]string{"a", "b"}[r.IntN(2)]].Merge(0, &schema.Record{Key: k, Timestamp: st, Data: []byte{byte(st)}})
		}
		msgs := 0
		for pass := range 40 {
			queue := []struct {
				to string
				e  *schema.Envelope
			}{}
			o := []string{"a", "b"}[pass%2]
			c := s[o].CompareRange(map[string]string{"a": "b", "b": "a"}[o], "", "")
			queue = append(queue, struct {
				to string
				e  *schema.Envelope
			}{c.To, c.Envelope})
			for len(queue) > 0 {
				m := queue[0]
				queue = queue[1:]
				if msgs++; msgs > 10_000 {
					t.Fatalf("seed %d: the copies never stop talking", seed)
				}
				if r.IntN(10) == 0 {
					continue // lost
				}
				for _, x := range s[m.to].Step(0, m.e).Send {
					queue = append(queue, struct {
						to string
						e  *schema.Envelope
					}{x.To, x.Envelope})
				}
			}
		}
		for n, c := range s {
			if c.Len() != len(want) {
				t.Fatalf("seed %d: %s holds %d records of %d", seed, n, c.Len(), len(want))
			}
			for k, st := range want {
				if c.Get(k).GetTimestamp() != st {
					t.Fatalf("seed %d: %s holds %s at %d, not %d", seed, n, k, c.Get(k).GetTimestamp(), st)
				}
			}
		}
		// Copies that are the same say nothing more.
		c := s["a"].CompareRange("b", "", "")
		if n := len(s["b"].Step(0, c.Envelope).Send); n != 0 {
			t.Fatalf("seed %d: the same copies send %d envelopes", seed, n)
		}
	}
}

func ExampleStore() {
	a, b := New("a"), New("b")
	a.Merge(0, &schema.Record{Key: "report/stock-a", Timestamp: 7, Data: []byte("new")})
	b.Merge(0, &schema.Record{Key: "report/stock-a", Timestamp: 6, Data: []byte("old")})
	request := a.CompareRange("b", "", "")
	for _, s := range b.Step(0, request.Envelope).Send { // b sends its older record
		for _, m := range a.Step(0, s.Envelope).Send { // a mends it
			b.Step(0, m.Envelope)
		}
	}
	fmt.Println(string(b.Get("report/stock-a").Data))
	// Output: new
}
