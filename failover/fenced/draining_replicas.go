package fenced

import (
	"time"

	"stoneford/internal/ports"
)

// A draining replica still confirms the primary's commits until it stops, and its log
// then becomes unavailable. It is therefore frozen early, once enough of the remaining
// replicas have caught up, so that every later commit is on a remaining replica before
// it is acknowledged (design 22).

const (
	// drainingFreezeDelay is the delay between the first sign of draining and the
	// freeze: nodes still send reads to the replica during that time.
	drainingFreezeDelay = time.Second
	// drainingResumePeriod is the time after the first sign of draining during which a
	// frozen replica is resumed if it is needed. After that it is about to stop.
	drainingResumePeriod = 3 * time.Second
	// caughtUpValidity is the time for which a replica counts as caught up after the
	// poll that found it caught up.
	caughtUpValidity = 3 * replicaPollInterval
)

// freezeControlledByDrain reports whether freezeDrainingReplicas alone decides when a
// replica is frozen and resumed.
func (input Input) freezeControlledByDrain(i ports.Instance) bool {
	return i.Draining && input.RequiredReplicaAcks > 0
}

// freezeDrainingReplicas freezes the draining replicas, and those that deregistered without
// draining, or resumes them if too few of the remaining replicas have caught up.
func (g *Group) freezeDrainingReplicas(now int64, input Input, primary ports.Instance) {
	draining, remaining := splitByDraining(input.Instances, primary)
	draining = append(draining, g.stoppingReplicas(input)...)
	if len(draining) == 0 || input.RequiredReplicaAcks == 0 || primary.Draining {
		return
	}
	enough := g.countCaughtUp(now, primary, remaining) >= input.RequiredReplicaAcks
	for _, i := range draining {
		database := g.databases[i.ID]
		frozen := database.known && database.status.FrozenTerm > 0
		drainingFor := elapsed(g.drainingSince[i.ID], now)
		switch {
		case enough && !frozen && drainingFor >= drainingFreezeDelay:
			g.call(now, i, ports.FreezeReplication, g.freezeTerm(input), replicaPollInterval)
		case !enough && frozen && drainingFor < drainingResumePeriod:
			g.call(now, i, ports.ResumeReplication, 0, replicaPollInterval)
		default:
			g.poll(now, i, replicaPollInterval)
		}
	}
}

// splitByDraining divides the replicas into draining and remaining ones.
func splitByDraining(instances []ports.Instance, primary ports.Instance) (draining, remaining []ports.Instance) {
	for _, i := range instances {
		switch {
		case i.ID == primary.ID || i.Primary:
		case i.Draining:
			draining = append(draining, i)
		default:
			remaining = append(remaining, i)
		}
	}
	return draining, remaining
}

// countCaughtUp returns the number of replicas that were recently observed to have
// everything that the primary had received at its preceding poll. Each replica is
// polled after each poll of the primary.
func (g *Group) countCaughtUp(now int64, primary ports.Instance, replicas []ports.Instance) int {
	p, following := g.databases[primary.ID], 0
	for _, i := range replicas {
		r := g.databases[i.ID]
		if p.healthy() && r.healthy() && r.status.FrozenTerm == 0 && r.observedAt > p.observedAt && !r.status.Received.Before(p.status.Received) {
			r.caughtUpAt = r.observedAt
		}
		if r.failingSince == 0 && r.caughtUpAt > 0 && elapsed(r.caughtUpAt, now) < caughtUpValidity {
			following++
		}
		if p.healthy() && r.observedAt <= p.observedAt {
			g.poll(now, i, promotionPollInterval)
		}
	}
	if elapsed(p.observedAt, now) >= replicaPollInterval {
		g.poll(now, primary, replicaPollInterval)
	} else {
		g.wakeAt(after(p.observedAt, replicaPollInterval))
	}
	return following
}
