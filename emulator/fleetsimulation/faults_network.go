package fleetsimulation

import "slices"

// partitionMachine partitions a machine from all other hosts.
func (f *Fleet) partitionMachine() bool {
	ip := f.nodes[f.Random.IntN(len(f.nodes))].ip
	if slices.ContainsFunc(f.controls, func(c *Control) bool { return c.ip == ip }) && f.anyControl() == nil {
		return false
	}
	f.isolate(ip, f.hosts(), f.anyDirection(), f.Between(300_000, 5_000_000))
	return true
}

// partitionZone partitions one zone from the others.
func (f *Fleet) partitionZone() bool {
	if f.anyControl() == nil {
		return false
	}
	z := zoneNames[f.Random.IntN(3)]
	dir, durationUs := f.anyDirection(), f.Between(300_000, 4_000_000)
	var in, out []string
	for _, h := range f.hosts() {
		if f.network.zones[h] == z {
			in = append(in, h)
		} else {
			out = append(out, h)
		}
	}
	for _, h := range in {
		f.isolate(h, out, dir, durationUs)
	}
	return true
}

// partitionControls partitions one control process from the others, or all of them from each
// other.
func (f *Fleet) partitionControls() bool {
	if f.anyControl() == nil {
		return false
	}
	dir, durationUs := f.anyDirection(), f.Between(300_000, 4_000_000)
	if f.Chance(0.3) {
		for _, c := range f.controls {
			f.isolate(c.ip, f.controlHosts(), dir, durationUs)
		}
		return true
	}
	f.isolate(f.controls[f.Random.IntN(len(f.controls))].ip, f.controlHosts(), dir, durationUs)
	return true
}

// partitionPrimaryFromReplicas partitions a primary from some of its replicas.
func (f *Fleet) partitionPrimaryFromReplicas() bool {
	return f.partitionPrimary(func(g *group) []string {
		var hosts []string
		for _, d := range g.databases {
			if d != g.primary && f.Chance(0.7) {
				hosts = append(hosts, d.ip)
			}
		}
		return hosts
	})
}

// partitionPrimaryFromControls partitions a primary from all control processes.
func (f *Fleet) partitionPrimaryFromControls() bool {
	return f.partitionPrimary(func(*group) []string { return f.controlHosts() })
}

// partitionPrimaryFromNodes partitions a primary from some pool nodes.
func (f *Fleet) partitionPrimaryFromNodes() bool {
	return f.partitionPrimary(func(*group) []string {
		var hosts []string
		for _, n := range f.nodes {
			if f.Chance(0.5) {
				hosts = append(hosts, n.ip)
			}
		}
		return hosts
	})
}

// partitionPrimaryFromAllButOneNode leaves a primary reachable only from the host of one
// pool node.
func (f *Fleet) partitionPrimaryFromAllButOneNode() bool {
	return f.partitionPrimary(func(*group) []string {
		keep := f.nodes[f.Random.IntN(len(f.nodes))].ip
		return slices.DeleteFunc(f.hosts(), func(h string) bool { return h == keep })
	})
}

// splitNodesBetweenControlsAndPrimary partitions a primary from all control processes, and
// each pool node from either the control processes or the primary. A node without contact
// to the control processes then still reaches the primary that they replace. Nodes on the
// host of a control process always reach the control processes.
func (f *Fleet) splitNodesBetweenControlsAndPrimary() bool {
	g := f.anyGroup()
	if g == nil || f.anyControl() == nil {
		return false
	}
	durationUs := f.Between(300_000, 5_000_000)
	f.isolate(g.primary.ip, f.controlHosts(), bothDirections, durationUs)
	for i, n := range f.nodes {
		if i < 3 || f.Chance(0.5) { // the first three nodes share a host with a control process
			f.isolate(g.primary.ip, []string{n.ip}, bothDirections, durationUs)
		} else {
			f.isolate(n.ip, f.controlHosts(), bothDirections, durationUs)
		}
	}
	return true
}

// loseOnLinks makes a zone's links lose some transmissions.
func (f *Fleet) loseOnLinks() bool {
	z := zoneNames[f.Random.IntN(3)]
	f.network.lossy[z] = 0.01 + f.Random.Float64()*0.1
	f.afterRandom(1_000_000, 5_000_000, func() { delete(f.network.lossy, z) })
	return true
}

// duplicateEnvelopes delivers some envelopes late or twice.
func (f *Fleet) duplicateEnvelopes() bool {
	f.duplicateProbability = 0.1
	f.afterRandom(1_000_000, 5_000_000, func() { f.duplicateProbability = 0 })
	return true
}

// controlHosts returns the hosts of the control processes.
func (f *Fleet) controlHosts() []string {
	var hosts []string
	for _, c := range f.controls {
		hosts = append(hosts, c.ip)
	}
	return hosts
}

// hosts returns all hosts except the callers'.
func (f *Fleet) hosts() []string {
	var hosts []string
	for _, n := range f.nodes {
		hosts = append(hosts, n.ip)
	}
	for _, c := range f.controls {
		if !slices.Contains(hosts, c.ip) {
			hosts = append(hosts, c.ip)
		}
	}
	for _, g := range f.groups {
		for _, d := range g.databases {
			if !slices.Contains(hosts, d.ip) {
				hosts = append(hosts, d.ip)
			}
		}
	}
	return append(hosts, platformHost, "operators")
}

// direction selects the directions that a partition blocks.
type direction int

const (
	bothDirections direction = iota
	outgoing                 // data sent by the host
	incoming                 // data sent to the host
	directionCount
)

// anyDirection draws a direction.
func (f *Fleet) anyDirection() direction { return direction(f.Random.IntN(int(directionCount))) }

// isolate partitions a host from other hosts, in the given directions, for durationUs.
func (f *Fleet) isolate(host string, others []string, dir direction, durationUs int64) {
	others = slices.Clone(others)
	for _, o := range others {
		if dir != incoming {
			f.network.partition(host, o)
		}
		if dir != outgoing {
			f.network.partition(o, host)
		}
	}
	healCount := f.healCount
	f.After(durationUs, func() {
		if f.healCount != healCount {
			return
		}
		for _, o := range others {
			if dir != incoming {
				f.network.repair(host, o)
			}
			if dir != outgoing {
				f.network.repair(o, host)
			}
		}
	})
}

// partitionPrimary partitions the primary of a random group from some hosts.
func (f *Fleet) partitionPrimary(from func(g *group) []string) bool {
	g := f.anyGroup()
	if g == nil {
		return false
	}
	f.isolate(g.primary.ip, from(g), f.anyDirection(), f.Between(300_000, 5_000_000))
	return true
}
