package takeover

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"stoneford/schema"
)

// group is a decider with databases and a register that take what it asks for.
type group struct {
	g    *Group
	in   Input
	dbs  map[string]*Status
	down map[string]bool
	now  int64
	plat []string
	says []string
}

func newGroup() *group {
	g := &group{g: New(), now: 1_000_000, dbs: map[string]*Status{}, down: map[string]bool{}, in: Input{First: "a", State: &schema.GroupState{}, Known: true, Acts: true}}
	for _, n := range []string{"a", "b", "c"} {
		g.in.Places = append(g.in.Places, Place{Name: n, Address: n})
		g.dbs[n] = &Status{Identity: n + "#1", Role: "sealed"}
	}
	return g
}

// run lets so much time pass.
func (g *group) run(us int64) {
	for end := g.now + us; g.now < end; g.now += 20_000 {
		for _, e := range g.g.Step(g.now, g.in) {
			switch e := e.(type) {
			case Ask:
				d := g.dbs[e.Address]
				if g.down[e.Address] {
					g.g.Said(g.now, e.ID, true, Status{})
					continue
				}
				if e.Seal > d.Epoch {
					d.Epoch, d.Role, d.Following = e.Seal, "sealed", ""
				}
				g.g.Said(g.now, e.ID, false, *d)
			case Put:
				if e.Base == g.in.Rev {
					st := &schema.GroupState{}
					if err := proto.Unmarshal(e.Data, st); err != nil {
						panic(err)
					}
					g.in.State, g.in.Rev = st, g.in.Rev+1
				}
				g.g.PutDone()
			case Platform:
				g.plat = append(g.plat, fmt.Sprintf("%s@%d", e.Target, e.Epoch))
				g.promote(e)
			case Say:
				g.says = append(g.says, fmt.Sprintf("%d %s", e.Code, e.Text))
			}
		}
	}
}

func (g *group) promote(e Platform) {
	t := g.dbs[e.Target]
	if g.down[e.Target] || t.Epoch > e.Epoch {
		return
	}
	if t.Role != "primary" || t.Epoch != e.Epoch {
		t.Epoch, t.Role, t.LogEpoch, t.Received = e.Epoch, "primary", e.Epoch, t.Received+1
	}
	for n, d := range g.dbs {
		if n != e.Target && !g.down[n] && d.Epoch <= e.Epoch {
			d.Epoch, d.Role, d.Following = e.Epoch, "replica", e.Target
			d.LogEpoch, d.Received = t.LogEpoch, t.Received
		}
	}
}

func (g *group) write(n int64, holders ...string) {
	for _, h := range holders {
		g.dbs[h].Received += n
	}
}

func (g *group) is(t *testing.T, phase schema.Phase, primary string, epoch uint64) {
	t.Helper()
	if st := g.in.State; st.Phase != phase || st.Primary != primary || epoch > 0 && st.Epoch != epoch {
		t.Fatalf("epoch %d, %s, primary %q, not %s, %q\n%s", st.Epoch, st.Phase, st.Primary, phase, primary, strings.Join(g.says, "\n"))
	}
}

func TestTheFurthestIsChosen(t *testing.T) {
	g := newGroup()
	g.run(2_000_000)
	g.is(t, schema.Phase_OPEN, "a", 1)
	g.write(5, "a", "b")
	g.write(2, "a")
	g.down["a"] = true
	g.run(5_000_000)
	g.is(t, schema.Phase_OPEN, "b", 2)
	if got := strings.Join(g.plat, " "); !strings.Contains(got, "b@2") || strings.Contains(got, "c@2") {
		t.Errorf("the platform was asked for %s", got)
	}
	// The old primary is further by two that nobody acknowledged, in an older
	// epoch: it is not preferred, and follows.
	g.down["a"] = false
	g.run(3_000_000)
	g.down["b"] = true
	g.run(5_000_000)
	if g.in.State.Phase != schema.Phase_OPEN || g.in.State.Primary == "b" {
		t.Errorf("%v", g.in.State)
	}
}

// A copy on another disk counts for nothing until its identity is agreed: with
// only that one and one more left, nobody is chosen.
func TestANewDiskDoesNotCount(t *testing.T) {
	g := newGroup()
	g.run(2_000_000)
	g.write(5, "a", "c")
	g.dbs["c"] = &Status{Identity: "c#2", Role: "sealed"}
	g.down["a"] = true
	g.run(6_000_000)
	g.is(t, schema.Phase_SEALING, "", 2)
	g.down["a"] = false
	g.run(6_000_000)
	g.is(t, schema.Phase_OPEN, "a", 0)
	for _, m := range g.in.State.Members {
		if m.Identity != g.dbs[m.Database].Identity {
			t.Errorf("%s counts as %s and is %s", m.Database, m.Identity, g.dbs[m.Database].Identity)
		}
	}
}

// Set aside: the copy counts no longer only once the other replica holds all the
// primary held after it was sealed, in the same epoch; then one of the two others
// is enough to go on from.
func TestSetAsideThenOneIsEnough(t *testing.T) {
	g := newGroup()
	g.run(2_000_000)
	g.write(3, "a", "c") // acknowledged on the word of c; b is behind
	g.in.Aside = "c"
	g.run(2_000_000)
	if m := g.in.State.Members[2]; m.Identity == "" || g.dbs["c"].Role != "sealed" || g.in.State.Epoch != 1 {
		t.Fatalf("c counts as %q with b behind, and is %s in epoch %d", m.Identity, g.dbs["c"].Role, g.in.State.Epoch)
	}
	g.dbs["b"].Received = g.dbs["a"].Received
	g.run(1_000_000)
	if m := g.in.State.Members[2]; m.Identity != "" || m.Retiring != "c#1" || g.in.State.Epoch != 1 {
		t.Fatalf("%v in epoch %d", m, g.in.State.Epoch)
	}
	g.in.Aside = ""
	g.down["a"], g.down["c"] = true, true
	g.run(5_000_000)
	g.is(t, schema.Phase_PROMOTING, "b", 0) // nobody follows it yet
	g.down["c"] = false
	g.dbs["c"] = &Status{Identity: "c#2", Role: "sealed"}
	g.run(5_000_000)
	g.is(t, schema.Phase_OPEN, "b", 0)
	if m := g.in.State.Members[2]; m.Identity != "c#2" || m.Retiring != "" {
		t.Errorf("the new copy counts as %v", m)
	}
}

// Another copy is lost while one is set aside: the one follows again.
func TestSetAsideIsTakenBack(t *testing.T) {
	g := newGroup()
	g.run(2_000_000)
	g.in.Aside = "c"
	g.dbs["b"].Received-- // it cannot be done with yet
	g.run(500_000)
	if g.dbs["c"].Role != "sealed" {
		t.Fatal("c was not sealed")
	}
	g.down["b"] = true
	g.run(5_000_000)
	g.is(t, schema.Phase_OPEN, "a", 0)
	if d := g.dbs["c"]; d.Role != "replica" || d.Epoch != g.in.State.Epoch || g.in.State.Members[2].Identity != "c#1" {
		t.Errorf("c is %v; members %v", d, g.in.State.Members)
	}
}

// A group of three databases through its first epoch and a lost primary; effects
// would go to databases, the register and the platform.
func ExampleGroup() {
	g := newGroup()
	g.run(2_000_000)
	fmt.Println(g.in.State.Epoch, g.in.State.Phase, g.in.State.Primary)
	g.write(4, "a", "c")
	g.down["a"] = true
	g.run(4_000_000)
	fmt.Println(g.in.State.Epoch, g.in.State.Phase, g.in.State.Primary)
	// Output:
	// 1 OPEN a
	// 2 OPEN c
}
