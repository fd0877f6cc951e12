// Package eventloop runs a deterministic core on a goroutine of its own: events come
// in through a line, the clock's ticks between them.
package eventloop

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// maxBatch is how many events one step takes at the most.
const maxBatch = 256

// Loop is one core's goroutine.
type Loop struct {
	clock     clockwork.Clock
	startedAt time.Time
	queue     chan any
}

// New makes a loop with a line of the length given. began is the start of the
// process: its loops tell each other times.
func New(clock clockwork.Clock, startedAt time.Time, capacity int) *Loop {
	return &Loop{clock: clock, startedAt: startedAt, queue: make(chan any, capacity)}
}

// NowUs is the process's monotonic time; it starts at a second, so that 0 can
// stand for never.
func (l *Loop) NowUs() int64 { return l.clock.Since(l.startedAt).Microseconds() + 1_000_000 }

// Post puts an event in line; it waits while the line is full.
func (l *Loop) Post(e any) { l.queue <- e }

// TryPost puts an event in line unless the line is full.
func (l *Loop) TryPost(e any) bool {
	select {
	case l.queue <- e:
		return true
	default:
		return false
	}
}

// Run steps until the context ends.
func (l *Loop) Run(ctx context.Context, tick time.Duration, step func(now int64, events []any)) {
	t := l.clock.NewTicker(tick)
	defer t.Stop()
	for {
		var events []any
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		case e := <-l.queue:
			events = append(events, e)
		}
		for more := true; more && len(events) < maxBatch; {
			select {
			case e := <-l.queue:
				events = append(events, e)
			default:
				more = false
			}
		}
		step(l.NowUs(), events)
	}
}
