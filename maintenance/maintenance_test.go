package maintenance_test

import (
	"fmt"
	"testing"

	"stoneford/maintenance"
	"stoneford/schema"
)

const inState = 3_600_000_000 // an hour past the epoch

// A move is proposed by one partner, confirmed by the owner, and goes on by what
// is seen of the group.
func Example() {
	calendar, b, _ := maintenance.Propose(&schema.MaintenanceCalendar{}, &schema.MaintenanceWindow{Kind: maintenance.Replacement, Target: "shop/stock-b", Group: "shop/stock", Owner: "shop", ProposedBy: "bank", AtUs: inState}, inState-1, maintenance.Fleet{})
	_, _, p := maintenance.Confirm(calendar, b.Id, "bank", inState-1, maintenance.Fleet{})
	fmt.Println(p)
	calendar, b, _ = maintenance.Confirm(calendar, b.Id, "shop", inState-1, maintenance.Fleet{})
	v := maintenance.Observation{WallUs: inState, Primary: "stock-a", Target: "stock-b", Identity: "old"}
	for _, change := range []func(){func() { v.InStateUs = 1_000_000 }, func() {}, func() { v.MemberRetired, v.Identity = true, "" }, func() { v.Identity = "new" }} {
		change()
		state, _, _ := maintenance.Next(b, v)
		calendar = maintenance.SetState(calendar, b.Id, state, "")
		b = maintenance.Find(calendar, b.Id)
		if state == maintenance.Draining {
			b.Identity = "old"
		}
		fmt.Println(b.State)
	}
	// Output:
	// 402 shop/stock-b belongs to shop
	// draining
	// setting aside
	// handed to the platform
	// done
}

// TestPlatformIsNeededOnlyAfterRetiring: in no view does a replacement go to the
// platform before its copy was set aside, nor is a primary set aside.
func TestPlatformIsNeededOnlyAfterRetiring(t *testing.T) {
	states, handovers := []string{maintenance.Proposed, maintenance.Confirmed, maintenance.Draining, maintenance.Closing, maintenance.Switching, maintenance.Retiring, maintenance.AwaitingPlatform}, 0
	for i := range 1 << 13 {
		bit := func(n int) bool { return i>>n&1 == 1 }
		pick := func(n int, a, b int64) int64 {
			if bit(n) {
				return a
			}
			return b
		}
		b := &schema.MaintenanceWindow{Kind: maintenance.Replacement, Target: "p/x", Group: "p/g", Owner: "p", AtUs: inState, Identity: "old", State: states[i%len(states)]}
		v := maintenance.Observation{WallUs: pick(0, inState, inState+20*60_000_000), InStateUs: pick(1, 400_000, 70_000_000), Primary: []string{"", "x", "y", "y"}[i>>2&3], Target: "x",
			Identity: []string{"old", "", "new", "old"}[i>>4&3], MemberRetired: bit(6), BusyConnections: int(pick(7, 0, 2)), OpenTransactions: int(pick(8, 0, 1))}
		if bit(9) {
			v.Obstacle = "not well"
		}
		next, _, requestPlatform := maintenance.Next(b, v)
		if next == maintenance.AwaitingPlatform {
			handovers++
			if b.State != maintenance.Retiring || !v.MemberRetired {
				t.Errorf("%s goes to the platform: %+v", b.State, v)
			}
		}
		if next == maintenance.Retiring && v.Primary == "x" {
			t.Errorf("%s: a primary is set aside: %+v", b.State, v)
		}
		if requestPlatform && b.State != maintenance.AwaitingPlatform && b.State != maintenance.Switching && b.State != maintenance.Retiring {
			t.Errorf("%s asks", b.State)
		}
	}
	if handovers == 0 {
		t.Error("none goes to the platform")
	}
}
