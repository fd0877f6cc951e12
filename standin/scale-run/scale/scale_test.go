package scale

import (
	"math"
	"testing"

	"stoneford/ports"
	"stoneford/routingtable"
	"stoneford/schema"
)

func TestShapeKeepsTheProportion(t *testing.T) {
	for nodes, want := range map[int]Shape{690: {690, 310}, 160: {160, 72}, 40: {40, 18}, 10: {10, 4}, 1: {1, 1}} {
		if s := ShapeOf(nodes); s != want {
			t.Errorf("%d nodes: %v, want %v", nodes, s, want)
		}
	}
	if n := ShapeOf(690).Databases(); n != 930 {
		t.Errorf("%d databases", n)
	}
}

func TestTableIsValid(t *testing.T) {
	s := ShapeOf(160)
	if ps := routingtable.Check(s.Table(1)); len(ps) > 0 {
		t.Error(ps)
	}
	next, ps := routingtable.Apply(s.Table(1), ports.TableChange{Base: 1, Revision: 2, Routes: []ports.Route{Route(3, 0, ports.Current)}})
	if len(ps) > 0 || len(next.Routes) != 3*s.Groups {
		t.Error(len(next.Routes), ps)
	}
}

func TestAddressesDiffer(t *testing.T) {
	seen := map[string]bool{}
	for i := range 800 {
		seen[NodeIP(i)] = true
	}
	for i := range 5 {
		seen[ControlIP(i)] = true
	}
	if len(seen) != 805 {
		t.Error(len(seen))
	}
}

func TestFitFindsALine(t *testing.T) {
	l := Fit([]Point{{10, []float64{23, 23}}, {40, []float64{83}}, {160, []float64{323, 323}}})
	if math.Abs(l.Slope-2) > 1e-9 || math.Abs(l.Intercept-3) > 1e-6 || math.Abs(l.Error) > 1e-6 || math.Abs(l.At(690)-1383) > 1e-6 {
		t.Errorf("%+v", l)
	}
	l = Fit([]Point{{10, []float64{100}}, {40, []float64{1600}}, {160, []float64{25600}}})
	if math.Abs(l.Power-2) > 1e-9 || l.Error == 0 {
		t.Errorf("%+v", l)
	}
	if l := Fit([]Point{{10, []float64{1, 2}}}); !math.IsNaN(l.Slope) || !math.IsNaN(l.Power) {
		t.Errorf("%+v", l)
	}
	if l := Fit(nil); !math.IsNaN(l.Slope) {
		t.Errorf("%+v", l)
	}
}

func TestMedian(t *testing.T) {
	if m := Median([]float64{9, 1, 5}); m != 5 {
		t.Error(m)
	}
	if m := Median([]float64{1, 2}); m != 1.5 {
		t.Error(m)
	}
}

func TestKernelTablesAreRead(t *testing.T) {
	if n := number([]byte("rchar: 12\nVmRSS:\t   34 kB\nempty:\n"), "VmRSS"); n != 34 {
		t.Error(n)
	}
	if n := number([]byte("empty:\n"), "empty") + number(nil, "rchar"); n != 0 {
		t.Error(n)
	}
	u, err := ReadUsage(true)
	if err != nil || u.HeapBytes == 0 || u.ResidentBytes == 0 || u.ReadBytes == 0 {
		t.Errorf("%+v: %v", u, err)
	}
}

func TestTrafficIsCountedByKind(t *testing.T) {
	var x Traffic
	x.Came(&schema.Envelope{From: "a", Body: &schema.Envelope_LookReturn{LookReturn: &schema.LookReturn{Number: 1}}})
	before, _ := x.Counts()
	x.Came(&schema.Envelope{From: "a", Body: &schema.Envelope_LookReturn{LookReturn: &schema.LookReturn{Cells: []*schema.Cell{{Key: "k"}}}}})
	x.Left(&schema.Envelope{From: "a", Body: &schema.Envelope_Look{Look: &schema.Look{}}})
	in, out := x.Counts()
	if in["look return"].Envelopes != 1 || in["news"].Envelopes != 1 || out["look"].Bytes == 0 {
		t.Error(in, out)
	}
	if d := Sum(Since(in, before)); d.Envelopes != 1 || d.Bytes != in["news"].Bytes {
		t.Error(d)
	}
}

func TestMomentsLeaveOutWhatDidNotCome(t *testing.T) {
	if m := MomentsOf([]int64{0, 30, 10, 20}); m != (Moments{3, 10, 20, 30}) {
		t.Error(m)
	}
	if m := MomentsOf([]int64{0}); m != (Moments{}) {
		t.Error(m)
	}
}

func TestDatabasesChangeTheirPrimary(t *testing.T) {
	d := NewDatabases(ShapeOf(10), "127.0.0.1:1")
	a, b, g := DatabaseID(0, 0), DatabaseID(0, 1), GroupName(0)
	if st, code := d.Do(a, ports.Status, 0); code != ports.Done || !st.Primary || st.Term != 1 {
		t.Error(st, code)
	}
	if st, _ := d.Do(b, ports.Hold, 2); st.Primary || st.Held != 2 {
		t.Error(st)
	}
	if st, _ := d.Do(a, ports.Hold, 2); st.Held != 0 {
		t.Error("a primary was held")
	}
	if c := d.Promote(g, "nobody"); c != 409 {
		t.Error(c)
	}
	if c := d.Promote(g, b); c != 200 {
		t.Error(c)
	}
	d.Promote(g, b) // once more
	if id, term, at := d.Primary(g); id != b || term != 2 || at == 0 {
		t.Error(id, term, at)
	}
	if st, _ := d.Do(b, ports.Status, 0); !st.Primary || st.Held != 0 {
		t.Error(st)
	}
	if i := d.Announcement(a); i.Primary || i.Call != 1 {
		t.Error(i)
	}
	if n := len(d.Announcements(0, 1)); n != 12 {
		t.Error(n)
	}
	if _, code := d.Do("nobody", ports.Status, 0); code != ports.WrongInstance {
		t.Error(code)
	}
}

// TestSmallFleet has hollow nodes follow three control processes through a
// change of the table and one of a primary.
func TestSmallFleet(t *testing.T) {
	fleet(t)
}
