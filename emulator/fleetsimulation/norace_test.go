//go:build !race

package fleetsimulation

const slower = 1
