package eventloop

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// maxBatch bounds the events that are passed to one step. A larger batch saves steps under
// load, but makes the events queued behind it wait longer.
const maxBatch = 256

// initialTime is the loop's time at the start of the process. It is not 0, so that cores
// can use 0 for "never".
const initialTime = time.Second

// Loop passes queued events of type E and clock ticks to a core.
type Loop[E any] struct {
	clock     clockwork.Clock
	startedAt time.Time
	queue     chan E
}

// New returns a loop with a queue for capacity events. startedAt is the start of the
// process. All loops of a process must have the same startedAt, since they exchange times.
func New[E any](clock clockwork.Clock, startedAt time.Time, capacity int) *Loop[E] {
	return &Loop[E]{clock: clock, startedAt: startedAt, queue: make(chan E, capacity)}
}

// NowUs returns the time since the start of the process plus one second, in microseconds.
// It is monotonic.
func (l *Loop[E]) NowUs() int64 {
	return (l.clock.Since(l.startedAt) + initialTime).Microseconds()
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

// Run calls step when an event arrives and at each tick of the interval, until the context
// ends. It passes the time in microseconds (see NowUs) and the queued events, up to
// maxBatch; at a tick there may be none.
func (l *Loop[E]) Run(ctx context.Context, interval time.Duration, step func(nowUs int64, events []E)) {
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
		step(l.NowUs(), l.appendQueued(events))
	}
}

// appendQueued moves queued events to the end of events, up to maxBatch events in all.
func (l *Loop[E]) appendQueued(events []E) []E {
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
