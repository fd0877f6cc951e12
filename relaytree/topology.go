package relaytree

import (
	"slices"

	"stoneford/statemachine"
)

// fanOut is the number of children of a node if all nodes are live. A larger number makes
// the tree flatter but increases the load of a relay.
const fanOut = 3

// SetLiveNodes sets the nodes that this node considers live; roots among them are
// ignored. Different nodes may use different sets.
func (r *Relay) SetLiveNodes(nodes []string) {
	live := slices.DeleteFunc(slices.Clone(nodes), func(node string) bool { return slices.Contains(r.roots, node) })
	if !r.isRoot && !slices.Contains(live, r.self) {
		live = append(live, r.self)
	}
	r.live = statemachine.Rank("relay", live)
}

// chooseParent derives the parent from this node's rank. The first len(roots)*fanOut
// nodes subscribe to the roots, and every other node to a node of a lower rank, so there
// is no cycle for any set of live nodes. An avoided parent is replaced by its own parent.
func (r *Relay) chooseParent() string {
	direct := len(r.roots) * fanOut
	rank := slices.Index(r.live, r.self)
	for rank >= direct {
		rank = (rank - direct) / fanOut
		if r.avoidedParents[r.live[rank]] == 0 {
			return r.live[rank]
		}
	}
	first := max(rank, 0)
	for i := range r.roots {
		if root := r.roots[(first+i)%len(r.roots)]; r.avoidedParents[root] == 0 {
			return root
		}
	}
	return r.roots[first%len(r.roots)]
}
