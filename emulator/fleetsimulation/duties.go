package fleetsimulation

import (
	"fmt"

	"stoneford/internal/coordinator"
	"stoneford/internal/learner"
)

// ownerChangeDelayUs is how long after one holder's call to the platform another's is a turn
// taken, if both were in touch.
const ownerChangeDelayUs = 5 * learner.LeaseDurationUs

// primaryRoleChecks holds what control processes ask of databases and of the platform
// against the rule that a group's duty has one holder at a time (ONE).
type primaryRoleChecks struct {
	fleet    *Fleet
	byGroup  map[string]*observedRole // by group
	Calls    int
	Commands int
	Late     int // calls that arrived late from a frozen process behind a cut: nobody can recall them
}

type observedRole struct {
	owners    map[uint64]string // run that each fence was used by
	called    uint64            // highest fence that the platform saw
	commanded uint64            // highest fence that a command left under
	last      string            // who called last
	lastAt    int64
	lastCalm  bool
}

func (d *primaryRoleChecks) seen(group string) *observedRole {
	s := d.byGroup[group]
	if s == nil {
		s = &observedRole{owners: map[uint64]string{}}
		d.byGroup[group] = s
	}
	return s
}

// tokenUsed notes that a run used a fence.
func (d *primaryRoleChecks) tokenUsed(s *observedRole, c *Control, group string, fence uint64) {
	run := fmt.Sprintf("%s, run %d", c.name, c.generation)
	if o := s.owners[fence]; o != "" && o != run {
		d.fleet.oracle.violation("ONE: two holders of %s with fence %d: %s and %s", group, fence, o, run)
	}
	s.owners[fence] = run
}

// called is called as a call arrives at the platform; until is the end of the
// lease that it left under, in true time.
func (d *primaryRoleChecks) called(c *Control, e coordinator.Promote, gen int, until int64) {
	if d.fleet.Now > until {
		d.Late++
		return
	}
	d.Calls++
	s, p := d.seen(e.Group), e.Promote
	if p.Owner != c.name {
		d.fleet.oracle.violation("ONE: %s calls the platform for %s as %s", c.name, e.Group, p.Owner)
	}
	if gen == c.generation {
		d.tokenUsed(s, c, e.Group, p.FencingToken)
	}
	if p.FencingToken < s.called {
		d.fleet.oracle.violation("ONE: %s calls the platform for %s with fence %d after %d was seen", c.name, e.Group, p.FencingToken, s.called)
	}
	calm := c.healthy() && d.fleet.Now-c.lastFaultUs > contactTimeoutUs && d.fleet.oracle.coreIsStable()
	if s.last != "" && s.last != c.name && calm && s.lastCalm && d.fleet.Now-s.lastAt < ownerChangeDelayUs {
		d.fleet.oracle.violation("ONE: %s and %s take turns at %s", s.last, c.name, e.Group)
	}
	s.called, s.last, s.lastAt, s.lastCalm = max(s.called, p.FencingToken), c.name, d.fleet.Now, calm
}

// commanded is called as a command to a database leaves.
func (d *primaryRoleChecks) commanded(c *Control, e coordinator.DatabaseCall) {
	d.Commands++
	v, _ := c.core.Learner().Committed(learner.LeaderPrefix + e.Group)
	l, s := learner.DecodeLeadership(v), d.seen(e.Group)
	if l.RoleOwner != c.name {
		d.fleet.oracle.violation("ONE: %s commands %s of %s, whose duty %q holds", c.name, e.Call.Instance.ID, e.Group, l.RoleOwner)
	}
	if l.FencingToken < s.commanded {
		d.fleet.oracle.violation("ONE: %s commands %s of %s with fence %d after a command with %d", c.name, e.Call.Instance.ID, e.Group, l.FencingToken, s.commanded)
	}
	d.tokenUsed(s, c, e.Group, l.FencingToken)
	s.commanded = max(s.commanded, l.FencingToken)
}
