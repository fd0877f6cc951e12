package virtualtime

import (
	"container/heap"
	"math/rand/v2"
)

// startUs is the virtual time at which a simulation starts. It is not zero because the code
// under test uses a zero time for "never".
const startUs = 1_000_000

// DefaultStream is the random stream of simulations that do not need a stream of their own.
const DefaultStream = 0x5eed

// Scheduler is a virtual clock with a queue of scheduled events.
type Scheduler struct {
	// Now is the virtual time in microseconds. Only Run moves it.
	Now int64
	// Random is the only source of randomness. Every draw advances it, so a change in the
	// order of draws changes the run of a seed.
	Random *rand.Rand

	queue    eventQueue
	sequence uint64
}

// NewScheduler returns a scheduler for a seed. Different kinds of simulations use different
// streams, so that the same seed does not give them the same random numbers.
func NewScheduler(seed, stream uint64) *Scheduler {
	return &Scheduler{Now: startUs, Random: rand.New(rand.NewPCG(seed, stream))}
}

// After schedules a function to run once, us microseconds from now. A negative delay counts
// as zero.
func (s *Scheduler) After(us int64, run func()) {
	s.sequence++
	heap.Push(&s.queue, event{atUs: s.Now + max(us, 0), sequence: s.sequence, run: run})
}

// Scheduled returns the number of events scheduled so far.
func (s *Scheduler) Scheduled() uint64 { return s.sequence }

// Between returns a random integer in [low, high], or low if high is less than low.
func (s *Scheduler) Between(low, high int64) int64 {
	return low + s.Random.Int64N(max(high-low, 0)+1)
}

// Chance returns true with the given probability. It consumes a random number even if the
// probability is zero.
func (s *Scheduler) Chance(probability float64) bool { return s.Random.Float64() < probability }

// Run runs all events that are due until untilUs, including events that these schedule, and
// then sets the clock to untilUs.
func (s *Scheduler) Run(untilUs int64) {
	for len(s.queue) > 0 && s.queue[0].atUs <= untilUs {
		next := heap.Pop(&s.queue).(event)
		s.Now = next.atUs
		next.run()
	}
	s.Now = max(s.Now, untilUs)
}
