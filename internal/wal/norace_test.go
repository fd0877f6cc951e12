//go:build !race

package wal

const slower = 1
