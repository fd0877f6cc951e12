package switchover

import "stoneford/ports"

// A replica that leaves counts for the primary's commits until it is gone, and
// takes its log along. It is held early, while enough of those that stay follow,
// so that what is acknowledged from then on stands on one that stays (design 22).

const (
	retireAfter = 1_000_000 // from when a replica was seen to leave
	retireAgain = 3_000_000 // so long it may be needed once more; after that it is about to go
	followsFor  = 3 * planEvery
)

// retire holds the replicas that leave, or has them go on where they are needed.
func (g *Group) retire(now int64, in Input, p ports.Instance) {
	var leaving, staying []ports.Instance
	for _, i := range in.Instances {
		switch {
		case i.ID == p.ID || i.Primary:
		case i.Leaving:
			leaving = append(leaving, i)
		default:
			staying = append(staying, i)
		}
	}
	if len(leaving) == 0 || in.Sync == 0 || p.Leaving {
		return
	}
	enough := g.following(now, in, p, staying) >= in.Sync
	for _, i := range leaving {
		s := g.m[i.ID]
		held, since := s.known && s.status.Held > 0, now-g.leaving[i.ID]
		switch {
		case enough && !held && since >= retireAfter:
			g.ask(now, i, ports.Hold, g.holdTerm(in), planEvery)
		case !enough && held && since < retireAgain:
			g.ask(now, i, ports.Resume, 0, planEvery)
		default:
			g.ask(now, i, ports.Status, 0, planEvery)
		}
	}
}

// following counts the replicas that were lately seen to have what the primary
// had before they were asked.
func (g *Group) following(now int64, in Input, p ports.Instance, replicas []ports.Instance) int {
	ps, n := g.m[p.ID], 0
	caught := ps.known && ps.err == 0
	for _, i := range replicas {
		s := g.m[i.ID]
		if caught && s.known && s.err == 0 && s.status.Held == 0 && s.at > ps.at && !s.status.Received.Before(ps.status.Received) {
			s.levelAt = s.at
		}
		if s.err == 0 && s.levelAt > 0 && now-s.levelAt < followsFor {
			n++
		}
		if caught && s.at <= ps.at {
			g.ask(now, i, ports.Status, 0, lookEvery)
		}
	}
	if now-ps.at >= planEvery {
		g.ask(now, p, ports.Status, 0, planEvery)
	} else {
		g.wake(ps.at + planEvery)
	}
	return n
}

// retires says that a replica's holds are retire's matter.
func (in Input) retires(i ports.Instance) bool { return i.Leaving && in.Sync > 0 }
