package coordinator

import (
	"fmt"

	"stoneford/paxos"
)

// outcomeFunc is called with the outcome of a proposal or read once it is known.
type outcomeFunc func(now int64, outcome paxos.Outcome)

// proposals holds the pending changes and reads of registers of this process's proposer.
type proposals struct {
	idPrefix string // unique to this run of the process
	count    uint64
	pending  map[string]outcomeFunc // by ID of the change
}

func newProposals(self string, run uint64) proposals {
	return proposals{idPrefix: fmt.Sprintf("%s#%d", self, run), pending: map[string]outcomeFunc{}}
}

// newID returns a unique ID for a change.
func (p *proposals) newID() string {
	p.count++
	return fmt.Sprintf("%s#%d", p.idPrefix, p.count)
}

// propose proposes a change of a register. It may call done before it returns.
func (c *Core) propose(now int64, change paxos.Change, done outcomeFunc) {
	c.proposals.pending[change.ID] = done
	c.handleProposerEffects(now, c.proposer.Propose(now, change))
}

// proposeValue proposes a new value of a register. The proposal conflicts if the register's
// newest revision is not base.
func (c *Core) proposeValue(now int64, key string, base uint64, data []byte, done outcomeFunc) {
	c.propose(now, paxos.Change{
		ID:           c.proposals.newID(),
		Key:          key,
		BaseRevision: base,
		Data:         data,
		Deadline:     now + changeTimeout.Microseconds(),
	}, done)
}

// readRegister reads the newest value of a register through a majority of the voters.
func (c *Core) readRegister(now int64, key string, done outcomeFunc) {
	c.propose(now, paxos.Change{
		ID:       c.proposals.newID(),
		Key:      key,
		ReadOnly: true,
		Deadline: now + changeTimeout.Microseconds(),
	}, done)
}

// handleProposerEffects sends the proposer's messages, passes the committed and read values
// to the learner, and reports the outcomes to the callers.
func (c *Core) handleProposerEffects(now int64, effects paxos.ProposerEffects) {
	c.send(effects.Send...)
	for _, outcome := range effects.Outcomes {
		change := outcome.Change
		if outcome.Value != nil && change.Key != paxos.MembershipKey {
			c.learner.Learn(now, change.Key, outcome.Value, c.proposer.Membership().Number)
			c.applyLearned()
		}
		if done := c.proposals.pending[change.ID]; done != nil {
			delete(c.proposals.pending, change.ID)
			done(now, outcome)
		}
	}
}
