package switchover

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"stoneford/ports"
	"stoneford/schema"
)

// world is one group as a decider meets it: databases that answer at once, a
// register that agrees to each change, a platform.
type world struct {
	t    *testing.T
	g    *Group
	now  int64
	in   Input
	st   map[string]*ports.DatabaseStatus // nil: nobody listens there
	dark map[string]bool                  // it does not answer
	asks []Ask
	up   []Promote
}

// sureDuty is the duty of a holder that meets a majority all the time.
func sureDuty() Duty {
	return Duty{Self: "control-1", Run: 1, Eligible: true, Successor: true, Lease: Lease{From: 1 << 60, Until: 1 << 61}}
}

func pos(n int64) ports.Position { return ports.Position{Term: 1, Number: n} }

func newWorld(t *testing.T) *world {
	w := &world{t: t, g: New(), now: 1_000_000, st: map[string]*ports.DatabaseStatus{}, dark: map[string]bool{}}
	w.in = Input{Group: "g", Sync: 1, Settled: true, Duty: sureDuty(), Nodes: 3, Cleared: true, Told: true,
		Heard: map[string]int64{}, Sights: map[string]Sight{}, Gone: map[string]bool{}}
	for _, id := range []string{"a", "b", "c"} {
		w.in.Instances = append(w.in.Instances, ports.Instance{ID: id, Group: "g", Address: id, Primary: id == "a"})
		w.st[id] = &ports.DatabaseStatus{Primary: id == "a", Term: 1, Received: pos(10)}
	}
	w.pass(200_000)
	if w.in.State.GetPrimary() != "a" || len(w.in.Members) != 3 {
		t.Fatalf("founded as %v with %v", w.in.State, w.in.Members)
	}
	return w
}

// pass lets time pass in steps of 5 ms.
func (w *world) pass(us int64) {
	for end := w.now + us; w.now < end; w.now += 5_000 {
		w.step()
	}
}

func (w *world) step() {
	for _, i := range w.in.Instances {
		w.in.Heard[i.ID] = w.now
	}
	for _, e := range w.g.Step(w.now, w.in) {
		switch e := e.(type) {
		case Put:
			if e.Base != w.in.Rev {
				w.t.Fatalf("a change on revision %d of %d", e.Base, w.in.Rev)
			}
			w.in.State = &schema.Leadership{}
			if err := proto.Unmarshal(e.Data, w.in.State); err != nil {
				w.t.Fatal(err)
			}
			w.in.Rev++
			w.g.PutDone()
		case PutMembers:
			w.in.Members, w.in.MembersRev = e.IDs, w.in.MembersRev+1
			w.g.MembersDone()
		case Promote:
			w.up = append(w.up, e)
		case Ask:
			w.asks = append(w.asks, e)
			w.answer(e)
		}
	}
}

func (w *world) answer(e Ask) {
	id := e.Instance.ID
	s := w.st[id]
	switch {
	case w.dark[id]:
		w.g.Said(w.now, Said{ID: e.ID, Err: "no answer"})
		return
	case s == nil:
		w.g.Said(w.now, Said{ID: e.ID, Err: "refused", NotThere: true})
		return
	}
	switch e.Kind {
	case ports.Hold:
		if s.Primary {
			w.g.Said(w.now, Said{ID: e.ID, Err: "it leads"})
			return
		}
		s.Held = e.Term
	case ports.Resume:
		s.Held = 0
	case ports.StepDown:
		s.Primary = false
	}
	w.g.Said(w.now, Said{ID: e.ID, Status: *s})
}

// lead is what the platform does some time after it was asked.
func (w *world) lead(id string) {
	w.st[id].Primary, w.st[id].Term, w.st[id].Held = true, 2, 0
	for i := range w.in.Instances {
		if w.in.Instances[i].ID == id {
			w.in.Instances[i].Primary = true
		}
	}
}

func (w *world) fails(id string, cut bool) {
	w.in.Sights[id] = Sight{Nodes: 3, Cut: map[bool]int{true: 3}[cut], FailingUs: 600_000}
}

func (w *world) phase(p ports.Phase) {
	w.t.Helper()
	if ports.Phase(w.in.State.Phase) != p {
		w.t.Fatalf("phase %d, not %d: %v", w.in.State.Phase, p, w.in.State)
	}
}

// TestLost: the furthest of the held followers is promoted, the others resume and
// the old primary steps down when it is back.
func TestLost(t *testing.T) {
	w := newWorld(t)
	w.st["c"].Received = pos(12)
	w.st["a"] = nil
	w.fails("a", true)
	w.pass(100_000)
	w.phase(ports.PhasePromoting)
	if len(w.up) != 1 || w.up[0].ID != "c" || w.st["b"].Held != 2 || w.st["c"].Held != 2 {
		t.Fatalf("asked for %v with %v", w.up, w.st["b"])
	}
	w.lead("c")
	w.pass(200_000)
	w.phase(ports.PhaseOpen)
	if w.in.State.Term != 2 || w.in.State.Primary != "c" || w.in.State.Fence != 1 {
		t.Fatalf("%v", w.in.State)
	}
	w.in.Sights = map[string]Sight{}
	w.st["a"] = &ports.DatabaseStatus{Primary: true, Term: 1, Received: pos(12)}
	w.pass(1_000_000)
	if w.st["a"].Primary || w.st["b"].Held != 0 {
		t.Fatalf("not tidied up: %v %v", w.st["a"], w.st["b"])
	}
}

// TestRestartKnowsNobody: a process that has just started takes no primary as gone
// that it has not heard of, and no member as absent (incident 2).
func TestRestartKnowsNobody(t *testing.T) {
	w := newWorld(t)
	w.g = New()
	all := w.in.Instances
	w.in.Instances = all[1:2]
	w.pass(2_000_000)
	w.phase(ports.PhaseOpen)
	// The primary is lost for good, and one follower was not heard of yet.
	w.st["a"] = nil
	w.fails("a", true)
	w.pass(3_000_000)
	if len(w.up) != 0 {
		t.Fatalf("asked for %v without a member's word", w.up)
	}
	w.in.Instances = all
	w.st["c"].Received = pos(11)
	w.pass(200_000)
	if len(w.up) != 1 || w.up[0].ID != "c" {
		t.Fatalf("asked for %v", w.up)
	}
}

// TestMissingFollower: one that may hold the newest commit is waited for, unless
// what was acknowledged is known to lie within what the other holds.
func TestMissingFollower(t *testing.T) {
	for _, c := range []struct {
		acked int64
		told  bool
		up    int
	}{{10, true, 1}, {11, true, 0}, {10, false, 0}} {
		w := newWorld(t)
		w.in.Acked, w.in.Told = pos(c.acked), c.told
		w.st["a"], w.dark["c"] = nil, true
		w.fails("a", true)
		w.pass(2_000_000)
		if min(len(w.up), 1) != c.up {
			t.Fatalf("%+v: asked for %v", c, w.up)
		}
	}
}

// TestNobodyRelies: the platform is asked only once no node relies on the old
// primary any more.
func TestNobodyRelies(t *testing.T) {
	w := newWorld(t)
	w.st["a"] = nil
	w.in.Cleared = false
	w.fails("a", true)
	w.pass(1_000_000)
	w.phase(ports.PhaseSealing)
	if len(w.up) != 0 {
		t.Fatal("the platform was asked while a node relied on the old primary")
	}
	w.in.Cleared = true
	w.pass(200_000)
	if len(w.up) != 1 {
		t.Fatal("the platform was not asked")
	}
}

// TestBack: a primary that is back before anyone was asked for leads on, and its
// followers resume.
func TestBack(t *testing.T) {
	w := newWorld(t)
	w.in.Cleared = false
	w.dark["a"], w.dark["c"] = true, true
	w.fails("a", false)
	w.pass(1_000_000)
	w.phase(ports.PhaseSealing)
	w.dark["a"], w.dark["c"] = false, false
	w.in.Sights = map[string]Sight{}
	w.pass(1_500_000)
	w.phase(ports.PhaseOpen)
	if w.in.State.Term != 1 || len(w.up) != 0 || w.st["b"].Held != 0 {
		t.Fatalf("%v %v", w.in.State, w.up)
	}
}

// TestLeaves: a primary that says that it leaves is switched away from, with
// nothing new begun first, and not to one that leaves as well.
func TestLeaves(t *testing.T) {
	w := newWorld(t)
	w.in.Instances[0].Leaving, w.in.Instances[1].Leaving = true, true
	w.pass(500_000 - 300_000)
	for range 200 {
		if ports.Phase(w.in.State.Phase) == ports.PhaseClosing {
			break
		}
		w.pass(5_000)
	}
	w.phase(ports.PhaseClosing)
	if len(w.up) != 0 {
		t.Fatal("the platform was asked before anything was closed")
	}
	w.in.Quiet = true
	w.pass(200_000)
	if len(w.up) != 1 || w.up[0].ID != "c" {
		t.Fatalf("asked for %v", w.up)
	}
}

// TestPlatform: a call that was bounced is made again soon, one whose answer was
// lost after a while; one whose database is not running leads to another choice.
func TestPlatform(t *testing.T) {
	w := newWorld(t)
	w.st["a"] = nil
	w.fails("a", true)
	w.pass(100_000)
	w.g.Promoted(w.now, false, false)
	w.pass(400_000)
	if len(w.up) != 2 {
		t.Fatalf("bounced once, asked %d times", len(w.up))
	}
	w.pass(1_000_000)
	if len(w.up) != 2 {
		t.Fatalf("asked %d times while the answer may come", len(w.up))
	}
	w.st["c"] = nil
	w.pass(2_000_000)
	if last := w.up[len(w.up)-1]; last.ID != "b" && !slices.ContainsFunc(w.up, func(p Promote) bool { return p.ID == "b" }) {
		t.Fatalf("never asked for the other: %v", w.up)
	}
}

// TestMembers: one that is gone is left out only once the others hold what the
// primary held after it went.
func TestMembers(t *testing.T) {
	w := newWorld(t)
	w.in.Instances = w.in.Instances[:2]
	w.in.Gone["c"] = true
	w.st["a"].Received = pos(20)
	w.pass(2_000_000)
	if !slices.Contains(w.in.Members, "c") {
		t.Fatal("left out while the other lacks what the primary holds")
	}
	w.st["b"].Received = pos(20)
	w.pass(1_000_000)
	if slices.Contains(w.in.Members, "c") {
		t.Fatal("still a member")
	}
}

// TestOne: who does not carry the changes out asks nothing and changes nothing.
func TestOne(t *testing.T) {
	w := newWorld(t)
	w.in.State.Holder, w.in.Duty.HolderPresent = "control-2", true
	w.asks = nil
	w.st["a"] = nil
	w.fails("a", true)
	w.pass(2_000_000)
	w.phase(ports.PhaseOpen)
	if len(w.asks)+len(w.up) != 0 {
		t.Fatalf("%v %v", w.asks, w.up)
	}
}
