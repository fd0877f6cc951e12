package routingtable

import (
	"fmt"
	"testing"

	"stoneford/ports"
)

func amendment(base, revision uint64, content string) ports.TableChange {
	return ports.TableChange{Base: base, Revision: revision, Name: fmt.Sprint(base, " ", revision, " ", content)}
}

// TestWasTaken: of every order that was ever sent a table says whether it was
// taken, or that it is too old to say; never that one that was taken was not.
func TestWasTaken(t *testing.T) {
	table := ports.RoutingTable{}
	var taken, lost []ports.TableChange
	for i := range uint64(300) {
		o := amendment(table.Revision, 3*i+3, "won")
		var problems []string
		if table, problems = Apply(table, o); len(problems) > 0 {
			t.Fatal(problems)
		}
		taken = append(taken, o)
		// A race lost under the same number, and under one that was left out.
		lost = append(lost, amendment(o.Base, o.Revision, "lost"), amendment(o.Base, o.Revision-1, "lost"))
		decoded, err := Decode(Encode(table))
		if err != nil || len(decoded.Taken) > keptOrders {
			t.Fatal(err, len(decoded.Taken))
		}
		for n, o := range taken {
			want := Taken
			if n < len(taken)-keptOrders {
				want = Forgotten
			}
			if got := WasTaken(decoded, o); got != want {
				t.Fatalf("%d orders later %s is %d, not %d", len(taken)-n, o.Name, got, want)
			}
		}
		for n, o := range lost {
			if got := WasTaken(decoded, o); got == Taken || got == Forgotten && n/2 >= len(taken)-keptOrders {
				t.Fatalf("%d orders later %s, which lost, is %d", len(taken)-n/2, o.Name, got)
			}
		}
	}
	// A fresh number on any old base was never taken.
	for _, base := range []uint64{0, 3, 600} {
		if got := WasTaken(table, amendment(base, table.Revision+1, "stale")); got != NotTaken {
			t.Errorf("on %d: %d", base, got)
		}
	}
	if got := WasTaken(table, amendment(table.Revision, 3, "not above its base")); got != NotTaken {
		t.Error(got)
	}
}

// TestTablesWithoutOrders: of a table that an earlier version of the program wrote
// it is not known which orders made it; those that come on top are.
func TestTablesWithoutOrders(t *testing.T) {
	table := ports.RoutingTable{Revision: 9}
	if got := WasTaken(table, amendment(7, 9, "x")); got != Forgotten {
		t.Error(got)
	}
	next, _ := Apply(table, amendment(9, 12, "y"))
	for o, want := range map[*ports.TableChange]Standing{
		{Base: 7, Revision: 9, Name: "x"}: Forgotten, {Base: 9, Revision: 12, Name: "9 12 y"}: Taken, {Base: 9, Revision: 12, Name: "z"}: NotTaken, {Base: 9, Revision: 10, Name: "z"}: NotTaken,
	} {
		if got := WasTaken(next, *o); got != want {
			t.Errorf("%+v: %d", o, got)
		}
	}
	// A move keeps what is known.
	if got := WasTaken(Place(next, ports.Placement{Group: "g", Site: "s"}), amendment(9, 12, "y")); got != Taken {
		t.Error(got)
	}
}
