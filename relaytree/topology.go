package relaytree

import (
	"slices"

	"stoneford/statemachine"
)

// fanOut is how many children a node has, if all are live. A larger one makes the tree
// flatter and a relay's load higher.
const fanOut = 3

// SetLiveNodes sets the nodes that this node believes to be live; roots among them are
// ignored. Nodes may believe different things.
func (r *Relay) SetLiveNodes(nodes []string) {
	live := slices.DeleteFunc(slices.Clone(nodes), func(node string) bool { return slices.Contains(r.roots, node) })
	if !r.isRoot && !slices.Contains(live, r.self) {
		live = append(live, r.self)
	}
	r.live = statemachine.Rank("relay", live)
}

// chooseParent reads the parent off this node's rank: the first len(roots)*fanOut ranks
// subscribe to the roots, every other one to a node of a lower rank, so no set of live
// nodes makes a cycle. A parent that is avoided is replaced by its own parent.
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
