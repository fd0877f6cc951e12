package fleetsimulation

import "slices"

// Heal mends the network and brings every process back.
func (f *Fleet) Heal() {
	f.healCount++
	for _, k := range sortedPartitions(f.network.partitions) {
		for !f.network.reaches(k[0], k[1]) {
			f.network.repair(k[0], k[1])
		}
	}
	clear(f.network.lossy)
	f.duplicateProbability, f.loadFactor = 0, 1
	f.provider.rejectProbability, f.provider.lostReplyProbability, f.provider.responseUs = 0, 0, 5_000
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
			if !d.up && !d.ended {
				d.start()
			}
		}
	}
}

// fault is one kind of trouble. It ends by itself, at the latest when the fleet
// is healed.
type fault struct {
	name string
	do   func(f *Fleet) bool // false: it cannot come about now
}

// faults are all kinds. What has to be borne at once is one control process, and
// of each group one database; any number of pool nodes.
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
	{"core partitioned", (*Fleet).partitionCore},
	{"primary partitioned from followers", (*Fleet).partitionPrimaryFromFollowers},
	{"primary partitioned from the core", (*Fleet).partitionPrimaryFromCore},
	{"primary partitioned from some nodes", (*Fleet).partitionPrimaryFromNodes},
	{"primary partitioned from all but one node", (*Fleet).partitionPrimaryFromAllButOneNode},
	{"some nodes partitioned from the core, the others and the core from a primary", (*Fleet).splitNodesBetweenCoreAndPrimary},
	{"links lossy", (*Fleet).loseOnLinks},
	{"envelopes late and twice", (*Fleet).duplicateEnvelopes},
	{"primary crashes", (*Fleet).crashPrimary},
	{"primary crashes and is back at once", (*Fleet).crashPrimaryBriefly},
	{"primary crashes and is back under another name", (*Fleet).restartPrimaryUnderNewIdentity},
	{"primary gone for good", (*Fleet).losePrimary},
	{"release of the primary", (*Fleet).releasePrimary},
	{"release of all", (*Fleet).releaseAll},
	{"follower crashes", (*Fleet).crashFollower},
	{"a follower receives nothing and the primary crashes", (*Fleet).crashPrimaryBesideLaggingFollower},
	{"followers restart while the primary is lost", (*Fleet).restartFollowerDuringFailover},
	{"a control process lost while a primary is changed", (*Fleet).killControlDuringFailover},
	{"replies lost", (*Fleet).loseReplies},
	{"statements fail", (*Fleet).failStatements},
	{"burst", (*Fleet).burst},
	{"database slow", (*Fleet).slowDatabase},
	{"followers lag", (*Fleet).lagFollowers},
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

func (f *Fleet) later(lo, hi int64, do func()) { f.After(f.Between(lo, hi), do) }

func (f *Fleet) anyNode() *Node {
	n := f.nodes[f.Random.IntN(len(f.nodes))]
	if !n.up || n.frozen || n.draining || n.slowUs > 0 {
		return nil
	}
	return n
}

func (f *Fleet) restartNode(n *Node) {
	if !n.up {
		f.startNode(n)
	}
}

// anyControl is a control process that may be lost: all are well, and have been
// for a while.
func (f *Fleet) anyControl() *Control {
	for _, c := range f.controls {
		if !c.healthy() || f.Now-c.lastFaultUs < contactTimeoutUs && f.Now > 6_000_000 {
			return nil
		}
	}
	return f.controls[f.Random.IntN(len(f.controls))]
}

func (f *Fleet) restartControl(c *Control) {
	if !c.up {
		f.startControl(c)
	}
}

// anyGroup is one that may lose a database.
func (f *Fleet) anyGroup() *group {
	g := f.groups[f.Random.IntN(len(f.groups))]
	p := g.primary
	if len(g.databases) < 3 || p == nil || !p.up || p.draining {
		return nil
	}
	for _, d := range g.databases {
		if !d.up || d.receivesNothing || d.draining || d.frozenBy > 0 || d.term != p.term || d != p && (d.primary || len(p.log)-len(d.log) > 30) || f.network.faulty(d.ip) {
			return nil
		}
	}
	return g
}

func (f *Fleet) anyFollower(g *group) *Database {
	for {
		if d := g.databases[f.Random.IntN(len(g.databases))]; d != g.primary {
			return d
		}
	}
}

// injectFault has one kind of fault come about, if it can.
func (f *Fleet) injectFault(k fault) bool {
	at := len(f.Log)
	f.logf("FAULT %s", k.name)
	if !k.do(f) {
		f.Log = f.Log[:min(at, len(f.Log))]
		return false
	}
	f.faultCounts[k.name]++
	return true
}

// RandomFaults brings faults about until a time, one every mean or so. Of names
// only those are brought, if there are any.
func (f *Fleet) RandomFaults(until, mean int64, names ...string) {
	ks := faults
	if len(names) > 0 {
		ks = slices.DeleteFunc(slices.Clone(faults), func(k fault) bool { return !slices.Contains(names, k.name) })
		if len(ks) != len(names) {
			panic("no such fault")
		}
	}
	var next func()
	next = func() {
		if f.Now >= until {
			return
		}
		for range 5 {
			if f.injectFault(ks[f.Random.IntN(len(ks))]) {
				break
			}
		}
		f.later(mean/2, mean*3/2, next)
	}
	f.later(0, mean, next)
}
