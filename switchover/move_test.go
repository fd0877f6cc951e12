package switchover

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"stoneford/ports"
	"stoneford/schema"
)

// trial drives one group's decider: d1 leads at a, d2 follows at b, d3 at c; a
// move to b by table 5 is agreed.
type trial struct {
	t      *testing.T
	g      *Group
	now    int64
	in     Input
	status map[string]ports.DatabaseStatus
	deaf   map[string]bool // does not answer
	asked  []string        // what databases and the platform were asked
}

func newTrial(t *testing.T) *trial {
	x := &trial{t: t, g: New(), now: 10_000_000, deaf: map[string]bool{}, status: map[string]ports.DatabaseStatus{}}
	x.in = Input{Group: "g", Sync: 1, Rev: 3, Settled: true, Duty: sureDuty(), Complete: true, Nodes: 2, Quiet: true, Told: true, Cleared: true,
		State: &schema.Leadership{Term: 1, Primary: "d1", Address: "d1:1", Holder: "control-1", HolderRun: 1, Fence: 1}, Heard: map[string]int64{},
		Move: Move{At: func(z string) bool { return z == "b" }, Site: "b", Table: 5, Begin: true}}
	for i, id := range []string{"d1", "d2", "d3"} {
		x.in.Instances = append(x.in.Instances, ports.Instance{ID: id, Group: "g", Address: id + ":1", Zone: string(rune('a' + i)), Primary: i == 0})
		x.in.Members = append(x.in.Members, id)
		x.status[id] = ports.DatabaseStatus{Primary: i == 0, Term: 1, Received: ports.Position{Term: 1, Number: 7}}
	}
	return x
}

// run lets time pass, answers questions and has what is proposed agreed.
func (x *trial) run(us int64) {
	for until := x.now + us; x.now < until; x.now += 10_000 {
		for _, id := range x.in.Members {
			x.in.Heard[id] = x.now
		}
		for _, f := range x.g.Step(x.now, x.in) {
			switch f := f.(type) {
			case Ask:
				s := x.status[f.Instance.ID]
				if x.deaf[f.Instance.ID] {
					x.g.Said(x.now, Said{ID: f.ID, Err: "no answer in time"})
					continue
				}
				switch f.Kind {
				case ports.Hold:
					s.Held = f.Term
				case ports.Resume:
					s.Held = 0
				case ports.StepDown:
					x.asked = append(x.asked, "step down "+f.Instance.ID)
					s.Primary = false
				}
				x.status[f.Instance.ID] = s
				x.g.Said(x.now, Said{ID: f.ID, Status: s})
			case Promote:
				x.asked = append(x.asked, "promote "+f.ID)
				s := x.status[f.ID]
				s.Primary, s.Term, s.Held = true, x.in.State.Term+1, 0
				x.status[f.ID] = s
				x.g.Promoted(x.now, true, false)
			case Put:
				l := &schema.Leadership{}
				if proto.Unmarshal(f.Data, l) != nil {
					x.t.Fatal("cannot be read")
				}
				x.in.State, x.in.Rev = l, x.in.Rev+1
				x.g.PutDone()
			}
		}
	}
}

// TestMove: the group ends at the site, under the floor, and the old primary
// stepped down before the platform was asked.
func TestMove(t *testing.T) {
	x := newTrial(t)
	x.run(3_000_000)
	if l := x.in.State; l.Primary != "d2" || l.Phase != uint32(ports.PhaseOpen) || l.Table != 5 || l.Term != 2 {
		t.Errorf("%v", l)
	}
	if i, j := slices.Index(x.asked, "step down d1"), slices.Index(x.asked, "promote d2"); i < 0 || j < i {
		t.Errorf("%v", x.asked)
	}
}

// TestMoveStays where the database at the site does not come level: nobody is
// promoted, and the floor is kept.
func TestMoveStays(t *testing.T) {
	x := newTrial(t)
	x.status["d2"] = ports.DatabaseStatus{Term: 1, Received: ports.Position{Term: 1, Number: 6}}
	x.run(3_000_000)
	if l := x.in.State; l.Primary != "d1" || l.Phase != uint32(ports.PhaseOpen) || l.Table != 5 || l.Term != 1 || len(x.asked) > 0 {
		t.Errorf("%v, asked %v", l, x.asked)
	}
}

// TestMoveStaysWhereAnotherIsFurther: what the held followers have decides, and
// the old primary leads on; those that were held go on.
func TestMoveStaysWhereAnotherIsFurther(t *testing.T) {
	x := newTrial(t)
	for x.in.State.Phase != uint32(ports.PhaseSealing) {
		x.run(10_000)
	}
	x.status["d3"] = ports.DatabaseStatus{Term: 1, Received: ports.Position{Term: 1, Number: 8}}
	x.run(4_000_000)
	if l := x.in.State; l.Primary != "d1" || l.Phase != uint32(ports.PhaseOpen) || len(x.asked) > 0 {
		t.Errorf("%v, asked %v", l, x.asked)
	}
	for id, s := range x.status {
		if s.Held > 0 {
			t.Errorf("%s is held", id)
		}
	}
}

// TestMoveOverALostPrimary: one that is lost in the middle is taken over from,
// and of equals the one at the site is chosen.
func TestMoveOverALostPrimary(t *testing.T) {
	x := newTrial(t)
	for x.in.State.Phase != uint32(ports.PhaseClosing) {
		x.run(10_000)
	}
	x.deaf["d1"] = true
	x.run(4_000_000)
	if l := x.in.State; l.Primary != "d2" || l.Phase != uint32(ports.PhaseOpen) || l.Table != 5 {
		t.Errorf("%v, asked %v", l, x.asked)
	}
}
