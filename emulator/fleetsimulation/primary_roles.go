package fleetsimulation

import (
	"fmt"

	"stoneford/internal/coordinator"
	"stoneford/internal/learner"
)

// ownerChangeDelayUs is the minimum time between calls of two owners to the platform for
// one group. If both owners were in contact, a shorter time means that they alternate.
const ownerChangeDelayUs = 5 * learner.LeaseDurationUs

// primaryRoleChecks checks that a group's primary role has one owner at a time (rule
// ONE), from the calls of control processes to databases and to the platform.
type primaryRoleChecks struct {
	fleet     *Fleet
	byGroup   map[string]*observedRole
	Calls     int // calls to the platform
	Commands  int // commands to databases
	LateCalls int // calls that arrived after their time-out, because a partition delayed them while the sender was frozen; they cannot be recalled
}

// observedRole is the observed state of a group's primary role.
type observedRole struct {
	owners              map[uint64]string // by fencing token: the run of a control process that used it
	highestCallToken    uint64            // highest fencing token of a call to the platform
	highestCommandToken uint64            // highest fencing token of a command to a database
	lastOwner           string            // owner that sent the newest call
	lastCallUs          int64
	lastOwnerInContact  bool // that owner was in contact when it called
}

// role returns the observed state of a group's primary role.
func (d *primaryRoleChecks) role(group string) *observedRole {
	s := d.byGroup[group]
	if s == nil {
		s = &observedRole{owners: map[uint64]string{}}
		d.byGroup[group] = s
	}
	return s
}

// tokenUsed records that a run of a control process used a fencing token, and checks that
// no other run did.
func (d *primaryRoleChecks) tokenUsed(s *observedRole, c *Control, group string, token uint64) {
	run := fmt.Sprintf("%s, run %d", c.name, c.generation)
	if o := s.owners[token]; o != "" && o != run {
		d.fleet.oracle.violation("ONE: two owners of %s with fencing token %d: %s and %s", group, token, o, run)
	}
	s.owners[token] = run
}

// promotionArrived checks a call that arrives at the platform. deadlineUs is the true
// time at which the call times out, at the latest when the sender's lease ends.
func (d *primaryRoleChecks) promotionArrived(c *Control, e coordinator.Promote, generation int, deadlineUs int64) {
	if d.fleet.Now > deadlineUs {
		d.LateCalls++
		return
	}
	d.Calls++
	s, p := d.role(e.Group), e.Promote
	if p.Owner != c.name {
		d.fleet.oracle.violation("ONE: %s calls the platform for %s in the name of %s", c.name, e.Group, p.Owner)
	}
	if generation == c.generation {
		d.tokenUsed(s, c, e.Group, p.FencingToken)
	}
	if p.FencingToken < s.highestCallToken {
		d.fleet.oracle.violation("ONE: %s calls the platform for %s with fencing token %d after a call with %d", c.name, e.Group, p.FencingToken, s.highestCallToken)
	}
	inContact := c.healthy() && d.fleet.Now-c.lastFaultUs > contactTimeoutUs && d.fleet.oracle.controlsAreStable()
	if s.lastOwner != "" && s.lastOwner != c.name && inContact && s.lastOwnerInContact && d.fleet.Now-s.lastCallUs < ownerChangeDelayUs {
		d.fleet.oracle.violation("ONE: %s and %s alternate as owners of %s", s.lastOwner, c.name, e.Group)
	}
	s.highestCallToken, s.lastOwner, s.lastCallUs, s.lastOwnerInContact = max(s.highestCallToken, p.FencingToken), c.name, d.fleet.Now, inContact
}

// commandSent checks a command that is sent to a database.
func (d *primaryRoleChecks) commandSent(c *Control, e coordinator.DatabaseCall) {
	d.Commands++
	v, _ := c.core.Learner().Committed(learner.LeaderPrefix + e.Group)
	l, s := learner.DecodeLeadership(v), d.role(e.Group)
	if l.RoleOwner != c.name {
		d.fleet.oracle.violation("ONE: %s sends a command to %s of %s, but %q owns the primary role", c.name, e.Call.Instance.ID, e.Group, l.RoleOwner)
	}
	if l.FencingToken < s.highestCommandToken {
		d.fleet.oracle.violation("ONE: %s sends a command to %s of %s with fencing token %d after a command with %d", c.name, e.Call.Instance.ID, e.Group, l.FencingToken, s.highestCommandToken)
	}
	d.tokenUsed(s, c, e.Group, l.FencingToken)
	s.highestCommandToken = max(s.highestCommandToken, l.FencingToken)
}
