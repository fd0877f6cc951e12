package sessionpool

import (
	"context"

	"github.com/apex/log"

	"stoneford/internal/fleetstate"
	"stoneford/internal/ports"
)

// State is what this node is and works by; whole brings the routing table's
// items.
func (c *Core) State(now int64, boot ports.ProcessConfig, detailed bool) fleetstate.ProcessState {
	pool := c.Table.State(now)
	return fleetstate.ProcessState{Name: boot.Name, Kind: fleetstate.KindPool, Zone: boot.Zone, Node: boot.PoolNodeAddress(), Run: c.view.Run(), Draining: c.draining, Ready: c.Ready(now),
		Voters: c.view.VoterStates(now), LeaseLeftUs: c.view.LeaseUntil() - now, Registers: c.view.RegisterStates(),
		Table: fleetstate.DescribeTable(c.table, c.tableRevision, detailed), Pool: &pool, Violations: c.Violations()}
}

// State is the node's, now.
func (p *Process) State(_ context.Context, detailed bool) (fleetstate.ProcessState, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.core.(*Core)
	if !ok {
		return fleetstate.ProcessState{}, false
	}
	now := p.now()
	s := c.State(now, *p.boot.Load(), detailed)
	s.UpUs = now - 1_000_000
	return s, true
}

// serveState tells operators the state; the node serves callers without that
// too.
func (p *Process) serveState(ctx context.Context) {
	boot := p.boot.Load()
	at, ok := boot.StateAddress(boot.PortFirst + 1)
	if !ok {
		return
	}
	if err := fleetstate.Serve(ctx, at, p.State); err != nil {
		log.WithError(err).Error("operators are not told the state")
	}
}
