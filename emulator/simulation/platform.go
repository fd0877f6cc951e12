package simulation

import (
	"strings"

	"stoneford/internal/control"
	"stoneford/maintenance"
)

// performFailover promotes the target of a failover and points the other members to it, as
// the emulated platform does. It ignores requests with an older epoch than it has seen, or
// with the same epoch and another target.
func (f *Fleet) performFailover(r control.FailoverRequest) {
	f.After(f.Between(minPlatformUs, f.MaxPlatformUs), func() {
		if f.Chance(f.PlatformFailureProbability) || r.Epoch < f.platformEpochs[r.Group] || r.Epoch == f.platformEpochs[r.Group] && f.platformTargets[r.Group] != r.Target {
			return
		}
		f.platformEpochs[r.Group], f.platformTargets[r.Group] = r.Epoch, r.Target
		t := f.Databases[r.Target]
		if t == nil || !t.responds() {
			return
		}
		if f.Plan.Mutation == UncheckedIdentity {
			r.Identity = ""
		}
		if !t.state.Promote(r.Epoch, r.Identity, f.Now) {
			return
		}
		t.notifyWaiters()
		for _, m := range r.Members {
			if o := f.Databases[m.Name]; o != nil && m.Name != r.Target && o.responds() {
				o.state.Follow(r.Epoch, t.address)
				o.notifyWaiters()
			}
		}
	})
}

// replaceDrainingDatabases replaces databases as soon as they drain (mutation
// UnrequestedReplacement).
func (f *Fleet) replaceDrainingDatabases() {
	for _, w := range f.Calendar().Windows {
		n := strings.TrimPrefix(w.Target, w.Owner+"/")
		if w.State == maintenance.Draining && f.Databases[n] != nil && f.Databases[n].state.Identity == w.Identity {
			f.LoseDatabase(n)
		}
	}
	f.After(100_000, f.replaceDrainingDatabases)
}

// minPlatformUs is the minimum time in which the platform carries out a request.
const minPlatformUs = 500

// replaceDatabase replaces a database by an empty one if it still has the identity named in
// the request.
func (f *Fleet) replaceDatabase(r control.ReplaceDatabase) {
	f.After(f.Between(minPlatformUs, f.MaxPlatformUs), func() {
		if f.Chance(f.PlatformFailureProbability) {
			return
		}
		if db := f.Databases[r.Database]; db.state.Identity == r.Identity {
			f.LoseDatabase(r.Database)
		}
	})
}

// stopMachine stops the pool node on a machine gracefully.
func (f *Fleet) stopMachine(r control.StopMachine) {
	for i, n := range f.Nodes {
		if n.boot.Name != r.Machine {
			continue
		}
		f.After(f.Between(minPlatformUs, f.MaxPlatformUs), func() {
			if !f.Chance(f.PlatformFailureProbability) {
				f.StopNode(i)
			}
		})
	}
}
