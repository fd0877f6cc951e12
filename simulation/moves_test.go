package simulation_test

import (
	"fmt"
	"sync"
	"testing"

	"stoneford/bookings"
	"stoneford/result"
	"stoneford/simulation"
)

// replaced books the replacement of a group's copy for now and confirms it.
func replaced(t *testing.T, f *simulation.Fleet, db, owner string) uint64 {
	a := booked(f, owner, fmt.Sprintf("book %s for replacement at %s", db, clock(f, 0)))
	if a.Code != result.OK || len(a.Bookings) != 1 {
		t.Fatalf("%s: %d %s", db, a.Code, a.Text)
	}
	if a := booked(f, owner, fmt.Sprintf("confirm booking %d", a.Bookings[0].Id)); a.Code != result.OK {
		t.Fatalf("confirming: %d %s", a.Code, a.Text)
	}
	return a.Bookings[0].Id
}

// TestReplacementBearsALoss: at each moment of a replica's booked replacement
// the other replica stands still for a while and the primary, or that replica,
// is lost for good, while the platform is slow. Nothing acknowledged goes and
// the group serves again. The plant has the platform act before it is asked.
func TestReplacementBearsALoss(t *testing.T) {
	var mu sync.Mutex
	states, red := map[string]int{}, 0
	each(48, 0, func(i uint64) {
		plant := i >= 40
		p := plan(i)
		p.With, p.Sessions = nil, 24
		if plant {
			p.Plant = simulation.PlatformUnasked
		}
		f := simulation.NewFleet(p)
		f.Quiet = true
		f.PutConfiguration(nil)
		f.Run(3_000_000)
		f.Callers()
		f.PlatformUs = 1_500_000
		id := replaced(t, f, "inventory-1-c", "pharmacies")
		f.Run(f.Now + int64(i%20)*100_000)
		victim, other := "inventory-1-a", f.DBs["inventory-1-b"]
		if i%40 >= 20 {
			victim = "inventory-1-b"
		}
		other.Deaf(true)
		f.Run(f.Now + 250_000)
		mu.Lock()
		states[bookings.Find(f.Calendar(), id).GetState()]++
		mu.Unlock()
		f.KillDB(victim)
		other.Deaf(false)
		f.Run(f.Now + 1_000_000)
		f.LoseDB(victim)
		f.Run(f.Now + 20_000_000)
		v := f.Finish()
		mu.Lock()
		defer mu.Unlock()
		if plant && len(v.Violations) > 0 {
			red++
		}
		for _, b := range v.Violations[:min(3, len(v.Violations))] {
			if !plant {
				t.Errorf("%d00 ms, %s lost: %s", i%20, victim, b)
			}
		}
		if b := bookings.Find(f.Calendar(), id); !plant && b.GetState() != bookings.Done {
			t.Errorf("%d00 ms, %s lost: the booking ends as %v", i%20, victim, b)
		}
	})
	t.Logf("states in which the loss came: %v; seen with the plant: %d of 8", states, red)
	if red == 0 {
		t.Error("a platform that acts unasked is not seen")
	}
}
