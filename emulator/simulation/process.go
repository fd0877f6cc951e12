package simulation

import "stoneford/schema"

// processState is a process's standing; gen tells one run of it from the next.
type processState struct {
	up          bool
	frozen      bool
	generation  int
	pending     []func() // what came while it was frozen
	slowUs      int64    // a slow machine: each step takes so long
	freeAtUs    int64    // when the step under way ends
	queue       []func() // what came meanwhile
	scheduled   bool
	lastFaultUs int64 // when it was last not plain
}

func (l *processState) begin() {
	l.generation++
	l.up, l.frozen, l.pending, l.slowUs, l.freeAtUs, l.queue, l.scheduled = true, false, nil, 0, 0, nil, false
}

func (l *processState) resume(f *Fleet) {
	l.frozen = false
	hs := l.pending
	l.pending = nil
	for _, h := range hs {
		f.After(0, h)
	}
}

// enter has a process do something: at once, or in one batch with all that
// came while a slow machine was at its last step.
func (f *Fleet) enter(l *processState, gen int, do func()) {
	switch {
	case !l.up || l.generation != gen:
	case l.frozen:
		l.pending = append(l.pending, func() { f.enter(l, gen, do) })
	case l.slowUs == 0 && f.Now >= l.freeAtUs && len(l.queue) == 0:
		do()
	default:
		l.queue = append(l.queue, do)
		f.schedule(l)
	}
}

func (f *Fleet) schedule(l *processState) {
	if l.scheduled {
		return
	}
	l.scheduled = true
	at := max(l.freeAtUs, f.Now)
	if l.slowUs > 0 {
		at += f.Between(l.slowUs/2, l.slowUs*3/2)
	}
	gen := l.generation
	var run func()
	run = func() {
		switch {
		case !l.up || l.generation != gen:
			return
		case l.frozen:
			l.pending = append(l.pending, run)
			return
		}
		l.scheduled = false
		ds := l.queue
		l.queue = nil
		for i, d := range ds {
			d()
			if f.Now < l.freeAtUs { // it syncs
				l.queue = append(append([]func(){}, ds[i+1:]...), l.queue...)
				break
			}
		}
		if len(l.queue) > 0 {
			f.schedule(l)
		}
	}
	f.After(at-f.Now, run)
}

// ticks has a process step now and then for as long as this run of it lives;
// one that is behind steps anyway.
func (f *Fleet) ticks(l *processState, every int64, do func()) {
	gen := l.generation
	var tick func()
	tick = func() {
		if !l.up || l.generation != gen {
			return
		}
		if !l.frozen && len(l.queue) == 0 {
			f.enter(l, gen, do)
		}
		f.After(every, tick)
	}
	f.After(f.Between(0, every), tick)
}

// healthy says that nothing ails a process now.
func (f *Fleet) healthy(l *processState, b *schema.Boot) bool {
	return l.up && !l.frozen && l.slowUs == 0 && l.freeAtUs <= f.Now && !f.Network.Faulty(b.Listen)
}

// watchFaults notes when each process was last not plain: promises of time
// hold for those that were.
func (f *Fleet) watchFaults() {
	n := 0
	for _, c := range f.Controls {
		if f.healthy(&c.processState, c.boot) && c.core.Voting() {
			n++
		}
	}
	if n < 2 {
		f.noMajorityUs = f.Now
	}
	for _, n := range f.Nodes {
		if !f.healthy(&n.processState, n.boot) || n.draining {
			n.lastFaultUs = f.Now
		}
	}
	f.After(20_000, f.watchFaults)
}
