//go:build !race

package coordinator

const raceFactor = 1
