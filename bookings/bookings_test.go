package bookings_test

import (
	"fmt"
	"testing"

	"stoneford/bookings"
	"stoneford/schema"
)

const at = 3_600_000_000 // an hour past the epoch

// A move is proposed by one partner, confirmed by the owner, and goes on by what
// is seen of the group.
func Example() {
	cal, b, _ := bookings.Propose(&schema.Calendar{}, &schema.Booking{Kind: bookings.Replacement, Target: "shop/stock-b", Group: "shop/stock", Owner: "shop", ProposedBy: "bank", AtUs: at}, at-1, bookings.Fleet{})
	_, _, p := bookings.Confirm(cal, b.Id, "bank", at-1, bookings.Fleet{})
	fmt.Println(p)
	cal, b, _ = bookings.Confirm(cal, b.Id, "shop", at-1, bookings.Fleet{})
	v := bookings.View{WallUs: at, Primary: "stock-a", Target: "stock-b", Identity: "old"}
	for _, then := range []func(){func() { v.SinceUs = 1_000_000 }, func() {}, func() { v.Aside, v.Identity = true, "" }, func() { v.Identity = "new" }} {
		then()
		state, _, _ := bookings.Next(b, v)
		cal = bookings.To(cal, b.Id, state, "")
		b = bookings.Find(cal, b.Id)
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

// TestNothingGoesToThePlatformEarly: in no view does a replacement go to the
// platform before its copy was set aside, nor is a primary set aside.
func TestNothingGoesToThePlatformEarly(t *testing.T) {
	states, handed := []string{bookings.Proposed, bookings.Confirmed, bookings.Draining, bookings.Closing, bookings.Switching, bookings.Aside, bookings.Handed}, 0
	for i := range 1 << 13 {
		bit := func(n int) bool { return i>>n&1 == 1 }
		pick := func(n int, a, b int64) int64 {
			if bit(n) {
				return a
			}
			return b
		}
		b := &schema.Booking{Kind: bookings.Replacement, Target: "p/x", Group: "p/g", Owner: "p", AtUs: at, Identity: "old", State: states[i%len(states)]}
		v := bookings.View{WallUs: pick(0, at, at+20*60_000_000), SinceUs: pick(1, 400_000, 70_000_000), Primary: []string{"", "x", "y", "y"}[i>>2&3], Target: "x",
			Identity: []string{"old", "", "new", "old"}[i>>4&3], Aside: bit(6), Busy: int(pick(7, 0, 2)), Open: int(pick(8, 0, 1))}
		if bit(9) {
			v.Well = "not well"
		}
		next, _, ask := bookings.Next(b, v)
		if next == bookings.Handed {
			handed++
			if b.State != bookings.Aside || !v.Aside {
				t.Errorf("%s goes to the platform: %+v", b.State, v)
			}
		}
		if next == bookings.Aside && v.Primary == "x" {
			t.Errorf("%s: a primary is set aside: %+v", b.State, v)
		}
		if ask && b.State != bookings.Handed && b.State != bookings.Switching && b.State != bookings.Aside {
			t.Errorf("%s asks", b.State)
		}
	}
	if handed == 0 {
		t.Error("none goes to the platform")
	}
}
