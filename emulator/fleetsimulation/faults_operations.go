package fleetsimulation

// stopNodesInTurn stops some pool nodes gracefully, one after another, and restarts them.
func (f *Fleet) stopNodesInTurn() bool {
	startUs := int64(0)
	for _, n := range f.nodes {
		if !f.Chance(0.6) {
			continue
		}
		f.After(startUs, func() {
			f.stopNode(n)
			gen := n.generation
			var restart func()
			restart = func() {
				if !n.up && n.generation == gen {
					f.restartNode(n)
				} else if n.generation == gen {
					f.After(300_000, restart)
				}
			}
			f.After(500_000, restart)
		})
		startUs += f.Between(300_000, 2_000_000)
	}
	return true
}

// stopControlsInTurn restarts control processes one after another.
func (f *Fleet) stopControlsInTurn() bool {
	if f.anyControl() == nil {
		return false
	}
	startUs := int64(0)
	for _, c := range f.controls {
		f.After(startUs, func() {
			f.stopControl(c)
			f.After(700_000, func() { f.restartControl(c) })
		})
		startUs += f.Between(2_000_000, 5_000_000)
	}
	return true
}

// changeTable makes operators change the routing table.
func (f *Fleet) changeTable() bool {
	f.operators.submitRandomChange()
	return true
}

// changeTableOften makes operators change the routing table several times in a row.
func (f *Fleet) changeTableOften() bool {
	for i := range int64(6) {
		f.After(i*300_000, f.operators.submitRandomChange)
	}
	return true
}

// slowPlatform makes the platform respond slowly.
func (f *Fleet) slowPlatform() bool {
	f.platform.responseUs = f.Between(100_000, 2_500_000)
	f.afterRandom(1_000_000, 6_000_000, func() { f.platform.responseUs = 5_000 })
	return true
}

// rejectAtPlatform makes the platform reject some calls and loses its replies to others.
func (f *Fleet) rejectAtPlatform() bool {
	f.platform.rejectProbability, f.platform.lostReplyProbability = f.Random.Float64(), f.Random.Float64()*0.5
	f.afterRandom(1_000_000, 5_000_000, func() { f.platform.rejectProbability, f.platform.lostReplyProbability = 0, 0 })
	return true
}
