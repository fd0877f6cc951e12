package simulation

import "stoneford/schema"

// life is a process's standing; gen tells one run of it from the next.
type life struct {
	up      bool
	paused  bool
	gen     int
	held    []func() // what came while it was frozen
	slowUs  int64    // a slow machine: each step takes so long
	free    int64    // when the step under way ends
	line    []func() // what came meanwhile
	due     bool
	trouble int64 // when it was last not plain
}

func (l *life) begin() {
	l.gen++
	l.up, l.paused, l.held, l.slowUs, l.free, l.line, l.due = true, false, nil, 0, 0, nil, false
}

func (l *life) resume(f *Fleet) {
	l.paused = false
	hs := l.held
	l.held = nil
	for _, h := range hs {
		f.After(0, h)
	}
}

// enter has a process do something: at once, or in one batch with all that
// came while a slow machine was at its last step.
func (f *Fleet) enter(l *life, gen int, do func()) {
	switch {
	case !l.up || l.gen != gen:
	case l.paused:
		l.held = append(l.held, func() { f.enter(l, gen, do) })
	case l.slowUs == 0 && f.Now >= l.free && len(l.line) == 0:
		do()
	default:
		l.line = append(l.line, do)
		f.schedule(l)
	}
}

func (f *Fleet) schedule(l *life) {
	if l.due {
		return
	}
	l.due = true
	at := max(l.free, f.Now)
	if l.slowUs > 0 {
		at += f.Between(l.slowUs/2, l.slowUs*3/2)
	}
	gen := l.gen
	var run func()
	run = func() {
		switch {
		case !l.up || l.gen != gen:
			return
		case l.paused:
			l.held = append(l.held, run)
			return
		}
		l.due = false
		ds := l.line
		l.line = nil
		for i, d := range ds {
			d()
			if f.Now < l.free { // it syncs
				l.line = append(append([]func(){}, ds[i+1:]...), l.line...)
				break
			}
		}
		if len(l.line) > 0 {
			f.schedule(l)
		}
	}
	f.After(at-f.Now, run)
}

// ticks has a process step now and then for as long as this run of it lives;
// one that is behind steps anyway.
func (f *Fleet) ticks(l *life, every int64, do func()) {
	gen := l.gen
	var tick func()
	tick = func() {
		if !l.up || l.gen != gen {
			return
		}
		if !l.paused && len(l.line) == 0 {
			f.enter(l, gen, do)
		}
		f.After(every, tick)
	}
	f.After(f.Between(0, every), tick)
}

// plain says that nothing ails a process now.
func (f *Fleet) plain(l *life, b *schema.Boot) bool {
	return l.up && !l.paused && l.slowUs == 0 && l.free <= f.Now && !f.Net.Ails(b.Listen)
}

// watchTrouble notes when each process was last not plain: promises of time
// hold for those that were.
func (f *Fleet) watchTrouble() {
	n := 0
	for _, c := range f.Controls {
		if f.plain(&c.life, c.boot) && c.core.Votes() {
			n++
		}
	}
	if n < 2 {
		f.fewControls = f.Now
	}
	for _, n := range f.Nodes {
		if !f.plain(&n.life, n.boot) || n.leaving {
			n.trouble = f.Now
		}
	}
	f.After(20_000, f.watchTrouble)
}
