//go:build !race

package coordinator

const slower = 1
