package eventloop

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// maxBatch is how many events one step takes at most. A larger batch saves steps under
// load; it makes the events behind it wait longer.
const maxBatch = 256

// startTime is the loop's time at the start of the process, so that 0 can stand for never.
const startTime = time.Second

// Loop is one core's goroutine and its queue of events of type E.
type Loop[E any] struct {
	clock     clockwork.Clock
	startedAt time.Time
	queue     chan E
}

// New returns a loop whose queue holds capacity events. startedAt is the start of the
// process, the same for all its loops: they exchange times.
func New[E any](clock clockwork.Clock, startedAt time.Time, capacity int) *Loop[E] {
	return &Loop[E]{clock: clock, startedAt: startedAt, queue: make(chan E, capacity)}
}

// NowUs returns the process's monotonic time in microseconds. It starts at one second.
func (l *Loop[E]) NowUs() int64 {
	return (l.clock.Since(l.startedAt) + startTime).Microseconds()
}

// Post queues an event; it blocks while the queue is full.
func (l *Loop[E]) Post(event E) { l.queue <- event }

// TryPost queues an event unless the queue is full, and reports whether it did.
func (l *Loop[E]) TryPost(event E) bool {
	select {
	case l.queue <- event:
		return true
	default:
		return false
	}
}

// Run calls step until the context ends, when an event arrives and at each tick of the
// interval, with the time and the events that are queued by then; there may be none.
func (l *Loop[E]) Run(ctx context.Context, interval time.Duration, step func(now int64, events []E)) {
	ticker := l.clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		var events []E
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case event := <-l.queue:
			events = append(events, event)
		}
		step(l.NowUs(), l.takeQueued(events))
	}
}

// takeQueued appends what is queued now, up to maxBatch events in all.
func (l *Loop[E]) takeQueued(events []E) []E {
	for len(events) < maxBatch {
		select {
		case event := <-l.queue:
			events = append(events, event)
		default:
			return events
		}
	}
	return events
}
