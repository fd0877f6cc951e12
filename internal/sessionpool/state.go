package sessionpool

import (
	"context"

	"github.com/apex/log"

	"stoneford/internal/fleetstate"
	"stoneford/internal/ports"
)

// State returns the node's state as shown to operators. It lists the items of the
// routing table if withItems is set.
func (c *Core) State(now int64, config ports.ProcessConfig, withItems bool) fleetstate.ProcessState {
	pool := c.Table.State(now)
	return fleetstate.ProcessState{
		Name:        config.Name,
		Kind:        fleetstate.KindPool,
		Zone:        config.Zone,
		NodeAddress: config.PoolNodeAddress(),
		Run:         c.learner.Run(),
		Draining:    c.draining,
		Ready:       c.Ready(now),
		Voters:      c.learner.VoterStates(now),
		LeaseLeftUs: c.learner.LeaseUntil() - now,
		Registers:   c.learner.RegisterStates(),
		Table:       fleetstate.DescribeTable(c.table, c.tableRevision, withItems),
		Pool:        &pool,
		Violations:  c.Violations(),
	}
}

// State returns the node's state as shown to operators, or false if the process runs no
// *Core.
func (p *Process) State(_ context.Context, withItems bool) (fleetstate.ProcessState, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	core, ok := p.core.(*Core)
	if !ok {
		return fleetstate.ProcessState{}, false
	}
	now := p.now()
	state := core.State(now, *p.config.Load(), withItems)
	state.UpUs = now - clockStartUs
	return state, true
}

// serveState serves the node's state to operators. A failure is only logged, because the
// node can serve callers without it.
func (p *Process) serveState(ctx context.Context) {
	config := p.config.Load()
	at, ok := config.StateAddress(config.PortFirst + 1)
	if !ok {
		return
	}
	if err := fleetstate.Serve(ctx, at, p.State); err != nil {
		log.WithError(err).Error("the state is not served to operators")
	}
}
