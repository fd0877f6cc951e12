package fenced

import "time"

// Moments are microseconds of the caller's monotonic clock, as everywhere
// between the cores and their processes; 0 stands for "never".

// elapsed is the time from one moment to a later one.
func elapsed(from, to int64) time.Duration {
	return time.Duration(to-from) * time.Microsecond
}

// after is the moment that lies a duration after another.
func after(moment int64, d time.Duration) int64 {
	return moment + d.Microseconds()
}
