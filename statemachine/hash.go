package statemachine

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// requestNumberShift limits first request numbers to 36 bits, so that they are short as
// varints.
const requestNumberShift = 28

// FirstRequestNumber returns the number from which a run of a process, identified by the
// parts, numbers its requests. Replies carry the request number but not the run. If every
// run began at 1, a late reply to an earlier run would be mistaken for a reply to the
// request with the same number in this run.
func FirstRequestNumber(parts ...string) uint64 { return Hash(parts...) >> requestNumberShift }

// Hash returns the hash that is used to rank nodes and to digest keys. It is the same in
// every process and every build.
func Hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, part := range parts {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	// The low bits of FNV are poorly mixed for short inputs; apply splitmix64's finalizer.
	x := h.Sum64()
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Rank returns the names sorted by the hash of key and name (rendezvous hashing, Thaler
// and Ravishankar 1998). Every process that knows the same names gets the same order, and
// adding or removing a name does not change the order of the others.
func Rank(key string, names []string) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(Hash(key, a), Hash(key, b)) })
	return ranked
}
