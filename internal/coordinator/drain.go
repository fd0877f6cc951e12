package coordinator

import "time"

const (
	// minDrainDuration is the minimum time between the order to stop and the end of the
	// process, so that the other processes learn that it is draining.
	minDrainDuration = 400 * time.Millisecond
	// drainCheckInterval is the time between two checks whether the process may stop.
	drainCheckInterval = 100 * time.Millisecond
	// drainReserve is how long before the end of the grace period, at which it would be
	// killed, a process stops even if it could not hand over its vote.
	drainReserve = 700 * time.Millisecond
)

// drainState tracks a process's shutdown, during which it hands over its vote if another
// process can take it. The zero value means that no shutdown was requested.
type drainState struct {
	tick                   <-chan time.Time
	earliestEnd, latestEnd int64 // process's monotonic time, in microseconds
}

// beginDraining starts the shutdown and computes its earliest and latest end.
func (p *Process) beginDraining() drainState {
	now := p.nowUs()
	earliest := now + minDrainDuration.Microseconds()
	return drainState{
		tick:        time.Tick(drainCheckInterval),
		earliestEnd: earliest,
		latestEnd:   max(earliest, now+p.config.Bounds.GraceUs-drainReserve.Microseconds()),
	}
}

// finished reports whether the process may stop: its vote was handed over, no process can
// take it, or the grace period is nearly over.
func (d drainState) finished(p *Process) bool {
	if d.tick == nil {
		return false
	}
	now := p.nowUs()
	return now >= d.earliestEnd && p.core.MayStop(now) || now >= d.latestEnd
}
