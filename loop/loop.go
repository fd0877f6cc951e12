// Package loop runs a deterministic core on a goroutine of its own: events come
// in through a line, the clock's ticks between them.
package loop

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// mostAtOnce is how many events one step takes at the most.
const mostAtOnce = 256

// Loop is one core's goroutine.
type Loop struct {
	clock clockwork.Clock
	began time.Time
	in    chan any
}

// New makes a loop with a line of the length given. began is the start of the
// process: its loops tell each other times.
func New(clock clockwork.Clock, began time.Time, length int) *Loop {
	return &Loop{clock: clock, began: began, in: make(chan any, length)}
}

// NowUs is the process's monotonic time; it starts at a second, so that 0 can
// stand for never.
func (l *Loop) NowUs() int64 { return l.clock.Since(l.began).Microseconds() + 1_000_000 }

// Post puts an event in line; it waits while the line is full.
func (l *Loop) Post(e any) { l.in <- e }

// Offer puts an event in line unless the line is full.
func (l *Loop) Offer(e any) bool {
	select {
	case l.in <- e:
		return true
	default:
		return false
	}
}

// Run steps until the context ends.
func (l *Loop) Run(ctx context.Context, tick time.Duration, step func(now int64, evs []any)) {
	t := l.clock.NewTicker(tick)
	defer t.Stop()
	for {
		var evs []any
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		case e := <-l.in:
			evs = append(evs, e)
		}
		for more := true; more && len(evs) < mostAtOnce; {
			select {
			case e := <-l.in:
				evs = append(evs, e)
			default:
				more = false
			}
		}
		step(l.NowUs(), evs)
	}
}
