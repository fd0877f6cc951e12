//go:build !race

package simulation_test

const slower = 1
