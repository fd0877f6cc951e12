package sessionpool

import (
	"context"

	"github.com/apex/log"

	"stoneford/fleetstate"
	"stoneford/ports"
)

// State is what this node is and works by; whole brings the routing table's
// items.
func (c *Core) State(now int64, b ports.Boot, whole bool) fleetstate.State {
	p := c.Table.State(now)
	return fleetstate.State{Name: b.Name, Kind: fleetstate.KindPool, Zone: b.Zone, Node: b.PoolNode(), Run: c.view.Run(), Leaving: c.leaving, Ready: c.Ready(now),
		Voters: c.view.VoterStates(now), LeaseLeftUs: c.view.LeaseUntil() - now, Registers: c.view.RegisterStates(),
		Table: fleetstate.Routing(c.table, c.rev, whole), Pool: &p, Violations: c.Violations()}
}

// State is the node's, now.
func (p *Process) State(_ context.Context, whole bool) (fleetstate.State, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.core.(*Core)
	if !ok {
		return fleetstate.State{}, false
	}
	now := p.now()
	s := c.State(now, *p.boot.Load(), whole)
	s.UpUs = now - 1_000_000
	return s, true
}

// serveState tells operators the state; the node serves callers without that
// too.
func (p *Process) serveState(ctx context.Context) {
	b := p.boot.Load()
	at, ok := b.State(b.PortFirst + 1)
	if !ok {
		return
	}
	if err := fleetstate.Serve(ctx, at, p.State); err != nil {
		log.WithError(err).Error("operators are not told the state")
	}
}
