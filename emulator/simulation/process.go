package simulation

import "stoneford/schema"

// processState is the state of a simulated process. The generation changes at each start,
// so that events for an earlier run can be discarded.
type processState struct {
	up          bool
	frozen      bool
	generation  int
	pending     []func() // events that arrived while the process was frozen
	slowUs      int64    // mean delay of each step on a slow machine, 0 for none
	busyUntilUs int64    // end of the current step
	queue       []func() // events that wait until the process is no longer busy
	scheduled   bool     // a run of the queued events is scheduled
	lastFaultUs int64    // last time at which the process was not healthy
}

// begin starts a new run of the process.
func (p *processState) begin() {
	p.generation++
	p.up, p.frozen, p.pending, p.slowUs, p.busyUntilUs, p.queue, p.scheduled = true, false, nil, 0, 0, nil, false
}

// resume unfreezes the process and delivers the events that arrived meanwhile.
func (p *processState) resume(f *Fleet) {
	p.frozen = false
	pending := p.pending
	p.pending = nil
	for _, deliver := range pending {
		f.After(0, deliver)
	}
}

// dispatch delivers an event to a run of a process. A process that is neither slow nor busy
// handles the event at once. Otherwise events are queued and handled in one batch. A frozen
// process handles events after it resumes.
func (f *Fleet) dispatch(p *processState, generation int, event func()) {
	switch {
	case !p.up || p.generation != generation:
	case p.frozen:
		p.pending = append(p.pending, func() { f.dispatch(p, generation, event) })
	case p.slowUs == 0 && f.Now >= p.busyUntilUs && len(p.queue) == 0:
		event()
	default:
		p.queue = append(p.queue, event)
		f.scheduleQueue(p)
	}
}

// scheduleQueue schedules a run of the queued events for when the process is no longer
// busy.
func (f *Fleet) scheduleQueue(p *processState) {
	if p.scheduled {
		return
	}
	p.scheduled = true
	at := max(p.busyUntilUs, f.Now)
	if p.slowUs > 0 {
		at += f.Between(p.slowUs/2, p.slowUs*3/2)
	}
	generation := p.generation
	var run func()
	run = func() {
		switch {
		case !p.up || p.generation != generation:
			return
		case p.frozen:
			p.pending = append(p.pending, run)
			return
		}
		p.scheduled = false
		queue := p.queue
		p.queue = nil
		for i, handle := range queue {
			handle()
			if f.Now < p.busyUntilUs { // the step syncs the disk; the remaining events wait for its end
				p.queue = append(append([]func(){}, queue[i+1:]...), p.queue...)
				break
			}
		}
		if len(p.queue) > 0 {
			f.scheduleQueue(p)
		}
	}
	f.After(at-f.Now, run)
}

// startTicks calls step at an interval until this run of the process ends. It skips ticks
// while events are queued, because the process then steps anyway.
func (f *Fleet) startTicks(p *processState, everyUs int64, step func()) {
	generation := p.generation
	var tick func()
	tick = func() {
		if !p.up || p.generation != generation {
			return
		}
		if !p.frozen && len(p.queue) == 0 {
			f.dispatch(p, generation, step)
		}
		f.After(everyUs, tick)
	}
	f.After(f.Between(0, everyUs), tick)
}

// healthy reports whether a process is up and not affected by a fault.
func (f *Fleet) healthy(p *processState, b *schema.Boot) bool {
	return p.up && !p.frozen && p.slowUs == 0 && p.busyUntilUs <= f.Now && !f.Network.Faulty(b.Listen)
}

// trackFaults records the last time at which each node was affected by a fault, and the last
// time at which no majority of the control processes was healthy. Time limits are only
// checked where no fault occurred in the meantime.
func (f *Fleet) trackFaults() {
	n := 0
	for _, c := range f.Controls {
		if f.healthy(&c.processState, c.boot) && c.core.Voting() {
			n++
		}
	}
	if n < 2 {
		f.lastNoMajorityUs = f.Now
	}
	for _, n := range f.Nodes {
		if !f.healthy(&n.processState, n.boot) || n.draining {
			n.lastFaultUs = f.Now
		}
	}
	f.After(20_000, f.trackFaults)
}
