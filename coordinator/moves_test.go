package coordinator

import (
	"fmt"
	"slices"
	"testing"

	"stoneford/paxos"
	"stoneford/ports"
	"stoneford/schema"
	"stoneford/step"
	"stoneford/switchover"
	"stoneford/voterview"
)

// world is three control processes without a network between them, two
// databases that lead and follow, and pool nodes that only look.
type world struct {
	t       *testing.T
	now     int64
	boots   []ports.Boot
	cores   []*Core
	line    []step.Send
	tables  map[string]uint64 // of each pool node that looks
	status  map[string]ports.DatabaseStatus
	ended   []any
	numbers uint64
	calls   uint64
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, now: 1_000_000, tables: map[string]uint64{}, status: map[string]ports.DatabaseStatus{
		"d1": {Primary: true, Term: 1, Received: ports.Position{Term: 1, Number: 9}},
		"d2": {Term: 1, Received: ports.Position{Term: 1, Number: 9}}}}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("10.0.%d.1:7000", i+1))
	}
	for i := range 3 {
		b := ports.Boot{Name: fmt.Sprintf("control-%d", i+1), Zone: fmt.Sprintf("zone-%c", 'a'+i), IP: fmt.Sprintf("10.0.%d.1", i+1), PortFirst: 7000, PortLast: 7003, Seeds: seeds, Bootstrap: true}
		w.boots = append(w.boots, b)
		c := NewCore(b, paxos.NewAcceptor(b.ControlNode(), uint64(i+1), paxos.Place{}, seeds), 1)
		c.Start(w.now)
		w.cores = append(w.cores, c)
	}
	w.run(3_000_000)
	w.announce()
	w.step(1, Change{ID: 9, Change: ports.TableChange{Revision: 1, Whole: true, Name: "first", Groups: []ports.Group{{Name: "g", ConnLimit: 10, Sync: 1}}, Limits: &ports.Limits{}}})
	w.run(3_000_000)
	return w
}

func (w *world) step(i int, evs ...any) {
	fx := w.cores[i].Step(w.now, evs...)
	w.line = append(w.line, fx.Send...)
	if len(fx.Log) > 0 { // a disk that takes no time
		defer w.step(i, Synced{Mark: fx.Mark})
	}
	for _, d := range fx.Do {
		switch d := d.(type) {
		case Ask:
			w.step(i, Said{Group: d.Group, Said: switchover.Said{ID: d.Ask.ID, Status: w.status[d.Ask.Instance.ID]}})
		case Say, Promote, Announced:
		default:
			w.ended = append(w.ended, d)
		}
	}
}

func (w *world) announce() {
	w.calls++
	for i, id := range []string{"d1", "d2"} {
		w.step(0, Announce{ID: uint64(i + 1), Instance: ports.Instance{ID: id, Group: "g", Address: id + ":1", Zone: w.boots[i].Zone, Primary: i == 0, Call: w.calls}})
	}
}

// run lets time pass; databases announce themselves each second, pool
// nodes look every 100 ms.
func (w *world) run(us int64) {
	for until := w.now + us; w.now < until; w.now += 10_000 {
		for i := range w.cores {
			w.step(i)
		}
		if w.now%1_000_000 == 0 && w.calls > 0 {
			w.announce()
		}
		if w.now%100_000 == 0 {
			for n, rev := range w.tables {
				w.look(n, rev)
			}
		}
		for len(w.line) > 0 {
			s := w.line[0]
			w.line = w.line[1:]
			for i, b := range w.boots {
				if b.ControlNode() == s.To {
					w.step(i, s.Env)
				}
			}
		}
	}
}

func (w *world) look(name string, rev uint64) {
	w.numbers++
	for i := range w.cores {
		w.step(i, &schema.Envelope{From: name + ":7001", Body: &schema.Envelope_Look{Look: &schema.Look{Number: w.numbers, Name: name, Kind: "pool", Run: 7, Table: rev}}})
	}
}

func (w *world) moves() MoveState {
	w.t.Helper()
	ms := w.cores[0].Moves(w.now)
	if len(ms) != 1 {
		w.t.Fatalf("%+v", ms)
	}
	return ms[0]
}

func (w *world) moveTo(site string) MoveResult {
	w.ended = nil
	w.step(2, Move{ID: 5, Group: "g", Site: site})
	w.run(500_000)
	for _, e := range w.ended {
		if m, ok := e.(Moved); ok {
			return m.Result
		}
	}
	w.t.Fatal("the move was not ended")
	return MoveResult{}
}

// TestGate: a move stays staged while anybody that looks works by an older
// table, who is named, and is agreed once nobody does.
func TestGate(t *testing.T) {
	w := newWorld(t)
	w.tables["pool-1"], w.tables["pool-2"] = 1, 1
	w.run(500_000)
	r := w.moveTo("zone-b")
	if r.Outcome != ports.Agreed || r.Table != 2 {
		t.Fatalf("%+v", r)
	}
	w.tables["pool-1"] = 2
	w.run(5_000_000)
	if m := w.moves(); m.Phase != "staged" || !slices.Equal(m.Behind, []string{"pool-2"}) {
		t.Fatalf("%+v", m)
	}
	for _, c := range w.cores {
		if c.allHold(2) {
			t.Error("the gate is open")
		}
	}
	w.tables["pool-2"] = 2
	w.run(1_000_000)
	if m := w.moves(); m.Phase != "agreed" {
		t.Errorf("%+v", m)
	}
	if m := w.moveTo("zone-a"); m.Outcome != ports.Stale {
		t.Errorf("a second move beside one that is agreed: %+v", m)
	}
}

// TestGateWaitsOutTheSilent: who fell silent may have a lease for a while yet.
func TestGateWaitsOutTheSilent(t *testing.T) {
	w := newWorld(t)
	w.tables["pool-1"] = 1
	w.run(500_000)
	delete(w.tables, "pool-1")
	w.moveTo("zone-b")
	w.run(voterview.LeaseUs - 700_000)
	if m := w.moves(); m.Phase != "staged" {
		t.Errorf("%+v", m)
	}
	w.run(1_500_000)
	if m := w.moves(); m.Phase != "agreed" {
		t.Errorf("%+v", m)
	}
}

// TestGateKeepsEarlierRuns: an earlier run's lease may be in use yet, and its
// looks may come late.
func TestGateKeepsEarlierRuns(t *testing.T) {
	w := newWorld(t)
	c := w.cores[0]
	w.look("pool-1", 0)
	c.Step(w.now, &schema.Envelope{From: "pool-1:7001", Body: &schema.Envelope_Look{Look: &schema.Look{Number: 99, Name: "pool-1", Kind: "pool", Run: 8, Table: 5}}})
	if a := c.allHere(w.now); a != 0 {
		t.Errorf("all are said to work by %d", a)
	}
}

// TestCancelMove: a staged move is taken back, and the table says again where
// the group is.
func TestCancelMove(t *testing.T) {
	w := newWorld(t)
	w.tables["pool-1"] = 1
	w.run(500_000)
	w.moveTo("zone-b")
	w.step(1, CancelMove{ID: 6, Group: "g"})
	w.run(1_000_000)
	m := w.moves()
	if m.Phase != "cancelled" || m.Site != "zone-a" {
		t.Errorf("%+v", m)
	}
	w.tables["pool-1"] = 3
	w.run(4_000_000)
	if m := w.moves(); m.Phase != "cancelled" || m.Floor != 0 {
		t.Errorf("%+v", m)
	}
}

// TestMoveNeedsALevelDatabase: while the database at the site lacks much, the
// move stays staged and says so.
func TestMoveNeedsALevelDatabase(t *testing.T) {
	w := newWorld(t)
	w.status["d1"] = ports.DatabaseStatus{Primary: true, Term: 1, Received: ports.Position{Term: 1, Number: 9_000}}
	w.moveTo("zone-b")
	w.run(4_000_000)
	m := MoveState{}
	for _, c := range w.cores {
		if c.acts(w.now, "g") {
			m = c.Moves(w.now)[0]
		}
	}
	if m.Phase != "staged" || m.Waits != "d2 lacks 8991 commits" {
		t.Errorf("%+v", m)
	}
	w.status["d2"] = ports.DatabaseStatus{Term: 1, Received: ports.Position{Term: 1, Number: 9_000}}
	w.run(1_500_000)
	if m := w.moves(); m.Phase != "agreed" {
		t.Errorf("%+v", m)
	}
}

// TestMoveIsRefused where it makes no sense.
func TestMoveIsRefused(t *testing.T) {
	w := newWorld(t)
	if r := w.moveTo("zone-c"); r.Outcome != ports.Invalid {
		t.Errorf("no database there: %+v", r)
	}
	w.ended = nil
	w.step(0, Move{ID: 5, Group: "nobody", Site: "zone-b"})
	w.run(500_000)
	if r, ok := w.ended[0].(Moved); !ok || r.Result.Outcome != ports.Invalid {
		t.Errorf("%+v", w.ended)
	}
}
