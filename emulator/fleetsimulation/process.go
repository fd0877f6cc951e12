package fleetsimulation

// process models an operating system process with a local clock. The generation
// distinguishes its runs.
type process struct {
	fleet       *Fleet
	name        string
	ip          string
	up          bool
	frozen      bool
	draining    bool
	generation  int
	clockRate   float64 // rate of its clock relative to true time
	startedUs   int64   // true time at which the run began
	slowUs      int64   // mean time that a slow machine takes for each event; 0 for a fast one
	freeAtUs    int64   // true time at which the event being handled ends
	queue       []func()
	scheduled   bool
	pending     []pendingEvent // events that arrived while the process was frozen
	wakeAtUs    int64          // true time at which the timer fires, 0 if none is set
	lastFaultUs int64          // last true time at which the process was not healthy
}

// pendingEvent is an event that waits for the process to be thawed.
type pendingEvent struct {
	source string
	run    func()
}

// startRun begins a new run of the process.
func (p *process) startRun() {
	p.generation++
	p.up, p.frozen, p.draining, p.slowUs, p.freeAtUs, p.queue, p.scheduled, p.pending, p.wakeAtUs = true, false, false, 0, 0, nil, false, nil, 0
	p.startedUs = p.fleet.Now
}

// now returns the process's monotonic time; each run starts at 1 s.
func (p *process) now() int64 {
	return 1_000_000 + int64(float64(p.fleet.Now-p.startedUs)*p.clockRate)
}

// trueTimeUntil returns the true time that passes until the process's clock shows a time.
func (p *process) trueTimeUntil(localUs int64) int64 {
	localDurationUs := localUs - p.now()
	if localDurationUs <= 0 {
		return 0
	}
	return int64(float64(localDurationUs)/p.clockRate) + 1
}

// handle runs an event of a source at once, or after the events queued before it. Events
// that arrive while the process is frozen run after it is thawed: in order for each
// source, in random order between sources.
func (p *process) handle(source string, event func()) {
	switch {
	case !p.up:
	case p.frozen:
		p.pending = append(p.pending, pendingEvent{source, event})
	case p.slowUs == 0 && p.fleet.Now >= p.freeAtUs && len(p.queue) == 0:
		event()
	default:
		p.queue = append(p.queue, event)
		p.schedule()
	}
}

// schedule arranges for the queued events to be handled.
func (p *process) schedule() {
	if p.scheduled {
		return
	}
	p.scheduled = true
	at := max(p.freeAtUs, p.fleet.Now)
	if p.slowUs > 0 {
		at += p.fleet.Between(p.slowUs/2, p.slowUs*3/2)
	}
	gen := p.generation
	run := func() {
		if !p.up || p.generation != gen {
			return
		}
		p.scheduled = false
		if p.frozen {
			for _, event := range p.queue {
				p.pending = append(p.pending, pendingEvent{"queue", event})
			}
			p.queue = nil
			return
		}
		for len(p.queue) > 0 {
			if p.fleet.Now < p.freeAtUs {
				break
			}
			event := p.queue[0]
			p.queue = p.queue[1:]
			event()
			if p.slowUs > 0 {
				break // a slow machine handles one event at a time
			}
		}
		if len(p.queue) > 0 {
			p.schedule()
		}
	}
	p.fleet.After(at-p.fleet.Now, run)
}

// freeze stops the process as SIGSTOP does. After thaw it handles all events that arrived
// meanwhile.
func (p *process) freeze() { p.frozen = true }

// thaw continues a frozen process.
func (p *process) thaw() {
	if !p.frozen {
		return
	}
	p.frozen = false
	pending := p.pending
	p.pending = nil
	bySource := map[string][]func(){}
	var sources []string
	for _, event := range pending {
		if bySource[event.source] == nil {
			sources = append(sources, event.source)
		}
		bySource[event.source] = append(bySource[event.source], event.run)
	}
	gen := p.generation
	for len(sources) > 0 {
		i := p.fleet.Random.IntN(len(sources))
		q := bySource[sources[i]]
		do := q[0]
		if bySource[sources[i]] = q[1:]; len(q) == 1 {
			sources = append(sources[:i], sources[i+1:]...)
		}
		p.fleet.After(0, func() {
			if p.up && p.generation == gen {
				p.handle("thawed", do)
			}
		})
	}
}

// setTimer calls fire when the process's clock shows a time. An earlier timer that is
// already set stays instead.
func (p *process) setTimer(localUs int64, fire func()) {
	if localUs >= 1<<62 {
		return
	}
	at := p.fleet.Now + p.trueTimeUntil(localUs) + p.fleet.Between(0, 400)
	if p.wakeAtUs != 0 && p.wakeAtUs <= at {
		return
	}
	p.wakeAtUs = at
	gen := p.generation
	p.fleet.After(at-p.fleet.Now, func() {
		if !p.up || p.generation != gen || p.wakeAtUs != at {
			return
		}
		p.wakeAtUs = 0
		p.handle("timer", fire)
	})
}

// healthy reports whether the process runs, is not stopping, and neither it nor its host
// has a fault.
func (p *process) healthy() bool {
	return p.up && !p.frozen && !p.draining && p.slowUs == 0 && !p.fleet.network.faulty(p.ip)
}
