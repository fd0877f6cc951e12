package control

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"stoneford/maintenance"
	"stoneford/paxos"
	"stoneford/relaytree"
	"stoneford/result"
	"stoneford/schema"
)

// Register keys. They are stored in the voters' logs and must never change.
const (
	// ConfigurationKeyPrefix followed by a partner's name is the key of its
	// configuration.
	ConfigurationKeyPrefix = "config/"
	// GroupKeyPrefix followed by PARTNER/GROUP is the key of a group's state.
	GroupKeyPrefix = "group/"
	// MaintenanceKey is the key of the maintenance calendar, which all partners share.
	MaintenanceKey = "bookings"
	// roleKeyPrefix followed by the name of a singleton role is the key of its
	// leadership.
	roleKeyPrefix = "duty/"
)

const (
	// candidateTimeout is the maximum age of the last join request of a voter that is
	// admitted. A longer one could admit a process that has already gone again.
	candidateTimeout = time.Second
	// changeTimeout bounds an attempt to change or read a register. Callers wait for it;
	// a change that times out is uncertain.
	changeTimeout = 4 * time.Second
	// catchUpInterval is the time between two reads of a register whose newest accepted
	// value is not known to be committed.
	catchUpInterval = 400 * time.Millisecond
)

// outcomeFunc is called when a change or read has ended.
type outcomeFunc func(now int64, outcome paxos.Outcome)

// proposals holds the changes and reads under way.
type proposals struct {
	idPrefix string
	lastID   uint64
	pending  map[string]outcomeFunc // by change ID
	// readAt holds the time of the next read of each register for which this voter
	// accepted a value that is not known to be committed.
	readAt map[string]int64
}

func newProposals(self string, run uint64) proposals {
	return proposals{idPrefix: fmt.Sprintf("%s#%d#", self, run), pending: map[string]outcomeFunc{}, readAt: map[string]int64{}}
}

// newID returns an ID that is unique among all processes and their runs.
func (p *proposals) newID() string {
	p.lastID++
	return fmt.Sprintf("%s%d", p.idPrefix, p.lastID)
}

// propose starts a change. done is called when it has ended.
func (c *Core) propose(now int64, change paxos.Change, done outcomeFunc) {
	c.proposals.pending[change.ID] = done
	c.applyProposerEffects(now, c.proposer.Propose(now, change))
}

// proposeValue starts a change of a register from the base revision to the next.
func (c *Core) proposeValue(now int64, key string, base uint64, data []byte, done outcomeFunc) {
	c.propose(now, paxos.Change{ID: c.proposals.newID(), Key: key, BaseRevision: base, Data: data, Deadline: now + changeTimeout.Microseconds()}, done)
}

// readRegister reads a register through a majority of the voters.
func (c *Core) readRegister(now int64, key string, done outcomeFunc) {
	c.propose(now, paxos.Change{ID: c.proposals.newID(), Key: key, ReadOnly: true, Deadline: now + changeTimeout.Microseconds()}, done)
}

// verdictCode returns the result code for the verdict on a change or read.
func verdictCode(v paxos.Verdict, change bool) result.Code {
	switch {
	case v == paxos.Committed:
		return result.OK
	case v == paxos.Conflict:
		return result.RevisionConflict
	case v == paxos.Uncertain && change:
		return result.ChangeUncertain
	}
	return result.NoVoterMajority
}

func valueData(v *schema.Value) json.RawMessage {
	if v == nil {
		return nil
	}
	return v.Data
}

func (c *Core) applyAcceptorEffects(now int64, effects paxos.Effects) {
	c.proposer.SetMembership(now, c.voter.Membership())
	c.effects.Log = append(c.effects.Log, effects.Log...)
	c.send(effects.Send...)
}

func (c *Core) applyProposerEffects(now int64, effects paxos.ProposerEffects) {
	c.send(effects.Send...)
	for _, outcome := range effects.Outcomes {
		if outcome.Change.Key == paxos.MembershipKey {
			c.adoptMembership(now, outcome)
			continue
		}
		if outcome.Verdict == paxos.Committed || outcome.Verdict == paxos.Conflict {
			c.publishCommitted(now, outcome.Change.Key, outcome.Value)
		}
		if done := c.proposals.pending[outcome.Change.ID]; done != nil {
			delete(c.proposals.pending, outcome.Change.ID)
			done(now, outcome)
		}
	}
}

// adoptMembership handles the outcome of a membership change. It passes the membership to
// the voter if the outcome shows that the membership was chosen.
func (c *Core) adoptMembership(now int64, outcome paxos.Outcome) {
	c.reconfigurer.ChangeEnded()
	if m, ok := paxos.ChosenMembership(outcome); ok {
		c.applyAcceptorEffects(now, c.voter.AdoptMembership(m))
	}
}

// tickVoter runs the voter's periodic work and proposes a membership change if one is
// due.
func (c *Core) tickVoter(now int64) {
	c.applyAcceptorEffects(now, c.voter.Tick(now))
	c.reconfigure(now)
	if c.voter.IsVoter() && !c.voting {
		c.voting = true
		c.logf(result.VoterStarted, "%s", c.self)
	}
}

// reconfigure proposes a membership in which a voter that lost its disk votes again with
// a new disk. The set of voter processes itself is fixed by the configuration file.
func (c *Core) reconfigure(now int64) {
	input := paxos.PlanningInput{Unavailable: map[string]bool{}, Candidates: c.voter.Candidates(now, candidateTimeout.Microseconds())}
	for _, address := range c.voter.Membership().Addresses() {
		input.Unavailable[address] = address != c.self && c.unresponsive[address]
	}
	if change, ok := c.reconfigurer.Step(now, c.voter, input); ok {
		c.applyProposerEffects(now, c.proposer.Propose(now, change))
	}
}

// publishCommitted passes a committed value to the relay tree, which distributes it to
// all processes. Leaderships are not distributed beyond the voters.
func (c *Core) publishCommitted(now int64, key string, v *schema.Value) {
	if v.GetRevision() > 0 && !strings.HasPrefix(key, roleKeyPrefix) {
		c.applyRelayEffects(c.relay.Learn(now, []*schema.Register{{Key: key, Value: v}}, 0, c.self))
	}
}

func (c *Core) applyRelayEffects(effects relaytree.Effects) {
	c.send(effects.Send...)
	for _, register := range effects.Updated {
		if register.Key == MaintenanceKey {
			c.maintenance.calendar = maintenance.Decode(register.Value.Data)
		}
		if partner, ok := strings.CutPrefix(register.Key, ConfigurationKeyPrefix); ok {
			c.applyConfiguration(partner, register)
		}
	}
}

// catchUp reads the registers for which this voter accepted a value that is not known to
// be committed: the proposer may have failed before it sent the update. The first read is
// delayed by catchUpInterval, since the update is usually on its way.
func (c *Core) catchUp(now int64) {
	if !c.voting {
		return
	}
	accepted := c.voter.AcceptedValues()
	for _, key := range slices.Sorted(maps.Keys(accepted)) {
		readAt := c.proposals.readAt[key]
		if strings.HasPrefix(key, roleKeyPrefix) || accepted[key].Revision <= c.relay.Value(key).GetRevision() || now < readAt {
			continue
		}
		c.proposals.readAt[key] = now + catchUpInterval.Microseconds()
		if readAt != 0 {
			c.readRegister(now, key, func(int64, paxos.Outcome) { delete(c.proposals.readAt, key) })
		}
	}
}
