package fleetsimulation

import "slices"

// pickNode chooses a node for a new connection as the platform's load balancer does: a
// ready node in the caller's zone. If fewer than half of that zone's nodes are ready, all
// of them are candidates, and if none is ready, also the ready nodes of other zones. It
// avoids nodes that were tried before.
func (f *Fleet) pickNode(zone string, tried []*Node) *Node {
	in := func(z string) (ready, all []*Node) {
		for _, n := range f.nodes {
			if n.zone == z {
				all = append(all, n)
				if n.ready {
					ready = append(ready, n)
				}
			}
		}
		return
	}
	ready, all := in(zone)
	candidates := ready
	if len(ready)*2 < len(all) {
		candidates = all
	}
	if len(ready) == 0 {
		for _, z := range zoneNames {
			if r, _ := in(z); z != zone {
				candidates = append(candidates, r...)
			}
		}
	}
	untried := slices.DeleteFunc(slices.Clone(candidates), func(n *Node) bool { return slices.Contains(tried, n) })
	if len(untried) > 0 {
		candidates = untried
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[f.Random.IntN(len(candidates))]
}

// probe runs the platform's health checks every second. A node is not ready after two
// consecutive failed checks.
func (f *Fleet) probe() {
	for _, n := range f.nodes {
		if n.up && !n.frozen && n.core.Ready(n.now()) {
			n.ready, n.missedChecks = true, 0
		} else if n.missedChecks++; n.missedChecks >= 2 {
			n.ready = false
		}
	}
	f.After(1_000_000, f.probe)
}
