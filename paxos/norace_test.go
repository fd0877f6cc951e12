//go:build !race

package paxos_test

const slower = 1
