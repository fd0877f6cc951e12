package fleetsimulation

// process is the standing of one process and its clock; gen tells one run of it
// from the next.
type process struct {
	f         *Fleet
	name      string
	ip        string
	up        bool
	frozen    bool
	leaving   bool
	gen       int
	rate      float64 // of its clock
	began     int64   // true time its run began
	slowUs    int64   // a slow machine: what each event takes, 0 if it is not
	free      int64   // when the work under way ends
	line      []func()
	due       bool
	held      []heldEvent // what came while it was frozen
	wakeAt    int64       // true time its alarm rings, 0 if none is set
	troubleAt int64       // when it was last not plain
}

type heldEvent struct {
	src string
	do  func()
}

func (p *process) begin() {
	p.gen++
	p.up, p.frozen, p.leaving, p.slowUs, p.free, p.line, p.due, p.held, p.wakeAt = true, false, false, 0, 0, nil, false, nil, 0
	p.began = p.f.Now
}

// now is the process's own monotonic time; it starts at a second.
func (p *process) now() int64 {
	return 1_000_000 + int64(float64(p.f.Now-p.began)*p.rate)
}

// until is how long it is, truly, until the process's clock shows a time.
func (p *process) until(local int64) int64 {
	d := local - p.now()
	if d <= 0 {
		return 0
	}
	return int64(float64(d)/p.rate) + 1
}

// enter has a process take something in that came from src: at once, or after
// what came before it. What came in while it was frozen is taken in afterwards,
// in order for each source but otherwise in any.
func (p *process) enter(src string, do func()) {
	switch {
	case !p.up:
	case p.frozen:
		p.held = append(p.held, heldEvent{src, do})
	case p.slowUs == 0 && p.f.Now >= p.free && len(p.line) == 0:
		do()
	default:
		p.line = append(p.line, do)
		p.schedule()
	}
}

func (p *process) schedule() {
	if p.due {
		return
	}
	p.due = true
	at := max(p.free, p.f.Now)
	if p.slowUs > 0 {
		at += p.f.Between(p.slowUs/2, p.slowUs*3/2)
	}
	gen := p.gen
	run := func() {
		if !p.up || p.gen != gen {
			return
		}
		p.due = false
		if p.frozen {
			for _, d := range p.line {
				p.held = append(p.held, heldEvent{"line", d})
			}
			p.line = nil
			return
		}
		for len(p.line) > 0 {
			if p.f.Now < p.free {
				break
			}
			d := p.line[0]
			p.line = p.line[1:]
			d()
			if p.slowUs > 0 {
				break // one at a time
			}
		}
		if len(p.line) > 0 {
			p.schedule()
		}
	}
	p.f.After(at-p.f.Now, run)
}

// freeze stops a process; thaw lets it go on with all that came meanwhile.
func (p *process) freeze() { p.frozen = true }

func (p *process) thaw() {
	if !p.frozen {
		return
	}
	p.frozen = false
	hs := p.held
	p.held = nil
	by := map[string][]func(){}
	var srcs []string
	for _, h := range hs {
		if by[h.src] == nil {
			srcs = append(srcs, h.src)
		}
		by[h.src] = append(by[h.src], h.do)
	}
	gen := p.gen
	for len(srcs) > 0 {
		i := p.f.R.IntN(len(srcs))
		q := by[srcs[i]]
		do := q[0]
		if by[srcs[i]] = q[1:]; len(q) == 1 {
			srcs = append(srcs[:i], srcs[i+1:]...)
		}
		p.f.After(0, func() {
			if p.up && p.gen == gen {
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
	at := p.f.Now + p.until(local) + p.f.Between(0, 400)
	if p.wakeAt != 0 && p.wakeAt <= at {
		return
	}
	p.wakeAt = at
	gen := p.gen
	p.f.After(at-p.f.Now, func() {
		if !p.up || p.gen != gen || p.wakeAt != at {
			return
		}
		p.wakeAt = 0
		p.enter("alarm", ring)
	})
}

// plain says that nothing ails a process now.
func (p *process) plain() bool {
	return p.up && !p.frozen && !p.leaving && p.slowUs == 0 && !p.f.net.troubled(p.ip)
}
