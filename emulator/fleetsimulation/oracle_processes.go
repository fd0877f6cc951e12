package fleetsimulation

import "stoneford/internal/invariant"

// observe records which processes have faults, and checks that acknowledged tables are in
// force on the nodes without faults.
func (o *Oracle) observe() {
	f := o.fleet
	o.observeControls()
	o.observeControlStability()
	if o.observations++; o.observations%invariantCheckInterval == 0 {
		o.collectInvariants()
	}
	for _, n := range f.nodes {
		if !n.healthy() {
			n.lastFaultUs = f.Now
		}
		n.lastFaultUs = max(n.lastFaultUs, n.startUs)
	}
	for _, v := range f.operators.acknowledged {
		o.checkInForce(v)
	}
	f.After(observeIntervalUs, o.observe)
}

// observeControls records the last time at which each control process had a fault, and the
// last time at which no majority of them was healthy.
func (o *Oracle) observeControls() {
	f := o.fleet
	healthy := 0
	for _, c := range f.controls {
		if c.healthy() && f.Now-c.startUs > contactTimeoutUs {
			healthy++
		}
		if !c.healthy() || c.startUs == f.Now {
			c.lastFaultUs = f.Now
		}
	}
	if 2*healthy <= len(f.controls) {
		o.lastNoMajorityUs = f.Now
	}
}

// controlState is the state of a control process. The control processes count as unstable
// when the state of one of them changes.
type controlState struct {
	up, frozen, draining bool
	startUs              int64
	unreachable          int // number of other control processes without a connection in both directions
}

// controlState returns the current state of a control process.
func (o *Oracle) controlState(c *Control) controlState {
	s := controlState{up: c.up, frozen: c.frozen, draining: c.draining, startUs: c.startUs}
	for _, other := range o.fleet.controls {
		if other != c && !o.fleet.network.connected(c.ip, other.ip) {
			s.unreachable++
		}
	}
	return s
}

// observeControlStability records the last time at which the control processes were unstable.
func (o *Oracle) observeControlStability() {
	f := o.fleet
	connected := 0
	for _, c := range f.controls {
		now := o.controlState(c)
		if now != c.lastState || c.slowUs > 0 || c.syncUs > 0 || f.network.lossy[c.zone] > 0 {
			o.lastControlsUnstableUs = f.Now
		}
		c.lastState = now
		if c.up && !c.frozen && 2*(len(f.controls)-now.unreachable) > len(f.controls) {
			connected++
		}
	}
	if 2*connected <= len(f.controls) {
		o.lastControlsUnstableUs = f.Now
	}
}

// controlsAreStable reports whether the control processes have been stable for
// contactTimeoutUs: the state of none of them changed, none was slow or had lossy links, and
// a majority of them ran and reached each other. A control process that has been down or
// partitioned for longer does not make them unstable.
func (o *Oracle) controlsAreStable() bool {
	return o.fleet.Now-o.lastControlsUnstableUs > contactTimeoutUs
}

// inContact reports whether rules with a time bound apply to a node.
func (o *Oracle) inContact(n *Node) bool {
	return n.up && !n.draining && o.fleet.Now-n.lastFaultUs > contactTimeoutUs && o.controlsAreStable()
}

// collectInvariants reports violations counted by the processes' own invariant checks.
func (o *Oracle) collectInvariants() {
	for _, c := range o.fleet.controls {
		if c.up {
			o.reportInvariants(c.name, c.core.Violations())
		}
	}
	for _, n := range o.fleet.nodes {
		if n.up {
			o.reportInvariants(n.name, n.core.Violations())
		}
	}
}

// reportInvariants reports each violated invariant of a process once.
func (o *Oracle) reportInvariants(processName string, counts map[string]int64) {
	for _, rule := range invariant.ViolatedRules(counts) {
		if key := processName + " " + rule; !o.reportedInvariants[key] {
			o.reportedInvariants[key] = true
			o.violation("INVARIANT: %s counted %d violations of its invariant %s", processName, counts[rule], rule)
		}
	}
}

// revisionInForce checks a revision of the table that a node has put in force.
func (o *Oracle) revisionInForce(n *Node, revision uint64) {
	v := o.fleet.operators.versions[revision]
	switch {
	case v == nil:
		o.violation("CONFIG: %s applied revision %d, which was never submitted", n.name, revision)
	case v.refusalReason != "":
		o.violation("CONFIG: %s applied revision %d, which was refused: %s", n.name, revision, v.refusalReason)
	default:
		v.inForce = true
	}
}

// checkInForce checks that an acknowledged table is in force in time on every node
// without recent faults.
func (o *Oracle) checkInForce(v *tableVersion) {
	sinceAckUs := o.fleet.Now - v.acknowledgedUs
	if sinceAckUs <= configApplyTimeoutUs || v.checked {
		return
	}
	applied := true // every node has applied the table or is reported
	for _, n := range o.fleet.nodes {
		switch {
		case !n.up || n.newestRevision >= v.revision:
		case o.inContact(n):
			o.violation("CONFIG: %s still applies revision %d, %.2f s after revision %d was acknowledged", n.name, n.newestRevision, float64(sinceAckUs)/1e6, v.revision)
			v.checked = true
		case o.mustApplyDespiteUnstableControls(n, sinceAckUs):
			o.violation("CONFIG: %s still applies revision %d, %.2f s after revision %d was acknowledged, while the control processes were unstable", n.name, n.newestRevision, float64(sinceAckUs)/1e6, v.revision)
			v.checked = true
		default:
			applied = false
		}
	}
	v.checked = v.checked || applied && sinceAckUs > 2*(configApplyTimeoutUs+sessionStretchUs)
}

// mustApplyDespiteUnstableControls reports whether a node must have applied a table although
// the control processes are unstable: the table was acknowledged more than configApplyTimeoutUs and
// sessionStretchUs ago, and since then the node had no fault and a majority of control
// processes was healthy.
func (o *Oracle) mustApplyDespiteUnstableControls(n *Node, sinceAckUs int64) bool {
	f := o.fleet
	return sinceAckUs > configApplyTimeoutUs+sessionStretchUs && f.Now-n.lastFaultUs > sinceAckUs+contactTimeoutUs && f.Now-o.lastNoMajorityUs > sinceAckUs
}
