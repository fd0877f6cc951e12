package statemachine

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// requestNumberShift keeps first request numbers short as varints.
const requestNumberShift = 28

// FirstRequestNumber returns where a run of a process, named by the parts, begins to
// number its requests. Replies carry that number and no run: if each run began at 1, a
// late reply to an earlier run would pass for one to the same request of this run.
func FirstRequestNumber(parts ...string) uint64 { return Hash(parts...) >> requestNumberShift }

// Hash is the hash by which nodes are ranked and keys digested. It is the same in every
// process and every build.
func Hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, part := range parts {
		h.Write([]byte(part))
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

// Rank returns the names ordered by the hash of key and name (rendezvous hashing, Thaler
// and Ravishankar 1998): every process that knows the same names has the same order, and
// a name that comes or goes leaves the others in theirs.
func Rank(key string, names []string) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(Hash(key, a), Hash(key, b)) })
	return ranked
}
