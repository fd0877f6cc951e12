// Package leaderelection gives each one-node duty a holder (design 9). A duty is a
// register; its holder names a successor when it can, and where it can't, any
// candidate takes the duty by a ballot among the voters' majority.
//
// Holding a duty is never what makes an act safe when an agreed register can
// do it; where it is (dividing permits), Exclusive is what counts, and it rests
// on each process's own monotonic clock alone.
package leaderelection

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"stoneford/paxos"
	"stoneford/schema"
	"stoneford/statemachine"
)

const (
	pollInterval   = 500_000
	requestTimeout = 2_000_000
	// LeaseUs is how long a holder may act after the start of the last look
	// that showed it as the holder.
	LeaseUs = 2_000_000
	// gracePeriodUs is how long a new holder waits for the one before to have ended:
	// the same time with a tenth for clocks that run at different rates.
	gracePeriodUs = LeaseUs * 11 / 10
)

type role struct {
	key               string
	state             *schema.RoleState
	revision          uint64
	known             bool
	nextPollAt        int64
	requestedAt       int64 // when the question under way was put, 0 if none is
	leaseUntil        int64 // this process holds it until
	leaderSince       int64 // this process has held it since
	vacantSince       int64 // since when it has had no living holder
	resigned          bool
	exclusiveAtResign bool                     // it was surely the only holder when it left
	handedLeases      *schema.ConnectionLeases // what the successor is told
}

// leads says whether a state names this run of this process.
func (d *Candidate) leads(current *role) bool {
	return current.state.Leader == d.self && current.state.Run == d.run
}

// Effects of a step.
type Effects struct {
	Changes  []paxos.Change
	Acquired []string // duties this process now holds and did not before
}

// Candidate is one candidate's view of all duties.
type Candidate struct {
	self          string
	run           uint64
	candidates    []string
	newChangeID   func() string // makes names for changes
	currentLeases func(key string, now int64) *schema.ConnectionLeases
	roles         map[string]*role
	order         []string
	draining      bool
}

// New makes a candidate; run is another for each start of the process, name
// must give a new name each time. grants is what a holder that leaves tells its
// successor of a duty; nil where there is nothing to tell.
func New(self string, run uint64, candidates []string, name func() string, currentLeases func(key string, now int64) *schema.ConnectionLeases) *Candidate {
	return &Candidate{self: self, run: run, candidates: candidates, newChangeID: name, currentLeases: currentLeases, roles: map[string]*role{}}
}

// SetRoles names the duties there are.
func (d *Candidate) SetRoles(keys []string) {
	for _, k := range keys {
		if d.roles[k] == nil {
			d.roles[k] = &role{key: k, state: &schema.RoleState{}}
			d.order = append(d.order, k)
		}
	}
	d.order = slices.DeleteFunc(d.order, func(k string) bool {
		if !slices.Contains(keys, k) {
			delete(d.roles, k)
			return true
		}
		return false
	})
}

// Drain has this process hand its duties over.
func (d *Candidate) Drain() { d.draining = true }

// IsLeader says whether this process holds the duty, as far as it can know.
func (d *Candidate) IsLeader(k string, now int64) bool {
	current := d.roles[k]
	return current != nil && d.leads(current) && now < current.leaseUntil && !current.resigned
}

// IsExclusive says whether surely no other process acts on the duty.
func (d *Candidate) IsExclusive(k string, now int64) bool {
	current := d.roles[k]
	return d.IsLeader(k, now) && (current.state.HandedOver || current.state.Term == 1 || now >= current.leaderSince+gracePeriodUs)
}

// LeadingUs is how long this process has held the duty, and its term.
func (d *Candidate) LeadingUs(k string, now int64) (int64, uint64) {
	if current := d.roles[k]; current != nil {
		return now - current.leaderSince, current.state.Term
	}
	return 0, 0
}

// InheritedLeases is what the holder before told this one when it handed the duty over;
// nil if it did not.
func (d *Candidate) InheritedLeases(k string) *schema.ConnectionLeases {
	if current := d.roles[k]; current != nil && d.leads(current) && current.state.HandedOver {
		return current.state.ConnectionLeases
	}
	return nil
}

// Leader is the last holder seen.
func (d *Candidate) Leader(k string) string {
	if current := d.roles[k]; current != nil {
		return current.state.Leader
	}
	return ""
}

// Tick looks at the registers and takes what has no living holder. Ranked by
// the hash of duty and candidate, each waits a little longer than the one
// before it, so that mostly one of them tries.
func (d *Candidate) Tick(now int64, alive func(string) bool) Effects {
	var effects Effects
	for _, k := range d.order {
		current := d.roles[k]
		if current.requestedAt > 0 {
			if now-current.requestedAt > requestTimeout+pollInterval {
				current.requestedAt = 0
			}
			continue
		}
		if current.known && (current.state.Leader == "" || !d.leads(current) && (current.state.Leader == d.self || !alive(current.state.Leader))) && !d.draining {
			if current.vacantSince == 0 {
				current.vacantSince = now
			}
			// One that was named takes the duty up in its own run; the holder
			// before it has stopped, and nobody has acted since.
			named := current.state.Leader == d.self && current.state.HandedOver && current.state.Run == 0
			if named || now-current.vacantSince >= d.candidatesAhead(k, alive)*300_000 {
				s := &schema.RoleState{Leader: d.self, Run: d.run, Term: current.state.Term + 1, HandedOver: named}
				if named {
					s.ConnectionLeases = current.state.ConnectionLeases
				}
				d.propose(&effects, now, current, s)
				continue
			}
		} else {
			current.vacantSince = 0
		}
		if d.draining && d.leads(current) && current.known {
			if n := d.successor(k, alive); n != "" {
				if !current.resigned {
					// Handed on says that nobody acts any more: not so while the
					// holder before this one still may.
					current.exclusiveAtResign = d.IsExclusive(k, now)
					if d.currentLeases != nil && current.exclusiveAtResign {
						current.handedLeases = d.currentLeases(k, now)
					}
				}
				current.resigned = true // from here on it gives nothing any more
				d.propose(&effects, now, current, &schema.RoleState{Leader: n, Term: current.state.Term + 1, HandedOver: current.exclusiveAtResign, ConnectionLeases: current.handedLeases})
				continue
			}
		}
		if now >= current.nextPollAt {
			current.requestedAt, current.nextPollAt = now, now+pollInterval
			effects.Changes = append(effects.Changes, paxos.Change{ID: d.newChangeID(), Key: k, ReadOnly: true, Deadline: now + requestTimeout})
		}
	}
	return effects
}

func (d *Candidate) propose(effects *Effects, now int64, current *role, s *schema.RoleState) {
	b, err := proto.Marshal(s)
	if err != nil {
		panic(err)
	}
	current.requestedAt, current.nextPollAt, current.known = now, now+pollInterval, false
	effects.Changes = append(effects.Changes, paxos.Change{ID: d.newChangeID(), Key: current.key, BaseRevision: current.revision, Data: b, Deadline: now + requestTimeout})
}

// HandleOutcome takes the end of a change of this package.
func (d *Candidate) HandleOutcome(now int64, o paxos.Outcome) Effects {
	var effects Effects
	current := d.roles[o.Change.Key]
	if current == nil {
		return effects
	}
	requestedAt := current.requestedAt
	current.requestedAt = 0
	if o.Verdict != paxos.Committed && o.Verdict != paxos.Conflict {
		return effects
	}
	s := &schema.RoleState{}
	if err := proto.Unmarshal(o.Value.GetData(), s); err != nil {
		return effects
	}
	if o.Value.GetRevision() < current.revision {
		return effects
	}
	wasLeader := d.leads(current) && current.state.Term == s.Term
	current.state, current.revision, current.known = s, o.Value.GetRevision(), true
	if d.leads(current) && requestedAt > 0 {
		if !wasLeader {
			current.leaderSince = now
			effects.Acquired = append(effects.Acquired, current.key)
		}
		current.leaseUntil = requestedAt + LeaseUs
	}
	return effects
}

// candidatesAhead counts the living candidates ahead of this one.
func (d *Candidate) candidatesAhead(k string, alive func(string) bool) int64 {
	n := int64(0)
	for _, c := range statemachine.Rank(k, d.candidates) {
		if c == d.self {
			break
		}
		if alive(c) {
			n++
		}
	}
	return n
}

func (d *Candidate) successor(k string, alive func(string) bool) string {
	for _, c := range statemachine.Rank(k, d.candidates) {
		if c != d.self && alive(c) {
			return c
		}
	}
	return ""
}
