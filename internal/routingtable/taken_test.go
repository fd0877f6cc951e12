package routingtable

import (
	"fmt"
	"testing"

	"stoneford/internal/ports"
)

func amendment(base, revision uint64, content string) ports.TableChange {
	return ports.TableChange{BaseRevision: base, Revision: revision, Digest: fmt.Sprint(base, " ", revision, " ", content)}
}

// TestOrderStatus: of every order that was ever sent a table says whether it was
// taken, or that it is too old to say; never that one that was taken was not.
func TestOrderStatus(t *testing.T) {
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
		lost = append(lost, amendment(o.BaseRevision, o.Revision, "lost"), amendment(o.BaseRevision, o.Revision-1, "lost"))
		decoded, err := Decode(Encode(table))
		if err != nil || len(decoded.RecentOrders) > recentOrderLimit {
			t.Fatal(err, len(decoded.RecentOrders))
		}
		for n, o := range taken {
			want := Applied
			if n < len(taken)-recentOrderLimit {
				want = Forgotten
			}
			if got := OrderStatus(decoded, o); got != want {
				t.Fatalf("%d orders later %s is %d, not %d", len(taken)-n, o.Digest, got, want)
			}
		}
		for n, o := range lost {
			if got := OrderStatus(decoded, o); got == Applied || got == Forgotten && n/2 >= len(taken)-recentOrderLimit {
				t.Fatalf("%d orders later %s, which lost, is %d", len(taken)-n/2, o.Digest, got)
			}
		}
	}
	// A fresh number on any old base was never taken.
	for _, base := range []uint64{0, 3, 600} {
		if got := OrderStatus(table, amendment(base, table.Revision+1, "stale")); got != NotApplied {
			t.Errorf("on %d: %d", base, got)
		}
	}
	if got := OrderStatus(table, amendment(table.Revision, 3, "not above its base")); got != NotApplied {
		t.Error(got)
	}
}

// TestTablesWithoutOrders: of a table that an earlier version of the program wrote
// it is not known which orders made it; those that come on top are.
func TestTablesWithoutOrders(t *testing.T) {
	table := ports.RoutingTable{Revision: 9}
	if got := OrderStatus(table, amendment(7, 9, "x")); got != Forgotten {
		t.Error(got)
	}
	next, _ := Apply(table, amendment(9, 12, "y"))
	for o, want := range map[*ports.TableChange]OrderState{
		{BaseRevision: 7, Revision: 9, Digest: "x"}: Forgotten, {BaseRevision: 9, Revision: 12, Digest: "9 12 y"}: Applied, {BaseRevision: 9, Revision: 12, Digest: "z"}: NotApplied, {BaseRevision: 9, Revision: 10, Digest: "z"}: NotApplied,
	} {
		if got := OrderStatus(next, *o); got != want {
			t.Errorf("%+v: %d", o, got)
		}
	}
	// A move keeps what is known.
	if got := OrderStatus(WithPlacement(next, ports.Placement{Group: "g", Site: "s"}), amendment(9, 12, "y")); got != Applied {
		t.Error(got)
	}
}
