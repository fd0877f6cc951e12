package fleetsimulation

import (
	"fmt"
	"slices"
)

// Heal ends all faults: it repairs the network and starts every process that is down.
func (f *Fleet) Heal() {
	f.healCount++
	for _, k := range sortedPartitions(f.network.partitions) {
		for !f.network.reaches(k[0], k[1]) {
			f.network.repair(k[0], k[1])
		}
	}
	clear(f.network.lossy)
	f.duplicateProbability, f.loadFactor = 0, 1
	f.platform.rejectProbability, f.platform.lostReplyProbability, f.platform.responseUs = 0, 0, 5_000
	for _, c := range f.controls {
		if !c.up {
			f.startControl(c)
		}
		c.thaw()
		c.slowUs, c.syncUs = 0, 0
	}
	for _, n := range f.nodes {
		if !n.up {
			f.startNode(n)
		}
		n.thaw()
		n.slowUs = 0
	}
	for _, g := range f.groups {
		for _, d := range g.databases {
			d.receivesNothing, d.lagFactor, d.lostReplyProbability, d.failureProbability, d.extraServiceUs = false, 1, 0, 0, 0
			if !d.up && !d.removed {
				d.start()
			}
		}
	}
}

// fault is a kind of fault. It ends by itself, or when the fleet is healed.
type fault struct {
	name string
	// inject injects the fault. It returns false if the fleet's current state does not
	// allow it.
	inject func(f *Fleet) bool
}

// maxReplicaLag is the maximum number of entries that a replica may be behind while a
// fault of another database of its group is injected.
const maxReplicaLag = 30

// maxInjectionAttempts bounds the number of kinds tried for one random fault.
const maxInjectionAttempts = 5

// faults lists all kinds. The fleet has to tolerate the simultaneous loss of one control
// process, of one database of each group, and of any number of pool nodes. Changing the
// order changes the replay of every seed.
var faults = []fault{
	{"node killed", (*Fleet).killRandomNode},
	{"nodes killed at once", (*Fleet).killSomeNodes},
	{"node frozen", (*Fleet).freezeRandomNode},
	{"all nodes frozen for a moment", (*Fleet).freezeAllNodes},
	{"node slow", (*Fleet).slowRandomNode},
	{"control killed", (*Fleet).killRandomControl},
	{"control's disk lost", (*Fleet).loseControlDisk},
	{"control frozen", (*Fleet).freezeRandomControl},
	{"control slow", (*Fleet).slowRandomControl},
	{"machine frozen", (*Fleet).freezeMachine},
	{"machine partitioned", (*Fleet).partitionMachine},
	{"zone partitioned", (*Fleet).partitionZone},
	{"core partitioned", (*Fleet).partitionControls},
	{"primary partitioned from followers", (*Fleet).partitionPrimaryFromReplicas},
	{"primary partitioned from the core", (*Fleet).partitionPrimaryFromControls},
	{"primary partitioned from some nodes", (*Fleet).partitionPrimaryFromNodes},
	{"primary partitioned from all but one node", (*Fleet).partitionPrimaryFromAllButOneNode},
	{"some nodes partitioned from the core, the others and the core from a primary", (*Fleet).splitNodesBetweenControlsAndPrimary},
	{"links lossy", (*Fleet).loseOnLinks},
	{"envelopes late and twice", (*Fleet).duplicateEnvelopes},
	{"primary crashes", (*Fleet).crashPrimary},
	{"primary crashes and is back at once", (*Fleet).crashPrimaryBriefly},
	{"primary crashes and is back under another name", (*Fleet).restartPrimaryUnderNewIdentity},
	{"primary gone for good", (*Fleet).losePrimary},
	{"release of the primary", (*Fleet).replacePrimary},
	{"release of all", (*Fleet).replaceAllDatabases},
	{"follower crashes", (*Fleet).crashReplica},
	{"a follower receives nothing and the primary crashes", (*Fleet).crashPrimaryBesideLaggingReplica},
	{"followers restart while the primary is lost", (*Fleet).restartReplicaDuringFailover},
	{"a control process lost while a primary is changed", (*Fleet).killControlDuringFailover},
	{"replies lost", (*Fleet).loseReplies},
	{"statements fail", (*Fleet).failStatements},
	{"burst", (*Fleet).burst},
	{"database slow", (*Fleet).slowDatabase},
	{"followers lag", (*Fleet).lagReplicas},
	{"connections reset", (*Fleet).resetConnections},
	{"nodes stopped in turn", (*Fleet).stopNodesInTurn},
	{"controls stopped in turn", (*Fleet).stopControlsInTurn},
	{"operators", (*Fleet).changeTable},
	{"operators, often", (*Fleet).changeTableOften},
	{"platform slow", (*Fleet).slowPlatform},
	{"platform rejects", (*Fleet).rejectAtPlatform},
	{"all processes killed", (*Fleet).killAllProcesses},
	{"all controls killed", (*Fleet).killAllControls},
}

// afterRandom calls run after a random time.
func (f *Fleet) afterRandom(minUs, maxUs int64, run func()) { f.After(f.Between(minUs, maxUs), run) }

// repeatRandomly calls run at a mean interval until a time, the first time after an interval.
func (f *Fleet) repeatRandomly(untilUs, meanIntervalUs int64, run func()) {
	f.afterRandom(meanIntervalUs/2, meanIntervalUs*3/2, func() {
		if f.Now >= untilUs {
			return
		}
		run()
		f.repeatRandomly(untilUs, meanIntervalUs, run)
	})
}

// anyNode draws a node and returns nil if the node drawn has a fault.
func (f *Fleet) anyNode() *Node {
	n := f.nodes[f.Random.IntN(len(f.nodes))]
	if !n.up || n.frozen || n.draining || n.slowUs > 0 {
		return nil
	}
	return n
}

// restartNode starts a node if it is down.
func (f *Fleet) restartNode(n *Node) {
	if !n.up {
		f.startNode(n)
	}
}

// anyControl draws a control process that may fail. It returns nil unless all control
// processes are healthy and, after the first 6 s, have been so for contactTimeoutUs.
func (f *Fleet) anyControl() *Control {
	for _, c := range f.controls {
		if !c.healthy() || f.Now-c.lastFaultUs < contactTimeoutUs && f.Now > 6_000_000 {
			return nil
		}
	}
	return f.controls[f.Random.IntN(len(f.controls))]
}

// restartControl starts a control process if it is down.
func (f *Fleet) restartControl(c *Control) {
	if !c.up {
		f.startControl(c)
	}
}

// anyGroup draws a group and returns nil unless the group tolerates the loss of a
// database.
func (f *Fleet) anyGroup() *group {
	g := f.groups[f.Random.IntN(len(f.groups))]
	p := g.primary
	if len(g.databases) < 3 || p == nil || !p.up || p.draining {
		return nil
	}
	for _, d := range g.databases {
		if !d.up || d.receivesNothing || d.draining || d.frozenBy > 0 || d.term != p.term || d != p && (d.primary || len(p.log)-len(d.log) > maxReplicaLag) || f.network.faulty(d.ip) {
			return nil
		}
	}
	return g
}

// anyReplica draws a replica of a group.
func (f *Fleet) anyReplica(g *group) *Database {
	for {
		if d := g.databases[f.Random.IntN(len(g.databases))]; d != g.primary {
			return d
		}
	}
}

// injectFault injects a fault and reports whether that was possible.
func (f *Fleet) injectFault(k fault) bool {
	at := len(f.Log)
	f.logf("FAULT %s", k.name)
	if !k.inject(f) {
		f.Log = f.Log[:min(at, len(f.Log))]
		return false
	}
	f.faultCounts[k.name]++
	return true
}

// RandomFaults injects faults until a time, at a mean interval in microseconds. It draws
// from the kinds named, or from all kinds if none is named.
func (f *Fleet) RandomFaults(untilUs, meanIntervalUs int64, names ...string) {
	kinds := faults
	if len(names) > 0 {
		kinds = slices.DeleteFunc(slices.Clone(faults), func(k fault) bool { return !slices.Contains(names, k.name) })
		if len(kinds) != len(names) {
			panic(fmt.Sprintf("RandomFaults: %d of the fault names %q exist", len(kinds), names))
		}
	}
	var next func()
	next = func() {
		if f.Now >= untilUs {
			return
		}
		for range maxInjectionAttempts {
			if f.injectFault(kinds[f.Random.IntN(len(kinds))]) {
				break
			}
		}
		f.afterRandom(meanIntervalUs/2, meanIntervalUs*3/2, next)
	}
	f.afterRandom(0, meanIntervalUs, next)
}
