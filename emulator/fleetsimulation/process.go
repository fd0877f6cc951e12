package fleetsimulation

// process is the standing of one process and its clock; gen tells one run of it
// from the next.
type process struct {
	fleet       *Fleet
	name        string
	ip          string
	up          bool
	frozen      bool
	draining    bool
	generation  int
	clockRate   float64 // of its clock
	startedUs   int64   // true time its run began
	slowUs      int64   // a slow machine: what each event takes, 0 if it is not
	freeAtUs    int64   // when the work under way ends
	queue       []func()
	scheduled   bool
	pending     []pendingEvent // what came while it was frozen
	wakeAtUs    int64          // true time its alarm rings, 0 if none is set
	lastFaultUs int64          // when it was last not plain
}

type pendingEvent struct {
	source string
	run    func()
}

func (p *process) begin() {
	p.generation++
	p.up, p.frozen, p.draining, p.slowUs, p.freeAtUs, p.queue, p.scheduled, p.pending, p.wakeAtUs = true, false, false, 0, 0, nil, false, nil, 0
	p.startedUs = p.fleet.Now
}

// now is the process's own monotonic time; it starts at a second.
func (p *process) now() int64 {
	return 1_000_000 + int64(float64(p.fleet.Now-p.startedUs)*p.clockRate)
}

// until is how long it is, truly, until the process's clock shows a time.
func (p *process) until(local int64) int64 {
	d := local - p.now()
	if d <= 0 {
		return 0
	}
	return int64(float64(d)/p.clockRate) + 1
}

// enter has a process take something in that came from src: at once, or after
// what came before it. What came in while it was frozen is taken in afterwards,
// in order for each source but otherwise in any.
func (p *process) enter(src string, do func()) {
	switch {
	case !p.up:
	case p.frozen:
		p.pending = append(p.pending, pendingEvent{src, do})
	case p.slowUs == 0 && p.fleet.Now >= p.freeAtUs && len(p.queue) == 0:
		do()
	default:
		p.queue = append(p.queue, do)
		p.schedule()
	}
}

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
			for _, d := range p.queue {
				p.pending = append(p.pending, pendingEvent{"line", d})
			}
			p.queue = nil
			return
		}
		for len(p.queue) > 0 {
			if p.fleet.Now < p.freeAtUs {
				break
			}
			d := p.queue[0]
			p.queue = p.queue[1:]
			d()
			if p.slowUs > 0 {
				break // one at a time
			}
		}
		if len(p.queue) > 0 {
			p.schedule()
		}
	}
	p.fleet.After(at-p.fleet.Now, run)
}

// freeze stops a process; thaw lets it go on with all that came meanwhile.
func (p *process) freeze() { p.frozen = true }

func (p *process) thaw() {
	if !p.frozen {
		return
	}
	p.frozen = false
	hs := p.pending
	p.pending = nil
	by := map[string][]func(){}
	var srcs []string
	for _, h := range hs {
		if by[h.source] == nil {
			srcs = append(srcs, h.source)
		}
		by[h.source] = append(by[h.source], h.run)
	}
	gen := p.generation
	for len(srcs) > 0 {
		i := p.fleet.Random.IntN(len(srcs))
		q := by[srcs[i]]
		do := q[0]
		if by[srcs[i]] = q[1:]; len(q) == 1 {
			srcs = append(srcs[:i], srcs[i+1:]...)
		}
		p.fleet.After(0, func() {
			if p.up && p.generation == gen {
				p.enter("thawed", do)
			}
		})
	}
}

// alarm has ring called when the process's clock shows a time, if it is not
// called earlier anyway.
func (p *process) alarm(local int64, ring func()) {
	if local >= 1<<62 {
		return
	}
	at := p.fleet.Now + p.until(local) + p.fleet.Between(0, 400)
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
		p.enter("alarm", ring)
	})
}

// healthy says that nothing ails a process now.
func (p *process) healthy() bool {
	return p.up && !p.frozen && !p.draining && p.slowUs == 0 && !p.fleet.network.faulty(p.ip)
}
