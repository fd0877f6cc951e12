package fenced

import "stoneford/internal/ports"

// A replica that leaves counts for the primary's commits until it is gone, and
// takes its log along. It is held early, while enough of those that stay follow,
// so that what is acknowledged from then on stands on one that stays (design 22).

const (
	drainingFreezeDelay  = 1_000_000 // from when a replica was seen to leave
	drainingResumePeriod = 3_000_000 // so long it may be needed once more; after that it is about to go
	caughtUpValidity     = 3 * replicaPollInterval
)

// freezeDrainingReplicas holds the replicas that leave, or has them go on where they are needed.
func (g *Group) freezeDrainingReplicas(now int64, input Input, p ports.Instance) {
	var draining, staying []ports.Instance
	for _, i := range input.Instances {
		switch {
		case i.ID == p.ID || i.Primary:
		case i.Draining:
			draining = append(draining, i)
		default:
			staying = append(staying, i)
		}
	}
	if len(draining) == 0 || input.RequiredReplicaAcks == 0 || p.Draining {
		return
	}
	enough := g.caughtUpReplicas(now, input, p, staying) >= input.RequiredReplicaAcks
	for _, i := range draining {
		s := g.databases[i.ID]
		frozen, since := s.known && s.status.FrozenTerm > 0, now-g.drainingSince[i.ID]
		switch {
		case enough && !frozen && since >= drainingFreezeDelay:
			g.call(now, i, ports.FreezeReplication, g.freezeTerm(input), replicaPollInterval)
		case !enough && frozen && since < drainingResumePeriod:
			g.call(now, i, ports.ResumeReplication, 0, replicaPollInterval)
		default:
			g.call(now, i, ports.Status, 0, replicaPollInterval)
		}
	}
}

// caughtUpReplicas counts the replicas that were lately seen to have what the primary
// had before they were asked.
func (g *Group) caughtUpReplicas(now int64, input Input, p ports.Instance, replicas []ports.Instance) int {
	primaryState, n := g.databases[p.ID], 0
	caught := primaryState.known && primaryState.failingSince == 0
	for _, i := range replicas {
		s := g.databases[i.ID]
		if caught && s.known && s.failingSince == 0 && s.status.FrozenTerm == 0 && s.observedAt > primaryState.observedAt && !s.status.Received.Before(primaryState.status.Received) {
			s.caughtUpAt = s.observedAt
		}
		if s.failingSince == 0 && s.caughtUpAt > 0 && now-s.caughtUpAt < caughtUpValidity {
			n++
		}
		if caught && s.observedAt <= primaryState.observedAt {
			g.call(now, i, ports.Status, 0, promotionPollInterval)
		}
	}
	if now-primaryState.observedAt >= replicaPollInterval {
		g.call(now, p, ports.Status, 0, replicaPollInterval)
	} else {
		g.wakeAt(primaryState.observedAt + replicaPollInterval)
	}
	return n
}

// managedByRetirement says that a replica's holds are retire's matter.
func (input Input) managedByRetirement(i ports.Instance) bool {
	return i.Draining && input.RequiredReplicaAcks > 0
}
