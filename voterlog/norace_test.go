//go:build !race

package voterlog

const slower = 1
