package fleetsimulation

import "stoneford/emulator/virtualtime"

// randomStream makes the random numbers of this simulation others than those of
// another simulation with the same seed.
const randomStream = 0xf1ee7

// scheduler is the fleet's clock and its source of randomness.
type scheduler struct{ *virtualtime.Scheduler }

func newScheduler(seed uint64) scheduler {
	return scheduler{virtualtime.NewScheduler(seed, randomStream)}
}

// Chance draws true with a probability. Unlike that of [virtualtime.Scheduler] it
// draws nothing where the probability is zero: faults that are switched off take no
// part in what a seed replays.
func (s scheduler) Chance(probability float64) bool {
	return probability > 0 && s.Scheduler.Chance(probability)
}
