package leaderelection

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"stoneford/paxos"
	"stoneford/schema"
	"stoneford/statemachine"
)

const (
	// LeaseDuration is the time for which a leader may act after the start of the last
	// read that named it. A longer lease tolerates slower reads; a shorter one lets
	// another candidate take over sooner.
	LeaseDuration = 2 * time.Second
	// gracePeriod is the time that a new leader waits, so that the previous leader's lease
	// has certainly ended. It is a tenth longer than the lease because clock rates differ.
	gracePeriod = LeaseDuration * 11 / 10
	// pollInterval is the interval at which a role's register is read. It is a fraction of
	// the lease, so that single reads may fail.
	pollInterval = 500 * time.Millisecond
	// requestTimeout bounds a read or change of the register.
	requestTimeout = 2 * time.Second
	// candidacyDelay is the time that a candidate waits, before it takes a vacant role, for
	// each live candidate of a better rank. So usually only one candidate proposes.
	candidacyDelay = 300 * time.Millisecond
)

// Effects are the actions that the caller has to carry out after a step.
type Effects struct {
	Changes  []paxos.Change // changes to propose
	Acquired []string       // roles whose leader this process became in this step
}

// Candidate takes part in the elections of all roles for one process.
type Candidate struct {
	self          string
	run           uint64   // run of this process; a later run does not inherit leadership
	candidates    []string // addresses of all candidates
	newChangeID   func() string
	currentLeases func(key string, now int64) *schema.ConnectionLeases
	roles         map[string]*role // by key
	order         []string         // role keys in the order in which they were set
	draining      bool
}

// New returns a candidate without roles. run must differ for each start of the process,
// and newChangeID must return a unique ID at each call. currentLeases returns the
// connection leases of a role that a draining leader passes to its successor; it is nil if
// there are no such leases.
func New(self string, run uint64, candidates []string, newChangeID func() string, currentLeases func(key string, now int64) *schema.ConnectionLeases) *Candidate {
	return &Candidate{
		self:          self,
		run:           run,
		candidates:    candidates,
		newChangeID:   newChangeID,
		currentLeases: currentLeases,
		roles:         map[string]*role{},
	}
}

// SetRoles sets the register keys of all roles and drops the state of all other roles.
func (c *Candidate) SetRoles(keys []string) {
	for _, key := range keys {
		if c.roles[key] == nil {
			c.roles[key] = &role{key: key, state: &schema.RoleState{}}
			c.order = append(c.order, key)
		}
	}
	c.order = slices.DeleteFunc(c.order, func(key string) bool {
		if !slices.Contains(keys, key) {
			delete(c.roles, key)
			return true
		}
		return false
	})
}

// Drain makes this process hand over its roles and take no new ones.
func (c *Candidate) Drain() { c.draining = true }

// IsLeader reports whether this process is a role's leader as far as it knows.
func (c *Candidate) IsLeader(key string, now int64) bool {
	r := c.roles[key]
	return r != nil && c.leads(r) && now < r.leaseUntil && !r.resigned
}

// IsExclusive reports whether this process is a role's leader and no other process can
// still act as its leader.
func (c *Candidate) IsExclusive(key string, now int64) bool {
	if !c.IsLeader(key, now) {
		return false
	}
	r := c.roles[key]
	return r.state.HandedOver || r.state.Term == 1 || now >= r.leaderSince+gracePeriod.Microseconds()
}

// LeadingUs returns the microseconds for which this process has led a role, and the term.
// The results are valid only if IsLeader returns true.
func (c *Candidate) LeadingUs(key string, now int64) (durationUs int64, term uint64) {
	if r := c.roles[key]; r != nil {
		return now - r.leaderSince, r.state.Term
	}
	return 0, 0
}

// InheritedLeases returns the connection leases that the previous leader passed on when it
// handed the role over to this process, nil if there was no handover.
func (c *Candidate) InheritedLeases(key string) *schema.ConnectionLeases {
	if r := c.roles[key]; r != nil && c.leads(r) && r.state.HandedOver {
		return r.state.ConnectionLeases
	}
	return nil
}

// Leader returns the address of the last known leader of a role, empty for none.
func (c *Candidate) Leader(key string) string {
	if r := c.roles[key]; r != nil {
		return r.state.Leader
	}
	return ""
}

// Tick reads the registers that are due, takes vacant roles and, while draining, hands
// this process's roles over. alive reports whether a candidate counts as alive.
func (c *Candidate) Tick(now int64, alive func(address string) bool) Effects {
	var effects Effects
	for _, key := range c.order {
		c.tickRole(&effects, now, c.roles[key], alive)
	}
	return effects
}

func (c *Candidate) tickRole(effects *Effects, now int64, r *role, alive func(string) bool) {
	if r.requestedAt > 0 {
		if now-r.requestedAt > (requestTimeout + pollInterval).Microseconds() {
			r.requestedAt = 0 // the outcome of the request was lost
		}
		return
	}
	if c.takeVacant(effects, now, r, alive) || c.handOver(effects, now, r, alive) {
		return
	}
	if now >= r.nextPollAt {
		r.requested(now)
		effects.Changes = append(effects.Changes, paxos.Change{
			ID: c.newChangeID(), Key: r.key, ReadOnly: true, Deadline: now + requestTimeout.Microseconds(),
		})
	}
}

// takeVacant proposes this process as the leader of a vacant role once it is this
// candidate's turn. It reports whether it proposed a change.
func (c *Candidate) takeVacant(effects *Effects, now int64, r *role, alive func(string) bool) bool {
	if !r.known || !c.isVacant(r, alive) || c.draining {
		r.vacantSince = 0
		return false
	}
	if r.vacantSince == 0 {
		r.vacantSince = now
	}
	// A named successor takes the role by adding its run. The previous leader has stopped,
	// and no process has acted as the leader since.
	named := r.state.Leader == c.self && r.state.HandedOver && r.state.Run == 0
	if !named && now-r.vacantSince < c.candidatesAhead(r.key, alive)*candidacyDelay.Microseconds() {
		return false
	}
	next := &schema.RoleState{Leader: c.self, Run: c.run, Term: r.state.Term + 1, HandedOver: named}
	if named {
		next.ConnectionLeases = r.state.ConnectionLeases
	}
	c.propose(effects, now, r, next)
	return true
}

// isVacant reports whether the register names no leader, a dead leader, or an earlier run
// of this process.
func (c *Candidate) isVacant(r *role, alive func(string) bool) bool {
	if r.state.Leader == "" {
		return true
	}
	return !c.leads(r) && (r.state.Leader == c.self || !alive(r.state.Leader))
}

// handOver proposes a successor for a role that this draining process leads. It reports
// whether it proposed a change.
func (c *Candidate) handOver(effects *Effects, now int64, r *role, alive func(string) bool) bool {
	if !c.draining || !c.leads(r) || !r.known {
		return false
	}
	successor := c.successor(r.key, alive)
	if successor == "" {
		return false
	}
	if !r.resigned {
		// A role counts as handed over only if no process acts as its leader any more, so
		// not while the previous leader may still act.
		r.exclusiveAtResign = c.IsExclusive(r.key, now)
		if c.currentLeases != nil && r.exclusiveAtResign {
			r.handedLeases = c.currentLeases(r.key, now)
		}
		r.resigned = true // this process no longer acts as the leader
	}
	c.propose(effects, now, r, &schema.RoleState{
		Leader: successor, Term: r.state.Term + 1, HandedOver: r.exclusiveAtResign, ConnectionLeases: r.handedLeases,
	})
	return true
}

func (c *Candidate) propose(effects *Effects, now int64, r *role, next *schema.RoleState) {
	data, err := proto.Marshal(next)
	if err != nil {
		panic(err) // every field of the message can be encoded
	}
	r.requested(now)
	r.known = false
	effects.Changes = append(effects.Changes, paxos.Change{
		ID: c.newChangeID(), Key: r.key, BaseRevision: r.revision, Data: data, Deadline: now + requestTimeout.Microseconds(),
	})
}

// HandleOutcome handles the outcome of a change that Tick requested. Outcomes of changes
// of other keys are ignored.
func (c *Candidate) HandleOutcome(now int64, o paxos.Outcome) Effects {
	var effects Effects
	r := c.roles[o.Change.Key]
	if r == nil {
		return effects
	}
	requestedAt := r.requestedAt
	r.requestedAt = 0
	if o.Verdict != paxos.Committed && o.Verdict != paxos.Conflict {
		return effects
	}
	state := &schema.RoleState{}
	if err := proto.Unmarshal(o.Value.GetData(), state); err != nil {
		return effects
	}
	if o.Value.GetRevision() < r.revision {
		return effects
	}
	wasLeader := c.leads(r) && r.state.Term == state.Term
	r.state, r.revision, r.known = state, o.Value.GetRevision(), true
	if c.leads(r) && requestedAt > 0 {
		if !wasLeader {
			r.leaderSince = now
			effects.Acquired = append(effects.Acquired, r.key)
		}
		// The register named this process at some time after the request began, so the
		// lease is counted from the beginning of the request.
		r.leaseUntil = requestedAt + LeaseDuration.Microseconds()
	}
	return effects
}

// leads reports whether the last known value of the register names this run of this
// process.
func (c *Candidate) leads(r *role) bool { return r.state.Leader == c.self && r.state.Run == c.run }

// candidatesAhead returns the number of live candidates that rank before this one.
func (c *Candidate) candidatesAhead(key string, alive func(string) bool) int64 {
	n := int64(0)
	for _, candidate := range statemachine.Rank(key, c.candidates) {
		if candidate == c.self {
			break
		}
		if alive(candidate) {
			n++
		}
	}
	return n
}

// successor returns the first other live candidate by rank, empty for none.
func (c *Candidate) successor(key string, alive func(string) bool) string {
	for _, candidate := range statemachine.Rank(key, c.candidates) {
		if candidate != c.self && alive(candidate) {
			return candidate
		}
	}
	return ""
}
