package statemachine

import "time"

// Due reports whether periodic work is due at now and, if so, sets when it is due next.
// now and next are in microseconds of the core's clock; a next of 0 is due at once.
func Due(now int64, next *int64, interval time.Duration) bool {
	if now < *next {
		return false
	}
	*next = now + interval.Microseconds()
	return true
}
