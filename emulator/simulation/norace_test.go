//go:build !race

package simulation_test

// seedDivisor divides the number of seeds that some tests run.
const seedDivisor = 1
