package bookings_test

import (
	"fmt"
	"testing"

	"stoneford/bookings"
	"stoneford/schema"
)

const inState = 3_600_000_000 // an hour past the epoch

// A move is proposed by one partner, confirmed by the owner, and goes on by what
// is seen of the group.
func Example() {
	calendar, b, _ := bookings.Propose(&schema.MaintenanceCalendar{}, &schema.MaintenanceWindow{Kind: bookings.Replacement, Target: "shop/stock-b", Group: "shop/stock", Owner: "shop", ProposedBy: "bank", AtUs: inState}, inState-1, bookings.Fleet{})
	_, _, p := bookings.Confirm(calendar, b.Id, "bank", inState-1, bookings.Fleet{})
	fmt.Println(p)
	calendar, b, _ = bookings.Confirm(calendar, b.Id, "shop", inState-1, bookings.Fleet{})
	v := bookings.Observation{WallUs: inState, Primary: "stock-a", Target: "stock-b", Identity: "old"}
	for _, change := range []func(){func() { v.InStateUs = 1_000_000 }, func() {}, func() { v.MemberRetired, v.Identity = true, "" }, func() { v.Identity = "new" }} {
		change()
		state, _, _ := bookings.Next(b, v)
		calendar = bookings.SetState(calendar, b.Id, state, "")
		b = bookings.Find(calendar, b.Id)
		if state == bookings.Draining {
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
	states, handovers := []string{bookings.Proposed, bookings.Confirmed, bookings.Draining, bookings.Closing, bookings.Switching, bookings.Retiring, bookings.AwaitingPlatform}, 0
	for i := range 1 << 13 {
		bit := func(n int) bool { return i>>n&1 == 1 }
		pick := func(n int, a, b int64) int64 {
			if bit(n) {
				return a
			}
			return b
		}
		b := &schema.MaintenanceWindow{Kind: bookings.Replacement, Target: "p/x", Group: "p/g", Owner: "p", AtUs: inState, Identity: "old", State: states[i%len(states)]}
		v := bookings.Observation{WallUs: pick(0, inState, inState+20*60_000_000), InStateUs: pick(1, 400_000, 70_000_000), Primary: []string{"", "x", "y", "y"}[i>>2&3], Target: "x",
			Identity: []string{"old", "", "new", "old"}[i>>4&3], MemberRetired: bit(6), BusyConnections: int(pick(7, 0, 2)), OpenTransactions: int(pick(8, 0, 1))}
		if bit(9) {
			v.Obstacle = "not well"
		}
		next, _, requestPlatform := bookings.Next(b, v)
		if next == bookings.AwaitingPlatform {
			handovers++
			if b.State != bookings.Retiring || !v.MemberRetired {
				t.Errorf("%s goes to the platform: %+v", b.State, v)
			}
		}
		if next == bookings.Retiring && v.Primary == "x" {
			t.Errorf("%s: a primary is set aside: %+v", b.State, v)
		}
		if requestPlatform && b.State != bookings.AwaitingPlatform && b.State != bookings.Switching && b.State != bookings.Retiring {
			t.Errorf("%s asks", b.State)
		}
	}
	if handovers == 0 {
		t.Error("none goes to the platform")
	}
}
