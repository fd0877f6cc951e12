package statemachine

import "time"

// Due reports whether periodic work is due at time now. If it is, Due sets next to the
// time at which the work is due again. now and next are in microseconds of the core's
// clock; work with a next of 0 is due immediately.
func Due(now int64, next *int64, interval time.Duration) bool {
	if now < *next {
		return false
	}
	*next = now + interval.Microseconds()
	return true
}
