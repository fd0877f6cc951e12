package simulation

import (
	"slices"
	"strings"

	"stoneford/internal/control"
	"stoneford/internal/pool"
	"stoneford/schema"
)

// lateUpdateUs is the delay of register updates with the mutation LateUpdates.
const lateUpdateUs = 4_000_000

// receive handles an envelope from the network; some mutations delay or change it.
func (f *Fleet) receive(to string, e *schema.Envelope) {
	switch f.Plan.Mutation {
	case LateUpdates:
		if e.GetRegisterUpdate() != nil && f.Now > 3_400_000 {
			f.After(lateUpdateUs, func() { f.arrive(to, e) })
			return
		}
	case StaleConfiguration:
		f.substituteFirstRevision(to, e)
	}
	f.arrive(to, e)
}

// substituteFirstRevision replaces configurations in updates and prepare responses to a
// recently restarted node by their first revision (mutation StaleConfiguration).
func (f *Fleet) substituteFirstRevision(to string, e *schema.Envelope) {
	recentlyRestarted := slices.ContainsFunc(f.Nodes, func(n *nodeProcess) bool {
		return n.boot.Listen == to && n.generation > 1 && f.Now-int64(n.run) < 2_000_000
	})
	substitute := func(key string, v *schema.Value) *schema.Value {
		if !strings.HasPrefix(key, control.ConfigurationKeyPrefix) || v == nil {
			return v
		}
		if f.firstConfigurations[key] == nil {
			f.firstConfigurations[key] = v
		}
		if recentlyRestarted {
			return f.firstConfigurations[key]
		}
		return v
	}
	for _, r := range e.GetRegisterUpdate().GetRegisters() {
		r.Value = substitute(r.Key, r.Value)
	}
	if p := e.GetPromise(); p != nil {
		p.Value = substitute(p.Key, p.Value)
	}
}

// arrive delivers an envelope to the process at an address.
func (f *Fleet) arrive(to string, e *schema.Envelope) {
	for _, c := range f.Controls {
		if c.boot.Listen == to {
			f.toControl(c, c.generation, control.Received{Envelope: e})
			return
		}
	}
	for _, n := range f.Nodes {
		if n.boot.Listen == to {
			f.toNode(n, n.generation, func() { f.stepNode(n, pool.Received{Envelope: e}) })
			return
		}
	}
}
