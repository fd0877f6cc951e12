package fleetsimulation

import "stoneford/emulator/virtualtime"

// randomStream separates the random numbers of this simulation from those of other
// simulations with the same seed.
const randomStream = 0xf1ee7

// scheduler is the fleet's virtual clock and source of randomness.
type scheduler struct{ *virtualtime.Scheduler }

func newScheduler(seed uint64) scheduler {
	return scheduler{virtualtime.NewScheduler(seed, randomStream)}
}

// Chance returns true with the given probability. Unlike [virtualtime.Scheduler.Chance]
// it draws no random number for probability zero, so that a disabled fault does not
// change the replay of a seed.
func (s scheduler) Chance(probability float64) bool {
	return probability > 0 && s.Scheduler.Chance(probability)
}
