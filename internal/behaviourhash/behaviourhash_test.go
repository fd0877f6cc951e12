package behaviourhash

import (
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"stoneford/schema"
)

// run records a few values, the last of which can be chosen.
func run(last int64) Row {
	r := New()
	r.Envelope(5, "a", "b", &schema.Envelope{From: "a"})
	r.Call(6, "run", "a").Text("ab").Text("c").Uint(1).Bool(true)
	r.Answer(7, "reply", "a").Texts([]string{"x", "y"}).Int(last)
	return r.Row(3, 5)
}

// TestEqualRecordsGiveEqualHashes: the hash stands for the values, each by itself.
func TestEqualRecordsGiveEqualHashes(t *testing.T) {
	first, repeated := run(1), run(1)
	if first != repeated {
		t.Error("the same records give different rows")
	}
	if a, b := first, run(2); a.Hash == b.Hash || a.Envelopes != 1 || a.Calls != 1 || a.Answers != 1 {
		t.Errorf("%+v and %+v", a, b)
	}
	a, b := New(), New()
	a.Call(1, "run", "x").Text("ab").Text("c")
	b.Call(1, "run", "x").Text("a").Text("bc")
	if a.Row(0, 0) == b.Row(0, 0) {
		t.Error("values that are divided differently give the same hash")
	}
}

// roleRow records an envelope with a role state, whose leases of two databases are
// encoded one after the other, so that the order of the map is the one given.
func roleRow(t *testing.T, order ...string) Row {
	t.Helper()
	grant, err := proto.Marshal(&schema.ConnectionLease{Node: "a"})
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range order {
		entry, err := proto.Marshal(&schema.ConnectionLease{Connections: map[string]int32{name: int32(len(name))}})
		if err != nil {
			t.Fatal(err)
		}
		grant = append(grant, entry...)
	}
	grants := protowire.AppendBytes(protowire.AppendTag(nil, 1, protowire.BytesType), grant)
	state, err := proto.Marshal(&schema.RoleState{Leader: "h", Term: 2})
	if err != nil {
		t.Fatal(err)
	}
	state = protowire.AppendBytes(protowire.AppendTag(state, 5, protowire.BytesType), grants)
	r := New()
	r.Envelope(1, "a", "b", &schema.Envelope{From: "a", Body: &schema.Envelope_RegisterUpdate{RegisterUpdate: &schema.RegisterUpdate{
		Registers: []*schema.Register{{Key: "duty/x", Value: &schema.Value{Data: state}}}}}})
	return r.Row(0, 0)
}

// TestOrderOfADutyStatesMapIsNoDifference: what a map holds counts, not its order.
func TestOrderOfADutyStatesMapIsNoDifference(t *testing.T) {
	a := roleRow(t, "x", "yy")
	if b := roleRow(t, "yy", "x"); a != b {
		t.Error("the order of a map's entries changes the hash")
	}
	if b := roleRow(t, "x", "zz"); a == b {
		t.Error("another entry gives the same hash")
	}
}

// TestNilRecorderDoesNothing: a simulation without an observer may record as well.
func TestNilRecorderDoesNothing(t *testing.T) {
	var r *Recorder
	r.Envelope(1, "a", "b", &schema.Envelope{})
	if r.Call(1, "run", "a").Int(1).Uint(1).Bool(true).Text("a").Texts([]string{"a"}).Bytes(nil) != nil || r.Answer(1, "reply", "a") != nil {
		t.Error("it is not nil any more")
	}
}

// TestDifferencesNameTheSeed: what was saved is read back, and a difference names
// the seed, the old hash and the new one.
func TestDifferencesNameTheSeed(t *testing.T) {
	file := filepath.Join(t.TempDir(), "testdata", "behaviour.json")
	rows := []Row{run(1), {Seed: 4, Hash: "x"}}
	if err := Save(file, rows); err != nil {
		t.Fatal(err)
	}
	recorded, err := Load(file)
	if err != nil || !slices.Equal(recorded, rows) {
		t.Fatalf("%v, %v", recorded, err)
	}
	if ds := Differences(recorded, rows[:1]); len(ds) > 0 {
		t.Errorf("%v", ds)
	}
	now := run(2)
	ds := Differences(recorded, []Row{now, {Seed: 9}})
	if len(ds) != 2 || !strings.Contains(ds[0], "seed 3") || !strings.Contains(ds[0], rows[0].Hash) || !strings.Contains(ds[0], now.Hash) || !strings.Contains(ds[1], "not recorded") {
		t.Errorf("%q", ds)
	}
}
