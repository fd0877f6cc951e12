// Package statemachine holds what the deterministic cores have in common (design 2):
// a core is given the time and an event and hands back effects; it starts no
// goroutine and reads no clock, socket or random source of its own.
package statemachine

import (
	"cmp"
	"hash/fnv"
	"slices"

	"stoneford/schema"
)

// Send is an envelope bound for one neighbour.
type Send struct {
	To       string
	Envelope *schema.Envelope
}

// numberShift keeps numbers short on the wire.
const numberShift = 28

// FirstRequestNumber is where a run of a process begins to number what it asks. Replies
// name that number and no run: begun at 1 by each, a late reply to an earlier run
// would be taken for one to the same question of this run.
func FirstRequestNumber(of ...string) uint64 { return Hash(of...) >> numberShift }

// Hash is the one hash by which nodes are ranked and keys digested; it is the
// same in every process and every build.
func Hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p))
		h.Write([]byte{0})
	}
	// FNV's low bits mix poorly for short texts; finish as splitmix64 does.
	x := h.Sum64()
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Rank orders names by the hash of key and name, as every process does: the
// rendezvous of whoever knows the same names.
func Rank(key string, names []string) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(Hash(key, a), Hash(key, b)) })
	return ranked
}
