package fenced

import "time"

// Points in time are microseconds of the caller's monotonic clock, as in all cores and
// the processes that run them; 0 means "never".

// elapsed returns the duration between two points in time.
func elapsed(from, to int64) time.Duration {
	return time.Duration(to-from) * time.Microsecond
}

// after returns the point in time d after moment.
func after(moment int64, d time.Duration) int64 {
	return moment + d.Microseconds()
}
