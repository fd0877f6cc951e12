package fleetsimulation

import (
	"fmt"

	"stoneford/coordinator"
	"stoneford/voterview"
)

// turnUs is how long after one holder's call to the platform another's is a turn
// taken, if both were in touch.
const turnUs = 5 * voterview.LeaseUs

// duties holds what control processes ask of databases and of the platform
// against the rule that a group's duty has one holder at a time (ONE).
type duties struct {
	f        *Fleet
	of       map[string]*dutySeen // by group
	Calls    int
	Commands int
	Late     int // calls that arrived late from a frozen process behind a cut: nobody can recall them
}

type dutySeen struct {
	holders   map[uint64]string // run that each fence was used by
	called    uint64            // highest fence that the platform saw
	commanded uint64            // highest fence that a command left under
	last      string            // who called last
	lastAt    int64
	lastCalm  bool
}

func (d *duties) seen(group string) *dutySeen {
	s := d.of[group]
	if s == nil {
		s = &dutySeen{holders: map[uint64]string{}}
		d.of[group] = s
	}
	return s
}

// used notes that a run used a fence.
func (d *duties) used(s *dutySeen, c *Control, group string, fence uint64) {
	run := fmt.Sprintf("%s, run %d", c.name, c.gen)
	if o := s.holders[fence]; o != "" && o != run {
		d.f.truth.bad("ONE: two holders of %s with fence %d: %s and %s", group, fence, o, run)
	}
	s.holders[fence] = run
}

// called is called as a call arrives at the platform; until is the end of the
// lease that it left under, in true time.
func (d *duties) called(c *Control, e coordinator.Promote, gen int, until int64) {
	if d.f.Now > until {
		d.Late++
		return
	}
	d.Calls++
	s, p := d.seen(e.Group), e.Promote
	if p.Owner != c.name {
		d.f.truth.bad("ONE: %s calls the platform for %s as %s", c.name, e.Group, p.Owner)
	}
	if gen == c.gen {
		d.used(s, c, e.Group, p.Fence)
	}
	if p.Fence < s.called {
		d.f.truth.bad("ONE: %s calls the platform for %s with fence %d after %d was seen", c.name, e.Group, p.Fence, s.called)
	}
	calm := c.plain() && d.f.Now-c.troubleAt > contactUs && d.f.truth.settled()
	if s.last != "" && s.last != c.name && calm && s.lastCalm && d.f.Now-s.lastAt < turnUs {
		d.f.truth.bad("ONE: %s and %s take turns at %s", s.last, c.name, e.Group)
	}
	s.called, s.last, s.lastAt, s.lastCalm = max(s.called, p.Fence), c.name, d.f.Now, calm
}

// commanded is called as a command to a database leaves.
func (d *duties) commanded(c *Control, e coordinator.Ask) {
	d.Commands++
	v, _ := c.core.View().Agreed(voterview.LeaderPrefix + e.Group)
	l, s := voterview.Leadership(v), d.seen(e.Group)
	if l.Holder != c.name {
		d.f.truth.bad("ONE: %s commands %s of %s, whose duty %q holds", c.name, e.Ask.Instance.ID, e.Group, l.Holder)
	}
	if l.Fence < s.commanded {
		d.f.truth.bad("ONE: %s commands %s of %s with fence %d after a command with %d", c.name, e.Ask.Instance.ID, e.Group, l.Fence, s.commanded)
	}
	d.used(s, c, e.Group, l.Fence)
	s.commanded = max(s.commanded, l.Fence)
}
