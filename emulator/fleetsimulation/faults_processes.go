package fleetsimulation

// killRandomNode kills a pool node and restarts it later.
func (f *Fleet) killRandomNode() bool {
	n := f.anyNode()
	if n == nil {
		return false
	}
	f.killNode(n, f.Chance(0.4))
	f.afterRandom(300_000, 4_000_000, func() { f.restartNode(n) })
	return true
}

// killSomeNodes kills some pool nodes at the same time.
func (f *Fleet) killSomeNodes() bool {
	for _, n := range f.nodes {
		if n.up && f.Chance(0.4) {
			f.killNode(n, f.Chance(0.2))
			f.afterRandom(300_000, 2_000_000, func() { f.restartNode(n) })
		}
	}
	return true
}

// freezeRandomNode freezes a pool node's process for a while.
func (f *Fleet) freezeRandomNode() bool {
	n := f.anyNode()
	if n == nil {
		return false
	}
	n.freeze()
	f.afterRandom(300_000, 5_000_000, n.thaw)
	return true
}

// freezeAllNodes freezes every pool node, each for a different duration.
func (f *Fleet) freezeAllNodes() bool {
	for _, n := range f.nodes {
		if n.up {
			n.freeze()
			f.afterRandom(200_000, 1_800_000, n.thaw)
		}
	}
	return true
}

// slowRandomNode makes a pool node take longer for each event.
func (f *Fleet) slowRandomNode() bool {
	n := f.anyNode()
	if n == nil {
		return false
	}
	n.slowUs = f.Between(200, 4_000)
	f.afterRandom(1_000_000, 6_000_000, func() { n.slowUs = 0 })
	return true
}

// killRandomControl kills a control process and later restarts it with its synced log.
func (f *Fleet) killRandomControl() bool {
	c := f.anyControl()
	if c == nil {
		return false
	}
	f.killControl(c, f.Chance(0.5))
	f.afterRandom(300_000, 5_000_000, func() { f.restartControl(c) })
	return true
}

// loseControlDisk kills a control process and restarts it with an empty disk later.
func (f *Fleet) loseControlDisk() bool {
	c := f.anyControl()
	if c == nil {
		return false
	}
	f.killControl(c, true)
	c.disk = nil
	f.afterRandom(300_000, 4_000_000, func() { f.restartControl(c) })
	return true
}

// freezeRandomControl freezes a control process for a while.
func (f *Fleet) freezeRandomControl() bool {
	c := f.anyControl()
	if c == nil {
		return false
	}
	c.freeze()
	f.afterRandom(300_000, 5_000_000, c.thaw)
	return true
}

// slowRandomControl makes a control process and its disk slow.
func (f *Fleet) slowRandomControl() bool {
	c := f.anyControl()
	if c == nil {
		return false
	}
	c.slowUs, c.syncUs = f.Between(0, 8_000), f.Between(0, 300_000)
	f.afterRandom(1_000_000, 5_000_000, func() { c.slowUs, c.syncUs = 0, 0 })
	return true
}

// freezeMachine freezes a control process and the pool node on its machine.
func (f *Fleet) freezeMachine() bool {
	c := f.anyControl()
	if c == nil {
		return false
	}
	durationUs := f.Between(300_000, 5_000_000)
	c.freeze()
	f.After(durationUs, c.thaw)
	for _, n := range f.nodes {
		if n.ip == c.ip && n.up {
			n.freeze()
			f.After(durationUs, n.thaw)
		}
	}
	return true
}

// killAllProcesses kills every control process and every pool node at the same time, at
// most once in a run.
func (f *Fleet) killAllProcesses() bool {
	if f.anyControl() == nil || f.faultCounts["all processes killed"] > 0 {
		return false
	}
	unresponsive := f.Chance(0.5)
	for _, c := range f.controls {
		f.killControl(c, unresponsive)
		f.afterRandom(500_000, 1_500_000, func() { f.restartControl(c) })
	}
	for _, n := range f.nodes {
		f.killNode(n, unresponsive)
		f.afterRandom(500_000, 1_500_000, func() { f.restartNode(n) })
	}
	return true
}

// killAllControls kills every control process at the same time.
func (f *Fleet) killAllControls() bool {
	if f.anyControl() == nil {
		return false
	}
	for _, c := range f.controls {
		f.killControl(c, f.Chance(0.5))
		f.afterRandom(300_000, 2_000_000, func() { f.restartControl(c) })
	}
	return true
}
