package relaytree

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"stoneford/schema"
)

// TestUpdatesReachAllNodes: nodes with differing views of who lives, relays that die
// and envelopes that are lost; news still reaches every living node, and no
// node ever holds less than it did.
func TestUpdatesReachAllNodes(t *testing.T) {
	roots := []string{"r1", "r2", "r3"}
	var worst int64
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 4))
		m := map[string]*Relay{}
		var all []string
		for _, n := range roots {
			m[n] = New(n, roots)
		}
		for i := range 40 {
			n := fmt.Sprintf("n%02d", i)
			all = append(all, n)
			m[n] = New(n, roots)
		}
		dead := map[string]bool{}
		type msg struct {
			at int64
			to string
			e  *schema.Envelope
		}
		var queue []msg
		now := int64(1)
		put := func(effects Effects) {
			for _, s := range effects.Send {
				if r.IntN(20) > 0 {
					queue = append(queue, msg{now + 200 + r.Int64N(3000), s.To, s.Envelope})
				}
			}
		}
		heldRevision := map[string]uint64{}
		step := func() {
			now += 20_000
			for _, n := range append(slices.Clone(roots), all...) {
				if !dead[n] {
					put(m[n].Tick(now))
				}
			}
			for i := 0; i < len(queue); i++ {
				x := queue[i]
				if !dead[x.to] && m[x.to] != nil {
					put(m[x.to].Step(now, x.e))
				}
			}
			queue = nil
			for _, n := range all {
				v := m[n].Value("config/x").GetRevision()
				if v < heldRevision[n] {
					t.Fatalf("seed %d: %s went back from %d to %d", seed, n, heldRevision[n], v)
				}
				heldRevision[n] = v
			}
		}
		setViews := func() {
			for _, n := range all {
				// Each has forgotten some that live and believes in some dead.
				v := slices.DeleteFunc(slices.Clone(all), func(string) bool { return r.IntN(12) == 0 })
				m[n].SetLiveNodes(v)
			}
		}
		setViews()
		for range 60 {
			step()
		}
		for rev := uint64(1); rev <= 4; rev++ {
			for range 3 {
				dead[all[r.IntN(len(all))]] = true
			}
			setViews()
			began := now
			put(m[roots[r.IntN(3)]].Learn(now, []*schema.Register{{Key: "config/x", Value: &schema.Value{Revision: rev}}}, 0, ""))
			for done := false; !done; {
				step()
				done = true
				for _, n := range all {
					done = done && (dead[n] || heldRevision[n] >= rev)
				}
				if now-began > 20_000_000 {
					t.Fatalf("seed %d: revision %d did not reach all", seed, rev)
				}
			}
			worst = max(worst, now-began)
		}
	}
	t.Logf("longest time for a revision to reach all: %d us", worst)
}

// TestNoCycle: whatever a node's view, its parent has a lesser rank in it.
func TestNoCycle(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		var live []string
		for i := range 1 + r.IntN(60) {
			live = append(live, fmt.Sprint("n", i))
		}
		n := New(live[r.IntN(len(live))], []string{"r1", "r2", "r3"})
		n.SetLiveNodes(live)
		p := n.chooseParent()
		if i, j := slices.Index(n.live, n.self), slices.Index(n.live, p); j >= i {
			t.Fatalf("%s at rank %d follows %s at rank %d", n.self, i, p, j)
		}
	}
}

func ExampleRelay() {
	root, node := New("r1", []string{"r1"}), New("n1", []string{"r1"})
	node.SetLiveNodes([]string{"n1"})
	for _, s := range node.Tick(1).Send { // follows its parent
		root.Step(2, s.Envelope)
	}
	update := root.Learn(3, []*schema.Register{{Key: "config/pharmacies", Value: &schema.Value{Revision: 4}}}, 0, "")
	for _, s := range update.Send {
		node.Step(4, s.Envelope)
	}
	fmt.Println(node.Parent(), node.Value("config/pharmacies").Revision)
	// Output: r1 4
}
