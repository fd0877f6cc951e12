package virtualtime

import (
	"slices"
	"testing"
)

// TestRunOrdersEvents: events run by their due time, at the same time in the order
// in which they were scheduled, and what one schedules runs in the same Run.
func TestRunOrdersEvents(t *testing.T) {
	s := NewScheduler(1, 2)
	var ran []string
	record := func(name string) func() { return func() { ran = append(ran, name) } }
	s.After(20, record("late"))
	s.After(10, record("first"))
	s.After(10, func() {
		ran = append(ran, "second")
		s.After(-5, record("from the past"))
	})
	s.After(21, record("not due"))
	s.Run(startUs + 20)
	if want := []string{"first", "second", "from the past", "late"}; !slices.Equal(ran, want) {
		t.Errorf("ran %v, want %v", ran, want)
	}
	if s.Now != startUs+20 || s.Scheduled() != 5 {
		t.Errorf("the clock shows %d after %d events", s.Now, s.Scheduled())
	}
}

// TestDrawsReplay: the same seed and stream draw the same numbers; another stream
// does not.
func TestDrawsReplay(t *testing.T) {
	draw := func(seed, stream uint64) []int64 {
		s := NewScheduler(seed, stream)
		var drawn []int64
		for range 20 {
			drawn = append(drawn, s.Between(3, 1_000))
		}
		return drawn
	}
	if !slices.Equal(draw(1, 2), draw(1, 2)) {
		t.Error("one seed draws different numbers")
	}
	if slices.Equal(draw(1, 2), draw(1, 3)) {
		t.Error("two streams draw the same numbers")
	}
}

// TestBetweenStaysWithinItsBounds: both bounds are drawn, nothing beyond them; an
// empty interval gives its lower bound.
func TestBetweenStaysWithinItsBounds(t *testing.T) {
	s := NewScheduler(1, 2)
	drawn := map[int64]bool{}
	for range 200 {
		drawn[s.Between(5, 7)] = true
	}
	if len(drawn) != 3 || !drawn[5] || !drawn[6] || !drawn[7] {
		t.Errorf("drew %v of 5 to 7", drawn)
	}
	if v := s.Between(9, 2); v != 9 {
		t.Errorf("drew %d of an empty interval from 9", v)
	}
}
