package fleetsimulation

import (
	"fmt"

	"stoneford/internal/coordinator"
	"stoneford/internal/learner"
)

// ownerChangeDelayUs is within how long after one owner's call to the platform a call
// of another owner means that two take turns, if both were in contact.
const ownerChangeDelayUs = 5 * learner.LeaseDurationUs

// primaryRoleChecks checks that a group's primary role has one owner at a time (rule
// ONE), by what control processes send to databases and to the platform.
type primaryRoleChecks struct {
	fleet    *Fleet
	byGroup  map[string]*observedRole
	Calls    int // to the platform
	Commands int // to databases
	Late     int // calls that arrived late from a frozen process behind a partition: nobody can recall them
}

// observedRole is what was seen of one group's primary role.
type observedRole struct {
	owners    map[uint64]string // run that used each fencing token
	called    uint64            // highest token that the platform saw
	commanded uint64            // highest token under which a command was sent
	last      string            // owner of the newest call
	lastAt    int64
	lastCalm  bool // that owner was in contact
}

func (d *primaryRoleChecks) seen(group string) *observedRole {
	s := d.byGroup[group]
	if s == nil {
		s = &observedRole{owners: map[uint64]string{}}
		d.byGroup[group] = s
	}
	return s
}

// tokenUsed notes that a run used a fencing token, which no other run may use.
func (d *primaryRoleChecks) tokenUsed(s *observedRole, c *Control, group string, token uint64) {
	run := fmt.Sprintf("%s, run %d", c.name, c.generation)
	if o := s.owners[token]; o != "" && o != run {
		d.fleet.oracle.violation("ONE: two owners of %s with token %d: %s and %s", group, token, o, run)
	}
	s.owners[token] = run
}

// called is called as a call arrives at the platform; until is the end of the lease
// under which it was sent, in true time.
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
		d.fleet.oracle.violation("ONE: %s calls the platform for %s with token %d after %d was seen", c.name, e.Group, p.FencingToken, s.called)
	}
	calm := c.healthy() && d.fleet.Now-c.lastFaultUs > contactTimeoutUs && d.fleet.oracle.coreIsStable()
	if s.last != "" && s.last != c.name && calm && s.lastCalm && d.fleet.Now-s.lastAt < ownerChangeDelayUs {
		d.fleet.oracle.violation("ONE: %s and %s take turns at %s", s.last, c.name, e.Group)
	}
	s.called, s.last, s.lastAt, s.lastCalm = max(s.called, p.FencingToken), c.name, d.fleet.Now, calm
}

// commanded is called as a command is sent to a database.
func (d *primaryRoleChecks) commanded(c *Control, e coordinator.DatabaseCall) {
	d.Commands++
	v, _ := c.core.Learner().Committed(learner.LeaderPrefix + e.Group)
	l, s := learner.DecodeLeadership(v), d.seen(e.Group)
	if l.RoleOwner != c.name {
		d.fleet.oracle.violation("ONE: %s commands %s of %s, whose role %q owns", c.name, e.Call.Instance.ID, e.Group, l.RoleOwner)
	}
	if l.FencingToken < s.commanded {
		d.fleet.oracle.violation("ONE: %s commands %s of %s with token %d after a command with %d", c.name, e.Call.Instance.ID, e.Group, l.FencingToken, s.commanded)
	}
	d.tokenUsed(s, c, e.Group, l.FencingToken)
	s.commanded = max(s.commanded, l.FencingToken)
}
