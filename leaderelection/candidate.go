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
	// LeaseDuration is how long a leader may act after the start of the last read that
	// named it. A longer lease bears slower reads; a shorter one lets another candidate
	// take over sooner.
	LeaseDuration = 2 * time.Second
	// gracePeriod is how long a new leader waits until the lease of the one before has
	// certainly ended: the same time with a tenth for clocks of different rates.
	gracePeriod = LeaseDuration * 11 / 10
	// pollInterval is how often a role's register is read. It is a fraction of the lease,
	// so that single reads may fail.
	pollInterval = 500 * time.Millisecond
	// requestTimeout bounds a read or change of the register.
	requestTimeout = 2 * time.Second
	// candidacyDelay is how long each candidate leaves a vacant role to each live one that
	// ranks before it, so that mostly one of them proposes.
	candidacyDelay = 300 * time.Millisecond
)

// Effects is what the caller has to carry out after a step.
type Effects struct {
	Changes  []paxos.Change // to propose
	Acquired []string       // roles whose leader this process became with this step
}

// Candidate is one process's part in the elections of all roles.
type Candidate struct {
	self          string
	run           uint64   // of this process; another run of it does not inherit leadership
	candidates    []string // addresses of all candidates
	newChangeID   func() string
	currentLeases func(key string, now int64) *schema.ConnectionLeases
	roles         map[string]*role // by key
	order         []string         // keys, in the order in which they were set
	draining      bool
}

// New returns a candidate without roles. run is another number for each start of the
// process; newChangeID returns a unique ID at each call. currentLeases, nil if there are
// none, returns the connection leases of a role that a draining leader passes to its
// successor.
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

// SetRoles names the register keys of all roles; what is known of others is dropped.
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

// Drain makes this process hand over its roles and take no others.
func (c *Candidate) Drain() { c.draining = true }

// IsLeader reports whether this process is a role's leader, as far as it can know.
func (c *Candidate) IsLeader(key string, now int64) bool {
	r := c.roles[key]
	return r != nil && c.leads(r) && now < r.leaseUntil && !r.resigned
}

// IsExclusive reports whether this process is a role's leader and certainly no other
// process acts as one.
func (c *Candidate) IsExclusive(key string, now int64) bool {
	if !c.IsLeader(key, now) {
		return false
	}
	r := c.roles[key]
	return r.state.HandedOver || r.state.Term == 1 || now >= r.leaderSince+gracePeriod.Microseconds()
}

// LeadingUs returns for how many microseconds this process has led a role, and its term.
// They mean nothing unless IsLeader.
func (c *Candidate) LeadingUs(key string, now int64) (durationUs int64, term uint64) {
	if r := c.roles[key]; r != nil {
		return now - r.leaderSince, r.state.Term
	}
	return 0, 0
}

// InheritedLeases returns the connection leases that the leader before passed to this
// one when it handed the role over; nil if it did not hand it over.
func (c *Candidate) InheritedLeases(key string) *schema.ConnectionLeases {
	if r := c.roles[key]; r != nil && c.leads(r) && r.state.HandedOver {
		return r.state.ConnectionLeases
	}
	return nil
}

// Leader returns the address of the last leader seen, empty for none.
func (c *Candidate) Leader(key string) string {
	if r := c.roles[key]; r != nil {
		return r.state.Leader
	}
	return ""
}

// Tick reads the registers that are due, takes vacant roles and, while draining, hands
// this process's roles over. alive says which candidates count as alive.
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
			r.requestedAt = 0 // its outcome was lost
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

// takeVacant proposes this process as the leader of a role without a live one, once it
// is this candidate's turn. It reports whether it proposed.
func (c *Candidate) takeVacant(effects *Effects, now int64, r *role, alive func(string) bool) bool {
	if !r.known || !c.isVacant(r, alive) || c.draining {
		r.vacantSince = 0
		return false
	}
	if r.vacantSince == 0 {
		r.vacantSince = now
	}
	// A successor that was named takes the role up with the number of its run. The leader
	// before it has stopped, and nobody has acted since.
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

// isVacant reports whether the leader named last is none, dead, or an earlier run of
// this process.
func (c *Candidate) isVacant(r *role, alive func(string) bool) bool {
	if r.state.Leader == "" {
		return true
	}
	return !c.leads(r) && (r.state.Leader == c.self || !alive(r.state.Leader))
}

// handOver proposes a successor for a role that this draining process leads. It reports
// whether it proposed.
func (c *Candidate) handOver(effects *Effects, now int64, r *role, alive func(string) bool) bool {
	if !c.draining || !c.leads(r) || !r.known {
		return false
	}
	successor := c.successor(r.key, alive)
	if successor == "" {
		return false
	}
	if !r.resigned {
		// A role counts as handed over only if nobody acts any more, so not while the
		// leader before this one may still act.
		r.exclusiveAtResign = c.IsExclusive(r.key, now)
		if c.currentLeases != nil && r.exclusiveAtResign {
			r.handedLeases = c.currentLeases(r.key, now)
		}
		r.resigned = true // from here on this process does not act as the leader
	}
	c.propose(effects, now, r, &schema.RoleState{
		Leader: successor, Term: r.state.Term + 1, HandedOver: r.exclusiveAtResign, ConnectionLeases: r.handedLeases,
	})
	return true
}

func (c *Candidate) propose(effects *Effects, now int64, r *role, next *schema.RoleState) {
	data, err := proto.Marshal(next)
	if err != nil {
		panic(err) // a message of strings and numbers always encodes
	}
	r.requested(now)
	r.known = false
	effects.Changes = append(effects.Changes, paxos.Change{
		ID: c.newChangeID(), Key: r.key, BaseRevision: r.revision, Data: data, Deadline: now + requestTimeout.Microseconds(),
	})
}

// HandleOutcome takes the end of a change that Tick asked for. A change of another key
// is ignored.
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
		// The register named this process at some time after the request, so the lease
		// counts from the request.
		r.leaseUntil = requestedAt + LeaseDuration.Microseconds()
	}
	return effects
}

// leads reports whether the register, as last seen, names this run of this process.
func (c *Candidate) leads(r *role) bool { return r.state.Leader == c.self && r.state.Run == c.run }

// candidatesAhead counts the live candidates that rank before this one.
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
