package eventloop

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// TestNowUs: the loop's time starts at one second and follows the clock.
func TestNowUs(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := New[int](clock, clock.Now(), 1)
	if now := l.NowUs(); now != 1_000_000 {
		t.Errorf("it starts at %d", now)
	}
	clock.Advance(1500 * time.Microsecond)
	if now := l.NowUs(); now != 1_001_500 {
		t.Errorf("after 1.5 ms it is %d", now)
	}
}

// TestTryPost: a full queue takes no more events.
func TestTryPost(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := New[int](clock, clock.Now(), 1)
	if !l.TryPost(1) {
		t.Error("an empty queue takes no event")
	}
	if l.TryPost(2) {
		t.Error("a full queue takes an event")
	}
}

// TestRunBatches: events come in order, in batches of maxBatch at most; a tick comes
// without events; Run ends with its context.
func TestRunBatches(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	clock := clockwork.NewFakeClock()
	l := New[int](clock, clock.Now(), 2*maxBatch)
	for i := range maxBatch + 10 {
		l.Post(i)
	}
	batches := make(chan []int)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.Run(ctx, time.Second, func(_ int64, events []int) {
			select {
			case batches <- events:
			case <-ctx.Done():
			}
		})
	}()
	next := 0
	for _, want := range []int{maxBatch, 10} {
		batch := <-batches
		if len(batch) != want {
			t.Fatalf("a batch of %d, not %d", len(batch), want)
		}
		for _, event := range batch {
			if event != next {
				t.Fatalf("event %d comes in place of %d", event, next)
			}
			next++
		}
	}
	clock.Advance(time.Second)
	if tick := <-batches; len(tick) != 0 {
		t.Errorf("a tick with %v", tick)
	}
	stop()
	<-ended
}
